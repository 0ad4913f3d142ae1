package trace

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agext/levenshtein"
)

// Schema describes the CSV layout of one type of trace file.
type Schema struct {
	Name            string
	Source          string        // where the layout is described
	Header          []string      // column names of the header line; nil: no header
	Columns         int           // number of columns of each row
	Description     string        // what a replay uses of it, in the listing of schemas
	TimeStep        time.Duration // resolution of the times; 0: exact
	WallClock       bool          // times are wall-clock times, not relative to the start
	MachinesPresent bool          // machines are in service from the start, without a row that adds them

	parseRow       func(l *lineReader) (Record, rowAction, *Problem)
	numericColumns []int // indexes of columns that must be numbers, to tell layouts apart
	textColumns    []int // indexes of columns that must not be numbers or empty
	openStream     func([]Source, *Schema, Options) (recordStream, error)
}

// rowAction is the decision of a row parser on a valid row.
type rowAction int

const (
	keepRow rowAction = iota
	skipRow           // not a record; the parser has counted the reason
)

// Known returns the public layouts, in the order in which they are tried.
func Known() []*Schema {
	return []*Schema{googleTasks, googleMachines, alibabaTask, alibabaInstance, alibabaMeta, alibabaUsage, alibabaCalls, azureFunctions, azureLLM}
}

// ByName finds a known layout; the error lists all names.
func ByName(name string) (*Schema, error) {
	var names []string
	for _, s := range Known() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return nil, fmt.Errorf("no schema %q; there are: %s", name, strings.Join(names, ", "))
}

// googleTasks is task_events of Google ClusterData2011_2 (C. Reiss, J. Wilkes,
// J. Hellerstein: Google cluster-usage traces: format + schema, 2011, revised
// 2014): no header, 13 columns, microseconds. Time 0 is before the trace, 2^63-1
// after it. Event type 0 is SUBMIT.
var googleTasks = &Schema{Name: "google-2011-task-events", Columns: 13, numericColumns: []int{0, 2, 3, 5},
	Source:      "Google ClusterData2011_2, task_events: github.com/google/cluster-data",
	Description: "arrivals: time, account (user), size (CPU request)", openStream: openRows,
	parseRow: func(l *lineReader) (r Record, v rowAction, p *Problem) {
		event, p := l.parseNumber(5, "event type", 0, 8)
		if p != nil {
			return r, v, p
		}
		if r.At, v, p = googleTime(l); p != nil || v == skipRow {
			return r, v, p
		}
		if event != 0 {
			l.countSkipped("not a SUBMIT event")
			return r, skipRow, nil
		}
		if r.At == 0 { // tasks that were running before the trace, all with time 0
			l.countSkipped("submitted before the trace (time 0)")
			return r, skipRow, nil
		}
		r.Account = string(l.fields[6])
		if len(l.fields[9]) > 0 { // optional by the format description
			if r.Size, p = l.parseNumber(9, "CPU request", 0, 1e6); p != nil {
				return r, v, p
			}
		}
		return r, keepRow, nil
	}}

// googleTime parses the first column of the Google layouts, in microseconds.
func googleTime(l *lineReader) (time.Duration, rowAction, *Problem) {
	if string(l.fields[0]) == "9223372036854775807" {
		l.countSkipped("after the end of the trace (time 2^63-1)")
		return 0, skipRow, nil
	}
	at, p := l.parseTime(0, "time", time.Microsecond)
	return at, keepRow, p
}

// googleMachines is machine_events of the same trace: no header, 6 columns,
// microseconds. Event type 0 is ADD, 1 REMOVE, 2 UPDATE.
var googleMachines = &Schema{Name: "google-2011-machine-events", Columns: 6, numericColumns: []int{0, 1, 2},
	Source:      "Google ClusterData2011_2, machine_events: github.com/google/cluster-data",
	Description: "machines that come and go", openStream: openRows,
	parseRow: func(l *lineReader) (r Record, v rowAction, p *Problem) {
		if r.At, v, p = googleTime(l); p != nil || v == skipRow {
			return r, v, p
		}
		event, p := l.parseNumber(2, "event type", 0, 2)
		if p != nil {
			return r, v, p
		}
		if r.Machine = string(l.fields[1]); r.Machine == "" {
			return r, v, l.problem("machine ID", "fill it in, or remove the row", "empty")
		}
		switch event {
		case 0:
			r.Kind = MachineUp
		case 1:
			r.Kind = MachineDown
		default:
			l.countSkipped("an UPDATE of a machine")
			return r, skipRow, nil
		}
		return r, keepRow, nil
	}}

// alibabaTask is batch_task of Alibaba cluster-trace-v2018 (its schema.txt): no
// header, 9 columns, seconds: task_name, instance_num, job_name, task_type,
// status, start_time, end_time, plan_cpu, plan_mem.
var alibabaTask = &Schema{Name: "alibaba-2018-batch-task", Columns: 9, numericColumns: []int{1}, textColumns: []int{4},
	Source:      "Alibaba cluster-trace-v2018, batch_task: github.com/alibaba/clusterdata",
	Description: "arrivals: time, account (job), size (duration x CPU)", TimeStep: time.Second, openStream: openRows,
	parseRow: func(l *lineReader) (Record, rowAction, *Problem) { return parseBatchRow(l, 2, 4, 5, 6, 7) }}

// alibabaInstance is batch_instance of the same trace: no header, 14 columns,
// seconds: instance_name, task_name, job_name, task_type, status, start_time,
// end_time, machine_id, seq_no, total_seq_no, cpu_avg, cpu_max, mem_avg, mem_max.
var alibabaInstance = &Schema{Name: "alibaba-2018-batch-instance", Columns: 14, numericColumns: []int{8, 9}, textColumns: []int{4},
	Source:      "Alibaba cluster-trace-v2018, batch_instance: github.com/alibaba/clusterdata",
	Description: "arrivals: time, account (job), size (duration x mean CPU)", TimeStep: time.Second, openStream: openRows,
	parseRow: func(l *lineReader) (Record, rowAction, *Problem) { return parseBatchRow(l, 2, 4, 5, 6, 10) }}

// parseBatchRow parses a row of either batch layout, given the indexes of the columns
// that it uses. Work that has not started has no times.
func parseBatchRow(l *lineReader, account, status, start, end, cpu int) (r Record, v rowAction, p *Problem) {
	if s := string(l.fields[status]); (s == "Waiting" || s == "Ready") && (len(l.fields[start]) == 0 || string(l.fields[start]) == "0") {
		l.countSkipped("not started (status " + s + ")")
		return r, skipRow, nil
	}
	if r.At, p = l.parseTime(start, "start_time", time.Second); p != nil {
		return r, v, p
	}
	if r.Account = string(l.fields[account]); r.Account == "" {
		return r, v, l.problem("job_name", "fill it in, or remove the row", "empty")
	}
	if len(l.fields[end]) > 0 && string(l.fields[end]) != "0" { // 0: still running at the end of the trace
		endTime, p := l.parseTime(end, "end_time", time.Second)
		if p != nil {
			return r, v, p
		}
		if endTime < r.At {
			return r, v, l.problem("end_time", "correct it, or remove the row", "ends at %v, before it starts at %v", endTime, r.At)
		}
		r.Size = max(endTime-r.At, time.Second/2).Seconds()
		if len(l.fields[cpu]) > 0 {
			cpuPercent, p := l.parseNumber(cpu, "CPU", 0, 1e6)
			if p != nil {
				return r, v, p
			}
			r.Size *= max(cpuPercent, 1) / 100
		}
	}
	return r, keepRow, nil
}

// alibabaMeta is machine_meta of the same trace: no header, 7 columns, seconds:
// machine_id, time_stamp, failure_domain_1, failure_domain_2, cpu_num, mem_size,
// status. A machine is in service while its status is USING. There is a row for
// every change, including changes of other columns.
var alibabaMeta = &Schema{Name: "alibaba-2018-machine-meta", Columns: 7, numericColumns: []int{1, 2, 4},
	Source:      "Alibaba cluster-trace-v2018, machine_meta: github.com/alibaba/clusterdata",
	Description: "machines that come and go, by their status", openStream: openStates,
	parseRow: func(l *lineReader) (r Record, v rowAction, p *Problem) {
		if r.At, p = l.parseTime(1, "time_stamp", time.Second); p != nil {
			return r, v, p
		}
		if r.Machine = string(l.fields[0]); r.Machine == "" {
			return r, v, l.problem("machine_id", "fill it in, or remove the row", "empty")
		}
		r.Kind = MachineDown
		if string(l.fields[6]) == "USING" {
			r.Kind = MachineUp
		} else if len(l.fields[6]) == 0 {
			return r, v, l.problem("status", "fill it in, or remove the row", "empty")
		}
		return r, keepRow, nil
	}}

// alibabaUsage is machine_usage of the same trace: no header, 9 columns, seconds:
// machine_id, time_stamp, cpu_util_percent, mem_util_percent, mem_gps, mkpi,
// net_in, net_out, disk_io_percent. By its description, -1 and 101 mark values that
// could not be measured.
var alibabaUsage = &Schema{Name: "alibaba-2018-machine-usage", Columns: 9, numericColumns: []int{1, 2},
	Source:      "Alibaba cluster-trace-v2018, machine_usage: github.com/alibaba/clusterdata",
	Description: "slowdowns: machines whose CPU is near the top", openStream: openRows,
	parseRow: func(l *lineReader) (r Record, v rowAction, p *Problem) {
		r.Kind = Usage
		if r.At, p = l.parseTime(1, "time_stamp", time.Second); p != nil {
			return r, v, p
		}
		if r.Machine = string(l.fields[0]); r.Machine == "" {
			return r, v, l.problem("machine_id", "fill it in, or remove the row", "empty")
		}
		busy, p := l.parseNumber(2, "cpu_util_percent", -1, 101)
		if p != nil {
			return r, v, p
		}
		if busy < 0 || busy > 100 {
			l.countSkipped("usage not measured (-1 or 101)")
			return r, skipRow, nil
		}
		r.Utilization = busy / 100
		return r, keepRow, nil
	}}

// alibabaCalls is MSCallGraph of Alibaba cluster-trace-microservices-v2021 (its
// README): a header whose first name is empty, 9 columns, milliseconds. Both caller
// and callee record a call; the callee's row has a negative rt.
var alibabaCalls = &Schema{Name: "alibaba-2021-ms-callgraph", Columns: 9, numericColumns: []int{2},
	Header:      []string{"", "traceid", "timestamp", "rpcid", "um", "rpctype", "dm", "interface", "rt"},
	Source:      "Alibaba cluster-trace-microservices-v2021, MSCallGraph: github.com/alibaba/clusterdata",
	Description: "arrivals: time, account (calling service um), kind (interface), size (rt)", TimeStep: time.Millisecond, openStream: openRows,
	parseRow: func(l *lineReader) (r Record, v rowAction, p *Problem) {
		if r.At, p = l.parseTime(2, "timestamp", time.Millisecond); p != nil {
			return r, v, p
		}
		rt, p := l.parseNumber(8, "rt", -1e9, 1e9)
		if p != nil {
			return r, v, p
		}
		if rt < 0 {
			l.countSkipped("the same call seen from its other side (rt below 0)")
			return r, skipRow, nil
		}
		r.Account, r.Label, r.Size = string(l.fields[4]), string(l.fields[7]), max(rt, 0.5)
		return r, keepRow, nil
	}}

// azureFunctions is invocations_per_function_md of the Azure Functions trace 2019
// (M. Shahrad et al.: Serverless in the Wild, USENIX ATC 2020): a header, then a row
// per function with the number of its invocations in each minute of a day.
var azureFunctions = &Schema{Name: "azure-functions-2019", Columns: 4 + minutesADay, numericColumns: []int{4, 5},
	Header: functionsHeader(), openStream: openFunctions,
	Source:      "Azure Functions trace 2019, invocations_per_function_md: github.com/Azure/AzurePublicDataset",
	Description: "arrivals: the minute, account (HashOwner), kind (HashFunction); the moment within the minute is drawn"}

// azureLLM is the Azure LLM inference trace 2023 (P. Patel et al.: Splitwise,
// ISCA 2024): a header, wall-clock times with seven decimal places.
var azureLLM = &Schema{Name: "azure-llm-2023", Columns: 3, WallClock: true, numericColumns: []int{1, 2},
	Header:      []string{"TIMESTAMP", "ContextTokens", "GeneratedTokens"},
	Source:      "Azure LLM inference trace 2023: github.com/Azure/AzurePublicDataset",
	Description: "arrivals: time, size (tokens)", openStream: openRows,
	parseRow: func(l *lineReader) (r Record, v rowAction, p *Problem) {
		if r.At, p = l.parseWallClock(0, "TIMESTAMP", "2006-01-02 15:04:05.9999999"); p != nil {
			return r, v, p
		}
		in, p := l.parseNumber(1, "ContextTokens", 0, 1e9)
		if p != nil {
			return r, v, p
		}
		out, p := l.parseNumber(2, "GeneratedTokens", 0, 1e9)
		r.Size = max(1, in+out)
		return r, keepRow, p
	}}

// parseWallClock parses field i as a wall-clock time and returns the time since 1970.
func (l *lineReader) parseWallClock(i int, name, layout string) (time.Duration, *Problem) {
	text := string(l.fields[i])
	if text == "" {
		return 0, l.problem(name, "fill it in, or remove the row", "empty where a time belongs")
	}
	t, err := time.Parse(layout, text)
	if err != nil {
		return 0, l.problem(name, fmt.Sprintf("write it as %q", layout), "%q is not a time", truncate(l.fields[i]))
	}
	if t.Year() < 1971 || t.Year() > 2200 {
		return 0, l.problem(name, "write a year from 1971 to 2200", "the time %q is out of range", truncate(l.fields[i]))
	}
	return time.Duration(t.UnixNano()), nil
}

// ---- Layouts with one record per row ----

// rowStream reads a layout in which each row is at most one record.
type rowStream struct {
	*lineReader
	schema *Schema
}

func openRows(files []Source, s *Schema, _ Options) (recordStream, error) {
	r := &rowStream{newLines(files), s}
	return r, nil
}

func (r *rowStream) next() (Record, error) {
	for {
		if err := r.readRow(); err != nil {
			return Record{}, err
		}
		if r.atFileStart {
			r.atFileStart = false
			if p := r.schema.checkHeader(r.lineReader); p != nil {
				return Record{}, p
			}
			if r.schema.Header != nil {
				r.totals.Rows--
				continue
			}
		}
		if p := r.schema.checkColumns(r.lineReader); p != nil {
			return Record{}, p
		}
		rec, v, p := r.schema.parseRow(r.lineReader)
		if p != nil {
			return rec, p
		}
		if v == keepRow {
			rec.File, rec.Line = r.fileName, r.line
			return rec, nil
		}
	}
}

// checkColumns checks the number of columns of the current row.
func (s *Schema) checkColumns(l *lineReader) *Problem {
	if n := len(l.fields); n != s.Columns {
		what := "too few"
		if n > s.Columns {
			what = "too many"
		}
		return l.problem("", "correct it, or remove the row", "%d columns where %s has %d: %s", n, s.Name, s.Columns, what)
	}
	return nil
}

// checkHeader checks the first line of a file against the header of the layout.
func (s *Schema) checkHeader(l *lineReader) *Problem {
	if s.Header == nil {
		if looksLikeHeader(l.fields) {
			return l.problem("", "remove the line", "a header, where %s has none", s.Name)
		}
		return nil
	}
	if !looksLikeHeader(l.fields) {
		return l.problem("", "put this line before it: "+strings.Join(s.Header[:min(len(s.Header), 8)], ","), "no header, where %s has one", s.Name)
	}
	for i, want := range s.Header {
		if i < len(l.fields) && string(l.fields[i]) == want {
			continue
		}
		place := -1
		for k, f := range l.fields {
			if string(f) == want {
				place = k
			}
		}
		switch {
		case place >= 0:
			return l.problem(want, fmt.Sprintf("move it to place %d", i+1), "column %d, where %s has it as column %d", place+1, s.Name, i+1)
		case i >= len(l.fields):
			return l.problem(want, "add the column", "missing from the header")
		}
		got := string(l.fields[i])
		if len(l.fields) == len(s.Header) || levenshtein.Distance(got, want, nil) <= 1+len(want)/3 {
			return l.problem(want, fmt.Sprintf("call it %q, or write a mapping (--schema FILE.hcl)", want), "column %d is called %q", i+1, got)
		}
		return l.problem(want, "add the column", "missing from the header")
	}
	if len(l.fields) > len(s.Header) {
		return l.problem("", "remove the columns behind "+s.Header[len(s.Header)-1], "%d columns in the header, where %s has %d",
			len(l.fields), s.Name, len(s.Header))
	}
	return nil
}

// looksLikeHeader reports whether a line consists of column names: no field is a
// number and at least one begins with a letter. Data rows of all layouts contain
// numbers. The header of Azure Functions has the minutes as numbers.
func looksLikeHeader(fields [][]byte) bool {
	letters := false
	numbers := 0
	for _, f := range fields {
		if len(f) == 0 {
			continue
		}
		if _, err := strconv.ParseFloat(string(f), 64); err == nil {
			numbers++
		}
		if f[0] >= 'A' && f[0] <= 'Z' || f[0] >= 'a' && f[0] <= 'z' {
			letters = true
		}
	}
	return letters && (numbers == 0 || numbers > 100 && bytes.HasPrefix(fields[0], []byte("Hash")))
}

// matches reports whether a line can belong to the layout: the exact header if it has one,
// else numbers and words in the expected columns.
func (s *Schema) matches(fields [][]byte) bool {
	if len(fields) != s.Columns {
		return false
	}
	if s.Header != nil {
		for i, want := range s.Header {
			if string(fields[i]) != want {
				return false
			}
		}
		return true
	}
	for _, i := range s.numericColumns {
		if v, err := strconv.ParseFloat(string(fields[i]), 64); err != nil || math.IsNaN(v) {
			return false
		}
	}
	for _, i := range s.textColumns {
		if _, err := strconv.ParseFloat(string(fields[i]), 64); err == nil || len(fields[i]) == 0 {
			return false
		}
	}
	return true
}

// Detect returns the known layouts that the first line of a file matches.
func Detect(f Source) ([]*Schema, error) {
	l := newLines([]Source{f})
	defer l.close()
	if err := l.readRow(); err != nil {
		return nil, err
	}
	var all []*Schema
	for _, s := range Known() {
		if s.matches(l.fields) {
			all = append(all, s)
		}
	}
	return all, nil
}

// checkLayout returns a *Problem if the first line of a file matches other known layouts
// but not s.
func checkLayout(f Source, s *Schema) error {
	others, err := Detect(f)
	var p *Problem
	if errors.As(err, &p) || err == nil && (slices.Contains(others, s) || len(others) == 0) {
		return nil // the Reader reports it together with later problems
	}
	if err != nil {
		if errors.Is(err, io.EOF) {
			return nil
		}
		return err
	}
	var names []string
	for _, o := range others {
		names = append(names, o.Name)
	}
	return &Problem{f.Name, 1, "", "does not fit " + s.Name, "it fits --schema " + strings.Join(names, " or ")}
}

// ---- Layouts with machine states ----

// stateStream reads a layout with a machine's state in each row and returns only the
// changes. Its memory grows with the number of machines, not of rows.
type stateStream struct {
	*rowStream
	inService map[string]bool
}

func openStates(files []Source, s *Schema, o Options) (recordStream, error) {
	r, err := openRows(files, s, o)
	if err != nil {
		return nil, err
	}
	return &stateStream{r.(*rowStream), map[string]bool{}}, nil
}

func (s *stateStream) next() (Record, error) {
	for {
		r, err := s.rowStream.next()
		if err != nil {
			return r, err
		}
		before, known := s.inService[r.Machine]
		inService := r.Kind == MachineUp
		s.inService[r.Machine] = inService
		if known && before == inService || !known && !inService {
			s.countSkipped("a machine's state as before")
			continue
		}
		return r, nil
	}
}
