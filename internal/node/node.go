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

// Node runs one limiter on sockets. It is the only caller of the decision module (package limiter).
type Node struct {
	cfg              *Config
	log              *slog.Logger
	badInputLog      *boundedLog
	discoveryLog     *boundedLog
	unroutedLog      *boundedLog
	pluginRefusalLog *boundedLog
	servers          *serverPool
	conns            *clientConns
	peers            *peerLink // nil if limiters don't exchange messages
	listeners        []net.Listener
	httpServer       *http.Server
	start            time.Time
	startMs          float64 // start in Unix milliseconds

	counters *counters // nil unless debug logging is enabled

	revision atomic.Pointer[revision]
	sources  []*source
	grants   Grants // nil without a forward-auth front end

	initialMemory *limiter.Memory // state recovered from an earlier process
	started       chan struct{}   // closed once initialMemory has been applied

	reloadRequests chan struct{} // requests to read the configuration file again
	discoveryAddrs chan string   // new addresses of the discovery agent

	closing                 atomic.Bool   // answers carry Connection: close
	phaseChanged            chan struct{} // the lifecycle phase has changed
	admin                   *admin.Server // nil without an admin address
	upgrade                 *upgrade      // nil without an admin address
	takesOver               bool          // an earlier process has to be asked for its sockets first
	totals                  totals
	shortHooks              *hooks       // shared by all requests whose body is held completely
	heldBytes, maxHeldBytes atomic.Int64 // bytes of held request bodies, and their limit; 0: no limit

	labelMu sync.Mutex
	labels  map[string]*LabelCount

	mu         sync.Mutex // guards each call of the module and the execution of its actions
	limiter    *limiter.Limiter
	queue      []limiter.Event
	requests   map[string]*request
	life       lifecycle.Process
	closed     bool
	pendingAsk *pendingAsk // the Ask that the module is handling
}

// request is a client's request from its arrival to its final answer. The client's goroutine carries out its
// attempts, one at a time.
type request struct {
	call
	id       string
	deadline time.Time // attempts end by then, so that the answer is sent in time

	attemptTimeout    time.Duration // time for attempts, counted from the last byte of the body
	reservedBytes     int64         // bytes of body held for this request
	countedInProgress bool          // counted as in progress in the figures
	// watchClient starts detecting a client disconnect. While the body is being read the reader detects it;
	// net/http also treats a client whose body read timed out as gone, although it still has to get an answer.
	watchClient func()

	destination *Target
	counsel     PluginAdvice // result of the target's plug-ins

	// The following fields are guarded by the node's mutex.
	attempts    int
	current     *attempt // the attempt that is running or about to start
	finalAnswer *answer
	lastResult  limiter.Result
	signal      chan struct{} // wakes the client's goroutine
}

// call is the part of a request that is forwarded to a server unchanged.
type call struct {
	method, target, host        string
	requestID, key, contentType string  // X-Request-ID, Idempotency-Key and Content-Type headers
	body                        []byte  // the whole body, or its beginning
	bodyRest                    *upload // the remainder of the body; nil: none
}

// attempt is the execution of one PassOn action.
type attempt struct {
	req      *request
	number   int
	host     *host
	deadline time.Time
	sentAt   time.Time

	// The following fields are guarded by the node's mutex.
	started bool // the client's goroutine carries it out
	ended   bool // its Outcome has been reported
	conn    *conn
	cancel  context.CancelFunc // cancels connecting
}

// answer is the final answer to a client.
type answer struct {
	status       int
	body         []byte
	contentType  string // value of Content-Type
	retryAfterMs float64

	stream    *answerStream // nil: body is the complete answer
	att       *attempt      // the attempt that produced the stream
	load      limiter.Load
	elapsedMs float64 // ms until the first byte
}

// clientGone takes the place of the answer when the client has disconnected.
var clientGone = &answer{}

// New returns a Node that listens but does not serve yet.
func New(cfg *Config, logger *slog.Logger) (*Node, error) {
	limiter, err := limiter.New(cfg.Settings.Module, cfg.Seed)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	n := &Node{
		cfg: cfg, log: logger, limiter: limiter, requests: map[string]*request{},
		badInputLog: &boundedLog{to: logger}, discoveryLog: &boundedLog{to: logger},
		unroutedLog: &boundedLog{to: logger}, pluginRefusalLog: &boundedLog{to: logger},
		labels: map[string]*LabelCount{},
		start:  now, startMs: float64(wall.Now().UnixMicro()) / 1000,
		counters: newCounters(logger), totals: totals{classes: map[string]*endCounts{}}, phaseChanged: make(chan struct{}, 1),
		started: make(chan struct{}), reloadRequests: make(chan struct{}, 1), discoveryAddrs: make(chan string),
	}
	upstream, clients := socketBudget(cfg.Limits.Sockets)
	n.servers = newServerPool(upstream, cfg.Settings.ConnTimeout, cfg.Settings.ConnIdle/2)
	n.servers.counters = n.counters
	n.conns = newClientConns(clients)
	n.revision.Store(n.newRevision(cfg.Settings, cfg.Routes))
	for _, s := range cfg.Sources {
		n.sources = append(n.sources, &source{Source: s, hosts: map[string]serverItem{}, hold: watchHold, restart: func() {}})
	}
	n.shortHooks = &hooks{requestWritten: func() time.Time { n.totals.attempts.Add(1); return time.Time{} }}
	n.setHeldBodyLimit(1)
	if err := n.listenAdmin(); err != nil {
		return nil, err
	}
	if n.upgrade != nil {
		_, err := os.Lstat(n.notePath())
		n.takesOver = err == nil
	}
	if !n.takesOver {
		if err := n.listen(); err != nil {
			return nil, err
		}
	}
	n.httpServer = n.newServer(log.New(n.badInputLog, "", 0))
	return n, nil
}

// listen opens the sockets for clients and peers.
func (n *Node) listen() error {
	control := limitReceiveBuffer
	if n.upgrade != nil {
		control = func(network, address string, raw syscall.RawConn) error {
			return errors.Join(limitReceiveBuffer(network, address, raw), reusePort(network, address, raw))
		}
	}
	listen := net.ListenConfig{Control: control}
	listen.SetMultipathTCP(false) // no client asks for it, and its sockets take no reuse-port program
	for _, addr := range append([]string{n.cfg.Listen}, n.cfg.ExtraListen...) {
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

// Addr returns the first address on which the node accepts requests.
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

// Run serves until the context ends, then completes the requests in progress.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	var replaced chan struct{}
	if n.admin != nil {
		replaced = n.upgrade.replaced
		defer close(n.upgrade.runEnded)
		tasks.Go(func() { n.admin.Run(background) })
		tasks.Go(func() { n.closeUnusedConns(background) })
	}
	var old *predecessor
	var state *handover.State
	if n.takesOver {
		var err error
		if old, state, err = n.takeOver(ctx); err != nil {
			return err
		}
	}
	if state != nil {
		n.reduceLimits(handover.SocketLimit(n.cfg.Limits.Sockets, state.Sockets, minSockets))
		n.restoreState(state)
	} else {
		n.applyList(limiter.Persisted, n.cfg.InitialServers)
	}
	if n.initialMemory != nil {
		n.dispatch(limiter.Recall{Memory: n.initialMemory})
		n.initialMemory = nil
	}
	close(n.started)
	if n.cfg.Discovery != "" { // otherwise the server list is fixed
		tasks.Go(func() { n.followDiscovery(background) })
		tasks.Go(func() { n.handleReloads(background) })
	}
	for _, s := range n.sources {
		tasks.Go(func() { n.watchSource(background, s) })
	}
	tasks.Go(func() { n.servers.sweep(background) })
	if n.counters != nil {
		tasks.Go(func() { n.logCounters(background) })
	}
	if n.peers != nil {
		tasks.Go(n.sendPeers)
		tasks.Go(n.receivePeers)
	}
	served := make(chan error, len(n.listeners))
	for _, ln := range n.listeners {
		go func() { served <- n.httpServer.Serve(framedListener{ln}) }()
	}
	n.updateLife(func(l *lifecycle.Process) error {
		l.MarkAccepting(time.Now())
		if state != nil && state.Drained {
			return l.Drain(time.Now())
		}
		return nil
	})
	if n.upgrade != nil {
		n.writeNote()
		defer n.removeNote()
	}
	if old != nil {
		fmt.Fprintln(old, takenLine)
		tasks.Go(func() { n.awaitPredecessorExit(background, old) })
	}
	var err error
	select {
	case <-replaced:
		err = n.shutDown()
	case err = <-served:
	case <-ctx.Done():
		err = n.shutDown()
	}
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	if n.peers != nil {
		n.peers.conn.Close()
		close(n.peers.queue) // nothing is sent any more, as closed is set
	}
	n.httpServer.Close()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving clients: %w", err)
	}
	return nil
}

const (
	drainPollInterval = 10 * time.Millisecond  // interval of checks for open connections while stopping
	closeGrace        = 100 * time.Millisecond // time for writing the last answers
)

// shutDown ends the service without losing a request. Connections are still accepted for a while: closing the
// listener at once would reset connections that are being established.
func (n *Node) shutDown() error {
	began := time.Now()
	n.updateLife(func(l *lifecycle.Process) error { l.Stop(began, n.revision.Load().settings.MaxDeadline); return nil })
	n.mu.Lock()
	stopBy := n.life.StopDeadline()
	n.mu.Unlock()
	n.log.Info("stopping")
	time.Sleep(lifecycle.AcceptAfterStop) // answers carry Connection: close from now on
	expire := time.AfterFunc(time.Until(stopBy), n.expire)
	defer expire.Stop()
	for _, ln := range n.listeners {
		ln.Close()
	}
	if open := n.drainConns(stopBy.Add(closeGrace)); open > 0 {
		n.log.Warn("stopped with connections open", "open", open)
	}
	n.log.Info("stopped", "after", time.Since(began).Round(time.Millisecond).String(),
		"admitted_after_handover", n.lateRequests())
	return nil
}

// drainConns closes clients' connections as they become idle, and returns how many are open when none is left
// or time is up. It replaces http.Server.Shutdown, which may close a connection while a request on it is being
// read; that request would be processed without an answer.
func (n *Node) drainConns(until time.Time) (open int) {
	for {
		n.conns.endUnused(0, 0)
		if open = n.conns.openCount(); open == 0 || !time.Now().Before(until) {
			return open
		}
		time.Sleep(drainPollInterval)
	}
}

// now is the module's clock: the Unix time at the start in ms, advanced by the monotonic clock, so that a
// server's born_ms is on the same clock.
func (n *Node) now() float64 { return n.startMs + float64(time.Since(n.start).Microseconds())/1000 }

// dispatch passes an event to the module and executes the resulting actions.
func (n *Node) dispatch(ev limiter.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handle(ev)
}

// handle is dispatch for callers that hold the mutex. Events caused by actions are queued: Handle must not be
// called again while its actions are being executed, as they are only valid until the next call.
func (n *Node) handle(ev limiter.Event) {
	if n.closed {
		return
	}
	n.queue = append(n.queue, ev)
	n.processQueue()
}

// processQueue passes the queued events to the module.
func (n *Node) processQueue() {
	for i := 0; i < len(n.queue); i++ {
		n.counters.countEvent(n.queue[i])
		for _, a := range n.limiter.Handle(n.now(), n.queue[i]) {
			n.counters.countAction(a)
			n.execute(a)
		}
	}
	clear(n.queue)
	n.queue = n.queue[:0]
}

// execute carries out one action. It does not block.
func (n *Node) execute(a limiter.Action) {
	switch a := a.(type) {
	case limiter.PassOn:
		n.passOn(a)
	case limiter.Grant:
		if n.pendingAsk != nil {
			n.pendingAsk.granted = true
		}
	case limiter.Refuse:
		if n.pendingAsk != nil && a.ID == askID {
			n.pendingAsk.wait = millis(cmp.Or(a.WaitMs, fullRetryAfterMs))
			return
		}
		// Without a wait time from the module the client would retry at once.
		n.setFinalAnswer(a.ID, &answer{status: http.StatusTooManyRequests, retryAfterMs: cmp.Or(a.WaitMs, fullRetryAfterMs)})
	case limiter.Fail:
		n.setFinalAnswer(a.ID, &answer{status: http.StatusBadGateway})
	case limiter.AbortAttempt:
		if r := n.requests[a.ID]; r != nil && r.current != nil && r.current.number == a.Try {
			n.cancelAttempt(r.current)
		}
	case limiter.Timer:
		wait := millis(a.At - n.now())
		time.AfterFunc(max(0, wait), func() { n.dispatch(limiter.Alarm{Handle: a.Handle}) })
	case limiter.Probe:
		if !n.handedOver() {
			n.requestProbe(a.Server)
		}
	case limiter.Tell:
		if n.peers != nil && !n.handedOver() {
			n.peers.send(a.To, a.Data)
		}
	case limiter.Log:
		n.log.Info(a.Line)
	case limiter.Listen, limiter.QueryAll:
		// Nothing to do: discovery is watched all the time.
	}
}

// passOn starts an attempt, or queues the outcome of one that can't start.
func (n *Node) passOn(a limiter.PassOn) {
	r := n.requests[a.ID]
	if r == nil {
		return
	}
	att := &attempt{req: r, number: r.attempts, sentAt: time.Now(), deadline: r.deadline}
	r.attempts++
	if a.CapMs != 0 {
		if stop := att.sentAt.Add(millis(a.CapMs)); stop.Before(att.deadline) {
			att.deadline = stop
		}
	}
	att.host = n.servers.host(a.Server)
	maxAttempts := n.revision.Load().settings.Module.Caps.Attempts
	switch {
	case r.finalAnswer != nil, !att.sentAt.Before(r.deadline), maxAttempts > 0 && att.number >= maxAttempts:
		n.queueOutcome(att, a.Server, limiter.StaleSend)
	case att.host == nil, r.current != nil && !r.current.ended: // the server has to be listed and no other attempt running
		n.queueOutcome(att, a.Server, limiter.NoRoute)
	default:
		// A cancelled attempt may still occupy the client's goroutine, which closes that connection before it
		// starts this one. This makes it possible to accept a PassOn that the module issues in response to
		// Undone.
		r.current = att
		r.wake()
	}
}

// queueOutcome queues the Outcome of an attempt that ended without an answer.
func (n *Node) queueOutcome(att *attempt, server uint64, result limiter.Result) {
	att.ended = true
	att.req.lastResult = result
	n.queue = append(n.queue, limiter.Outcome{ID: att.req.id, Try: att.number, Server: server, Result: result,
		SpentMs: msSince(att.sentAt), Done: att.req.finalAnswer != nil, Load: noLoad})
}

// cancelAttempt stops waiting for an attempt. Its connection is closed before the client's goroutine can start
// another attempt.
func (n *Node) cancelAttempt(att *attempt) {
	if att.ended {
		return
	}
	n.queueOutcome(att, att.host.id, limiter.Undone)
	if att.conn != nil {
		att.conn.close()
	}
	if att.cancel != nil {
		att.cancel()
	}
}

// setFinalAnswer sets the final answer of a request, unless it already has one.
func (n *Node) setFinalAnswer(id string, a *answer) {
	r := n.requests[id]
	if r == nil || r.finalAnswer != nil {
		return
	}
	if a.status == http.StatusBadGateway && r.lastResult == limiter.TooSlow {
		a.status = http.StatusGatewayTimeout
	}
	r.finalAnswer = a
	if r.current != nil {
		n.cancelAttempt(r.current)
	}
	r.wake()
}

func msSince(t time.Time) float64 { return float64(time.Since(t)) / float64(time.Millisecond) }
