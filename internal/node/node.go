package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/madderdrum/handover"
	"example.org/madderdrum/internal/admin"
	"example.org/madderdrum/internal/wall"
	"example.org/madderdrum/lifecycle"
	"example.org/madderdrum/limiter"
)

// Node is one limiter on sockets. It is the only caller of the module.
type Node struct {
	cfg          *Config
	log          *slog.Logger
	badInput     *boundedLog
	discoveryLog *boundedLog
	unrouted     *boundedLog
	advised      *boundedLog
	servers      *pool
	conns        *clientConns
	peers        *peerLink // nil where limiters don't talk
	listeners    []net.Listener
	web          *http.Server
	start        time.Time
	startMs      float64 // start in Unix milliseconds

	counters *counters // nil where the log has no debug lines

	version atomic.Pointer[version]
	sources []*source
	grants  Grants // nil where nobody asks

	recalled *limiter.Memory // of the limiter before this one
	begun    chan struct{}   // closed behind it

	reload    chan struct{} // the configuration is to be read again
	discovery chan string   // a new address of discovery

	closing        atomic.Bool   // answers say Connection: close
	changed        chan struct{} // the life has changed
	admin          *admin.Server // nil: no address for operators
	upgrade        *upgrade      // nil where there is none
	joins          bool          // a process before this one is still to be asked for its sockets
	totals         totals
	short          *hooks       // of requests that are held whole
	held, heldMost atomic.Int64 // bytes of bodies that are held, and may be; 0: no bound

	labelMu sync.Mutex
	labels  map[string]*LabelCount

	mu       sync.Mutex // round each call of the module and its actions
	limiter  *limiter.Limiter
	queue    []limiter.Event
	requests map[string]*request
	life     lifecycle.Life
	closed   bool
	asked    *asked // the Ask that the module answers just now
}

// request is a client's request from its arrival to its final answer. The
// client's goroutine carries out its attempts, one at a time.
type request struct {
	call
	id     string
	stopAt time.Time // attempts end by then, so that the answer comes in time

	patience time.Duration // how long attempts may take from the last byte on
	reserved int64         // bytes that are held for it
	counted  bool          // it is in progress for the figures
	// watch begins to look whether the client goes away. While its body comes the reader sees
	// that; and net/http takes one whose time for the body is over for gone, which is still
	// owed an answer.
	watch func()

	to      *Target
	counsel Counsel // of the plug-ins

	// Under the node's mutex:
	tries  int
	out    *attempt // the attempt that is out or about to go out
	final  *answer
	last   limiter.Result
	signal chan struct{} // the client's goroutine waits for news
}

// call is what of a request goes on to a server unchanged.
type call struct {
	method, target, host    string
	requestID, key, content string  // headers
	body                    []byte  // all of it, or its beginning
	rest                    *upload // what follows; nil: nothing
}

// attempt is one PassOn.
type attempt struct {
	req    *request
	try    int
	host   *host
	stopAt time.Time
	sentAt time.Time

	// Under the node's mutex:
	taken  bool // the client's goroutine carries it out
	over   bool // it has its Outcome
	conn   *conn
	cancel context.CancelFunc // ends a connect
}

// answer is the final answer to a client.
type answer struct {
	status     int
	body       []byte
	content    string // content type
	retryAfter float64

	stream  *answerStream // nil: body is all
	at      *attempt      // that it is of
	load    limiter.Load
	spentMs float64 // until it began
}

// gone stands for the answer that nobody waits for any more.
var gone = &answer{}

// New returns a Node that listens but does not serve yet.
func New(cfg *Config, logger *slog.Logger) (*Node, error) {
	limiter, err := limiter.New(cfg.Settings.Module, cfg.Seed)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	n := &Node{
		cfg: cfg, log: logger, limiter: limiter, requests: map[string]*request{},
		badInput: &boundedLog{to: logger}, discoveryLog: &boundedLog{to: logger}, unrouted: &boundedLog{to: logger}, advised: &boundedLog{to: logger}, labels: map[string]*LabelCount{},
		start: now, startMs: float64(wall.Now().UnixMicro()) / 1000,
		counters: newCounters(logger), totals: totals{classes: map[string]*ends{}}, changed: make(chan struct{}, 1),
		begun: make(chan struct{}), reload: make(chan struct{}, 1), discovery: make(chan string),
	}
	upstream, clients := socketBudget(cfg.Limits.Sockets)
	n.servers = newPool(upstream, cfg.Settings.ConnTimeout, cfg.Settings.ConnIdle/2)
	n.servers.counters = n.counters
	n.conns = newClientConns(clients)
	n.version.Store(n.newVersion(cfg.Settings, cfg.Routes))
	for _, s := range cfg.Sources {
		n.sources = append(n.sources, &source{Source: s, hosts: map[string]serverItem{}, hold: watchWait, turned: func() {}})
	}
	n.short = &hooks{whole: func() time.Time { n.totals.tries.Add(1); return time.Time{} }}
	n.holdBodies(1)
	if err := n.listenAdmin(); err != nil {
		return nil, err
	}
	if n.upgrade != nil {
		_, err := os.Lstat(n.notePath())
		n.joins = err == nil
	}
	if !n.joins {
		if err := n.listen(); err != nil {
			return nil, err
		}
	}
	n.web = n.newServer(log.New(n.badInput, "", 0))
	return n, nil
}

// listen opens the sockets for clients and peers.
func (n *Node) listen() error {
	control := boundBuffer
	if n.upgrade != nil {
		control = func(network, address string, raw syscall.RawConn) error {
			return errors.Join(boundBuffer(network, address, raw), sharedAddress(network, address, raw))
		}
	}
	listen := net.ListenConfig{Control: control}
	listen.SetMultipathTCP(false) // no client asks for it, and its sockets can't be steered
	for _, addr := range append([]string{n.cfg.Listen}, n.cfg.AlsoListen...) {
		ln, err := listen.Listen(context.Background(), "tcp", addr)
		if err != nil {
			n.closeListeners()
			return fmt.Errorf("listening to clients: %w", err)
		}
		n.listeners = append(n.listeners, ln)
	}
	if n.cfg.Settings.Module.Caps.Peers {
		link, err := newPeerLink(n.cfg, n.upgrade != nil)
		if err != nil {
			n.closeListeners()
			return err
		}
		n.mu.Lock()
		n.peers = link
		n.mu.Unlock()
	}
	return nil
}

// Addr is where the node takes requests, the first of its addresses.
func (n *Node) Addr() net.Addr { return n.listeners[0].Addr() }

func (n *Node) closeListeners() {
	for _, ln := range n.listeners {
		ln.Close()
	}
	if n.peers != nil {
		n.peers.conn.Close()
	}
	if n.admin != nil {
		n.admin.Close()
	}
}

// Run serves until the context ends, then finishes what it has taken.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	var replaced chan struct{}
	if n.admin != nil {
		replaced = n.upgrade.replaced
		defer close(n.upgrade.over)
		tasks.Go(func() { n.admin.Run(background) })
		tasks.Go(func() { n.sendAway(background) })
	}
	var before *predecessor
	var state *handover.State
	if n.joins {
		var err error
		if before, state, err = n.succeed(ctx); err != nil {
			return err
		}
	}
	if state != nil {
		n.shrink(handover.Sockets(n.cfg.Limits.Sockets, state.Sockets, leastSockets))
		n.begin(state)
	} else {
		n.take(limiter.Persisted, n.cfg.Known)
	}
	if n.recalled != nil {
		n.dispatch(limiter.Recall{Memory: n.recalled})
		n.recalled = nil
	}
	close(n.begun)
	if n.cfg.Discovery != "" { // else the list is fixed
		tasks.Go(func() { n.follow(background) })
		tasks.Go(func() { n.reloads(background) })
	}
	for _, s := range n.sources {
		tasks.Go(func() { n.watchSource(background, s) })
	}
	tasks.Go(func() { n.servers.sweep(background) })
	if n.counters != nil {
		tasks.Go(func() { n.count(background) })
	}
	if n.peers != nil {
		tasks.Go(n.sendPeers)
		tasks.Go(n.hearPeers)
	}
	served := make(chan error, len(n.listeners))
	for _, ln := range n.listeners {
		go func() { served <- n.web.Serve(framedListener{ln}) }()
	}
	n.live(func(l *lifecycle.Life) error {
		l.Taking(time.Now())
		if state != nil && state.Drained {
			return l.Drain(time.Now())
		}
		return nil
	})
	if n.upgrade != nil {
		n.writeNote()
		defer n.removeNote()
	}
	if before != nil {
		fmt.Fprintln(before, takenLine)
		tasks.Go(func() { n.awaitEnd(background, before) })
	}
	var err error
	select {
	case <-replaced:
		err = n.finishUp()
	case err = <-served:
	case <-ctx.Done():
		err = n.finishUp()
	}
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	if n.peers != nil {
		n.peers.conn.Close()
		close(n.peers.queue) // nothing is told any more: closed is set
	}
	n.web.Close()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving clients: %w", err)
	}
	return nil
}

const (
	drainStep  = 10 * time.Millisecond  // between two looks at connections that are to end
	closeSlack = 100 * time.Millisecond // in which the last answers are written
)

// finishUp ends the service without losing a request. Connections are accepted for a while: closing the
// listener at once would reset what is on its way to it.
func (n *Node) finishUp() error {
	begun := time.Now()
	n.live(func(l *lifecycle.Life) error { l.Stop(begun, n.version.Load().settings.Longest); return nil })
	n.mu.Lock()
	stopBy := n.life.StopBy()
	n.mu.Unlock()
	n.log.Info("stopping")
	time.Sleep(lifecycle.KeepAccepting) // answers say Connection: close by now
	expire := time.AfterFunc(time.Until(stopBy), n.expire)
	defer expire.Stop()
	for _, ln := range n.listeners {
		ln.Close()
	}
	if open := n.drainConns(stopBy.Add(closeSlack)); open > 0 {
		n.log.Warn("stopped with connections open", "open", open)
	}
	n.log.Info("stopped", "after", time.Since(begun).Round(time.Millisecond).String(), "admitted_after_handover", n.late())
	return nil
}

// drainConns ends clients' connections as they come to stand between two requests, and returns how many are open
// when there is none left or time is up. It is not http.Server.Shutdown's work, which closes a connection under a
// request that is being read: that would run without an answer.
func (n *Node) drainConns(until time.Time) (open int) {
	for {
		n.conns.dropUnused(0, 0)
		if open = n.conns.count(); open == 0 || !time.Now().Before(until) {
			return open
		}
		time.Sleep(drainStep)
	}
}

// now is the module's clock: Unix milliseconds at the start, from there on the
// monotonic clock, so that a server's born_ms is on the same clock.
func (n *Node) now() float64 { return n.startMs + float64(time.Since(n.start).Microseconds())/1000 }

// dispatch gives the module an event and carries out what it asks for.
func (n *Node) dispatch(ev limiter.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handle(ev)
}

// handle is dispatch under the mutex. Events that actions bring about queue up
// behind: Handle is never entered again while its actions are carried out, as
// they are valid until its next call.
func (n *Node) handle(ev limiter.Event) {
	if n.closed {
		return
	}
	n.queue = append(n.queue, ev)
	n.work()
}

// work gives the module the events that wait.
func (n *Node) work() {
	for i := 0; i < len(n.queue); i++ {
		n.counters.event(n.queue[i])
		for _, a := range n.limiter.Handle(n.now(), n.queue[i]) {
			n.counters.action(a)
			n.do(a)
		}
	}
	clear(n.queue)
	n.queue = n.queue[:0]
}

// do carries out one action. Nothing in it blocks.
func (n *Node) do(a limiter.Action) {
	switch a := a.(type) {
	case limiter.PassOn:
		n.passOn(a)
	case limiter.Grant:
		if n.asked != nil {
			n.asked.granted = true
		}
	case limiter.Refuse:
		if n.asked != nil && a.ID == askID {
			n.asked.wait = millis(cmp.Or(a.WaitMs, fullAdvice))
			return
		}
		// With no advice of the module's a client would be back at once.
		n.conclude(a.ID, &answer{status: http.StatusTooManyRequests, retryAfter: cmp.Or(a.WaitMs, fullAdvice)})
	case limiter.Fail:
		n.conclude(a.ID, &answer{status: http.StatusBadGateway})
	case limiter.AbortAttempt:
		if r := n.requests[a.ID]; r != nil && r.out != nil && r.out.try == a.Try {
			n.giveUp(r.out)
		}
	case limiter.Timer:
		wait := millis(a.At - n.now())
		time.AfterFunc(max(0, wait), func() { n.dispatch(limiter.Alarm{Handle: a.Handle}) })
	case limiter.Probe:
		if !n.silent() {
			n.want(a.Server)
		}
	case limiter.Tell:
		if n.peers != nil && !n.silent() {
			n.peers.tell(a.To, a.Data)
		}
	case limiter.Log:
		n.log.Info(a.Line)
	case limiter.Listen, limiter.QueryAll:
		// The watch runs all the time and brings what these ask for.
	}
}

// passOn starts an attempt, or queues the outcome of one that can't start.
func (n *Node) passOn(a limiter.PassOn) {
	r := n.requests[a.ID]
	if r == nil {
		return
	}
	at := &attempt{req: r, try: r.tries, sentAt: time.Now(), stopAt: r.stopAt}
	r.tries++
	if a.CapMs != 0 {
		if stop := at.sentAt.Add(millis(a.CapMs)); stop.Before(at.stopAt) {
			at.stopAt = stop
		}
	}
	at.host = n.servers.host(a.Server)
	most := n.version.Load().settings.Module.Caps.Attempts
	switch {
	case r.final != nil, !at.sentAt.Before(r.stopAt), most > 0 && at.try >= most:
		n.outcome(at, a.Server, limiter.StaleSend)
	case at.host == nil, r.out != nil && !r.out.over: // servers that the list has, one at a time
		n.outcome(at, a.Server, limiter.NoRoute)
	default:
		// An attempt that was given up may still hold the client's goroutine, which
		// closes its connection before it takes this one. Guards against turning
		// down what the module sends on as soon as it hears of an Undone.
		r.out = at
		r.wake()
	}
}

// outcome queues the one Outcome of an attempt that no answer ended.
func (n *Node) outcome(at *attempt, server uint64, result limiter.Result) {
	at.over = true
	at.req.last = result
	n.queue = append(n.queue, limiter.Outcome{ID: at.req.id, Try: at.try, Server: server, Result: result,
		SpentMs: msSince(at.sentAt), Done: at.req.final != nil, Load: noLoad})
}

// giveUp stops waiting for an attempt. Its connection is closed before the
// client's goroutine can take up another one.
func (n *Node) giveUp(at *attempt) {
	if at.over {
		return
	}
	n.outcome(at, at.host.id, limiter.Undone)
	if at.conn != nil {
		at.conn.close()
	}
	if at.cancel != nil {
		at.cancel()
	}
}

// conclude sets the final answer of a request. The first one stands.
func (n *Node) conclude(id string, a *answer) {
	r := n.requests[id]
	if r == nil || r.final != nil {
		return
	}
	if a.status == http.StatusBadGateway && r.last == limiter.TooSlow {
		a.status = http.StatusGatewayTimeout
	}
	r.final = a
	if r.out != nil {
		n.giveUp(r.out)
	}
	r.wake()
}

func msSince(t time.Time) float64 { return float64(time.Since(t)) / float64(time.Millisecond) }
