package world

import (
	"time"
)

// AnswerKind is the kind of answer that a client received for a try.
type AnswerKind int

// Kinds of answers to a try.
const (
	GotServed AnswerKind = iota
	GotRefused
	GotFailed
	GotBroken // the connection closed without an answer, or could not be opened
)

// ResponseFault is how the network damages a response of a box on its way to the limiter.
type ResponseFault int

// Ways in which a response arrives.
const (
	NoResponseFault ResponseFault = iota
	Garbled                       // it can't be parsed
	Halved                        // it ends in the middle as the connection closes
	Stalled                       // it starts and never completes
	Cut                           // the connection is reset instead
)

// Health is the state of a box that discovery reports.
type Health int

// States of a box in discovery.
const (
	Ready Health = iota
	DrainRequested
	Gone
)

// Entry is one box in the list that discovery sends to limiters.
type Entry struct {
	Box       int // index in World.Boxes; limiters know the box by its name
	Addr      int // its address, which a replacement may use by now
	Health    Health
	StartedAt time.Duration // last start; negative if before the simulation
}

// Action is something that the driver must carry out immediately.
type Action interface{ action() }

// Kinds of actions.
type (
	// ClientSends sends a try to its limiter.
	ClientSends struct{ Try *Try }
	// ClientLeaves is a client that gives up a try at its deadline and disconnects.
	ClientLeaves struct{ Try *Try }
	// BoxAnswers is the response of a box to a job, and the fault of the network that affects it.
	BoxAnswers struct {
		Box     int
		Done    Done
		Load    Load
		HasLoad bool
		Fault   ResponseFault
	}
	// BoxStarts is a box whose process now accepts connections at its address.
	BoxStarts struct{ Box int }
	// BoxResets closes the connections of the given jobs and all idle connections of the box. If
	// Silent, the jobs are lost but no connection is closed, as when a machine loses power.
	BoxResets struct {
		Box    int
		Jobs   []uint64
		Silent bool
	}
	// BoxCrashes is a cold box that crashed from overload. A BoxResets follows.
	BoxCrashes struct{ Box int }
	// DiscoveryUpdate is an update of discovery's list for one limiter.
	DiscoveryUpdate struct {
		Limiter  int
		Complete bool
		Entries  []Entry
	}
	// DeliverPeerMessage delivers a message of another limiter.
	DeliverPeerMessage struct {
		To, From int
		Data     []byte
	}
	// KillLimiter kills a limiter, StopLimiter shuts it down gracefully, and
	// StartLimiter starts it again.
	KillLimiter  struct{ Limiter int }
	StopLimiter  struct{ Limiter int }
	StartLimiter struct{ Limiter int }
	// Due returns the value that the driver scheduled with After.
	Due struct{ What any }
	// Happened describes a fault that begins or ends, or a box that crashed from overload.
	Happened struct{ Text string }
)

func (ClientSends) action()        {}
func (ClientLeaves) action()       {}
func (BoxAnswers) action()         {}
func (BoxResets) action()          {}
func (BoxCrashes) action()         {}
func (BoxStarts) action()          {}
func (DiscoveryUpdate) action()    {}
func (DeliverPeerMessage) action() {}
func (KillLimiter) action()        {}
func (StopLimiter) action()        {}
func (StartLimiter) action()       {}
func (Due) action()                {}
func (Happened) action()           {}
