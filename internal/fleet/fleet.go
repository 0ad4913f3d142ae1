// Package fleet describes a deployment to the daemon and to replays: the classes of
// requests, the plans, the rooms, the limiters, the sender boxes and, for replays, the
// traffic that the accounts send and how the network between all of them behaves.
// Package config reads it from files.
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

// Fleet is a deployment. All slices are in the order of the file.
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
	Tiers    Tiers // of the one pool that has all boxes, by rank; none: all are alike
}

// Tier is a part of a pool's boxes that is preferred to those after it.
type Tier struct {
	Name    string
	Rooms   []int    // of the fleet
	OwnRoom bool     // and the limiter's own
	Labels  []string // and boxes with one of these
	Spill   float64
}

// Tiers are those of a pool by rank.
type Tiers []Tier

// Of is the tier of a box with labels that stands in a room, for a limiter: the first that
// has it. Those of no tier come after all.
func (t Tiers) Of(room int, labels []string, limiterRoom int) int {
	for k := range t {
		if t[k].OwnRoom && room == limiterRoom || slices.Contains(t[k].Rooms, room) ||
			slices.ContainsFunc(labels, func(l string) bool { return slices.Contains(t[k].Labels, l) }) {
			return k
		}
	}
	return len(t)
}

// Spills are the shares that may leave each tier, with a last one for the boxes of none.
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

// Class is one kind of request.
type Class struct {
	Name     string
	Share    float64       // of the arrivals, where a trace names no class; all shares add up to 1
	Work     time.Duration // mean work on one core at speed 1
	Spread   float64       // coefficient of variation of the work; 0: always the mean
	Aim      time.Duration // an answer within this earns the full worth
	Deadline time.Duration // clients give up after this, over all their tries
	Worth    float64
	Late     float64 // share of the worth earned after the aim
	Units    float64 // that a request takes from its quota
	Repeat   limiter.Repeat
	Group    limiter.Group // for keyed classes: who drops repeats
	Window   time.Duration // for keyed classes: how long repeats are dropped
}

// Plan is what accounts of one plan may use, over all limiters together.
type Plan struct {
	Name         string
	Share        float64 // of the arrivals, where a trace names no plan; all shares add up to 1
	Rate         float64 // units a second
	Burst        float64 // units
	CeilingRate  float64 // units a second; 0: no ceiling
	CeilingBurst float64 // units
	Price        float64 // factor on the worth
	BeyondEarns  float64 // share of the worth earned by what is sent on beyond the quota
	OverrunCost  float64 // share of the worth lost by it
}

// Limiter is one limiter of the tier.
type Limiter struct {
	Name   string
	Room   int
	Listen string // host:port for clients
	Peer   string // host:port for the other limiters; empty: no talk
	Admin  string // host:port for operators; empty: none
	Fleet  string // host:port for the other limiters, to agree on duties; empty: none
}

// Box is one sender box.
type Box struct {
	Name        string
	Room        int
	Labels      []string
	Pod         int // boxes of one pod drop each other's repeats
	Dial        string
	Cores       float64
	Speed       float64 // work done by a core in a second, in seconds of work
	Slots       int     // requests that run at once
	Queue       int     // requests that wait; past them it turns away
	Thrash      float64 // efficiency lost for each request a core beyond ThrashAt
	ThrashAt    float64
	Connections int           // it holds at most
	Handshake   time.Duration // work of a new connection
	ColdFrom    float64       // share of its capacity that it starts with
	ColdFor     time.Duration // it is warm after this at the latest
	WarmAfter   int           // or after so many requests; 0: by time alone
	Report      Report
	ErrorRate   float64 // share of requests that fail on an ordinary day
}

// Report says how a box tells its load.
type Report struct {
	Every time.Duration // it is measured anew so often
	Delay time.Duration // and told so much later
	Noise float64       // relative standard deviation
}

// Rules are the figures of the rules.
type Rules struct {
	DrainGrace   time.Duration // nothing new later than this after a limiter was told
	FallFactor   float64       // this many times what a cold box can do ...
	FallFor      time.Duration // ... for so long makes it fall over
	CeilingSlack float64       // share by which a ceiling may be passed
	Attempts     int           // of one request at most
}

// Network is how the parts reach each other. Delays are one way.
type Network struct {
	SameRoom, CrossRoom, Client time.Duration
	Jitter                      float64       // relative, uniform to both sides
	Connect                     time.Duration // connect time-out
	Idle                        time.Duration // a box closes a connection idle so long
	PeerLeast, PeerMost         time.Duration // a message between limiters takes
	PeerLoss                    float64
	PeerIn                      float64       // messages a second that a limiter takes in
	ListLeast, ListMost         time.Duration // a change of the list reaches a limiter after
	SilentNotice                time.Duration // and that of a box that vanished silently so much later
	FrontNotice                 time.Duration // the front sees that a limiter died
}

// Traffic is what accounts send where a trace does not say.
type Traffic struct {
	Accounts  int
	Rate      float64 // requests a second that the accounts ask for
	Swing     float64 // of the rate, as a slow wave
	Retries   int     // tries of a client after its first
	TryShare  float64 // least share of the deadline that a client gives a try
	Backoff   time.Duration
	Heed      float64       // share of clients that heed Retry-After
	MaxAdvice time.Duration // the longest advice that they heed
	SpreadMin float64       // least share of the limiters that an account comes through
	Skew      float64       // of an account's requests over its limiters: weight of rank k is 1/k^Skew
	Shift     time.Duration // its busiest limiters change so often
	Heavy     float64       // share of accounts that ask for HeavyX times their share
	HeavyX    float64
}

// Limits bound one limiter started with `madderdrum serve`; 0 is no limit.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// cold returns the least first share and the longest warm-up of any box: the figures that limiters are told.
func (f *Fleet) coldStart() (from float64, longest time.Duration) {
	from = 1
	for _, b := range f.Boxes {
		from, longest = min(from, b.ColdFrom), max(longest, b.ColdFor)
	}
	return from, longest
}

// Settings are what the limiter at a position is told of the fleet.
func (f *Fleet) Settings(position int) limiter.Settings {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	from, longest := f.coldStart()
	s := limiter.Settings{
		Position: position, Balancers: len(f.Limiters), Zone: f.Limiters[position].Room,
		PeerInPerS: f.Network.PeerIn, CrossPrice: 0.02,
		Caps: limiter.Caps{Attempts: f.Rules.Attempts, Cancel: true, Peers: len(f.Limiters) > 1 && f.Network.PeerIn > 0,
			Probes: true, RetryAfter: f.Traffic.MaxAdvice > 0, MaxWaitMs: ms(f.Traffic.MaxAdvice),
			ConnectMs: ms(f.Network.Connect)},
		Rules: limiter.Rules{ColdShare: from, ColdMs: ms(longest),
			OverloadFactor: f.Rules.FallFactor, FallMs: ms(f.Rules.FallFor)},
	}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, limiter.Class{Repeat: c.Repeat, Group: c.Group, AimMs: ms(c.Aim),
			DeadlineMs: ms(c.Deadline), WindowMs: ms(c.Window), Worth: c.Worth, LateShare: c.Late})
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

// Capacity is the work that all boxes can do in a second when warm, in
// seconds of work.
func (f *Fleet) Capacity() float64 {
	sum := 0.0
	for _, b := range f.Boxes {
		sum += b.Cores * b.Speed
	}
	return sum
}

// MeanWork is the mean work of a request over the classes' shares.
func (f *Fleet) MeanWork() time.Duration {
	sum := 0.0
	for _, c := range f.Classes {
		sum += c.Share * float64(c.Work)
	}
	return time.Duration(sum)
}

// MostUnits are the units of the class that takes most.
func (f *Fleet) MostUnits() float64 {
	most := 0.0
	for _, c := range f.Classes {
		most = max(most, c.Units)
	}
	return most
}

// Scale returns the fleet with so many times as many boxes, limiters and
// accounts, and with as much more traffic as there are more boxes. Copies take
// the names, rooms and pods of a fresh set; they have no addresses.
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

// ErrNoLimiter tells that a fleet has no limiter of a name.
var ErrNoLimiter = errors.New("no such limiter in the configuration")

// Limiter returns the position of a limiter, or an error that names those
// there are.
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
