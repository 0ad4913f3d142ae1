package judge

import (
	"fmt"
	"time"

	"example.org/madderdrum/limiter"
)

// Checks of attempts at boxes: requests that may run twice, and the load that cold boxes are sent.

// AttemptStarted records that a limiter sent the first byte of an attempt to a box. The driver reports the
// arrival of the same attempt with Arrived before it begins another attempt of this try.
func (j *Judge) AttemptStarted(now time.Duration, id uint64, box Box) {
	j.advanceClock(now)
	t := j.tries[id]
	if t == nil {
		j.recordBreach(now, OneAnswer, -1, id, "sent on a request that nobody asked, or long after its end")
		return
	}
	if t.answered && !t.limiterKilled && now >= t.answeredAt+j.settings.ReorderTolerance {
		j.recordOutOfOrder(t, now, t.answeredAt, OneAnswer, "sent on after its final answer")
	}
	t.firstByteAt = now
	j.CheckCounts[DrainsKept]++
	if at, told := j.stopTold[[2]int{t.Limiter, box.ID}]; told && now > at+j.settings.DrainGrace+j.settings.Slack {
		j.recordBreach(now, DrainsKept, t.Limiter, id, "sent to box %d, %v after it was told that the box drains or is gone", box.ID, now-at)
	}
}

// AttemptArrived records that a box received the whole request of an attempt: the work that it requires,
// the current capacity of the box in seconds of work per second, and whether the box is still
// warming up.
func (j *Judge) AttemptArrived(now time.Duration, attemptID, id uint64, box Box, work time.Duration, capacity float64, cold bool) {
	j.advanceClock(now)
	j.checkColdBox(now, id, box, work, capacity, cold)
	t := j.tries[id]
	if t == nil {
		j.recordBreach(now, OneAnswer, -1, id, "a request came to box %d that nobody asked, or long after its end", box.ID)
		return
	}
	class := j.settings.Classes[t.Class]
	j.CheckCounts[NothingTwice]++
	if earlier := t.newestAttempt; earlier != nil && !earlier.overlapped {
		earlier.overlapped, earlier.overlapAt = true, t.firstByteAt
		if j.settings.ReorderTolerance == 0 {
			j.recordBreach(now, NothingTwice, t.Limiter, id, "two attempts out at once")
		}
	}
	if t.mayHaveRun && class.Repeat == limiter.Unsafe {
		j.recordBreach(now, NothingTwice, t.Limiter, id, "unsafe and sent again, though an earlier attempt may have run")
	}
	if t.mayHaveRun && class.Repeat == limiter.Keyed {
		sentAt := now
		if j.settings.ReorderTolerance > 0 { // the report may be later than the arrival itself
			sentAt = t.firstByteAt
		}
		if due := t.mayHaveRunAt + class.Window; sentAt > due+j.settings.Slack {
			j.recordOutOfOrder(t, sentAt, due, NothingTwice, fmt.Sprintf("keyed and sent again %v after an attempt that may have run, when repeats are no longer dropped", sentAt-t.mayHaveRunAt))
		}
		if class.Group == limiter.GroupCell && box.Pod != t.mayHaveRunBox.Pod || class.Group == limiter.GroupZone && box.Room != t.mayHaveRunBox.Room {
			j.recordBreach(now, NothingTwice, t.Limiter, id, "keyed and sent again to boxes that don't know its key")
		}
	}
	if t.attemptCount++; t.attemptCount == 1 {
		j.chargeCeiling(now, t)
	} else if t.attemptCount > j.settings.Attempts {
		j.recordBreach(now, NothingTwice, t.Limiter, id, "attempt %d of %d at most", t.attemptCount, j.settings.Attempts)
	}
	t.openAttempts++
	t.newestAttempt = &attempt{try: t, box: box, arrivedAt: now}
	j.attempts[attemptID] = t.newestAttempt
}

// AttemptExecuted records that a box executed the request of an attempt.
func (j *Judge) AttemptExecuted(now time.Duration, attemptID uint64) {
	a := j.attempts[attemptID]
	if a == nil {
		return
	}
	if a.try.executions++; a.try.executions > 1 && j.settings.Classes[a.try.Class].Repeat == limiter.Unsafe {
		j.recordBreach(now, NothingTwice, a.try.Limiter, a.try.Try, "took effect a second time, at box %d", a.box.ID)
	}
}

// AttemptEnded records the end of an attempt that had arrived: the box wrote its response, or the
// connection closed.
func (j *Judge) AttemptEnded(now time.Duration, attemptID uint64, v Verdict) {
	j.advanceClock(now)
	a := j.attempts[attemptID]
	if a == nil {
		return
	}
	delete(j.attempts, attemptID)
	t := a.try
	t.openAttempts--
	if a.overlapped {
		j.checkOverlap(now, a, v)
	}
	if t.newestAttempt == a {
		t.newestAttempt = nil
	}
	t.served = t.served || v == WasServed
	if v != NeverRan && !t.mayHaveRun {
		t.mayHaveRun, t.mayHaveRunAt, t.mayHaveRunBox = true, a.arrivedAt, a.box
	}
}

// checkOverlap checks an attempt that was in flight when another attempt of the same try arrived. It
// runs at the end of the earlier attempt, when it is known whether the earlier attempt may have run.
func (j *Judge) checkOverlap(now time.Duration, a *attempt, v Verdict) {
	t := a.try
	if j.settings.ReorderTolerance > 0 && now > a.overlapAt+j.settings.ReorderTolerance {
		j.recordOutOfOrder(t, now, a.overlapAt, NothingTwice, "two attempts out at once")
	}
	class := j.settings.Classes[t.Class]
	if v == NeverRan || j.settings.ReorderTolerance == 0 {
		return
	}
	if class.Repeat == limiter.Unsafe {
		j.recordBreach(a.overlapAt, NothingTwice, t.Limiter, t.Try, "unsafe and sent again, though an earlier attempt may have run")
	}
	if later := t.newestAttempt; later != nil && class.Repeat == limiter.Keyed &&
		(class.Group == limiter.GroupCell && a.box.Pod != later.box.Pod || class.Group == limiter.GroupZone && a.box.Room != later.box.Room) {
		j.recordBreach(a.overlapAt, NothingTwice, t.Limiter, t.Try, "keyed and sent again to boxes that don't know its key")
	}
}

// checkColdBox checks the load that all limiters together send to a cold box.
func (j *Judge) checkColdBox(now time.Duration, id uint64, box Box, work time.Duration, capacity float64, cold bool) {
	p := j.coldBoxes[box.ID]
	if !cold {
		if p != nil {
			delete(j.coldBoxes, box.ID)
		}
		return
	}
	if p == nil {
		p = &coldWork{}
		j.coldBoxes[box.ID] = p
	}
	j.CheckCounts[ColdKept]++
	p.arrivedAt, p.amounts, p.sum = append(p.arrivedAt, now), append(p.amounts, work), p.sum+work
	expired := 0
	for expired < len(p.arrivedAt) && p.arrivedAt[expired] < now-j.settings.FallFor {
		p.sum -= p.amounts[expired]
		expired++
	}
	p.arrivedAt, p.amounts, p.windowStart = p.arrivedAt[expired:], p.amounts[expired:], max(0, p.windowStart-expired)
	j.measurePush(now, p, capacity)
	over := p.sum.Seconds() > j.settings.FallFactor*capacity*(j.settings.FallFor+j.settings.Slack).Seconds()
	if over && !p.reported {
		limiter := -1
		if t := j.tries[id]; t != nil {
			limiter = t.Limiter
		}
		j.recordBreach(now, ColdKept, limiter, id, "box %d was sent %.2f s of work in %v, and can do %.2f a second", box.ID, p.sum.Seconds(), j.settings.FallFor, capacity)
	}
	p.reported = over
}

// measurePush updates MaxColdLoad with the work that arrived at a cold box within ColdLoadWindow.
func (j *Judge) measurePush(now time.Duration, p *coldWork, capacity float64) {
	if j.settings.ColdLoadWindow <= 0 {
		return
	}
	for p.arrivedAt[p.windowStart] <= now-j.settings.ColdLoadWindow {
		p.windowStart++
	}
	var sum, largest time.Duration
	for _, w := range p.amounts[p.windowStart:] {
		sum, largest = sum+w, max(largest, w)
	}
	ratio := (sum - largest).Seconds() / (capacity * j.settings.ColdLoadWindow.Seconds())
	if j.MaxColdLoad = max(j.MaxColdLoad, ratio); ratio > j.settings.ColdLoadLimit {
		j.ColdLoadExceeded++
	}
	j.ColdLoadChecks++
}

// BoxCrashed records that a cold box crashed under the load it was sent.
func (j *Judge) BoxCrashed(now time.Duration, box int) {
	j.advanceClock(now)
	j.recordBreach(now, ColdKept, -1, 0, "box %d was pushed over while it was cold", box)
}
