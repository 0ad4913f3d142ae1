package node

import (
	"context"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// reservePort returns a loopback address whose port nobody else can use until the test ends: a socket is bound
// to it without listening. Limiters can still listen there, as they share their addresses.
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

// Earlier the rig chose a limiter's port by listening on it and closing that socket. A limiter that takes over
// from a hanging process listens only 2.5 s later; if another test had got the port by then, it exited with
// "address already in use", which the rig didn't check, and the test failed with no list of servers for 20 s.
// This happened in 2 of 48 runs of the package's upgrade tests beside 16 busy processes, and whenever the port
// was taken 1 s after the start.
//
// Similarly, a server got a request without a body from another test's limiter (TestBodiesGoOnUnchanged, "the
// server got 0 bytes, and 1 further times", after one attempt of its own limiter): it had got the closed port
// of a server that was to refuse connections.
func TestReservedPortIsNobodyElses(t *testing.T) {
	address := reservePort(t)
	if refused, err := net.Dial("tcp", address); err == nil {
		refused.Close()
		t.Errorf("%s accepts connections while nobody listens", address)
	}
	if taken, err := net.Listen("tcp", address); err == nil {
		taken.Close()
		t.Errorf("others can listen on %s", address)
	}
	shared := net.ListenConfig{Control: reusePort}
	limiter, err := shared.Listen(context.Background(), "tcp", address)
	if err != nil {
		t.Fatalf("a limiter can't listen at %s: %v", address, err)
	}
	defer limiter.Close()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("can't connect to the limiter: %v", err)
	}
	client.Close()
}
