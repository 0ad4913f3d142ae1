// Package rpc carries calls between the system's own processes: frames of a length and a
// CBOR value over kept TCP connections, one call at a time on each.
package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"example.org/madderdrum/internal/sockets"
)

const (
	maxFrame = 16 << 20
	maxIdle  = 4 // kept connections to one address
	idleFor  = 20 * time.Second
	// connectWithin is several times as long as regions are apart. The opening packet to a
	// machine that is just starting is lost, and sent again after a second.
	connectWithin = 250 * time.Millisecond
	userTimeout   = 1500 // ms that sent bytes may be unacknowledged: a machine without power says nothing
)

// Error tells what went wrong with a call.
type Error struct {
	To, Call string
	// Unsent tells that the other end can't have had the call.
	Unsent bool
	Err    error
}

func (e *Error) Error() string { return fmt.Sprintf("call %s of %s: %v", e.Call, e.To, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

type request struct {
	Call string          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
	// ID numbers the calls of a connection: an answer belongs to the call whose number it carries.
	ID uint64 `cbor:"3,keyasint,omitempty"`
}

type response struct {
	Err  string          `cbor:"1,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	ID   uint64          `cbor:"3,keyasint,omitempty"`
}

var errOtherCall = errors.New("the answer is that of another call")

func write(w io.Writer, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

var errTooLong = errors.New("a frame is too long")

func read(r io.Reader, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return errTooLong
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return cbor.Unmarshal(body, v)
}

// Caller makes calls. It is safe for concurrent use.
type Caller struct {
	mu   sync.Mutex
	idle map[string][]*line
}

type line struct {
	net.Conn
	in     *bufio.Reader
	idleAt time.Time
	calls  uint64 // made so far
}

// NewCaller returns a Caller.
func NewCaller() *Caller { return &Caller{idle: map[string][]*line{}} }

func (c *Caller) take(to string) *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		all := c.idle[to]
		if len(all) == 0 {
			return nil
		}
		l := all[len(all)-1]
		c.idle[to] = all[:len(all)-1]
		if time.Since(l.idleAt) < idleFor {
			return l
		}
		l.Close()
	}
}

func (c *Caller) put(to string, l *line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[to]) >= maxIdle {
		l.Close()
		return
	}
	l.idleAt = time.Now()
	c.idle[to] = append(c.idle[to], l)
}

// drop closes what is kept to an address.
func (c *Caller) drop(to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idle[to] {
		l.Close()
	}
	delete(c.idle, to)
}

// Call calls to and waits for the answer until the time is over.
func (c *Caller) Call(ctx context.Context, to, call string, ask, answer any, within time.Duration) error {
	body, err := cbor.Marshal(ask)
	if err != nil {
		return &Error{to, call, true, err}
	}
	until := time.Now().Add(within)
	for {
		l := c.take(to)
		kept := l != nil
		if l == nil {
			d := net.Dialer{Timeout: min(connectWithin, time.Until(until)), KeepAlive: -1, Control: Patience}
			nc, err := d.DialContext(ctx, "tcp", to)
			if err != nil {
				return &Error{to, call, true, err}
			}
			l = &line{Conn: nc, in: bufio.NewReaderSize(nc, 2048)}
		}
		l.SetDeadline(until)
		stop := context.AfterFunc(ctx, func() { l.SetDeadline(time.Unix(1, 0)) })
		l.calls++
		err := write(l, &request{Call: call, Body: body, ID: l.calls})
		var r response
		if err == nil {
			err = read(l.in, &r)
		}
		if err == nil && r.ID != l.calls {
			err = errOtherCall
		}
		stop()
		if err != nil {
			l.Close()
			c.drop(to)
			if kept && ctx.Err() == nil && time.Now().Before(until) {
				continue // the other end may have begun anew; calls can all be repeated
			}
			return &Error{to, call, false, err}
		}
		c.put(to, l)
		if r.Err != "" {
			return &Error{to, call, false, errors.New(r.Err)}
		}
		if answer != nil {
			if err := cbor.Unmarshal(r.Body, answer); err != nil {
				return &Error{to, call, false, err}
			}
		}
		return nil
	}
}

// Patience has a connection end when what was sent stays unacknowledged.
func Patience(_, _ string, raw syscall.RawConn) error {
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
	}); err != nil {
		return err
	}
	return failed
}

// Handler answers a call. body is its CBOR value.
type Handler func(ctx context.Context, body []byte) (any, error)

// TypedHandler is a handler of calls that carry a value of one type.
func TypedHandler[M any](answer func(context.Context, M) (any, error)) Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		var m M
		if err := Decode(body, &m); err != nil {
			return nil, err
		}
		return answer(ctx, m)
	}
}

// Asking is a handler of calls that carry nothing.
func Asking(answer func(context.Context) (any, error)) Handler {
	return func(ctx context.Context, _ []byte) (any, error) { return answer(ctx) }
}

// Serve answers calls on a listener until the context ends.
func Serve(ctx context.Context, l net.Listener, calls map[string]Handler) {
	sockets.Accept(ctx, l, func(c net.Conn) { serve(ctx, c, calls) })
}

func serve(ctx context.Context, nc net.Conn, calls map[string]Handler) {
	defer nc.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	in := bufio.NewReaderSize(nc, 2048)
	for {
		var q request
		nc.SetReadDeadline(time.Now().Add(2 * idleFor))
		if read(in, &q) != nil {
			return
		}
		r := response{ID: q.ID}
		if h := calls[q.Call]; h == nil {
			r.Err = "unknown call"
		} else if answer, err := h(ctx, q.Body); err != nil {
			r.Err = err.Error()
		} else if r.Body, err = cbor.Marshal(answer); err != nil {
			r.Err = err.Error()
		}
		nc.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if write(nc, &r) != nil {
			return
		}
	}
}

// Decode reads the body of a call.
func Decode(body []byte, to any) error { return cbor.Unmarshal(body, to) }

// Encode writes a CBOR value.
func Encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("rpc: a value of our own can't be written: %v", err)) // a broken invariant
	}
	return b
}

// CallStatus asks a process how it stands.
const CallStatus = "status"

// Status is how a process stands: lines of key=value pairs.
type Status struct {
	Lines []string `cbor:"1,keyasint"`
}
