// Package proxy is the host of the proxy: it takes clients' requests, has the decisions
// of package limiter say which pass and which server gets them, and passes them on. It learns
// of servers, limiters and configurations by pulls from the core machines.
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

// Proxy is one limiter of the system.
type Proxy struct {
	set       *nodesettings.Settings
	rules     allowance.Rules
	log       logrus.FieldLogger
	caller    *rpc.Caller
	begun     time.Time
	self      string   // id of this life
	seeds     []string // core machines that the settings name
	cores     []string // those to ask
	darkCores []string // those to ask when no other one answers
	peers     net.PacketConn
	link      *link
	stalls    stallWatch

	leaving    atomic.Bool   // SIGTERM has come
	intakeEnds atomic.Int64  // in ns since the beginning: no further request is taken then; 0: SIGTERM has not come
	exiting    chan struct{} // closed when what is in hand is answered as it stands
	inHand     atomic.Int64  // requests
	clients    connections   // of clients, that are open
	nudge      chan struct{} // ends a pull that is held

	view       atomic.Pointer[view]
	holdsUntil atomic.Int64 // in ns since the beginning: what is held here may be used until then

	mu          sync.Mutex // round what follows
	book        *catalog.Book
	reg         *controlstate.Register
	sequence    uint64 // of this limiter's own word
	proved      time.Time
	wantsWhole  bool // a difference did not fit: the next pull asks for the whole configuration
	evacuate    map[string]bool
	coldTo      map[string]time.Time // servers that are held for cold, by life, beyond what their beats tell
	gone        map[string]bool      // lives whose address another server answered at
	engine      *engine
	upstreams   map[string]*upstream
	budget      map[string]*allowance.Tries // of further arrivals, by service
	logged      time.Time
	members     *membership.Line     // the other limiters of the region
	failures    *failurereports.Desk // where requests fail, of the region
	loads       *loadreports.Desk    // what neighbours have in hand at servers
	neighbours  []places.Place
	lease       places.Lease
	desk        *quotaloan.Desk             // loans of parts
	share       float64                     // of what binds all limiters together, by the places that are known
	limiters    int                         // that share it, at most
	near        int                         // of them in this zone
	serving     bool                        // it has held a part in this life
	done        bool                        // nothing is sent any more: the place can be given back
	givenBack   bool                        // the core machines know that it was
	memberIPs   map[string]string           // of their lives
	unreachable map[string]bool             // those out of reach, by name
	asks        map[uint64]chan tokenAnswer // that wait for an answer
	asking      map[uint64]*allowance.Asks  // of single tokens, by account
	serial      uint64                      // of the latest
	listing     *time.Timer                 // makes the list of servers anew
	listAt      time.Time                   // when; zero: not due
	disconnects disconnectFigures           // of clients, with requests in hand
	departure   departureFigures            // of what is done after SIGTERM
	ended       map[ending]int              // answers since the process began
}

// view is what a request needs of a version; it does not change.
type view struct {
	table *configuration.Table
	seq   uint64
}

const (
	requestsMost = 700
	ttl          = 2 * time.Second
	margin       = 12 * time.Millisecond // so long before the client gives up its answer is written
)

// Run serves until the context ends, which is a SIGTERM, and a while beyond.
func Run(ctx context.Context, set *nodesettings.Settings, log logrus.FieldLogger) error {
	y := newProxy(set, log)
	front, err := net.Listen("tcp", set.Listen["frontend"])
	if err != nil {
		return fmt.Errorf("proxy: listen for clients: %w", err)
	}
	if y.peers, err = net.ListenPacket("udp", set.Internal(set.IP, nodesettings.ProxyPort)); err != nil {
		return fmt.Errorf("proxy: listen for other limiters: %w", err)
	}
	life, end := context.WithCancel(context.Background()) // outlives SIGTERM
	defer end()
	if err := y.listen(life); err != nil {
		return err
	}
	go y.hear()
	go y.pulls(life)
	go y.sweep(life)
	go sockets.Accept(life, front, y.serveConnection)
	go y.tally(life)
	go again(life, probeEvery, y.probeMembers)
	go again(life, loadEvery, func() {
		y.tickStalls()
		y.tellLoad()
	})
	go set.Follow(life, func(next *nodesettings.Settings) {
		log.WithField("seeds", len(next.Seeds)).Info("settings have changed")
		y.mu.Lock()
		defer y.mu.Unlock()
		y.seeds = next.Cores()
		y.meet()
	}, func(err error) { log.WithField("err", err).Warn("settings can't be used") })
	metrics.Offer(life, set.MetricsAddress(), log, y.figures)
	log.WithFields(logrus.Fields{"cores": len(y.cores), "life": y.self}).Info("begins")
	<-ctx.Done()
	y.leave(front)
	return nil
}

// newProxy returns a limiter that knows nothing yet.
func newProxy(set *nodesettings.Settings, log logrus.FieldLogger) *Proxy {
	y := &Proxy{set: set, log: log, link: newLink(set.LinkMbps), caller: rpc.NewCaller(), begun: time.Now(), self: fmt.Sprintf("%s#%08x", set.Node, rand.Uint32()),
		seeds: set.Cores(), cores: set.Cores(), nudge: make(chan struct{}, 1), exiting: make(chan struct{}), book: catalog.New(""), reg: &controlstate.Register{},
		evacuate: map[string]bool{}, coldTo: map[string]time.Time{}, gone: map[string]bool{},
		upstreams: map[string]*upstream{}, budget: map[string]*allowance.Tries{}, ended: map[ending]int{}, asks: map[uint64]chan tokenAnswer{}, asking: map[uint64]*allowance.Asks{},
		memberIPs: map[string]string{}, unreachable: map[string]bool{}}
	b := &set.Bounds
	y.rules = allowance.Rules{QuotaWindow: b.QuotaWindow, QuotaOvershoot: b.QuotaOvershoot, QuotaSlack: b.QuotaSlack, RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
		WarmupOvershoot: b.WarmupOvershoot, WarmupSlack: b.WarmupSlack}
	y.members = membership.New(y.self, rand.Uint64())
	y.failures = failurereports.New(rand.Uint32() | 1)
	y.loads = loadreports.New(rand.Uint32() | 1)
	return y
}

// tallyEvery is how often a line tells how requests ended, where any did.
const tallyEvery = 10 * time.Second

// tally logs how requests ended, and what became of those whose clients left.
func (y *Proxy) tally(ctx context.Context) {
	var told disconnectFigures
	before := map[ending]int{}
	for ctx.Err() == nil {
		wait.Sleep(ctx, tallyEvery)
		y.mu.Lock()
		fields := logrus.Fields{}
		for k, n := range y.ended {
			if n > before[k] {
				fields[k.field()] = n - before[k]
			}
			before[k] = n
		}
		disconnects := y.disconnects
		y.mu.Unlock()
		if len(fields) > 0 {
			y.log.WithFields(fields).Info("requests ended")
		}
		if disconnects != told {
			y.log.WithFields(disconnects.fields()).Info("clients have left with requests in hand")
			told = disconnects
		}
	}
}

func (y *Proxy) poke() {
	select {
	case y.nudge <- struct{}{}:
	default:
	}
}

// now is the time in ms on the clock of the decisions.
func (y *Proxy) now() float64 { return float64(time.Since(y.begun)) / float64(time.Millisecond) }

// ready tells that requests can be served here.
func (y *Proxy) ready() bool {
	if y.leaving.Load() || y.view.Load() == nil {
		return false
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.engine != nil && y.serving && y.vouched()
}

// vouched tells that keys may be honoured: nothing newer can have been acknowledged for as
// long as the rule on keys that are taken away allows. The mutex is held.
func (y *Proxy) vouched() bool {
	b := &y.set.Bounds
	if !b.RevocationStrict || b.Revoke == 0 {
		return true
	}
	return time.Since(y.proved) < b.Revoke-revokeMargin
}

// revokeMargin is for what was sent before and runs later.
const revokeMargin = 500 * time.Millisecond
