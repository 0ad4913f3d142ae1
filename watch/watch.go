// Package watch decides how the limiters of a room share their looks at ill boxes and at
// discovery: one of them, the owner of the room's duty, looks, and tells the others. They
// check its word against their own attempts, and go on alone while it is silent. The package
// has no input or output, no goroutines and no clock: what happens goes in with the time.
//
// [Desk] is the part of the one that looks, [Post] that of the others, for boxes; [Feed] is
// what a limiter knows of one discovery agent's list.
package watch

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const dutyPrefix = "watch/"

// Duty is the name of a room's duty.
func Duty(room string) string { return dutyPrefix + room }

// Room is the room of such a duty; false: it is another duty.
func Room(duty string) (string, bool) { return strings.CutPrefix(duty, dutyPrefix) }

// Settings are those of looks.
type Settings struct {
	ProbeInterval time.Duration // least pause between two looks of the desk at a box
	CheckInterval time.Duration // and between two checks of its word that a box is ill
	Patience      time.Duration // without a word on an ask for so long, the asker looks itself
	Silence       time.Duration // without any word for so long, lists are followed alone
	Apart         time.Duration // for so long each looks for itself at a box of which they differ
	Unfit         time.Duration // one that does not hear what others hear does not ask for the duty so long
}

// DefaultSettings are those for terms of so long.
func DefaultSettings(term time.Duration) Settings {
	return Settings{
		ProbeInterval: 500 * time.Millisecond, // as a limiter alone does
		CheckInterval: time.Second,
		Patience:      1500 * time.Millisecond, // three asks in a row
		Silence:       5 * term / 2,            // the next owner is there within about two terms
		Apart:         10 * time.Second,
		Unfit:         5 * time.Minute, // with a term of 25 s at most each, ten that are deaf come by once
	}
}

// Verdict is what is said of a box.
type Verdict string

// Verdicts.
const (
	Well       Verdict = "well"
	Ill        Verdict = "ill"
	CheckOnce  Verdict = "check" // ill here: look yourself, once, and say what you saw
	ProbeAlone Verdict = "alone" // some reach it and some don't: look yourself for a while
)

// BoxVerdict is a verdict for one limiter.
type BoxVerdict struct {
	To  string `json:"-"`
	Box uint64
	Is  Verdict
}

// Desk is the part of the limiter that looks for its room. It is not safe for concurrent use.
type Leader struct {
	cfg        Settings
	states     map[uint64]*boxState
	lostAgents map[string]*lostAgent
}

// ward is a box that somebody holds as ill.
type boxState struct {
	waitingSince  map[string]time.Duration // since when each waits for a word
	probing       bool
	probeStart    time.Duration // of the look under way, or of the last one
	lastChecker   string        // who was last made to check the word
	checkedAt     time.Duration
	disagreeUntil time.Duration // until then each looks for itself
	askedAt       time.Duration // when it was last asked for
}

// lost is an agent that this limiter does not hear.
type lostAgent struct {
	since        time.Duration
	heardByOther bool // another limiter hears it
}

// NewDesk returns the desk of a limiter whose term begins.
func NewLeader(cfg Settings) *Leader {
	return &Leader{cfg: cfg, states: map[uint64]*boxState{}, lostAgents: map[string]*lostAgent{}}
}

// Ask notes that a limiter holds a box as ill and wants to know. Words are to be told at once.
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

// Next are the boxes to be looked at now. Each look's end has to be told by Looked.
func (l *Leader) StartProbes(now time.Duration) (boxes []uint64) {
	for _, box := range slices.Sorted(maps.Keys(l.states)) {
		state := l.states[box]
		switch {
		case !state.probing && len(state.waitingSince) > 0 && now >= state.probeStart+l.cfg.ProbeInterval:
			state.probing, state.probeStart = true, now
			boxes = append(boxes, box)
		case !state.probing && now > state.askedAt+l.cfg.Apart+l.cfg.Patience:
			delete(l.states, box)
		}
	}
	return boxes
}

// Looked is the end of a look, and returns what is told to those who asked before it began:
// what was seen before an ask says nothing about it. Empty: the look could not be made.
func (l *Leader) Looked(now time.Duration, box uint64, result Verdict) (verdicts []BoxVerdict) {
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
	if result == Ill && now >= state.checkedAt+l.cfg.CheckInterval {
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

// after is the next name of a sorted list behind another one, round; the empty name, which is
// this limiter itself, has nothing to check. Empty: there is none.
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

// Checked is what a limiter saw that was to check that a box is ill. If it reaches the box, each
// looks for itself for a while.
func (l *Leader) Checked(now time.Duration, box uint64, result Verdict) (verdicts []BoxVerdict) {
	state := l.states[box]
	if state == nil || result != Well {
		return nil
	}
	state.disagreeUntil = now + l.cfg.Apart
	for _, limiter := range slices.Sorted(maps.Keys(state.waitingSince)) {
		verdicts = append(verdicts, BoxVerdict{limiter, box, ProbeAlone})
	}
	clear(state.waitingSince)
	return verdicts
}

// Leave forgets a limiter that is gone.
func (l *Leader) Leave(limiter string) {
	for _, state := range l.states {
		delete(state.waitingSince, limiter)
	}
}

// Lost notes that the agent of a pool does not answer this limiter, Heard that it does. news: it
// did before.
func (l *Leader) Lost(now time.Duration, pool string) (changed bool) {
	if l.lostAgents[pool] != nil {
		return false
	}
	l.lostAgents[pool] = &lostAgent{since: now}
	return true
}

// Heard is described at Lost.
func (l *Leader) AgentHeard(pool string) { delete(l.lostAgents, pool) }

// Unheard are the pools whose agents don't answer this limiter.
func (l *Leader) LostPools() []string { return slices.Sorted(maps.Keys(l.lostAgents)) }

// Others notes that another limiter hears the agent of a pool.
func (l *Leader) AgentHeardByFollower(pool string) {
	if agent := l.lostAgents[pool]; agent != nil {
		agent.heardByOther = true
	}
}

// Unfit tells that this limiter should give the duty up: others hear an agent that it has not
// heard for long.
func (l *Leader) Unfit(now time.Duration) bool {
	for _, agent := range l.lostAgents {
		if agent.heardByOther && now >= agent.since+l.cfg.Silence {
			return true
		}
	}
	return false
}

// Post is the part of a limiter that another one looks for. It is not safe for concurrent use.
type Follower struct {
	cfg   Settings
	up    bool
	heard time.Duration // the last word of any kind
	known bool          // there was one
	boxes map[uint64]*boxView
}

// view is what is known of a box that was held as ill.
type boxView struct {
	asking          bool          // it waits for a word
	askedAt         time.Duration // since when, however often it was cut off since
	probeAloneUntil time.Duration // until then this limiter looks itself
	healthyAt       time.Duration // when it was told to be well
	toldHealthy     bool          // it was
	checking        bool          // the look under way is a check
	usedAt          time.Duration
}

// NewPost returns the part of a limiter that has heard nobody yet.
func NewFollower(cfg Settings) *Follower { return &Follower{cfg: cfg, boxes: map[uint64]*boxView{}} }

// Heard notes a word of the one that looks, of any kind.
func (f *Follower) Heard(now time.Duration) { f.up, f.known, f.heard = true, true, now }

// Cut notes that it can't be heard any more, as far as is known here.
func (f *Follower) Cut() { f.up = false }

// Silent tells whether it has been silent for so long that lists are followed alone.
func (f *Follower) Silent(now time.Duration) bool { return !f.known || now > f.heard+f.cfg.Silence }

// Want tells what is done about a box that is held as ill here: the other one is asked, this
// limiter looks itself, or, where asks bring no word, both.
func (f *Follower) Want(now time.Duration, box uint64) (ask, probe bool) {
	view := f.boxes[box]
	if view == nil {
		for id, other := range f.boxes {
			if now > other.usedAt+2*f.cfg.Apart {
				delete(f.boxes, id)
			}
		}
		view = &boxView{}
		f.boxes[box] = view
	}
	view.usedAt = now
	if !f.up || now > f.heard+f.cfg.Patience || now < view.probeAloneUntil {
		return false, true
	}
	if !view.asking {
		view.asking, view.askedAt = true, now
	}
	return true, now >= view.askedAt+f.cfg.Patience
}

// Told takes a word about a box in. tell is what the limiter may believe of it (empty: nothing),
// look that it has to look itself.
func (f *Follower) Told(now time.Duration, received BoxVerdict) (believed Verdict, probe bool) {
	view := f.boxes[received.Box]
	if view == nil || !view.asking { // nothing was asked, or it looks itself by now
		return "", false
	}
	view.asking = false
	switch received.Is {
	case Well:
		view.healthyAt, view.toldHealthy = now, true
		return Well, false
	case Ill:
		return Ill, false
	case CheckOnce:
		view.checking = true
		return "", true
	case ProbeAlone:
		view.probeAloneUntil = now + f.cfg.Apart
		return "", true
	}
	return "", false
}

// Looked is the end of a look of this limiter's own; it tells whether the one that looks for it
// is to know.
func (f *Follower) Looked(box uint64) bool {
	view := f.boxes[box]
	if view == nil || !view.checking {
		return false
	}
	view.checking = false
	return true
}

// Failed notes that an attempt of this limiter's own has failed at a box. If the box was told
// to be well not long ago, the word does not hold here, and it looks itself for a while.
func (f *Follower) Failed(now time.Duration, box uint64) (differs bool) {
	view := f.boxes[box]
	if view == nil || !view.toldHealthy || now > view.healthyAt+f.cfg.Apart {
		return false
	}
	view.toldHealthy, view.probeAloneUntil = false, now+f.cfg.Apart
	return true
}

// Feed is what a limiter knows of the list of one discovery agent. The agent's own sequence
// numbers order what comes by two ways. The zero value knows nothing and follows the agent
// itself. It is not safe for concurrent use.
type Feed struct {
	seq        int64
	known      bool
	fromLeader bool // another limiter tells it
	chained    bool // and news continue what is known
}

// Own takes in what the agent itself has told.
func (f *Feed) SetSeq(seq int64) { f.seq, f.known, f.fromLeader, f.chained = seq, true, false, false }

// Offer is a list, or news behind the one before on the same connection, as the one that looks
// tells it. take: it is as new as what is known; want: the whole list is to be asked for.
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

// Apart notes that the connection has ended: news don't continue what is known any more.
func (f *Feed) Disconnected() { f.chained = false }

// Alone has the limiter follow the agent itself.
func (f *Feed) FollowAgent() { f.fromLeader, f.chained = false, false }

// Led tells whether another limiter tells it.
func (f *Feed) FromLeader() bool { return f.fromLeader }
