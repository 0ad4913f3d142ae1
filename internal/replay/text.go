package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// sparkline draws values from 0 to 1 as a row of at most maxBlocks block characters,
// each the mean of adjacent values.
func sparkline(values []float64, maxBlocks int) string {
	const blocks = "▁▂▃▄▅▆▇█"
	if len(values) == 0 {
		return ""
	}
	n := min(maxBlocks, len(values))
	var b strings.Builder
	for k := range n {
		from, to := k*len(values)/n, max(k*len(values)/n+1, (k+1)*len(values)/n)
		sum := 0.0
		for _, v := range values[from:to] {
			sum += v
		}
		level := int(max(0, min(1, sum/float64(to-from))) * 7.999)
		b.WriteRune([]rune(blocks)[level])
	}
	return b.String()
}

const sparklineWidth = 60

// Text writes the report as tables of text; details are those of the first run.
func (r *Report) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	first := r.Runs[0]
	fmt.Fprintf(w, "fleet %s: %d limiters before %d boxes in %s\n", r.Fleet.Name, r.Fleet.Limiters, r.Fleet.Boxes, strings.Join(r.Fleet.Rooms, ", "))
	for _, f := range r.Files {
		fmt.Fprintf(w, "trace %s (%s): %d rows", strings.Join(f.Files, " "), f.Schema, f.Rows)
		if f.Moved+f.Dropped > 0 {
			fmt.Fprintf(w, ", %d put in order, %d duplicates dropped", f.Moved, f.Dropped)
		}
		for _, why := range slices.Sorted(maps.Keys(f.Passed)) {
			fmt.Fprintf(w, "; %d passed over: %s", f.Passed[why], why)
		}
		fmt.Fprintln(w)
	}
	s := r.Scale
	fmt.Fprintf(w, "scaled: %.4g requests a second played", s.PlayedRate)
	if len(r.Files) > 0 {
		fmt.Fprintf(w, ", %.4g in the trace; time x %g; %.4g copies of each arrival", s.TraceRate, s.Speed, s.Copies)
	}
	fmt.Fprintln(w)
	for _, o := range r.Origins {
		fmt.Fprintf(w, "  %s\t%s\t%s\n", o.Quantity, o.How, o.Detail)
	}
	fmt.Fprintf(w, "\nservice\ttotal\twhole\tworst 10 s\tworst plan\tbroken rules\n")
	for _, run := range r.Runs {
		broken := 0
		for _, rule := range run.Rules {
			broken += rule.Broken
		}
		fmt.Fprintf(w, "%s, seed %d, %s\t%.3f\t%.3f\t%.3f at %d s\t%.3f %s\t%d\n", run.Policy, run.Seed, run.Driver, run.Service.Total, run.Service.Whole,
			run.Service.Worst10s, run.Service.WorstFromS, run.Service.WorstPlan, run.Service.PlanName, broken)
	}
	fmt.Fprintf(w, "\n%s, seed %d\tservice\tasked\twithin quota\tin time\tlate\trefused\tof them within\tfailed\tno answer\tretries\tsent beyond\n", first.Policy, first.Seed)
	row := func(t Tally, name string) {
		fmt.Fprintf(w, "%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, t.Service, t.Asked, t.Within, t.InTime, t.Late,
			t.Refused, t.RefusedWithin, t.Failed, t.Expired, t.Retries, t.SentBeyond)
	}
	row(first.Total, "all")
	for _, t := range first.Classes {
		row(t, t.Name)
	}
	for _, t := range append(slices.Clone(first.Plans), first.Ways...) {
		row(t, t.Name)
	}
	if len(first.Why) > 0 {
		fmt.Fprintf(w, "\nnot served in time, by how it ended\n")
	}
	for _, why := range sortedReasons(first.Why) {
		fmt.Fprintf(w, "  %d\t%s\n", first.Why[why], why)
	}
	t := first.Traffic
	fmt.Fprintf(w, "\n%d attempts, %d of them across rooms; %d connects, %d probes, %d messages between limiters\n", t.Attempts, t.Crossings, t.Connects, t.Probes, t.Messages)
	if t.Asks > 0 {
		fmt.Fprintf(w, "%d asks by proxies, %d granted\n", t.Asks, t.Grants)
	}
	if c := first.CPU; c != nil {
		fmt.Fprintf(w, "CPU %.0f us a request; by limiter %.2f s, memory %.0f MB; the driver itself was up to %.1f ms late\n", c.PerAskUs, c.Seconds, c.MemoryMB, c.LateMs)
	}
	fmt.Fprintf(w, "\nrule\tput to the test\tbroken\n")
	for _, rule := range first.Rules {
		fmt.Fprintf(w, "%s\t%d\t%d\n", rule.Name, rule.Tested, rule.Broken)
	}
	for i, b := range first.Breaches {
		if i == 10 {
			fmt.Fprintf(w, "... all that were kept are in the JSON report\n")
			break
		}
		fmt.Fprintf(w, "  broken: %s\n", b)
	}
	if r.Advice != nil {
		r.Advice.writeText(w)
	}
	if len(first.Seconds) > 0 {
		r.writeCharts(w, first)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// writeCharts draws requests, service and load over time, and lists the notes.
func (r *Report) writeCharts(w io.Writer, run *Run) {
	var served, asked []float64
	maxAsked := 1.0
	for _, s := range run.Seconds {
		maxAsked = max(maxAsked, float64(s.Asked))
	}
	for _, s := range run.Seconds {
		served = append(served, 1)
		if s.Worth > 0 {
			served[len(served)-1] = s.Earned / s.Worth
		}
		asked = append(asked, float64(s.Asked)/maxAsked)
	}
	fmt.Fprintf(w, "\nover time, 0 to %.0f s\n", run.LengthS)
	fmt.Fprintf(w, "  asked\t%s\tup to %.0f a second\n", sparkline(asked, sparklineWidth), maxAsked)
	fmt.Fprintf(w, "  service\t%s\t0 to 1\n", sparkline(served, sparklineWidth))
	for _, room := range r.Fleet.Rooms {
		var sum []float64
		n := 0.0
		for _, b := range run.Boxes {
			if b.Room != room {
				continue
			}
			n++
			for i, v := range b.Busy {
				if i >= len(sum) {
					sum = append(sum, 0)
				}
				sum[i] += v
			}
		}
		for i := range sum {
			sum[i] /= n
		}
		fmt.Fprintf(w, "  load of %s\t%s\tshare of its cores\n", room, sparkline(sum, sparklineWidth))
	}
	for _, b := range run.Boxes[:min(len(run.Boxes), 24)] {
		fmt.Fprintf(w, "  box %s\t%s\t%s\n", b.Name, sparkline(b.Busy, sparklineWidth), conditionNames(b.Condition))
	}
	for i, n := range run.Notes {
		if i == 40 {
			fmt.Fprintf(w, "  ... %d more in the JSON report\n", len(run.Notes)-i)
			break
		}
		fmt.Fprintf(w, "  %.1f s\t%s\n", n.AtS, n.Text)
	}
}

// conditionNames lists the conditions of a box in order, from the letters of
// BoxSeries.Condition. Running is left out.
func conditionNames(letters string) string {
	names := map[byte]string{'c': "cold", 'd': "draining", 'h': "hung", 'x': "away", 'v': "vanished", 'f': "fell over"}
	var all []string
	last := byte('.')
	for i := range len(letters) {
		if c := letters[i]; c != last {
			if name := names[c]; name != "" {
				all = append(all, name)
			}
			last = c
		}
	}
	return strings.Join(all, ", ")
}

// sortedReasons returns the keys by falling count.
func sortedReasons(counts map[string]int) []string {
	all := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(all, func(a, b string) int { return counts[b] - counts[a] })
	return all
}
