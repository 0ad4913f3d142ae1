package custody

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The model: a holder, two keepers, a spare limiter, boxes, and one request, with every
// interleaving of what is delivered (late, twice, never), of crashes, of terms that end while
// their owner is stopped between its last check and its last byte, and of takers that are lost
// in the middle. It runs the real Hold, Book and Findings.

// bounds are those of one exploration.
type bounds struct {
	takers int // one after the other
	drops  int // of keepers, by whoever works on the request
	deaths int // of keepers
	tries  int // of the holder, and of each taker
}

// wrong is what is left out on purpose.
type wrong struct{ term, token, note, window, whole bool }

const (
	window  = time.Second
	keeperA = "a"
	keeperB = "b"
	spareD  = "d"
)

var names = []string{keeperA, keeperB, spareD}

// actor is one that works on the request: the holder, or a taker.
type actor struct {
	me      string
	token   Token
	hold    *Hold
	course  Course
	group   uint64
	tries   int
	state   string   // "", "tried" (noted, not checked), "checked", "sent"
	term    bool     // its term holds
	gone    bool     // its process has ended
	history []Record // versions that are on their way to keepers, any time, any number of times
	asking  *Findings
	told    string // keepers that have told a taker, or were found dead
	// accepted is what keepers have noted; the actor may learn of it at any time, also late.
	accepted map[string]uint64
}

// state is one state of the world.
type state struct {
	repeat  Repeat
	actors  []*actor
	books   map[string]*Book // by process: those that live
	ran     []uint64         // groups that it took effect in, in order; drops of a group are not in it
	drops   int              // holders' drops of keepers
	expired bool             // a group has forgotten
	most    bounds
	dead    int
}

func (a *actor) clone() *actor {
	b := *a
	b.history, b.accepted = slices.Clone(a.history), maps.Clone(a.accepted)
	if a.hold != nil {
		h := *a.hold
		h.r = h.r.clone()
		h.known = maps.Clone(a.hold.known)
		b.hold = &h
	}
	if a.asking != nil {
		f := *a.asking
		f.heard = maps.Clone(a.asking.heard)
		b.asking = &f
	}
	return &b
}

func (s *state) clone() *state {
	n := *s
	n.actors, n.books, n.ran = nil, map[string]*Book{}, slices.Clone(s.ran)
	for _, a := range s.actors {
		n.actors = append(n.actors, a.clone())
	}
	for name, b := range s.books {
		c := NewBook(b.me, b.most)
		c.bytes = b.bytes
		c.tokens = maps.Clone(b.tokens)
		for id, k := range b.kept {
			x := *k
			x.Record = k.Record.clone()
			c.kept[id] = &x
		}
		n.books[name] = c
	}
	return &n
}

// key is what two equal states have in common.
func (s *state) key() string {
	b := make([]byte, 0, 512)
	num := func(x uint64) { b = append(strconv.AppendUint(b, x, 10), ' ') }
	flag := func(all ...bool) {
		for _, x := range all {
			b = append(b, map[bool]byte{true: '+', false: '-'}[x])
		}
	}
	record := func(r *Record) {
		num(r.Version)
		num(uint64(r.Token))
		for _, k := range r.Keepers {
			b = append(b, k...)
		}
		for _, a := range r.Attempts {
			num(a.Group)
		}
		b = append(b, ';')
	}
	for _, a := range s.actors {
		b = append(append(append(append(b, a.me...), a.course...), a.state...), a.told...)
		num(a.group)
		num(uint64(a.tries))
		flag(a.term, a.gone, a.hold != nil, a.asking != nil)
		if a.hold != nil {
			flag(a.hold.over)
			for _, k := range names {
				num(a.hold.known[k])
				num(a.accepted[k])
			}
		}
		for i := range a.history {
			record(&a.history[i])
		}
		if a.asking != nil {
			record(&a.asking.newest.Record)
			num(uint64(a.asking.triedFor))
			for _, k := range names {
				flag(a.asking.heard[k])
			}
		}
	}
	for _, name := range names {
		flag(s.books[name] != nil)
		if book := s.books[name]; book != nil {
			num(uint64(book.tokens["h"]))
			for _, k := range book.kept {
				record(&k.Record)
				num(uint64(k.triedAt))
			}
		}
	}
	for _, g := range s.ran {
		num(g)
	}
	num(uint64(s.drops))
	num(uint64(s.dead))
	flag(s.expired)
	return string(b)
}

// next are all states that may follow.
func (s *state) next(w wrong) (all []*state) {
	do := func(f func(n *state)) {
		n := s.clone()
		f(n)
		all = append(all, n)
	}
	now := time.Duration(0)
	if s.expired {
		now = window
	}
	for i, a := range s.actors {
		// What is on its way comes to keepers, late ones as well, and their answers back.
		for v := range a.history {
			for _, name := range a.history[v].Keepers {
				if s.books[name] == nil || a.accepted[name] >= a.history[v].Version {
					continue
				}
				do(func(n *state) {
					x, r := n.actors[i], n.actors[i].history[v]
					switch refused := n.books[name].Note(now, r); {
					case refused == TakenOver && !w.token:
						x.hold.Noted(name, r.Version, true)
					case refused == "" || refused == TakenOver:
						x.accepted[name] = max(x.accepted[name], r.Version)
					}
				})
			}
		}
		for name, version := range a.accepted {
			if a.hold.known[name] < version {
				do(func(n *state) { n.actors[i].hold.Noted(name, version, false) })
			}
		}
		if a.gone { // as one that never does anything again, but for a keeper that dies
			continue
		}
		if a.term {
			do(func(n *state) { n.actors[i].term = false })
		}
		may := a.hold != nil && (a.hold.May() || w.note)
		switch {
		case a.hold == nil:
		case a.state == "" && may && a.tries < s.most.tries && a.course != Nothing:
			for _, group := range []uint64{1, 2} {
				if a.course == Again && group != a.group || s.repeat != Keyed && group > 1 {
					continue
				}
				do(func(n *state) {
					x := n.actors[i]
					x.tries++
					x.hold.Try(Attempt{Try: x.tries, Group: group})
					x.history, x.state, x.group = append(x.history, x.hold.Record()), "tried", group
				})
			}
		case a.state == "tried" && may && (a.term || w.term) && !(a.course == Again && s.expired && !w.window): // the last check; it may be stopped behind it for long
			do(func(n *state) { n.actors[i].state = "checked" })
		case a.state == "checked":
			do(func(n *state) { n.run(n.actors[i].group); n.actors[i].state = "sent" })
			do(func(n *state) { // or the box took nothing: the holder may try again
				n.actors[i].state = "sent"
				if n.repeat != Keyed && i == 0 {
					n.actors[i].state = ""
				}
			})
		}
		if a.hold != nil && s.drops < s.most.drops && len(a.hold.r.Keepers) > 0 && a.state != "sent" {
			for _, k := range a.hold.r.Keepers {
				do(func(n *state) {
					x := n.actors[i]
					if x.hold.Without(k) {
						x.history = append(x.history, x.hold.Record())
						n.drops++
					}
				})
			}
		}
	}
	// A keeper dies, with what it knew.
	if s.dead < s.most.deaths {
		for _, name := range []string{keeperA, keeperB} {
			if s.books[name] != nil {
				do(func(n *state) {
					delete(n.books, name)
					n.dead++
					for _, a := range n.actors {
						if a.me == name {
							a.gone, a.term = true, false
						}
					}
				})
			}
		}
	}
	// A group forgets. That somebody is stopped between its last check and its last byte for longer
	// than that can't be held against by anything but the box: it is left out here.
	stopped := slices.ContainsFunc(s.actors, func(a *actor) bool { return a.state == "checked" })
	if s.repeat == Keyed && !s.expired && len(s.ran) > 0 && !stopped {
		do(func(n *state) { n.expired = true })
	}
	// Somebody takes the duty once the term of the one before has ended.
	last := s.actors[len(s.actors)-1]
	if !last.term && len(s.actors) <= s.most.takers {
		do(func(n *state) {
			me := []string{spareD, keeperA}[len(n.actors)-1]
			if n.books[me] == nil {
				return
			}
			n.actors = append(n.actors, &actor{me: me, token: Token(len(n.actors) + 1), term: true, asking: &Findings{}, accepted: map[string]uint64{}})
		})
	}
	// It asks the keepers, and decides when it likes.
	if i := len(s.actors) - 1; i > 0 && last.term && last.hold == nil && last.course == "" {
		for _, name := range names {
			if strings.Contains(last.told, name) {
				continue
			}
			do(func(n *state) {
				x := n.actors[i]
				x.told += name
				book := n.books[name]
				if book == nil {
					return
				}
				before := book.tokens["h"]
				told, ok := book.Tell(now, "h", x.token)
				if w.token {
					book.tokens["h"] = before
				}
				if !ok {
					x.term = false
				}
				x.asking.Hear(name, nil)
				for k := range told {
					if w.window {
						told[k].TriedFor = 0
					}
					x.asking.Hear(name, &told[k])
				}
			})
		}
		if last.asking.newest.ID != "" {
			do(func(n *state) {
				x := n.actors[i]
				f := x.asking
				if w.whole {
					for _, k := range f.newest.Keepers {
						f.heard[k] = true
					}
				}
				x.course, x.group = f.Decide(time.Minute, window)
				if x.course == Send || x.course == Again {
					x.hold = f.Take(x.me, x.token, []string{spareD, keeperB})
					x.history = append(x.history, x.hold.Record())
					if b := n.books[x.me]; b != nil && slices.Contains(f.newest.Keepers, x.me) {
						b.Tell(now, "h", x.token)
					}
				}
				x.asking = nil
			})
		}
	}
	return all
}

// run has the boxes of a group take it, which drop a repeat while they remember.
func (s *state) run(group uint64) {
	if s.repeat == Keyed && !s.expired && slices.Contains(s.ran, group) {
		return
	}
	s.ran = append(s.ran, group)
}

// begin is a request that its holder has just taken.
func begin(repeat Repeat, most bounds) *state {
	r := Record{ID: "r", Key: "k", Holder: "h", Charged: true, Repeat: repeat, Keepers: []string{keeperA, keeperB}}
	first := &state{repeat: repeat, most: most, books: map[string]*Book{}}
	for _, name := range names {
		first.books[name] = NewBook(name, 1<<20)
	}
	h := &actor{me: "h", token: 1, term: true, hold: NewHold(r, 1), accepted: map[string]uint64{}}
	h.history = append(h.history, h.hold.Record())
	first.actors = append(first.actors, h)
	return first
}

// explore plays all states and returns how many there are, and the first in which it took effect
// twice.
func explore(repeat Repeat, most bounds, w wrong) (states int, twice *state) {
	first := begin(repeat, most)
	seen := map[string]bool{first.key(): true}
	todo := []*state{first}
	for len(todo) > 0 {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, n := range s.next(w) {
			if len(n.ran) > 1 {
				return len(seen), n
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				todo = append(todo, n)
			}
		}
	}
	return len(seen), nil
}

func TestNothingTakesEffectTwice(t *testing.T) {
	for _, x := range []struct {
		repeat Repeat
		bounds
	}{
		{Unsafe, bounds{takers: 1, drops: 1, tries: 1}},
		{Unsafe, bounds{takers: 1, deaths: 1, tries: 1}},
		{Unsafe, bounds{takers: 1, tries: 2}},
		{Keyed, bounds{takers: 1, tries: 2}},
	} {
		states, twice := explore(x.repeat, x.bounds, wrong{})
		t.Logf("%v, %+v: %d states", x.repeat, x.bounds, states)
		if twice != nil {
			t.Errorf("%v: it took effect %v: %s", x.repeat, twice.ran, twice.key())
		}
	}
}

// Beyond what can be played in full: walks with two takers, a keeper that dies and one that is
// dropped, from seeds.
func TestNothingTakesEffectTwiceInWalks(t *testing.T) {
	sent, taken := 0, 0
	for seed := range uint64(1500) {
		r := rand.New(rand.NewPCG(seed, 7))
		s := begin([]Repeat{Unsafe, Keyed}[seed%2], bounds{takers: 2, drops: 1, deaths: 1, tries: 2})
		for range 60 {
			all := s.next(wrong{})
			if len(all) == 0 {
				break
			}
			if s = all[r.IntN(len(all))]; len(s.ran) > 1 {
				t.Fatalf("seed %d: %v took effect %v: %s", seed, s.repeat, s.ran, s.key())
			}
		}
		sent += len(s.ran)
		if len(s.actors) > 1 {
			taken++
		}
	}
	if sent == 0 || taken == 0 {
		t.Errorf("%d took effect and %d were taken over: the walks show nothing", sent, taken)
	}
}

// A holder whose clock is wrong, so that it believes in its term for ever, does no harm: keepers
// refuse its notes once they have told a taker.
func TestTokensHoldWithoutTerms(t *testing.T) {
	for _, most := range []bounds{{takers: 1, drops: 1, tries: 1}, {takers: 1, deaths: 1, tries: 1}, {takers: 1, tries: 2}} {
		states, twice := explore(Unsafe, most, wrong{term: true})
		t.Logf("%+v: %d states", most, states)
		if twice != nil {
			t.Errorf("it took effect %v: %s", twice.ran, twice.key())
		}
	}
}

// Each rule that is left out is found.
func TestRulesThatAreLeftOutAreFound(t *testing.T) {
	for name, x := range map[string]struct {
		repeat Repeat
		bounds
		wrong
	}{
		"the term and the token":            {Unsafe, bounds{1, 0, 0, 1}, wrong{term: true, token: true}},
		"the note before the last byte":     {Unsafe, bounds{1, 0, 0, 1}, wrong{note: true}},
		"the window":                        {Keyed, bounds{1, 0, 0, 1}, wrong{window: true}},
		"that all keepers have to be heard": {Unsafe, bounds{1, 1, 0, 1}, wrong{whole: true}},
	} {
		states, twice := explore(x.repeat, x.bounds, x.wrong)
		if twice == nil {
			t.Errorf("without %s nothing takes effect twice in %d states", name, states)
		} else {
			t.Logf("without %s: found after %d states", name, states)
		}
	}
}

// Keepers are others, those of other rooms first, and the same ones wherever they are asked for.
func TestKeepers(t *testing.T) {
	all := []Limiter{{"n0", "a"}, {"n1", "b"}, {"n2", "a"}, {"n3", "b"}, {"n4", "a"}}
	for i := range 100 {
		key := strconv.Itoa(i)
		names := Keepers(key, all[0], all)
		again := slices.Clone(all)
		slices.Reverse(again)
		if len(names) != 2 || names[0] == names[1] || !slices.Equal(names, Keepers(key, all[0], again)) {
			t.Fatalf("%s: %v", key, names)
		}
		for _, n := range names {
			if n != "n1" && n != "n3" {
				t.Errorf("%s: %s is of the holder's room", key, n)
			}
		}
	}
	if names := Keepers("k", all[0], all[:3]); !slices.Equal(names, []string{"n1", "n2"}) {
		t.Errorf("one in another room: %v", names)
	}
	if names := Keepers("k", all[0], all[:1]); len(names) != 0 {
		t.Errorf("nobody else: %v", names)
	}
}

// A book takes so many bytes, finds what a client comes back for, and forgets what has ended.
func TestBook(t *testing.T) {
	b := NewBook("a/1", 4*(overhead+1000))
	r := Record{ID: "r0", Key: "k", Account: 7, Holder: "h", Token: 1, Version: 1, Keepers: []string{"a/1"}, Body: make([]byte, 900)}
	for _, id := range []string{"r1", "r2", "r3"} {
		x := r
		x.ID, x.Key = id, id
		if got := b.Note(0, x); got != "" {
			t.Errorf("%s: %q", id, got)
		}
	}
	big, other := r, r
	big.ID, big.Body = "big", make([]byte, 5000)
	other.ID, other.Keepers = "other", []string{"a/0"} // the process before this one
	if got := b.Note(0, big); got != Full {
		t.Errorf("too large: %q", got)
	}
	if got := b.Note(0, other); got != NotMeant {
		t.Errorf("meant for another process: %q", got)
	}
	held := b.Bytes()
	if got := b.Note(0, r); got != "" || b.Bytes() <= held {
		t.Errorf("%q, %d bytes after %d", got, b.Bytes(), held)
	}
	h := NewHold(r, 1) // its version is 2
	h.Finish(End{Status: 200, Answer: []byte("sent")})
	if got := b.Note(time.Second, h.Record()); got != "" {
		t.Error(got)
	}
	if got := b.Note(time.Second, r); got != "" { // an older version, late
		t.Error(got)
	}
	if x, ok := b.Find(7, "k"); !ok || x.End == nil || string(x.End.Answer) != "sent" {
		t.Errorf("%+v %v", x, ok)
	}
	if _, ok := b.Find(8, "k"); ok {
		t.Error("another account's is found")
	}
	if told, ok := b.Tell(time.Second, "h", 2); !ok || len(told) != 4 {
		t.Errorf("%d told, %v", len(told), ok)
	}
	if _, ok := b.Tell(time.Second, "h", 1); ok {
		t.Error("a taker that is over is told")
	}
	if got := b.Note(time.Second, r); got != TakenOver {
		t.Errorf("a holder that is over: %q", got)
	}
	b.Forget(time.Second+time.Minute, time.Minute)
	if _, ok := b.Find(7, "k"); ok || b.Bytes() != held {
		t.Errorf("%d bytes of %d", b.Bytes(), held)
	}
}
