// Package watch decides how the limiters of a room (failure zone) share the probing of unhealthy boxes
// and the polling of discovery agents. One limiter, the owner of the room's duty, leads: it probes and
// polls, and sends the results to the others. The followers check its verdicts against their own
// attempts, and probe and poll themselves while the leader is silent. The package has no I/O, no
// goroutines and no clock: events are passed in with the time.
//
// [Leader] and [Follower] are the two roles in probing boxes, [Feed] is what a limiter knows of one
// discovery agent's list, and [Watcher] combines them for one limiter.
package watch

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const dutyPrefix = "watch/"

// Duty returns the name of the duty whose owner leads a room.
func Duty(room string) string { return dutyPrefix + room }

// Room returns the room that the owner of a duty leads; false if the duty is of another kind.
func Room(duty string) (string, bool) { return strings.CutPrefix(duty, dutyPrefix) }

// Settings are the timing of probes and polls.
type Settings struct {
	ProbeInterval      time.Duration // least interval between two probes of the leader at one box
	CheckInterval      time.Duration // least interval between two checks of a verdict that a box is unhealthy
	AnswerTimeout      time.Duration // a follower that waits this long for an answer probes the box itself
	Silence            time.Duration // followers poll agents themselves after this long without a note of the leader
	DisagreementPeriod time.Duration // how long limiters probe a box themselves after a disagreement about it
	Unfit              time.Duration // how long a limiter that misses an agent which others reach does not ask for the duty
}

// DefaultSettings returns the settings that suit a duty with this term.
func DefaultSettings(term time.Duration) Settings {
	return Settings{
		ProbeInterval:      500 * time.Millisecond, // as without a leader
		CheckInterval:      time.Second,
		AnswerTimeout:      1500 * time.Millisecond, // three requests in a row
		Silence:            5 * term / 2,            // the next owner takes over within about two terms
		DisagreementPeriod: 10 * time.Second,
		Unfit:              5 * time.Minute, // with terms of up to 25 s, ten limiters that miss the agent get one turn each
	}
}

// Verdict is the result of a probe, or an instruction to probe.
type Verdict string

// Verdicts.
const (
	Healthy    Verdict = "well"  // the box can be used
	Unhealthy  Verdict = "ill"   // the box can not be used
	CheckOnce  Verdict = "check" // the leader finds the box unhealthy: probe it once and report the result
	ProbeAlone Verdict = "alone" // limiters disagree about the box: probe it yourself for a while
)

// BoxVerdict is a verdict about a box for one limiter.
type BoxVerdict struct {
	To  string `json:"-"`
	Box uint64
	Is  Verdict
}

// Leader is the state of the limiter that probes for its room. It is not safe for concurrent use.
type Leader struct {
	cfg        Settings
	states     map[uint64]*boxState
	lostAgents map[string]*lostAgent
}

// boxState is a box that some limiter considers unhealthy.
type boxState struct {
	waitingSince  map[string]time.Duration // when each limiter that waits for a verdict first asked
	probing       bool
	probeStart    time.Duration // start of the current probe, or of the last one
	lastChecker   string        // the limiter that was last asked to check the verdict
	checkedAt     time.Duration // when a check was last requested
	disagreeUntil time.Duration // until then each limiter probes itself
	askedAt       time.Duration // when a limiter last asked about it
}

// lostAgent is a discovery agent that does not answer this limiter.
type lostAgent struct {
	since        time.Duration
	heardByOther bool // another limiter reaches it
}

// NewLeader returns the state of a limiter whose term begins.
func NewLeader(cfg Settings) *Leader {
	return &Leader{cfg: cfg, states: map[uint64]*boxState{}, lostAgents: map[string]*lostAgent{}}
}

// Ask processes a limiter's question about a box that it considers unhealthy. It returns verdicts to
// send at once.
func (l *Leader) Ask(now time.Duration, limiter string, box uint64) []BoxVerdict {
	state := l.states[box]
	if state == nil {
		state = &boxState{waitingSince: map[string]time.Duration{}, probeStart: now - l.cfg.ProbeInterval, checkedAt: now}
		l.states[box] = state
	}
	state.askedAt = now
	if now < state.disagreeUntil {
		return []BoxVerdict{{limiter, box, ProbeAlone}}
	}
	if _, waiting := state.waitingSince[limiter]; !waiting {
		state.waitingSince[limiter] = now
	}
	return nil
}

// StartProbes returns the boxes to probe now. The end of each probe must be reported to FinishProbe.
func (l *Leader) StartProbes(now time.Duration) (boxes []uint64) {
	for _, box := range slices.Sorted(maps.Keys(l.states)) {
		state := l.states[box]
		switch {
		case !state.probing && len(state.waitingSince) > 0 && now >= state.probeStart+l.cfg.ProbeInterval:
			state.probing, state.probeStart = true, now
			boxes = append(boxes, box)
		case !state.probing && now > state.askedAt+l.cfg.DisagreementPeriod+l.cfg.AnswerTimeout:
			delete(l.states, box)
		}
	}
	return boxes
}

// FinishProbe processes the end of a probe. It returns the verdicts for those that asked before the
// probe began, as an earlier observation does not answer a later question. An empty result means
// that the probe could not be made.
func (l *Leader) FinishProbe(now time.Duration, box uint64, result Verdict) (verdicts []BoxVerdict) {
	state := l.states[box]
	if state == nil || !state.probing {
		return nil
	}
	state.probing = false
	if result == "" {
		return nil
	}
	var answered []string
	for _, limiter := range slices.Sorted(maps.Keys(state.waitingSince)) {
		if state.waitingSince[limiter] <= state.probeStart {
			answered = append(answered, limiter)
			delete(state.waitingSince, limiter)
		}
	}
	checker := ""
	if result == Unhealthy && now >= state.checkedAt+l.cfg.CheckInterval {
		checker = nextChecker(answered, state.lastChecker)
	}
	for _, limiter := range answered {
		verdict := result
		if limiter == checker && checker != "" {
			verdict, state.lastChecker, state.checkedAt = CheckOnce, limiter, now
		}
		verdicts = append(verdicts, BoxVerdict{limiter, box, verdict})
	}
	return verdicts
}

// nextChecker returns the name after last in a sorted list, wrapping around. It skips the empty name,
// which is this limiter itself. It returns the empty name if there is no other.
func nextChecker(names []string, last string) string {
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "" })
	if len(names) == 0 {
		return ""
	}
	if i, found := slices.BinarySearch(names, last); found && i+1 < len(names) {
		return names[i+1]
	} else if !found && i < len(names) {
		return names[i]
	}
	return names[0]
}

// Checked processes the result of a limiter that was asked to check that a box is unhealthy. If that
// limiter reaches the box, all probe it themselves for a while.
func (l *Leader) Checked(now time.Duration, box uint64, result Verdict) (verdicts []BoxVerdict) {
	state := l.states[box]
	if state == nil || result != Healthy {
		return nil
	}
	state.disagreeUntil = now + l.cfg.DisagreementPeriod
	for _, limiter := range slices.Sorted(maps.Keys(state.waitingSince)) {
		verdicts = append(verdicts, BoxVerdict{limiter, box, ProbeAlone})
	}
	clear(state.waitingSince)
	return verdicts
}

// RemoveFollower forgets a limiter that is gone.
func (l *Leader) RemoveFollower(limiter string) {
	for _, state := range l.states {
		delete(state.waitingSince, limiter)
	}
}

// Lost records that the agent of a pool does not answer this limiter. changed is false if that was
// known before.
func (l *Leader) Lost(now time.Duration, pool string) (changed bool) {
	if l.lostAgents[pool] != nil {
		return false
	}
	l.lostAgents[pool] = &lostAgent{since: now}
	return true
}

// AgentHeard records that the agent of a pool answers this limiter.
func (l *Leader) AgentHeard(pool string) { delete(l.lostAgents, pool) }

// LostPools returns the pools whose agents don't answer this limiter.
func (l *Leader) LostPools() []string { return slices.Sorted(maps.Keys(l.lostAgents)) }

// AgentHeardByFollower records that another limiter reaches the agent of a pool.
func (l *Leader) AgentHeardByFollower(pool string) {
	if agent := l.lostAgents[pool]; agent != nil {
		agent.heardByOther = true
	}
}

// Unfit reports whether this limiter should give up the duty: others reach an agent that it has not
// reached for a while.
func (l *Leader) Unfit(now time.Duration) bool {
	for _, agent := range l.lostAgents {
		if agent.heardByOther && now >= agent.since+l.cfg.Silence {
			return true
		}
	}
	return false
}

// Follower is the state of a limiter for which another one probes. It is not safe for concurrent use.
type Follower struct {
	cfg   Settings
	up    bool          // the connection to the leader is up
	heard time.Duration // when the last note of any kind arrived
	known bool          // a note has arrived
	boxes map[uint64]*boxView
}

// boxView is what a follower knows of a box that it considered unhealthy.
type boxView struct {
	asking          bool          // it waits for a verdict
	askedAt         time.Duration // since when, even across lost connections
	probeAloneUntil time.Duration // until then this limiter probes itself
	healthyAt       time.Duration // when the leader last called the box healthy
	toldHealthy     bool          // the leader called the box healthy, and no attempt has failed since
	checking        bool          // the current probe is a check for the leader
	usedAt          time.Duration // when it was last used
}

// NewFollower returns the state of a limiter that has not heard from a leader yet.
func NewFollower(cfg Settings) *Follower { return &Follower{cfg: cfg, boxes: map[uint64]*boxView{}} }

// LeaderHeard records that a note of any kind arrived from the leader.
func (f *Follower) LeaderHeard(now time.Duration) { f.up, f.known, f.heard = true, true, now }

// LeaderDisconnected records that the connection to the leader has ended.
func (f *Follower) LeaderDisconnected() { f.up = false }

// Silent reports whether the leader has been silent for so long that agents must be polled directly.
func (f *Follower) Silent(now time.Duration) bool { return !f.known || now > f.heard+f.cfg.Silence }

// HandleUnhealthy returns what to do about a box that this limiter considers unhealthy: ask the leader,
// probe the box, or both if questions remain unanswered.
func (f *Follower) HandleUnhealthy(now time.Duration, box uint64) (ask, probe bool) {
	view := f.boxes[box]
	if view == nil {
		for id, other := range f.boxes {
			if now > other.usedAt+2*f.cfg.DisagreementPeriod {
				delete(f.boxes, id)
			}
		}
		view = &boxView{}
		f.boxes[box] = view
	}
	view.usedAt = now
	if !f.up || now > f.heard+f.cfg.AnswerTimeout || now < view.probeAloneUntil {
		return false, true
	}
	if !view.asking {
		view.asking, view.askedAt = true, now
	}
	return true, now >= view.askedAt+f.cfg.AnswerTimeout
}

// Told processes a verdict of the leader. believed is the verdict to apply (empty: none), and probe
// reports whether this limiter must probe the box itself.
func (f *Follower) Told(now time.Duration, received BoxVerdict) (believed Verdict, probe bool) {
	view := f.boxes[received.Box]
	if view == nil || !view.asking { // nothing was asked, or it probes itself already
		return "", false
	}
	view.asking = false
	switch received.Is {
	case Healthy:
		view.healthyAt, view.toldHealthy = now, true
		return Healthy, false
	case Unhealthy:
		return Unhealthy, false
	case CheckOnce:
		view.checking = true
		return "", true
	case ProbeAlone:
		view.probeAloneUntil = now + f.cfg.DisagreementPeriod
		return "", true
	}
	return "", false
}

// FinishProbe processes the end of this limiter's own probe. It reports whether the leader must get the
// result.
func (f *Follower) FinishProbe(box uint64) bool {
	view := f.boxes[box]
	if view == nil || !view.checking {
		return false
	}
	view.checking = false
	return true
}

// AttemptFailed processes a failed attempt of this limiter at a box. If the leader called the box healthy
// recently, the verdict does not hold for this limiter, which then probes the box itself for a while.
func (f *Follower) AttemptFailed(now time.Duration, box uint64) (differs bool) {
	view := f.boxes[box]
	if view == nil || !view.toldHealthy || now > view.healthyAt+f.cfg.DisagreementPeriod {
		return false
	}
	view.toldHealthy, view.probeAloneUntil = false, now+f.cfg.DisagreementPeriod
	return true
}

// Feed is what a limiter knows of the list of one discovery agent. The agent's sequence numbers order
// what arrives from the agent and from the leader. The zero value knows nothing and polls the agent
// directly. It is not safe for concurrent use.
type Feed struct {
	seq        int64 // of the newest list
	known      bool  // a list has arrived
	fromLeader bool  // the leader sends the list
	chained    bool  // the next update of the leader continues the known list
}

// SetSeq records a list that came from the agent itself.
func (f *Feed) SetSeq(seq int64) { f.seq, f.known, f.fromLeader, f.chained = seq, true, false, false }

// Offer processes a list of the leader: a full one, or an update to the previous one on the same
// connection. accept is true if it is at least as new as the known list, requestFull if the leader
// must be asked for a full list.
func (f *Feed) Offer(seq int64, full bool) (accept, requestFull bool) {
	current := !f.known || seq >= f.seq
	if !full && !f.chained {
		return false, current
	}
	if !current {
		return false, false
	}
	f.seq, f.known, f.fromLeader, f.chained = seq, true, true, true
	return true, false
}

// Disconnected records that the connection has ended: updates no longer continue the known list.
func (f *Feed) Disconnected() { f.chained = false }

// FollowAgent switches to polling the agent directly.
func (f *Feed) FollowAgent() { f.fromLeader, f.chained = false, false }

// FromLeader reports whether the leader sends the list.
func (f *Feed) FromLeader() bool { return f.fromLeader }
