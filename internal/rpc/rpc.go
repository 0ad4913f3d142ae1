// Package rpc carries calls between the processes of the system over pooled TCP connections, one call at a time on
// each. A message is a frame: a 4-byte big-endian length and a CBOR value.
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
	maxFrameBytes     = 16 << 20
	maxIdlePerAddress = 4 // pooled connections per address
	idleTimeout       = 20 * time.Second
	// connectTimeout is several round trips between regions. The SYN to a machine that is just starting is lost
	// and retransmitted only after a second; with this timeout the caller can retry earlier.
	connectTimeout = 250 * time.Millisecond
	userTimeoutMs  = 1500 // ms that sent data may stay unacknowledged: a machine without power sends no reset
)

// Error describes a failed call.
type Error struct {
	To, Call string
	// Unsent means that the callee cannot have received the call.
	Unsent bool
	Err    error
}

func (e *Error) Error() string { return fmt.Sprintf("call %s of %s: %v", e.Call, e.To, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// request is the frame of a call.
type request struct {
	Call string          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
	// ID numbers the calls of a connection; a response carries the ID of the call that it answers.
	ID uint64 `cbor:"3,keyasint,omitempty"`
}

// response is the frame of an answer.
type response struct {
	Err  string          `cbor:"1,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	ID   uint64          `cbor:"3,keyasint,omitempty"`
}

var errWrongCallID = errors.New("response carries the ID of another call")

func writeFrame(w io.Writer, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

var errFrameTooLong = errors.New("frame exceeds the maximum length")

func readFrame(r io.Reader, v any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return errFrameTooLong
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return cbor.Unmarshal(body, v)
}

// Caller makes calls and pools the connections. It is safe for concurrent use.
type Caller struct {
	mu   sync.Mutex
	idle map[string][]*clientConn
}

// clientConn is a pooled connection.
type clientConn struct {
	net.Conn
	in        *bufio.Reader
	idleSince time.Time
	calls     uint64 // sent so far; also the ID of the latest call
}

// NewCaller returns a Caller without connections.
func NewCaller() *Caller { return &Caller{idle: map[string][]*clientConn{}} }

// takeIdle returns the most recently used idle connection to an address, or nil. It closes those idle for too long.
func (c *Caller) takeIdle(to string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		conns := c.idle[to]
		if len(conns) == 0 {
			return nil
		}
		conn := conns[len(conns)-1]
		c.idle[to] = conns[:len(conns)-1]
		if time.Since(conn.idleSince) < idleTimeout {
			return conn
		}
		conn.Close()
	}
}

// putIdle returns a connection to the pool.
func (c *Caller) putIdle(to string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[to]) >= maxIdlePerAddress {
		conn.Close()
		return
	}
	conn.idleSince = time.Now()
	c.idle[to] = append(c.idle[to], conn)
}

// closeIdle closes the idle connections to an address.
func (c *Caller) closeIdle(to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[to] {
		conn.Close()
	}
	delete(c.idle, to)
}

// Call sends a call to an address and decodes the response into result, which may be nil. It fails after timeout.
func (c *Caller) Call(ctx context.Context, to, call string, args, result any, timeout time.Duration) error {
	body, err := cbor.Marshal(args)
	if err != nil {
		return &Error{to, call, true, err}
	}
	deadline := time.Now().Add(timeout)
	for {
		conn := c.takeIdle(to)
		reused := conn != nil
		if conn == nil {
			dialer := net.Dialer{Timeout: min(connectTimeout, time.Until(deadline)), KeepAlive: -1, Control: SetUserTimeout}
			netConn, err := dialer.DialContext(ctx, "tcp", to)
			if err != nil {
				return &Error{to, call, true, err}
			}
			conn = &clientConn{Conn: netConn, in: bufio.NewReaderSize(netConn, 2048)}
		}
		conn.SetDeadline(deadline)
		stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
		conn.calls++
		err := writeFrame(conn, &request{Call: call, Body: body, ID: conn.calls})
		var resp response
		if err == nil {
			err = readFrame(conn.in, &resp)
		}
		if err == nil && resp.ID != conn.calls {
			err = errWrongCallID
		}
		stop()
		if err != nil {
			conn.Close()
			c.closeIdle(to)
			if reused && ctx.Err() == nil && time.Now().Before(deadline) {
				continue // the callee may have restarted; every call is safe to repeat
			}
			return &Error{to, call, false, err}
		}
		c.putIdle(to, conn)
		if resp.Err != "" {
			return &Error{to, call, false, errors.New(resp.Err)}
		}
		if result != nil {
			if err := cbor.Unmarshal(resp.Body, result); err != nil {
				return &Error{to, call, false, err}
			}
		}
		return nil
	}
}

// SetUserTimeout is a net.Dialer's Control function that closes a connection whose sent data stays unacknowledged.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMs)
	}); err != nil {
		return err
	}
	return optionErr
}

// Handler answers a call whose CBOR-encoded arguments are in body.
type Handler func(ctx context.Context, body []byte) (any, error)

// TypedHandler returns a Handler that decodes the body into an M.
func TypedHandler[M any](handle func(context.Context, M) (any, error)) Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		var m M
		if err := Decode(body, &m); err != nil {
			return nil, err
		}
		return handle(ctx, m)
	}
}

// NoBodyHandler returns a Handler for calls without arguments.
func NoBodyHandler(handle func(context.Context) (any, error)) Handler {
	return func(ctx context.Context, _ []byte) (any, error) { return handle(ctx) }
}

// Serve answers calls on a listener until the context ends. A call without a handler gets an error response.
func Serve(ctx context.Context, listener net.Listener, handlers map[string]Handler) {
	sockets.Accept(ctx, listener, func(c net.Conn) { serveConn(ctx, c, handlers) })
}

func serveConn(ctx context.Context, conn net.Conn, handlers map[string]Handler) {
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	in := bufio.NewReaderSize(conn, 2048)
	for {
		var req request
		conn.SetReadDeadline(time.Now().Add(2 * idleTimeout))
		if readFrame(in, &req) != nil {
			return
		}
		resp := response{ID: req.ID}
		if handler := handlers[req.Call]; handler == nil {
			resp.Err = "unknown call"
		} else if result, err := handler(ctx, req.Body); err != nil {
			resp.Err = err.Error()
		} else if resp.Body, err = cbor.Marshal(result); err != nil {
			resp.Err = err.Error()
		}
		conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if writeFrame(conn, &resp) != nil {
			return
		}
	}
}

// Decode decodes the body of a call.
func Decode(body []byte, to any) error { return cbor.Unmarshal(body, to) }

// Encode returns v as CBOR. It panics if v cannot be encoded.
func Encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("rpc: cannot encode a value of this program: %v", err)) // an invariant is violated
	}
	return b
}

// CallStatus is the name of the call that asks a process for its status.
const CallStatus = "status"

// Status is the status of a process, as lines of key=value pairs.
type Status struct {
	Lines []string `cbor:"1,keyasint"`
}
