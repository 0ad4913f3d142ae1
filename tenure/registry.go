package tenure

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Kind is the type of a command.
type Kind string

// Kinds of commands.
const (
	Take     Kind = "take"     // a candidate starts a term
	Renew    Kind = "renew"    // the owner extends its term
	Resign   Kind = "resign"   // the owner has stopped and gives the duty up
	Transfer Kind = "transfer" // an operator requests another owner
)

// Command is a change that a limiter proposes. It takes effect when it is applied, in the same order
// on all limiters. A command that no longer matches the current term is rejected then.
type Command struct {
	Kind   Kind
	By     Process
	Duty   string
	Epoch  uint64 // of the term that the command refers to, as the proposer saw it
	Serial uint64 // Take: serial of that term, as the proposer saw it
	Mine   uint64 // Take, Renew: the proposer's own number of this command, rising
	To     string // Transfer: name of the limiter
	AtMs   int64  // wall clock in Unix ms, shown to operators only
}

// Term is the current or the last term of a duty.
type Term struct {
	Duty   string
	Epoch  uint64  // the fencing token; 0: the duty never had an owner
	Owner  Process // empty limiter: no owner, the duty may be taken at once
	Serial uint64  // the owner's number of the command that last extended the term
	Next   string  // the limiter that an operator wants as owner
	Takes  int     // number of terms so far
}

// Owned reports whether the duty has an owner according to the replicated state.
func (t *Term) Owned() bool { return t.Owner.Limiter != "" }

// Change is an entry in the history of terms.
type Change struct {
	Duty  string
	Epoch uint64
	Kind  Kind
	Owner string
	AtMs  int64 // wall clock of the proposer
}

// maxHistory bounds the changes that are kept, maxDuties the number of duties.
const (
	maxHistory = 256
	maxDuties  = 4096
)

// generationShift is the bit at which an epoch carries the fleet's generation. A fleet that was reset
// without its majority thus has higher epochs than any that may have been given before.
const generationShift = 40

// Registry is the replicated state of all terms. The zero value is empty. It is not safe for concurrent
// use.
type Registry struct {
	Generation uint64 // how often the fleet was reset
	Terms      map[string]*Term
	History    []Change // oldest first
}

// Apply applies a command. The error says why it has no effect: another command came first.
func (r *Registry) Apply(c Command) error {
	term := r.Terms[c.Duty]
	if term == nil {
		if c.Kind != Take || c.Duty == "" || len(r.Terms) >= maxDuties {
			return fmt.Errorf("%s: there is no duty %.40q", c.Kind, c.Duty)
		}
		term = &Term{Duty: c.Duty}
	}
	owned := term.Owner == c.By && term.Owned() && term.Epoch == c.Epoch
	switch {
	case c.Kind == Transfer:
		term.Next = c.To
		return nil
	case c.Kind == Take:
		if term.Epoch != c.Epoch || term.Serial != c.Serial || c.By.Limiter == "" {
			return fmt.Errorf("take %s: its term is %d.%d now, not %d.%d", c.Duty, term.Epoch, term.Serial, c.Epoch, c.Serial)
		}
		if r.Terms == nil {
			r.Terms = map[string]*Term{}
		}
		r.Terms[c.Duty] = term
		term.Epoch, term.Owner, term.Serial = max(term.Epoch, r.Generation<<generationShift)+1, c.By, c.Mine
		term.Takes++
		term.Next = "" // the transfer is done, or was too late
	case !owned:
		return fmt.Errorf("%s %s: epoch %d of %s is over", c.Kind, c.Duty, c.Epoch, c.By.Limiter)
	case c.Kind == Renew:
		term.Serial = max(term.Serial, c.Mine)
		return nil
	case c.Kind == Resign:
		term.Owner = Process{}
	default:
		return fmt.Errorf("there is no command %.20q", c.Kind)
	}
	r.History = append(r.History, Change{c.Duty, term.Epoch, c.Kind, c.By.Limiter, c.AtMs})
	if excess := len(r.History) - maxHistory; excess > 0 {
		r.History = slices.Delete(r.History, 0, excess)
	}
	return nil
}

// CurrentEpoch returns the epoch of a duty's current or last term; 0: there was none.
func (r *Registry) CurrentEpoch(duty string) uint64 {
	if t := r.Terms[duty]; t != nil {
		return t.Epoch
	}
	return 0
}

// SortedTerms returns the terms sorted by duty.
func (r *Registry) SortedTerms() []*Term {
	return slices.SortedFunc(maps.Values(r.Terms), func(a, b *Term) int { return cmp.Compare(a.Duty, b.Duty) })
}

// Reset voids all tokens that were ever given, when the fleet goes on without the majority that knew
// them. All terms lose their owners, and the next epochs are higher than all earlier ones.
func (r *Registry) Reset(generation uint64) {
	r.Generation = max(r.Generation+1, generation)
	for _, t := range r.Terms {
		t.Owner, t.Next = Process{}, ""
		t.Epoch = max(t.Epoch, r.Generation<<generationShift)
	}
}
