package agreement

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is one of a client: it writes the entry, or reads the last one.
type operation struct {
	write string // empty: it reads
	at    uint64 // the member that is asked
	core  *Core  // its process
	id    uint64
	mark  string
	from  int64
	over  bool
}

// register holds the last entry. What was written without an answer may hold or not, at any
// later time, and is left to the checker as an operation that never ends.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if w := in.(string); w != "" {
			return true, w
		}
		return out.(string) == state.(string), state
	},
}

// history plays clients at all members under faults and returns what they asked and heard.
// careless: reads are answered with what a member has applied, without asking the others.
func history(t *testing.T, seed uint64, rounds int, careless bool) (all []porcupine.Operation, reads int) {
	s := newSim(t, seed, 3)
	now, open := int64(0), []*operation{}
	last := func(id uint64) string {
		l := s.lists[id].all
		if len(l) == 0 {
			return ""
		}
		return l[len(l)-1]
	}
	end := func(o *operation, out string) {
		o.over = true
		all = append(all, porcupine.Operation{ClientId: len(all), Input: o.write, Call: o.from, Output: out, Return: now})
	}
	settle := func() {
		for _, o := range open {
			switch {
			case o.over:
			case o.write != "":
				if err, ok := s.done[o.id]; ok && err == nil && s.cores[o.at] == o.core {
					end(o, "")
				}
			case s.cores[o.at] == o.core && o.core != nil && (careless || o.core.ReadDone(o.mark)):
				reads++
				end(o, last(o.at))
			}
		}
	}
	for k := range rounds {
		now++
		at := 1 + uint64(s.r.IntN(3))
		if c := s.cores[at]; c != nil {
			o := &operation{at: at, core: c, from: now}
			if s.r.IntN(3) == 0 {
				o.id = s.propose(at)
				if o.write = s.said[o.id]; o.write != "" {
					open = append(open, o)
				}
			} else {
				o.mark = fmt.Sprint("read ", k)
				c.Read(o.mark)
				open = append(open, o)
			}
		}
		switch s.r.IntN(16) {
		case 0:
			s.loss = s.r.IntN(30)
		case 1, 2:
			x, y := 1+uint64(s.r.IntN(3)), 1+uint64(s.r.IntN(3))
			s.cut[[2]uint64{x, y}], s.cut[[2]uint64{y, x}] = true, true
		case 3:
			clear(s.cut)
		case 4:
			s.cores[1+uint64(s.r.IntN(3))] = nil
		case 5:
			s.disks[1+uint64(s.r.IntN(3))].fail = errors.New("full")
		case 6, 7:
			for id := uint64(1); id <= 3; id++ {
				s.disks[id].fail = nil
				if s.cores[id] == nil {
					s.start(id)
				}
			}
		}
		now++
		s.round()
		now++
		settle()
	}
	for _, o := range open {
		if !o.over && o.write != "" {
			all = append(all, porcupine.Operation{ClientId: len(all), Input: o.write, Call: o.from, Output: "", Return: now + 1})
		}
	}
	return all, reads
}

// What limiters agree on is linearizable: a read that was answered has seen all that was
// confirmed before it was asked, and nothing that a later read has not.
func TestAgreementIsLinearizable(t *testing.T) {
	answered := 0
	for seed := range uint64(20) {
		all, reads := history(t, seed, 120, false)
		answered += reads
		if v := porcupine.CheckOperationsTimeout(register, all, time.Minute); v != porcupine.Ok {
			t.Fatalf("seed %d: %d operations: %v", seed, len(all), v)
		}
	}
	if answered < 400 {
		t.Errorf("only %d reads were answered", answered)
	}
}

// Reads that ask nobody are found.
func TestCarelessReadsAreFound(t *testing.T) {
	for seed := range uint64(20) {
		all, _ := history(t, seed, 120, true)
		if porcupine.CheckOperationsTimeout(register, all, time.Minute) == porcupine.Illegal {
			return
		}
	}
	t.Error("not found")
}
