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
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
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
	var rows []PricedRow
	for i, c := range cases {
		row := PricedRow{Case: c.Name}
		var refuse, weigh []float64
		for s := range seeds {
			seed := first + uint64(s)
			plain, b, err := playBest(ctx, c, seed, boxes, limiters)
			if err != nil {
				return nil, err
			}
			row.Service += plain / float64(seeds)
			for k, gains := range []*[]float64{&refuse, &weigh} {
				got, err := playPriced(ctx, c, seed, boxes, limiters, b, k == 0)
				if err != nil {
					return nil, err
				}
				*gains = append(*gains, got-plain)
			}
			if progress != nil {
				progress((float64(i) + float64(s+1)/float64(seeds)) / float64(len(cases)))
			}
		}
		for s := range seeds {
			row.Refuse += refuse[s] / float64(seeds)
			row.Weigh += weigh[s] / float64(seeds)
		}
		row.NoiseR, row.NoiseW = paired.Noise(refuse), paired.Noise(weigh)
		rows = append(rows, row)
	}
	return rows, nil
}

// playPriced plays a case with advice by prices.
func playPriced(ctx context.Context, c Case, seed uint64, boxes, limiters int, b *best.Best, refuse bool) (float64, error) {
	c = c.times()
	f, faults, err := c.day(boxes, limiters)
	if err != nil {
		return 0, err
	}
	step := time.Duration(b.StepS * float64(time.Second))
	o := virtual.Options{Fleet: f, Seed: seed, Source: world.NewSynthetic(f, seed, c.Length), Faults: faults,
		Advisers: func(_ int, now func() time.Duration) (virtual.Adviser, error) {
			return &pricer{f: f, prices: b.Prices, step: step, refuse: refuse, now: now}, nil
		}}
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
