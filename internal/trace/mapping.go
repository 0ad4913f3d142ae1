package trace

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"example.org/madderdrum/internal/diag"
)

// The HCL layout of a mapping file. Columns are named as in the header, or by their
// number from 1 if the file has no header.
type (
	rawMapping struct {
		Trace rawTrace `hcl:"trace,block"`
	}
	rawTrace struct {
		Name    string    `hcl:"name,label"`
		At      hcl.Range `hcl:",def_range"`
		Columns []string  `hcl:"columns,optional"`
		Count   int       `hcl:"column_count,optional"`
		Time    rawTime   `hcl:"time,block"`
		Account string    `hcl:"account,optional"`
		Class   *rawNames `hcl:"class,block"`
		Plan    *rawNames `hcl:"plan,block"`
		Units   string    `hcl:"units,optional"`
		Work    string    `hcl:"work,optional"`
		// WorkUnit makes Work the time on one core in this unit. Without it, work is
		// relative to the mean of all rows.
		WorkUnit string     `hcl:"work_unit,optional"`
		Events   []rawEvent `hcl:"event,block"`
	}
	rawTime struct {
		At     hcl.Range `hcl:",def_range"`
		Column string    `hcl:"column"`
		Unit   string    `hcl:"unit,optional"`
		Format string    `hcl:"format,optional"`
	}
	rawNames struct {
		At     hcl.Range         `hcl:",def_range"`
		Column string            `hcl:"column"`
		Names  map[string]string `hcl:"names,optional"`
	}
	rawEvent struct {
		Kind   string    `hcl:"kind,label"`
		At     hcl.Range `hcl:",def_range"`
		Column string    `hcl:"column"`
		Equals []string  `hcl:"equals"`
		Box    string    `hcl:"box"`
		Factor string    `hcl:"factor,optional"`
	}
)

var timeUnits = map[string]time.Duration{"ns": time.Nanosecond, "us": time.Microsecond, "ms": time.Millisecond, "s": time.Second, "m": time.Minute}

// LoadMapping reads a mapping file: HCL that describes the columns of a CSV file of
// any other layout. An error lists every mistake with file, line and remedy.
func LoadMapping(path string) (*Schema, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("mapping: %w", err)
	}
	return ParseMapping(data, path)
}

// ParseMapping is LoadMapping for data in memory; messages use name as the file name.
func ParseMapping(data []byte, name string) (*Schema, error) {
	file, diags := hclsyntax.ParseConfig(data, name, hcl.InitialPos)
	var raw rawMapping
	if !diags.HasErrors() {
		diags = diags.Extend(gohcl.DecodeBody(file.Body, nil, &raw))
	}
	m := &mapping{raw: raw.Trace, List: diag.List{Diagnostics: diags}}
	if !diags.HasErrors() {
		m.resolve()
	}
	if err := m.Err(); err != nil {
		return nil, err
	}
	s := &Schema{Name: m.raw.Name, Source: name, Header: m.raw.Columns, Columns: m.columnCount, parseRow: m.parseRow, openStream: openRows,
		MachinesPresent: true, WallClock: m.raw.Time.Format != "", Description: "what the mapping names"}
	return s, nil
}

// mapping is a mapping file with resolved column indexes, from 0; -1 for a column that
// it doesn't name.
type mapping struct {
	raw rawTrace
	diag.List
	columnCount                                                                 int
	timeColumn, accountColumn, classColumn, planColumn, unitsColumn, workColumn int
	timeUnit, workUnit                                                          time.Duration
	events                                                                      []mappedEvent
}

type mappedEvent struct {
	rawEvent
	columnIndex, boxIndex, factorIndex int
}

// findColumn returns the index of a column given by name or number. It returns -1 and
// adds a diagnostic if there is no such column, and -1 alone for an empty name.
func (m *mapping) findColumn(at hcl.Range, what, name string) int {
	if name == "" {
		return -1
	}
	for i, c := range m.raw.Columns {
		if c == name {
			return i
		}
	}
	if n, err := strconv.Atoi(name); err == nil && m.raw.Columns == nil && n >= 1 && n <= m.columnCount {
		return n - 1
	}
	if m.raw.Columns != nil {
		m.Add(at, "write one of: "+strings.Join(m.raw.Columns, " "), "%s: no column %q", what, name)
	} else {
		m.Add(at, fmt.Sprintf(`write a number from "1" to "%d", as there is no header`, m.columnCount), "%s: no column %q", what, name)
	}
	return -1
}

// resolve checks the decoded file and fills in the column indexes and units.
func (m *mapping) resolve() {
	t := m.raw
	if m.columnCount = len(t.Columns); m.columnCount == 0 {
		m.columnCount = t.Count
	}
	if m.columnCount <= 0 || m.columnCount > 10_000 {
		m.Add(t.At, `add columns = ["time", "user"] as in the header, or column_count = 5 if there is none`, "trace %q has no columns", t.Name)
		return
	}
	m.timeColumn = m.findColumn(t.Time.At, "time", t.Time.Column)
	if m.timeColumn < 0 {
		m.Add(t.Time.At, "name the column that has the time", "trace %q has no time", t.Name)
	}
	switch unit, known := timeUnits[t.Time.Unit]; {
	case (t.Time.Unit == "") == (t.Time.Format == ""):
		m.Add(t.Time.At, `give unit = "ms" for numbers, or format = "2006-01-02 15:04:05" for wall-clock times`, "time needs one of unit and format")
	case t.Time.Unit != "" && !known:
		m.Add(t.Time.At, "write one of: ns us ms s m", "time unit %q is not known", t.Time.Unit)
	default:
		m.timeUnit = unit
	}
	m.accountColumn, m.unitsColumn, m.workColumn = m.findColumn(t.At, "account", t.Account), m.findColumn(t.At, "units", t.Units), m.findColumn(t.At, "work", t.Work)
	if t.WorkUnit != "" {
		if m.workUnit = timeUnits[t.WorkUnit]; m.workUnit == 0 {
			m.Add(t.At, "write one of: ns us ms s m", "work_unit %q is not known", t.WorkUnit)
		}
	}
	m.classColumn, m.planColumn = -1, -1
	if t.Class != nil {
		m.classColumn = m.findColumn(t.Class.At, "class", t.Class.Column)
	}
	if t.Plan != nil {
		m.planColumn = m.findColumn(t.Plan.At, "plan", t.Plan.Column)
	}
	for _, e := range t.Events {
		if e.Kind != "down" && e.Kind != "up" && e.Kind != "slow" {
			m.Add(e.At, `write event "down", event "up" or event "slow"`, "event %q is not known", e.Kind)
		}
		if (e.Factor != "") != (e.Kind == "slow") {
			m.Add(e.At, `a slow event, and no other, names the column of its factor: factor = "slow"`, "event %q: factor", e.Kind)
		}
		m.events = append(m.events, mappedEvent{e, m.findColumn(e.At, "column", e.Column), m.findColumn(e.At, "box", e.Box), m.findColumn(e.At, "factor", e.Factor)})
	}
}

// parseRow reads a row: a box event if one of the event blocks matches, else an arrival.
func (m *mapping) parseRow(l *lineReader) (r Record, v rowAction, p *Problem) {
	if m.raw.Time.Format != "" {
		r.At, p = l.parseWallClock(m.timeColumn, m.raw.Time.Column, m.raw.Time.Format)
	} else {
		r.At, p = l.parseTime(m.timeColumn, m.raw.Time.Column, m.timeUnit)
	}
	if p != nil {
		return r, v, p
	}
	for _, e := range m.events {
		for _, value := range e.Equals {
			if string(l.fields[e.columnIndex]) == value {
				return m.parseEvent(l, r, e)
			}
		}
	}
	if m.accountColumn >= 0 {
		if r.Account = string(l.fields[m.accountColumn]); r.Account == "" {
			return r, v, l.problem(m.raw.Account, "fill it in, or remove the row", "empty")
		}
	}
	if m.classColumn >= 0 {
		if r.Class, p = mappedName(l, m.classColumn, m.raw.Class); p != nil {
			return r, v, p
		}
	}
	if m.planColumn >= 0 {
		if r.Plan, p = mappedName(l, m.planColumn, m.raw.Plan); p != nil {
			return r, v, p
		}
	}
	if m.unitsColumn >= 0 {
		if r.Units, p = l.parseNumber(m.unitsColumn, m.raw.Units, 1e-6, 1e6); p != nil {
			return r, v, p
		}
	}
	switch {
	case m.workColumn >= 0 && m.workUnit > 0:
		r.Work, p = l.parseTime(m.workColumn, m.raw.Work, m.workUnit)
	case m.workColumn >= 0:
		r.Size, p = l.parseNumber(m.workColumn, m.raw.Work, 0, 1e12)
	}
	return r, keepRow, p
}

func (m *mapping) parseEvent(l *lineReader, r Record, e mappedEvent) (Record, rowAction, *Problem) {
	if r.Machine = string(l.fields[e.boxIndex]); r.Machine == "" {
		return r, keepRow, l.problem(e.Box, "fill it in, or remove the row", "empty")
	}
	switch e.Kind {
	case "up":
		r.Kind = MachineUp
	case "down":
		r.Kind = MachineDown
	case "slow":
		r.Kind = Usage
		var p *Problem
		if r.SlowFactor, p = l.parseNumber(e.factorIndex, e.Factor, 0.01, 1000); p != nil {
			return r, keepRow, p
		}
	}
	return r, keepRow, nil
}

// mappedName translates field i by the mapping's names; without names it returns the
// field unchanged.
func mappedName(l *lineReader, i int, n *rawNames) (string, *Problem) {
	text := string(l.fields[i])
	if len(n.Names) == 0 {
		return text, nil
	}
	name, ok := n.Names[text]
	if !ok {
		return "", l.problem(n.Column, "add it to names in the mapping", "%q has no name there", truncate(l.fields[i]))
	}
	return name, nil
}
