package shutdown

import (
	"testing"
	"testing/quick"
	"time"
)

const ttl = 2 * time.Second

func TestTimes(t *testing.T) {
	for _, x := range []struct {
		grace, ttl, intake, exit time.Duration
	}{
		{6 * time.Second, ttl, 2500 * time.Millisecond, 5700 * time.Millisecond},
		{10 * time.Second, ttl, 2500 * time.Millisecond, 9700 * time.Millisecond},
		{0, ttl, 2500 * time.Millisecond, 5700 * time.Millisecond},
		{3 * time.Second, ttl, 1500 * time.Millisecond, 2700 * time.Millisecond},
		{800 * time.Millisecond, ttl, 400 * time.Millisecond, 700 * time.Millisecond},
		{time.Minute, 20 * time.Second, 20500 * time.Millisecond, 59700 * time.Millisecond},
	} {
		p := NewPlan(x.grace, x.ttl)
		if by := p.AnswerBy(); p.MustAnswer(Progress{Since: by - 1, Requests: 1}) || !p.MustAnswer(Progress{Since: by, Requests: 1}) {
			t.Errorf("grace %v: requests in flight must be answered from %v on, and not before", x.grace, by)
		}
		if p.IntakeEnd() != x.intake || p.ExitBy() != x.exit {
			t.Errorf("grace %v, ttl %v: intake ends at %v, exit by %v; want %v and %v", x.grace, x.ttl, p.IntakeEnd(), p.ExitBy(), x.intake, x.exit)
		}
	}
}

func TestMayExit(t *testing.T) {
	p := NewPlan(6*time.Second, ttl)
	for name, x := range map[string]struct {
		at   Progress
		want bool
	}{
		"idle before the end of intake":          {Progress{Since: 2499 * time.Millisecond, PlaceReturned: true}, false},
		"idle":                                   {Progress{Since: 2500 * time.Millisecond, PlaceReturned: true}, true},
		"a request in flight":                    {Progress{Since: 5 * time.Second, Requests: 1, PlaceReturned: true}, false},
		"a connection open":                      {Progress{Since: 5 * time.Second, Connections: 1, PlaceReturned: true}, false},
		"the place not returned":                 {Progress{Since: 5 * time.Second}, false},
		"requests answered, after the exit time": {Progress{Since: 5700 * time.Millisecond, Requests: 1, Connections: 1, Answered: true, AnsweredFor: FlushTimeout}, true},
		"idle connection, after the exit time":   {Progress{Since: 5700 * time.Millisecond, Connections: 1}, true},
		"suspended until after the exit time":    {Progress{Since: 5750 * time.Millisecond, Requests: 1, Connections: 1}, false},
		"answers are being written":              {Progress{Since: 5750 * time.Millisecond, Requests: 1, Connections: 1, Answered: true}, false},
		"a request just before the exit time":    {Progress{Since: 5699 * time.Millisecond, Requests: 1, Connections: 1}, false},
	} {
		if got := p.MayExit(x.at); got != x.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestNextCheck(t *testing.T) {
	p := NewPlan(6*time.Second, ttl)
	const step = 20 * time.Millisecond
	for since, want := range map[time.Duration]time.Duration{0: step, 2490 * time.Millisecond: 10 * time.Millisecond, 2500 * time.Millisecond: step, 5 * time.Second: step} {
		if got := p.NextCheck(Progress{Since: since}, step); got != want {
			t.Errorf("%v after SIGTERM: next check in %v, want %v", since, got, want)
		}
	}
}

// For any grace period and time to live: the intake ends in the first half; requests in flight are
// answered, and the process exits, before SIGKILL and in the last sixth; and the place is not returned
// while requests may still arrive.
func TestOrder(t *testing.T) {
	holds := func(graceMs, ttlMs, sinceMs uint16, requests uint8, returned bool) bool {
		grace := time.Duration(graceMs)*time.Millisecond + time.Millisecond
		p := NewPlan(grace, time.Duration(ttlMs)*time.Millisecond)
		at := Progress{Since: time.Duration(sinceMs) * time.Millisecond, Requests: int(requests), PlaceReturned: returned}
		exit := p.ExitBy()
		ordered := p.IntakeEnd() <= grace/2 && exit < grace && p.AnswerBy() <= exit && p.AnswerBy() >= grace*5/6-time.Millisecond
		return ordered && !(p.AcceptsRequests(at) && (p.Drained(at) || p.MayExit(at)))
	}
	if err := quick.Check(holds, &quick.Config{MaxCount: 20000}); err != nil {
		t.Error(err)
	}
}
