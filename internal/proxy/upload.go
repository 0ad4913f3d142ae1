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
	bodyHeld     = 1 << 20 // of a request's body that is held, so that it can go to another server
	uploadPauses = 10 * time.Second
)

// upload is the rest of a long request body that is still with its client. It is passed on to the
// first server that takes it: once that has begun no other server can have the request.
type upload struct {
	rest   io.Reader // what is not held, to its end
	from   net.Conn  // whose it is
	length int64     // of the whole body; below 0: it is not known
	left   int64     // that may still come where the length is not known
	begun  bool
	long   bool // it came to more than may be

	finished chan struct{} // closed once nothing more of it is read
	finish   func()        // closes it
}

var errBodyTooLong = errors.New("the body is too long")

// clientBodyError tells that a request's body did not come whole from its client, which says nothing of
// the server that it was passed on to.
type clientBodyError struct{ err error }

func (e *clientBodyError) Error() string { return "read the request's body: " + e.err.Error() }

func (e *clientBodyError) Unwrap() error { return e.err }

// newUpload is the rest of a request's body behind what is held of it. Where its length is not known, left
// bytes may come at most.
func newUpload(r *http.Request, from net.Conn, left int64) *upload {
	finished := make(chan struct{})
	return &upload{rest: r.Body, from: from, length: r.ContentLength, left: left,
		finished: finished, finish: sync.OnceFunc(func() { close(finished) })}
}

// pass hands the rest on behind what was held. An error tells that the server has not had all of
// it.
func (u *upload) pass(to net.Conn, l *link, stopAt time.Time) error {
	u.begun = true
	defer u.finish()
	buf := make([]byte, 16<<10)
	for {
		until := time.Now().Add(uploadPauses)
		if stopAt.Before(until) {
			until = stopAt
		}
		u.from.SetReadDeadline(until)
		n, err := u.rest.Read(buf[:min(len(buf), l.out.Piece())])
		if u.length < 0 {
			if u.left -= int64(n); u.left < 0 {
				u.long = true
				return errBodyTooLong
			}
		}
		if n > 0 {
			l.piece(l.out, n)
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

// linger takes in for a while what a client still sends behind its last answer: closing with
// bytes unread would take the answer with it.
func linger(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(hangUpWithin))
	io.Copy(io.Discard, io.LimitReader(c, 64<<20))
}
