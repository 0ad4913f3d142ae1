// Package loopback drives a stand-in world in real time on loopback sockets,
// round the real program: sender boxes that speak HTTP/1.1, a discovery agent
// for each limiter, a relay that delays and loses datagrams between them, and
// clients. The model is package world's, as in virtual time; what befalls it
// befalls sockets: connects that are refused or never answered, resets, answers
// that stall, break off or can't be read.
package loopback

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
)

// Process is a limiter that runs. Done is closed at its end.
type Process interface {
	Stop() // in good order
	Kill()
	Done() <-chan struct{}
}

// Options are what a run is made with.
type Options struct {
	Fleet  *fleet.Fleet
	Seed   uint64
	Source world.Source
	Faults []world.Fault
	Sample time.Duration
	// Program is the built program, which is started as the platform starts it:
	// without arguments, with NODE_CONFIG set. Start, if set, starts a limiter from
	// such a configuration file instead.
	Program string
	Start   func(config string, limiter int) (Process, error)
	// Log, if set, takes what the limiters write to their logs.
	Log func(limiter int) *os.File
	// Slack is how much later than it was things may be seen to happen, by which the
	// rules are wider; 0 is 50 ms, as the platform has it.
	Slack time.Duration
	// PushFor is the window over which the judge measures what cold boxes are sent, 0 for
	// none, and PushMost what it counts as too much; see judge.Judge.
	PushFor  time.Duration
	PushMost float64
	// Watch, if set, sees every action before it is carried out, under the lock of
	// the run: it must not block.
	Watch func(now time.Duration, a world.Action)
	// Foreign requests, that no client of the run sent, are served too, with the mean
	// work of the fleet's classes: a demo's visitors.
	Foreign bool
	// Ready, if set, is called when all limiters are ready, before clients come.
	Ready func(r *Run)
}

// usualSlack is how much later than it was things may be seen to happen here.
const usualSlack = 50 * time.Millisecond

// readyTime is how long limiters may take to be ready.
const readyTime = 20 * time.Second

// Result is what came of a run.
type Result struct {
	World     *world.World
	Judge     *judge.Judge
	Counts    virtual.Counts
	Length    time.Duration
	CPU       []time.Duration // of each limiter, over all its processes
	Memory    []int64         // resident bytes of each, at the end
	Late      time.Duration   // 99th percentile of how late the driver itself acted
	Unstarted int             // tries that could not be sent
	Starved   []judge.Breach  // late answers, and what was told out of order, for which the machine was too busy
}

// Run is a run under way. Its methods are safe for concurrent use.
type Run struct {
	o    Options
	dir  string
	base byte // of this run's addresses on loopback
	ctx  context.Context
	stop context.CancelFunc
	wake chan struct{}

	mu             sync.Mutex
	w              *world.World
	j              *judge.Judge
	start          time.Time
	begun          bool
	left           bool // the play is over
	tries          map[string]*world.Try
	cancels        map[uint64]func()
	jobs           map[uint64]chan world.BoxAnswers
	ids            uint64
	counts         virtual.Counts
	late           []time.Duration
	unstarted      int
	limiters       []*limiterProcess
	addresses      []*boxAddress
	agents         []*agent
	relay          *relay
	processorWaits *processorWaits
	front          *front
	conditions     []condition
	tasks          sync.WaitGroup
}

// condition is what somebody waits for to be so.
type condition struct {
	until func(w *world.World, j *judge.Judge) bool
	so    chan struct{}
}

// Play plays until all that arrived has its end, or the context is over: then it
// returns what it has, without an error.
func Play(ctx context.Context, o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "madderdrum-")
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	defer os.RemoveAll(dir)
	guard, err := takeAddresses()
	if err != nil {
		return nil, err
	}
	defer guard.Close()
	o.Slack = cmp.Or(o.Slack, usualSlack)
	r := &Run{o: o, dir: dir, base: guard.LocalAddr().(*net.UDPAddr).IP.To4()[1], wake: make(chan struct{}, 1), tries: map[string]*world.Try{}, cancels: map[uint64]func(){}, jobs: map[uint64]chan world.BoxAnswers{}, processorWaits: newProcessorWaits()}
	r.ctx, r.stop = context.WithCancel(context.Background())
	defer r.stop()
	r.w = world.New(o.Fleet, world.Options{Seed: o.Seed, Source: o.Source, Faults: o.Faults, SampleInterval: o.Sample})
	rules := virtual.JudgeSettings(o.Fleet, o.Slack)
	rules.ColdLoadWindow, rules.ColdLoadLimit = o.PushFor, o.PushMost
	rules.ReorderTolerance = o.Slack
	r.j = judge.New(rules)
	r.front = newFront(r)
	defer r.shut()
	if err := r.open(); err != nil {
		return nil, err
	}
	if err := r.ready(ctx); err != nil {
		return nil, err
	}
	if o.Ready != nil {
		o.Ready(r)
	}
	r.mu.Lock()
	r.start, r.begun = time.Now(), true
	r.mu.Unlock()
	over := make(chan struct{})
	r.tasks.Go(func() { r.sampleProcessorWaits(over) })
	r.play(ctx)
	length := r.leave()
	close(over)
	res := &Result{World: r.w, Judge: r.j, Length: length}
	r.end(res)
	return res, nil
}

// open puts up all sockets and starts the limiters.
func (r *Run) open() error {
	r.start = time.Now() // boxes are asked before the clients come, by probes at the most
	hosts := hostsOf(r.base, len(r.w.Boxes))
	for i := range r.w.Boxes {
		p, err := newBoxAddress(r, i, hosts)
		if err != nil {
			return err
		}
		r.addresses = append(r.addresses, p)
		if r.w.Boxes[i].Condition() == world.Running {
			if err := p.listen(); err != nil {
				return err
			}
		}
	}
	var err error
	if r.relay, err = newRelay(r, len(r.o.Fleet.Limiters)); err != nil {
		return err
	}
	for i := range r.o.Fleet.Limiters {
		a, err := newAgent(r, i)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
		l, err := newLimiterProcess(r, i)
		if err != nil {
			return err
		}
		r.limiters = append(r.limiters, l)
	}
	for _, l := range r.limiters {
		if err := l.startProcess(); err != nil {
			return err
		}
	}
	return nil
}

// ready waits until all limiters are.
func (r *Run) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for _, l := range r.limiters {
		if err := l.ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// now is the time of the run. The lock is held.
func (r *Run) now() time.Duration {
	if !r.begun {
		return 0
	}
	return time.Since(r.start)
}

// timeOf is the time of the run at a moment that was measured without the lock; 0 before it begins. The lock is held.
func (r *Run) timeOf(measured time.Time) time.Duration {
	if !r.begun {
		return 0
	}
	return max(0, measured.Sub(r.start))
}

// elapsed is the time of the run for those who don't hold the lock and wouldn't wait for it: what
// clients measure. Clients come after the run has begun, when its start does not change any more.
func (r *Run) elapsed() time.Duration { return time.Since(r.start) }

// play carries out what is due, at its time.
func (r *Run) play(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		r.mu.Lock()
		r.advance()
		busy := r.w.Busy()
		next, ok := r.w.Next()
		wait, hearing := next-r.now(), len(r.cancels) > 0
		r.mu.Unlock()
		if (!busy || !ok) && !hearing {
			return
		}
		if !busy || !ok { // all is over but for late answers, which wake it
			wait = hearFor
		}
		timer.Reset(max(0, wait))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.wake:
		}
	}
}

// leave ends what is still open when a run is broken off: the clients go away, and are
// owed nothing from then on, as the boxes' time stands still too.
func (r *Run) leave() (length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = true
	for id, cancel := range r.cancels {
		r.j.WithdrawRequest(id)
		cancel()
	}
	return r.now()
}

// lateKept bounds the sample of how late the driver was.
const lateKept = 1 << 16

// advance carries out what is due by now. The lock is held.
func (r *Run) advance() time.Duration {
	now := r.now()
	if r.left { // nothing new is due any more: no client tries again
		return now
	}
	if next, ok := r.w.Next(); ok && next <= now && r.begun && len(r.late) < lateKept {
		r.late = append(r.late, now-next)
	}
	r.carry(r.w.Advance(now))
	return now
}

// carry carries out actions. Nothing in it blocks. The lock is held.
func (r *Run) carry(actions []world.Action) {
	for len(actions) > 0 {
		for _, a := range actions {
			if r.o.Watch != nil {
				r.o.Watch(r.now(), a)
			}
			r.do(a)
		}
		actions = r.w.TakeActions()
	}
	r.conditions = slices.DeleteFunc(r.conditions, func(x condition) bool {
		so := x.until(r.w, r.j)
		if so {
			close(x.so)
		}
		return so
	})
}

// Until waits until something is so, which is asked after all that happens, under
// the lock of the run: it must not block. It returns the context's error if that
// ends before.
func (r *Run) Until(ctx context.Context, so func(w *world.World, j *judge.Judge) bool) error {
	x := condition{so, make(chan struct{})}
	r.mu.Lock()
	r.conditions = append(r.conditions, x)
	r.carry(r.w.TakeActions())
	r.mu.Unlock()
	select {
	case <-x.so:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("loopback: waiting: %w", ctx.Err())
	}
}

func (r *Run) do(a world.Action) {
	switch a := a.(type) {
	case world.ClientSends:
		r.front.send(a.Try)
	case world.ClientLeaves:
		// An answer is listened for after its client has given up, when it earns nothing
		// any more: the rules give it the slack on sockets.
		if cancel := r.cancels[a.Try.ID]; cancel != nil {
			time.AfterFunc(max(hearFor, r.o.Slack), cancel)
		}
	case world.BoxAnswers:
		if a.Done.Ran {
			r.j.AttemptExecuted(r.now(), a.Done.ID)
		}
		if c := r.jobs[a.Done.ID]; c != nil {
			delete(r.jobs, a.Done.ID)
			c <- a // has room for the one answer
		}
	case world.BoxResets:
		r.addresses[r.addressOf(a.Box)].reset(a)
	case world.BoxStarts:
		p := r.addresses[r.addressOf(a.Box)]
		p.box = a.Box
		if err := p.listen(); err != nil {
			r.w.Notes = append(r.w.Notes, world.Note{At: r.now(), Text: err.Error()})
		}
	case world.BoxCrashes:
		r.j.BoxCrashed(r.now(), a.Box)
	case world.DiscoveryUpdate:
		r.agents[a.Limiter].news(a.Entries)
	case world.DeliverPeerMessage:
		r.relay.deliver(a)
	case world.KillLimiter:
		r.j.LimiterKilled(r.now(), a.Limiter)
		r.limiters[a.Limiter].killed()
	case world.StopLimiter:
		r.limiters[a.Limiter].stopGently()
	case world.StartLimiter:
		r.limiters[a.Limiter].restart()
	}
}

// addressOf is the address of a box.
func (r *Run) addressOf(box int) int { return r.w.Addr(box) }

// nudge has play look at the agenda again: something earlier may be due.
func (r *Run) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Inject has faults happen, with times from now on.
func (r *Run) Inject(faults ...world.Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range faults {
		r.w.Inject(r.now(), x)
	}
	r.carry(r.w.TakeActions())
	r.nudge()
}

// Spent tells the judge of units that were granted for something that no client of
// the run sent; see judge.Judge.UnitsGranted.
func (r *Run) Spent(q judge.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.j.UnitsGranted(r.now(), q)
}

// View calls f with the state of the run, which must not be kept or changed.
func (r *Run) View(f func(w *world.World, j *judge.Judge, now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.w, r.j, r.now())
}

// Address is where a limiter takes requests.
func (r *Run) Address(limiter int) string { return r.limiters[limiter].listen }

// end gathers the figures and ends the limiters in good order.
func (r *Run) end(res *Result) {
	for _, l := range r.limiters {
		res.Memory = append(res.Memory, l.memory())
	}
	for _, l := range r.limiters {
		l.finish()
	}
	for _, l := range r.limiters {
		res.CPU = append(res.CPU, l.cpu())
	}
	r.shut()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.j.Close(res.Length + r.o.Slack)
	if res.Starved = r.excuse(); len(res.Starved) > 0 {
		r.w.Notes = append(r.w.Notes, world.Note{At: res.Length, Text: starvedLine(res.Starved)})
	}
	res.Counts, res.Unstarted = r.counts, r.unstarted
	if len(r.late) > 0 {
		slices.Sort(r.late)
		res.Late = r.late[len(r.late)*99/100]
	}
}

// shut takes all down. It may be called again.
func (r *Run) shut() {
	r.stop()
	for _, l := range r.limiters {
		l.kill()
	}
	for _, l := range r.limiters {
		l.wait()
	}
	r.mu.Lock()
	for _, cancel := range r.cancels {
		cancel()
	}
	r.front.close()
	for _, p := range r.addresses {
		p.shut()
	}
	for _, a := range r.agents {
		a.shut()
	}
	if r.relay != nil {
		r.relay.shut()
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

const (
	guardPort  = 47474
	guardTries = 1000
)

// takeAddresses takes a block of loopback addresses for a run, 127.B.0.0/16: who holds
// the socket that it returns has it. Guards against two runs side by side that take
// each other's ports while a box or a limiter is away.
func takeAddresses() (*net.UDPConn, error) {
	var err error
	for range guardTries {
		var c *net.UDPConn
		if c, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, byte(64+rand.IntN(128)), 255, 254), Port: guardPort}); err == nil {
			return c, nil
		}
	}
	return nil, fmt.Errorf("loopback: no free addresses: %w", err)
}

// hostsOf gives each box an address of its own on loopback, so that nobody else
// takes its port while it is away.
func hostsOf(base byte, n int) []net.IP {
	ips := make([]net.IP, n)
	for i := range ips {
		ips[i] = net.IPv4(127, base, byte(1+i/250), byte(1+i%250))
	}
	return ips
}

// limiterIP is the address of a limiter: its ports are free between two lives.
func (r *Run) limiterIP(limiter int) net.IP {
	return net.IPv4(127, r.base, byte(128+limiter/250), byte(1+limiter%250))
}

// config writes a limiter's configuration file.
func (r *Run) config(limiter int, data []byte) (string, error) {
	path := filepath.Join(r.dir, r.o.Fleet.Limiters[limiter].Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("loopback: %w", err)
	}
	return path, nil
}

// closed tells that an error is only that of a socket that was closed here.
func closed(err error) bool { return errors.Is(err, net.ErrClosed) }
