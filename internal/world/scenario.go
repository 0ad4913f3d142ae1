package world

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/internal/fleet"
)

// Target is the kind of component that a fault affects.
type Target int

// Targets of faults.
const (
	AtBox Target = iota
	AtRoom
	AtFleet
	AtLimiter
	AtPeers
	AtList
	AtAccounts
)

// Fault is one fault of a scenario: its target, effect and time span.
type Fault struct {
	Target          Target
	Index           int    // of the box, room or limiter
	Verb            string // effect, one of faultVerbs of the target
	Value           float64
	UnreachableRoom int // the room that a limiter can't reach
	From            time.Duration
	To              time.Duration // 0: permanent
	Silent          bool          // a lost room becomes unreachable; otherwise its processes die
	WithLimiters    bool          // the limiters of the room are lost too
	Text            string        // source line
}

// faultVerbs lists the verbs of each target with the kind of their value: "" for none, "factor",
// "share" or "room" (the name of a room).
var faultVerbs = map[Target]map[string]string{
	AtBox: {"hangs": "", "dies": "", "vanishes": "", "drains": "", "restarts": "", "replaced": "", "leaves": "", "joins": "",
		"slows": "factor", "fails": "share", "garbles": "share", "halves": "share", "stalls": "share", "cuts": "share"},
	AtRoom:     {"lost": "", "parted": "", "unlisted": ""},
	AtFleet:    {"slows": "factor"},
	AtLimiter:  {"killed": "", "restarts": "", "loses": "room"},
	AtPeers:    {"cut": "", "lose": "share"},
	AtList:     {"silent": ""},
	AtAccounts: {"shift": "share"},
}

var responseFaults = map[string]ResponseFault{"garbles": Garbled, "halves": Halved, "stalls": Stalled, "cuts": Cut}

// Scenario parses faults, one per line. Empty lines and lines that begin with # are skipped. A verb may
// be preceded by "is" or "are":
//
//	box a3 hangs from 2s to 5s
//	box a1 fails 60% from 4s to 9s         this share of requests fails
//	box b2 slows 3 from 4s to 9s
//	box a1 garbles 20% from 4s to 9s       this share of responses can't be parsed; also halves,
//	                                       stalls and cuts
//	box a0 restarts at 5s                  its process restarts, cold
//	box a0 is replaced at 5s               another box takes over its address
//	room room-a is lost from 8s to 20s silently with limiters
//	room room-a is unlisted from 8s to 20s discovery drops its boxes, which are healthy
//	fleet slows 2.5 from 3s to 9s          the dependency that all boxes share
//	limiter n2 is killed at 8s for 2s
//	limiter n0 loses room room-b from 3s to 9s
//	peers are cut from 3s to 9s
//	room room-a is parted from 3s to 9s    its limiters and those of other rooms can't communicate
//	list is silent from 3s to 9s           discovery sends no updates
//	accounts shift 40% at 9s               this share moves to other limiters of theirs
//
// An error names the line and the expected syntax.
func Scenario(f *fleet.Fleet, text string) ([]Fault, error) {
	var all []Fault
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fault, err := parseFault(f, line)
		if err != nil {
			return nil, fmt.Errorf("scenario line %d: %q: %w", i+1, line, err)
		}
		all = append(all, fault)
	}
	return all, nil
}

// words is the rest of a line, consumed word by word.
type words []string

func (w *words) next() string {
	if len(*w) == 0 {
		return ""
	}
	first := (*w)[0]
	*w = (*w)[1:]
	return first
}

func parseFault(f *fleet.Fleet, line string) (Fault, error) {
	w := words(strings.Fields(line))
	fault := Fault{Text: line}
	names := func(n int, name func(int) string) []string {
		all := make([]string, n)
		for i := range n {
			all[i] = name(i)
		}
		return all
	}
	var candidates []string
	switch kind := w.next(); kind {
	case "box":
		fault.Target, candidates = AtBox, names(len(f.Boxes), func(i int) string { return f.Boxes[i].Name })
	case "room":
		fault.Target, candidates = AtRoom, f.Rooms
	case "limiter":
		fault.Target, candidates = AtLimiter, names(len(f.Limiters), func(i int) string { return f.Limiters[i].Name })
	case "fleet":
		fault.Target = AtFleet
	case "peers":
		fault.Target = AtPeers
	case "list":
		fault.Target = AtList
	case "accounts":
		fault.Target = AtAccounts
	default:
		return fault, fmt.Errorf("begins with %q; begin with box, room, limiter, fleet, peers, list or accounts", kind)
	}
	var err error
	if candidates != nil {
		if fault.Index, err = indexOf(candidates, w.next()); err != nil {
			return fault, err
		}
	}
	if fault.Verb = w.next(); fault.Verb == "is" || fault.Verb == "are" {
		fault.Verb = w.next()
	}
	valueKind, isKnown := faultVerbs[fault.Target][fault.Verb]
	if !isKnown {
		return fault, fmt.Errorf("%q is none of what can happen there: %s", fault.Verb, strings.Join(slices.Sorted(maps.Keys(faultVerbs[fault.Target])), ", "))
	}
	switch valueKind {
	case "share":
		number, percent := strings.CutSuffix(w.next(), "%")
		v, err := strconv.ParseFloat(number, 64)
		if err != nil || !percent || !(v >= 0 && v <= 100) {
			return fault, fmt.Errorf("%s takes a share such as 40%%", fault.Verb)
		}
		fault.Value = v / 100
	case "factor":
		if fault.Value, err = strconv.ParseFloat(w.next(), 64); err != nil || !(fault.Value >= 0.01 && fault.Value <= 1000) {
			return fault, fmt.Errorf("%s takes a factor from 0.01 to 1000, such as 2.5", fault.Verb)
		}
	case "room":
		if w.next() != "room" {
			return fault, fmt.Errorf("%s takes a room, such as: loses room %s", fault.Verb, f.Rooms[0])
		}
		if fault.UnreachableRoom, err = indexOf(f.Rooms, w.next()); err != nil {
			return fault, err
		}
	}
	for len(w) > 0 {
		switch word := w.next(); word {
		case "from", "at":
			if fault.From, err = parseDuration(word, w.next()); err != nil {
				return fault, err
			}
		case "to":
			if fault.To, err = parseDuration(word, w.next()); err != nil {
				return fault, err
			}
		case "for":
			d, err := parseDuration(word, w.next())
			if err != nil {
				return fault, err
			}
			fault.To = fault.From + d
		case "silently":
			fault.Silent = true
		case "with":
			if fault.Target != AtRoom || w.next() != "limiters" {
				return fault, fmt.Errorf("only a room may be lost \"with limiters\"")
			}
			fault.WithLimiters = true
		default:
			return fault, fmt.Errorf("%q is not understood; a time is \"from 2s to 5s\" or \"at 2s for 3s\"", word)
		}
	}
	if fault.To != 0 && fault.To <= fault.From {
		return fault, fmt.Errorf("ends at %v, before it begins at %v", fault.To, fault.From)
	}
	return fault, nil
}

func parseDuration(word, text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s takes a time such as 2s or 1500ms, not %q", word, text)
	}
	return d, nil
}

func indexOf(among []string, name string) (int, error) {
	for i, n := range among {
		if n == name {
			return i, nil
		}
	}
	shown := among[:min(len(among), 12)]
	return 0, fmt.Errorf("%q is not in the fleet; there are %s", name, strings.Join(shown, " "))
}
