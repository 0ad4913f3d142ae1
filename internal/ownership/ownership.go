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
	proposeTimeout      = time.Second            // a proposal of this limiter's own is waited for so long
	leaveTimeout        = 700 * time.Millisecond // to give up duties and the lead at an end in good order
	operatorCallTimeout = 2 * time.Second        // operators' wishes
)

// Limiter is this limiter, as its duties and the effects of others' see it.
type Limiter interface {
	Drain() error
	Resume() error
	// Leave ends the process in good order.
	Leave()
	// Standing is how it is doing.
	Standing() Standing
	// Asked is what was asked for of accounts with ceilings, Hold how much of those it may use.
	Asked() []parts.Report
	Hold(of map[uint64]float64, rest float64)
}

// Standing is how a limiter is doing, as it says itself.
type Standing struct {
	Fleet    string // that it is in; empty: none
	Start    uint64 // of its process
	Ready    bool   // it takes clients
	Draining bool
	InHand   int
	Passed   int64 // requests served since the process began
	Refused  int64 // refused or failed
}

// Options say what a limiter needs to know of its fleet.
type Options struct {
	Agreement agreement.Options // but for the machine and what is called
	Terms     tenure.Settings
	Limiters  []string          // all of the fleet
	Admins    map[string]string // where operators call them
	Steward   bool              // parts of ceilings move; else they go back to equal ones
	Rooms     map[string]string // of the limiters, by name; nil: each looks for itself
	Eyes      Prober            // of this limiter, with Rooms
	Limiter   Limiter
	Log       *slog.Logger
}

// Service is a limiter's part in the duties of its fleet. It is safe for concurrent use.
type Service struct {
	options Options
	log     *slog.Logger
	self    tenure.Process
	host    *agreement.Host
	machine *machine

	mu           sync.Mutex
	candidate    *tenure.Candidate
	owned        map[string]uint64 // epochs, for the log
	termsChanged chan struct{}

	duties        []string      // that this limiter is a candidate for
	watcher       *RoomWatcher  // nil: it looks for itself
	position      int           // among all limiters
	sharesChanged chan struct{} // parts may have changed

	effectMu sync.Mutex // round the effects of others
	fence    *tenure.Fence
	caughtUp bool // this process has caught up with what was agreed on before it started
}

// candidates tells whether a limiter is a candidate for a duty.
func (o *Options) isCandidate(duty, limiter string) bool {
	if room, ok := watch.Room(duty); ok {
		return o.Rooms[limiter] == room
	}
	return slices.Contains(o.Limiters, limiter)
}

// Duties are all that there are.
func (o *Options) Duties() []string {
	all := []string{parts.Duty, rollout.Duty}
	for _, room := range slices.Compact(slices.Sorted(maps.Values(o.Rooms))) {
		all = append(all, watch.Duty(room))
	}
	return all
}

// Open opens the folder and listens; Run takes part.
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
	a.Machine, a.Changed, a.Log = s.machine, s.handleApplied, o.Log
	if o.Rooms != nil {
		s.watcher = newRoomWatcher(s, o.Rooms[s.self.Limiter])
		a.Streams = map[string]func(string, *agreement.Stream){watchStream: s.watcher.serve}
	}
	var err error
	s.host, err = agreement.Open(a)
	return s, err
}

// Lookout is this limiter's part in the looks of its room; nil: it looks for itself.
func (s *Service) Lookout() *RoomWatcher { return s.watcher }

// Start is the number of this process, which the limiter's Standing has to tell.
func (s *Service) Start() uint64 { return s.self.Start }

// Addr is where other limiters connect.
func (s *Service) Addr() string { return s.host.Addr().String() }

// now is the time by a clock that goes on while the machine is suspended and knows no jumps.
func now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return time.Duration(t.Nano())
}

// Run takes part until the context ends; then it gives up what it owns.
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

// changed takes in what has been agreed on; the agreement's driver calls it.
func (s *Service) handleApplied() {
	at := now()
	s.mu.Lock()
	s.machine.withState(func(st *state) { s.candidate.Observe(at, &st.Terms) })
	for _, d := range s.duties {
		t, owns := s.candidate.Owns(at, d)
		switch was := s.owned[d]; {
		case owns && was != t.Epoch:
			s.log.Info("owns a duty", "duty", d, "epoch", t.Epoch)
			s.owned[d] = t.Epoch
		case !owns && was != 0:
			s.log.Info("owns a duty no more", "duty", d, "epoch", was)
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

// owns is the last look before an effect.
func (s *Service) owns(duty string) (tenure.Token, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.candidate.Owns(now(), duty)
}

// keep takes, renews and gives up terms.
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
		wake := s.candidate.Wake(now())
		s.mu.Unlock()
		for _, c := range commands {
			c.AtMs = wall.Now().UnixMilli()
			go func() {
				ctx, done := context.WithTimeout(ctx, proposeTimeout)
				defer done()
				if err := s.propose(ctx, entry{Term: &c}); err != nil {
					s.log.Debug("a term was not agreed on", "kind", string(c.Kind), "duty", c.Duty, "err", err)
				}
			}()
		}
		timer.Reset(max(5*time.Millisecond, wake-now()))
	}
}

func (s *Service) propose(ctx context.Context, e entry) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return s.host.Propose(ctx, data)
}

// leave gives up duties and the lead, so that nobody waits for their ends.
func (s *Service) releaseDuties(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, leaveTimeout)
	defer done()
	s.resign("")
	for s.ownsAny() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	s.host.HandOver(ctx)
}

func (s *Service) resign(duty string) {
	s.mu.Lock()
	s.candidate.Resign(duty)
	s.mu.Unlock()
	select {
	case s.termsChanged <- struct{}{}:
	default:
	}
}

// abstain has this limiter not ask for a duty for so long.
func (s *Service) abstain(duty string, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidate.Abstain(duty, now()+hold)
}

func (s *Service) ownsAny() (any bool) {
	s.machine.withState(func(st *state) {
		for _, t := range st.Terms.Terms {
			any = any || t.Owner == s.self
		}
	})
	return any
}

// admit tells whether an effect under a token may be carried out here. It holds the gate
// until the effect is over: one under a later token waits for it.
func (s *Service) admit(ctx context.Context, t tenure.Token, effect func() error) error {
	s.effectMu.Lock()
	defer s.effectMu.Unlock()
	if checkDisabled("fence") {
		return effect()
	}
	if s.fence == nil {
		kept, err := s.host.Fence(ctx)
		if err != nil {
			return fmt.Errorf("what was seen of tokens can't be read: %w", err)
		}
		s.fence = tenure.NewFence(kept)
	}
	if !s.caughtUp {
		// What this limiter remembers may be an old folder's. What was agreed on before it
		// started is known once it has caught up.
		if err := s.host.Read(ctx); err != nil {
			return fmt.Errorf("this limiter has started and has not caught up with the fleet: %w", err)
		}
		s.caughtUp = true
	}
	var epoch uint64
	s.machine.withState(func(st *state) { epoch = st.Terms.Current(t.Duty) })
	if t.Epoch < epoch {
		return fmt.Errorf("token %v is over: epoch %d is agreed on", t, epoch)
	}
	raised, err := s.fence.Admit(t)
	if err != nil {
		return err
	}
	if raised {
		if err := s.host.Raise(ctx, t.Duty, t.Epoch); err != nil {
			s.fence = nil // what stands on the disk holds
			return fmt.Errorf("token %v can't be written down: %w", t, err)
		}
	}
	return effect()
}

// Owner is who owns a duty, as this limiter knows it.
type Owner struct {
	Duty    string
	Owner   string `json:",omitempty"`
	Epoch   uint64
	Terms   int    // begun so far
	Wanted  string `json:",omitempty"` // whom an operator wants
	HereFor string `json:",omitempty"` // on the owner alone: what is left of its term
}

// Owners are the duties' owners.
func (s *Service) Owners() (all []Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now()
	s.machine.withState(func(st *state) {
		for _, t := range st.Terms.Sorted() {
			o := Owner{Duty: t.Duty, Owner: t.Owner.Limiter, Epoch: t.Epoch, Terms: t.Takes, Wanted: t.Next}
			if until := s.candidate.Until(t.Duty); until > at {
				o.HereFor = (until - at).Round(time.Millisecond).String()
			}
			all = append(all, o)
		}
	})
	return all
}

// Member is one member of the agreement.
type Member struct {
	Limiter string
	Member  string
	Votes   bool
	Leads   bool
	Wanted  bool   // to vote
	Behind  uint64 `json:",omitempty"` // entries, as its leader sees it
}

// Status is how the fleet stands, as this limiter knows it.
type Status struct {
	Limiter    string
	Fleet      string
	Generation uint64
	Leader     string // empty: none is known, and nothing can be agreed on
	Term       uint64
	Applied    uint64
	Silent     bool   `json:",omitempty"`
	Failed     string `json:",omitempty"`
	Members    []Member
	Sent       int64
	SentBytes  int64
	Received   int64
	Rollout    *rollout.Plan `json:",omitempty"`
	Looks      *WatchStatus  `json:",omitempty"` // shared in this limiter's room
	Moved      int           // accounts of which parts of the ceiling are not equal
	UnderWay   int           // of them, where a limiter has still to confirm that it uses less
	Unsure     []string      `json:",omitempty"` // limiters of which is not known yet what they hold, after the fleet was begun anew
}

// fleet is the number of the fleet that this limiter is in, in hexadecimal; empty: none.
func (s *Service) fleetID() string {
	if f := s.host.Status().Fleet; f != 0 {
		return fmt.Sprintf("%016x", f)
	}
	return ""
}

// Status returns it.
func (s *Service) Status() Status {
	a := s.host.Status()
	st := Status{Limiter: s.self.Limiter, Fleet: s.fleetID(), Generation: a.Generation, Leader: a.Roster.Members[a.Leader],
		Term: a.Term, Applied: a.Applied, Silent: a.Silent, Failed: a.Failed, Sent: a.Sent, SentBytes: a.SentBytes, Received: a.Received, Rollout: s.machine.currentRollout()}
	s.machine.withState(func(x *state) {
		st.Moved, st.UnderWay = x.Parts.Moved()
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

// compareNames orders n2 before n10.
func compareNames(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	return map[bool]int{true: -1, false: 1}[a < b]
}

// History is what has become of duties, newest last.
func (s *Service) History() (all []tenure.Change) {
	s.machine.withState(func(st *state) { all = slices.Clone(st.Terms.History) })
	return all
}

// Begin makes this limiter the first of the fleet.
func (s *Service) Bootstrap(ctx context.Context, voters []string) error {
	for _, v := range voters {
		if !slices.Contains(s.options.Limiters, v) {
			return fmt.Errorf("there is no limiter %q", v)
		}
	}
	if !slices.Contains(voters, s.self.Limiter) {
		return fmt.Errorf("%s is none of the voters %v: call one of them", s.self.Limiter, voters)
	}
	return s.host.Begin(ctx, voters)
}

// BeginAnew makes this limiter the only voter and voids all tokens.
func (s *Service) ForceNewFleet(ctx context.Context) error {
	return s.host.BeginAnew(ctx, s.machine.startGeneration)
}

// Vote has a limiter vote from now on, or learn.
func (s *Service) SetVoter(ctx context.Context, limiter string, votes bool) error {
	if !slices.Contains(s.options.Limiters, limiter) {
		return fmt.Errorf("there is no limiter %q; there are %v", limiter, s.options.Limiters)
	}
	w := agreement.Wish{Remove: limiter}
	if votes {
		w = agreement.Wish{Add: limiter}
	}
	return s.host.Want(ctx, w)
}

// Transfer has a duty go to another limiter.
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

// Resign has this limiter give a duty up, if it owns it.
func (s *Service) Resign(duty string) error {
	if _, owns := s.owns(duty); !owns {
		return fmt.Errorf("%s does not own %q", s.self.Limiter, duty)
	}
	s.resign(duty)
	return nil
}

// Roll begins a rollout over limiters; none: over all.
func (s *Service) StartRollout(ctx context.Context, p rollout.Plan) error {
	if len(p.Steps) == 0 {
		for _, n := range s.options.Limiters {
			p.Steps = append(p.Steps, rollout.Step{Limiter: n, Phase: rollout.Waiting})
		}
	}
	var none []string
	for _, st := range p.Steps {
		if !slices.Contains(s.options.Limiters, st.Limiter) {
			return fmt.Errorf("there is no limiter %q; there are %v", st.Limiter, s.options.Limiters)
		}
		if s.options.Admins[st.Limiter] == "" {
			none = append(none, st.Limiter)
		}
	}
	if len(none) > 0 {
		return fmt.Errorf("limiters %v have no admin address: add one to each in the configuration", none)
	}
	if p.AtOnce >= len(s.options.Limiters) {
		return fmt.Errorf("%d limiters at once, of %d: nobody would serve", p.AtOnce, len(s.options.Limiters))
	}
	return s.propose(ctx, entry{Rollout: &rollout.Command{Op: rollout.Begin, ID: p.ID, Plan: &p}})
}

// Rollout has the rollout under way go on or end.
func (s *Service) ControlRollout(ctx context.Context, op rollout.Op) error {
	if op != rollout.GoOn && op != rollout.End && op != rollout.Halt {
		return errors.New("a rollout can be halted, continued or ended")
	}
	return s.propose(ctx, entry{Rollout: &rollout.Command{Op: op, Why: "an operator said so"}})
}

// admins are the limiters that can be called.
func (s *Service) callableLimiters() []string { return slices.Sorted(maps.Keys(s.options.Admins)) }
