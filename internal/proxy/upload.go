package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maxHeldBody       = 1 << 20 // bytes of a request body that are kept, so that it can be sent to another server
	uploadReadTimeout = 10 * time.Second
)

// upload is the remainder of a long request body that has not been read from the client. It is forwarded to the
// first server that accepts the request; once that has started, the request cannot be sent to another server.
type upload struct {
	rest      io.Reader // body after the part that is held
	from      net.Conn  // the client's connection
	length    int64     // of the whole body; negative: unknown
	remaining int64     // bytes that may still come if the length is unknown
	started   bool      // forward has begun to read it
	tooLong   bool      // the body exceeded its limit

	finished chan struct{} // closed when nothing more of it is read
	finish   func()        // closes finished; may be called repeatedly

	mu      sync.Mutex
	stopped bool // nothing more may be read
	ended   bool // forward, which had started, has returned
}

var (
	errBodyTooLong   = errors.New("the body is too long")
	errUploadStopped = errors.New("the server has answered before the body was complete")
)

// clientBodyError means that a request's body could not be read completely from the client. It says nothing about
// the server that the body was forwarded to.
type clientBodyError struct{ err error }

func (e *clientBodyError) Error() string { return "read request body: " + e.err.Error() }

func (e *clientBodyError) Unwrap() error { return e.err }

// newUpload returns the remainder of a request's body after the held part. If its length is unknown, it may have
// left bytes at most.
func newUpload(r *http.Request, from net.Conn, remaining int64) *upload {
	finished := make(chan struct{})
	return &upload{rest: r.Body, from: from, length: r.ContentLength, remaining: remaining,
		finished: finished, finish: sync.OnceFunc(func() { close(finished) })}
}

// beginRead sets the deadline for the next read from the client. It returns false after stop.
func (u *upload) beginRead(until time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return false
	}
	u.started = true
	u.from.SetReadDeadline(until)
	return true
}

// endReads marks that forward has returned. If it had read anything, the client's connection is free for others.
func (u *upload) endReads() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.started {
		u.ended = true
		u.finish()
	}
}

// stop ends forward at its next read from the client, or interrupts that read.
func (u *upload) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	if u.started && !u.ended {
		u.from.SetReadDeadline(longPast)
	}
}

// allow allows forward again after stop.
func (u *upload) allow() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = false
}

// forward sends the remainder to a server that has received the held part. On error the server has not received
// the whole body.
func (u *upload) forward(to net.Conn, l *link, deadline time.Time) error {
	defer u.endReads()
	buf := make([]byte, 16<<10)
	for {
		until := time.Now().Add(uploadReadTimeout)
		if deadline.Before(until) {
			until = deadline
		}
		if !u.beginRead(until) {
			return errUploadStopped
		}
		n, err := u.rest.Read(buf[:min(len(buf), l.out.ChunkSize())])
		if u.length < 0 {
			if u.remaining -= int64(n); u.remaining < 0 {
				u.tooLong = true
				return errBodyTooLong
			}
		}
		if n > 0 {
			l.waitForPiece(l.out, n)
			out := buf[:n]
			if u.length < 0 {
				out = append(append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...), out...)
				out = append(out, "\r\n"...)
			}
			if _, werr := to.Write(out); werr != nil {
				return werr
			}
		}
		switch {
		case err == io.EOF && u.length < 0:
			_, err = io.WriteString(to, "0\r\n\r\n")
			return err
		case err == io.EOF:
			return nil
		case err != nil:
			return &clientBodyError{err}
		}
	}
}
