// Package sockets has the accept loop and the connection checks that both proxies use.
package sockets

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Accept calls serve for each connection, in a new goroutine, until the listener is closed or the
// context ends. The end of the context closes the listener.
func Accept(ctx context.Context, l net.Listener, serve func(net.Conn)) {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			go serve(c)
		case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(10 * time.Millisecond) // for example out of file descriptors
		}
	}
}

// IsIdle reports whether an idle connection is open and has no unread input. A connection that the
// peer has closed must not be reused, since the request would be cut off and might not be safe to
// retry. Input on an idle connection belongs to no request.
func IsIdle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// IsClosed reports whether the peer has closed the connection or it has failed, with no unread input before that.
// It does not block, and returns false for connections that are not sockets.
func IsClosed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// peek reads the next byte of a socket without consuming it or blocking. n is 0 at the end of the stream. The
// error is EAGAIN if there is no input, or another error of the system call.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNotSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	readErr := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if readErr != nil {
		return 0, readErr
	}
	return n, err
}

var errNotSocket = errors.New("not a socket")

const (
	// lingerIdleTimeout is how long Linger waits for further input.
	lingerIdleTimeout = time.Second
	lingerReadSize    = 16 << 10
	maxLingerBytes    = 64 << 20
)

// Linger reads and discards what a peer still sends after its last answer, until it has sent nothing for
// lingerIdleTimeout: closing a connection with unread input would reset it and lose the answer. It ends when
// mayContinue, which gets the time that has passed, returns false.
func Linger(c net.Conn, mayContinue func(passed time.Duration) bool) {
	begin := time.Now()
	ignored := make([]byte, lingerReadSize)
	for total := 0; total < maxLingerBytes && mayContinue(time.Since(begin)); {
		c.SetReadDeadline(time.Now().Add(lingerIdleTimeout))
		n, err := c.Read(ignored)
		if err != nil {
			return
		}
		total += n
	}
}

// CloseWrite closes the sending side of a TCP connection, so that the peer sees the end of the last answer.
func CloseWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// SetUserTimeout sets how long data sent on a TCP connection may stay unacknowledged, or unsent as the peer does not
// read, until the connection breaks. 0 leaves that to the system. It has no effect on other connections.
func SetUserTimeout(c net.Conn, timeout time.Duration) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
