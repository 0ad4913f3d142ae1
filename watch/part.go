package watch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// How long agents may hold a poll open until their list changes.
const (
	PollHoldAlone = 20 * time.Second
	// An agent that the leader does not reach is missed by its whole room, so it must notice soon.
	PollHoldLeader = 3 * time.Second
)

// Note is a message between the leader of a room and a follower.
type Note struct {
	// From the leader:
	Words []BoxVerdict `json:",omitempty"` // about boxes that the follower asked about
	List  *List        `json:",omitempty"` // a full list, or an update to the previous one
	Lost  []string     `json:",omitempty"` // pools whose agents don't answer the leader
	// From a follower:
	Ask     uint64      `json:",omitempty"` // a box that the follower considers unhealthy; 0: none
	Checked *BoxVerdict `json:",omitempty"` // the result of a check that the leader asked for
	Hears   string      `json:",omitempty"` // the pool whose agent the follower polls itself
	Want    string      `json:",omitempty"` // the pool whose full list the follower needs
}

// List is what an agent sent about a pool, in its format: all hosts, or those that have changed.
type List struct {
	Pool  string
	Seq   int64
	Whole bool // all hosts
	Hosts json.RawMessage
}

// Kind is the type of an action.
type Kind int

// Kinds of actions.
const (
	Probe           Kind = iota // probe a box, and report the end to FinishProbe
	ApplyVerdict                // apply the verdict Is about a box
	PollAgent                   // poll an agent, with polls held open for Hold; 0: the leader sends the list
	ApplyList                   // apply a list
	SendToLeader                // send a note to the leader
	SendToFollowers             // send a note to a follower; to all followers if To is empty
	SendFullList                // send the full list of a pool to a follower
	Resign                      // give up the duty, as others are fit for it, and don't ask for it again for Hold
)

// Action is something that the caller must do.
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

// Figures count what happened in probing.
type Figures struct {
	Asked   int64 // questions about boxes sent to the leader
	Told    int64 // verdicts that were applied
	Itself  int64 // own probes
	Differs int64 // verdicts that own attempts did not confirm
}

// Watcher is one limiter's part in the probing and polling of its room, as leader or as follower. Events
// are passed in, and TakeActions returns what to do. It is not safe for concurrent use.
type Watcher struct {
	cfg         Settings
	follower    *Follower
	leader      *Leader // nil: another limiter leads, or none does
	feeds       map[string]*Feed
	pollHolds   map[string]time.Duration // by pool, as the last PollAgent said
	heartbeatAt time.Duration            // when the leader next sends an empty note to all followers
	actions     []Action                 // not yet returned by TakeActions
	figures     Figures
}

// NewWatcher returns the watcher of a limiter that has not heard from a leader yet. pools are those whose
// lists come from discovery agents.
func NewWatcher(cfg Settings, pools []string) *Watcher {
	w := &Watcher{cfg: cfg, follower: NewFollower(cfg), feeds: map[string]*Feed{}, pollHolds: map[string]time.Duration{}}
	for _, pool := range pools {
		w.feeds[pool] = &Feed{}
	}
	return w
}

// TakeActions returns what to do now, in order, and clears it.
func (w *Watcher) TakeActions() []Action {
	pending := w.actions
	w.actions = nil
	return pending
}

// add appends an action for TakeActions.
func (w *Watcher) add(action Action) { w.actions = append(w.actions, action) }

// Figures returns the counts.
func (w *Watcher) Figures() Figures { return w.figures }

// PolledPools returns the pools whose agents this limiter polls itself.
func (w *Watcher) PolledPools() (pools []string) {
	for pool, hold := range w.pollHolds {
		if hold > 0 {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// IsLeader reports whether this limiter leads its room.
func (w *Watcher) IsLeader() bool { return w.leader != nil }

// NoLeader reports whether this limiter does not lead and hears from no leader.
func (w *Watcher) NoLeader(now time.Duration) bool { return w.leader == nil && w.follower.Silent(now) }

// SetLeader starts or ends this limiter's own term as leader.
func (w *Watcher) SetLeader(isLeader bool) {
	w.leader = nil
	if isLeader {
		w.leader = NewLeader(w.cfg)
		for _, f := range w.feeds {
			f.FollowAgent()
		}
	}
}

// Tick does what is due. It should be called about ten times a second.
func (w *Watcher) Tick(now time.Duration) {
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
			w.add(Action{Kind: PollAgent, Pool: pool, Hold: hold})
		}
	}
	if w.leader == nil {
		return
	}
	for _, box := range w.leader.StartProbes(now) {
		w.add(Action{Kind: Probe, Box: box})
	}
	if now >= w.heartbeatAt {
		w.heartbeatAt = now + w.cfg.AnswerTimeout/3
		w.add(Action{Kind: SendToFollowers})
	}
	if w.leader.Unfit(now) {
		w.add(Action{Kind: Resign, Hold: w.cfg.Unfit})
	}
}

// HandleUnhealthy processes that this limiter considers a box unhealthy.
func (w *Watcher) HandleUnhealthy(now time.Duration, box uint64) {
	if w.leader != nil {
		w.deliver(w.leader.Ask(now, "", box))
		return
	}
	ask, probe := w.follower.HandleUnhealthy(now, box)
	if ask {
		w.figures.Asked++
		w.add(Action{Kind: SendToLeader, Note: Note{Ask: box}})
	}
	if probe {
		w.add(Action{Kind: Probe, Box: box})
	}
}

// FinishProbe processes the end of this limiter's own probe; an empty result: it could not be made.
func (w *Watcher) FinishProbe(now time.Duration, box uint64, result Verdict) {
	w.figures.Itself++
	if w.leader != nil {
		w.deliver(w.leader.FinishProbe(now, box, result))
	}
	if w.follower.FinishProbe(box) && result != "" {
		w.add(Action{Kind: SendToLeader, Note: Note{Checked: &BoxVerdict{Box: box, Is: result}}})
	}
}

// AttemptFailed processes a failed attempt of this limiter at a box.
func (w *Watcher) AttemptFailed(now time.Duration, box uint64) {
	if w.follower.AttemptFailed(now, box) {
		w.figures.Differs++
	}
}

// HandleAgentList processes a list that an agent sent to this limiter.
func (w *Watcher) HandleAgentList(l List) {
	feed := w.feeds[l.Pool]
	if feed == nil {
		return
	}
	feed.SetSeq(l.Seq)
	if w.leader == nil {
		w.add(Action{Kind: SendToLeader, Note: Note{Hears: l.Pool}})
		return
	}
	w.leader.AgentHeard(l.Pool)
	w.add(Action{Kind: SendToFollowers, Note: Note{List: &l}})
}

// Lost processes that the agent of a pool does not answer this limiter.
func (w *Watcher) Lost(now time.Duration, pool string) {
	if w.leader != nil && w.leader.Lost(now, pool) {
		w.add(Action{Kind: SendToFollowers, Note: Note{Lost: w.leader.LostPools()}})
	}
}

// deliver sends verdicts to those they are for. The leader knows its own probe's result already.
func (w *Watcher) deliver(verdicts []BoxVerdict) {
	for _, v := range verdicts {
		if v.To != "" {
			w.add(Action{Kind: SendToFollowers, To: v.To, Note: Note{Words: []BoxVerdict{v}}})
		} else if v.Is == ProbeAlone {
			w.add(Action{Kind: Probe, Box: v.Box})
		}
	}
}

// AddFollower processes that a follower has connected; false: this limiter does not lead.
func (w *Watcher) AddFollower(limiter string) bool {
	if w.leader == nil {
		return false
	}
	w.add(Action{Kind: SendToFollowers, To: limiter, Note: Note{Lost: w.leader.LostPools()}})
	for _, pool := range slices.Sorted(maps.Keys(w.feeds)) {
		w.sendFullList(limiter, pool)
	}
	return true
}

// sendFullList sends a limiter the full list of a pool, if this limiter reaches its agent.
func (w *Watcher) sendFullList(limiter, pool string) {
	if w.feeds[pool] != nil && !slices.Contains(w.leader.LostPools(), pool) {
		w.add(Action{Kind: SendFullList, To: limiter, Pool: pool})
	}
}

// RemoveFollower processes that a follower has disconnected.
func (w *Watcher) RemoveFollower(limiter string) {
	if w.leader != nil {
		w.leader.RemoveFollower(limiter)
	}
}

// HandleFollowerNote processes a note of a follower.
func (w *Watcher) HandleFollowerNote(now time.Duration, limiter string, note Note) {
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

// LeaderHeard processes a note of the leader.
func (w *Watcher) LeaderHeard(now time.Duration, note Note) {
	if w.leader != nil {
		return // from a previous leader
	}
	w.follower.LeaderHeard(now)
	for _, v := range note.Words {
		believed, probe := w.follower.Told(now, v)
		if believed != "" {
			w.figures.Told++
			w.add(Action{Kind: ApplyVerdict, Box: v.Box, Is: believed})
		}
		if probe {
			w.add(Action{Kind: Probe, Box: v.Box})
		}
	}
	for _, pool := range note.Lost {
		w.FollowAgentDirectly(pool)
	}
	if list := note.List; list != nil && w.feeds[list.Pool] != nil {
		accept, requestFull := w.feeds[list.Pool].Offer(list.Seq, list.Whole)
		if accept {
			w.add(Action{Kind: ApplyList, List: list})
		}
		if requestFull {
			w.add(Action{Kind: SendToLeader, Note: Note{Want: list.Pool}})
		}
	}
}

// FollowAgentDirectly makes this limiter poll the agent of a pool itself, as the leader's list is of no use.
func (w *Watcher) FollowAgentDirectly(pool string) {
	if f := w.feeds[pool]; f != nil {
		f.FollowAgent()
	}
}

// LeaderDisconnected processes that the connection to the leader has ended.
func (w *Watcher) LeaderDisconnected() {
	w.follower.LeaderDisconnected()
	for _, f := range w.feeds {
		f.Disconnected()
	}
}
