package forwardauth

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/grant"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/route"
)

// Decider is the limiter that decides.
type Decider interface {
	// Ask gives the module an Ask and returns its answer.
	Ask(a limiter.Ask) (granted bool, wait time.Duration)
	// Settle ends what was leased.
	Settle(s limiter.Settle)
	// Tell sends a datagram to another limiter, which may be lost.
	Tell(to int, data []byte)
}

// Tier names what the limiters share.
type Tier struct {
	Position  int
	Limiters  int
	Classes   []string
	Plans     []string
	MostUnits float64
	Longest   time.Duration // that a client may wait
	// Route, if set, finds the pool and the bounds of what is asked for, by the routes
	// of what is carried, or tells that no route takes it.
	Route func(q *route.Request) (Target, bool)
}

// Target is what a route says of a request.
type Target struct {
	Pool     uint64
	Class    int           // for requests that name none; -1: none
	Deadline time.Duration // 0: the class's
	// Advise, if set, has the plug-ins of the route asked, as for what is carried. left is
	// the client's time.
	Advise func(ctx context.Context, s *advice.Subject, left time.Duration) limiter.Advice
}

// Bounds of the front.
const (
	headerTimeout  = 2 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// wordEvery is the pause between two datagrams that name leases whose messages came
	// here, reportEvery that between two lines of counts in the log.
	noticeInterval = 250 * time.Millisecond
	reportInterval = 10 * time.Second
)

// Service answers the proxies of one limiter.
type Service struct {
	cfg      Listener
	tier     atomic.Pointer[indexedTier]
	decider  Decider
	log      *slog.Logger
	proxies  []*proxy
	keys     *fileValue[grant.Keys]
	server   *http.Server
	listener net.Listener
	start    time.Time
	pending  atomic.Int64
	wake     chan struct{}

	mu           sync.Mutex
	leaseManager *grant.LeaseManager

	// Not under the lock: a quick no must not wait for those that wait.
	counts struct{ yes, no, again, busy, malformed, untrusted atomic.Int64 }
}

// namedTier is a Tier with its names by their places.
type indexedTier struct {
	Tier
	classes, plans map[string]int
}

func newIndexedTier(t Tier) *indexedTier {
	return &indexedTier{t, indexByName(t.Classes), indexByName(t.Plans)}
}

// Swap has another tier hold once swap, which must call done, has changed the decider to
// it. An ask is read by one tier and decided by the same.
func (s *Service) Swap(t Tier, swap func(done func())) {
	s.mu.Lock()
	defer s.mu.Unlock()
	swap(func() { s.tier.Store(newIndexedTier(t)) })
}

// Counts are what came of the asks.
type Counts struct{ Yes, No, Again, Busy, Malformed, Untrusted int64 }

// proxy is one with its secrets.
type proxy struct {
	Proxy
	secrets *fileValue[[][sha256.Size]byte]
}

// New returns a Service that listens but does not answer yet.
func New(cfg Listener, tier Tier, d Decider, logger *slog.Logger) (*Service, error) {
	s := &Service{cfg: cfg, decider: d, log: logger, start: time.Now(),
		wake: make(chan struct{}, 1), leaseManager: grant.NewLeaseManager(tier.Position, tier.Limiters, cfg.Leases)}
	s.tier.Store(newIndexedTier(tier))
	var err error
	for _, p := range cfg.Proxies {
		x := &proxy{Proxy: p}
		if p.Secret != "" {
			if x.secrets, err = newFileValue(parseSecrets, logger.Warn, p.Secret); err != nil {
				return nil, err
			}
		}
		s.proxies = append(s.proxies, x)
	}
	if cfg.Keys != "" {
		if s.keys, err = newFileValue(parseKeys, logger.Warn, cfg.Keys); err != nil {
			return nil, err
		}
	}
	// No time for bodies, which are not read, and none for answers, which fit into a
	// socket's buffer: each deadline costs every ask.
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(discardWriter{}, "", 0)}
	if cfg.TLS != nil {
		if s.server.TLSConfig, err = cfg.TLS.tlsConfig(logger.Warn); err != nil {
			return nil, err
		}
	}
	if s.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("forward authentication: %w", err)
	}
	return s, nil
}

// discard drops the HTTP server's lines on connections that break.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func indexByName(names []string) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i
	}
	return m
}

// Addr is where proxies ask.
func (s *Service) Addr() net.Addr { return s.listener.Addr() }

// Run answers until the context ends.
func (s *Service) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() {
		if s.server.TLSConfig != nil {
			served <- s.server.ServeTLS(s.listener, "", "")
		} else {
			served <- s.server.Serve(s.listener)
		}
	}()
	timer, words, reports := time.NewTimer(time.Hour), time.NewTicker(noticeInterval), time.NewTicker(reportInterval)
	defer timer.Stop()
	defer words.Stop()
	defer reports.Stop()
	var reported Counts
	defer func() { s.logCounts(reported) }()
	for {
		s.mu.Lock()
		now := time.Since(s.start)
		s.leaseManager.Leases().Expire(now, func(t grant.Terms) { s.settle(t, grant.Expired) })
		wait := time.Hour
		if at, ok := s.leaseManager.Leases().NextExpiry(); ok {
			wait = at - now
		}
		s.mu.Unlock()
		timer.Reset(wait)
		select {
		case err := <-served:
			if !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("forward authentication: %w", err)
			}
			return nil
		case <-ctx.Done():
			stop, cancel := context.WithTimeout(context.Background(), headerTimeout)
			defer cancel()
			err := s.server.Shutdown(stop)
			<-served
			return err
		case <-timer.C:
		case <-s.wake:
		case <-words.C:
			s.sendNotices()
		case <-reports.C:
			reported = s.logCounts(reported)
		}
	}
}

// report writes what came of the asks to the log, if that is news.
func (s *Service) logCounts(before Counts) Counts {
	n := &s.counts
	now := Counts{n.yes.Load(), n.no.Load(), n.again.Load(), n.busy.Load(), n.malformed.Load(), n.untrusted.Load()}
	if now != before {
		s.mu.Lock()
		open := s.leaseManager.Leases().OpenCount()
		s.mu.Unlock()
		s.log.Info("asks so far", "yes", now.Yes, "no", now.No, "again", now.Again, "busy", now.Busy, "malformed", now.Malformed,
			"untrusted", now.Untrusted, "leases_out", open)
	}
	return now
}

// settle tells the module that a lease has ended. The lock is held.
func (s *Service) settle(t grant.Terms, e grant.EndReason) {
	s.decider.Settle(limiter.Settle{Account: t.Account, Units: t.Units, Refund: e.ReturnsUnits()})
}

// Paths of the front besides asks.
const (
	CancelPath  = "/lease/cancel"
	ConfirmPath = "/lease/confirm"
)

// ServeHTTP answers a proxy. Bodies are never read.
func (s *Service) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.ContentLength != 0 { // net/http would read on for the next request
		w.Header().Set("Connection", "close")
	}
	p, status := s.authenticate(q)
	if p == nil {
		s.counts.untrusted.Add(1)
		w.Header().Set("Connection", "close")
		http.Error(w, "not one of the proxies that may ask", status)
		return
	}
	if q.URL.Path == CancelPath || q.URL.Path == ConfirmPath {
		s.endLease(w, q)
		return
	}
	t := s.tier.Load()
	x, err := t.parse(p, q)
	if err != nil {
		s.counts.malformed.Add(1)
		p.Dialect.writeRefused(w, http.StatusBadRequest, 0, err.Error())
		return
	}
	// Asks wait for one another at the module; past a bound they hear a no at once.
	if s.pending.Add(1) > int64(s.cfg.Pending) {
		s.pending.Add(-1)
		s.counts.busy.Add(1)
		p.Dialect.writeRefused(w, http.StatusServiceUnavailable, time.Second, "too many asks at once")
		return
	}
	x.advise(p, q)
	token, granted, wait, ok := s.ask(p, x, t)
	for !ok { // read by a tier that is gone
		t = s.tier.Load()
		if x, err = t.parse(p, q); err != nil {
			break
		}
		x.advise(p, q)
		token, granted, wait, ok = s.ask(p, x, t)
	}
	s.pending.Add(-1)
	if err != nil {
		s.counts.malformed.Add(1)
		p.Dialect.writeRefused(w, http.StatusBadRequest, 0, err.Error())
		return
	}
	if !granted {
		p.Dialect.writeRefused(w, http.StatusTooManyRequests, max(wait, time.Millisecond), "over the quota, or the servers are full; try again later")
		return
	}
	p.Dialect.writeGranted(w, token)
}

// advise has the plug-ins asked. For a proxy that has left there is nobody to hear a yes, and
// what its plug-ins did not get to say is no.
func (x *parsedRequest) advise(p *proxy, q *http.Request) {
	if x.to.Advise == nil {
		return
	}
	s := &advice.Subject{Header: func(name string) string {
		if v := q.Header[name]; len(v) == 1 && name != p.Header {
			return v[0]
		}
		return ""
	}, Request: advice.Request{Account: x.ask.Account, Plan: x.ask.Plan, Class: x.ask.Class, PlanName: x.plan, ClassName: x.class, Method: x.method, Path: x.path,
		Units: x.ask.Units, LeftMs: x.ask.ExpiresMs, Retry: x.ask.Retry}}
	x.ask.Advice = x.to.Advise(q.Context(), s, time.Duration(x.ask.ExpiresMs*float64(time.Millisecond)))
	if q.Context().Err() != nil {
		x.ask.Advice = limiter.Advice{Refuse: true}
	}
}

// ask has the module decide, unless the same try was granted just now.
func (s *Service) ask(p *proxy, x parsedRequest, by *indexedTier) (token string, granted bool, wait time.Duration, ok bool) {
	a := x.ask
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tier.Load() != by {
		return "", false, 0, false
	}
	now := time.Since(s.start)
	terms := grant.Terms{Account: a.Account, Plan: a.Plan, Class: a.Class, Units: a.Units}
	try := grant.Attempt{Proxy: p.Name, ID: x.id, Terms: terms}
	if token, again := s.leaseManager.FindRepeat(now, try); again {
		s.counts.again.Add(1)
		return token, true, 0, true
	}
	if a.Lease && !s.leaseManager.Leases().HasRoom() {
		s.counts.no.Add(1)
		return "", false, p.Lease, true
	}
	if granted, wait = s.decider.Ask(a); !granted {
		s.counts.no.Add(1)
		return "", false, wait, true
	}
	s.counts.yes.Add(1)
	until := now + grant.RepeatWindow
	if a.Lease {
		until = now + p.Lease
		t := grant.Token{Limiter: by.Position, Terms: terms, Until: s.start.Add(until)}
		rand.Read(t.Lease[:])
		if err := s.leaseManager.Leases().Grant(t.Lease, terms, until); err != nil { // two equal random ids: never
			s.settle(terms, grant.Cancelled)
			return "", false, p.Lease, true
		}
		token = s.keys.get(time.Now()).Sign(t)
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.leaseManager.RecordGrant(now, try, token, until)
	return token, true, 0, true
}

// end is a proxy's word that a lease was used elsewhere, or will not be.
func (s *Service) endLease(w http.ResponseWriter, q *http.Request) {
	e := grant.Cancelled
	if q.URL.Path == ConfirmPath {
		e = grant.Confirmed
	}
	text, err := singleHeader(q.Header, GrantHeader)
	t, ok := s.verify(text)
	if q.Method != http.MethodPost || err != nil || !ok || t.Limiter != s.tier.Load().Position {
		s.counts.malformed.Add(1)
		http.Error(w, "needs POST and a token of this limiter in "+GrantHeader, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	terms, err := s.leaseManager.Leases().End(time.Since(s.start), t.Lease, e)
	if err != nil {
		http.Error(w, "the lease has ended", http.StatusGone)
		return
	}
	s.settle(terms, e)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) verify(text string) (grant.Token, bool) {
	if s.keys == nil || text == "" {
		return grant.Token{}, false
	}
	t, err := s.keys.get(time.Now()).Verify(text)
	return t, err == nil
}

// Redeem takes the token of a message that has come to this limiter; see
// [grant.Desk.Redeem].
func (s *Service) Redeem(text string, terms grant.Terms) (leased float64, vouched bool) {
	t, ok := s.verify(text)
	if !ok {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseManager.Redeem(time.Since(s.start), t, time.Until(t.Until), terms)
}

// tell sends the other limiters what they are owed.
func (s *Service) sendNotices() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseManager.SendNotices(s.decider.Tell)
}

// Heard takes in another limiter's word on leases.
func (s *Service) Heard(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseManager.Heard(time.Since(s.start), data, func(t grant.Terms) { s.settle(t, grant.Moved) })
}

// query is the protocol's account in the original query.
func queryParameter(uri, name string) (string, error) {
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return "", fmt.Errorf("the original path can't be read")
	}
	v, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return "", fmt.Errorf("the original query can't be read")
	}
	if len(v[name]) > 1 {
		return "", fmt.Errorf("%s is there %d times", name, len(v[name]))
	}
	return v.Get(name), nil
}
