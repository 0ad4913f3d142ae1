package replay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/trace"
	"example.org/madderdrum/internal/world"
)

func memoryFile(name, content string) trace.Source {
	return trace.Source{Name: name, Open: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(content)), nil }}
}

func input(t testing.TB, schema, content string) Input {
	t.Helper()
	s, err := trace.ByName(schema)
	if err != nil {
		t.Fatal(err)
	}
	return Input{[]trace.Source{memoryFile(schema+".csv", content)}, s}
}

func exampleTrace(t testing.TB, schema string) Input {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "trace", "testdata", schema+".csv"))
	if err != nil {
		t.Fatal(err)
	}
	return input(t, schema, string(data))
}

func prepare(t testing.TB, o Options) *Plan {
	t.Helper()
	if o.Fleet == nil {
		o.Fleet = config.Bluebird()
	}
	p, err := Prepare(context.Background(), o, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func play(t testing.TB, p *Plan, policy string, seed uint64) *Run {
	t.Helper()
	r, err := PlayVirtual(context.Background(), p, policy, seed, true, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// savedReport plays a plan and returns the JSON report.
func savedReport(t *testing.T, o Options, seed uint64) []byte {
	t.Helper()
	p := prepare(t, o)
	r := NewReport(p)
	r.Runs = append(r.Runs, play(t, p, "limiter", seed))
	path := filepath.Join(t.TempDir(), "r.json")
	if err := r.Save(path); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Two replays with the same seed give the same file, byte for byte.
func TestSameSeedSameFile(t *testing.T) {
	o := Options{Inputs: []Input{Friday()}, Rate: -1, For: 30 * time.Second}
	first := savedReport(t, o, 3)
	if again := savedReport(t, o, 3); !bytes.Equal(first, again) {
		t.Error("the same seed gave another file")
	}
	if other := savedReport(t, o, 4); bytes.Equal(first, other) {
		t.Error("another seed gave the same file")
	}
}

// On the built-in trace no rule is broken, its faults reach the boxes, and no quantity is
// drawn.
func TestFriday(t *testing.T) {
	p := prepare(t, Options{Inputs: []Input{Friday()}, Rate: -1})
	r := play(t, p, "limiter", 1)
	if r.Service.Total < 0.9 || r.Service.Total > 1 || r.Total.Asked < 19000 || len(r.Breaches) > 0 {
		t.Errorf("%+v %+v %v", r.Service, r.Total, r.Breaches)
	}
	for _, b := range r.Boxes {
		if b.Room == "room-b" && !strings.Contains(b.Condition, "x") {
			t.Errorf("box %s was never away: %s", b.Name, b.Condition)
		}
	}
	for _, o := range p.Origins {
		if o.How == "drawn" {
			t.Errorf("%s is drawn", o.Quantity)
		}
	}
}

// Arrivals follow the trace in order, at its own rate or scaled to another.
func TestScaling(t *testing.T) {
	count := func(o Options) (n int, last time.Duration) {
		p := prepare(t, o)
		a, err := p.Source(1)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		for x, ok := a.Next(); ok; x, ok = a.Next() {
			if x.At < last {
				t.Fatalf("%v after %v", x.At, last)
			}
			last = x.At
			n++
		}
		if a.Err() != nil {
			t.Fatal(a.Err())
		}
		return n, last
	}
	tasks := exampleTrace(t, "alibaba-2018-batch-task")
	n, last := count(Options{Inputs: []Input{tasks}, Rate: -1})
	if n != 120 || last < 90*time.Second {
		t.Errorf("%d arrivals until %v", n, last)
	}
	fast, sooner := count(Options{Inputs: []Input{tasks}, Rate: -1, Speed: 4})
	if fast != 120 || sooner < last/5 || sooner > last/3 {
		t.Errorf("four times as fast: %d until %v, before %v", fast, sooner, last)
	}
	if n, last := count(Options{Inputs: []Input{tasks}, Rate: 50}); float64(n) < 40*last.Seconds() || float64(n) > 60*last.Seconds() {
		t.Errorf("at 50 a second: %d in %v", n, last)
	}
	if n, _ := count(Options{Inputs: []Input{tasks}, Rate: 0.3}); n < 15 || n > 60 {
		t.Errorf("thinned: %d", n)
	}
	part, _ := count(Options{Inputs: []Input{tasks}, Rate: -1, From: 30 * time.Second, For: 30 * time.Second})
	if part < 20 || part > 60 {
		t.Errorf("from 30 s for 30 s: %d", part)
	}
}

// Machines that are added, removed or highly utilized become faults of the boxes
// assigned to them.
func TestMachinesBecomeFaults(t *testing.T) {
	p := prepare(t, Options{Inputs: []Input{exampleTrace(t, "google-2011-task-events"), exampleTrace(t, "google-2011-machine-events")}})
	var all []string
	for _, x := range p.Faults {
		all = append(all, fmt.Sprintf("%.0fs %s", x.From.Seconds(), x.Text))
	}
	if got := strings.Join(all, "; "); !strings.Contains(got, "box a0 goes") || !strings.Contains(got, "box a0 comes") {
		t.Errorf("faults: %s", got)
	}
	p = prepare(t, Options{Inputs: []Input{exampleTrace(t, "alibaba-2018-batch-task"), exampleTrace(t, "alibaba-2018-machine-usage"), exampleTrace(t, "alibaba-2018-machine-meta")}})
	slow, gone := 0, 0
	for _, x := range p.Faults {
		if x.Verb == "slows" {
			slow++
		}
		if x.Verb == "dies" {
			gone++
		}
	}
	if slow < 2 || gone != 2 {
		t.Errorf("%d slowdowns, %d that go: %v", slow, gone, p.Faults)
	}
	if r := play(t, p, "limiter", 1); len(r.Breaches) > 0 || r.Total.Asked == 0 {
		t.Errorf("%+v", r.Breaches)
	}
}

// Every known layout can be played.
func TestAllLayoutsPlay(t *testing.T) {
	for _, name := range []string{"google-2011-task-events", "alibaba-2018-batch-task", "alibaba-2018-batch-instance", "alibaba-2021-ms-callgraph",
		"azure-functions-2019", "azure-llm-2023"} {
		p := prepare(t, Options{Inputs: []Input{exampleTrace(t, name)}, For: 20 * time.Second, Rate: 60, Seed: 1})
		r := play(t, p, "limiter", 1)
		if r.Total.Asked < 400 || len(r.Breaches) > 0 {
			t.Errorf("%s: %+v %v", name, r.Total, r.Breaches)
		}
		read := 0
		for _, o := range p.Origins {
			if o.How == "read" {
				read++
			}
		}
		if read == 0 || len(p.Origins) < 7 {
			t.Errorf("%s: origins %v", name, p.Origins)
		}
	}
}

func TestRefusedTraces(t *testing.T) {
	const good = "5000000,,9,0,,0,ann,2,9,0.0125,0.01,0.0001,0\n"
	prepareErr := func(o Options) error {
		o.Fleet = config.Bluebird()
		_, err := Prepare(context.Background(), o, nil)
		return err
	}
	var problems *trace.Problems
	err := prepareErr(Options{Inputs: []Input{input(t, "google-2011-task-events", good+"4,1\n"+"3000000,,9,0,,0,ann,2,9,,,,0\n")}})
	if !errors.As(err, &problems) || len(problems.List) != 2 {
		t.Errorf("two mistakes: %v", err)
	}
	if err := prepareErr(Options{Inputs: []Input{exampleTrace(t, "google-2011-machine-events")}}); !errors.Is(err, ErrNoArrivals) {
		t.Errorf("machines alone: %v", err)
	}
	if err := prepareErr(Options{Inputs: []Input{exampleTrace(t, "alibaba-2018-batch-task")}, From: time.Hour}); !errors.Is(err, ErrNoArrivals) ||
		!strings.Contains(err.Error(), "those up to there are from 24h0m") {
		t.Errorf("past the end: %v", err)
	}
	if err := prepareErr(Options{Inputs: []Input{exampleTrace(t, "azure-llm-2023"), exampleTrace(t, "google-2011-machine-events")}}); !errors.Is(err, ErrMixedClocks) {
		t.Errorf("two clocks: %v", err)
	}
	f := Friday()
	content, err := f.Files[0].Open()
	if err != nil {
		t.Fatal(err)
	}
	content.Close()
	for _, c := range []struct{ row, want string }{
		{"0,ask,a,sms,starter,1,5,,", `class: the fleet has no class "sms"; name one of its classes in the mapping: status-check send-reminder send-bulk-paid`},
		{"0,ask,a,status-check,gold,1,5,,", `plan: the fleet has no plan "gold"`},
		{"0,ask,a,status-check,starter,0,5,,", `units: "0" is not within`},
		{"0,down,,,,,,z9,", `box: the fleet has no box "z9"; name one of its boxes: a0 a1`},
		{"0,up,,,,,,b1,\n1,up,,,,,,b1,", `"b1" is added a second time`},
	} {
		f.Files = []trace.Source{memoryFile("f.csv", "ms,what,account,class,plan,units,work_us,box,slow\n"+c.row+"\n9,ask,a,status-check,starter,1,5,,\n")}
		if err := prepareErr(Options{Inputs: []Input{f}}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.row, err, c.want)
		}
	}
}

func TestCompare(t *testing.T) {
	report := func(rate float64, scenario string, seeds int) *Report {
		f := config.Bluebird()
		f.Traffic.Rate = rate
		p := prepare(t, Options{Fleet: f, FleetName: "x", Length: 15 * time.Second, Scenario: scenario})
		r := NewReport(p)
		for seed := range seeds {
			r.Runs = append(r.Runs, play(t, p, "limiter", uint64(seed)))
		}
		return r
	}
	calm, rough := report(170, "", 5), report(170, "box a0 fails 80% from 1s to 14s\nroom room-b is lost from 4s to 12s", 5)
	changes, err := Compare(calm, rough)
	if err != nil || !changes[0].Significant || changes[0].Difference >= 0 || changes[0].Seeds != 5 {
		t.Errorf("calm and rough: %+v, %v", changes[0], err)
	}
	same, err := Compare(calm, calm)
	if err != nil || same[0].Significant || same[0].Difference != 0 {
		t.Errorf("a report and itself: %+v, %v", same[0], err)
	}
	var out bytes.Buffer
	if err := WriteComparison(&out, "a.json", "b.json", report(170, "", 1), rough); err != nil || !strings.Contains(out.String(), "one seed can't tell") {
		t.Errorf("%v\n%s", err, out.String())
	}
	other := report(170, "", 1)
	other.Runs[0].Seed = 99
	if _, err := Compare(calm, other); err == nil {
		t.Error("no seed in common, and compared")
	}
}

// The page refers to no external resource and shows the content of the report; names
// from a trace are escaped.
func TestHTML(t *testing.T) {
	p := prepare(t, Options{Inputs: []Input{Friday()}, Rate: -1, For: 25 * time.Second, FleetName: "<script>alert(1)</script>"})
	r := NewReport(p)
	r.Runs = append(r.Runs, play(t, p, "limiter", 1))
	r.Runs[0].Notes = append(r.Runs[0].Notes, Note{1, "<img src=x onerror=alert(1)>"})
	path := filepath.Join(t.TempDir(), "r.html")
	if err := r.HTML(path); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, never := range []string{"<script", "http://", "https://", "<img", "url(", "NaN"} {
		if strings.Contains(page, never) {
			t.Errorf("the page has %q", never)
		}
	}
	for _, want := range []string{"<svg", "b2 goes (trace)", "send-bulk-paid", "one final answer"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page has no %q", want)
		}
	}
	var out bytes.Buffer
	if err := r.Text(&out); err != nil || !strings.Contains(out.String(), "load of room-b") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

func TestLoadRefuses(t *testing.T) {
	for content, want := range map[string]string{
		"{":              "not a report",
		`{"format":"x"}`: `its format is "x"`,
		`{"format":"madderdrum-replay","version":9,"runs":[{}]}`: "version 9, this program reads up to 1",
		`{"format":"madderdrum-replay","version":1}`:             "it has no runs",
	} {
		path := filepath.Join(t.TempDir(), "r.json")
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", content, err)
		}
	}
}

// BenchmarkFleet plays the built-in fleet for ten seconds of virtual time and reports
// the ratio of virtual to real time.
func BenchmarkFleet(b *testing.B) {
	f := config.Bluebird()
	const length = 10 * time.Second
	p, err := Prepare(context.Background(), Options{Fleet: f, Length: length}, nil)
	if err != nil {
		b.Fatal(err)
	}
	var events uint64
	for b.Loop() {
		r, err := PlayVirtual(context.Background(), p, "limiter", 1, false, nil)
		if err != nil {
			b.Fatal(err)
		}
		events += r.Traffic.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
	b.ReportMetric(length.Seconds()*float64(b.N)/b.Elapsed().Seconds(), "times-real-time")
}

var _ world.Source = (*Arrivals)(nil)
