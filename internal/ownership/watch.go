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
	watchStream     = "watch" // what its connections are for
	tickInterval    = 100 * time.Millisecond
	maxQueuedEvents = 4096 // events that wait; past them the limiter looks itself
	maxQueuedNotes  = 256  // for one limiter that wait; one that is further behind connects anew
)

// Eyes are this limiter's own looks at boxes and at discovery, and what it believes of others'.
type Prober interface {
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
type WatchStatus struct {
	Room string
	By   string // who looks for the room, as far as this limiter hears it; empty: each for itself
	For  int    `json:",omitempty"` // limiters that this one looks for
	watch.Figures
	Follows []string `json:",omitempty"` // pools whose agents it follows itself
}

// Lookout is a limiter's part in the looks of its room. Its methods may be called by any
// goroutine and never block; what they bring about is done by its own.
type RoomWatcher struct {
	service  *Service
	prober   Prober
	room     string
	duty     string
	settings watch.Settings
	log      *slog.Logger

	mu     sync.Mutex
	events []func(at time.Duration)
	wake   chan struct{}
	status WatchStatus

	// The loop's own.
	watcher    *watch.Part
	token      tenure.Token // while this limiter looks
	followers  map[string]*follower
	leaderLink *leaderConn // to the one that looks
}

// mate is a limiter that this one looks for.
type follower struct {
	name       string
	queue      chan note
	disconnect func()
}

// uplink is the way to the one that looks.
type leaderConn struct {
	leader string
	queue  chan note
	stop   func()
}

func newRoomWatcher(s *Service, room string) *RoomWatcher {
	return &RoomWatcher{service: s, prober: s.options.Eyes, room: room, duty: watch.Duty(room), settings: watch.DefaultSettings(s.options.Terms.Term), log: s.log, wake: make(chan struct{}, 1),
		followers: map[string]*follower{}, status: WatchStatus{Room: room}}
}

// do has the loop do something.
func (l *RoomWatcher) enqueue(f func(at time.Duration)) {
	l.mu.Lock()
	l.events = append(l.events, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Want is told that a box is held as ill here; false: there is more to do than can be done.
func (l *RoomWatcher) Want(box uint64) bool {
	l.mu.Lock()
	full := len(l.events) >= maxQueuedEvents
	l.mu.Unlock()
	if !full {
		l.enqueue(func(at time.Duration) { l.watcher.Want(at, box) })
	}
	return !full
}

// Looked is told how a look of this limiter's own has ended.
func (l *RoomWatcher) Looked(box uint64, well, made bool) {
	saw := map[bool]watch.Verdict{true: watch.Well, false: watch.Ill}[well]
	if !made {
		saw = ""
	}
	l.enqueue(func(at time.Duration) { l.watcher.Looked(at, box, saw) })
}

// Failed is told that an attempt has failed at a box.
func (l *RoomWatcher) Failed(box uint64) {
	l.enqueue(func(at time.Duration) { l.watcher.Failed(at, box) })
}

// Listed is told what the agent of a pool has said to this limiter.
func (l *RoomWatcher) Listed(pool string, seq int64, whole bool, hosts []byte) {
	l.enqueue(func(time.Duration) { l.watcher.Listed(watch.List{Pool: pool, Seq: seq, Whole: whole, Hosts: hosts}) })
}

// Lost is told that the agent of a pool does not answer this limiter.
func (l *RoomWatcher) Lost(pool string) {
	l.enqueue(func(at time.Duration) { l.watcher.Lost(at, pool) })
}

// Looks are how looks are shared here.
func (l *RoomWatcher) Status() WatchStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

// run is the loop.
func (l *RoomWatcher) run(ctx context.Context) {
	l.watcher = watch.NewPart(l.settings, l.prober.Pools())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-ticker.C:
		}
		l.mu.Lock()
		events := l.events
		l.events = nil
		l.mu.Unlock()
		for _, f := range events {
			f(now())
			l.executeActions()
		}
		l.tick(ctx, now())
		l.executeActions()
	}
}

// tend looks who owns the duty, and does what the time asks for.
func (l *RoomWatcher) tick(ctx context.Context, at time.Duration) {
	token, owns := l.service.owns(l.duty)
	if was := l.watcher.Leads(); was && (!owns || token != l.token) || !was && owns {
		for _, m := range l.followers {
			m.disconnect()
		}
		clear(l.followers)
		l.token = token
		l.watcher.Lead(owns)
	}
	l.connect(ctx)
	if !checkDisabled("alone") || !l.watcher.Alone(at) {
		l.watcher.Tick(at)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = WatchStatus{Room: l.room, For: len(l.followers), Figures: l.watcher.Figures(), Follows: l.watcher.Follows()}
	switch {
	case owns:
		l.status.By = l.service.self.Limiter
	case l.leaderLink != nil && !l.watcher.Alone(at):
		l.status.By = l.leaderLink.leader
	}
}

// carryOut does what has been decided.
func (l *RoomWatcher) executeActions() {
	for _, a := range l.watcher.Acts() {
		switch a.Kind {
		case watch.Look:
			l.prober.Look(a.Box)
		case watch.Believe:
			l.prober.Word(a.Box, a.Is == watch.Well)
		case watch.Follow:
			l.prober.Follow(a.Pool, a.Hold)
		case watch.Take:
			if err := l.prober.Told(a.List.Pool, a.List.Seq, a.List.Whole, a.List.Hosts); err != nil {
				l.log.Warn("a list of the one that looks can't be read", "pool", a.List.Pool, "err", err)
				l.watcher.Itself(a.List.Pool)
			}
		case watch.Say:
			if l.leaderLink != nil {
				select {
				case l.leaderLink.queue <- note{Note: a.Note}:
				default: // it is asked again
				}
			}
		case watch.TellWhole:
			if seq, hosts, ok := l.prober.Whole(a.Pool); ok {
				l.sendToFollowers(a.To, watch.Note{List: &watch.List{Pool: a.Pool, Seq: seq, Whole: true, Hosts: hosts}})
			}
		case watch.Tell:
			l.sendToFollowers(a.To, a.Note)
		case watch.Resign:
			l.log.Warn("gives a duty up: others hear what this limiter does not", "duty", l.duty, "for", a.Hold.String())
			l.service.abstain(l.duty, a.Hold)
			l.service.resign(l.duty)
		}
	}
}

// tell tells one that this limiter looks for, or all of them. One that does not take its notes
// connects anew.
func (l *RoomWatcher) sendToFollowers(to string, n watch.Note) {
	for name, m := range l.followers {
		if to != "" && to != name {
			continue
		}
		select {
		case m.queue <- note{l.token.String(), n}:
		default:
			m.disconnect()
		}
	}
}

// serve is a connection of another limiter of the room that this one is to look for.
func (l *RoomWatcher) serve(name string, st *agreement.Stream) {
	if l.service.options.Rooms[name] != l.room {
		l.log.Warn("turned a limiter away that is not of this room", "limiter", name, "room", l.room)
		return
	}
	ended := make(chan struct{})
	m := &follower{name: name, queue: make(chan note, maxQueuedNotes), disconnect: sync.OnceFunc(func() { close(ended); st.Close() })}
	defer m.disconnect()
	l.enqueue(func(time.Duration) { l.addFollower(m) })
	defer l.enqueue(func(time.Duration) {
		if l.followers[name] == m {
			delete(l.followers, name)
			l.watcher.Leave(name)
		}
	})
	go func() {
		defer m.disconnect()
		for {
			select {
			case n := <-m.queue:
				// The last look before the effect.
				if t, owns := l.service.owns(l.duty); !owns || t.String() != n.Token || send(st, n) != nil {
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
		l.enqueue(func(at time.Duration) {
			if l.followers[name] == m {
				l.watcher.From(at, name, n.Note)
			}
		})
	}
}

// join begins to look for a limiter.
func (l *RoomWatcher) addFollower(m *follower) {
	if before := l.followers[m.name]; before != nil {
		before.disconnect()
	}
	l.followers[m.name] = m
	if !l.watcher.Join(m.name) {
		delete(l.followers, m.name)
		m.disconnect()
	}
}

// connect keeps a connection to the one that looks, if that is another one.
func (l *RoomWatcher) connect(ctx context.Context) {
	to := ""
	l.service.machine.withState(func(st *state) {
		if t := st.Terms.Terms[l.duty]; t != nil && t.Owner.Limiter != l.service.self.Limiter {
			to = t.Owner.Limiter
		}
	})
	if l.leaderLink != nil && l.leaderLink.leader != to {
		l.leaderLink.stop()
		l.leaderLink = nil
		l.watcher.Cut()
	}
	if to == "" || l.leaderLink != nil {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	l.leaderLink = &leaderConn{to, make(chan note, maxQueuedNotes), stop}
	go l.followLeader(ctx, l.leaderLink)
}

// hear hears the one that looks until the context ends.
func (l *RoomWatcher) followLeader(ctx context.Context, up *leaderConn) {
	pause := &backoff.ExponentialBackOff{InitialInterval: 50 * time.Millisecond, MaxInterval: time.Second, Multiplier: 2, RandomizationFactor: 0.5}
	pause.Reset()
	for ctx.Err() == nil {
		heard, err := l.receiveFromLeader(ctx, up)
		if heard {
			pause.Reset()
		}
		l.log.Debug("the one that looks for the room is not heard", "limiter", up.leader, "err", err)
		l.enqueue(func(time.Duration) {
			if l.leaderLink == up {
				l.watcher.Cut()
			}
		})
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// talk is one connection to the one that looks.
func (l *RoomWatcher) receiveFromLeader(ctx context.Context, up *leaderConn) (heard bool, err error) {
	st, err := l.service.host.Dial(ctx, up.leader, watchStream)
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(ctx, st.Close)()
	for len(up.queue) > 0 { // stale by now
		<-up.queue
	}
	go func() {
		for {
			select {
			case n := <-up.queue:
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
		n, err := receive(st, l.settings.Patience)
		if err != nil {
			return heard, err
		}
		for i := range n.Words {
			if checkDisabled("word") && n.Words[i].Is != watch.Well {
				n.Words[i].Is = watch.Ill
			}
		}
		t, err := tenure.ParseToken(n.Token)
		if err == nil && t.Duty != l.duty {
			err = fmt.Errorf("token %v is not one of %s", t, l.duty)
		}
		if err == nil {
			err = l.admit(ctx, t, func(at time.Duration) {
				if l.leaderLink == up {
					l.watcher.Heard(at, n.Note)
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
func (l *RoomWatcher) admit(ctx context.Context, t tenure.Token, f func(at time.Duration)) error {
	ctx, done := context.WithTimeout(ctx, proposeTimeout)
	defer done()
	return l.service.admit(ctx, t, func() error {
		l.enqueue(f)
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
