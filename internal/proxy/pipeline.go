package proxy

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// readAheadMost is how much of what a client sends behind as many requests as may be in hand is read,
// to see it leave.
const readAheadMost = 16 << 10

// watchPiece is how much is read at once of what belongs to no request, in bytes: mostly nothing comes.
const watchPiece = 512

// longPast is a deadline that ends a read at once.
var longPast = time.Unix(1, 0)

// slot is the place of a request in the order of its connection.
type slot struct {
	done chan *answer
	end  bool // the connection closes behind it
	id   string
	read time.Time // when the request had been read whole
	// handOff is the request's; nil: it is answered at once.
	handOff *handOff
}

// pipeline is the order of a connection's requests. An answer that says that the connection closes
// is its last: what is read behind it is not begun, and its client sends it again.
type pipeline struct {
	conn   net.Conn
	opened time.Time
	client *disconnect
	slots  chan *slot
	places chan struct{} // one for each request in hand

	// What follows is the reader's.
	upload *upload // the long body that the connection ends with; nil: none
	unread bool    // what stands behind the last answer was left in the middle of a request

	mu         sync.Mutex // round what follows
	due        []*slot    // of requests that were taken in and whose answers are still to be begun, in their order
	ended      bool
	waiting    bool // the reader waits for a place: its read is to end when there is one
	written    bool // all answers are
	intakeOver bool // no further request is read
	awaiting   bool // the reader waits for a request
}

func newPipeline(c net.Conn) *pipeline {
	return &pipeline{conn: c, opened: time.Now(), client: newDisconnect(), slots: make(chan *slot, pipelineMost+1), places: make(chan struct{}, pipelineMost)}
}

// enter takes a request in, unless the connection's last answer has been begun.
func (l *pipeline) enter(s *slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.due = append(l.due, s)
	l.slots <- s // it has room for one more than there are places
	return true
}

// inHand is how many requests were taken in and have no answer yet.
func (l *pipeline) inHand() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.due)
}

// unanswered are the requests that were taken in and have no answer yet, in their order.
func (l *pipeline) unanswered() []*slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.due)
}

// last tells, when an answer is begun, whether it is the connection's last: with closing it is
// when no other is due.
func (l *pipeline) last(s *slot, closing bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = slices.DeleteFunc(l.due, func(other *slot) bool { return other == s })
	l.ended = l.ended || s.end || closing && len(l.due) == 0
	if l.ended && l.awaiting {
		l.conn.SetReadDeadline(longPast)
	}
	return l.ended
}

// hungUp tells that the connection's last answer has been begun.
func (l *pipeline) hungUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// stopIntake has no further request read. A reader that waits for one ends at once.
func (l *pipeline) stopIntake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.intakeOver = true
	if l.awaiting {
		l.conn.SetReadDeadline(longPast)
	}
}

// beginAwait has the reader wait for a request until then, and tells whether there is one to wait for.
func (l *pipeline) beginAwait(until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.intakeOver || l.ended {
		return false
	}
	l.awaiting = true
	l.conn.SetReadDeadline(until)
	return true
}

// endAwait tells that the reader does not wait for a request any more.
func (l *pipeline) endAwait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaiting = false
}

// takePlace waits until fewer requests are in hand than may be. Meanwhile it reads ahead, up to
// readAheadMost, so that the client is seen to leave; the reader that it returns goes on behind that.
// Its error is that of reading from the client.
func (l *pipeline) takePlace(in *bufio.Reader) (*bufio.Reader, error) {
	for !l.tryPlace() {
		if in.Buffered() == in.Size() {
			if in.Size() >= readAheadMost {
				l.places <- struct{}{}
				return in, nil
			}
			in = bufio.NewReaderSize(in, 2*in.Size())
		}
		_, err := in.Peek(in.Buffered() + 1)
		var network net.Error
		if err != nil && !(errors.As(err, &network) && network.Timeout()) {
			return in, err
		}
	}
	return in, nil
}

// tryPlace takes a place if there is one. If not, the next read of the connection ends when one is free.
func (l *pipeline) tryPlace() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.places <- struct{}{}:
		l.waiting = false
		return true
	default:
	}
	l.waiting = true
	l.conn.SetReadDeadline(time.Time{})
	return false
}

// freePlace frees the place of a request that has its answer.
func (l *pipeline) freePlace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	<-l.places
	if l.waiting {
		l.waiting = false
		l.conn.SetReadDeadline(longPast)
	}
}

// answered tells that all answers are written: whoever watches the client ends.
func (l *pipeline) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written = true
	l.conn.SetReadDeadline(longPast)
}

// beginWatch has reads wait until all answers are written, and tells whether they are already.
func (l *pipeline) beginWatch() (written bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.written {
		l.conn.SetReadDeadline(time.Time{})
	}
	return l.written
}

// watch reads on behind a connection's last request, to see the client leave before it has its answers.
// What the client sends there belongs to no request that is answered.
func (l *pipeline) watch() readEnd {
	if l.upload != nil {
		<-l.upload.finished
	}
	if l.beginWatch() {
		return readsNoMore
	}
	ignored := make([]byte, watchPiece)
	for {
		if _, err := l.conn.Read(ignored); err != nil {
			return endOf(err)
		}
	}
}
