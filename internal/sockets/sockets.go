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
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
