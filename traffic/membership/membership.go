// Package membership is how the limiters of a region know which of them are in reach. Each looks at one other in turn; where that does not answer, three third
// parties of other zones are asked to look too; where nobody gets an answer it is suspected, which
// all are told, itself among them if it hears; it has a while to object, or to be heard by third
// parties that are asked again; then it is out, until it is heard of again.
//
// Whom there is to look at comes from the book of the registries. What is found here says only
// who is out of reach now: nobody's part of anything is given away by it.
//
// A [Line] does no input or output and reads no clock: times are handed in, in milliseconds.
// It is not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"slices"
)

const (
	lookMs    = 400.0 // between two looks of one limiter
	answerMs  = 120.0 // for an answer, before third parties are asked
	secondMs  = 300.0 // for theirs
	objectMs  = 700.0 // for a suspect to object
	third     = 3     // parties that are asked
	claimsMax = 6     // in one message
	tellTimes = 4     // a claim is told in so many messages
	outLooks  = 3     // one look in so many goes to those that are out
)

// State is how a limiter stands.
type State uint8

// The states. Of two claims of one incarnation the greater one holds.
const (
	Here State = iota
	Suspect
	Out
)

// Claim says how a limiter stands. It objects with a greater incarnation.
type Claim struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	State       State  `cbor:"3,keyasint,omitempty"`
}

// Kind is that of a message.
type Kind uint8

// The kinds of messages.
const (
	Look   Kind = iota // answer me
	Answer             // to a look, or to an ask
	Ask                // look at Target for me
)

// Message is one datagram.
type Message struct {
	Kind   Kind    `cbor:"1,keyasint,omitempty"`
	Serial uint64  `cbor:"2,keyasint,omitempty"`
	From   string  `cbor:"3,keyasint"`
	Target string  `cbor:"4,keyasint,omitempty"` // of Ask
	Claims []Claim `cbor:"5,keyasint,omitempty"`
}

// Letter is a message on its way.
type Letter struct {
	To      string
	Message Message
}

type member struct {
	zone        string
	incarnation uint64
	state       State
	since       float64
	tell        int // messages in which its claim is still to be told
	askedAt     float64
	mine        bool // this limiter was the one to suspect it
}

type look struct {
	target string
	at     float64
	asked  bool
	// for whom it is, and the number that they gave it; "": for this one
	client string
	serial uint64
}

// Line is what one limiter knows of the others of its region.
type Line struct {
	me, zone    string
	incarnation uint64
	rng         *rand.Rand
	members     map[string]*member
	order       []string // those to look at next
	looks       map[uint64]*look
	serial      uint64
	lookAt      float64
	count       int
	changed     bool
}

// New returns the line of a limiter that knows nobody yet. me is unique to this life of it.
func New(me string, seed uint64) *Line {
	return &Line{me: me, rng: rand.New(rand.NewPCG(seed, 7)), members: map[string]*member{}, looks: map[uint64]*look{}}
}

// Set says whom there is to look at, and in which zone each stands. This limiter's own zone is
// there too, if it is known.
func (l *Line) Set(zones map[string]string) {
	l.zone = zones[l.me]
	for id := range l.members {
		if _, there := zones[id]; !there {
			delete(l.members, id)
		}
	}
	for id, zone := range zones {
		if id != l.me && l.members[id] == nil {
			l.members[id] = &member{zone: zone}
		}
	}
}

// State is how a limiter stands, as far as is known here.
func (l *Line) State(id string) State {
	if m := l.members[id]; m != nil {
		return m.state
	}
	return Here
}

// Changed tells that somebody has gone out, or come back, since it was last asked.
func (l *Line) Changed() bool {
	c := l.changed
	l.changed = false
	return c
}

// Tick does what is due, and returns what to send. It is to be called every 50 ms or so.
func (l *Line) Tick(now float64) (out []Letter) {
	for _, serial := range sorted(l.looks) {
		k := l.looks[serial]
		m := l.members[k.target]
		switch {
		case m == nil:
			delete(l.looks, serial)
		case k.client != "":
			if now-k.at > secondMs {
				delete(l.looks, serial)
			}
		case !k.asked && now-k.at > answerMs:
			k.asked, k.at = true, now
			for _, id := range l.parties(k.target, third) {
				out = append(out, l.letter(id, Message{Kind: Ask, Serial: serial, Target: k.target}))
			}
		case k.asked && now-k.at > secondMs:
			delete(l.looks, serial)
			if m.state == Here {
				l.claim(now, k.target, Claim{k.target, m.incarnation, Suspect})
				m.mine = true
			}
		}
	}
	for _, id := range sorted(l.members) {
		m := l.members[id]
		switch {
		case m.state != Suspect:
		case now-m.since > objectMs:
			l.claim(now, id, Claim{id, m.incarnation, Out})
		case now-m.askedAt > answerMs: // it is told, so that it can object
			m.askedAt = now
			l.serial++
			out = append(out, l.letter(id, Message{Kind: Look, Serial: l.serial}))
			if m.mine { // who suspects first goes on to ask others, whom it may reach
				l.serial++
				l.looks[l.serial] = &look{target: id, at: now, asked: true}
				for _, to := range l.parties(id, third) {
					out = append(out, l.letter(to, Message{Kind: Ask, Serial: l.serial, Target: id}))
				}
			}
		}
	}
	if now >= l.lookAt {
		l.lookAt = now + lookMs*(0.8+0.4*l.rng.Float64())
		if id := l.next(); id != "" {
			l.serial++
			l.looks[l.serial] = &look{target: id, at: now}
			out = append(out, l.letter(id, Message{Kind: Look, Serial: l.serial}))
		}
	}
	return out
}

// next is whom to look at now: each in turn, those that are out more seldom.
func (l *Line) next() string {
	l.count++
	for range 2 {
		for len(l.order) > 0 {
			id := l.order[0]
			l.order = l.order[1:]
			if m := l.members[id]; m != nil && (m.state != Out || l.count%outLooks == 0) {
				return id
			}
		}
		for id := range l.members {
			l.order = append(l.order, id)
		}
		slices.Sort(l.order)
		l.rng.Shuffle(len(l.order), func(i, k int) { l.order[i], l.order[k] = l.order[k], l.order[i] })
	}
	return ""
}

// parties draws some that are here to look at a target too: most of them in zones that are neither
// this limiter's nor the target's, one in its own. What is cut between two zones is cut for all
// that stand there, and a third one may reach both; or it is the third one that this zone does not
// reach.
func (l *Line) parties(target string, n int) (all []string) {
	var here []string
	for id, m := range l.members {
		if id != target && m.state == Here {
			here = append(here, id)
		}
	}
	slices.Sort(here)
	l.rng.Shuffle(len(here), func(i, k int) { here[i], here[k] = here[k], here[i] })
	met := map[string]int{l.zone: 1}
	met[l.members[target].zone] += n
	for len(all) < n && len(here) > 0 {
		best := 0
		for i, id := range here {
			if met[l.members[id].zone] < met[l.members[here[best]].zone] {
				best = i
			}
		}
		met[l.members[here[best]].zone] += 2
		all = append(all, here[best])
		here = slices.Delete(here, best, best+1)
	}
	return all
}

// letter adds what is to be told. Whoever is taken for more than here is told so itself.
func (l *Line) letter(to string, m Message) Letter {
	m.From = l.me
	if t := l.members[to]; t != nil && t.state != Here {
		m.Claims = append(m.Claims, Claim{to, t.incarnation, t.state})
	}
	for _, id := range sorted(l.members) {
		if t := l.members[id]; t.tell > 0 && id != to && len(m.Claims) < claimsMax {
			t.tell--
			m.Claims = append(m.Claims, Claim{id, t.incarnation, t.state})
		}
	}
	if l.incarnation > 0 {
		m.Claims = append(m.Claims, Claim{l.me, l.incarnation, Here})
	}
	return Letter{to, m}
}

// Hear takes in a message and returns what to send.
func (l *Line) Hear(now float64, m Message) (out []Letter) {
	for _, c := range m.Claims {
		l.claim(now, m.From, c)
	}
	if from := l.members[m.From]; from != nil && from.state == Suspect {
		// It is there after all. One that is out comes back by its own word alone.
		l.claim(now, m.From, Claim{m.From, from.incarnation + 1, Here})
	}
	switch m.Kind {
	case Look:
		out = append(out, l.letter(m.From, Message{Kind: Answer, Serial: m.Serial}))
	case Ask:
		if l.members[m.Target] != nil {
			l.serial++
			l.looks[l.serial] = &look{target: m.Target, at: now, client: m.From, serial: m.Serial}
			out = append(out, l.letter(m.Target, Message{Kind: Look, Serial: l.serial}))
		}
	case Answer:
		k := l.looks[m.Serial]
		if k == nil {
			break
		}
		delete(l.looks, m.Serial)
		if t := l.members[k.target]; t != nil && t.state == Suspect && m.From != k.target { // a third party heard it
			l.claim(now, m.From, Claim{k.target, t.incarnation + 1, Here})
		}
		if k.client != "" {
			out = append(out, l.letter(k.client, Message{Kind: Answer, Serial: k.serial}))
		}
	}
	return out
}

// claim takes in how somebody stands.
func (l *Line) claim(now float64, from string, c Claim) {
	if c.ID == l.me {
		if c.State != Here && c.Incarnation >= l.incarnation { // not so
			l.incarnation = c.Incarnation + 1
		}
		return
	}
	m := l.members[c.ID]
	if m == nil || c.Incarnation < m.incarnation || c.Incarnation == m.incarnation && c.State <= m.state {
		return
	}
	l.changed = l.changed || (c.State == Out) != (m.state == Out)
	m.incarnation, m.state, m.since, m.tell, m.mine = c.Incarnation, c.State, now, tellTimes, false
}

func sorted[K ~string | ~uint64, V any](m map[K]V) []K {
	all := make([]K, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}
