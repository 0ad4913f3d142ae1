package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"example.org/madderdrum/internal/agreement"
	"example.org/madderdrum/internal/wall"
	"example.org/madderdrum/parts"
	"example.org/madderdrum/rollout"
	"example.org/madderdrum/tenure"
	"example.org/madderdrum/watch"
)

const (
	proposeTimeout      = time.Second            // for a proposal of this limiter's own
	leaveTimeout        = 700 * time.Millisecond // to give up duties and leadership at a clean shutdown
	operatorCallTimeout = 2 * time.Second        // for a call of an operator
)

// Limiter is the local limiter that duties, and calls of other limiters, act on.
type Limiter interface {
	Drain() error
	Resume() error
	// Leave starts a clean shutdown of the process.
	Leave()
	// LimiterStatus returns the current status.
	LimiterStatus() LimiterStatus
	// DemandReports returns the demand of accounts with ceilings. UseShares sets the shares of their ceilings
	// that this limiter may use: by account, and the share of all others.
	DemandReports() []parts.Report
	UseShares(of map[uint64]float64, rest float64)
}

// LimiterStatus is a limiter's status as it reports it to the rest of the fleet.
type LimiterStatus struct {
	Fleet    string // its fleet's ID; empty: none
	Start    uint64 // number of its process
	Ready    bool   // accepts clients
	Draining bool
	InHand   int   // requests in progress
	Passed   int64 // requests served since the process began
	Refused  int64 // refused or failed
}

// Options configure a Service.
type Options struct {
	Agreement  agreement.Options // without the state machine and the callbacks, which Open sets
	Terms      tenure.Settings
	Limiters   []string          // names of all limiters of the fleet
	AdminAddrs map[string]string // admin addresses by limiter
	Steward    bool              // redistribute shares of ceilings; false: return to equal shares
	Rooms      map[string]string // room of each limiter, by name; nil: each limiter probes on its own
	Prober     Prober            // this limiter's probes; required with Rooms
	Limiter    Limiter
	Log        *slog.Logger
}

// Service runs a limiter's share of its fleet's duties. It is safe for concurrent use.
type Service struct {
	options Options
	log     *slog.Logger
	self    tenure.Process
	host    *agreement.Host
	machine *machine

	mu           sync.Mutex
	candidate    *tenure.Candidate
	owned        map[string]uint64 // epoch by owned duty, for log messages
	termsChanged chan struct{}     // wakes maintainTerms

	duties        []string      // duties that this limiter is a candidate for
	watcher       *RoomWatcher  // nil: this limiter probes on its own
	position      int           // index among all limiters
	sharesChanged chan struct{} // signals a possible change of ceiling shares

	effectMu sync.Mutex // held during actions requested by other limiters
	fence    *tenure.Fence
	caughtUp bool // this process has caught up with everything agreed before it started
}

// isCandidate reports whether a limiter may own a duty.
func (o *Options) isCandidate(duty, limiter string) bool {
	if room, ok := watch.Room(duty); ok {
		return o.Rooms[limiter] == room
	}
	return slices.Contains(o.Limiters, limiter)
}

// Duties returns the names of all duties of the fleet.
func (o *Options) Duties() []string {
	all := []string{parts.Duty, rollout.Duty}
	for _, room := range slices.Compact(slices.Sorted(maps.Values(o.Rooms))) {
		all = append(all, watch.Duty(room))
	}
	return all
}

// Open opens the agreement's folder and starts to listen. Run does the rest.
func Open(o Options) (*Service, error) {
	if err := o.Terms.Check(); err != nil {
		return nil, err
	}
	s := &Service{options: o, log: o.Log, machine: &machine{limiters: len(o.Limiters), steward: o.Steward, position: slices.Index(o.Limiters, o.Agreement.Name)}, sharesChanged: make(chan struct{}, 1), owned: map[string]uint64{}, termsChanged: make(chan struct{}, 1),
		self: tenure.Process{Limiter: o.Agreement.Name, Start: rand.Uint64() | 1}}
	s.position = s.machine.position
	for _, d := range o.Duties() {
		if o.isCandidate(d, s.self.Limiter) {
			s.duties = append(s.duties, d)
		}
	}
	s.candidate = tenure.NewCandidate(s.self, o.Terms, s.duties, o.Limiters)
	a := o.Agreement
	a.Machine, a.OnApplied, a.Log = s.machine, s.handleApplied, o.Log
	if o.Rooms != nil {
		s.watcher = newRoomWatcher(s, o.Rooms[s.self.Limiter])
		a.Streams = map[string]func(string, *agreement.Stream){watchStream: s.watcher.serve}
	}
	var err error
	s.host, err = agreement.Open(a)
	return s, err
}

// Watcher returns this limiter's part in the shared probing of its room; nil: it probes on its own.
func (s *Service) Watcher() *RoomWatcher { return s.watcher }

// Start returns the random number of this process, which the limiter's Standing must report.
func (s *Service) Start() uint64 { return s.self.Start }

// Addr returns the address that other limiters connect to.
func (s *Service) Addr() string { return s.host.Addr().String() }

// now returns the time by a monotonic clock that includes suspend, where the system has one.
func now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return time.Duration(t.Nano())
}

// Run takes part in the agreement and performs owned duties until the context ends. Then it gives up the
// duties it owns.
func (s *Service) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks sync.WaitGroup
	var err error
	tasks.Go(func() {
		defer stop()
		err = s.host.Run(inner)
	})
	tasks.Go(func() { s.maintainTerms(inner) })
	tasks.Go(func() { s.conductRollouts(ctx, inner) })
	tasks.Go(func() { s.useCeilingShares(inner) })
	tasks.Go(func() { s.dealCeilingShares(inner) })
	if s.watcher != nil {
		tasks.Go(func() { s.watcher.run(inner) })
	}
	select {
	case <-ctx.Done():
		s.releaseDuties(inner)
	case <-inner.Done():
	}
	stop()
	tasks.Wait()
	return err
}

// handleApplied reacts to newly applied log entries. The agreement host calls it.
func (s *Service) handleApplied() {
	at := now()
	s.mu.Lock()
	s.machine.withState(func(st *state) { s.candidate.Observe(at, &st.Terms) })
	for _, d := range s.duties {
		t, owns := s.candidate.Owns(at, d)
		switch was := s.owned[d]; {
		case owns && was != t.Epoch:
			s.log.Info("became owner of a duty", "duty", d, "epoch", t.Epoch)
			s.owned[d] = t.Epoch
		case !owns && was != 0:
			s.log.Info("no longer owner of a duty", "duty", d, "epoch", was)
			delete(s.owned, d)
		}
	}
	s.mu.Unlock()
	for _, c := range []chan struct{}{s.termsChanged, s.sharesChanged} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// owns returns the valid token of a duty that this limiter owns. It is the last check before an action.
func (s *Service) owns(duty string) (tenure.Token, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.candidate.Owns(now(), duty)
}

// maintainTerms proposes the commands that take, renew and give up terms.
func (s *Service) maintainTerms(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.termsChanged:
		case <-timer.C:
		}
		s.mu.Lock()
		commands := s.candidate.Step(now())
		wake := s.candidate.NextWake(now())
		s.mu.Unlock()
		for _, c := range commands {
			c.AtMs = wall.Now().UnixMilli()
			go func() {
				ctx, done := context.WithTimeout(ctx, proposeTimeout)
				defer done()
				if err := s.propose(ctx, entry{Term: &c}); err != nil {
					s.log.Debug("term command was not agreed", "kind", string(c.Kind), "duty", c.Duty, "err", err)
				}
			}()
		}
		timer.Reset(max(5*time.Millisecond, wake-now()))
	}
}

// propose adds an entry to the replicated log.
func (s *Service) propose(ctx context.Context, e entry) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return s.host.Propose(ctx, data)
}

// releaseDuties gives up all duties and leadership, so that successors need not wait for terms to expire.
func (s *Service) releaseDuties(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, leaveTimeout)
	defer done()
	s.resign("")
	for s.ownsAny() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	s.host.TransferLeadership(ctx)
}

// resign requests to give up a duty; "" means all.
func (s *Service) resign(duty string) {
	s.mu.Lock()
	s.candidate.Resign(duty)
	s.mu.Unlock()
	select {
	case s.termsChanged <- struct{}{}:
	default:
	}
}

// abstain keeps this limiter from taking a duty for the given time.
func (s *Service) abstain(duty string, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidate.Abstain(duty, now()+hold)
}

// ownsAny reports whether the agreed state names this process as the owner of any duty.
func (s *Service) ownsAny() (any bool) {
	s.machine.withState(func(st *state) {
		for _, t := range st.Terms.Terms {
			any = any || t.Owner == s.self
		}
	})
	return any
}

// admit runs an action requested under a fencing token, unless the token is outdated. It holds the lock
// until the action has finished, so an action under a later token waits for it.
func (s *Service) admit(ctx context.Context, t tenure.Token, effect func() error) error {
	s.effectMu.Lock()
	defer s.effectMu.Unlock()
	if checkDisabled("fence") {
		return effect()
	}
	if s.fence == nil {
		kept, err := s.host.FencingEpochs(ctx)
		if err != nil {
			return fmt.Errorf("what was seen of tokens can't be read: %w", err)
		}
		s.fence = tenure.NewFence(kept)
	}
	if !s.caughtUp {
		// The stored fence may come from an outdated folder. Everything agreed before this
		// process started is known only after it has caught up.
		if err := s.host.ReadBarrier(ctx); err != nil {
			return fmt.Errorf("this limiter has started and has not caught up with the fleet: %w", err)
		}
		s.caughtUp = true
	}
	var epoch uint64
	s.machine.withState(func(st *state) { epoch = st.Terms.CurrentEpoch(t.Duty) })
	if t.Epoch < epoch {
		return fmt.Errorf("token %v is over: epoch %d is agreed on", t, epoch)
	}
	raised, err := s.fence.Admit(t)
	if err != nil {
		return err
	}
	if raised {
		if err := s.host.RaiseFencingEpoch(ctx, t.Duty, t.Epoch); err != nil {
			s.fence = nil // read the stored value again next time
			return fmt.Errorf("token %v can't be written down: %w", t, err)
		}
	}
	return effect()
}

// Owner describes the ownership of a duty, as this limiter knows it.
type Owner struct {
	Duty    string
	Owner   string `json:",omitempty"`
	Epoch   uint64
	Terms   int    // how many have begun so far
	Wanted  string `json:",omitempty"` // the next owner that an operator asked for
	HereFor string `json:",omitempty"` // set only on the owner: the rest of its term
}

// Owners returns the ownership of all duties that have been taken.
func (s *Service) Owners() (all []Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now()
	s.machine.withState(func(st *state) {
		for _, t := range st.Terms.SortedTerms() {
			o := Owner{Duty: t.Duty, Owner: t.Owner.Limiter, Epoch: t.Epoch, Terms: t.Takes, Wanted: t.Next}
			if until := s.candidate.TermEnd(t.Duty); until > at {
				o.HereFor = (until - at).Round(time.Millisecond).String()
			}
			all = append(all, o)
		}
	})
	return all
}

// Member describes one replica of the agreement: a voter or a learner.
type Member struct {
	Limiter string
	Member  string
	Votes   bool
	Leads   bool
	Wanted  bool   // an operator wants it to vote
	Behind  uint64 `json:",omitempty"` // log entries that it lacks, known on the leader only
}

// Status describes the fleet, as this limiter knows it.
type Status struct {
	Limiter    string
	Fleet      string
	Generation uint64
	Leader     string // empty: none is known, so nothing can be agreed
	Term       uint64
	Applied    uint64
	Silent     bool   `json:",omitempty"`
	Failed     string `json:",omitempty"`
	Members    []Member
	Sent       int64
	SentBytes  int64
	Received   int64
	Rollout    *rollout.Plan `json:",omitempty"`
	Looks      *WatchStatus  `json:",omitempty"` // shared probing in this limiter's room
	Moved      int           // accounts whose ceiling is not shared equally
	UnderWay   int           // those of them that wait for a limiter to confirm its reduced share
	Unsure     []string      `json:",omitempty"` // limiters whose shares are unknown since a new generation was forced
}

// fleetID returns the ID of this limiter's fleet in hexadecimal; empty: none.
func (s *Service) fleetID() string {
	if f := s.host.Status().Fleet; f != 0 {
		return fmt.Sprintf("%016x", f)
	}
	return ""
}

// Status returns the state of the fleet and of this limiter's replica.
func (s *Service) Status() Status {
	a := s.host.Status()
	st := Status{Limiter: s.self.Limiter, Fleet: s.fleetID(), Generation: a.Generation, Leader: a.Roster.Members[a.Leader],
		Term: a.Term, Applied: a.Applied, Silent: a.Silent, Failed: a.Failed, Sent: a.Sent, SentBytes: a.SentBytes, Received: a.Received, Rollout: s.machine.currentRollout()}
	s.machine.withState(func(x *state) {
		st.Moved, st.UnderWay = x.Parts.CountUnequal()
		for _, i := range x.Parts.Unsure {
			if i < len(s.options.Limiters) {
				st.Unsure = append(st.Unsure, s.options.Limiters[i])
			}
		}
	})
	if s.watcher != nil {
		x := s.watcher.Status()
		st.Looks = &x
	}
	for id, name := range a.Roster.Members {
		m := Member{Limiter: name, Member: fmt.Sprintf("%016x", id), Votes: slices.Contains(a.Voters, id), Leads: id == a.Leader}
		want, wanted := a.Roster.Wanted[name]
		m.Wanted = wanted && (want == 0 || want == id)
		if a.Match != nil && a.Match[id] < a.Applied {
			m.Behind = a.Applied - a.Match[id]
		}
		st.Members = append(st.Members, m)
	}
	slices.SortFunc(st.Members, func(a, b Member) int {
		if a.Votes != b.Votes {
			return map[bool]int{true: -1, false: 1}[a.Votes]
		}
		if a.Limiter != b.Limiter {
			return compareNames(a.Limiter, b.Limiter)
		}
		return compareNames(a.Member, b.Member)
	})
	return st
}

// compareNames compares names by length first, which orders n2 before n10.
func compareNames(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	return map[bool]int{true: -1, false: 1}[a < b]
}

// History returns the changes of ownership, the newest last.
func (s *Service) History() (all []tenure.Change) {
	s.machine.withState(func(st *state) { all = slices.Clone(st.Terms.History) })
	return all
}

// Bootstrap creates the fleet with the given voters, of which this limiter must be one.
func (s *Service) Bootstrap(ctx context.Context, voters []string) error {
	for _, v := range voters {
		if !slices.Contains(s.options.Limiters, v) {
			return fmt.Errorf("there is no limiter %q", v)
		}
	}
	if !slices.Contains(voters, s.self.Limiter) {
		return fmt.Errorf("%s is none of the voters %v: call one of them", s.self.Limiter, voters)
	}
	return s.host.Bootstrap(ctx, voters)
}

// ForceNewFleet makes this limiter the only voter and invalidates all tokens. It recovers a fleet that
// has lost its majority.
func (s *Service) ForceNewFleet(ctx context.Context) error {
	return s.host.ForceNewFleet(ctx, s.machine.startGeneration)
}

// SetVoter makes a limiter a voter, or a learner.
func (s *Service) SetVoter(ctx context.Context, limiter string, votes bool) error {
	if !slices.Contains(s.options.Limiters, limiter) {
		return fmt.Errorf("there is no limiter %q; there are %v", limiter, s.options.Limiters)
	}
	w := agreement.VoterRequest{Remove: limiter}
	if votes {
		w = agreement.VoterRequest{Add: limiter}
	}
	return s.host.RequestVoterChange(ctx, w)
}

// Transfer proposes that a duty moves to another limiter.
func (s *Service) Transfer(ctx context.Context, duty, to string) error {
	switch {
	case !slices.Contains(s.options.Duties(), duty):
		return fmt.Errorf("there is no duty %q; there are %v", duty, s.options.Duties())
	case !slices.Contains(s.options.Limiters, to):
		return fmt.Errorf("there is no limiter %q; there are %v", to, s.options.Limiters)
	case !s.options.isCandidate(duty, to):
		return fmt.Errorf("limiter %q is in room %q: %s is for its own limiters", to, s.options.Rooms[to], duty)
	}
	return s.propose(ctx, entry{Term: &tenure.Command{Kind: tenure.Transfer, By: s.self, Duty: duty, To: to}})
}

// Resign gives up a duty; it is an error if this limiter does not own it.
func (s *Service) Resign(duty string) error {
	if _, owns := s.owns(duty); !owns {
		return fmt.Errorf("%s does not own %q", s.self.Limiter, duty)
	}
	s.resign(duty)
	return nil
}

// StartRollout starts a rollout over the limiters in the plan's steps; without steps, over all.
func (s *Service) StartRollout(ctx context.Context, p rollout.Plan) error {
	if len(p.Steps) == 0 {
		for _, n := range s.options.Limiters {
			p.Steps = append(p.Steps, rollout.Step{Limiter: n, Phase: rollout.PhaseWaiting})
		}
	}
	var uncallable []string
	for _, st := range p.Steps {
		if !slices.Contains(s.options.Limiters, st.Limiter) {
			return fmt.Errorf("there is no limiter %q; there are %v", st.Limiter, s.options.Limiters)
		}
		if s.options.AdminAddrs[st.Limiter] == "" {
			uncallable = append(uncallable, st.Limiter)
		}
	}
	if len(uncallable) > 0 {
		return fmt.Errorf("limiters %v have no admin address: add one to each in the configuration", uncallable)
	}
	if p.AtOnce >= len(s.options.Limiters) {
		return fmt.Errorf("%d limiters at once, of %d: nobody would serve", p.AtOnce, len(s.options.Limiters))
	}
	return s.propose(ctx, entry{Rollout: &rollout.Command{Op: rollout.OpBegin, ID: p.ID, Plan: &p}})
}

// ControlRollout halts, continues or ends the current rollout.
func (s *Service) ControlRollout(ctx context.Context, op rollout.Op) error {
	if op != rollout.OpContinue && op != rollout.OpEnd && op != rollout.OpHalt {
		return errors.New("a rollout can be halted, continued or ended")
	}
	return s.propose(ctx, entry{Rollout: &rollout.Command{Op: op, Why: "an operator said so"}})
}

// callableLimiters returns the sorted names of limiters with an admin address.
func (s *Service) callableLimiters() []string { return slices.Sorted(maps.Keys(s.options.AdminAddrs)) }
