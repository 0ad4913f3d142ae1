package agreement

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a client's operation: it writes an entry or reads the last one.
type operation struct {
	write    string // empty: it reads
	member   uint64 // the member that handles it
	core     *Core  // the process of that member at the call
	id       uint64
	mark     string
	calledAt int64
	finished bool
}

// register is the checker's model: a register that holds the last entry. A write without a confirmation may
// take effect at any later time or never; it is given to the checker as an operation that ends last.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if w := in.(string); w != "" {
			return true, w
		}
		return out.(string) == state.(string), state
	},
}

// runHistory runs clients of all members under faults and returns their operations. With localReads, reads
// return what a member has applied without a read index from the leader.
func runHistory(t *testing.T, seed uint64, rounds int, localReads bool) (history []porcupine.Operation, reads int) {
	s := newSimulation(t, seed, 3)
	now, pending := int64(0), []*operation{}
	lastApplied := func(id uint64) string {
		l := s.machines[id].history
		if len(l) == 0 {
			return ""
		}
		return l[len(l)-1]
	}
	finish := func(op *operation, out string) {
		op.finished = true
		history = append(history, porcupine.Operation{ClientId: len(history), Input: op.write, Call: op.calledAt, Output: out, Return: now})
	}
	finishOperations := func() {
		for _, op := range pending {
			switch {
			case op.finished:
			case op.write != "":
				if err, ok := s.outcomes[op.id]; ok && err == nil && s.cores[op.member] == op.core {
					finish(op, "")
				}
			case s.cores[op.member] == op.core && op.core != nil && (localReads || op.core.ReadDone(op.mark)):
				reads++
				finish(op, lastApplied(op.member))
			}
		}
	}
	for k := range rounds {
		now++
		member := 1 + uint64(s.r.IntN(3))
		if c := s.cores[member]; c != nil {
			op := &operation{member: member, core: c, calledAt: now}
			if s.r.IntN(3) == 0 {
				op.id = s.propose(member)
				if op.write = s.proposed[op.id]; op.write != "" {
					pending = append(pending, op)
				}
			} else {
				op.mark = fmt.Sprint("read ", k)
				c.ReadBarrier(op.mark)
				pending = append(pending, op)
			}
		}
		switch s.r.IntN(16) {
		case 0:
			s.lossPercent = s.r.IntN(30)
		case 1, 2:
			x, y := 1+uint64(s.r.IntN(3)), 1+uint64(s.r.IntN(3))
			s.partitioned[[2]uint64{x, y}], s.partitioned[[2]uint64{y, x}] = true, true
		case 3:
			clear(s.partitioned)
		case 4:
			s.cores[1+uint64(s.r.IntN(3))] = nil
		case 5:
			s.stores[1+uint64(s.r.IntN(3))].failure = errors.New("full")
		case 6, 7:
			for id := uint64(1); id <= 3; id++ {
				s.stores[id].failure = nil
				if s.cores[id] == nil {
					s.start(id)
				}
			}
		}
		now++
		s.runRound()
		now++
		finishOperations()
	}
	for _, op := range pending {
		if !op.finished && op.write != "" {
			history = append(history, porcupine.Operation{ClientId: len(history), Input: op.write, Call: op.calledAt, Output: "", Return: now + 1})
		}
	}
	return history, reads
}

// Reads and writes through the log are linearizable: a read sees all writes confirmed before it was requested,
// and nothing that a later read does not see.
func TestAgreementIsLinearizable(t *testing.T) {
	answered := 0
	for seed := range uint64(20) {
		all, reads := runHistory(t, seed, 120, false)
		answered += reads
		if v := porcupine.CheckOperationsTimeout(register, all, time.Minute); v != porcupine.Ok {
			t.Fatalf("seed %d: %d operations: %v", seed, len(all), v)
		}
	}
	if answered < 400 {
		t.Errorf("only %d reads were answered", answered)
	}
}

// Checks the checker: it must detect that reads without a read index are not linearizable.
func TestCarelessReadsAreFound(t *testing.T) {
	for seed := range uint64(20) {
		all, _ := runHistory(t, seed, 120, true)
		if porcupine.CheckOperationsTimeout(register, all, time.Minute) == porcupine.Illegal {
			return
		}
	}
	t.Error("no linearizability violation was detected")
}
