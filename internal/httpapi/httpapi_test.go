package httpapi

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A request that is read after its caller has closed the connection is not handled if DropAbandoned
// reports it as harmful; any other request is.
func TestAbandonedCalls(t *testing.T) {
	var harmful, harmless atomic.Int32
	done := make(chan struct{}, 8)
	s := &Server{MaxBody: 1 << 10, DropAbandoned: func(r *http.Request) bool { return r.URL.Path == "/harmful" },
		Handler: func(_ context.Context, r *http.Request, _ []byte) Answer {
			if r.URL.Path == "/harmful" {
				harmful.Add(1)
			} else {
				harmless.Add(1)
			}
			done <- struct{}{}
			return Answer{Status: 200}
		}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	send := func(path string, closeEarly bool) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", path)
		if closeEarly {
			return
		}
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		answer := make([]byte, 12)
		if _, err := io.ReadFull(c, answer); err != nil || !strings.HasSuffix(string(answer), "200") {
			t.Errorf("%s: %q %v", path, answer, err)
		}
	}
	for range 20 {
		send("/harmful", true)
	}
	send("/harmless", true)
	go s.Serve(ctx, l) // all callers have closed their connections before it reads anything
	<-done
	send("/harmful", false)
	<-done
	if harmful.Load() != 1 || harmless.Load() != 1 {
		t.Errorf("handled %d harmful requests, want 1; %d harmless requests, want 1", harmful.Load(), harmless.Load())
	}
}

// When the server stops, it waits for a request in flight and answers it, closes an idle connection, and
// waits for an incomplete request no longer than the drain timeout.
func TestCallsInHandAreAnsweredAtTheEnd(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	s := &Server{MaxBody: 1 << 10, Handler: func(ctx context.Context, _ *http.Request, _ []byte) Answer {
		close(started)
		<-proceed
		if ctx.Err() != nil {
			return Answer{Status: 503}
		}
		return Answer{Status: 200}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Serve(ctx, l)
	}()
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		return c
	}
	idle, incomplete := dial(""), dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Le")
	inFlight := dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	stop()
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read from an idle connection: %v, want EOF", err)
	}
	select {
	case <-stopped:
		t.Error("the server stopped with a request in flight")
	default:
	}
	close(proceed)
	answer, err := io.ReadAll(inFlight)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200") || !strings.Contains(string(answer), "Connection: close") {
		t.Errorf("response to the request in flight: %q, %v", answer, err)
	}
	select {
	case <-stopped:
	case <-time.After(3 * drainTimeout):
		t.Error("an incomplete request delays the stop of the server")
	}
	incomplete.Close()
}

// Guards against the loss of a refusal: a caller that sends a body that is too long, and reads only then, gets the 413
// because the rest of the body is read before the connection is closed.
func TestRefusedBodyIsReadOn(t *testing.T) {
	s := &Server{MaxBody: 1 << 10, Handler: func(context.Context, *http.Request, []byte) Answer { return Answer{Status: 200} }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go s.Serve(ctx, l)
	for range 10 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(5 * time.Second))
		body := strings.Repeat("x", 16<<20)
		if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			t.Errorf("write: %v", err)
		}
		answer := make([]byte, 12)
		if _, err := io.ReadFull(c, answer); err != nil || !strings.HasSuffix(string(answer), "413") {
			t.Errorf("answer: %q %v", answer, err)
		}
	}
}
