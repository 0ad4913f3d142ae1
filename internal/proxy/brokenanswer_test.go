package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/madderdrum/control/catalog"
)

// scriptedServer answers each request with a fixed text.
type scriptedServer struct {
	text  string // of the answer; ID stands for the attempt ID
	reset bool   // the connection is reset behind the text, before the body of the request has been read
	close bool   // the connection is closed behind the text

	mu       sync.Mutex
	executed int // requests
}

// start starts the server and makes it known to the proxy.
func (s *scriptedServer) start(t *testing.T, proxy *testProxy) {
	const instance = "i-1"
	address := listenSmallWindow(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if r.URL.Path == "/health" {
				io.WriteString(c, healthResponse(instance))
				continue
			}
			if !s.answer(c.(*net.TCPConn), r) {
				return
			}
		}
	})
	proxy.records.ApplyHeartbeat(0, catalog.Record{ID: instance, Service: "s", Address: address, Zone: "z", Sequence: 1})
	proxy.deliver(nil)
}

// answer answers a request and reports whether the connection stays open.
func (s *scriptedServer) answer(c *net.TCPConn, r *http.Request) (keepOpen bool) {
	s.mu.Lock()
	s.executed++
	s.mu.Unlock()
	if !s.reset {
		io.Copy(io.Discard, r.Body)
	}
	io.WriteString(c, strings.ReplaceAll(s.text, "ID", r.Header.Get(headerAttempt)))
	if s.reset {
		time.Sleep(resetDelay)
		c.SetLinger(0)
	}
	return !s.reset && !s.close
}

// resetDelay is how long after its answer a server resets the connection: the answer has arrived by then.
const resetDelay = 100 * time.Millisecond

// soundFields are the fields of a server's answer that is passed on.
const soundFields = headerAttempt + ": ID\r\n" + headerSeal + ": 1\r\n"

// sendMessage sends a request that must not be repeated and returns its answer.
func (proxy *testProxy) sendMessage(body string) (answer *http.Response, content string) {
	got, bodies := proxy.client(earlyRequest("POST", "/send/1", "a", "", body), 1)
	return got[0], bodies[0]
}

// Guards against a part of an answer that is taken for the whole: a server answers a long body at once, without a
// length, and resets the connection while the body is being written. The writer of the body may be the one to whom the
// kernel tells of the reset; whoever reads sees the end of the stream then.
func TestAnswerWithoutLengthIsResetDuringAnUpload(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
		for _, size := range []int{maxHeldBody, 4 * maxHeldBody} {
			t.Run(fmt.Sprintf("%s, %d bytes", status[:3], size), func(t *testing.T) {
				t.Parallel()
				proxy := newTestProxy(t)
				proxy.useLongTimeoutRoutes()
				proxy.allowLongBodies(2 * size)
				server := &scriptedServer{text: "HTTP/1.1 " + status + "\r\n" + soundFields + "\r\npart", reset: true}
				server.start(t, proxy)
				answer, body := proxy.sendMessage(strings.Repeat("u", size))
				if answer.StatusCode != http.StatusBadGateway || server.executed != 1 {
					t.Errorf("status %d, %q; ran %d times; want 502 and 1", answer.StatusCode, body, server.executed)
				}
			})
		}
	}
}
