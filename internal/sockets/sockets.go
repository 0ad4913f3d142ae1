// Package sockets holds what both proxies ask of a connection, and how those of a listener are
// taken.
package sockets

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Accept has each connection served, in a goroutine of its own, until the listener is closed or
// the context ends, which closes it.
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
			time.Sleep(10 * time.Millisecond) // out of descriptors
		}
	}
}

// Quiet tells that an idle connection is open and silent. One that the other end has closed
// must not be used: the request would be cut, and what can't be repeated could not be sent
// again. What has come on one that is idle belongs to no request.
func Quiet(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// Closed tells that the other end has closed its connection, or that it has broken, with nothing left to be
// read before that. It waits for nothing. Of what is no socket it knows nothing.
func Closed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// peek looks at the next byte of a socket, which stays there. n is 0 at its end; the error is EAGAIN where
// nothing has come, or what else the system said.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNotSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if failed != nil {
		return 0, failed
	}
	return n, err
}

var errNotSocket = errors.New("this is no socket")
