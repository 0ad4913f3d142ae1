package drill

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"example.org/madderdrum/internal/best"
	"example.org/madderdrum/internal/parallel"
	"example.org/madderdrum/internal/virtual"
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
	type played struct {
		service float64
		best    *best.Best
	}
	days := make([]played, len(cases)*seeds)
	err := parallel.Each(ctx, len(days), progress, func(ctx context.Context, i int) (err error) {
		days[i].service, days[i].best, err = playBest(ctx, cases[i/seeds], first+uint64(i%seeds), boxes, limiters)
		return err
	})
	if err != nil {
		return nil, err
	}
	rows := make([]BestRow, len(cases))
	for i, d := range days {
		r := &rows[i/seeds]
		r.Case = cases[i/seeds].Name
		r.add(d.service, d.best, 1/float64(seeds))
	}
	for i := range rows {
		slices.SortFunc(rows[i].Causes, func(a, b best.Cause) int {
			return cmp.Or(cmp.Compare(b.Share, a.Share), strings.Compare(a.Name, b.Name))
		})
	}
	return rows, nil
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
	o, err := c.options(seed, boxes, limiters)
	if err != nil {
		return 0, nil, err
	}
	x := best.NewWatcher(o.Fleet, &o)
	res, err := virtual.Run(ctx, o)
	if err != nil {
		return 0, nil, fmt.Errorf("case %s, seed %d: %w", c.Name, seed, err)
	}
	b, err := x.Bound(ctx, o.Faults, seed, res.Length)
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
