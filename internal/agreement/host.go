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
	// DefaultTick is the time of a tick: heartbeats come once in it, and a leader that
	// was not heard for 5 to 9 of them is replaced.
	DefaultTick = 100 * time.Millisecond
	tendEvery   = 3 // ticks between two looks at whether members have to change
	atWorkFor   = 3 * time.Second
	// A member that has heard nobody for unheardFor, or may not speak yet, greets anew: it may be
	// left out, its connections may stand on a machine that is gone, or have been greeted
	// before there was a fleet. Greetings are good for joinFor.
	unheardFor  = 2 * time.Second
	joinFor     = 10 * time.Second
	reopenAfter = time.Second
	eventsMost  = 1024
)

// Options say who this member is.
type Options struct {
	Label   string            // of the fleet
	Name    string            // of this limiter
	Folder  string            // its own, not shared with another one
	Listen  string            // host:port for the other limiters
	Peers   map[string]string // where each other limiter listens
	Voters  []string          // limiters to ask about the fleet while this one knows none
	Machine Machine           // called by one goroutine; whoever else looks at it needs a lock of its own
	Changed func()            // called after entries have been applied; it must not block. nil: nobody cares
	Tick    time.Duration     // 0: DefaultTick
	// Streams carry out what other connections are for, of limiters that are welcome here. The
	// connection closes when one returns, or when Run ends.
	Streams map[string]func(limiter string, s *Stream)
	Log     *slog.Logger
}

// Host is a member on sockets and a disk. It is safe for concurrent use.
type Host struct {
	o        Options
	log      *slog.Logger
	limit    *rate.Limiter
	listener net.Listener
	links    map[string]*link
	events   chan event
	tasks    sync.WaitGroup
	mark     uint64

	sent, sentBytes, received atomic.Int64

	mu     sync.Mutex // round what follows, which the driver alone changes
	status Status
	member uint64
	other  chan struct{} // closes when this member becomes another one
	ended  chan struct{} // closed when Run ends

	// The driver's own.
	f        *folder
	core     *Core
	failed   error
	waiting  map[uint64]chan error
	reading  map[string]chan struct{}
	welcomed map[uint64]bool   // members that have noted this start
	names    map[uint64]string // by what was heard
	atWork   map[string]worker
	joiners  map[string]joining
	heardAt  time.Time // when a message of another member came last
	redialAt time.Time
	asking   []string // limiters to greet while this one may not speak
	spoke    bool
	reopen   time.Time
}

// worker is the member at work under a limiter's name.
type worker struct {
	member uint64
	at     time.Time
}

// joining is a limiter that has greeted and may want to be a member.
type joining struct {
	Joiner
	at time.Time
}

// event is what the driver takes in; one group of fields is set.
type event struct {
	message *raftpb.Message
	member  uint64
	from    string
	to      uint64

	hello  *Hello
	answer chan reply

	answered *reply
	mark     uint64

	lost string

	snapshotTo uint64
	ok         bool

	do func()
}

// Status is how a member stands.
type Status struct {
	View
	Fleet, Generation uint64
	Start             uint64
	Silent            bool   // it does not speak yet: too few voters have heard that it started
	Failed            string // why it takes no part
	Waiting           []string
	Sent, SentBytes   int64
	Received          int64
}

// ErrNotBegun is why nothing can be agreed on: this limiter is in no fleet.
var ErrNotBegun = errors.New("this limiter is in no fleet yet: begin one with fleet init, or see that its voters can be reached")

// Open opens the folder and listens; Run takes part.
func Open(o Options) (*Host, error) {
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	h := &Host{o: o, log: o.Log, limit: rate.NewLimiter(1, 5), events: make(chan event, eventsMost), mark: rand.Uint64() | 1, other: make(chan struct{}), ended: make(chan struct{}),
		waiting: map[uint64]chan error{}, reading: map[string]chan struct{}{}, links: map[string]*link{},
		names: map[uint64]string{}, atWork: map[string]worker{}, joiners: map[string]joining{}}
	for name, addr := range o.Peers {
		if name != o.Name {
			h.links[name] = newLink(name, addr)
		}
	}
	var err error
	if h.f, err = openFolder(o.Folder, o.Name); err != nil {
		return nil, err
	}
	if err := h.openCore(); err != nil {
		h.f.close()
		return nil, err
	}
	if h.listener, err = net.Listen("tcp", o.Listen); err != nil {
		h.f.close()
		return nil, fmt.Errorf("fleet address: %w", err)
	}
	h.member = h.f.self.Member
	h.publish()
	return h, nil
}

// Addr is where it listens.
func (h *Host) Addr() net.Addr { return h.listener.Addr() }

func (h *Host) openCore() (err error) {
	h.core, err = OpenCore(h.f.self.Member, h.f, h.o.Machine, h.log)
	h.welcomed, h.spoke = map[uint64]bool{}, false
	h.asking = slices.Clone(h.o.Voters)
	return err
}

// Run takes part until the context ends.
func (h *Host) Run(ctx context.Context) error {
	defer func() {
		close(h.ended)
		h.listener.Close()
		h.tasks.Wait()
		if h.f != nil {
			h.f.close()
		}
	}()
	defer context.AfterFunc(ctx, func() { h.listener.Close() })()
	h.tasks.Go(func() { h.accept(ctx) })
	for _, l := range h.links {
		h.tasks.Go(func() { l.run(ctx, h) })
	}
	h.greetAll()
	ticker := time.NewTicker(h.o.Tick)
	defer ticker.Stop()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n++
			h.tick(n)
		case e := <-h.events:
			h.take(e)
			for range len(h.events) { // what has come meanwhile shares a sync
				h.take(<-h.events)
			}
		}
		h.flush()
		h.publish()
	}
}

// give hands the driver an event; false: it has ended.
func (h *Host) give(ctx context.Context, e event) bool {
	select {
	case h.events <- e:
		return true
	case <-ctx.Done():
		return false
	case <-h.ended:
		return false
	}
}

var errEnded = errors.New("this limiter takes no part any more: it is ending")

// ask has the driver do something and waits for what comes of it, which is the asker's alone: one
// that stops waiting shares nothing with a driver that does it later.
func ask[T any](ctx context.Context, h *Host, do func() (T, error)) (none T, err error) {
	type result struct {
		x   T
		err error
	}
	done := make(chan result, 1)
	if !h.give(ctx, event{do: func() {
		x, err := do()
		done <- result{x, err}
	}}) {
		return none, cmp.Or(ctx.Err(), errEnded)
	}
	select {
	case r := <-done:
		return r.x, r.err
	case <-ctx.Done():
		return none, ctx.Err()
	case <-h.ended: // it may lie among the events, which nobody takes any more
		return none, errEnded
	}
}

// ask is one of which an error comes alone.
func (h *Host) ask(ctx context.Context, do func() error) error {
	_, err := ask(ctx, h, func() (struct{}, error) { return struct{}{}, do() })
	return err
}

func (h *Host) warn(msg string, args ...any) {
	if h.limit.Allow() {
		h.log.Warn(msg, args...)
	}
}

// tick goes on by a tick.
func (h *Host) tick(n int) {
	if h.core == nil {
		if time.Now().After(h.reopen) {
			h.again()
		}
		return
	}
	alone := h.silent() || h.f.self.Fleet == 0 || len(h.core.conf.GetVoters()) == 0
	if n%tendEvery == 0 && (alone || h.core.View().Leader == 0) {
		h.greetAll()
	}
	if now := time.Now(); !h.core.Leads() && (alone || now.Sub(h.heardAt) > unheardFor) && now.Sub(h.redialAt) > unheardFor {
		h.redialAt = now
		for _, l := range h.links {
			l.again()
		}
		h.greetAll()
	}
	if alone {
		return
	}
	if !h.spoke {
		h.spoke = true
		h.log.Info("taking part in the fleet", "fleet", fmt.Sprintf("%016x", h.f.self.Fleet), "member", fmt.Sprintf("%016x", h.core.id), "start", h.f.self.Start)
	}
	h.core.Tick()
	if n%tendEvery != 0 {
		return
	}
	for mark := range h.reading { // a question may have been lost
		h.core.Read(mark)
	}
	if h.core.Leads() {
		v := h.core.View()
		var joiners []Joiner
		maps.DeleteFunc(h.joiners, func(_ string, j joining) bool { return time.Since(j.at) > joinFor })
		for _, name := range slices.Sorted(maps.Keys(h.joiners)) {
			joiners = append(joiners, h.joiners[name].Joiner)
		}
		if x, due := h.core.roster.next(h.core.conf, joiners, v.Match, v.Applied); due {
			if err := h.core.Change(x); err == nil {
				h.log.Info("changing members", "limiter", x.Name, "votes", x.Voter, "leaving", len(x.Remove))
			}
		}
	}
}

// take is an event for the driver.
func (h *Host) take(e event) {
	switch {
	case e.do != nil:
		e.do()
	case h.core == nil:
		if e.answer != nil {
			e.answer <- reply{Verdict: Foreign, Why: "this limiter takes no part: its disk failed"}
		}
	case e.hello != nil:
		h.greeted(e)
	case e.answered != nil:
		h.wasAnswered(e)
	case e.message != nil:
		h.heardAt = time.Now()
		h.atWork[e.from] = worker{e.member, h.heardAt}
		if e.to != h.core.id || h.silent() {
			return
		}
		if e.message.GetFrom() != e.member {
			h.warn("dropped a message", "from", e.from, "err", "it names another sender")
			return
		}
		if err := h.core.Step(e.message); err != nil {
			h.warn("dropped a message", "from", e.from, "err", err)
		}
	case e.snapshotTo != 0:
		h.core.SnapshotSent(e.snapshotTo, e.ok)
	case e.lost != "":
		for _, id := range h.core.roster.named(e.lost) {
			h.core.Unreachable(id)
		}
	}
}

// fail takes no part any more until the folder has been opened again: what was said may not
// be on the disk.
func (h *Host) fail(err error) {
	h.warn("takes no part in the fleet: its disk failed", "err", err, "again_in", reopenAfter)
	h.failed, h.core, h.reopen = err, nil, time.Now().Add(reopenAfter)
	for id, c := range h.waiting {
		delete(h.waiting, id)
		c <- fmt.Errorf("this limiter takes no part: %w", err)
	}
}

// again opens the folder once more.
func (h *Host) again() {
	if h.f != nil {
		h.f.close()
	}
	f, err := openFolder(h.o.Folder, h.o.Name)
	h.f = f
	if err == nil {
		if err = h.openCore(); err == nil {
			h.failed = nil
			h.log.Info("takes part in the fleet again")
			h.greetAll()
			return
		}
	}
	h.fail(err)
}

// flush saves and sends what has become due.
func (h *Host) flush() {
	if h.core == nil {
		return
	}
	before := h.core.applied
	out, results, err := h.core.Flush()
	if err != nil {
		h.fail(err)
		return
	}
	for _, m := range out {
		name := h.core.roster.Members[m.GetTo()]
		if name == "" {
			name = h.names[m.GetTo()]
		}
		l := h.links[name]
		if l == nil || !l.send(m) {
			h.core.Unreachable(m.GetTo())
			if m.GetType() == raftpb.MessageType_MsgSnap {
				h.core.SnapshotSent(m.GetTo(), false)
			}
		}
	}
	for _, r := range results {
		if c := h.waiting[r.ID]; c != nil {
			delete(h.waiting, r.ID)
			c <- r.Err
		}
	}
	for mark, done := range h.reading {
		if h.core.ReadDone(mark) {
			delete(h.reading, mark)
			close(done)
		}
	}
	if h.core.applied != before && h.o.Changed != nil {
		h.o.Changed()
	}
}

// publish shows how this member stands.
func (h *Host) publish() {
	s := Status{Sent: h.sent.Load(), SentBytes: h.sentBytes.Load(), Received: h.received.Load()}
	if h.f != nil {
		s.Fleet, s.Generation, s.Start = h.f.self.Fleet, h.f.self.Generation, h.f.self.Start
	}
	if h.core != nil {
		s.View, s.Silent = h.core.View(), h.silent()
	}
	if h.failed != nil {
		s.Failed = h.failed.Error()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.status = s
}

// Status returns how this member stands.
func (h *Host) Status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status
}

// Propose has an entry agreed on and returns what the machine says to it once it is applied
// here. When the context ends first it may be agreed on all the same.
func (h *Host) Propose(ctx context.Context, data []byte) error {
	return h.propose(ctx, func(id uint64) error { return h.core.Propose(id, data) })
}

// Want has the leader make a limiter a voter, or a learner again, step by step.
func (h *Host) Want(ctx context.Context, w Wish) error {
	return h.propose(ctx, func(id uint64) error { return h.core.ProposeRoster(id, w) })
}

func (h *Host) propose(ctx context.Context, put func(id uint64) error) error {
	id, result := rand.Uint64(), make(chan error, 1)
	if err := h.ask(ctx, func() error {
		if err := h.able(); err != nil {
			return err
		}
		if err := put(id); err != nil {
			return err
		}
		h.waiting[id] = result
		return nil
	}); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		h.ask(context.WithoutCancel(ctx), func() error { delete(h.waiting, id); return nil })
		return fmt.Errorf("it was not agreed on in time: %w", ctx.Err())
	}
}

// able tells why nothing can be proposed; the driver calls it.
func (h *Host) able() error {
	switch {
	case h.core == nil:
		return fmt.Errorf("this limiter takes no part: %w", h.failed)
	case h.f.self.Fleet == 0 || len(h.core.conf.GetVoters()) == 0:
		return ErrNotBegun
	case h.silent():
		return errors.New("this limiter has started and too few voters have heard of it yet")
	}
	return nil
}

// Read returns once all that was agreed on when it was called is applied here.
func (h *Host) Read(ctx context.Context) error {
	mark, done := fmt.Sprint(rand.Uint64()), make(chan struct{})
	if err := h.ask(ctx, func() error {
		if err := h.able(); err != nil {
			return err
		}
		h.reading[mark] = done
		h.core.Read(mark)
		return nil
	}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		h.ask(context.WithoutCancel(ctx), func() error { delete(h.reading, mark); return nil })
		return ctx.Err()
	}
}

// Fence are the highest epochs that this limiter has seen as a receiver, by duty.
func (h *Host) Fence(ctx context.Context) (map[string]uint64, error) {
	return ask(ctx, h, func() (map[string]uint64, error) {
		if h.f == nil {
			return nil, h.failed
		}
		return h.f.fence()
	})
}

// Raise notes an epoch of a duty, on the disk when it returns.
func (h *Host) Raise(ctx context.Context, duty string, epoch uint64) error {
	return h.ask(ctx, func() error {
		if h.core == nil {
			return fmt.Errorf("this limiter's disk failed: %w", h.failed)
		}
		err := h.f.raise(duty, epoch)
		if err != nil {
			h.fail(err)
		}
		return err
	})
}

// isReset tells of a connection that broke.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// HandOver has the lead go to another voter, if this member has it.
func (h *Host) HandOver(ctx context.Context) {
	leads := func() bool {
		yes, _ := ask(ctx, h, func() (bool, error) {
			if h.core == nil || !h.core.Leads() {
				return false, nil
			}
			v := h.core.View()
			var to uint64
			for _, id := range v.Voters {
				if id != v.ID && (to == 0 || v.Match[id] > v.Match[to]) {
					to = id
				}
			}
			if to != 0 {
				h.core.TransferLeader(to)
			}
			return to != 0, nil
		})
		return yes
	}
	for leads() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}
