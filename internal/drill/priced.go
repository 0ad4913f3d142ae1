package drill

import (
	"context"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/internal/best"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/paired"
	"example.org/madderdrum/internal/parallel"
	"example.org/madderdrum/internal/virtual"
)

// PricedRow is a case played as it is, and again with advice by the prices that the best plan of
// that very day has: what a request must be worth to be carried. No real limiter knows them; what
// they gain is the most that prices from a forecast could.
type PricedRow struct {
	Case           string
	Service        float64 // as it is
	Refuse, Weigh  float64 // gained where what is worth less is refused, or weighed by its price
	NoiseR, NoiseW float64
}

// pricer advises by prices.
type pricer struct {
	f      *fleet.Fleet
	prices []float64 // of a second of work, by step
	step   time.Duration
	refuse bool
	now    func() time.Duration
}

func (p *pricer) Close() error { return nil }

// Advise weighs what a request is worth against what its work costs until its aim.
func (p *pricer) Advise(_ context.Context, s *advice.Subject, _ time.Duration) advice.Combined {
	class, plan := &p.f.Classes[s.Class], &p.f.Plans[s.Plan]
	from, cheap := p.now(), math.Inf(1)
	for k := int(from / p.step); k <= int((from+class.Aim)/p.step) && k < len(p.prices); k++ {
		cheap = min(cheap, p.prices[k])
	}
	worth, cost := class.Worth*plan.Price*s.Units, class.Work.Seconds()*cheap
	said := advice.Start()
	switch {
	case math.IsInf(cost, 0) || cost <= 0:
	case p.refuse:
		said.Refuse = worth < cost
	default:
		said.Factor = max(advice.LeastFactor, min(advice.MostFactor, worth/cost))
	}
	return said
}

// Priced plays cases with and without prices.
func Priced(ctx context.Context, cases []Case, seeds int, first uint64, boxes, limiters int, progress func(done float64)) ([]PricedRow, error) {
	type day struct{ plain, refuse, weigh float64 }
	days := make([]day, len(cases)*seeds)
	err := parallel.Each(ctx, len(days), progress, func(ctx context.Context, i int) error {
		c, seed, d := cases[i/seeds], first+uint64(i%seeds), &days[i]
		plain, b, err := playBest(ctx, c, seed, boxes, limiters)
		if err != nil {
			return err
		}
		d.plain = plain
		if d.refuse, err = playPriced(ctx, c, seed, boxes, limiters, b, true); err != nil {
			return err
		}
		d.weigh, err = playPriced(ctx, c, seed, boxes, limiters, b, false)
		return err
	})
	if err != nil {
		return nil, err
	}
	rows := make([]PricedRow, len(cases))
	for i := range rows {
		r := &rows[i]
		r.Case = cases[i].Name
		var refuse, weigh []float64
		for _, d := range days[i*seeds : (i+1)*seeds] {
			r.Service += d.plain / float64(seeds)
			r.Refuse += (d.refuse - d.plain) / float64(seeds)
			r.Weigh += (d.weigh - d.plain) / float64(seeds)
			refuse, weigh = append(refuse, d.refuse-d.plain), append(weigh, d.weigh-d.plain)
		}
		r.NoiseR, r.NoiseW = paired.Noise(refuse), paired.Noise(weigh)
	}
	return rows, nil
}

// playPriced plays a case with advice by prices.
func playPriced(ctx context.Context, c Case, seed uint64, boxes, limiters int, b *best.Best, refuse bool) (float64, error) {
	o, err := c.options(seed, boxes, limiters)
	if err != nil {
		return 0, err
	}
	f, step := o.Fleet, time.Duration(b.StepS*float64(time.Second))
	o.Advisers = func(_ int, now func() time.Duration) (virtual.Adviser, error) {
		return &pricer{f: f, prices: b.Prices, step: step, refuse: refuse, now: now}, nil
	}
	res, err := virtual.Run(ctx, o)
	if err != nil {
		return 0, fmt.Errorf("case %s, seed %d, by prices: %w", c.Name, seed, err)
	}
	return res.World.Meter.Figure().Total, nil
}

// WritePriced writes the table.
func WritePriced(w io.Writer, rows []PricedRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "case\tservice\trefused by price\t±\tweighed by price\t±")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.4f\t%+.4f\t%.4f\t%+.4f\t%.4f\n", r.Case, r.Service, r.Refuse, r.NoiseR, r.Weigh, r.NoiseW)
	}
	return t.Flush()
}
