package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A client that disconnects ends its attempt even if it has sent another request after the one in progress.
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
	c.waitClosed()
	if ranOn := time.Since(left); ranOn > testTimeout/4 { // the request's timeout is 12 s
		t.Errorf("the attempt continued for %v", ranOn)
	}
	waitFor(t, "the request is removed", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return len(r.node.requests) == 0
	})
}

// answerProbes answers all further connections, so that the silent server is not considered down.
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
