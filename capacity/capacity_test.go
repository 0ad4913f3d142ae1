package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomProblem returns a problem with a few needs and steps: units and work of various sizes, ties,
// needs that can't be served, and large and small quotas.
func randomProblem(r *rand.Rand) *Problem {
	p := &Problem{Supply: Supply{Step: 1}}
	scale := math.Pow(10, float64(r.IntN(10)-4)) // scale of work, worth and units
	for range 1 + r.IntN(5) {
		p.Supply.Work = append(p.Supply.Work, scale*float64(r.IntN(5)))
	}
	if r.IntN(2) == 0 {
		for _, w := range p.Supply.Work {
			p.Supply.Core = append(p.Supply.Core, w/2)
		}
	}
	for range r.IntN(3) {
		p.Quotas = append(p.Quotas, Quota{Rate: scale * float64(r.IntN(3)), Burst: scale * float64(r.IntN(5))})
	}
	for range r.IntN(7) {
		n := Need{At: float64(r.IntN(len(p.Supply.Work))) + r.Float64(), Aim: 2 * r.Float64(), Work: scale * float64(r.IntN(4)),
			Worth: scale * float64(r.IntN(5)), Units: scale * float64(1+r.IntN(3)), Account: r.IntN(len(p.Quotas)+1) - 1}
		n.Deadline = n.Aim + 2*r.Float64()
		n.Late, n.WorthBeyondQuota = 0.5*float64(r.IntN(2)), n.Worth*(r.Float64()-0.5)
		p.Needs = append(p.Needs, n)
	}
	return p
}

// choice is one way to treat a need: skip it, or serve it in time or late, within or beyond the quota.
type choice int

const (
	skip choice = iota
	inTime
	late
	beyondInTime
	beyondLate
	choices
)

// bruteForce returns the most that any feasible choice earns. Needs are served whole, work is done by
// earliest deadline first, and units are taken on arrival.
func bruteForce(p *Problem) (best float64) {
	chosen := make([]choice, len(p.Needs))
	for {
		if worth := choiceWorth(p, chosen); worth > best {
			best = worth
		}
		k := 0
		for ; k < len(chosen); k++ {
			if chosen[k]++; chosen[k] < choices {
				break
			}
			chosen[k] = skip
		}
		if k == len(chosen) {
			return best
		}
	}
}

// choiceWorth returns the worth of a choice, or -1 if it is not feasible.
func choiceWorth(p *Problem, chosen []choice) (worth float64) {
	type job struct{ from, to, left float64 }
	var jobs []job
	order := make([]int, len(p.Needs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if p.Needs[a].At < p.Needs[b].At {
			return -1
		}
		return 1
	})
	levels, at := map[int]float64{}, map[int]float64{}
	for _, i := range order {
		n, c := &p.Needs[i], chosen[i]
		if c == skip {
			continue
		}
		deadline := n.At + n.Aim
		if c == late || c == beyondLate {
			deadline = n.At + max(n.Aim, n.Deadline)
		}
		gain := n.Worth
		if c == beyondInTime || c == beyondLate {
			gain = max(0, n.WorthBeyondQuota)
		} else if n.Account >= 0 {
			q := p.Quotas[n.Account]
			if _, have := levels[n.Account]; !have {
				levels[n.Account] = q.Burst
			}
			levels[n.Account] = min(q.Burst, levels[n.Account]+q.Rate*(n.At-at[n.Account])) - n.Units
			at[n.Account] = n.At
			if levels[n.Account] < 0 {
				return -1
			}
		}
		if c == late || c == beyondLate {
			gain *= n.Late
		}
		worth += gain
		jobs = append(jobs, job{n.At, deadline, n.Work})
	}
	// Hall's condition for all spans between job boundaries; supply is constant within a step.
	supplied := func(t float64) (sum float64) {
		for k, w := range p.Supply.Work {
			sum += w * max(0, min(1, t-float64(k)))
		}
		return sum
	}
	for _, a := range jobs {
		for _, b := range jobs {
			need := 0.0
			for _, j := range jobs {
				if j.from >= a.from && j.to <= b.to {
					need += j.left
				}
			}
			if a.from < b.to && need > supplied(b.to)-supplied(a.from)+1e-9*need || a.from >= b.to && need > 0 {
				return -1
			}
		}
	}
	if len(p.Supply.Core) > 0 { // only one core at a time works on each job
		for _, j := range jobs {
			could := 0.0
			for k, w := range p.Supply.Core {
				could += w * max(0, min(j.to, float64(k+1))-max(j.from, float64(k)))
			}
			if j.left > could*(1+1e-9) {
				return -1
			}
		}
	}
	return worth
}

// No feasible choice earns more than the bound, even if the solver stops after one round. As a check
// of the test itself, slightly wrong problems must give bounds that some choice exceeds.
func TestNeverBelowBruteForce(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	found := map[string]int{}
	sum, gap, tight := 0, 0.0, 0
	for range 1500 {
		p := randomProblem(r)
		best := bruteForce(p)
		for _, rounds := range []int{1, 0} {
			b := Solve(p, Options{Rounds: rounds})
			if best > b.Value*(1+1e-9)+1e-12 {
				t.Fatalf("%d rounds: a choice earns %v, the bound is %v: %+v", rounds, best, b.Value, p)
			}
			if b.Reached > b.Value*(1+1e-9) || math.IsNaN(b.Value) || math.IsInf(b.Value, 0) {
				t.Fatalf("bound %v, reached %v: %+v", b.Value, b.Reached, p)
			}
			if rounds == 0 && b.Value > 0 {
				sum++
				gap += b.Gap()
				tight += int(boolToFloat(best > b.Value*0.999))
			}
		}
		for name, wrong := range map[string]func(q *Problem){
			"supply of nine tenths": func(q *Problem) {
				for k := range q.Supply.Work {
					q.Supply.Work[k] *= 0.9
				}
			},
			"no late answers": func(q *Problem) {
				for i := range q.Needs {
					q.Needs[i].Late = 0
				}
			},
			"nothing beyond quotas": func(q *Problem) {
				for i := range q.Needs {
					q.Needs[i].WorthBeyondQuota = 0
				}
			},
			"bursts of half": func(q *Problem) {
				for i := range q.Quotas {
					q.Quotas[i].Burst /= 2
				}
			},
			"aims shorter": func(q *Problem) {
				for i := range q.Needs {
					q.Needs[i].Aim *= 0.3
				}
			},
		} {
			q := &Problem{Supply: Supply{Step: 1, Work: slices.Clone(p.Supply.Work), Core: p.Supply.Core}, Needs: slices.Clone(p.Needs), Quotas: slices.Clone(p.Quotas)}
			wrong(q)
			if best > Solve(q, Options{}).Value*(1+1e-6) {
				found[name]++
			}
		}
	}
	t.Logf("%d problems with a positive bound, mean gap to a plan %.2f%%, %d times a choice of whole needs reaches the bound; wrong bounds detected %v", sum, 100*gap/float64(sum), tight, found)
	if len(found) != 5 || tight < sum/4 {
		t.Errorf("wrong bounds detected: %v; tight %d of %d", found, tight, sum)
	}
}

// Extreme problems: no needs, no supply, equal needs with five times the supply as demand, sizes from
// 1e-3 to 1e6 in one problem, and a run that is stopped at once.
func TestExtremes(t *testing.T) {
	if b := Solve(&Problem{}, Options{}); b.Value != 0 || b.Gap() != 0 {
		t.Errorf("empty problem: %+v", b)
	}
	p := &Problem{Supply: Supply{Step: 1, Work: make([]float64, 4)}, Needs: []Need{{Work: 1, Worth: 1, Aim: 2, Account: -1}, {Work: 0, Worth: 3, Aim: 2, Account: -1}}}
	if b := Solve(p, Options{}); math.Abs(b.Value-3) > 0.01 {
		t.Errorf("without supply only needs without work can be served: %+v", b)
	}
	p = &Problem{Supply: Supply{Step: 1, Work: []float64{10, 10, 10, 10}}}
	for i := range 200 { // five times the supply, all equal
		p.Needs = append(p.Needs, Need{At: float64(i) / 50, Aim: 0.9, Work: 1, Worth: 2, Account: -1})
	}
	if b := Solve(p, Options{}); b.Value < 80 || b.Value > 80.5 || b.Gap() > 0.01 {
		t.Errorf("five times the supply: %+v", b)
	}
	p = &Problem{Supply: Supply{Step: 1, Work: []float64{1e6, 1e-3}}, Needs: []Need{{Work: 1e6, Worth: 1e6, Aim: 0.5, Account: 0, Units: 1e6},
		{At: 1.1, Work: 1e-3, Worth: 1e-3, Aim: 0.5, Account: 0, Units: 1e-3}}, Quotas: []Quota{{Rate: 1e-3, Burst: 1e6}}}
	if b := Solve(p, Options{}); b.Value < 1e6+0.9e-3 || b.Value > 1e6*1.001 {
		t.Errorf("mixed sizes: %+v", b)
	}
	p = busyProblem(3, 60, 20, 5)
	whole := Solve(p, Options{Gap: 1e-12})
	asked := 0
	b := Solve(p, Options{Gap: 1e-12, Stop: func() bool { asked++; return true }})
	if asked != 1 || b.Rounds != 1 || b.Value < whole.Reached || whole.Value > b.Value {
		t.Errorf("stopped: %v to %v, Stop called %d times; not stopped: %v to %v", b.Reached, b.Value, asked, whole.Reached, whole.Value)
	}
}

// busyProblem returns a problem with varying supply, perStep needs in each step and a quota for each
// account.
func busyProblem(boxes, steps, perStep, accounts int) *Problem {
	r := rand.New(rand.NewPCG(7, 7))
	p := &Problem{Supply: Supply{Step: 1}}
	for k := range steps {
		p.Supply.Work = append(p.Supply.Work, float64(boxes)*(1.2-0.5*math.Sin(float64(k)/40)))
	}
	for range accounts {
		p.Quotas = append(p.Quotas, Quota{Rate: 2, Burst: 10})
	}
	for k := range steps {
		for range perStep {
			p.Needs = append(p.Needs, Need{At: float64(k) + r.Float64(), Aim: 0.3 + r.Float64(), Work: float64(boxes) / float64(perStep) * 2 * r.Float64(),
				Worth: 1 + 5*r.Float64(), Units: 1, Account: r.IntN(accounts)})
		}
	}
	return p
}

// BenchmarkSolve measures Solve by boxes, steps and needs, with the gap that it reaches.
func BenchmarkSolve(b *testing.B) {
	for _, c := range []struct{ boxes, steps, perStep int }{{10, 600, 20}, {100, 600, 200}, {10, 6000, 20}, {10, 60_000, 20}} {
		b.Run(fmt.Sprintf("boxes-%d/steps-%d/needs-%d", c.boxes, c.steps, c.steps*c.perStep), func(b *testing.B) {
			p := busyProblem(c.boxes, c.steps, c.perStep, 1000)
			var got *Bound
			for b.Loop() {
				got = Solve(p, Options{Rounds: 60, Gap: 0.005})
			}
			b.ReportMetric(100*got.Gap(), "%gap")
			b.ReportMetric(float64(got.Rounds), "rounds")
		})
	}
}

// The units that a bucket reports as available equal the minimum over all spans.
func TestBucket(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	for range 300 {
		n, rate, burst := 1+r.IntN(20), 3*r.Float64(), 10*r.Float64()
		at, taken := make([]float64, n), make([]float64, n)
		for k := range at {
			at[k] = 10 * r.Float64()
		}
		slices.Sort(at)
		b := newBucket(rate, func(k int) float64 { return at[k] }, n)
		for range 60 {
			k := r.IntN(n)
			want := math.Inf(1)
			for i := 0; i <= k; i++ {
				for j := k; j < n; j++ {
					sum := 0.0
					for _, u := range taken[i : j+1] {
						sum += u
					}
					want = min(want, burst+rate*(at[j]-at[i])-sum)
				}
			}
			if got := b.available(k, burst); math.Abs(got-want) > 1e-9 {
				t.Fatalf("left %v, want %v", got, want)
			}
			u := max(0, want*r.Float64())
			taken[k] += u
			b.take(k, u)
		}
	}
}
