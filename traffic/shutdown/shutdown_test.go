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
			t.Errorf("grace %v: what is in hand is not answered just from %v on", x.grace, by)
		}
		if p.IntakeEnd() != x.intake || p.ExitBy() != x.exit {
			t.Errorf("grace %v, ttl %v: intake ends at %v, exit by %v; %v and %v wanted", x.grace, x.ttl, p.IntakeEnd(), p.ExitBy(), x.intake, x.exit)
		}
	}
}

func TestMayExit(t *testing.T) {
	p := NewPlan(6*time.Second, ttl)
	for name, x := range map[string]struct {
		at   Progress
		want bool
	}{
		"idle, clients may come":    {Progress{Since: 2499 * time.Millisecond, PlaceReturned: true}, false},
		"idle":                      {Progress{Since: 2500 * time.Millisecond, PlaceReturned: true}, true},
		"a request in hand":         {Progress{Since: 5 * time.Second, Requests: 1, PlaceReturned: true}, false},
		"a connection open":         {Progress{Since: 5 * time.Second, Connections: 1, PlaceReturned: true}, false},
		"the place not returned":    {Progress{Since: 5 * time.Second}, false},
		"everything, at the end":    {Progress{Since: 5700 * time.Millisecond, Requests: 1, Connections: 1, Answered: true, AnsweredFor: FlushWithin}, true},
		"idle, at the end":          {Progress{Since: 5700 * time.Millisecond, Connections: 1}, true},
		"it stood still until now":  {Progress{Since: 5750 * time.Millisecond, Requests: 1, Connections: 1}, false},
		"answers are being written": {Progress{Since: 5750 * time.Millisecond, Requests: 1, Connections: 1, Answered: true}, false},
		"everything, just before":   {Progress{Since: 5699 * time.Millisecond, Requests: 1, Connections: 1}, false},
	} {
		if got := p.MayExit(x.at); got != x.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestLookAgain(t *testing.T) {
	p := NewPlan(6*time.Second, ttl)
	const step = 20 * time.Millisecond
	for since, want := range map[time.Duration]time.Duration{0: step, 2490 * time.Millisecond: 10 * time.Millisecond, 2500 * time.Millisecond: step, 5 * time.Second: step} {
		if got := p.LookAgain(Progress{Since: since}, step); got != want {
			t.Errorf("%v after SIGTERM: in %v, %v wanted", since, got, want)
		}
	}
}

// For whatever grace period and time to live: intake ends in the first half, what is in hand is answered and the
// process ends before SIGKILL and in the last sixth, and nothing is returned while requests may still come.
func TestOrder(t *testing.T) {
	holds := func(graceMs, ttlMs, sinceMs uint16, requests uint8, returned bool) bool {
		grace := time.Duration(graceMs)*time.Millisecond + time.Millisecond
		p := NewPlan(grace, time.Duration(ttlMs)*time.Millisecond)
		at := Progress{Since: time.Duration(sinceMs) * time.Millisecond, Requests: int(requests), PlaceReturned: returned}
		exit := p.ExitBy()
		ordered := p.IntakeEnd() <= grace/2 && exit < grace && p.AnswerBy() <= exit && p.AnswerBy() >= grace*5/6-time.Millisecond
		return ordered && !(p.TakesRequests(at) && (p.Drained(at) || p.MayExit(at)))
	}
	if err := quick.Check(holds, &quick.Config{MaxCount: 20000}); err != nil {
		t.Error(err)
	}
}
