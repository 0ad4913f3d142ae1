package drill

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/paired"
	"example.org/madderdrum/internal/parallel"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
	"example.org/madderdrum/limiter"
)

// Restarts are played at restartAt, among boxes that are ill all the time. A limiter that ends
// is away for a while; what counts are the seconds once all are back.
const (
	awayAtLeast = 400 * time.Millisecond
	restartAt   = 20 * time.Second
	restartFor  = 82 * time.Second
)

const sick = "box a3 fails 100% from 5s to 80s\nbox b1 hangs from 5s to 80s\nbox b2 slows 4 from 5s to 80s\n"

// restartKinds are the ways in which limiters begin anew.
var restartKinds = []struct{ name, text string }{
	{"one restarted", "limiter n0 restarts at 19500ms\n"},
	{"all restarted", "limiter n0 restarts at 19500ms\nlimiter n1 restarts at 19500ms\nlimiter n2 restarts at 19500ms\n"},
	{"one killed", "limiter n0 is killed at 20s for 950ms\n"},
	{"all killed", "limiter n0 is killed at 20s for 950ms\nlimiter n1 is killed at 20s for 950ms\nlimiter n2 is killed at 20s for 950ms\n"},
}

// restartMemories are what they begin with. The first is the day without a restart, which the
// others are held against, and the second what a restart costs a limiter that forgets.
var restartMemories = []struct {
	name   string
	every  time.Duration
	age    time.Duration
	lies   bool
	calmly bool
}{
	{name: "no restart", calmly: true},
	{name: "no memory"},
	{name: "fresh file", every: 500 * time.Millisecond},
	{name: "1 min old", every: 500 * time.Millisecond, age: time.Minute},
	{name: "1 h old", every: 500 * time.Millisecond, age: time.Hour},
	{name: "1 week old", every: 500 * time.Millisecond, age: 7 * 24 * time.Hour},
	{name: "a file that lies", every: 500 * time.Millisecond, lies: true},
}

// lie calls every healthy box sick and every sick one healthy.
func lie(m *limiter.Memory) {
	for i := range m.Boxes {
		b := &m.Boxes[i]
		ill := b.Down || b.Spent > 1.5*b.Had
		for k := range b.Ills {
			ill = ill || b.Ills[k].Failures > 0 || b.Ills[k].LeftMs > 0
		}
		for k := range b.Ills {
			b.Ills[k] = limiter.IllMemory{}
			if !ill {
				b.Ills[k] = limiter.IllMemory{Failures: 2, LeftMs: 4000}
			}
		}
		b.Down, b.Spent, b.Had = !ill, 20, 20
		if !ill {
			b.Spent = 200
		}
	}
}

// RestartRow is what restarts cost with one kind of memory, over all seeds: service in the
// first 10 and 60 s once all are back, and how far that is below a day without them.
type RestartRow struct {
	Kind, Memory         string
	After10, After60     float64
	Lost10, Lost60       float64
	Noise10, Noise60     float64 // of the loss
	Saved10, Saved60     float64 // share of what forgetting costs; NaN where that is within noise
	SentToSick, Breaches int
}

// Restarts plays restarts by so many seeds.
func Restarts(ctx context.Context, seeds int, first uint64, progress func(done float64)) ([]RestartRow, error) {
	type day struct {
		s10, s60       float64
		sent, breaches int
	}
	of := func(kind, memory int) int { return (kind*len(restartMemories) + memory) * seeds }
	days := make([]day, of(len(restartKinds), 0))
	err := parallel.Each(ctx, len(days), progress, func(ctx context.Context, i int) (err error) {
		d := &days[i]
		row := i / seeds
		d.s10, d.s60, d.sent, d.breaches, err = restart(ctx, row/len(restartMemories), row%len(restartMemories), first+uint64(i%seeds))
		return err
	})
	if err != nil {
		return nil, err
	}
	type cell struct{ s10, s60 []float64 }
	cells := make([][]cell, len(restartKinds))
	rows := make([][]RestartRow, len(restartKinds))
	for k := range restartKinds {
		cells[k], rows[k] = make([]cell, len(restartMemories)), make([]RestartRow, len(restartMemories))
		for m := range restartMemories {
			c, r := &cells[k][m], &rows[k][m]
			r.Kind, r.Memory = restartKinds[k].name, restartMemories[m].name
			for _, d := range days[of(k, m) : of(k, m)+seeds] {
				c.s10, c.s60 = append(c.s10, d.s10), append(c.s60, d.s60)
				r.SentToSick += d.sent
				r.Breaches += d.breaches
			}
		}
	}
	var all []RestartRow
	for k := range rows {
		for m := range rows[k] {
			r, c := &rows[k][m], &cells[k][m]
			r.After10, r.Lost10, r.Noise10 = against(c.s10, cells[k][0].s10)
			r.After60, r.Lost60, r.Noise60 = against(c.s60, cells[k][0].s60)
			forgets := rows[k][1]
			if seeds < 2 { // one day can't tell a loss from chance
				all = append(all, *r)
				continue
			}
			if forgets.Lost10 > forgets.Noise10 {
				r.Saved10 = 1 - r.Lost10/forgets.Lost10
			}
			if forgets.Lost60 > forgets.Noise60 {
				r.Saved60 = 1 - r.Lost60/forgets.Lost60
			}
			all = append(all, *r)
		}
	}
	return all, nil
}

// against is the mean of figures, how far that is below others, and the noise of that.
func against(figures, others []float64) (mean, below, noise float64) {
	d := make([]float64, len(figures))
	for i := range figures {
		d[i] = others[i] - figures[i]
		mean += figures[i] / float64(len(figures))
		below += d[i] / float64(len(figures))
	}
	return mean, below, paired.Noise(d)
}

// restart plays one day.
func restart(ctx context.Context, kind, memory int, seed uint64) (s10, s60 float64, sent, breaches int, err error) {
	f, m := config.Bluebird(), restartMemories[memory]
	text := sick
	if !m.calmly {
		text += restartKinds[kind].text
	}
	faults, err := world.Scenario(f, text)
	if err != nil {
		return 0, 0, 0, 0, fmt.Errorf("drill: %w", err)
	}
	o := virtual.Options{Fleet: f, Seed: seed, Source: world.NewSynthetic(f, seed, restartFor), Faults: faults, MemoryInterval: m.every, ExtraMemoryAge: m.age}
	if m.lies {
		o.AlterMemory = lie
	}
	var w *world.World
	before, up := 0, time.Duration(0)
	ill := func() (n int) {
		for _, b := range w.Boxes {
			if b.Name == "a3" || b.Name == "b1" {
				n += b.Counts.Arrived
			}
		}
		return n
	}
	o.OnStart = func(x *world.World) { w = x }
	o.OnAction = func(now time.Duration, _ world.Action) {
		switch {
		case now < restartAt:
			before = ill()
		case up == 0: // what the limiters' absence costs is not the memory's matter
			all := now >= restartAt+awayAtLeast
			for n := range f.Limiters {
				all = all && w.LimiterAlive(n)
			}
			if all {
				up = now.Truncate(time.Second) + time.Second
			}
			before = ill()
		case now < up+10*time.Second:
			sent = ill() - before
		}
	}
	res, err := virtual.Run(ctx, o)
	if err != nil {
		return 0, 0, 0, 0, fmt.Errorf("drill: %w", err)
	}
	p := &played{world: res.World}
	share := func(length time.Duration) float64 {
		worth, earned := 0.0, 0.0
		for _, s := range p.seconds(up, up+length) {
			worth, earned = worth+s.Worth, earned+s.Earned
		}
		return earned / worth
	}
	return share(10 * time.Second), share(60 * time.Second), sent, res.Judge.BreachCount(), nil
}

// WriteRestarts writes the table.
func WriteRestarts(w io.Writer, rows []RestartRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "limiters\tbegin with\tfirst 10 s\tlost\t±\tsaved\tfirst 60 s\tlost\t±\tsaved\tsent to sick boxes in 10 s\trules broken")
	last := ""
	saved := func(x float64, of string) string {
		if of == restartMemories[0].name || of == restartMemories[1].name || x == 0 {
			return ""
		}
		return fmt.Sprintf("%.0f%%", 100*x)
	}
	for _, r := range rows {
		name := r.Kind
		if name == last {
			name = ""
		}
		last = r.Kind
		fmt.Fprintf(t, "%s\t%s\t%.4f\t%.4f\t%.4f\t%s\t%.4f\t%.4f\t%.4f\t%s\t%d\t%d\n", name, r.Memory, r.After10, r.Lost10, r.Noise10, saved(r.Saved10, r.Memory),
			r.After60, r.Lost60, r.Noise60, saved(r.Saved60, r.Memory), r.SentToSick, r.Breaches)
	}
	return t.Flush()
}
