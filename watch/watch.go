// Package watch decides how the limiters of a room share their looks at ill boxes and at
// discovery: one of them, the owner of the room's duty, looks, and tells the others. They
// check its word against their own attempts, and go on alone while it is silent. The package
// has no input or output, no goroutines and no clock: what happens goes in with the time.
//
// [Desk] is the part of the one that looks, [Post] that of the others, for boxes; [Feed] is
// what a limiter knows of one discovery agent's list.
package watch

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const prefix = "watch/"

// Duty is the name of a room's duty.
func Duty(room string) string { return prefix + room }

// Room is the room of such a duty; false: it is another duty.
func Room(duty string) (string, bool) { return strings.CutPrefix(duty, prefix) }

// Settings are those of looks.
type Settings struct {
	Every      time.Duration // least pause between two looks of the desk at a box
	CheckEvery time.Duration // and between two checks of its word that a box is ill
	Patience   time.Duration // without a word on an ask for so long, the asker looks itself
	Quiet      time.Duration // without any word for so long, lists are followed alone
	Apart      time.Duration // for so long each looks for itself at a box of which they differ
	Unfit      time.Duration // one that does not hear what others hear does not ask for the duty so long
}

// DefaultSettings are those for terms of so long.
func DefaultSettings(term time.Duration) Settings {
	return Settings{
		Every:      500 * time.Millisecond, // as a limiter alone does
		CheckEvery: time.Second,
		Patience:   1500 * time.Millisecond, // three asks in a row
		Quiet:      5 * term / 2,            // the next owner is there within about two terms
		Apart:      10 * time.Second,
		Unfit:      5 * time.Minute, // with a term of 25 s at most each, ten that are deaf come by once
	}
}

// Verdict is what is said of a box.
type Verdict string

// Verdicts.
const (
	Well  Verdict = "well"
	Ill   Verdict = "ill"
	Check Verdict = "check" // ill here: look yourself, once, and say what you saw
	Alone Verdict = "alone" // some reach it and some don't: look yourself for a while
)

// Word is a verdict for one limiter.
type Word struct {
	To  string `json:"-"`
	Box uint64
	Is  Verdict
}

// Desk is the part of the limiter that looks for its room. It is not safe for concurrent use.
type Desk struct {
	cfg   Settings
	wards map[uint64]*ward
	lists map[string]*lost
}

// ward is a box that somebody holds as ill.
type ward struct {
	asks      map[string]time.Duration // since when each waits for a word
	looking   bool
	begun     time.Duration // of the look under way, or of the last one
	checkedBy string        // who was last made to check the word
	checkedAt time.Duration
	apart     time.Duration // until then each looks for itself
	seenAt    time.Duration // when it was last asked for
}

// lost is an agent that this limiter does not hear.
type lost struct {
	at  time.Duration
	has bool // another limiter hears it
}

// NewDesk returns the desk of a limiter whose term begins.
func NewDesk(cfg Settings) *Desk {
	return &Desk{cfg: cfg, wards: map[uint64]*ward{}, lists: map[string]*lost{}}
}

// Ask notes that a limiter holds a box as ill and wants to know. Words are to be told at once.
func (d *Desk) Ask(now time.Duration, who string, box uint64) []Word {
	w := d.wards[box]
	if w == nil {
		w = &ward{asks: map[string]time.Duration{}, begun: now - d.cfg.Every, checkedAt: now}
		d.wards[box] = w
	}
	w.seenAt = now
	if now < w.apart {
		return []Word{{who, box, Alone}}
	}
	if _, waits := w.asks[who]; !waits {
		w.asks[who] = now
	}
	return nil
}

// Next are the boxes to be looked at now. Each look's end has to be told by Looked.
func (d *Desk) Next(now time.Duration) (boxes []uint64) {
	for _, box := range slices.Sorted(maps.Keys(d.wards)) {
		w := d.wards[box]
		switch {
		case !w.looking && len(w.asks) > 0 && now >= w.begun+d.cfg.Every:
			w.looking, w.begun = true, now
			boxes = append(boxes, box)
		case !w.looking && now > w.seenAt+d.cfg.Apart+d.cfg.Patience:
			delete(d.wards, box)
		}
	}
	return boxes
}

// Looked is the end of a look, and returns what is told to those who asked before it began:
// what was seen before an ask says nothing about it. Empty: the look could not be made.
func (d *Desk) Looked(now time.Duration, box uint64, saw Verdict) (words []Word) {
	w := d.wards[box]
	if w == nil || !w.looking {
		return nil
	}
	w.looking = false
	if saw == "" {
		return nil
	}
	var told []string
	for _, who := range slices.Sorted(maps.Keys(w.asks)) {
		if w.asks[who] <= w.begun {
			told = append(told, who)
			delete(w.asks, who)
		}
	}
	check := ""
	if saw == Ill && now >= w.checkedAt+d.cfg.CheckEvery {
		check = after(told, w.checkedBy)
	}
	for _, who := range told {
		is := saw
		if who == check && check != "" {
			is, w.checkedBy, w.checkedAt = Check, who, now
		}
		words = append(words, Word{who, box, is})
	}
	return words
}

// after is the next name of a sorted list behind another one, round; the empty name, which is
// this limiter itself, has nothing to check. Empty: there is none.
func after(names []string, last string) string {
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "" })
	if len(names) == 0 {
		return ""
	}
	if i, found := slices.BinarySearch(names, last); found && i+1 < len(names) {
		return names[i+1]
	} else if !found && i < len(names) {
		return names[i]
	}
	return names[0]
}

// Checked is what a limiter saw that was to check that a box is ill. If it reaches the box, each
// looks for itself for a while.
func (d *Desk) Checked(now time.Duration, box uint64, saw Verdict) (words []Word) {
	w := d.wards[box]
	if w == nil || saw != Well {
		return nil
	}
	w.apart = now + d.cfg.Apart
	for _, who := range slices.Sorted(maps.Keys(w.asks)) {
		words = append(words, Word{who, box, Alone})
	}
	clear(w.asks)
	return words
}

// Leave forgets a limiter that is gone.
func (d *Desk) Leave(who string) {
	for _, w := range d.wards {
		delete(w.asks, who)
	}
}

// Lost notes that the agent of a pool does not answer this limiter, Heard that it does. news: it
// did before.
func (d *Desk) Lost(now time.Duration, pool string) (news bool) {
	if d.lists[pool] != nil {
		return false
	}
	d.lists[pool] = &lost{at: now}
	return true
}

// Heard is described at Lost.
func (d *Desk) Heard(pool string) { delete(d.lists, pool) }

// Unheard are the pools whose agents don't answer this limiter.
func (d *Desk) Unheard() []string { return slices.Sorted(maps.Keys(d.lists)) }

// Others notes that another limiter hears the agent of a pool.
func (d *Desk) Others(pool string) {
	if l := d.lists[pool]; l != nil {
		l.has = true
	}
}

// Unfit tells that this limiter should give the duty up: others hear an agent that it has not
// heard for long.
func (d *Desk) Unfit(now time.Duration) bool {
	for _, l := range d.lists {
		if l.has && now >= l.at+d.cfg.Quiet {
			return true
		}
	}
	return false
}

// Post is the part of a limiter that another one looks for. It is not safe for concurrent use.
type Post struct {
	cfg   Settings
	up    bool
	heard time.Duration // the last word of any kind
	ever  bool          // there was one
	views map[uint64]*view
}

// view is what is known of a box that was held as ill.
type view struct {
	asks   bool          // it waits for a word
	asked  time.Duration // since when, however often it was cut off since
	alone  time.Duration // until then this limiter looks itself
	well   time.Duration // when it was told to be well
	told   bool          // it was
	checks bool          // the look under way is a check
	seenAt time.Duration
}

// NewPost returns the part of a limiter that has heard nobody yet.
func NewPost(cfg Settings) *Post { return &Post{cfg: cfg, views: map[uint64]*view{}} }

// Heard notes a word of the one that looks, of any kind.
func (p *Post) Heard(now time.Duration) { p.up, p.ever, p.heard = true, true, now }

// Cut notes that it can't be heard any more, as far as is known here.
func (p *Post) Cut() { p.up = false }

// Silent tells whether it has been silent for so long that lists are followed alone.
func (p *Post) Silent(now time.Duration) bool { return !p.ever || now > p.heard+p.cfg.Quiet }

// Want tells what is done about a box that is held as ill here: the other one is asked, this
// limiter looks itself, or, where asks bring no word, both.
func (p *Post) Want(now time.Duration, box uint64) (ask, look bool) {
	v := p.views[box]
	if v == nil {
		for id, o := range p.views {
			if now > o.seenAt+2*p.cfg.Apart {
				delete(p.views, id)
			}
		}
		v = &view{}
		p.views[box] = v
	}
	v.seenAt = now
	if !p.up || now > p.heard+p.cfg.Patience || now < v.alone {
		return false, true
	}
	if !v.asks {
		v.asks, v.asked = true, now
	}
	return true, now >= v.asked+p.cfg.Patience
}

// Told takes a word about a box in. tell is what the limiter may believe of it (empty: nothing),
// look that it has to look itself.
func (p *Post) Told(now time.Duration, w Word) (tell Verdict, look bool) {
	v := p.views[w.Box]
	if v == nil || !v.asks { // nothing was asked, or it looks itself by now
		return "", false
	}
	v.asks = false
	switch w.Is {
	case Well:
		v.well, v.told = now, true
		return Well, false
	case Ill:
		return Ill, false
	case Check:
		v.checks = true
		return "", true
	case Alone:
		v.alone = now + p.cfg.Apart
		return "", true
	}
	return "", false
}

// Looked is the end of a look of this limiter's own; it tells whether the one that looks for it
// is to know.
func (p *Post) Looked(box uint64) bool {
	v := p.views[box]
	if v == nil || !v.checks {
		return false
	}
	v.checks = false
	return true
}

// Failed notes that an attempt of this limiter's own has failed at a box. If the box was told
// to be well not long ago, the word does not hold here, and it looks itself for a while.
func (p *Post) Failed(now time.Duration, box uint64) (differs bool) {
	v := p.views[box]
	if v == nil || !v.told || now > v.well+p.cfg.Apart {
		return false
	}
	v.told, v.alone = false, now+p.cfg.Apart
	return true
}

// Feed is what a limiter knows of the list of one discovery agent. The agent's own sequence
// numbers order what comes by two ways. The zero value knows nothing and follows the agent
// itself. It is not safe for concurrent use.
type Feed struct {
	seq   int64
	have  bool
	led   bool // another limiter tells it
	chain bool // and news continue what is known
}

// Own takes in what the agent itself has told.
func (f *Feed) Own(seq int64) { f.seq, f.have, f.led, f.chain = seq, true, false, false }

// Offer is a list, or news behind the one before on the same connection, as the one that looks
// tells it. take: it is as new as what is known; want: the whole list is to be asked for.
func (f *Feed) Offer(seq int64, whole bool) (take, want bool) {
	current := !f.have || seq >= f.seq
	if !whole && !f.chain {
		return false, current
	}
	if !current {
		return false, false
	}
	f.seq, f.have, f.led, f.chain = seq, true, true, true
	return true, false
}

// Apart notes that the connection has ended: news don't continue what is known any more.
func (f *Feed) Apart() { f.chain = false }

// Alone has the limiter follow the agent itself.
func (f *Feed) Alone() { f.led, f.chain = false, false }

// Led tells whether another limiter tells it.
func (f *Feed) Led() bool { return f.led }
