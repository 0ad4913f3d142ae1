package proxy

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// maxReadAhead is how many bytes are read ahead once a connection has maxPipelined requests in flight, in order to
// notice a disconnect.
const maxReadAhead = 16 << 10

// watchReadSize is the size in bytes of reads that only watch for a disconnect. Normally nothing arrives.
const watchReadSize = 512

// longPast is a read deadline that ends a blocked read at once.
var longPast = time.Unix(1, 0)

// pendingRequest is a request in the answer queue of its connection.
type pendingRequest struct {
	done   chan *answer
	end    bool // the connection closes after the answer
	id     string
	readAt time.Time // when the complete request had been read
	// handOff belongs to the request; nil: the request is rejected without being served.
	handOff *handOff
}

// pipeline keeps the order of a connection's requests. An answer with "Connection: close" is the last: requests
// read after it are not started, and the client must send them again.
type pipeline struct {
	conn     net.Conn
	openedAt time.Time
	client   *clientContext
	queue    chan *pendingRequest
	permits  chan struct{} // one for each request in flight

	// Used only by the reader.
	upload      *upload // long body that ends the connection; nil: none
	unreadInput bool    // unread input remains after the last answer, in the middle of a request

	mu               sync.Mutex        // guards the fields below
	pending          []*pendingRequest // requests whose answers have not been started, in order
	closing          bool              // the connection's last answer has been started
	waitingForPermit bool              // the reader waits for a permit; releasePermit interrupts its read
	allWritten       bool              // all answers are written
	intakeStopped    bool              // no further request is read
	awaitingRequest  bool              // the reader waits for the next request
}

func newPipeline(c net.Conn) *pipeline {
	return &pipeline{conn: c, openedAt: time.Now(), client: newClientContext(),
		queue: make(chan *pendingRequest, maxPipelined+1), permits: make(chan struct{}, maxPipelined)}
}

// enqueue appends a request to the queue. It returns false if the connection's last answer has been started.
func (pipe *pipeline) enqueue(req *pendingRequest) bool {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	if pipe.closing {
		return false
	}
	pipe.pending = append(pipe.pending, req)
	pipe.queue <- req // never blocks: the capacity exceeds the number of permits by one
	return true
}

// inFlight returns the number of requests whose answers have not been started.
func (pipe *pipeline) inFlight() int {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	return len(pipe.pending)
}

// unanswered returns the requests whose answers have not been started, in order.
func (pipe *pipeline) unanswered() []*pendingRequest {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	return slices.Clone(pipe.pending)
}

// startAnswer marks the answer to a request as started and reports whether it is the connection's last. If closing
// is set, it is the last one when no other request is pending.
func (pipe *pipeline) startAnswer(req *pendingRequest, leaving bool) bool {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	pipe.pending = slices.DeleteFunc(pipe.pending, func(other *pendingRequest) bool { return other == req })
	pipe.closing = pipe.closing || req.end || leaving && len(pipe.pending) == 0
	if pipe.closing && pipe.awaitingRequest {
		pipe.conn.SetReadDeadline(longPast)
	}
	return pipe.closing
}

// isClosing reports whether the connection's last answer has been started.
func (pipe *pipeline) isClosing() bool {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	return pipe.closing
}

// stopIntake stops reading further requests and interrupts a reader that waits for one.
func (pipe *pipeline) stopIntake() {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	pipe.intakeStopped = true
	if pipe.awaitingRequest {
		pipe.conn.SetReadDeadline(longPast)
	}
}

// beginAwait sets the reader's deadline for the next request. It returns false if no further request is read.
func (pipe *pipeline) beginAwait(until time.Time) bool {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	if pipe.intakeStopped || pipe.closing {
		return false
	}
	pipe.awaitingRequest = true
	pipe.conn.SetReadDeadline(until)
	return true
}

// endAwait marks that the reader no longer waits for a request.
func (pipe *pipeline) endAwait() {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	pipe.awaitingRequest = false
}

// acquirePermit waits until the connection has fewer than maxPipelined requests in flight. Meanwhile it reads
// ahead up to maxReadAhead bytes in order to notice a disconnect; the returned reader continues after them. The
// error is that of reading from the client.
func (pipe *pipeline) acquirePermit(in *bufio.Reader) (*bufio.Reader, error) {
	for !pipe.tryAcquirePermit() {
		if in.Buffered() == in.Size() {
			if in.Size() >= maxReadAhead {
				pipe.permits <- struct{}{}
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

// tryAcquirePermit takes a permit if one is free. Otherwise the next read is interrupted when one is released.
func (pipe *pipeline) tryAcquirePermit() bool {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	select {
	case pipe.permits <- struct{}{}:
		pipe.waitingForPermit = false
		return true
	default:
	}
	pipe.waitingForPermit = true
	pipe.conn.SetReadDeadline(time.Time{})
	return false
}

// releasePermit releases the permit of an answered request.
func (pipe *pipeline) releasePermit() {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	<-pipe.permits
	if pipe.waitingForPermit {
		pipe.waitingForPermit = false
		pipe.conn.SetReadDeadline(longPast)
	}
}

// markAllWritten marks all answers as written and interrupts watchClient.
func (pipe *pipeline) markAllWritten() {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	pipe.allWritten = true
	pipe.conn.SetReadDeadline(longPast)
}

// beginWatch removes the read deadline until all answers are written, and reports whether they are already.
func (pipe *pipeline) beginWatch() (allWritten bool) {
	pipe.mu.Lock()
	defer pipe.mu.Unlock()
	if !pipe.allWritten {
		pipe.conn.SetReadDeadline(time.Time{})
	}
	return pipe.allWritten
}

// watchClient keeps reading after a connection's last request in order to notice a disconnect before the answers
// are written. What it reads is discarded.
func (pipe *pipeline) watchClient() readEnd {
	if pipe.upload != nil {
		<-pipe.upload.finished
	}
	if pipe.beginWatch() {
		return readingStopped
	}
	ignored := make([]byte, watchReadSize)
	for {
		if _, err := pipe.conn.Read(ignored); err != nil {
			return readEndFor(err)
		}
	}
}
