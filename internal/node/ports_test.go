package node

import (
	"context"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// reservePort returns an address on loopback whose port nobody else gets until the test ends: a socket is bound
// to it, and does not listen. Limiters can listen there all the same, as they share their addresses.
func reservePort(t *testing.T) string {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(socket) })
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	address := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: at.(*unix.SockaddrInet4).Port}
	return address.String()
}

// A test of a limiter that takes over from a hanging one failed at times in whole runs: the list of servers did not
// come for 20 s. The rig chose the limiter's port by listening on it, and closed that socket; the limiter listens
// 2.5 s later, once the hanging process has not answered, and anybody may have the port by then. It ended at once
// ("address already in use"), which the rig did not look at. Evidence: with the port taken 1 s after the start the
// test fails with the very message, and 2 of 48 plays of the package's upgrades beside 16 busy processes did.
//
// A server of another test got a request that its limiter had not sent, with no body (TestBodiesGoOnUnchanged, "the server
// got 0 bytes, and 1 further times", with one try of its own limiter): it had the port of a server that was to refuse
// connections, and whose port had been closed.
func TestReservedPortIsNobodyElses(t *testing.T) {
	address := reservePort(t)
	if refused, err := net.Dial("tcp", address); err == nil {
		refused.Close()
		t.Errorf("%s takes connections while nobody listens", address)
	}
	if taken, err := net.Listen("tcp", address); err == nil {
		taken.Close()
		t.Errorf("%s can be had by others", address)
	}
	shared := net.ListenConfig{Control: reusePort}
	limiter, err := shared.Listen(context.Background(), "tcp", address)
	if err != nil {
		t.Fatalf("a limiter can't listen at %s: %v", address, err)
	}
	defer limiter.Close()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("the limiter is not reached: %v", err)
	}
	client.Close()
}
