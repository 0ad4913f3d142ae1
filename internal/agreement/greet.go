package agreement

import "fmt"

// Hello is the first message on a connection, in both directions: it identifies the sender.
type Hello struct {
	Label      string // the fleet's label in the configuration
	Fleet      uint64 // random ID of the fleet, drawn when it was initialized; 0: the sender is in no fleet yet
	Generation uint64 // how often the fleet was re-initialized from a single member
	Name       string // of the limiter
	Member     uint64 // Raft ID of the member
	Start      uint64 // number of process starts from this folder
	Mark       uint64 // random ID of this process
	To         string // name of the intended receiver
	For        string `json:",omitempty"` // purpose of the stream; empty for Raft messages
}

// Verdict is a receiver's decision on a hello.
type Verdict int

// Verdicts; their numbers are sent to the peer.
const (
	Welcome        Verdict = iota // accepted: messages of the sender are processed
	Foreign                       // meant for another limiter or fleet: a configuration error
	StaleFolder                   // the sender's folder is an old version or a copy
	DuplicateName                 // another process is active under the sender's name
	PeerSuperseded                // the fleet was re-initialized without the sender of the hello
	SelfSuperseded                // the fleet was re-initialized without the receiver of the hello
)

var verdictNames = [...]string{"welcome", "foreign", "old folder", "twin", "outdone", "behind"}

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprint("verdict ", int(v))
	}
	return verdictNames[v]
}

// incarnation identifies one process of a member; the last known one is stored by its peers.
type incarnation struct {
	Start, Mark uint64
}

// judgeHello decides on a peer's hello. own is this member's identity, last the last known incarnation of the
// peer, and activeMember the member that was recently active under the peer's name (0: none). If record is
// true the peer's incarnation is new and must be stored before the answer is sent.
func judgeHello(own, peer Hello, last incarnation, activeMember uint64) (verdict Verdict, reason string, record bool) {
	switch {
	case peer.Label != own.Label:
		return Foreign, fmt.Sprintf("fleet %q, this is %q", peer.Label, own.Label), false
	case peer.To != own.Name:
		return Foreign, fmt.Sprintf("it means limiter %q, this is %q", peer.To, own.Name), false
	case peer.Member == 0 || peer.Start == 0:
		return Foreign, "it has no number", false
	case peer.Fleet != 0 && own.Fleet != 0 && peer.Fleet != own.Fleet:
		return Foreign, fmt.Sprintf("another fleet of the same name was begun: %016x, this is %016x", peer.Fleet, own.Fleet), false
	case peer.Start < last.Start:
		return StaleFolder, fmt.Sprintf("its folder is older than what was heard of it: start %d, heard %d", peer.Start, last.Start), false
	case peer.Start == last.Start && last.Mark != 0 && peer.Mark != last.Mark:
		// A copy that runs elsewhere cannot be told from a folder restored from before its last start.
		// Continuing under a new member ID is safe in both cases.
		return StaleFolder, fmt.Sprintf("another process has started from its folder or a copy: start %d was heard with another mark", peer.Start), false
	case peer.Name == own.Name, activeMember != 0 && activeMember != peer.Member:
		return DuplicateName, fmt.Sprintf("another process is at work as %q", peer.Name), false
	case peer.Fleet != 0 && peer.Fleet == own.Fleet && peer.Generation < own.Generation:
		return PeerSuperseded, fmt.Sprintf("the fleet was begun anew: generation %d, its %d", own.Generation, peer.Generation), true
	case peer.Fleet != 0 && peer.Fleet == own.Fleet && peer.Generation > own.Generation:
		return SelfSuperseded, fmt.Sprintf("the fleet was begun anew without this limiter: generation %d, here %d", peer.Generation, own.Generation), true
	}
	return Welcome, "", peer.Start > last.Start || last.Mark != peer.Mark
}

// mustStaySilent reports whether a member that has started must not send messages yet. A voter first has to be
// welcomed by enough other voters to form a majority with them, so that a voter with an outdated folder is
// detected before it votes or acknowledges anything.
func mustStaySilent(voters []uint64, self uint64, welcomed map[uint64]bool) bool {
	isVoter, welcomes := false, 0
	for _, id := range voters {
		isVoter = isVoter || id == self
		if id != self && welcomed[id] {
			welcomes++
		}
	}
	return isVoter && welcomes < len(voters)/2
}
