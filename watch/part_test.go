package watch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tier is a room of limiters, real Parts, that follow one agent. One of them has the duty, or
// nobody; connections to it end and lose what was on its way. Time goes in ticks.
type tier struct {
	t      *rapid.T
	now    time.Duration
	at     int64 // the agent's sequence number
	lead   int   // who has the duty; -1: nobody
	ended  time.Duration
	all    []*follower
	calls  int // that the agent has answered
	resign int
}

type follower struct {
	part    *Part
	known   int64 // of the list that is in use
	hold    time.Duration
	called  time.Duration // when its call to the agent began
	index   int64         // of the last answer, or of what it was told
	hears   bool          // the agent
	joined  bool          // it is connected to the one that looks
	linked  bool          // and can be
	waiting []Note        // to it
	not     time.Duration // it does not ask for the duty before
}

const pool = "main"

func newTier(t *rapid.T, n int) *tier {
	r := &tier{t: t, at: 1, lead: -1}
	for range n {
		r.all = append(r.all, &follower{part: NewPart(DefaultSettings(time.Second), []string{pool}), hold: HoldAlone, hears: true, linked: true})
	}
	return r
}

func (r *tier) name(i int) string { return fmt.Sprint("n", i) }

// use has a limiter use a list, which never is an older one.
func (r *tier) use(i int, seq int64) {
	f := r.all[i]
	if seq < f.known {
		r.t.Fatalf("%s went back from %d to %d", r.name(i), f.known, seq)
	}
	f.known, f.index = seq, seq
}

func (r *tier) carryOut(i int) {
	f := r.all[i]
	for _, a := range f.part.Acts() {
		switch a.Kind {
		case Follow:
			f.hold, f.called = a.Hold, r.now
		case Take:
			r.use(i, a.List.Seq)
		case Say:
			if r.lead >= 0 && f.joined {
				r.all[r.lead].part.From(r.now, r.name(i), a.Note)
			}
		case Tell, TellWhole:
			n := a.Note
			if a.Kind == TellWhole {
				if f.known == 0 {
					continue // the agent has not answered yet
				}
				n = Note{List: &List{Pool: a.Pool, Seq: f.known, Whole: true, Hosts: json.RawMessage("[]")}}
			}
			for j, o := range r.all {
				if o.joined && j != i && (a.To == "" || a.To == r.name(j)) {
					o.waiting = append(o.waiting, n)
				}
			}
		case Resign:
			r.resign++
			r.lead, r.ended, f.not = -1, r.now, r.now+a.Hold
		}
	}
}

// step is one tick.
func (r *tier) step() {
	r.now += tick
	if r.lead < 0 && r.now >= r.ended+1500*time.Millisecond { // the next one that runs, as terms have it
		for i, f := range r.all { // always in one order: who can't has to abstain
			if r.now >= f.not {
				r.lead = i
				break
			}
		}
	}
	for i, f := range r.all {
		if leads := i == r.lead; leads != f.part.Leads() {
			f.part.Lead(leads)
			for _, o := range r.all { // connections to the one before have ended
				o.joined, o.waiting = false, nil
				o.part.Cut()
			}
		}
	}
	for i, f := range r.all {
		switch can := r.lead >= 0 && i != r.lead && f.linked && r.all[r.lead].linked; {
		case can && !f.joined:
			f.joined = r.all[r.lead].part.Join(r.name(i))
			r.carryOut(r.lead)
		case !can && f.joined:
			f.joined, f.waiting = false, nil
			f.part.Cut()
			if r.lead >= 0 {
				r.all[r.lead].part.Leave(r.name(i))
			}
		}
		for _, n := range f.waiting {
			f.part.Heard(r.now, n)
		}
		f.waiting = nil
		f.part.Tick(r.now)
		r.carryOut(i)
		if f.hold == 0 {
			continue
		}
		switch { // its call to the agent
		case f.hears && (f.index == 0 || r.at > f.index || r.now >= f.called+f.hold):
			r.calls++
			whole := f.index == 0
			r.use(i, r.at)
			f.called = r.now
			f.part.Listed(List{Pool: pool, Seq: r.at, Whole: whole, Hosts: json.RawMessage("[]")})
		case !f.hears && r.now >= f.called+f.hold+2*time.Second:
			f.called = r.now
			f.part.Lost(r.now, pool)
		}
		r.carryOut(i)
	}
	if r.lead >= 0 {
		r.carryOut(r.lead)
	}
}

// Whatever ends, is cut off or is deaf: no list goes back, and once all is quiet whoever
// hears the agent, or is connected to one that does, knows the newest list.
func TestAllKnowTheNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTier(t, rapid.IntRange(1, 6).Draw(t, "limiters"))
		one := func() *follower { return r.all[rapid.IntRange(0, len(r.all)-1).Draw(t, "limiter")] }
		for range 150 {
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				r.at += rapid.Int64Range(1, 3).Draw(t, "news")
			case 1: // its term ends; nobody has it for a while
				r.lead, r.ended = -1, r.now
			case 2:
				f := one()
				f.linked = !f.linked
			case 3:
				f := one()
				f.hears = !f.hears
			}
			r.step()
		}
		r.at++
		for _, f := range r.all {
			f.linked = true
		}
		r.all[len(r.all)-1].hears = true // one does, and would be the last to ask for the duty
		// A deaf one finds out after 5 s, gives up 2.5 s later, and another one follows; each in turn may be deaf.
		for end := r.now + time.Duration(len(r.all))*30*time.Second; r.now < end; {
			r.step()
		}
		for i, f := range r.all {
			if f.known != r.at {
				t.Fatalf("%s knows list %d of %d; %d leads, resigned %d times", r.name(i), f.known, r.at, r.lead, r.resign)
			}
		}
	})
}

// Calls to the agent don't grow with the limiters of a room.
func TestCallsDoNotGrow(t *testing.T) {
	calls := map[int]int{}
	for _, n := range []int{3, 30, 300} {
		r := newTier(nil, n)
		for r.now < 10*time.Second {
			r.step()
		}
		before := r.calls
		for r.now < 70*time.Second {
			if r.now%(10*time.Second) == 0 {
				r.at++
			}
			r.step()
		}
		calls[n] = r.calls - before
		t.Logf("%3d limiters: %d calls in a minute with six changes", n, calls[n])
	}
	if calls[300] > calls[3]+2 {
		t.Errorf("calls: %v", calls)
	}
}
