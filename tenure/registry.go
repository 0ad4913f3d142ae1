package tenure

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Kind is what a command asks for.
type Kind string

// The kinds of commands.
const (
	Take     Kind = "take"     // a candidate begins a term
	Renew    Kind = "renew"    // its owner makes it longer
	Resign   Kind = "resign"   // its owner has stopped and gives it up
	Transfer Kind = "transfer" // an operator wants another owner
)

// Command is a change that a limiter proposes. It takes effect when it is applied, in the
// same order everywhere; one that no longer fits is refused there.
type Command struct {
	Kind   Kind
	By     Process
	Duty   string
	Epoch  uint64 // of the term that it is about: as the proposer saw it
	Serial uint64 // Take: of that term as the proposer saw it
	Mine   uint64 // Take, Renew: the proposer's number for this command; rises
	To     string // Transfer: the limiter
	AtMs   int64  // wall clock in Unix ms, for operators alone
}

// Term is a duty's present term, or its last one.
type Term struct {
	Duty   string
	Epoch  uint64  // the fencing token; 0: nobody has owned it yet
	Owner  Process // the limiter is empty: nobody, it may be taken at once
	Serial uint64  // the owner's number of the command that last made it longer
	Next   string  // whom an operator wants to have it
	Takes  int     // terms begun
}

// Owned tells whether somebody owns it, as far as is agreed.
func (t *Term) Owned() bool { return t.Owner.Limiter != "" }

// Change is an entry of the history.
type Change struct {
	Duty  string
	Epoch uint64
	Kind  Kind
	Owner string
	AtMs  int64 // wall clock of the one who proposed it
}

// mostHistory bounds the changes that are remembered, mostDuties the duties.
const (
	maxHistory = 256
	maxDuties  = 4096
)

// generationShift: an epoch has the fleet's generation above it, so that a fleet that was
// begun anew without its majority has higher epochs than any that may have been given.
const generationShift = 40

// Registry is what all limiters agree on of terms. The zero value is empty. It is not safe
// for concurrent use.
type Registry struct {
	Generation uint64 // how often the fleet was begun anew
	Terms      map[string]*Term
	History    []Change // oldest first
}

// Apply carries out a command. An error says why it has no effect: another one came first.
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
		term.Next = "" // it has it, or had its time
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

// Current is the epoch of a duty's present or last term; 0: there was none.
func (r *Registry) Current(duty string) uint64 {
	if t := r.Terms[duty]; t != nil {
		return t.Epoch
	}
	return 0
}

// Sorted are the terms by duty.
func (r *Registry) Sorted() []*Term {
	return slices.SortedFunc(maps.Values(r.Terms), func(a, b *Term) int { return cmp.Compare(a.Duty, b.Duty) })
}

// BeginAnew voids all tokens that were ever given: the fleet goes on without the majority
// that knew them. Terms have no owner, and the next epochs are above all before.
func (r *Registry) BeginAnew(generation uint64) {
	r.Generation = max(r.Generation+1, generation)
	for _, t := range r.Terms {
		t.Owner, t.Next = Process{}, ""
		t.Epoch = max(t.Epoch, r.Generation<<generationShift)
	}
}
