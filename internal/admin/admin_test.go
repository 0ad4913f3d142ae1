package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const patience = 20 * time.Second

// listen runs a server until the end of the test; logged returns the number of log lines.
func listen(t *testing.T, streams map[string]Stream) (addr string, logged func() int) {
	t.Helper()
	var mu sync.Mutex
	lines := 0
	s, err := Listen("127.0.0.1:0", map[string]Call{
		"ready": func([]string) (string, error) { return Yes, nil },
		"drain": func(args []string) (string, error) { return "", errors.New("not now: " + strings.Join(args, "+")) },
	}, streams, func(string, ...any) { mu.Lock(); lines++; mu.Unlock() })
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-done:
		case <-time.After(patience):
			t.Error("the server did not end")
		}
	})
	return s.Addr().String(), func() int { mu.Lock(); defer mu.Unlock(); return lines }
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c.(*net.TCPConn)
}

// call writes pieces and returns the response up to the end of the connection.
func call(t *testing.T, addr string, pieces ...string) string {
	t.Helper()
	c := dial(t, addr)
	defer c.Close()
	for _, p := range pieces {
		if _, err := io.WriteString(c, p); err != nil {
			t.Fatal(err)
		}
	}
	b, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%q: %v", pieces, err)
	}
	return string(b)
}

func TestAnswers(t *testing.T) {
	addr, logged := listen(t, nil)
	for _, x := range []struct {
		pieces []string
		want   string
	}{
		{[]string{"ready\n"}, "YES\n"},
		{[]string{"ready\r\n"}, "YES\n"},
		{[]string{"re", "ad", "y", "\r", "\n"}, "YES\n"},
		{[]string{"ready\nand more\n"}, "YES\n"},
		{[]string{"drain a b\n"}, "NO not now: a+b\n"},
		{[]string{"\n"}, "NO an empty line; calls are drain, ready\n"},
		{[]string{"reboot\n"}, "NO unknown call \"reboot\"; calls are drain, ready\n"},
		{[]string{strings.Repeat("x", 2*maxLine), "\n"}, "NO the line is too long: 255 bytes at most\n"},
	} {
		if got := call(t, addr, x.pieces...); got != x.want {
			t.Errorf("%.30q got %q", x.pieces, got)
		}
	}
	if n := logged(); n != 3 {
		t.Errorf("%d lines in the log, want one for each invalid command", n)
	}
}

// A half-close may replace the newline; a client that sends nothing gets no response.
func TestHalfClosed(t *testing.T) {
	addr, _ := listen(t, nil)
	for line, want := range map[string]string{"ready": "YES\n", "": ""} {
		c := dial(t, addr)
		io.WriteString(c, line)
		c.CloseWrite()
		if b, err := io.ReadAll(c); string(b) != want || err != nil {
			t.Errorf("%q and a half-close got %q (%v)", line, b, err)
		}
	}
}

// Clients that send nothing never block a command: the oldest silent connection is evicted.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	addr, _ := listen(t, nil)
	first := dial(t, addr)
	io.WriteString(first, "rea") // an incomplete line
	for range 3 * MaxSilent {
		dial(t, addr)
		if got := call(t, addr, "ready\n"); got != Yes {
			t.Fatalf("a command beside silent connections got %q", got)
		}
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest silent connection is still open")
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("the oldest silent connection is still open")
	}
}

// A stream gets its connection and the input after the command line.
func TestStream(t *testing.T) {
	addr, _ := listen(t, map[string]Stream{"talk": func(args []string, c net.Conn, in *bufio.Reader) {
		line, _ := in.ReadString('\n')
		io.WriteString(c, args[0]+" "+line)
	}})
	if got := call(t, addr, "talk to\nme\n"); got != "to me\n" {
		t.Errorf("got %q", got)
	}
}

func TestOccupiedAddress(t *testing.T) {
	addr, _ := listen(t, nil)
	if _, err := Listen(addr, nil, nil, nil); err == nil || !strings.Contains(err.Error(), "admin_addr "+addr) {
		t.Errorf("an occupied address: %v", err)
	}
}
