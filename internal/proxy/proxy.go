// Package proxy implements the proxy program. It accepts client requests, lets package limiter decide which of
// them are admitted and which server gets them, and forwards them to that server. It learns about servers, other
// limiters and configurations by pulling from the core machines.
package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/control/configuration"
	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/places"
	"example.org/madderdrum/internal/metrics"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/internal/sockets"
	"example.org/madderdrum/internal/wait"
	"example.org/madderdrum/traffic/allowance"
	"example.org/madderdrum/traffic/failurereports"
	"example.org/madderdrum/traffic/loadreports"
	"example.org/madderdrum/traffic/membership"
	"example.org/madderdrum/traffic/quotaloan"
)

// Proxy is one limiter of the system: the listeners, connections and timers around the decisions of package
// limiter.
type Proxy struct {
	settings   *nodesettings.Settings
	rules      allowance.Rules
	log        logrus.FieldLogger
	caller     *rpc.Caller
	base       time.Time // start of the process; time 0 of now
	instanceID string    // unique to this run of the process
	seeds      []string  // core machines named in the settings
	cores      []string  // core machines to pull from
	downCores  []string  // core machines believed down; tried only when all of cores have failed
	peerConn   net.PacketConn
	link       *link
	stalls     stallWatch

	leaving      atomic.Bool   // SIGTERM has been received
	intakeEndsAt atomic.Int64  // ns since base; from then on no further request is accepted; 0: no SIGTERM yet
	exiting      chan struct{} // closed when every unanswered request gets its final answer before the process exits
	inFlight     atomic.Int64  // requests that have been read and not yet answered
	clients      connections   // open client connections
	pullNow      chan struct{} // interrupts a long poll so that the next pull starts at once

	configSnapshot atomic.Pointer[configSnapshot]
	shareEnds      atomic.Int64 // ns since base; until then this limiter may use its share

	mu                   sync.Mutex // guards the fields below
	records              *catalog.Catalog
	register             *controlstate.Register
	recordSequence       uint64 // of this limiter's own catalog record; increases with each pull
	provenAt             time.Time
	needsWholeRegister   bool // a delta could not be applied: the next pull asks for the whole register
	evacuatedZones       map[string]bool
	coldUntil            map[string]time.Time // by instance ID; servers treated as cold beyond what their heartbeats say
	replacedInstances    map[string]bool      // by instance ID; another server answered at the instance's address
	engine               *engine
	upstreams            map[string]*upstream
	retryBudgets         map[string]*allowance.RetryBudget // by service; attempts beyond the first of a request
	lastWarning          time.Time
	members              *membership.Detector   // reachability of the other limiters of the region
	failureReports       *failurereports.Gossip // recent request failures, exchanged within the region
	loadReports          *loadreports.Tracker   // requests that neighbouring limiters have in flight at servers
	neighbours           []places.Place
	lease                places.Lease
	loans                *quotaloan.Ledger                // quota parts lent to and borrowed from other limiters
	share                float64                          // this limiter's fraction of all quotas, by the place table in force
	limiterCount         int                              // largest number of limiters that may share the quotas
	zoneLimiterCount     int                              // limiters in this zone
	hasHeldShare         bool                             // this process has held a share at some time
	returningPlace       bool                             // no more requests are sent, so the place may be given up
	placeReturnConfirmed bool                             // the core machines know that the place was returned
	memberIPs            map[string]string                // IP address by instance ID
	unreachable          map[string]bool                  // by name; limiters that cannot be reached
	pendingTokenRequests map[uint64]chan tokenReply       // by serial number; where to deliver the reply
	tokenThrottles       map[uint64]*allowance.AskBackoff // by account; limits how often single tokens are requested
	tokenSerial          uint64                           // serial number of the latest token request
	serverUpdateTimer    *time.Timer                      // runs updateServers
	serverUpdateAt       time.Time                        // when serverUpdateTimer fires; zero: not scheduled
	disconnects          disconnectStats                  // clients that disconnected with requests in flight
	departure            shutdownStats                    // progress after SIGTERM
	answerCounts         map[ending]int                   // since the process started
}

// configSnapshot is the part of a configuration version that requests need. It is immutable.
type configSnapshot struct {
	table *configuration.Table
	seq   uint64
}

const (
	maxInFlight  = 700                   // further requests are refused
	directoryTTL = 2 * time.Second       // how long clients may cache directory answers
	answerMargin = 12 * time.Millisecond // how long before the client's deadline its answer is written
)

// Run serves requests until ctx is canceled (SIGTERM), then shuts down in order and returns.
func Run(ctx context.Context, settings *nodesettings.Settings, log logrus.FieldLogger) error {
	proxy := newProxy(settings, log)
	frontend, err := net.Listen("tcp", settings.Listen["frontend"])
	if err != nil {
		return fmt.Errorf("proxy: listen for clients: %w", err)
	}
	if proxy.peerConn, err = net.ListenPacket("udp", settings.InternalAddress(settings.IP,
		nodesettings.ProxyPort)); err != nil {
		return fmt.Errorf("proxy: listen for other limiters: %w", err)
	}
	serveCtx, cancel := context.WithCancel(context.Background()) // not canceled by SIGTERM: the shutdown still needs it
	defer cancel()
	if err := proxy.listen(serveCtx); err != nil {
		return err
	}
	go proxy.receiveDatagrams()
	go proxy.pullLoop(serveCtx)
	go proxy.sweepUpstreams(serveCtx)
	go sockets.Accept(serveCtx, frontend, proxy.serveConnection)
	go proxy.logAnswerCounts(serveCtx)
	go runEvery(serveCtx, probeInterval, proxy.probeMembers)
	go runEvery(serveCtx, loadReportInterval, func() {
		proxy.tickStalls()
		proxy.sendLoadReport()
	})
	go settings.Watch(serveCtx, func(next *nodesettings.Settings) {
		log.WithField("seeds", len(next.Seeds)).Info("settings changed")
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		proxy.seeds = next.CoreIPs()
		proxy.updateCores()
	}, func(err error) { log.WithField("err", err).Warn("cannot use changed settings") })
	metrics.ServeIfConfigured(serveCtx, settings.MetricsAddress(), log, proxy.metricValues)
	log.WithFields(logrus.Fields{"cores": len(proxy.cores), "life": proxy.instanceID}).Info("begins")
	<-ctx.Done()
	proxy.shutDown(frontend)
	return nil
}

// newProxy returns a limiter that knows no servers and holds no share yet.
func newProxy(settings *nodesettings.Settings, log logrus.FieldLogger) *Proxy {
	proxy := &Proxy{settings: settings, log: log, link: newLink(settings.LinkMbps), caller: rpc.NewCaller(),
		base: time.Now(), instanceID: fmt.Sprintf("%s#%08x", settings.Node, rand.Uint32()),
		seeds: settings.CoreIPs(), cores: settings.CoreIPs(), pullNow: make(chan struct{}, 1),
		exiting: make(chan struct{}), records: catalog.New(""), register: &controlstate.Register{},
		evacuatedZones: map[string]bool{}, coldUntil: map[string]time.Time{}, replacedInstances: map[string]bool{},
		upstreams: map[string]*upstream{}, retryBudgets: map[string]*allowance.RetryBudget{},
		answerCounts: map[ending]int{}, pendingTokenRequests: map[uint64]chan tokenReply{},
		tokenThrottles: map[uint64]*allowance.AskBackoff{}, memberIPs: map[string]string{},
		unreachable: map[string]bool{}}
	bounds := &settings.Bounds
	proxy.rules = allowance.Rules{QuotaWindow: bounds.QuotaWindow, QuotaOvershoot: bounds.QuotaOvershoot,
		QuotaSlack: bounds.QuotaSlack, RetryRatio: bounds.RetryRatio, RetrySlack: bounds.RetrySlack,
		WarmupOvershoot: bounds.WarmupOvershoot, WarmupSlack: bounds.WarmupSlack}
	proxy.members = membership.New(proxy.instanceID, rand.Uint64())
	proxy.failureReports = failurereports.New(rand.Uint32() | 1)
	proxy.loadReports = loadreports.New(rand.Uint32() | 1)
	return proxy
}

// answerLogInterval is how often answer counts are logged, if there were any answers.
const answerLogInterval = 10 * time.Second

// logAnswerCounts periodically logs the outcomes of requests and the effects of client disconnects.
func (proxy *Proxy) logAnswerCounts(ctx context.Context) {
	var lastLogged disconnectStats
	previous := map[ending]int{}
	for ctx.Err() == nil {
		wait.Sleep(ctx, answerLogInterval)
		proxy.mu.Lock()
		logFields := logrus.Fields{}
		for k, n := range proxy.answerCounts {
			if n > previous[k] {
				logFields[k.logField()] = n - previous[k]
			}
			previous[k] = n
		}
		disconnects := proxy.disconnects
		proxy.mu.Unlock()
		if len(logFields) > 0 {
			proxy.log.WithFields(logFields).Info("requests ended")
		}
		if disconnects != lastLogged {
			proxy.log.WithFields(disconnects.logFields()).Info("clients have left with requests in hand")
			lastLogged = disconnects
		}
	}
}

func (proxy *Proxy) wakePull() {
	select {
	case proxy.pullNow <- struct{}{}:
	default:
	}
}

// now returns the time in ms on the clock that is passed to the decision packages.
func (proxy *Proxy) now() float64 { return float64(time.Since(proxy.base)) / float64(time.Millisecond) }

// ready reports whether this limiter can serve requests.
func (proxy *Proxy) ready() bool {
	if proxy.leaving.Load() || proxy.configSnapshot.Load() == nil {
		return false
	}
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.engine != nil && proxy.hasHeldShare && proxy.keysTrusted()
}

// keysTrusted reports whether API keys may be accepted: the proof that this limiter has seen the latest register
// must be younger than the bound on key revocation. The mutex is held.
func (proxy *Proxy) keysTrusted() bool {
	b := &proxy.settings.Bounds
	if !b.RevocationStrict || b.Revoke == 0 {
		return true
	}
	return time.Since(proxy.provenAt) < b.Revoke-revokeMargin
}

// revokeMargin covers requests that were sent before the bound ran out and execute later.
const revokeMargin = 500 * time.Millisecond
