package watch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 100 * time.Millisecond

// room simulates limiters that all use one box. The first one owns the duty while there is a leader.
// Messages between them may be lost, and time advances in ticks.
type room struct {
	cfg           Settings
	now           time.Duration
	leader        *Leader // nil: no leader
	followers     []*Follower
	reachable     []bool          // whether each limiter reaches the box; the first entry is the leader's
	unhealthy     []bool          // whether each limiter considers the box unhealthy
	wantedAt      []time.Duration // when each limiter last asked about the box
	knownAt       []time.Duration // when each limiter last had a probe or a verdict that it could apply
	probes        int             // number of probes of the box
	loses         func() bool
	ignoresChecks bool // deliberate fault: followers apply every verdict without a check of their own
}

func newRoom(n int, loses func() bool) *room {
	r := &room{cfg: DefaultSettings(1600 * time.Millisecond), loses: loses, unhealthy: make([]bool, n), reachable: make([]bool, n),
		wantedAt: make([]time.Duration, n), knownAt: make([]time.Duration, n)}
	r.leader = NewLeader(r.cfg)
	for i := range n {
		r.followers = append(r.followers, NewFollower(r.cfg))
		r.followers[i].LeaderHeard(0)
		r.reachable[i] = true
	}
	return r
}

const box = 7

func verdict(reachable bool) Verdict {
	if reachable {
		return Healthy
	}
	return Unhealthy
}

func limiterName(i int) string {
	if i == 0 {
		return ""
	}
	return fmt.Sprintf("n%03d", i)
}

// believe applies a verdict to a limiter's view of the box.
func (r *room) believe(i int, v Verdict) {
	r.knownAt[i] = r.now
	if v == Healthy {
		r.unhealthy[i] = false
	}
}

// probe has a limiter probe the box itself.
func (r *room) probe(i int) {
	r.probes++
	v := verdict(r.reachable[i])
	r.believe(i, v)
	if i > 0 && r.followers[i].FinishProbe(box) && r.leader != nil && !r.loses() {
		r.report(r.leader.Checked(r.now, box, v))
	}
}

func (r *room) report(verdicts []BoxVerdict) {
	for _, v := range verdicts {
		i := 0
		if v.To != "" {
			fmt.Sscanf(v.To, "n%d", &i)
		}
		switch {
		case i == 0 && v.Is == ProbeAlone:
			r.probe(0)
		case i == 0:
			r.believe(0, v.Is)
		case !r.loses():
			r.followers[i].LeaderHeard(r.now)
			if r.ignoresChecks && v.Is != Healthy {
				v.Is = Unhealthy
			}
			report, probe := r.followers[i].Told(r.now, v)
			if report != "" {
				r.believe(i, report)
			}
			if probe {
				r.probe(i)
			}
		}
	}
}

// step plays one tick: attempts fail where the box is out of reach, limiters that consider it unhealthy
// ask about it, and the leader probes.
func (r *room) step() {
	r.now += tick
	for i := range r.followers {
		if !r.reachable[i] && !r.unhealthy[i] {
			r.unhealthy[i], r.knownAt[i] = true, r.now
			if i > 0 {
				r.followers[i].AttemptFailed(r.now, box)
			}
		}
		if r.leader != nil && i > 0 && !r.loses() {
			r.followers[i].LeaderHeard(r.now)
		}
		if !r.unhealthy[i] || r.now < r.wantedAt[i]+r.cfg.ProbeInterval {
			continue
		}
		r.wantedAt[i] = r.now
		if i == 0 {
			if r.leader == nil {
				r.probe(0)
			} else {
				r.report(r.leader.Ask(r.now, "", box))
			}
			continue
		}
		ask, probe := r.followers[i].HandleUnhealthy(r.now, box)
		if ask && r.leader != nil && !r.loses() {
			r.report(r.leader.Ask(r.now, limiterName(i), box))
		}
		if probe {
			r.probe(i)
		}
	}
	if r.leader != nil {
		for _, b := range r.leader.StartProbes(r.now) {
			r.probes++
			r.report(r.leader.FinishProbe(r.now, b, verdict(r.reachable[0])))
		}
	}
}

// Whatever messages are lost, whichever limiters reach the box and with or without a leader, no limiter that
// considers a box unhealthy goes without a probe or a verdict for longer than the timeout for answers.
func TestNoLimiterGoesWithoutAProbe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lossRate := 0
		r := newRoom(rapid.IntRange(1, 8).Draw(t, "limiters"), nil)
		r.loses = func() bool { return lossRate > 0 && rapid.IntRange(0, 3).Draw(t, "lost") < lossRate }
		for range 300 {
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				i := rapid.IntRange(0, len(r.followers)-1).Draw(t, "limiter")
				r.reachable[i] = !r.reachable[i]
			case 1:
				lossRate = rapid.IntRange(0, 4).Draw(t, "loss")
			case 2:
				if r.leader == nil {
					r.leader = NewLeader(r.cfg)
				} else {
					r.leader = nil
				}
			case 3:
				r.followers[rapid.IntRange(0, len(r.followers)-1).Draw(t, "cut")].LeaderDisconnected()
			}
			r.step()
			for i := range r.followers {
				if bound := r.cfg.AnswerTimeout + 2*r.cfg.ProbeInterval; r.unhealthy[i] && r.now-r.knownAt[i] > bound {
					t.Fatalf("limiter %d has had no probe or verdict of the box for %v", i, r.now-r.knownAt[i])
				}
			}
		}
	})
}

// If the leader does not reach a box, the followers that do must use it again. That takes longer with more
// limiters but always happens, as followers check the verdict.
func TestFollowersUseABoxTheLeaderDoesNotReach(t *testing.T) {
	for _, n := range []int{2, 5, 50} {
		run := func(ignoresChecks bool) (unhealthy int) {
			r := newRoom(n, func() bool { return false })
			r.ignoresChecks = ignoresChecks
			for i := range n {
				r.reachable[i] = false
			}
			for range 20 {
				r.step()
			}
			for i := range n {
				r.reachable[i] = i > 0
			}
			for r.now < 6*time.Second {
				r.step()
			}
			for i := 1; i < n; i++ {
				if r.unhealthy[i] {
					unhealthy++
				}
			}
			return unhealthy
		}
		if unhealthy := run(false); unhealthy > 0 {
			t.Errorf("%d limiters: %d consider the box unhealthy", n, unhealthy)
		}
		if unhealthy := run(true); unhealthy == 0 {
			t.Errorf("%d limiters: all use the box again even without the check", n)
		}
	}
}

// A verdict that a box is healthy holds until a limiter's own attempts fail.
func TestOwnAttemptsOverrideVerdicts(t *testing.T) {
	r := newRoom(3, func() bool { return false })
	r.reachable[2] = false
	for r.now < 9*time.Second {
		r.step()
	}
	ask, mustProbe := r.followers[2].HandleUnhealthy(r.now, box)
	if ask || !mustProbe {
		t.Errorf("the limiter trusts the leader against its own attempts: asks %v, probes %v", ask, mustProbe)
	}
}

// The number of probes of an unhealthy box does not grow with the number of limiters while they hear from
// the leader. Without a leader it does.
func TestProbesDoNotGrow(t *testing.T) {
	probes := func(n int, led bool) int {
		r := newRoom(n, func() bool { return false })
		if !led {
			r.leader = nil
			for _, p := range r.followers {
				p.LeaderDisconnected()
			}
		}
		for i := range n {
			r.reachable[i] = false
		}
		for r.now < 30*time.Second {
			r.step()
		}
		return r.probes
	}
	one := probes(1, false)
	for _, n := range []int{3, 30, 300} {
		with, without := probes(n, true), probes(n, false)
		t.Logf("%3d limiters: %d probes in 30 s, without a leader %d; one limiter %d", n, with, without, one)
		if with > 2*one || without < n*one*9/10 {
			t.Errorf("%d limiters probe %d times, without a leader %d, one limiter %d", n, with, without, one)
		}
	}
}

// The list in use never goes back to an older one, whichever way lists arrive, and updates leave no gap.
func TestListsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Feed
		agentSeq := int64(0)                           // of the agent's newest list
		own, leaderSeq := agentSeq, agentSeq           // of the newest list that this limiter and the leader have received
		knownSeq, carriedSeq := agentSeq, agentSeq-100 // of the list in use, and of the last one sent on the connection
		for range 100 {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				agentSeq += rapid.Int64Range(1, 3).Draw(t, "news")
			case 1:
				leaderSeq = agentSeq
			case 2: // the agent answers this limiter
				if !f.FromLeader() {
					own = agentSeq
					f.SetSeq(own)
					knownSeq = own
				}
			case 3:
				if accept, _ := f.Offer(leaderSeq, true); accept {
					if leaderSeq < knownSeq {
						t.Fatalf("back from %d to %d", knownSeq, leaderSeq)
					}
					knownSeq = leaderSeq
				}
				carriedSeq = leaderSeq
			case 4: // an update to what was last sent on the connection
				if accept, requestFull := f.Offer(leaderSeq, false); accept {
					if knownSeq < carriedSeq {
						t.Fatalf("the update continues list %d, but list %d is in use", carriedSeq, knownSeq)
					}
					knownSeq = leaderSeq
				} else if requestFull && leaderSeq < knownSeq {
					t.Fatalf("the limiter requests an older list")
				}
				carriedSeq = leaderSeq
			case 5:
				f.Disconnected()
				leaderSeq = rapid.Int64Range(0, agentSeq).Draw(t, "another one's")
				carriedSeq = -100
			case 6:
				f.FollowAgent()
			}
		}
	})
}

// A limiter that does not reach an agent gives the duty up if others reach it, but not if none does.
func TestUnfit(t *testing.T) {
	leader := NewLeader(DefaultSettings(time.Second))
	leader.Lost(0, "main")
	if leader.Unfit(time.Minute) {
		t.Error("the leader is unfit although no limiter reaches the agent")
	}
	leader.AgentHeardByFollower("main")
	if leader.Unfit(time.Second) || !leader.Unfit(time.Minute) {
		t.Error("the leader must become unfit only after a while")
	}
	leader.AgentHeard("main")
	if leader.Unfit(time.Minute) {
		t.Error("the leader is unfit although it reaches the agent")
	}
}
