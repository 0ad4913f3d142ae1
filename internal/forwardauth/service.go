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

// Decider is the interface to the decision module of the limiter.
type Decider interface {
	// Ask requests a decision; wait is the time after which a refused client may retry.
	Ask(a limiter.Ask) (granted bool, wait time.Duration)
	// Settle reports the end of a lease.
	Settle(s limiter.Settle)
	// Tell sends a datagram to another limiter, without guarantee of delivery.
	Tell(to int, data []byte)
}

// Tier is the configuration that all limiters share.
type Tier struct {
	Position   int
	Limiters   int
	Classes    []string
	Plans      []string
	MaxUnits   float64
	MaxTimeout time.Duration // upper bound of client timeouts
	// Route, if set, returns the target of a request by the same routes as forwarded requests, or
	// false if no route matches.
	Route func(req *route.Request) (Target, bool)
}

// Target is the pool and the limits that a route assigns to a request.
type Target struct {
	Pool     uint64
	Class    int           // default for requests without a class; -1: none
	Deadline time.Duration // 0: the class's deadline
	// Advise, if set, calls the route's plug-ins as for forwarded requests. left is the time that
	// remains until the client's timeout.
	Advise func(ctx context.Context, s *advice.Subject, left time.Duration) limiter.Advice
}

// Limits of the HTTP server and intervals of periodic work.
const (
	headerTimeout  = 2 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// noticeInterval is the interval of the datagrams that report redeemed leases to the
	// limiters that issued them; reportInterval is that of the log lines with counts.
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

	// Atomic instead of under mu: an early rejection must not wait for requests that hold mu.
	counts struct{ granted, refused, repeated, busy, malformed, untrusted atomic.Int64 }
}

// indexedTier is a Tier with maps from names of classes and plans to their indexes.
type indexedTier struct {
	Tier
	classes, plans map[string]int
}

func newIndexedTier(t Tier) *indexedTier {
	return &indexedTier{t, indexByName(t.Classes), indexByName(t.Plans)}
}

// ReplaceTier replaces the tier. It calls swap, which must change the decider to the new tier and then
// call done. Each request is parsed and decided by the same tier.
func (s *Service) ReplaceTier(t Tier, swap func(done func())) {
	s.mu.Lock()
	defer s.mu.Unlock()
	swap(func() { s.tier.Store(newIndexedTier(t)) })
}

// Counts are the numbers of authorization requests by outcome; Repeated counts repeats of granted attempts.
type Counts struct{ Granted, Refused, Repeated, Busy, Malformed, Untrusted int64 }

// proxy is a configured Proxy with its loaded secrets.
type proxy struct {
	Proxy
	secrets *fileValue[[][sha256.Size]byte]
}

// New returns a Service that listens; [Service.Run] answers.
func New(cfg Listener, tier Tier, d Decider, logger *slog.Logger) (*Service, error) {
	s := &Service{cfg: cfg, decider: d, log: logger, start: time.Now(),
		wake: make(chan struct{}, 1), leaseManager: grant.NewLeaseManager(tier.Position, tier.Limiters, cfg.MaxLeases)}
	s.tier.Store(newIndexedTier(tier))
	var err error
	for _, p := range cfg.Proxies {
		entry := &proxy{Proxy: p}
		if p.SecretFile != "" {
			if entry.secrets, err = newFileValue(parseSecrets, logger.Warn, p.SecretFile); err != nil {
				return nil, err
			}
		}
		s.proxies = append(s.proxies, entry)
	}
	if cfg.KeysFile != "" {
		if s.keys, err = newFileValue(parseKeys, logger.Warn, cfg.KeysFile); err != nil {
			return nil, err
		}
	}
	// No timeouts for bodies, which are not read, or for responses, which fit into a socket
	// buffer: setting a deadline would cost time for every request.
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

// discardWriter drops the HTTP server's log lines about broken connections.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func indexByName(names []string) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i
	}
	return m
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() net.Addr { return s.listener.Addr() }

// Run serves proxies until the context ends.
func (s *Service) Run(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go func() {
		if s.server.TLSConfig != nil {
			serveErr <- s.server.ServeTLS(s.listener, "", "")
		} else {
			serveErr <- s.server.Serve(s.listener)
		}
	}()
	expiryTimer, noticeTicker, reportTicker := time.NewTimer(time.Hour), time.NewTicker(noticeInterval), time.NewTicker(reportInterval)
	defer expiryTimer.Stop()
	defer noticeTicker.Stop()
	defer reportTicker.Stop()
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
		expiryTimer.Reset(wait)
		select {
		case err := <-serveErr:
			if !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("forward authentication: %w", err)
			}
			return nil
		case <-ctx.Done():
			stop, cancel := context.WithTimeout(context.Background(), headerTimeout)
			defer cancel()
			err := s.server.Shutdown(stop)
			<-serveErr
			return err
		case <-expiryTimer.C:
		case <-s.wake:
		case <-noticeTicker.C:
			s.sendNotices()
		case <-reportTicker.C:
			reported = s.logCounts(reported)
		}
	}
}

// logCounts logs the counts if they differ from before, and returns them.
func (s *Service) logCounts(before Counts) Counts {
	n := &s.counts
	now := Counts{n.granted.Load(), n.refused.Load(), n.repeated.Load(), n.busy.Load(), n.malformed.Load(), n.untrusted.Load()}
	if now != before {
		s.mu.Lock()
		open := s.leaseManager.Leases().OpenCount()
		s.mu.Unlock()
		s.log.Info("asks so far", "yes", now.Granted, "no", now.Refused, "again", now.Repeated, "busy", now.Busy, "malformed", now.Malformed,
			"untrusted", now.Untrusted, "leases_out", open)
	}
	return now
}

// settle reports the end of a lease to the decision module. s.mu must be held.
func (s *Service) settle(t grant.Terms, e grant.EndReason) {
	s.decider.Settle(limiter.Settle{Account: t.Account, Units: t.Units, Refund: e.ReturnsUnits()})
}

// The paths with which proxies end leases; any other path is an authorization request.
const (
	CancelPath  = "/lease/cancel"
	ConfirmPath = "/lease/confirm"
)

// ServeHTTP answers a request of a proxy. It never reads bodies.
func (s *Service) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.ContentLength != 0 { // else net/http would read the body to reach the next request
		w.Header().Set("Connection", "close")
	}
	p, status := s.authenticate(req)
	if p == nil {
		s.counts.untrusted.Add(1)
		w.Header().Set("Connection", "close")
		http.Error(w, "not one of the proxies that may ask", status)
		return
	}
	if req.URL.Path == CancelPath || req.URL.Path == ConfirmPath {
		s.endLease(w, req)
		return
	}
	t := s.tier.Load()
	parsed, err := t.parse(p, req)
	if err != nil {
		s.counts.malformed.Add(1)
		p.Dialect.writeRefused(w, http.StatusBadRequest, 0, err.Error())
		return
	}
	// Requests are decided one at a time; above the limit of pending ones they are rejected at once.
	if s.pending.Add(1) > int64(s.cfg.MaxPending) {
		s.pending.Add(-1)
		s.counts.busy.Add(1)
		p.Dialect.writeRefused(w, http.StatusServiceUnavailable, time.Second, "too many asks at once")
		return
	}
	parsed.advise(p, req)
	token, granted, wait, ok := s.ask(p, parsed, t)
	for !ok { // the tier was replaced after parsing
		t = s.tier.Load()
		if parsed, err = t.parse(p, req); err != nil {
			break
		}
		parsed.advise(p, req)
		token, granted, wait, ok = s.ask(p, parsed, t)
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

// advise calls the plug-ins. If the proxy has closed its connection, nobody would receive a grant
// and the plug-ins were cut short, so the request is refused.
func (parsed *parsedRequest) advise(p *proxy, req *http.Request) {
	if parsed.to.Advise == nil {
		return
	}
	s := &advice.Subject{Header: func(name string) string {
		if v := req.Header[name]; len(v) == 1 && name != p.SecretHeader {
			return v[0]
		}
		return ""
	}, Request: advice.Request{Account: parsed.ask.Account, Plan: parsed.ask.Plan, Class: parsed.ask.Class, PlanName: parsed.plan, ClassName: parsed.class, Method: parsed.method, Path: parsed.path,
		Units: parsed.ask.Units, LeftMs: parsed.ask.ExpiresMs, Retry: parsed.ask.Retry}}
	parsed.ask.Advice = parsed.to.Advise(req.Context(), s, time.Duration(parsed.ask.ExpiresMs*float64(time.Millisecond)))
	if req.Context().Err() != nil {
		parsed.ask.Advice = limiter.Advice{Refuse: true}
	}
}

// ask requests a decision from the module unless the same attempt was granted recently. ok is false if the
// tier has been replaced since the request was parsed.
func (s *Service) ask(p *proxy, parsed parsedRequest, parsedBy *indexedTier) (token string, granted bool, wait time.Duration, ok bool) {
	ask := parsed.ask
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tier.Load() != parsedBy {
		return "", false, 0, false
	}
	now := time.Since(s.start)
	terms := grant.Terms{Account: ask.Account, Plan: ask.Plan, Class: ask.Class, Units: ask.Units}
	attempt := grant.Attempt{Proxy: p.Name, ID: parsed.id, Terms: terms}
	if token, repeated := s.leaseManager.FindRepeat(now, attempt); repeated {
		s.counts.repeated.Add(1)
		return token, true, 0, true
	}
	if ask.Lease && !s.leaseManager.Leases().HasRoom() {
		s.counts.refused.Add(1)
		return "", false, p.LeaseDuration, true
	}
	if granted, wait = s.decider.Ask(ask); !granted {
		s.counts.refused.Add(1)
		return "", false, wait, true
	}
	s.counts.granted.Add(1)
	until := now + grant.RepeatWindow
	if ask.Lease {
		until = now + p.LeaseDuration
		t := grant.Token{Limiter: parsedBy.Position, Terms: terms, Until: s.start.Add(until)}
		rand.Read(t.Lease[:])
		if err := s.leaseManager.Leases().Grant(t.Lease, terms, until); err != nil { // a collision of random ids, practically impossible
			s.settle(terms, grant.Cancelled)
			return "", false, p.LeaseDuration, true
		}
		token = s.keys.get(time.Now()).Sign(t)
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.leaseManager.RecordGrant(now, attempt, token, until)
	return token, true, 0, true
}

// endLease handles a proxy's notice that a lease was used elsewhere (confirm) or will not be used (cancel).
func (s *Service) endLease(w http.ResponseWriter, req *http.Request) {
	e := grant.Cancelled
	if req.URL.Path == ConfirmPath {
		e = grant.Confirmed
	}
	text, err := singleHeader(req.Header, GrantHeader)
	t, ok := s.verify(text)
	if req.Method != http.MethodPost || err != nil || !ok || t.Limiter != s.tier.Load().Position {
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

// Redeem accepts the token of a message that this limiter received; see
// [grant.LeaseManager.Redeem].
func (s *Service) Redeem(text string, terms grant.Terms) (leased float64, vouched bool) {
	t, ok := s.verify(text)
	if !ok {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseManager.Redeem(time.Since(s.start), t, time.Until(t.Until), terms)
}

// sendNotices sends the other limiters the pending notices on their leases.
func (s *Service) sendNotices() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseManager.SendNotices(s.decider.Tell)
}

// Heard handles a datagram of another limiter with notices on redeemed leases.
func (s *Service) Heard(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseManager.Heard(time.Since(s.start), data, func(t grant.Terms) { s.settle(t, grant.Moved) })
}

// queryParameter returns a parameter of the query in uri, or an error if it occurs more than once.
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
