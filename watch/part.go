package watch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// How long agents may hold calls for their lists.
const (
	HoldAlone = 20 * time.Second
	// What the one that looks does not hear all of its room miss: it has to find out soon.
	HoldForAll = 3 * time.Second
)

// Note is what one that looks for a room and one of the others say to each other.
type Note struct {
	// Of the one that looks:
	Words []Word   `json:",omitempty"`
	List  *List    `json:",omitempty"`
	Lost  []string `json:",omitempty"` // pools whose agents it does not hear
	// Of the others:
	Ask     uint64 `json:",omitempty"` // a box that is held as ill; 0: none
	Checked *Word  `json:",omitempty"`
	Hears   string `json:",omitempty"` // the pool whose agent it follows itself
	Want    string `json:",omitempty"` // the pool whose whole list it needs
}

// List is what an agent has told of a pool: all hosts, or those that have changed, in its form.
type List struct {
	Pool  string
	Seq   int64
	Whole bool
	Hosts json.RawMessage
}

// Kind is what an act is.
type Kind int

// Kinds of acts.
const (
	Look      Kind = iota // at a box, and tell its end by Looked
	Believe               // a word about a box: Is
	Follow                // an agent, by calls held so long; 0: another limiter tells what it says
	Take                  // a list
	Say                   // a note to the one that looks
	Tell                  // a note to another one; to all that this one looks for if To is empty
	TellWhole             // the whole list of a pool to another one
	Resign                // others can do it, this limiter can't: it is not to ask for it before Hold is over
)

// Act is something to be done.
type Act struct {
	Kind Kind
	To   string
	Box  uint64
	Is   Verdict
	Pool string
	Hold time.Duration
	Note Note
	List *List
}

// Figures are how a limiter's looks have gone.
type Figures struct {
	Asked   int64 // of another one, to look at a box
	Told    int64 // words that were believed
	Itself  int64 // looks of its own
	Differs int64 // words that its own attempts did not confirm
}

// Part is one limiter's part in the looks of its room, whether it is the one that looks or
// another. What happens goes in; what is to be done comes out of Acts. It is not safe for
// concurrent use.
type Part struct {
	cfg     Settings
	post    *Post
	desk    *Desk // nil: another one looks, or nobody
	feeds   map[string]*Feed
	holds   map[string]time.Duration // as Follow has said
	beatAt  time.Duration
	acts    []Act
	figures Figures
}

// NewPart returns the part of a limiter that has heard nobody yet, with the pools whose lists
// agents tell.
func NewPart(cfg Settings, pools []string) *Part {
	p := &Part{cfg: cfg, post: NewPost(cfg), feeds: map[string]*Feed{}, holds: map[string]time.Duration{}}
	for _, pool := range pools {
		p.feeds[pool] = &Feed{}
	}
	return p
}

// Acts are to be done now, in their order.
func (p *Part) Acts() []Act {
	all := p.acts
	p.acts = nil
	return all
}

func (p *Part) act(a Act) { p.acts = append(p.acts, a) }

// Figures returns them.
func (p *Part) Figures() Figures { return p.figures }

// Follows are the pools whose agents this limiter follows itself.
func (p *Part) Follows() (pools []string) {
	for pool, hold := range p.holds {
		if hold > 0 {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// Leads tells whether this limiter looks for its room.
func (p *Part) Leads() bool { return p.desk != nil }

// Alone tells whether nobody is heard that looks for this limiter.
func (p *Part) Alone(now time.Duration) bool { return p.desk == nil && p.post.Silent(now) }

// Lead begins a term of this limiter's own, or ends it.
func (p *Part) Lead(leads bool) {
	p.desk = nil
	if leads {
		p.desk = NewDesk(p.cfg)
		for _, f := range p.feeds {
			f.Alone()
		}
	}
}

// Tick does what the time asks for. It is to come some ten times a second.
func (p *Part) Tick(now time.Duration) {
	silent := p.post.Silent(now)
	for _, pool := range slices.Sorted(maps.Keys(p.feeds)) {
		f := p.feeds[pool]
		if silent {
			f.Alone()
		}
		hold := HoldAlone
		switch {
		case p.desk != nil:
			hold = HoldForAll
		case f.Led():
			hold = 0
		}
		if was, known := p.holds[pool]; !known || was != hold {
			p.holds[pool] = hold
			p.act(Act{Kind: Follow, Pool: pool, Hold: hold})
		}
	}
	if p.desk == nil {
		return
	}
	for _, box := range p.desk.Next(now) {
		p.act(Act{Kind: Look, Box: box})
	}
	if now >= p.beatAt {
		p.beatAt = now + p.cfg.Patience/3
		p.act(Act{Kind: Tell})
	}
	if p.desk.Unfit(now) {
		p.act(Act{Kind: Resign, Hold: p.cfg.Unfit})
	}
}

// Want is a box that is held as ill here.
func (p *Part) Want(now time.Duration, box uint64) {
	if p.desk != nil {
		p.say(p.desk.Ask(now, "", box))
		return
	}
	ask, look := p.post.Want(now, box)
	if ask {
		p.figures.Asked++
		p.act(Act{Kind: Say, Note: Note{Ask: box}})
	}
	if look {
		p.act(Act{Kind: Look, Box: box})
	}
}

// Looked is the end of a look of this limiter's own; empty: it could not be made.
func (p *Part) Looked(now time.Duration, box uint64, saw Verdict) {
	p.figures.Itself++
	if p.desk != nil {
		p.say(p.desk.Looked(now, box, saw))
	}
	if p.post.Looked(box) && saw != "" {
		p.act(Act{Kind: Say, Note: Note{Checked: &Word{Box: box, Is: saw}}})
	}
}

// Failed is an attempt of this limiter's own that has failed at a box.
func (p *Part) Failed(now time.Duration, box uint64) {
	if p.post.Failed(now, box) {
		p.figures.Differs++
	}
}

// Listed is what an agent has told this limiter itself.
func (p *Part) Listed(l List) {
	f := p.feeds[l.Pool]
	if f == nil {
		return
	}
	f.Own(l.Seq)
	if p.desk == nil {
		p.act(Act{Kind: Say, Note: Note{Hears: l.Pool}})
		return
	}
	p.desk.Heard(l.Pool)
	p.act(Act{Kind: Tell, Note: Note{List: &l}})
}

// Lost is an agent that does not answer this limiter.
func (p *Part) Lost(now time.Duration, pool string) {
	if p.desk != nil && p.desk.Lost(now, pool) {
		p.act(Act{Kind: Tell, Note: Note{Lost: p.desk.Unheard()}})
	}
}

// say tells words to whom they are for. This limiter has seen itself what the others are told.
func (p *Part) say(words []Word) {
	for _, w := range words {
		if w.To != "" {
			p.act(Act{Kind: Tell, To: w.To, Note: Note{Words: []Word{w}}})
		} else if w.Is == Alone {
			p.act(Act{Kind: Look, Box: w.Box})
		}
	}
}

// Join is another limiter that this one is to look for; false: it does not look.
func (p *Part) Join(name string) bool {
	if p.desk == nil {
		return false
	}
	p.act(Act{Kind: Tell, To: name, Note: Note{Lost: p.desk.Unheard()}})
	for _, pool := range slices.Sorted(maps.Keys(p.feeds)) {
		p.whole(name, pool)
	}
	return true
}

// whole tells a limiter the whole list of a pool, if this one hears its agent.
func (p *Part) whole(name, pool string) {
	if p.feeds[pool] != nil && !slices.Contains(p.desk.Unheard(), pool) {
		p.act(Act{Kind: TellWhole, To: name, Pool: pool})
	}
}

// Leave is a limiter that this one does not look for any more.
func (p *Part) Leave(name string) {
	if p.desk != nil {
		p.desk.Leave(name)
	}
}

// From is a note of a limiter that this one looks for.
func (p *Part) From(now time.Duration, name string, n Note) {
	if p.desk == nil {
		return
	}
	if n.Ask != 0 {
		p.say(p.desk.Ask(now, name, n.Ask))
	}
	if n.Checked != nil {
		p.say(p.desk.Checked(now, n.Checked.Box, n.Checked.Is))
	}
	if n.Hears != "" {
		p.desk.Others(n.Hears)
	}
	if n.Want != "" {
		p.whole(name, n.Want)
	}
}

// Heard is a note of the one that looks.
func (p *Part) Heard(now time.Duration, n Note) {
	if p.desk != nil {
		return // of one before
	}
	p.post.Heard(now)
	for _, w := range n.Words {
		tell, look := p.post.Told(now, w)
		if tell != "" {
			p.figures.Told++
			p.act(Act{Kind: Believe, Box: w.Box, Is: tell})
		}
		if look {
			p.act(Act{Kind: Look, Box: w.Box})
		}
	}
	for _, pool := range n.Lost {
		p.Itself(pool)
	}
	if l := n.List; l != nil && p.feeds[l.Pool] != nil {
		take, want := p.feeds[l.Pool].Offer(l.Seq, l.Whole)
		if take {
			p.act(Act{Kind: Take, List: l})
		}
		if want {
			p.act(Act{Kind: Say, Note: Note{Want: l.Pool}})
		}
	}
}

// Itself has this limiter follow the agent of a pool itself: what it was told is of no use.
func (p *Part) Itself(pool string) {
	if f := p.feeds[pool]; f != nil {
		f.Alone()
	}
}

// Cut is a connection to the one that looks that has ended.
func (p *Part) Cut() {
	p.post.Cut()
	for _, f := range p.feeds {
		f.Apart()
	}
}
