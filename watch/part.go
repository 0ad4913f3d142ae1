package watch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// How long agents may hold calls for their lists.
const (
	PollHoldAlone = 20 * time.Second
	// What the one that looks does not hear all of its room miss: it has to find out soon.
	PollHoldLeader = 3 * time.Second
)

// Note is what one that looks for a room and one of the others say to each other.
type Note struct {
	// Of the one that looks:
	Words []BoxVerdict `json:",omitempty"`
	List  *List        `json:",omitempty"`
	Lost  []string     `json:",omitempty"` // pools whose agents it does not hear
	// Of the others:
	Ask     uint64      `json:",omitempty"` // a box that is held as ill; 0: none
	Checked *BoxVerdict `json:",omitempty"`
	Hears   string      `json:",omitempty"` // the pool whose agent it follows itself
	Want    string      `json:",omitempty"` // the pool whose whole list it needs
}

// List is what an agent has told of a pool: all hosts, or those that have changed, in its form.
type List struct {
	Pool  string
	Seq   int64
	Whole bool
	Hosts json.RawMessage
}

// Kind is what an act is.
type Kind int

// Kinds of acts.
const (
	Look      Kind = iota // at a box, and tell its end by Looked
	Believe               // a word about a box: Is
	Follow                // an agent, by calls held so long; 0: another limiter tells what it says
	Take                  // a list
	Say                   // a note to the one that looks
	Tell                  // a note to another one; to all that this one looks for if To is empty
	TellWhole             // the whole list of a pool to another one
	Resign                // others can do it, this limiter can't: it is not to ask for it before Hold is over
)

// Act is something to be done.
type Action struct {
	Kind Kind
	To   string
	Box  uint64
	Is   Verdict
	Pool string
	Hold time.Duration
	Note Note
	List *List
}

// Figures are how a limiter's looks have gone.
type Figures struct {
	Asked   int64 // of another one, to look at a box
	Told    int64 // words that were believed
	Itself  int64 // looks of its own
	Differs int64 // words that its own attempts did not confirm
}

// Part is one limiter's part in the looks of its room, whether it is the one that looks or
// another. What happens goes in; what is to be done comes out of Acts. It is not safe for
// concurrent use.
type Part struct {
	cfg         Settings
	follower    *Follower
	leader      *Leader // nil: another one looks, or nobody
	feeds       map[string]*Feed
	pollHolds   map[string]time.Duration // as Follow has said
	heartbeatAt time.Duration
	actions     []Action
	figures     Figures
}

// NewPart returns the part of a limiter that has heard nobody yet, with the pools whose lists
// agents tell.
func NewPart(cfg Settings, pools []string) *Part {
	w := &Part{cfg: cfg, follower: NewFollower(cfg), feeds: map[string]*Feed{}, pollHolds: map[string]time.Duration{}}
	for _, pool := range pools {
		w.feeds[pool] = &Feed{}
	}
	return w
}

// Acts are to be done now, in their order.
func (w *Part) Acts() []Action {
	pending := w.actions
	w.actions = nil
	return pending
}

func (w *Part) add(action Action) { w.actions = append(w.actions, action) }

// Figures returns them.
func (w *Part) Figures() Figures { return w.figures }

// Follows are the pools whose agents this limiter follows itself.
func (w *Part) Follows() (pools []string) {
	for pool, hold := range w.pollHolds {
		if hold > 0 {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// Leads tells whether this limiter looks for its room.
func (w *Part) Leads() bool { return w.leader != nil }

// Alone tells whether nobody is heard that looks for this limiter.
func (w *Part) Alone(now time.Duration) bool { return w.leader == nil && w.follower.Silent(now) }

// Lead begins a term of this limiter's own, or ends it.
func (w *Part) Lead(isLeader bool) {
	w.leader = nil
	if isLeader {
		w.leader = NewLeader(w.cfg)
		for _, f := range w.feeds {
			f.FollowAgent()
		}
	}
}

// Tick does what the time asks for. It is to come some ten times a second.
func (w *Part) Tick(now time.Duration) {
	silent := w.follower.Silent(now)
	for _, pool := range slices.Sorted(maps.Keys(w.feeds)) {
		feed := w.feeds[pool]
		if silent {
			feed.FollowAgent()
		}
		hold := PollHoldAlone
		switch {
		case w.leader != nil:
			hold = PollHoldLeader
		case feed.FromLeader():
			hold = 0
		}
		if previous, known := w.pollHolds[pool]; !known || previous != hold {
			w.pollHolds[pool] = hold
			w.add(Action{Kind: Follow, Pool: pool, Hold: hold})
		}
	}
	if w.leader == nil {
		return
	}
	for _, box := range w.leader.StartProbes(now) {
		w.add(Action{Kind: Look, Box: box})
	}
	if now >= w.heartbeatAt {
		w.heartbeatAt = now + w.cfg.Patience/3
		w.add(Action{Kind: Tell})
	}
	if w.leader.Unfit(now) {
		w.add(Action{Kind: Resign, Hold: w.cfg.Unfit})
	}
}

// Want is a box that is held as ill here.
func (w *Part) Want(now time.Duration, box uint64) {
	if w.leader != nil {
		w.deliver(w.leader.Ask(now, "", box))
		return
	}
	ask, probe := w.follower.Want(now, box)
	if ask {
		w.figures.Asked++
		w.add(Action{Kind: Say, Note: Note{Ask: box}})
	}
	if probe {
		w.add(Action{Kind: Look, Box: box})
	}
}

// Looked is the end of a look of this limiter's own; empty: it could not be made.
func (w *Part) Looked(now time.Duration, box uint64, result Verdict) {
	w.figures.Itself++
	if w.leader != nil {
		w.deliver(w.leader.Looked(now, box, result))
	}
	if w.follower.Looked(box) && result != "" {
		w.add(Action{Kind: Say, Note: Note{Checked: &BoxVerdict{Box: box, Is: result}}})
	}
}

// Failed is an attempt of this limiter's own that has failed at a box.
func (w *Part) Failed(now time.Duration, box uint64) {
	if w.follower.Failed(now, box) {
		w.figures.Differs++
	}
}

// Listed is what an agent has told this limiter itself.
func (w *Part) Listed(l List) {
	feed := w.feeds[l.Pool]
	if feed == nil {
		return
	}
	feed.SetSeq(l.Seq)
	if w.leader == nil {
		w.add(Action{Kind: Say, Note: Note{Hears: l.Pool}})
		return
	}
	w.leader.AgentHeard(l.Pool)
	w.add(Action{Kind: Tell, Note: Note{List: &l}})
}

// Lost is an agent that does not answer this limiter.
func (w *Part) Lost(now time.Duration, pool string) {
	if w.leader != nil && w.leader.Lost(now, pool) {
		w.add(Action{Kind: Tell, Note: Note{Lost: w.leader.LostPools()}})
	}
}

// say tells words to whom they are for. This limiter has seen itself what the others are told.
func (w *Part) deliver(verdicts []BoxVerdict) {
	for _, v := range verdicts {
		if v.To != "" {
			w.add(Action{Kind: Tell, To: v.To, Note: Note{Words: []BoxVerdict{v}}})
		} else if v.Is == ProbeAlone {
			w.add(Action{Kind: Look, Box: v.Box})
		}
	}
}

// Join is another limiter that this one is to look for; false: it does not look.
func (w *Part) Join(limiter string) bool {
	if w.leader == nil {
		return false
	}
	w.add(Action{Kind: Tell, To: limiter, Note: Note{Lost: w.leader.LostPools()}})
	for _, pool := range slices.Sorted(maps.Keys(w.feeds)) {
		w.sendFullList(limiter, pool)
	}
	return true
}

// whole tells a limiter the whole list of a pool, if this one hears its agent.
func (w *Part) sendFullList(limiter, pool string) {
	if w.feeds[pool] != nil && !slices.Contains(w.leader.LostPools(), pool) {
		w.add(Action{Kind: TellWhole, To: limiter, Pool: pool})
	}
}

// Leave is a limiter that this one does not look for any more.
func (w *Part) Leave(limiter string) {
	if w.leader != nil {
		w.leader.Leave(limiter)
	}
}

// From is a note of a limiter that this one looks for.
func (w *Part) From(now time.Duration, limiter string, note Note) {
	if w.leader == nil {
		return
	}
	if note.Ask != 0 {
		w.deliver(w.leader.Ask(now, limiter, note.Ask))
	}
	if note.Checked != nil {
		w.deliver(w.leader.Checked(now, note.Checked.Box, note.Checked.Is))
	}
	if note.Hears != "" {
		w.leader.AgentHeardByFollower(note.Hears)
	}
	if note.Want != "" {
		w.sendFullList(limiter, note.Want)
	}
}

// Heard is a note of the one that looks.
func (w *Part) Heard(now time.Duration, note Note) {
	if w.leader != nil {
		return // of one before
	}
	w.follower.Heard(now)
	for _, v := range note.Words {
		believed, probe := w.follower.Told(now, v)
		if believed != "" {
			w.figures.Told++
			w.add(Action{Kind: Believe, Box: v.Box, Is: believed})
		}
		if probe {
			w.add(Action{Kind: Look, Box: v.Box})
		}
	}
	for _, pool := range note.Lost {
		w.Itself(pool)
	}
	if list := note.List; list != nil && w.feeds[list.Pool] != nil {
		accept, requestFull := w.feeds[list.Pool].Offer(list.Seq, list.Whole)
		if accept {
			w.add(Action{Kind: Take, List: list})
		}
		if requestFull {
			w.add(Action{Kind: Say, Note: Note{Want: list.Pool}})
		}
	}
}

// Itself has this limiter follow the agent of a pool itself: what it was told is of no use.
func (w *Part) Itself(pool string) {
	if f := w.feeds[pool]; f != nil {
		f.FollowAgent()
	}
}

// Cut is a connection to the one that looks that has ended.
func (w *Part) Cut() {
	w.follower.Cut()
	for _, f := range w.feeds {
		f.Disconnected()
	}
}
