package agreement

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/time/rate"
)

const (
	// DefaultTick is the length of a tick: the leader sends one heartbeat per tick, and is replaced after 5 to
	// 9 ticks without one.
	DefaultTick          = 100 * time.Millisecond
	membershipCheckTicks = 3               // ticks between two checks for a due membership change
	activeWindow         = 3 * time.Second // a member counts as active this long after its last hello or message
	// A member that has received no message for silenceTimeout, or must stay silent, reconnects and sends a new
	// hello: it may have been removed from the fleet, its connections may lead to a machine that is gone, or
	// its hello may have been sent before the fleet existed. A hello is a request to join for joinRequestTTL.
	silenceTimeout  = 2 * time.Second
	joinRequestTTL  = 10 * time.Second
	reopenDelay     = time.Second
	maxQueuedEvents = 1024
)

// Options configure a [Host].
type Options struct {
	Label     string            // of the fleet
	Name      string            // of this limiter
	Folder    string            // data directory, used by this limiter only
	Listen    string            // host:port for connections of other limiters
	Peers     map[string]string // addresses of the other limiters, by name
	Voters    []string          // limiters to contact while this one has not found the fleet
	Machine   Machine           // called by one goroutine only; other readers need their own lock
	OnApplied func()            // called after entries were applied; must not block; may be nil
	Tick      time.Duration     // 0: DefaultTick
	// Streams are the handlers of streams that other limiters open with [Host.Dial], by purpose. They are
	// called only for accepted limiters. The connection is closed when a handler returns or Run ends.
	Streams map[string]func(limiter string, s *Stream)
	Log     *slog.Logger
}

// Host runs a [Core] with a folder on disk and connections to the other limiters. One goroutine, the driver
// in [Host.Run], owns the core; other goroutines send it events. Host is safe for concurrent use.
type Host struct {
	options     Options
	log         *slog.Logger
	warnLimiter *rate.Limiter
	listener    net.Listener
	links       map[string]*link
	events      chan event
	tasks       sync.WaitGroup
	processMark uint64

	sent, sentBytes, received atomic.Int64

	mu             sync.Mutex // guards the fields below, which only the driver changes
	status         Status
	member         uint64
	memberReplaced chan struct{} // closed when this process gets a new member ID
	ended          chan struct{} // closed when Run ends

	// The fields below are used by the driver only.
	dataFolder       *folder
	core             *Core
	failure          error
	pendingProposals map[uint64]chan error
	pendingReads     map[string]chan struct{}
	welcomedBy       map[uint64]bool   // members that have recorded this start
	memberNames      map[uint64]string // limiter names by member, from received hellos
	activeMembers    map[string]activeMember
	joinRequests     map[string]joinRequest
	lastMessageAt    time.Time // of the last message from another member
	lastRedialAt     time.Time
	greetTargets     []string // limiters to contact until this one takes part
	participating    bool     // this member has ticked since the core was opened; it may send messages
	reopenAt         time.Time
}

// activeMember is the member last active under a limiter's name, and when it was.
type activeMember struct {
	member uint64
	at     time.Time
}

// joinRequest is a limiter that has sent a hello, and when; the leader adds it if it is not a member.
type joinRequest struct {
	Joiner
	at time.Time
}

// event is the input of the driver; exactly one group of fields is set.
type event struct {
	// A Raft message, from a member and limiter to the member that its connection was opened for.
	message *raftpb.Message
	member  uint64
	from    string
	to      uint64

	// A received hello and the channel for its answer.
	hello  *Hello
	answer chan reply

	// The answer to a hello that this process sent; member is the sender of the hello, from the answering limiter.
	helloReply *reply
	mark       uint64

	// The limiter whose connection ended.
	disconnected string

	// The member to which a snapshot was sent, and whether that succeeded.
	snapshotTo uint64
	snapshotOK bool

	// A function to call in the driver.
	work func()
}

// Status is the state of a member and its counters.
type Status struct {
	View
	Fleet, Generation uint64
	Start             uint64
	Silent            bool   // sends no messages yet: too few voters have recorded its start
	Failed            string // the error that has suspended the member; empty if it is running
	Waiting           []string
	Sent, SentBytes   int64
	Received          int64
}

// ErrNoFleet is returned when this limiter does not belong to a fleet.
var ErrNoFleet = errors.New("this limiter is in no fleet yet: begin one with fleet init, or see that its voters can be reached")

// Open opens the folder and starts listening. The member takes part in the fleet only during [Host.Run].
func Open(options Options) (*Host, error) {
	if options.Tick == 0 {
		options.Tick = DefaultTick
	}
	host := &Host{options: options, log: options.Log, warnLimiter: rate.NewLimiter(1, 5),
		events: make(chan event, maxQueuedEvents), processMark: rand.Uint64() | 1,
		memberReplaced: make(chan struct{}), ended: make(chan struct{}),
		pendingProposals: map[uint64]chan error{}, pendingReads: map[string]chan struct{}{}, links: map[string]*link{},
		memberNames: map[uint64]string{}, activeMembers: map[string]activeMember{}, joinRequests: map[string]joinRequest{}}
	for name, addr := range options.Peers {
		if name != options.Name {
			host.links[name] = newLink(name, addr)
		}
	}
	var err error
	if host.dataFolder, err = openFolder(options.Folder, options.Name); err != nil {
		return nil, err
	}
	if err := host.openCore(); err != nil {
		host.dataFolder.close()
		return nil, err
	}
	if host.listener, err = net.Listen("tcp", options.Listen); err != nil {
		host.dataFolder.close()
		return nil, fmt.Errorf("fleet address: %w", err)
	}
	host.member = host.dataFolder.self.Member
	host.publishStatus()
	return host, nil
}

// Addr returns the address at which other limiters connect.
func (h *Host) Addr() net.Addr { return h.listener.Addr() }

// openCore opens the core from the folder. The member stays silent until enough voters have recorded its start.
func (h *Host) openCore() (err error) {
	h.core, err = OpenCore(h.dataFolder.self.Member, h.dataFolder, h.options.Machine, h.log)
	h.welcomedBy, h.participating = map[uint64]bool{}, false
	h.greetTargets = slices.Clone(h.options.Voters)
	return err
}

// Run runs the driver and the connections until ctx is done.
func (h *Host) Run(ctx context.Context) error {
	defer func() {
		close(h.ended)
		h.listener.Close()
		h.tasks.Wait()
		if h.dataFolder != nil {
			h.dataFolder.close()
		}
	}()
	defer context.AfterFunc(ctx, func() { h.listener.Close() })()
	h.tasks.Go(func() { h.accept(ctx) })
	for _, l := range h.links {
		h.tasks.Go(func() { l.run(ctx, h) })
	}
	h.greetAll()
	ticker := time.NewTicker(h.options.Tick)
	defer ticker.Stop()
	for tickCount := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			tickCount++
			h.handleTick(tickCount)
		case e := <-h.events:
			h.handleEvent(e)
			for range len(h.events) { // queued events share one sync to disk
				h.handleEvent(<-h.events)
			}
		}
		h.flushCore()
		h.publishStatus()
	}
}

// enqueue queues an event for the driver. It returns false if ctx is done or the driver has ended.
func (h *Host) enqueue(ctx context.Context, e event) bool {
	select {
	case h.events <- e:
		return true
	case <-ctx.Done():
		return false
	case <-h.ended:
		return false
	}
}

var errHostStopped = errors.New("this limiter takes no part any more: it is ending")

// runOnDriver calls work in the driver's goroutine and waits for its result. The result goes through a
// channel: a caller that stops waiting shares no memory with a driver that calls work later.
func runOnDriver[T any](ctx context.Context, h *Host, work func() (T, error)) (zero T, err error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	if !h.enqueue(ctx, event{work: func() {
		value, err := work()
		done <- result{value, err}
	}}) {
		return zero, cmp.Or(ctx.Err(), errHostStopped)
	}
	select {
	case got := <-done:
		return got.value, got.err
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-h.ended: // the event may remain in the queue, which is no longer processed
		return zero, errHostStopped
	}
}

// runOnDriver calls work in the driver's goroutine and returns its error.
func (h *Host) runOnDriver(ctx context.Context, work func() error) error {
	_, err := runOnDriver(ctx, h, func() (struct{}, error) { return struct{}{}, work() })
	return err
}

// warn logs a warning, unless the rate limit of warnings is exceeded.
func (h *Host) warn(msg string, args ...any) {
	if h.warnLimiter.Allow() {
		h.log.Warn(msg, args...)
	}
}

// handleTick advances the core by a tick, and reconnects or changes members if that is due.
func (h *Host) handleTick(tickCount int) {
	if h.core == nil {
		if time.Now().After(h.reopenAt) {
			h.reopen()
		}
		return
	}
	inactive := h.mustStaySilent() || h.dataFolder.self.Fleet == 0 || len(h.core.confState.GetVoters()) == 0
	if tickCount%membershipCheckTicks == 0 && (inactive || h.core.View().Leader == 0) {
		h.greetAll()
	}
	if now := time.Now(); !h.core.IsLeader() && (inactive || now.Sub(h.lastMessageAt) > silenceTimeout) &&
		now.Sub(h.lastRedialAt) > silenceTimeout {
		h.lastRedialAt = now
		for _, l := range h.links {
			l.reopen()
		}
		h.greetAll()
	}
	if inactive {
		return
	}
	if !h.participating {
		h.participating = true
		h.log.Info("taking part in the fleet", "fleet", fmt.Sprintf("%016x", h.dataFolder.self.Fleet),
			"member", fmt.Sprintf("%016x", h.core.id), "start", h.dataFolder.self.Start)
	}
	h.core.Tick()
	if tickCount%membershipCheckTicks != 0 {
		return
	}
	for mark := range h.pendingReads { // repeated because a request may have been lost
		h.core.ReadBarrier(mark)
	}
	if h.core.IsLeader() {
		view := h.core.View()
		var joinRequests []Joiner
		maps.DeleteFunc(h.joinRequests, func(_ string, request joinRequest) bool { return time.Since(request.at) > joinRequestTTL })
		for _, name := range slices.Sorted(maps.Keys(h.joinRequests)) {
			joinRequests = append(joinRequests, h.joinRequests[name].Joiner)
		}
		if change, due := h.core.roster.nextChange(h.core.confState, joinRequests, view.Match, view.Applied); due {
			if err := h.core.Change(change); err == nil {
				h.log.Info("changing members", "limiter", change.Name, "votes", change.Voter, "leaving", len(change.Remove))
			}
		}
	}
}

// handleEvent processes an event in the driver.
func (h *Host) handleEvent(e event) {
	switch {
	case e.work != nil:
		e.work()
	case h.core == nil:
		if e.answer != nil {
			e.answer <- reply{Verdict: Foreign, Why: "this limiter takes no part: its disk failed"}
		}
	case e.hello != nil:
		h.handleHello(e)
	case e.helloReply != nil:
		h.handleReply(e)
	case e.message != nil:
		h.lastMessageAt = time.Now()
		h.activeMembers[e.from] = activeMember{e.member, h.lastMessageAt}
		if e.to != h.core.id || h.mustStaySilent() {
			return
		}
		if e.message.GetFrom() != e.member {
			h.warn("dropped a message", "from", e.from, "err", "its sender is not the member of this connection")
			return
		}
		if err := h.core.Step(e.message); err != nil {
			h.warn("dropped a message", "from", e.from, "err", err)
		}
	case e.snapshotTo != 0:
		h.core.ReportSnapshotResult(e.snapshotTo, e.snapshotOK)
	case e.disconnected != "":
		for _, id := range h.core.roster.membersNamed(e.disconnected) {
			h.core.MarkUnreachable(id)
		}
	}
}

// suspend stops the member after a disk error until its folder has been reopened: what it has promised may
// not be on disk. Pending proposals fail.
func (h *Host) suspend(err error) {
	h.warn("takes no part in the fleet: its disk failed", "err", err, "again_in", reopenDelay)
	h.failure, h.core, h.reopenAt = err, nil, time.Now().Add(reopenDelay)
	for id, result := range h.pendingProposals {
		delete(h.pendingProposals, id)
		result <- fmt.Errorf("this limiter takes no part: %w", err)
	}
}

// reopen reopens the folder and the core, or suspends the member again.
func (h *Host) reopen() {
	if h.dataFolder != nil {
		h.dataFolder.close()
	}
	dataFolder, err := openFolder(h.options.Folder, h.options.Name)
	h.dataFolder = dataFolder
	if err == nil {
		if err = h.openCore(); err == nil {
			h.failure = nil
			h.log.Info("rejoined the fleet after a disk failure")
			h.greetAll()
			return
		}
	}
	h.suspend(err)
}

// flushCore saves and applies new state of the core, sends its messages, and answers the callers whose
// proposals or reads are done.
func (h *Host) flushCore() {
	if h.core == nil {
		return
	}
	appliedBefore := h.core.appliedIndex
	messages, results, err := h.core.Flush()
	if err != nil {
		h.suspend(err)
		return
	}
	for _, message := range messages {
		name := h.core.roster.Members[message.GetTo()]
		if name == "" {
			name = h.memberNames[message.GetTo()]
		}
		peer := h.links[name]
		if peer == nil || !peer.send(message) {
			h.core.MarkUnreachable(message.GetTo())
			if message.GetType() == raftpb.MessageType_MsgSnap {
				h.core.ReportSnapshotResult(message.GetTo(), false)
			}
		}
	}
	for _, result := range results {
		if waiter := h.pendingProposals[result.ID]; waiter != nil {
			delete(h.pendingProposals, result.ID)
			waiter <- result.Err
		}
	}
	for mark, done := range h.pendingReads {
		if h.core.ReadDone(mark) {
			delete(h.pendingReads, mark)
			close(done)
		}
	}
	if h.core.appliedIndex != appliedBefore && h.options.OnApplied != nil {
		h.options.OnApplied()
	}
}

// publishStatus updates the status returned by [Host.Status].
func (h *Host) publishStatus() {
	current := Status{Sent: h.sent.Load(), SentBytes: h.sentBytes.Load(), Received: h.received.Load()}
	if h.dataFolder != nil {
		current.Fleet, current.Generation, current.Start = h.dataFolder.self.Fleet, h.dataFolder.self.Generation, h.dataFolder.self.Start
	}
	if h.core != nil {
		current.View, current.Silent = h.core.View(), h.mustStaySilent()
	}
	if h.failure != nil {
		current.Failed = h.failure.Error()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.status = current
}

// Status returns the state as of the driver's last event.
func (h *Host) Status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status
}

// Propose proposes an entry, waits until it is applied here and returns the error of [Machine.Apply]. If ctx
// is done first, the entry may still be committed.
func (h *Host) Propose(ctx context.Context, data []byte) error {
	return h.propose(ctx, func(id uint64) error { return h.core.Propose(id, data) })
}

// RequestVoterChange requests that a limiter becomes a voter, or a learner again. It returns once the request is committed;
// the leader then changes the members one step at a time.
func (h *Host) RequestVoterChange(ctx context.Context, w VoterRequest) error {
	return h.propose(ctx, func(id uint64) error { return h.core.ProposeRoster(id, w) })
}

func (h *Host) propose(ctx context.Context, submit func(id uint64) error) error {
	id, result := rand.Uint64(), make(chan error, 1)
	if err := h.runOnDriver(ctx, func() error {
		if err := h.checkReady(); err != nil {
			return err
		}
		if err := submit(id); err != nil {
			return err
		}
		h.pendingProposals[id] = result
		return nil
	}); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		h.runOnDriver(context.WithoutCancel(ctx), func() error { delete(h.pendingProposals, id); return nil })
		return fmt.Errorf("it was not agreed on in time: %w", ctx.Err())
	}
}

// checkReady returns an error that says why this member can't propose, or nil. Only the driver calls it.
func (h *Host) checkReady() error {
	switch {
	case h.core == nil:
		return fmt.Errorf("this limiter takes no part: %w", h.failure)
	case h.dataFolder.self.Fleet == 0 || len(h.core.confState.GetVoters()) == 0:
		return ErrNoFleet
	case h.mustStaySilent():
		return errors.New("this limiter has started and too few voters have heard of it yet")
	}
	return nil
}

// ReadBarrier is a linearizable read barrier: it returns once all entries that were committed when it was called
// are applied here.
func (h *Host) ReadBarrier(ctx context.Context) error {
	mark, done := fmt.Sprint(rand.Uint64()), make(chan struct{})
	if err := h.runOnDriver(ctx, func() error {
		if err := h.checkReady(); err != nil {
			return err
		}
		h.pendingReads[mark] = done
		h.core.ReadBarrier(mark)
		return nil
	}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		h.runOnDriver(context.WithoutCancel(ctx), func() error { delete(h.pendingReads, mark); return nil })
		return ctx.Err()
	}
}

// FencingEpochs returns the highest fencing epoch of each duty that this limiter has seen as a receiver.
func (h *Host) FencingEpochs(ctx context.Context) (map[string]uint64, error) {
	return runOnDriver(ctx, h, func() (map[string]uint64, error) {
		if h.dataFolder == nil {
			return nil, h.failure
		}
		return h.dataFolder.fencingEpochs()
	})
}

// RaiseFencingEpoch stores a fencing epoch of a duty; it is synced to disk when Raise returns.
func (h *Host) RaiseFencingEpoch(ctx context.Context, duty string, epoch uint64) error {
	return h.runOnDriver(ctx, func() error {
		if h.core == nil {
			return fmt.Errorf("this limiter's disk failed: %w", h.failure)
		}
		err := h.dataFolder.raiseFencingEpoch(duty, epoch)
		if err != nil {
			h.suspend(err)
		}
		return err
	})
}

// isReset reports whether err means that a connection was reset or closed.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// TransferLeadership transfers the leadership, if this member has it, to the voter with the longest log, and waits
// until this member is no longer the leader or ctx is done.
func (h *Host) TransferLeadership(ctx context.Context) {
	transferring := func() bool {
		started, _ := runOnDriver(ctx, h, func() (bool, error) {
			if h.core == nil || !h.core.IsLeader() {
				return false, nil
			}
			view := h.core.View()
			var target uint64
			for _, id := range view.Voters {
				if id != view.ID && (target == 0 || view.Match[id] > view.Match[target]) {
					target = id
				}
			}
			if target != 0 {
				h.core.TransferLeader(target)
			}
			return target != 0, nil
		})
		return started
	}
	for transferring() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}
