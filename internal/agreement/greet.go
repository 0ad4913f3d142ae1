package agreement

import "fmt"

// Hello is what a member says first on a connection, and answers.
type Hello struct {
	Label      string // of the fleet in the configuration
	Fleet      uint64 // drawn when the fleet was begun; 0: it is in none yet
	Generation uint64 // how often it was begun anew
	Name       string // of the limiter
	Member     uint64
	Start      uint64 // counts the starts from this folder
	Mark       uint64 // drawn by this process
	To         string // whom it means
	For        string `json:",omitempty"` // what the connection is for; empty: the agreement's messages
}

// Verdict is what is thought of a hello.
type Verdict int

// Verdicts.
const (
	Welcome Verdict = iota // its messages are taken in
	Foreign                // it is not meant, or another fleet's: a mistake in configuration
	OldFolder
	Twin    // another process is at work under its name
	Outdone // its fleet was begun anew without it
	Behind  // ours was begun anew without us
)

var verdicts = [...]string{"welcome", "foreign", "old folder", "twin", "outdone", "behind"}

func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdicts) {
		return fmt.Sprint("verdict ", int(v))
	}
	return verdicts[v]
}

// heard is what is remembered of a member, over restarts.
type heard struct {
	Start, Mark uint64
}

// judge decides on a hello, by what this member is, what it has heard of the other one
// before, and which member is at work under the other's name (0: none of late). note: the
// start and mark are new and to be kept before the answer.
func judge(mine, h Hello, before heard, atWork uint64) (v Verdict, why string, note bool) {
	switch {
	case h.Label != mine.Label:
		return Foreign, fmt.Sprintf("fleet %q, this is %q", h.Label, mine.Label), false
	case h.To != mine.Name:
		return Foreign, fmt.Sprintf("it means limiter %q, this is %q", h.To, mine.Name), false
	case h.Member == 0 || h.Start == 0:
		return Foreign, "it has no number", false
	case h.Fleet != 0 && mine.Fleet != 0 && h.Fleet != mine.Fleet:
		return Foreign, fmt.Sprintf("another fleet of the same name was begun: %016x, this is %016x", h.Fleet, mine.Fleet), false
	case h.Start < before.Start:
		return OldFolder, fmt.Sprintf("its folder is older than what was heard of it: start %d, heard %d", h.Start, before.Start), false
	case h.Start == before.Start && before.Mark != 0 && h.Mark != before.Mark:
		// A copy that runs elsewhere and a folder from before its last start look the same.
		// Going on under another number is safe for both.
		return OldFolder, fmt.Sprintf("another process has started from its folder or a copy: start %d was heard with another mark", h.Start), false
	case h.Name == mine.Name, atWork != 0 && atWork != h.Member:
		return Twin, fmt.Sprintf("another process is at work as %q", h.Name), false
	case h.Fleet != 0 && h.Fleet == mine.Fleet && h.Generation < mine.Generation:
		return Outdone, fmt.Sprintf("the fleet was begun anew: generation %d, its %d", mine.Generation, h.Generation), true
	case h.Fleet != 0 && h.Fleet == mine.Fleet && h.Generation > mine.Generation:
		return Behind, fmt.Sprintf("the fleet was begun anew without this limiter: generation %d, here %d", h.Generation, mine.Generation), true
	}
	return Welcome, "", h.Start > before.Start || before.Mark != h.Mark
}

// silent tells whether a member that has started may not speak yet: a voter needs to be
// heard by so many others that they are a majority with it, so that one whose folder is an
// older one is found out before it promises anything.
func silent(voters []uint64, me uint64, welcomed map[uint64]bool) bool {
	votes, n := false, 0
	for _, id := range voters {
		votes = votes || id == me
		if id != me && welcomed[id] {
			n++
		}
	}
	return votes && n < len(voters)/2
}
