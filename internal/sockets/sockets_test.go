package sockets

import (
	"io"
	"net"
	"testing"
	"time"
)

// connected returns both ends of a connection.
func connected(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Quiet and Closed for each action of the peer.
func TestQuietAndClosed(t *testing.T) {
	for name, x := range map[string]struct {
		far           func(c *net.TCPConn)
		quiet, closed bool
	}{
		"nothing":                 {func(*net.TCPConn) {}, true, false},
		"sent":                    {func(c *net.TCPConn) { io.WriteString(c, "x") }, false, false},
		"closed":                  {func(c *net.TCPConn) { c.Close() }, false, true},
		"closed its sending half": {func(c *net.TCPConn) { c.CloseWrite() }, false, true},
		"sent, then closed": {func(c *net.TCPConn) {
			io.WriteString(c, "x")
			c.Close()
		}, false, false},
		"reset": {func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		}, false, true},
	} {
		near, far := connected(t)
		x.far(far)
		quiet, closed := IsIdle(near), IsClosed(near)
		for until := time.Now().Add(5 * time.Second); (quiet != x.quiet || closed != x.closed) && time.Now().Before(until); time.Sleep(time.Millisecond) {
			quiet, closed = IsIdle(near), IsClosed(near) // the packet may still be in transit
		}
		if quiet != x.quiet || closed != x.closed {
			t.Errorf("%s: quiet %v, closed %v; %v, %v wanted", name, quiet, closed, x.quiet, x.closed)
		}
	}
	pipe, other := net.Pipe()
	other.Close()
	if IsIdle(pipe) || IsClosed(pipe) {
		t.Error("a connection that is not a socket is reported as quiet or closed")
	}
}
