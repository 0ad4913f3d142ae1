// Package httpapi serves the external HTTP/1.1 API for servers, operators, and clients that look up their
// servers. It parses requests with net/http and writes responses itself: an http.Server would take more
// memory than the rest of a core machine's process.
package httpapi

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"example.org/madderdrum/internal/sockets"
)

const (
	headTimeout = 5 * time.Second
	idleTimeout = 60 * time.Second
	bodyTimeout = 20 * time.Second
	// abandonedTimeout is how long a read waits for the end of a connection: if a delayed request was
	// abandoned, its connection's FIN arrives together with it.
	abandonedTimeout = 2 * time.Millisecond
	// drainTimeout limits the wait for requests in flight when the server stops: callers wait no longer.
	drainTimeout      = time.Second
	drainPollInterval = 2 * time.Millisecond
)

// Answer is the response to a request.
type Answer struct {
	Status int
	Header map[string]string
	Body   []byte
	// ContentType is the media type of the body; empty means application/json.
	ContentType string
}

const contentTypeJSON = "application/json"

// Handler answers a request; body is its complete body.
type Handler func(ctx context.Context, r *http.Request, body []byte) Answer

// Server serves HTTP/1.1 requests with keep-alive.
type Server struct {
	Handler Handler
	MaxBody int64
	// DropAbandoned reports whether a request must not be handled if its caller has already closed the
	// connection: a request that a network partition delayed may arrive after the caller has given up on
	// it. If nil, no request is dropped.
	DropAbandoned func(r *http.Request) bool

	inFlight atomic.Int64 // requests whose first byte has arrived and that are not answered yet
}

// Serve accepts connections on l until ctx is done, and then waits up to drainTimeout for the requests in
// flight. The context passed to handlers is not canceled with ctx, so that accepted requests are answered.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	sockets.Accept(ctx, l, func(c net.Conn) { s.serveConnection(ctx, c) })
	for deadline := time.Now().Add(drainTimeout); s.inFlight.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
}

func (s *Server) serveConnection(ctx context.Context, c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	in := bufio.NewReaderSize(c, 2048)
	for first := true; ; first = false {
		timeout := idleTimeout
		if first {
			timeout = headTimeout
		}
		c.SetReadDeadline(time.Now().Add(timeout))
		if ctx.Err() != nil {
			return
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		if !s.serveRequest(ctx, c, in) {
			return
		}
	}
}

// serveRequest reads and answers one request, and reports whether the connection stays open for another one.
func (s *Server) serveRequest(ctx context.Context, c net.Conn, in *bufio.Reader) (keepOpen bool) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c.SetReadDeadline(time.Now().Add(headTimeout))
	r, err := http.ReadRequest(in)
	if err != nil {
		refuse(ctx, c, Answer{Status: 400, Body: []byte(`{"error":"the request can't be read"}`)})
		return false
	}
	c.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, s.MaxBody+1))
	if err != nil { // the connection broke or timed out: there is no caller left to answer
		return false
	}
	if int64(len(body)) > s.MaxBody {
		refuse(ctx, c, Answer{Status: 413, Body: []byte(`{"error":"the body is too long"}`)})
		return false
	}
	if s.DropAbandoned != nil && s.DropAbandoned(r) && abandoned(c, in) {
		return false
	}
	answer := s.Handler(context.WithoutCancel(ctx), r, body)
	last := r.Close || ctx.Err() != nil
	return writeAnswer(c, answer, last) == nil && !last
}

// abandoned reports whether the caller has already closed the connection.
func abandoned(c net.Conn, in *bufio.Reader) bool {
	c.SetReadDeadline(time.Now().Add(abandonedTimeout))
	_, err := in.Peek(1)
	var netError net.Error
	return err != nil && !(errors.As(err, &netError) && netError.Timeout())
}

// refuse answers a request that has not been read to its end. What the caller still sends is read and discarded, so
// that closing the connection does not lose the answer.
func refuse(ctx context.Context, c net.Conn, a Answer) {
	if writeAnswer(c, a, true) != nil {
		return
	}
	sockets.CloseWrite(c)
	sockets.Linger(c, func(passed time.Duration) bool { return ctx.Err() == nil && passed < bodyTimeout })
}

func writeAnswer(c net.Conn, a Answer, last bool) error {
	out := make([]byte, 0, 256+len(a.Body))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(a.Status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(a.Status)...)
	out = append(out, "\r\n"...)
	if len(a.Body) > 0 {
		out = append(append(append(out, "Content-Type: "...), cmp.Or(a.ContentType, contentTypeJSON)...), "\r\n"...)
	}
	for k, v := range a.Header {
		out = append(append(append(append(out, k...), ": "...), v...), "\r\n"...)
	}
	if last {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "Content-Length: "...)
	out = strconv.AppendInt(out, int64(len(a.Body)), 10)
	out = append(append(out, "\r\n\r\n"...), a.Body...)
	c.SetWriteDeadline(time.Now().Add(headTimeout))
	_, err := c.Write(out)
	return err
}
