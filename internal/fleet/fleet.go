// Package fleet is the model of a deployment that the daemon and the replays share: classes of
// requests, plans, rooms, limiters, sender boxes and, for replays, the traffic of the accounts and
// the behaviour of the network. Package config loads it from files.
package fleet

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/limiter"
)

// Fleet is a deployment. All slices are in the order of the configuration file.
type Fleet struct {
	Rooms    []string
	Classes  []Class
	Plans    []Plan
	Limiters []Limiter
	Boxes    []Box
	Rules    Rules
	Network  Network
	Traffic  Traffic
	Limits   Limits
	Tiers    Tiers // of the single pool with all boxes, in order of preference; empty: no preference
}

// Tier is a subset of a pool's boxes that is preferred to the tiers after it. A box belongs to it by its room, by
// being in the limiter's room, or by a label.
type Tier struct {
	Name    string
	Rooms   []int    // indexes into Fleet.Rooms
	OwnRoom bool     // includes the limiter's own room
	Labels  []string // includes boxes with any of these labels
	Spill   float64  // largest share of the traffic that may move to the next tiers
}

// Tiers are the tiers of a pool in order of preference.
type Tiers []Tier

// IndexOf returns the index of the first tier that includes a box with this room and these labels, for a
// limiter in limiterRoom. It is len(t) for boxes of no tier.
func (t Tiers) IndexOf(room int, labels []string, limiterRoom int) int {
	for k := range t {
		if t[k].OwnRoom && room == limiterRoom || slices.Contains(t[k].Rooms, room) ||
			slices.ContainsFunc(labels, func(l string) bool { return slices.Contains(t[k].Labels, l) }) {
			return k
		}
	}
	return len(t)
}

// Spills returns the spill of each tier, followed by 0 for the boxes without a tier.
func (t Tiers) Spills() []float64 {
	if len(t) == 0 {
		return nil
	}
	var all []float64
	for k := range t {
		all = append(all, t[k].Spill)
	}
	return append(all, 0)
}

// Class is a class of requests with its service objective and retry semantics.
type Class struct {
	Name      string
	Share     float64       // of the arrivals if a trace has no classes; the shares add up to 1
	Work      time.Duration // mean work on one core at speed 1
	Spread    float64       // coefficient of variation of the work; 0: constant
	Aim       time.Duration // latency objective: a response within it earns the full worth
	Deadline  time.Duration // clients time out after this, over all their attempts
	Worth     float64
	LateShare float64 // share of the worth that a response after the aim earns
	Units     float64 // quota units that a request costs
	Repeat    limiter.Repeat
	Group     limiter.Group // for keyed classes: the group of boxes that share deduplication
	Window    time.Duration // for keyed classes: deduplication window
}

// Plan is the quota and price of the accounts of one plan, over all limiters together.
type Plan struct {
	Name         string
	Share        float64 // of the arrivals if a trace has no plans; the shares add up to 1
	Rate         float64 // units a second
	Burst        float64 // units
	CeilingRate  float64 // units a second; 0: no ceiling
	CeilingBurst float64 // units
	Price        float64 // factor on the worth
	BeyondEarns  float64 // share of the worth that a request forwarded beyond the quota earns
	OverrunCost  float64 // share of the worth that such a request costs
}

// Limiter is the name, room and addresses of a limiter.
type Limiter struct {
	Name   string
	Room   int
	Listen string // host:port for clients
	Peer   string // host:port for messages between limiters; empty: none
	Admin  string // host:port for operators' commands; empty: none
	Fleet  string // host:port for the consensus among limiters on duties; empty: none
}

// Box is a sender box: an upstream server with its capacity and its simulated behaviour.
type Box struct {
	Name        string
	Room        int
	Labels      []string
	Pod         int // boxes of one pod deduplicate together
	Dial        string
	Cores       float64
	Speed       float64 // seconds of work that a core does per second
	Slots       int     // requests that are processed concurrently
	Queue       int     // queue length; further requests are rejected
	Thrash      float64 // loss of efficiency per request per core above ThrashAt
	ThrashAt    float64
	Connections int           // maximum of open connections
	Handshake   time.Duration // work to establish a connection
	ColdShare   float64       // share of the capacity when it starts cold
	WarmUpTime  time.Duration // longest warm-up
	WarmAfter   int           // requests after which it is warm; 0: only after WarmUpTime
	Report      Report
	ErrorRate   float64 // share of requests that fail in normal operation
}

// Report describes the load reports of a box.
type Report struct {
	Every time.Duration // measurement interval
	Delay time.Duration // time from the measurement to its report
	Noise float64       // relative standard deviation
}

// Rules are the parameters of the correctness rules that runs are checked against.
type Rules struct {
	DrainGrace       time.Duration // a draining box must get no new request later than this after the limiter was notified
	OverloadFactor   float64       // a cold box fails if its load exceeds its capacity by this factor ...
	OverloadDuration time.Duration // ... for this long
	CeilingSlack     float64       // share by which a ceiling may be exceeded
	Attempts         int           // maximum attempts per request
}

// Network describes delays and losses between the parts of a deployment. Delays are one-way.
type Network struct {
	SameRoom, CrossRoom, Client time.Duration
	Jitter                      float64       // relative to the delay, uniform in both directions
	Connect                     time.Duration // connect timeout
	Idle                        time.Duration // idle timeout of a box's connections
	PeerDelayMin, PeerDelayMax  time.Duration // delay of a message between limiters
	PeerLoss                    float64
	PeerMessageRate             float64       // messages per second that a limiter receives
	ListDelayMin, ListDelayMax  time.Duration // delay until a limiter sees a change of the server list
	SilentDetection             time.Duration // additional delay for a box that vanishes without notice
	FrontDetection              time.Duration // delay until the front end detects a failed limiter
}

// Traffic describes the synthetic traffic that is used for what a trace does not contain.
type Traffic struct {
	Accounts        int
	Rate            float64 // requests per second of all accounts
	WaveAmplitude   float64 // amplitude of the slow wave of the rate, as a share of it
	Retries         int     // maximum retries of a client
	MinAttemptShare float64 // smallest share of the deadline that a client allows an attempt
	Backoff         time.Duration
	RetryAfterShare float64       // share of clients that respect Retry-After
	MaxRetryAfter   time.Duration // longest Retry-After that clients respect
	SpreadMin       float64       // smallest share of the limiters that an account uses
	ZipfExponent    float64       // Zipf exponent of an account's requests over its limiters: rank k has weight 1/k^Skew
	Shift           time.Duration // interval at which an account's busiest limiters change
	HeavyShare      float64       // share of accounts that send HeavyFactor times their share
	HeavyFactor     float64
}

// Limits are the resource limits of a limiter started with `madderdrum serve`; 0 means no limit.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// coldStart returns the smallest initial share and the longest warm-up of any box, for the limiters' settings.
func (f *Fleet) coldStart() (from float64, longest time.Duration) {
	from = 1
	for _, b := range f.Boxes {
		from, longest = min(from, b.ColdShare), max(longest, b.WarmUpTime)
	}
	return from, longest
}

// Settings returns the settings of the limiter at a position in f.Limiters.
func (f *Fleet) Settings(position int) limiter.Settings {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	from, longest := f.coldStart()
	s := limiter.Settings{
		Position: position, Balancers: len(f.Limiters), Zone: f.Limiters[position].Room,
		PeerInPerS: f.Network.PeerMessageRate, CrossPrice: 0.02,
		Caps: limiter.Caps{Attempts: f.Rules.Attempts, Cancel: true, Peers: len(f.Limiters) > 1 && f.Network.PeerMessageRate > 0,
			Probes: true, RetryAfter: f.Traffic.MaxRetryAfter > 0, MaxWaitMs: ms(f.Traffic.MaxRetryAfter),
			ConnectMs: ms(f.Network.Connect)},
		Rules: limiter.Rules{ColdShare: from, ColdMs: ms(longest),
			OverloadFactor: f.Rules.OverloadFactor, FallMs: ms(f.Rules.OverloadDuration)},
	}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, limiter.Class{Repeat: c.Repeat, Group: c.Group, AimMs: ms(c.Aim),
			DeadlineMs: ms(c.Deadline), WindowMs: ms(c.Window), Worth: c.Worth, LateShare: c.LateShare})
	}
	for _, p := range f.Plans {
		s.Plans = append(s.Plans, limiter.Plan{Rate: p.Rate, Burst: p.Burst, CeilingRate: p.CeilingRate,
			CeilingBurst: p.CeilingBurst, Price: p.Price, BeyondEarns: p.BeyondEarns, OverrunCost: p.OverrunCost})
	}
	if len(f.Tiers) > 0 {
		s.Spills = map[uint64][]float64{0: f.Tiers.Spills()}
	}
	return s
}

// Capacity returns the work that all boxes together do per second when warm, in seconds of work.
func (f *Fleet) Capacity() float64 {
	sum := 0.0
	for _, b := range f.Boxes {
		sum += b.Cores * b.Speed
	}
	return sum
}

// MeanWork returns the mean work of a request, weighted by the shares of the classes.
func (f *Fleet) MeanWork() time.Duration {
	sum := 0.0
	for _, c := range f.Classes {
		sum += c.Share * float64(c.Work)
	}
	return time.Duration(sum)
}

// MaxUnits returns the largest cost in units of any class.
func (f *Fleet) MaxUnits() float64 {
	most := 0.0
	for _, c := range f.Classes {
		most = max(most, c.Units)
	}
	return most
}

// Scale returns a copy with the given numbers of boxes, limiters and accounts, and with traffic scaled by
// capacity. Boxes and limiters repeat those of f in order, with new names and without addresses; each
// repetition of the boxes has new pods.
func (f *Fleet) Scale(boxes, limiters, accounts int) *Fleet {
	s := *f
	s.Boxes, s.Limiters = nil, nil
	pods := 0
	for _, b := range f.Boxes {
		pods = max(pods, b.Pod+1)
	}
	for i := range boxes {
		b := f.Boxes[i%len(f.Boxes)]
		b.Pod += pods * (i / len(f.Boxes))
		b.Name, b.Dial = scaledName("b", i), ""
		s.Boxes = append(s.Boxes, b)
	}
	for i := range limiters {
		l := f.Limiters[i%len(f.Limiters)]
		l.Name, l.Listen, l.Peer, l.Admin = scaledName("n", i), "", "", ""
		s.Limiters = append(s.Limiters, l)
	}
	s.Traffic.Accounts = accounts
	s.Traffic.Rate *= s.Capacity() / f.Capacity()
	return &s
}

func scaledName(name string, i int) string { return name + strconv.Itoa(i) }

// ErrNoLimiter is returned for a name that no limiter of the fleet has.
var ErrNoLimiter = errors.New("no such limiter in the configuration")

// Limiter returns the position of the limiter with a name, or an error that lists the existing names.
func (f *Fleet) Limiter(name string) (int, error) {
	var names []string
	for i, l := range f.Limiters {
		if l.Name == name {
			return i, nil
		}
		names = append(names, l.Name)
	}
	return 0, fmt.Errorf("%w: %q; there are: %s", ErrNoLimiter, name, strings.Join(names, " "))
}
