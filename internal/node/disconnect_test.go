package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A client that goes away ends its attempt also where it has sent a further request behind the one that
// is in hand.
func TestClientGoneBehindAFurtherRequest(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := start(t, server("s-1", srv.addr))
	client, _ := r.dial()
	send := func() {
		if err := r.newRequest("send-bulk-paid", "enterprise", "").Write(client); err != nil {
			t.Fatal(err)
		}
	}
	send()
	c := srv.accept()
	c.request()
	go answerProbes(srv.ln)
	send()
	client.Close()
	left := time.Now()
	c.closed()
	if ranOn := time.Since(left); ranOn > patience/4 { // its client would have waited for 12 s
		t.Errorf("the attempt ran on for %v", ranOn)
	}
	until(t, "the request is forgotten", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return len(r.node.requests) == 0
	})
}

// answerProbes answers whatever else comes, so that a server that is silent is not taken for dead.
func answerProbes(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		c.Close()
	}
}
