package ownership

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"example.org/madderdrum/internal/agreement"
	"example.org/madderdrum/tenure"
	"example.org/madderdrum/watch"
)

const (
	watchStream = "watch" // what its connections are for
	lookEvery   = 100 * time.Millisecond
	mostWants   = 4096 // events that wait; past them the limiter looks itself
	// An agent holds calls so long. What the one that looks does not hear all of its room
	// miss, so that it has to find out soon.
	holdAlone = 20 * time.Second
	holdAll   = 3 * time.Second
	mostNotes = 256 // for one limiter that wait; one that is further behind connects anew
)

// Eyes are this limiter's own looks at boxes and at discovery, and what it believes of others'.
type Eyes interface {
	Look(box uint64)
	Word(box uint64, well bool)
	Pools() []string
	Whole(pool string) (seq int64, hosts []byte, ok bool)
	Told(pool string, seq int64, whole bool, hosts []byte) error
	// Follow has it follow the agent of a pool itself, by calls held so long; 0: it is told.
	Follow(pool string, hold time.Duration)
}

// note is a message between the limiter that looks for a room and one that it looks for.
type note struct {
	Token string       `json:",omitempty"` // of the one that looks: in all that it says
	Words []watch.Word `json:",omitempty"`
	List  *list        `json:",omitempty"`
	Lost  []string     `json:",omitempty"` // pools whose agents it does not hear

	Asks    []uint64 `json:",omitempty"` // of the others: boxes that they hold as ill
	Checked *seen    `json:",omitempty"`
	Hears   string   `json:",omitempty"` // the pool whose agent it follows itself
	Want    string   `json:",omitempty"` // the pool whose whole list it needs
}

type list struct {
	Pool  string
	Seq   int64
	Whole bool
	Hosts json.RawMessage
}

type seen struct {
	Box uint64
	Is  watch.Verdict
}

// Looks are how a limiter's looks are shared, for operators.
type Looks struct {
	Room    string
	By      string   // who looks for the room, as far as this limiter hears it; empty: each for itself
	For     int      `json:",omitempty"` // limiters that this one looks for
	Asked   int64    // asks of this limiter to look at a box
	Told    int64    // words that came about boxes
	Itself  int64    // looks of its own
	Differs int64    // words that its own attempts did not confirm
	Follows []string `json:",omitempty"` // pools whose agents it follows itself
}

// Lookout is a limiter's part in the looks of its room. Its methods may be called by any
// goroutine and never block; what they bring about is done by its own.
type Lookout struct {
	s    *Service
	eyes Eyes
	room string
	duty string
	cfg  watch.Settings
	log  *slog.Logger

	mu     sync.Mutex
	events []func(at time.Duration)
	poke   chan struct{}
	looks  Looks

	// The loop's own.
	post   *watch.Post
	feeds  map[string]*watch.Feed
	holds  map[string]time.Duration // of calls to agents, as the limiter was told
	desk   *watch.Desk              // nil: another one looks, or nobody
	token  tenure.Token
	mates  map[string]*mate
	beatAt time.Duration
	up     *uplink // to the one that looks
}

// mate is a limiter that this one looks for.
type mate struct {
	name string
	out  chan note
	end  func()
}

// uplink is the way to the one that looks.
type uplink struct {
	to   string
	out  chan note
	stop func()
}

func newLookout(s *Service, room string) *Lookout {
	l := &Lookout{s: s, eyes: s.o.Eyes, room: room, duty: watch.Duty(room), cfg: watch.DefaultSettings(s.o.Terms.Term), log: s.log, poke: make(chan struct{}, 1),
		feeds: map[string]*watch.Feed{}, holds: map[string]time.Duration{}, mates: map[string]*mate{}, looks: Looks{Room: room}}
	l.post = watch.NewPost(l.cfg)
	return l
}

// do has the loop do something.
func (l *Lookout) do(f func(at time.Duration)) {
	l.mu.Lock()
	l.events = append(l.events, f)
	l.mu.Unlock()
	select {
	case l.poke <- struct{}{}:
	default:
	}
}

// Want is told that a box is held as ill here; false: there is more to do than can be done.
func (l *Lookout) Want(box uint64) bool {
	l.mu.Lock()
	full := len(l.events) >= mostWants
	l.mu.Unlock()
	if !full {
		l.do(func(at time.Duration) { l.want(at, box) })
	}
	return !full
}

// Looked is told how a look of this limiter's own has ended.
func (l *Lookout) Looked(box uint64, well, made bool) {
	saw := map[bool]watch.Verdict{true: watch.Well, false: watch.Ill}[well]
	if !made {
		saw = ""
	}
	l.do(func(at time.Duration) {
		l.count(func(x *Looks) { x.Itself++ })
		if l.desk != nil {
			l.say(l.desk.Looked(at, box, saw))
		}
		if l.post.Looked(box) && saw != "" {
			l.ask(note{Checked: &seen{box, saw}})
		}
	})
}

// Failed is told that an attempt has failed at a box.
func (l *Lookout) Failed(box uint64) {
	l.do(func(at time.Duration) {
		if l.post.Failed(at, box) {
			l.count(func(x *Looks) { x.Differs++ })
			l.log.Debug("a box was told to be well and is not, seen from here", "box", box)
		}
	})
}

// Listed is told what the agent of a pool has said to this limiter.
func (l *Lookout) Listed(pool string, seq int64, whole bool, hosts []byte) {
	l.do(func(time.Duration) {
		l.feed(pool).Own(seq)
		if l.desk == nil {
			l.ask(note{Hears: pool})
			return
		}
		l.desk.Heard(pool)
		l.tell(note{List: &list{pool, seq, whole, hosts}})
	})
}

// Lost is told that the agent of a pool does not answer this limiter.
func (l *Lookout) Lost(pool string) {
	l.do(func(at time.Duration) {
		if l.desk != nil && l.desk.Lost(at, pool) {
			l.tell(note{Lost: l.desk.Unheard()})
		}
	})
}

// Looks are how looks are shared here.
func (l *Lookout) Looks() Looks {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.looks
}

func (l *Lookout) count(f func(*Looks)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.looks)
}

func (l *Lookout) feed(pool string) *watch.Feed {
	f := l.feeds[pool]
	if f == nil {
		f = &watch.Feed{}
		l.feeds[pool] = f
	}
	return f
}

// run is the loop.
func (l *Lookout) run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.poke:
		case <-ticker.C:
		}
		l.mu.Lock()
		events := l.events
		l.events = nil
		l.mu.Unlock()
		for _, f := range events {
			f(now())
		}
		l.tend(ctx, now())
	}
}

// tend does what the time and the duty's owner ask for.
func (l *Lookout) tend(ctx context.Context, at time.Duration) {
	token, owns := l.s.owns(l.duty)
	if l.desk != nil && (!owns || token != l.token) {
		for _, m := range l.mates {
			m.end()
		}
		clear(l.mates)
		l.desk = nil
	}
	if owns && l.desk == nil {
		l.desk, l.token = watch.NewDesk(l.cfg), token
		for _, f := range l.feeds {
			f.Alone()
		}
	}
	l.connect(ctx)
	for _, pool := range l.eyes.Pools() {
		f := l.feed(pool)
		if l.post.Silent(at) && !broken("alone") {
			f.Alone()
		}
		hold := holdAlone
		switch {
		case l.desk != nil:
			hold = holdAll
		case f.Led():
			hold = 0
		}
		if was, known := l.holds[pool]; !known || was != hold {
			l.holds[pool] = hold
			l.eyes.Follow(pool, hold)
		}
	}
	if l.desk != nil {
		for _, box := range l.desk.Next(at) {
			l.eyes.Look(box)
		}
		if at >= l.beatAt {
			l.beatAt = at + l.cfg.Patience/3
			l.tell(note{})
		}
		if l.desk.Unfit(at) {
			l.log.Warn("gives a duty up: others hear what this limiter does not", "duty", l.duty, "pools", l.desk.Unheard())
			l.s.resign(l.duty)
		}
	}
	l.count(func(x *Looks) {
		x.By, x.For, x.Follows = "", len(l.mates), nil
		if l.desk != nil {
			x.By = l.s.me.Limiter
		} else if l.up != nil && !l.post.Silent(at) {
			x.By = l.up.to
		}
		for pool, hold := range l.holds {
			if hold > 0 {
				x.Follows = append(x.Follows, pool)
			}
		}
		slices.Sort(x.Follows)
	})
}

// want is a box that is held as ill here.
func (l *Lookout) want(at time.Duration, box uint64) {
	if l.desk != nil {
		l.say(l.desk.Ask(at, "", box))
		return
	}
	ask, look := l.post.Want(at, box)
	if ask {
		l.count(func(x *Looks) { x.Asked++ })
		l.ask(note{Asks: []uint64{box}})
	}
	if look {
		l.eyes.Look(box)
	}
}

// say tells words to whom they are for. This limiter has seen itself what the others are told.
func (l *Lookout) say(words []watch.Word) {
	for _, w := range words {
		if w.To == "" {
			if w.Is == watch.Alone {
				l.eyes.Look(w.Box)
			}
		} else if m := l.mates[w.To]; m != nil {
			l.give(m, note{Words: []watch.Word{w}})
		}
	}
}

// tell tells all that this limiter looks for.
func (l *Lookout) tell(n note) {
	for _, m := range l.mates {
		l.give(m, n)
	}
}

func (l *Lookout) give(m *mate, n note) {
	n.Token = l.token.String()
	select {
	case m.out <- n:
	default:
		m.end()
	}
}

// ask says something to the one that looks, if there is one.
func (l *Lookout) ask(n note) {
	if l.up != nil {
		select {
		case l.up.out <- n:
		default:
		}
	}
}

// serve is a connection of another limiter of the room that this one is to look for.
func (l *Lookout) serve(name string, st *agreement.Stream) {
	if l.s.o.Rooms[name] != l.room {
		l.log.Warn("turned a limiter away that is not of this room", "limiter", name, "room", l.room)
		return
	}
	ended := make(chan struct{})
	m := &mate{name: name, out: make(chan note, mostNotes), end: sync.OnceFunc(func() { close(ended); st.Close() })}
	defer m.end()
	l.do(func(time.Duration) { l.join(m) })
	defer l.do(func(time.Duration) {
		if l.mates[name] == m {
			delete(l.mates, name)
			if l.desk != nil {
				l.desk.Leave(name)
			}
		}
	})
	go func() {
		defer m.end()
		for {
			select {
			case n := <-m.out:
				// The last look before the effect.
				if t, owns := l.s.owns(l.duty); !owns || t.String() != n.Token || send(st, n) != nil {
					return
				}
			case <-ended:
				return
			}
		}
	}()
	for {
		n, err := receive(st, 2*l.cfg.Apart)
		if err != nil {
			return
		}
		l.do(func(at time.Duration) {
			if l.mates[name] == m && l.desk != nil {
				l.take(at, m, n)
			}
		})
	}
}

// join begins to look for a limiter.
func (l *Lookout) join(m *mate) {
	if l.desk == nil {
		m.end()
		return
	}
	if before := l.mates[m.name]; before != nil {
		before.end()
	}
	l.mates[m.name] = m
	l.give(m, note{Lost: l.desk.Unheard()})
	for _, pool := range l.eyes.Pools() {
		l.whole(m, pool)
	}
}

// whole tells a limiter the whole list of a pool, if this one hears its agent.
func (l *Lookout) whole(m *mate, pool string) {
	if slices.Contains(l.desk.Unheard(), pool) {
		return
	}
	if seq, hosts, ok := l.eyes.Whole(pool); ok {
		l.give(m, note{List: &list{pool, seq, true, hosts}})
	}
}

// take takes in what a limiter says that this one looks for.
func (l *Lookout) take(at time.Duration, m *mate, n note) {
	for _, box := range n.Asks {
		l.say(l.desk.Ask(at, m.name, box))
	}
	if n.Checked != nil {
		l.say(l.desk.Checked(at, n.Checked.Box, n.Checked.Is))
	}
	if n.Hears != "" {
		l.desk.Others(n.Hears)
	}
	if n.Want != "" {
		l.whole(m, n.Want)
	}
}

// connect keeps a connection to the one that looks, if that is another one.
func (l *Lookout) connect(ctx context.Context) {
	to := ""
	l.s.machine.look(func(st *state) {
		if t := st.Terms.Terms[l.duty]; t != nil && t.Owner.Limiter != l.s.me.Limiter {
			to = t.Owner.Limiter
		}
	})
	if l.up != nil && l.up.to != to {
		l.up.stop()
		l.up = nil
		l.apart()
	}
	if to == "" || l.up != nil {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	l.up = &uplink{to, make(chan note, mostNotes), stop}
	go l.hear(ctx, l.up)
}

// apart notes that the one that looks is not heard.
func (l *Lookout) apart() {
	l.post.Cut()
	for _, f := range l.feeds {
		f.Apart()
	}
}

// hear hears the one that looks until the context ends.
func (l *Lookout) hear(ctx context.Context, up *uplink) {
	pause := &backoff.ExponentialBackOff{InitialInterval: 50 * time.Millisecond, MaxInterval: time.Second, Multiplier: 2, RandomizationFactor: 0.5}
	pause.Reset()
	for ctx.Err() == nil {
		heard, err := l.talk(ctx, up)
		if heard {
			pause.Reset()
		}
		l.log.Debug("the one that looks for the room is not heard", "limiter", up.to, "err", err)
		l.do(func(time.Duration) {
			if l.up == up {
				l.apart()
			}
		})
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// talk is one connection to the one that looks.
func (l *Lookout) talk(ctx context.Context, up *uplink) (heard bool, err error) {
	st, err := l.s.host.Dial(ctx, up.to, watchStream)
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(ctx, st.Close)()
	for len(up.out) > 0 { // stale by now
		<-up.out
	}
	go func() {
		for {
			select {
			case n := <-up.out:
				if send(st, n) != nil {
					st.Close()
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		n, err := receive(st, l.cfg.Patience)
		if err != nil {
			return heard, err
		}
		t, err := tenure.ParseToken(n.Token)
		if err == nil && t.Duty != l.duty {
			err = fmt.Errorf("token %v is not one of %s", t, l.duty)
		}
		if err == nil {
			err = l.admit(ctx, t, func(at time.Duration) {
				if l.up == up && l.desk == nil {
					l.heard(at, n)
				}
			})
		}
		if err != nil {
			return heard, err
		}
		heard = true
	}
}

// admit has the loop do something under a token that holds here.
func (l *Lookout) admit(ctx context.Context, t tenure.Token, f func(at time.Duration)) error {
	ctx, done := context.WithTimeout(ctx, proposeFor)
	defer done()
	return l.s.admit(ctx, t, func() error {
		l.do(f)
		return nil
	})
}

// heard takes in what the one that looks says.
func (l *Lookout) heard(at time.Duration, n note) {
	l.post.Heard(at)
	for _, w := range n.Words {
		if broken("word") && w.Is != watch.Well {
			w.Is = watch.Ill
		}
		tell, look := l.post.Told(at, w)
		if tell != "" {
			l.count(func(x *Looks) { x.Told++ })
			l.eyes.Word(w.Box, tell == watch.Well)
		}
		if look {
			l.eyes.Look(w.Box)
		}
	}
	for _, pool := range n.Lost {
		l.feed(pool).Alone()
	}
	if x := n.List; x != nil {
		take, want := l.feed(x.Pool).Offer(x.Seq, x.Whole)
		if take {
			if err := l.eyes.Told(x.Pool, x.Seq, x.Whole, x.Hosts); err != nil {
				l.log.Warn("a list of the one that looks can't be read", "pool", x.Pool, "err", err)
				l.feed(x.Pool).Alone()
			}
		}
		if want {
			l.ask(note{Want: x.Pool})
		}
	}
}

func send(st *agreement.Stream, n note) error {
	data, err := json.Marshal(n)
	if err != nil {
		return err
	}
	return st.Send(data)
}

func receive(st *agreement.Stream, within time.Duration) (n note, err error) {
	data, err := st.Receive(within)
	if err != nil {
		return n, err
	}
	if err := json.Unmarshal(data, &n); err != nil {
		return n, fmt.Errorf("a note that can't be read: %w", err)
	}
	return n, nil
}
