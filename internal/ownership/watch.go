package ownership

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
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
	mostNotes   = 256  // for one limiter that wait; one that is further behind connects anew
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

// note is a message between the one that looks for a room and another one.
type note struct {
	Token string `json:",omitempty"` // of the one that looks: in all that it says
	watch.Note
}

// Looks are how a limiter's looks are shared, for operators.
type Looks struct {
	Room string
	By   string // who looks for the room, as far as this limiter hears it; empty: each for itself
	For  int    `json:",omitempty"` // limiters that this one looks for
	watch.Figures
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
	part  *watch.Part
	token tenure.Token // while this limiter looks
	mates map[string]*mate
	up    *uplink // to the one that looks
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
	return &Lookout{s: s, eyes: s.o.Eyes, room: room, duty: watch.Duty(room), cfg: watch.DefaultSettings(s.o.Terms.Term), log: s.log, poke: make(chan struct{}, 1),
		mates: map[string]*mate{}, looks: Looks{Room: room}}
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
		l.do(func(at time.Duration) { l.part.Want(at, box) })
	}
	return !full
}

// Looked is told how a look of this limiter's own has ended.
func (l *Lookout) Looked(box uint64, well, made bool) {
	saw := map[bool]watch.Verdict{true: watch.Well, false: watch.Ill}[well]
	if !made {
		saw = ""
	}
	l.do(func(at time.Duration) { l.part.Looked(at, box, saw) })
}

// Failed is told that an attempt has failed at a box.
func (l *Lookout) Failed(box uint64) { l.do(func(at time.Duration) { l.part.Failed(at, box) }) }

// Listed is told what the agent of a pool has said to this limiter.
func (l *Lookout) Listed(pool string, seq int64, whole bool, hosts []byte) {
	l.do(func(time.Duration) { l.part.Listed(watch.List{Pool: pool, Seq: seq, Whole: whole, Hosts: hosts}) })
}

// Lost is told that the agent of a pool does not answer this limiter.
func (l *Lookout) Lost(pool string) { l.do(func(at time.Duration) { l.part.Lost(at, pool) }) }

// Looks are how looks are shared here.
func (l *Lookout) Looks() Looks {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.looks
}

// run is the loop.
func (l *Lookout) run(ctx context.Context) {
	l.part = watch.NewPart(l.cfg, l.eyes.Pools())
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
			l.carryOut()
		}
		l.tend(ctx, now())
		l.carryOut()
	}
}

// tend looks who owns the duty, and does what the time asks for.
func (l *Lookout) tend(ctx context.Context, at time.Duration) {
	token, owns := l.s.owns(l.duty)
	if was := l.part.Leads(); was && (!owns || token != l.token) || !was && owns {
		for _, m := range l.mates {
			m.end()
		}
		clear(l.mates)
		l.token = token
		l.part.Lead(owns)
	}
	l.connect(ctx)
	if !broken("alone") || !l.part.Alone(at) {
		l.part.Tick(at)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.looks = Looks{Room: l.room, For: len(l.mates), Figures: l.part.Figures(), Follows: l.part.Follows()}
	switch {
	case owns:
		l.looks.By = l.s.me.Limiter
	case l.up != nil && !l.part.Alone(at):
		l.looks.By = l.up.to
	}
}

// carryOut does what has been decided.
func (l *Lookout) carryOut() {
	for _, a := range l.part.Acts() {
		switch a.Kind {
		case watch.Look:
			l.eyes.Look(a.Box)
		case watch.Believe:
			l.eyes.Word(a.Box, a.Is == watch.Well)
		case watch.Follow:
			l.eyes.Follow(a.Pool, a.Hold)
		case watch.Take:
			if err := l.eyes.Told(a.List.Pool, a.List.Seq, a.List.Whole, a.List.Hosts); err != nil {
				l.log.Warn("a list of the one that looks can't be read", "pool", a.List.Pool, "err", err)
				l.part.Itself(a.List.Pool)
			}
		case watch.Say:
			if l.up != nil {
				select {
				case l.up.out <- note{Note: a.Note}:
				default: // it is asked again
				}
			}
		case watch.TellWhole:
			if seq, hosts, ok := l.eyes.Whole(a.Pool); ok {
				l.tell(a.To, watch.Note{List: &watch.List{Pool: a.Pool, Seq: seq, Whole: true, Hosts: hosts}})
			}
		case watch.Tell:
			l.tell(a.To, a.Note)
		case watch.Resign:
			l.log.Warn("gives a duty up: others hear what this limiter does not", "duty", l.duty, "for", a.Hold.String())
			l.s.abstain(l.duty, a.Hold)
			l.s.resign(l.duty)
		}
	}
}

// tell tells one that this limiter looks for, or all of them. One that does not take its notes
// connects anew.
func (l *Lookout) tell(to string, n watch.Note) {
	for name, m := range l.mates {
		if to != "" && to != name {
			continue
		}
		select {
		case m.out <- note{l.token.String(), n}:
		default:
			m.end()
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
			l.part.Leave(name)
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
		n, err := receive(st, 0) // who has nothing to ask for says nothing; one that is gone takes no notes
		if err != nil {
			return
		}
		l.do(func(at time.Duration) {
			if l.mates[name] == m {
				l.part.From(at, name, n.Note)
			}
		})
	}
}

// join begins to look for a limiter.
func (l *Lookout) join(m *mate) {
	if before := l.mates[m.name]; before != nil {
		before.end()
	}
	l.mates[m.name] = m
	if !l.part.Join(m.name) {
		delete(l.mates, m.name)
		m.end()
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
		l.part.Cut()
	}
	if to == "" || l.up != nil {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	l.up = &uplink{to, make(chan note, mostNotes), stop}
	go l.hear(ctx, l.up)
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
				l.part.Cut()
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
		for i := range n.Words {
			if broken("word") && n.Words[i].Is != watch.Well {
				n.Words[i].Is = watch.Ill
			}
		}
		t, err := tenure.ParseToken(n.Token)
		if err == nil && t.Duty != l.duty {
			err = fmt.Errorf("token %v is not one of %s", t, l.duty)
		}
		if err == nil {
			err = l.admit(ctx, t, func(at time.Duration) {
				if l.up == up {
					l.part.Heard(at, n.Note)
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
