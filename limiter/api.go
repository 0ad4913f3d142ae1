// Package limiter decides, for a gateway in front of a shared back end,
// which requests pass and which server gets them, so that every customer is
// held to a quota shared by all gateways.
//
// A [Limiter] is a state machine without input or output of its own: the host
// hands it events together with the current time and carries out the actions
// it returns. It keeps no goroutine and reads no clock; equal seeds and equal
// events give equal actions. Times are in milliseconds on a clock of the
// host's that never goes backwards.
package limiter

// Settings describe the deployment to one Limiter. The zero value of an
// optional field means that the deployment has no such limit or facility.
type Settings struct {
	Position   int // this gateway's number, from 0
	Balancers  int // gateways in all
	Zone       int // this gateway's zone
	AskMembers bool
	Classes    []Class
	Plans      []Plan
	Caps       Caps
	Rules      Rules
	PeerInPerS float64 // messages a second that a gateway takes in
	TrueUp     bool    // units are a guess, settled by the answer
	CrossPrice float64 // price of one attempt that crosses zones
	// IllMostMs is how long at most a class is kept off a server that fails it anew each time that
	// it is used again: twice as long each time. 0: the same time each time.
	IllMostMs float64
	AskWithin float64 // ms within which membership must be asked again
	// Spills are pools with tiers of preference: of each tier the share of requests that
	// may spill to the next one while it has servers that can be used.
	Spills map[uint64][]float64
}

// Class describes one kind of request.
type Class struct {
	Repeat     Repeat
	Group      Group
	AimMs      float64 // an answer within this earns the full worth
	DeadlineMs float64
	WindowMs   float64 // how long repeats of a key are dropped
	Worth      float64
	LateShare  float64 // share of the worth earned after the aim
}

// Repeat tells what a second execution of a request would do.
type Repeat int

// The idempotency classes.
const (
	Safe   Repeat = iota // repeating does no harm
	Keyed                // repeats are dropped inside a group of servers
	Unsafe               // must never run twice
)

// Group names the servers that drop each other's repeats of a key.
type Group int

// The groups of servers that share remembered keys.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Plan is what customers of one plan may use, over all gateways together.
type Plan struct {
	Rate         float64 // units a second; 0: no such quota
	Burst        float64 // units the store holds at most
	AtOnce       int     // attempts out at once; 0: no such quota
	CeilingRate  float64 // units a second of the hard ceiling; 0: none
	CeilingBurst float64
	Price        float64 // factor on the worth
	BeyondEarns  float64 // share of the worth earned beyond the quota
	OverrunCost  float64 // share of the worth lost by sending beyond it
}

// Caps are the limits and facilities of the deployment.
type Caps struct {
	Attempts     int // most attempts of one request
	Cancel       bool
	Peers        bool
	Probes       bool
	RetryAfter   bool
	SecondCopies bool
	MaxWaitMs    float64 // longest advice that clients heed
	ConnectMs    float64 // connect time-out
}

// Rules are the figures of the drain and cold-server rules.
type Rules struct {
	ColdShare      float64 // share of capacity a server starts with
	ColdMs         float64 // it is warm after this at the latest
	OverloadFactor float64 // this many times its capacity ...
	FallMs         float64 // ... for this long makes it fall over
}

// Event is something that happened. The event types are [Submit], [Ask],
// [Settle], [Outcome], [Aborted], [Progress], [FirstByte], [Alarm], [Endpoints],
// [Probed], [PeerMessage], [Sighting], [Occupied], [Recall], [Parts] and [Reconfigure].
type Event interface{ event() }

// Submit is a client's request, which is now owed one final answer.
type Submit struct {
	ID        string
	ExpiresMs float64 // time until the client gives up
	Units     float64
	Class     int
	Plan      int
	Retry     bool
	Customer  uint64
	Spread    int    // gateways this customer's requests come through ...
	First     int    // ... in a row from this position
	Pool      uint64 // whose servers may take it; 0 where there is one only
	Attempts  int    // at most, where that is fewer than the deployment's; 0: those
	// Leased are units that an Ask leased here for this request, which is their end:
	// nothing else is taken. 0: the request pays for itself.
	Leased float64
	// Vouched tells that another gateway has leased units for it: the quota has had its
	// say there. It pays here all the same, and the ceiling here has to have room.
	Vouched bool
	Advice  Advice // what plug-ins say of it
}

// Ask asks whether a request may go that this gateway does not carry: the same
// bucket, ceiling, pressure and worth as with Submit, and no server. It is answered
// at once by a [Grant] or a [Refuse]. What is granted is spent, or, with Lease, kept
// until a [Settle] or the Submit that it was leased for.
type Ask struct {
	Submit
	Lease bool
}

// Settle ends a lease: its units are spent for good, or back again.
type Settle struct {
	Customer uint64
	Units    float64
	Back     bool
}

// Outcome tells how one attempt ended.
type Outcome struct {
	ID      string
	Try     int
	Server  uint64
	Result  Result
	SpentMs float64
	Done    bool    // the request has its final answer
	Cost    float64 // true units, where they are settled; else 0
	Load    Load
}

// Aborted tells that the client is gone.
type Aborted struct{ ID string }

// Progress tells that an attempt's request, which is long, still goes on to its server.
type Progress struct {
	ID     string
	Try    int
	LeftMs float64 // time that the client will wait from the last byte on, which is yet to come
	Spent  bool    // the body is not held any more: there can be no further attempt
}

// FirstByte tells that a streamed answer has begun.
type FirstByte struct {
	ID  string
	Try int
}

// Alarm is a [Timer] that is due.
type Alarm struct{ Handle string }

// Endpoints is what discovery tells about the servers.
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

// PeerMessage is what another gateway sent.
type PeerMessage struct {
	From int
	Data []byte
}

// Occupied tells how many requests servers have in hand beside those that this gateway has there by
// their numbers: other gateways', and its own by way of other pools. What is told of a server holds
// until it is told anew.
type Occupied struct{ Servers []InHand }

// InHand is what is told of one server.
type InHand struct {
	Server uint64
	Others float64 // a fraction where it is not known for sure
	Slots  float64 // requests that the server works on at once
}

// Reconfigure has other classes, plans, rules and caps hold from now on. What says who
// this gateway is and whom it talks to (Position, Balancers, Zone, Peers, PeerInPerS)
// holds from the start to the end. Classes and Plans say for each old index which one
// it is now, or -1 if it is gone.
type Reconfigure struct {
	Settings       Settings
	Classes, Plans []int
}

// Recall hands over what a limiter before this one has learnt, aged by whoever kept it. It is
// to come once, behind the first list of servers.
type Recall struct{ Memory *Memory }

func (Submit) event()      {}
func (Occupied) event()    {}
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

// Scope tells how a list of servers relates to the one before.
type Scope int

// The scopes of a list.
const (
	Partial   Scope = iota // changed entries only
	Complete               // the whole list
	Persisted              // the whole list, perhaps stale
	Failed                 // asking failed; the old list holds
)

// ServerInfo is one entry of a list.
type ServerInfo struct {
	ID      uint64
	Kind    int
	Zone    int
	Cell    int
	ReadyAt float64 // when it last started; 0: long ago
	Phase   Phase
	Weight  float64
	Pool    uint64 // the one that it is in
	Tier    int    // of its pool, 0 is preferred
	// Far is by how much more an answer from it counts as it takes: 0 is near, 1 twice as
	// long. It weighs what distance costs besides time.
	Far float64
}

// Phase is a server's state in the list.
type Phase int

// The phases of a server.
const (
	Up Phase = iota
	Draining
	Removed
)

// Load is a server's load report. A negative field was not reported.
type Load struct {
	Busy, Pending, ServiceMs float64
}

// Result is how an attempt or a probe ended.
type Result int

// The results. NoRoom, NoRoute and StaleSend prove that nothing ran.
const (
	Pass Result = iota
	Fault
	NoRoom
	TooSlow
	NoRoute
	Cut
	Undone
	StaleSend
	Spoilt // an answer came that is of no use; it says nothing about the server
)

// Action is something the host is to do. The action types are [PassOn],
// [Refuse], [Grant], [Fail], [AbortAttempt], [Timer], [Probe], [Tell], [Log],
// [Listen] and [QueryAll].
type Action interface{ action() }

// PassOn starts an attempt of a request at a server.
type PassOn struct {
	ID     string
	CapMs  float64 // time-out; 0: until the client gives up
	Server uint64
}

// Grant answers an Ask: the request may go.
type Grant struct{ ID string }

// Refuse is a final answer: nothing ran, trying again does no harm.
type Refuse struct {
	ID     string
	WaitMs float64 // how long to stay away; 0: no advice
	Why    Reason
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// AbortAttempt stops waiting for an attempt.
type AbortAttempt struct {
	ID  string
	Try int
}

// Timer asks for an [Alarm] at a time.
type Timer struct {
	At     float64
	Handle string
}

// Probe asks for a check of a server.
type Probe struct{ Server uint64 }

// Tell sends a message to another gateway.
type Tell struct {
	To   int
	Data []byte
}

// Log is a line for the operators.
type Log struct{ Line string }

// Listen subscribes to changes of the list.
type Listen struct{}

// QueryAll asks for the whole list once.
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
