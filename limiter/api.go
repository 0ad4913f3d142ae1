// Package limiter implements the policy of one of several load balancers, called limiters, in front of
// shared servers: which requests are admitted and which server gets them, so that each account is held to
// a quota that all limiters share.
//
// A [Limiter] is a state machine without I/O: its host passes it events with the current time and carries
// out the actions that it returns. It uses no goroutines and no clock; equal seeds and equal events give
// equal actions. Times are in milliseconds on a monotonic clock of the host.
//
// An account has two limits, each a token bucket. Its quota is enforced approximately: limiters tell each
// other what they have admitted. Its optional ceiling is never exceeded: each limiter owns a part of it.
package limiter

// Settings describe the deployment to one Limiter. The zero value of an optional field means that the
// deployment has no such limit or feature.
type Settings struct {
	Position         int  // index of this limiter, from 0
	Balancers        int  // number of limiters
	Zone             int  // zone of this limiter
	SubscribeServers bool // subscribe to the server list with [Listen]
	Classes          []Class
	Plans            []Plan
	Caps             Caps
	Rules            Rules
	PeerInPerS       float64 // peer messages that a limiter accepts per second
	TrueUp           bool    // units are an estimate, corrected by the cost in the outcome
	CrossPrice       float64 // price of an attempt at a server in another zone
	// MaxEjectionMs bounds how long a server is ejected for a class: the time doubles each time that the
	// server fails the class again soon after an ejection. 0: it does not grow.
	MaxEjectionMs float64
	AskWithin     float64 // ms within which the server list must be requested again
	// Spills has, for each pool with tiers of preference, the share of a tier's requests that may spill
	// over to the next tier while the tier has usable servers.
	Spills map[uint64][]float64
}

// Class describes a kind of request: its idempotency, its deadlines and its worth.
type Class struct {
	Repeat     Repeat
	Group      Group
	AimMs      float64 // an answer within this time earns the full worth
	DeadlineMs float64 // time that a client waits in total, including its retries
	WindowMs   float64 // how long servers remember the key of a Keyed request
	Worth      float64 // of an answer within AimMs, on any scale
	LateShare  float64 // share of the worth that an answer after AimMs earns
}

// Repeat is the idempotency of a class: whether a request may be executed twice.
type Repeat int

// The kinds of idempotency.
const (
	Safe   Repeat = iota // idempotent
	Keyed                // idempotent within a group of servers, by an idempotency key
	Unsafe               // not idempotent: must never run twice
)

// Group says which servers share the idempotency keys that they remember.
type Group int

// The groups of servers: all, those of a zone and those of a cell.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Plan is what each account of a plan may use, over all limiters together.
type Plan struct {
	Rate         float64 // quota in units per second; 0: unlimited
	Burst        float64 // size of the quota's bucket in units
	AtOnce       int     // attempts in flight at once; 0: unlimited
	CeilingRate  float64 // hard limit in units per second; 0: none
	CeilingBurst float64 // size of the ceiling's bucket in units
	Price        float64 // factor on the worth of a request
	BeyondEarns  float64 // share of the worth that requests beyond the quota earn
	OverrunCost  float64 // share of the worth lost by admitting requests beyond the quota
}

// Caps are the limits and optional features of the deployment.
type Caps struct {
	Attempts     int     // maximum attempts per request
	Cancel       bool    // attempts can be aborted
	Peers        bool    // limiters can send each other messages
	Probes       bool    // servers can be probed
	RetryAfter   bool    // refusals can tell clients how long to wait
	SecondCopies bool    // a request may have two attempts in flight
	MaxWaitMs    float64 // longest wait that clients follow
	ConnectMs    float64 // connect timeout
}

// Rules are the parameters of the warm-up of servers.
type Rules struct {
	ColdShare      float64 // share of its capacity that a server has at its start
	ColdMs         float64 // time after which it has its full capacity
	OverloadFactor float64 // load, as a multiple of its capacity, that makes a server fail
	FallMs         float64 // if it lasts for this time
}

// Event is an input of the state machine. The event types are [Submit], [Ask],
// [Settle], [Outcome], [Aborted], [Progress], [FirstByte], [Alarm], [Endpoints],
// [Probed], [PeerMessage], [PeerFailure], [Occupancies], [Recall], [Parts] and [Reconfigure].
type Event interface{ event() }

// Submit is a client's request, which gets exactly one final answer.
type Submit struct {
	ID        string
	ExpiresMs float64 // time until the client gives up
	Units     float64 // cost of the request
	Class     int     // index into Settings.Classes
	Plan      int     // index into Settings.Plans
	Retry     bool    // the client has marked it as a retry
	Account   uint64  // ID of the account
	Spread    int     // number of limiters that the account's requests come through
	First     int     // position of the first of them; the others follow it
	Pool      uint64  // pool whose servers may take it; 0 if there is only one
	Attempts  int     // maximum attempts, if fewer than Caps.Attempts; 0: no own limit
	// Leased is the number of units that an [Ask] has leased here for this request. The lease pays for
	// the request and ends with it. 0: the request is charged itself.
	Leased float64
	// QuotaChecked means that another limiter has leased units for the request and checked the quota. The
	// request is charged here as well, and the ceiling here must have room for it.
	QuotaChecked bool
	Advice       Advice // of plug-ins
}

// Ask asks whether a request may proceed that this limiter does not proxy. It is decided like a Submit,
// by quota, ceiling, pressure and worth, but not sent to a server. The answer, a [Grant] or a [Refuse], is
// immediate. Granted units are spent or, with Lease, held until a [Settle] or the Submit that they were
// leased for.
type Ask struct {
	Submit
	Lease bool
}

// Settle ends a lease: its units are spent or, with Back, refunded.
type Settle struct {
	Account uint64
	Units   float64
	Refund  bool
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID      string
	Try     int // number of the attempt of the request, from 0
	Server  uint64
	Result  Result
	SpentMs float64 // time since the attempt was sent
	Done    bool    // the client has its final answer
	Cost    float64 // actual units with Settings.TrueUp; otherwise 0
	Load    Load
}

// Aborted means that the client has cancelled the request.
type Aborted struct{ ID string }

// Progress means that the body of a long request is still being sent to the attempt's server.
type Progress struct {
	ID           string
	Try          int
	LeftMs       float64 // time that the client will wait once the last byte is sent
	BodyReleased bool    // the body is no longer buffered, so the request can't be retried
}

// FirstByte means that a streamed answer has begun, so the request can't be retried.
type FirstByte struct {
	ID  string
	Try int
}

// Alarm is a [Timer] that is due.
type Alarm struct{ Handle string }

// Endpoints is a list of servers from service discovery.
type Endpoints struct {
	Scope   Scope
	Servers []ServerInfo
}

// Probed is the result of a [Probe].
type Probed struct {
	Server  uint64
	Result  Result
	SpentMs float64
	Load    Load
}

// PeerMessage is a message from another limiter, sent by its [Tell].
type PeerMessage struct {
	From int // position of the sender
	Data []byte
}

// Occupancies reports how many requests servers have besides those that this limiter has sent to them by
// their IDs here: those of other limiters, and its own through other pools. A figure is valid until the
// next one for the server.
type Occupancies struct{ Servers []Occupancy }

// Occupancy is the reported occupancy of one server.
type Occupancy struct {
	Server uint64
	Others float64 // requests from elsewhere; a fraction if estimated
	Slots  float64 // requests that the server processes in parallel
}

// Reconfigure replaces the classes, plans, rules and caps. The identity of this limiter and of its peers
// (Position, Balancers, Zone, Peers, PeerInPerS) can't change. Classes and Plans map each old index to the
// new one, or to -1 if the class or plan is removed.
type Reconfigure struct {
	Settings       Settings
	Classes, Plans []int
}

// Recall passes on what a predecessor has learned, with its times adjusted by the caller. It is sent at
// most once, after the first list of servers.
type Recall struct{ Memory *Memory }

func (Submit) event()      {}
func (Occupancies) event() {}
func (Recall) event()      {}
func (Reconfigure) event() {}
func (Settle) event()      {}
func (Outcome) event()     {}
func (Aborted) event()     {}
func (FirstByte) event()   {}
func (Progress) event()    {}
func (Alarm) event()       {}
func (Endpoints) event()   {}
func (Probed) event()      {}
func (PeerMessage) event() {}

// Scope says how a list of servers relates to the one before.
type Scope int

// The scopes of a list.
const (
	Partial   Scope = iota // changed entries only
	Complete               // the whole list
	Persisted              // the whole list, possibly stale
	Failed                 // the request failed; the old list stays valid
)

// ServerInfo describes one server of a list.
type ServerInfo struct {
	ID      uint64
	Kind    int
	Zone    int
	Cell    int
	ReadyAt float64 // start of its process; 0: long ago
	Phase   Phase
	Weight  float64
	Pool    uint64 // the pool that it is in
	Tier    int    // tier of its pool; 0 is the most preferred
	// Far is a surcharge on the expected time of an answer: 0 for a near server, 1 to count the time
	// twice. It stands for costs of distance other than time.
	Far float64
}

// Phase is a server's state according to service discovery.
type Phase int

// The phases of a server.
const (
	Up Phase = iota
	Draining
	Removed
)

// Load is the load that a server reported with an answer. Negative fields were not reported.
type Load struct {
	Busy, Pending, ServiceMs float64
}

// Result is how an attempt or a probe ended.
type Result int

// The results. NoRoom, NoRoute and StaleSend prove that the request did not run.
const (
	Pass      Result = iota // success
	Fault                   // the server answered with an error
	NoRoom                  // the server refused it for overload
	TooSlow                 // timeout
	NoRoute                 // the connection failed
	Cut                     // the connection broke before the answer was complete
	Undone                  // the attempt was aborted
	StaleSend               // the host did not send it, as the request was already over
	Spoilt                  // an unusable answer that says nothing about the server
)

// Action is an instruction to the host. The action types are [PassOn],
// [Refuse], [Grant], [Fail], [AbortAttempt], [Timer], [Probe], [Tell], [Log],
// [Listen] and [QueryAll].
type Action interface{ action() }

// PassOn sends an attempt of a request to a server.
type PassOn struct {
	ID     string
	CapMs  float64 // timeout; 0: until the client gives up
	Server uint64
}

// Grant answers an [Ask]: the request may proceed.
type Grant struct{ ID string }

// Refuse is a final answer: the request did not run, or a retry does no harm.
type Refuse struct {
	ID     string
	WaitMs float64 // how long the client should wait; 0: unspecified
	Why    Reason
}

// Fail is a final answer for a request that may have run.
type Fail struct{ ID string }

// AbortAttempt cancels an attempt.
type AbortAttempt struct {
	ID  string
	Try int
}

// Timer requests an [Alarm] at a time.
type Timer struct {
	At     float64
	Handle string // passed back with the Alarm
}

// Probe requests a health check of a server, answered by [Probed].
type Probe struct{ Server uint64 }

// Tell sends a message to another limiter, which gets it as a [PeerMessage].
type Tell struct {
	To   int // position of the recipient
	Data []byte
}

// Log writes a line to the log.
type Log struct{ Line string }

// Listen subscribes to changes of the server list.
type Listen struct{}

// QueryAll requests the whole server list once.
type QueryAll struct{}

func (PassOn) action()       {}
func (Refuse) action()       {}
func (Grant) action()        {}
func (Fail) action()         {}
func (AbortAttempt) action() {}
func (Timer) action()        {}
func (Probe) action()        {}
func (Tell) action()         {}
func (Log) action()          {}
func (Listen) action()       {}
func (QueryAll) action()     {}
