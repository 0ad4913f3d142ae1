package faults

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/tenure"
)

// delivery is how much later than another a request may come from its limiter to a box.
const delivery = 100 * time.Millisecond

// Exit is a limiter's process that ended by itself: nobody in the rig killed it.
type Exit struct {
	Limiter int
	At      time.Duration
	Code    int
}

// effect is a call that carried something out.
type effect struct {
	Call
	verb  string
	token tenure.Token
	start uint64
}

// effects are the calls of conductors that their receivers said yes to.
func effects(calls []Call) (all []effect) {
	for _, c := range calls {
		words := strings.Fields(c.Line)
		if len(words) != 5 || words[0] != "fleet" || !strings.HasPrefix(c.Answer, "YES") {
			continue
		}
		t, err := tenure.ParseToken(words[2])
		start, err2 := strconv.ParseUint(words[3], 10, 64)
		if err == nil && err2 == nil {
			all = append(all, effect{c, words[1], t, start})
		}
	}
	return all
}

// judgeCalls tells which effects a receiver let in of an owner that was over: one of a later
// owner had been carried out there before the call came.
func judgeCalls(calls []Call) (broken []string) {
	all := effects(calls)
	for _, a := range all {
		for _, b := range all {
			if a.To == b.To && a.token.Duty == b.token.Duty && b.token.Epoch > a.token.Epoch && b.Done < a.Sent {
				broken = append(broken, fmt.Sprintf("n%d carried out %q of n%d at %.1fs after %q of n%d at %.1fs", a.To, a.Line, a.From, a.Sent.Seconds(), b.Line, b.From, b.Done.Seconds()))
			}
		}
	}
	return broken
}

// judgeExits tells which processes rollouts ended twice, and which ended with an error.
// A process is ended once: the number in the call is its own.
func judgeExits(exits []Exit, rolls int) (broken []string) {
	byLimiter := map[int]int{}
	for _, e := range exits {
		if e.Code != 0 {
			broken = append(broken, fmt.Sprintf("n%d ended with code %d at %.1fs", e.Limiter, e.Code, e.At.Seconds()))
		}
		byLimiter[e.Limiter]++
	}
	for l, n := range byLimiter {
		if n > rolls {
			broken = append(broken, fmt.Sprintf("n%d was ended %d times by %d rollouts", l, n, rolls))
		}
	}
	return broken
}

// judgeHistories tells of epochs that two limiters know under different owners.
func judgeHistories(all map[int][]tenure.Change) (broken []string) {
	owner := map[string]string{}
	for l, history := range all {
		last := map[string]uint64{}
		for _, h := range history {
			key := fmt.Sprintf("%s/%d", h.Duty, h.Epoch)
			if was, ok := owner[key]; ok && was != h.Owner {
				broken = append(broken, fmt.Sprintf("n%d knows %s as %s's, another limiter as %s's", l, key, h.Owner, was))
			}
			owner[key] = h.Owner
			if h.Epoch < last[h.Duty] {
				broken = append(broken, fmt.Sprintf("n%d: the epoch of %s fell from %d to %d", l, h.Duty, last[h.Duty], h.Epoch))
			}
			last[h.Duty] = h.Epoch
		}
	}
	return broken
}

// judgeCeiling tells where boxes carried out more of the account than its ceiling allows in
// any span of time, by over 2%: at are the times of its requests, in their order.
func judgeCeiling(at []time.Duration) (broken []string) {
	at = slices.Sorted(slices.Values(at))
	worst, from, to := 1.02, 0, -1
	for i := range at {
		for j := i; j < len(at); j++ {
			span := (at[j] - at[i] + delivery).Seconds()
			if x := float64(j-i+1) * ceilingUnits / (ceilingBurst + ceilingRate*span); x > worst {
				worst, from, to = x, i, j
			}
		}
	}
	if to >= 0 {
		broken = append(broken, fmt.Sprintf("from %.2f s to %.2f s boxes carried out %d units of a ceiling of %g and %g a second: %.2f times",
			at[from].Seconds(), at[to].Seconds(), (to-from+1)*ceilingUnits, ceilingBurst, ceilingRate, worst))
	}
	return broken
}
