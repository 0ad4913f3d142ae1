package drill

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"example.org/madderdrum/internal/best"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
)

// BestRow is a case held against the best possible, in the mean of all seeds.
type BestRow struct {
	Case                  string
	Service, Bound, Share float64
	Gap                   float64 // the most that a bound may be too high
	Causes                []best.Cause
}

// Bests plays cases with tiers of preference and bounds what could have been earned.
func Bests(ctx context.Context, cases []Case, seeds int, first uint64, boxes, limiters int, progress func(done float64)) ([]BestRow, error) {
	rows := make([]BestRow, len(cases))
	type job struct{ c, seed int }
	var jobs []job
	for c := range cases {
		rows[c].Case = cases[c].Name
		for s := range seeds {
			jobs = append(jobs, job{c, s})
		}
	}
	var mu sync.Mutex
	var failed error
	next, done := 0, 0
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for {
				mu.Lock()
				if next == len(jobs) || failed != nil {
					mu.Unlock()
					return
				}
				j := jobs[next]
				next++
				mu.Unlock()
				service, b, err := playBest(ctx, cases[j.c], first+uint64(j.seed), boxes, limiters)
				mu.Lock()
				if err != nil {
					failed = err
					mu.Unlock()
					return
				}
				rows[j.c].add(service, b, 1/float64(seeds))
				if done++; progress != nil {
					progress(float64(done) / float64(len(jobs)))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for i := range rows {
		slices.SortFunc(rows[i].Causes, func(a, b best.Cause) int {
			if a.Share != b.Share {
				return int(1e9 * (b.Share - a.Share))
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
	return rows, failed
}

func (r *BestRow) add(service float64, b *best.Best, weight float64) {
	r.Service += service * weight
	r.Bound += b.Total * weight
	r.Share += b.Share * weight
	r.Gap = max(r.Gap, b.Gap)
	for _, c := range b.Causes {
		i := slices.IndexFunc(r.Causes, func(x best.Cause) bool { return x.Name == c.Name })
		if i < 0 {
			i = len(r.Causes)
			r.Causes = append(r.Causes, best.Cause{Name: c.Name, Due: c.Due})
		}
		r.Causes[i].Requests += c.Requests
		r.Causes[i].Worth += c.Worth
		r.Causes[i].Share += c.Share * weight
	}
}

// playBest plays a case once.
func playBest(ctx context.Context, c Case, seed uint64, boxes, limiters int) (float64, *best.Best, error) {
	c = c.times()
	f, faults, err := c.day(boxes, limiters)
	if err != nil {
		return 0, nil, err
	}
	o := virtual.Options{Fleet: f, Seed: seed, Source: world.NewSynthetic(f, seed, c.Length), Faults: faults}
	x := best.Watch(f, &o)
	res, err := virtual.Run(ctx, o)
	if err != nil {
		return 0, nil, fmt.Errorf("case %s, seed %d: %w", c.Name, seed, err)
	}
	b, err := x.Best(ctx, faults, seed, res.Length)
	if err != nil {
		return 0, nil, fmt.Errorf("case %s, seed %d: %w", c.Name, seed, err)
	}
	return res.World.Meter.Figure().Total, b, nil
}

// WriteBests writes the table.
func WriteBests(w io.Writer, rows []BestRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "case\tservice\tbound\tshare\ttoo high by\tlost of what was asked")
	for _, r := range rows {
		var causes []string
		for i, c := range r.Causes {
			if i < 5 && c.Share >= 0.0005 {
				causes = append(causes, fmt.Sprintf("%.1f%% %s", 100*c.Share, c.Text()))
			}
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.1f%%\t%.1f%%\t%s\n", r.Case, r.Service, r.Bound, 100*r.Share, 100*r.Gap, strings.Join(causes, ", "))
	}
	return t.Flush()
}
