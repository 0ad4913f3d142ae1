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
	watchStream     = "watch" // stream name of its connections
	tickInterval    = 100 * time.Millisecond
	maxQueuedEvents = 4096 // beyond it this limiter probes on its own
	maxQueuedNotes  = 256  // for one follower; one that falls further behind has to reconnect
)

// Prober makes this limiter's own probes of servers and of service discovery, and applies what the leader of
// the room reports. A box is a server.
type Prober interface {
	// Probe starts a probe of a server; its end is reported to RoomWatcher.ProbeFinished.
	Probe(box uint64)
	// ApplyVerdict applies the leader's verdict on a server.
	ApplyVerdict(box uint64, well bool)
	Pools() []string
	// FullList returns this limiter's full server list of a pool.
	FullList(pool string) (seq int64, hosts []byte, ok bool)
	// ApplyList applies a server list of the leader: the full list, or the changes to it.
	ApplyList(pool string, seq int64, whole bool, hosts []byte) error
	// PollAgent makes this limiter poll the discovery agent of a pool itself, with long polls of the
	// given length; 0: the leader sends the lists.
	PollAgent(pool string, hold time.Duration)
}

// note is a message between the leader of a room, which probes for it, and a follower.
type note struct {
	Token string `json:",omitempty"` // the leader's token, in all of its messages
	watch.Note
}

// WatchStatus describes the shared probing of a limiter's room, for operators.
type WatchStatus struct {
	Room string
	By   string // the leader that this limiter receives from; empty: it probes on its own
	For  int    `json:",omitempty"` // number of followers, on the leader
	watch.Figures
	Follows []string `json:",omitempty"` // pools whose discovery agents this limiter polls itself
}

// RoomWatcher is a limiter's part in the shared probing of its room, where the owner of the room's duty
// (the leader) probes servers for the others. Its exported methods may be called by any goroutine and
// never block; they queue events for the goroutine of run.
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

	// Used only by the goroutine of run.
	watcher    *watch.Watcher
	token      tenure.Token // while this limiter leads
	followers  map[string]*follower
	leaderLink *leaderConn // connection to the leader, nil if there is none
}

// follower is the connection of a limiter that this one probes for.
type follower struct {
	name       string
	queue      chan note
	disconnect func()
}

// leaderConn is the connection to the leader of the room. It reconnects until stop is called.
type leaderConn struct {
	leader string
	queue  chan note
	stop   func()
}

func newRoomWatcher(s *Service, room string) *RoomWatcher {
	return &RoomWatcher{service: s, prober: s.options.Prober, room: room, duty: watch.Duty(room), settings: watch.DefaultSettings(s.options.Terms.Term), log: s.log, wake: make(chan struct{}, 1),
		followers: map[string]*follower{}, status: WatchStatus{Room: room}}
}

// enqueue queues an event for the goroutine of run.
func (l *RoomWatcher) enqueue(f func(at time.Duration)) {
	l.mu.Lock()
	l.events = append(l.events, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// ReportUnhealthy reports that this limiter considers a server unhealthy; false: the queue is full.
func (l *RoomWatcher) ReportUnhealthy(box uint64) bool {
	l.mu.Lock()
	full := len(l.events) >= maxQueuedEvents
	l.mu.Unlock()
	if !full {
		l.enqueue(func(at time.Duration) { l.watcher.HandleUnhealthy(at, box) })
	}
	return !full
}

// ProbeFinished reports the result of this limiter's own probe; made is false if there was none.
func (l *RoomWatcher) ProbeFinished(box uint64, well, made bool) {
	verdict := map[bool]watch.Verdict{true: watch.Healthy, false: watch.Unhealthy}[well]
	if !made {
		verdict = ""
	}
	l.enqueue(func(at time.Duration) { l.watcher.FinishProbe(at, box, verdict) })
}

// AttemptFailed reports a failed attempt at a server.
func (l *RoomWatcher) AttemptFailed(box uint64) {
	l.enqueue(func(at time.Duration) { l.watcher.AttemptFailed(at, box) })
}

// AgentListed reports a server list that the discovery agent of a pool has sent to this limiter.
func (l *RoomWatcher) AgentListed(pool string, seq int64, whole bool, hosts []byte) {
	l.enqueue(func(time.Duration) {
		l.watcher.HandleAgentList(watch.List{Pool: pool, Seq: seq, Whole: whole, Hosts: hosts})
	})
}

// AgentLost reports that the discovery agent of a pool does not answer this limiter.
func (l *RoomWatcher) AgentLost(pool string) {
	l.enqueue(func(at time.Duration) { l.watcher.Lost(at, pool) })
}

// Status returns the state of the shared probing at the last tick.
func (l *RoomWatcher) Status() WatchStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

// run processes queued events and ticks until the context ends.
func (l *RoomWatcher) run(ctx context.Context) {
	l.watcher = watch.NewWatcher(l.settings, l.prober.Pools())
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

// tick checks who owns the duty, keeps the connection to the leader, runs timers and updates the status.
func (l *RoomWatcher) tick(ctx context.Context, at time.Duration) {
	token, owns := l.service.owns(l.duty)
	if was := l.watcher.IsLeader(); was && (!owns || token != l.token) || !was && owns {
		for _, m := range l.followers {
			m.disconnect()
		}
		clear(l.followers)
		l.token = token
		l.watcher.SetLeader(owns)
	}
	l.connect(ctx)
	if !checkDisabled("alone") || !l.watcher.NoLeader(at) {
		l.watcher.Tick(at)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = WatchStatus{Room: l.room, For: len(l.followers), Figures: l.watcher.Figures(), Follows: l.watcher.PolledPools()}
	switch {
	case owns:
		l.status.By = l.service.self.Limiter
	case l.leaderLink != nil && !l.watcher.NoLeader(at):
		l.status.By = l.leaderLink.leader
	}
}

// executeActions performs the actions that the watcher has decided on.
func (l *RoomWatcher) executeActions() {
	for _, a := range l.watcher.TakeActions() {
		switch a.Kind {
		case watch.Probe:
			l.prober.Probe(a.Box)
		case watch.ApplyVerdict:
			l.prober.ApplyVerdict(a.Box, a.Is == watch.Healthy)
		case watch.PollAgent:
			l.prober.PollAgent(a.Pool, a.Hold)
		case watch.ApplyList:
			if err := l.prober.ApplyList(a.List.Pool, a.List.Seq, a.List.Whole, a.List.Hosts); err != nil {
				l.log.Warn("could not read a server list of the room's leader", "pool", a.List.Pool, "err", err)
				l.watcher.FollowAgentDirectly(a.List.Pool)
			}
		case watch.SendToLeader:
			if l.leaderLink != nil {
				select {
				case l.leaderLink.queue <- note{Note: a.Note}:
				default: // the watcher asks again later
				}
			}
		case watch.SendFullList:
			if seq, hosts, ok := l.prober.FullList(a.Pool); ok {
				l.sendToFollowers(a.To, watch.Note{List: &watch.List{Pool: a.Pool, Seq: seq, Whole: true, Hosts: hosts}})
			}
		case watch.SendToFollowers:
			l.sendToFollowers(a.To, a.Note)
		case watch.Resign:
			l.log.Warn("gives a duty up: others hear what this limiter does not", "duty", l.duty, "for", a.Hold.String())
			l.service.abstain(l.duty, a.Hold)
			l.service.resign(l.duty)
		}
	}
}

// sendToFollowers queues a note for one follower, or for all if to is empty. A follower whose queue is
// full is disconnected and has to reconnect.
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

// serve handles the connection of a follower.
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
			l.watcher.RemoveFollower(name)
		}
	})
	go func() {
		defer m.disconnect()
		for {
			select {
			case n := <-m.queue:
				// Last check of ownership before sending.
				if t, owns := l.service.owns(l.duty); !owns || t.String() != n.Token || send(st, n) != nil {
					return
				}
			case <-ended:
				return
			}
		}
	}()
	for {
		n, err := receive(st, 0) // no timeout: an idle follower is silent, and a lost one is noticed when sending fails
		if err != nil {
			return
		}
		l.enqueue(func(at time.Duration) {
			if l.followers[name] == m {
				l.watcher.HandleFollowerNote(at, name, n.Note)
			}
		})
	}
}

// addFollower registers a follower, and replaces its earlier connection.
func (l *RoomWatcher) addFollower(m *follower) {
	if before := l.followers[m.name]; before != nil {
		before.disconnect()
	}
	l.followers[m.name] = m
	if !l.watcher.AddFollower(m.name) {
		delete(l.followers, m.name)
		m.disconnect()
	}
}

// connect keeps a connection to the owner of the duty, if that is another limiter.
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
		l.watcher.LeaderDisconnected()
	}
	if to == "" || l.leaderLink != nil {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	l.leaderLink = &leaderConn{to, make(chan note, maxQueuedNotes), stop}
	go l.followLeader(ctx, l.leaderLink)
}

// followLeader receives notes of the leader, and reconnects with backoff, until the context ends.
func (l *RoomWatcher) followLeader(ctx context.Context, conn *leaderConn) {
	pause := &backoff.ExponentialBackOff{InitialInterval: 50 * time.Millisecond, MaxInterval: time.Second, Multiplier: 2, RandomizationFactor: 0.5}
	pause.Reset()
	for ctx.Err() == nil {
		received, err := l.receiveFromLeader(ctx, conn)
		if received {
			pause.Reset()
		}
		l.log.Debug("no connection to the room's leader", "limiter", conn.leader, "err", err)
		l.enqueue(func(time.Duration) {
			if l.leaderLink == conn {
				l.watcher.LeaderDisconnected()
			}
		})
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// receiveFromLeader runs one connection to the leader. received is true if any note was accepted.
func (l *RoomWatcher) receiveFromLeader(ctx context.Context, conn *leaderConn) (received bool, err error) {
	st, err := l.service.host.Dial(ctx, conn.leader, watchStream)
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(ctx, st.Close)()
	for len(conn.queue) > 0 { // drop outdated notes
		<-conn.queue
	}
	go func() {
		for {
			select {
			case n := <-conn.queue:
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
		n, err := receive(st, l.settings.AnswerTimeout)
		if err != nil {
			return received, err
		}
		for i := range n.Words {
			if checkDisabled("word") && n.Words[i].Is != watch.Healthy {
				n.Words[i].Is = watch.Unhealthy
			}
		}
		t, err := tenure.ParseToken(n.Token)
		if err == nil && t.Duty != l.duty {
			err = fmt.Errorf("token %v is not one of %s", t, l.duty)
		}
		if err == nil {
			err = l.admit(ctx, t, func(at time.Duration) {
				if l.leaderLink == conn {
					l.watcher.LeaderHeard(at, n.Note)
				}
			})
		}
		if err != nil {
			return received, err
		}
		received = true
	}
}

// admit queues an event if the token is valid here.
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
		return n, fmt.Errorf("cannot decode a note: %w", err)
	}
	return n, nil
}
