package replay

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"example.org/madderdrum/internal/paired"
	"example.org/madderdrum/internal/policies"
)

// Change is the difference of one figure between two reports, over their common seeds.
type Change struct {
	Name        string
	A, B        float64 // means over the seeds
	Difference  float64 // B - A
	Noise       float64 // bound that a mean difference by chance alone stays below with 95% probability
	Seeds       int
	Significant bool // Difference exceeds Noise
}

// comparedFigures lists the quantities of a run that Compare compares.
var comparedFigures = []struct {
	name string
	of   func(*Run) float64
}{
	{"service, total", func(r *Run) float64 { return r.Service.Total }},
	{"service, whole run", func(r *Run) float64 { return r.Service.Whole }},
	{"service, worst 10 s", func(r *Run) float64 { return r.Service.Worst10s }},
	{"service, worst plan", func(r *Run) float64 { return r.Service.WorstPlan }},
	{"refused within quota", func(r *Run) float64 { return ratio(r.Total.RefusedWithin, r.Total.Within) }},
	{"failed", func(r *Run) float64 { return ratio(r.Total.Failed+r.Total.Expired, r.Total.Asked) }},
	{"late", func(r *Run) float64 { return ratio(r.Total.Late, r.Total.Asked) }},
	{"retries a request", func(r *Run) float64 { return ratio(r.Total.Retries, r.Total.Asked) }},
	{"attempts a request", func(r *Run) float64 { return ratio(r.Traffic.Attempts, r.Total.Asked) }},
	{"messages a request", func(r *Run) float64 { return ratio(r.Traffic.Messages, r.Total.Asked) }},
	{"broken rules", func(r *Run) float64 {
		n := 0
		for _, rule := range r.Rules {
			n += rule.Broken
		}
		return float64(n)
	}},
}

func ratio(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// Compare compares two reports by pairs of runs with the same seed, so that variation
// between seeds, which affects both runs of a pair alike, cancels out. It uses the
// runs of the limiter, or those of the first policy if a report has none.
func Compare(a, b *Report) ([]Change, error) {
	runsA, runsB := runsBySeed(a), runsBySeed(b)
	var seeds []uint64
	for _, r := range a.Runs {
		if runsA[r.Seed] == r && runsB[r.Seed] != nil {
			seeds = append(seeds, r.Seed)
		}
	}
	if len(seeds) == 0 {
		return nil, fmt.Errorf("the reports have no seed in common")
	}
	var all []Change
	for _, f := range comparedFigures {
		c := Change{Name: f.name, Seeds: len(seeds)}
		n := float64(len(seeds))
		var differences []float64
		for _, seed := range seeds {
			x, y := f.of(runsA[seed]), f.of(runsB[seed])
			c.A, c.B = c.A+x/n, c.B+y/n
			differences = append(differences, y-x)
			c.Difference += (y - x) / n
		}
		if c.Noise = paired.Noise(differences); len(seeds) > 1 {
			c.Significant = math.Abs(c.Difference) > max(c.Noise, 1e-9)
		}
		all = append(all, c)
	}
	return all, nil
}

// runsBySeed returns the first run of each seed, of the policy that Compare uses.
func runsBySeed(r *Report) map[uint64]*Run {
	policy := r.Runs[0].Policy
	for _, run := range r.Runs {
		if run.Policy == policies.Names()[0] {
			policy = run.Policy
		}
	}
	all := map[uint64]*Run{}
	for _, run := range r.Runs {
		if run.Policy == policy && all[run.Seed] == nil {
			all[run.Seed] = run
		}
	}
	return all
}

// WriteComparison writes a comparison of two reports as a table of text.
func WriteComparison(out io.Writer, nameA, nameB string, a, b *Report) error {
	changes, err := Compare(a, b)
	if err != nil {
		return fmt.Errorf("%s and %s: %w", nameA, nameB, err)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "over %d seeds\t%s\t%s\tdifference\tnoise\t\n", changes[0].Seeds, nameA, nameB)
	for _, c := range changes {
		verdict := "within noise"
		switch {
		case c.Seeds == 1:
			verdict = "one seed can't tell; play both with --seeds 5"
		case c.Difference == 0:
			verdict = "the same"
		case c.Significant:
			verdict = "more than noise"
		}
		fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%+.4f\t%.4f\t%s\n", c.Name, c.A, c.B, c.Difference, c.Noise, verdict)
	}
	if a.Scale != b.Scale || a.Fleet.Name != b.Fleet.Name || len(a.Files) != len(b.Files) {
		fmt.Fprintf(w, "note: the days differ (trace, fleet or scale), not the limiter alone\n")
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("comparison: %w", err)
	}
	return nil
}
