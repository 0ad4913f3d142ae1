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
	"example.org/madderdrum/limiter"
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

const (
	// soundFields are the fields of a server's answer that is passed on.
	soundFields = headerAttempt + ": ID\r\n" + headerSeal + ": 1\r\n"
	soundAnswer = "HTTP/1.1 200 OK\r\n" + soundFields + "Content-Length: 8\r\n\r\nanswered"
)

// sendMessage sends a request that must not be repeated and returns its answer.
func (proxy *testProxy) sendMessage(body string) (answer *http.Response, content string) {
	got, bodies := proxy.client(earlyRequest("POST", "/send/1", "a", "", body), 1)
	return got[0], bodies[0]
}

// Guards against answers that reach the client although HTTP forbids them: a server in trouble sends a head that is no
// HTTP, which may hide where its body ends. The request may have run, so its answer is neither 429 nor 503.
func TestBrokenAnswersDoNotReachClients(t *testing.T) {
	sealed := func(fields string) string {
		return "HTTP/1.1 200 OK\r\n" + soundFields + fields + "Content-Length: 8\r\n\r\nanswered"
	}
	withStatus := func(line string) string { return strings.Replace(soundAnswer, "HTTP/1.1 200 OK", line, 1) }
	encodedLong := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", soundFields,
		2*maxBufferedAnswer, strings.Repeat("x", 2*maxBufferedAnswer))
	for name, text := range map[string]string{
		"blank behind a name":              sealed("X-Note : a\r\n"),
		"tab behind a name":                sealed("X-Note\t: a\r\n"),
		"blank in a name":                  sealed("X Note: a\r\n"),
		"control byte in a name":           sealed("X-\x01Note: a\r\n"),
		"carriage return in a name":        sealed("X-\rNote: a\r\n"),
		"control byte in a value":          sealed("X-Note: a\x01b\r\n"),
		"no name":                          sealed(": a\r\n"),
		"folded line":                      sealed("X-Note: a\r\n b\r\n"),
		"folded line that hides a length":  "HTTP/1.1 200 OK\r\n" + soundFields + "X-Note: a\r\n Content-Length: 4\r\nContent-Length: 8\r\n\r\nanswered",
		"line feeds alone":                 strings.ReplaceAll(soundAnswer, "\r\n", "\n"),
		"hidden chunks":                    sealed("Transfer-Encoding : chunked\r\n"),
		"both lengths":                     "HTTP/1.1 200 OK\r\n" + soundFields + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
		"two lengths":                      sealed("Content-Length: 8\r\n"),
		"chunks twice":                     "HTTP/1.1 200 OK\r\n" + soundFields + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
		"blank in a trailer's name":        "HTTP/1.1 200 OK\r\n" + soundFields + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX Sum: 1\r\n\r\n",
		"status 000":                       withStatus("HTTP/1.1 000 OK"),
		"status 000 before another answer": "HTTP/1.1 000 OK\r\n\r\n" + soundAnswer,
		"status 099":                       withStatus("HTTP/1.1 099 OK"),
		"status 600":                       withStatus("HTTP/1.1 600 OK"),
		"status 999, no seal":              "HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n",
		"signed status":                    withStatus("HTTP/1.1 +20 OK"),
		"two blanks before the status":     withStatus("HTTP/1.1  200 OK"),
		"control byte in the reason":       withStatus("HTTP/1.1 200 O\x01K"),
		"another version":                  withStatus("HTTP/2.0 200 OK"),
		"other protocol":                   "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + soundAnswer,
		"interim answer with a body":       "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n" + soundAnswer,
		"encoded":                          sealed("Content-Encoding: gzip\r\n"),
		"encoded, long":                    encodedLong,
		"blank in an interim answer":       "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + soundAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy := newTestProxy(t)
			proxy.useLongTimeoutRoutes()
			server := &scriptedServer{text: text, close: true}
			server.start(t, proxy)
			answer, body := proxy.sendMessage("x")
			if answer.StatusCode != http.StatusBadGateway || server.executed != 1 || strings.Contains(body, "answered") {
				t.Errorf("status %d, %q, %v; ran %d times; want 502 and 1", answer.StatusCode, body, answer.Header,
					server.executed)
			}
		})
	}
}

// Guards against refusing sound answers, in all the forms that HTTP allows.
func TestSoundAnswersReachClients(t *testing.T) {
	for name, test := range map[string]struct {
		text, body string
		status     int
	}{
		"length":                  {soundAnswer, "answered", 200},
		"chunks":                  {"HTTP/1.1 200 OK\r\n" + soundFields + "Transfer-Encoding: chunked\r\n\r\n4;x=1\r\nansw\r\n04\r\nered\r\n0\r\nX-Sum: 1\r\n\r\n", "answered", 200},
		"no reason":               {strings.Replace(soundAnswer, "200 OK", "200 ", 1), "answered", 200},
		"version 1.0":             {strings.Replace(soundAnswer, "HTTP/1.1", "HTTP/1.0", 1), "answered", 200},
		"interim answers":         {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + soundAnswer, "answered", 200},
		"empty value, odd values": {strings.Replace(soundAnswer, "\r\n\r\n", "\r\nX-A:\r\nX-B:  \"\xc3\xa9\"\tb \r\n\r\n", 1), "answered", 200},
		"failure without length":  {"HTTP/1.1 404 Not Found\r\n" + soundFields + "\r\nnot here", "not here", 404},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy := newTestProxy(t)
			proxy.useLongTimeoutRoutes()
			server := &scriptedServer{text: test.text, close: true}
			server.start(t, proxy)
			answer, body := proxy.sendMessage("x")
			if answer.StatusCode != test.status || body != test.body || server.executed != 1 {
				t.Errorf("status %d, %q; ran %d times", answer.StatusCode, body, server.executed)
			}
		})
	}
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

// Guards against servers that count as healthy by an answer that is no HTTP or breaks off.
func TestBrokenHealthAnswers(t *testing.T) {
	const instanceField = "X-Madderdrum-Instance-Id: i-1\r\n"
	for name, test := range map[string]struct {
		text    string
		healthy bool
	}{
		"sound":                 {healthResponse("i-1"), true},
		"behind an interim one": {"HTTP/1.1 103 Early Hints\r\n\r\n" + healthResponse("i-1"), true},
		"without length":        {"HTTP/1.1 200 OK\r\n" + instanceField + "\r\nwell", true},
		"blank in a name":       {"HTTP/1.1 200 OK\r\n" + instanceField + "X Note: a\r\nContent-Length: 0\r\n\r\n", false},
		"both lengths":          {"HTTP/1.1 200 OK\r\n" + instanceField + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"status +20":            {"HTTP/1.1 +20 OK\r\n" + instanceField + "\r\n", false},
		"breaks off":            {"HTTP/1.1 200 OK\r\n" + instanceField + "Content-Length: 9\r\n\r\nwell", false},
	} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(c net.Conn) {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					io.WriteString(c, test.text)
				}
			})
			server := &upstream{instanceID: "i-1", address: address}
			until := time.Now().Add(probeTimeout)
			conn, err := server.connect(until)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if result := conn.checkHealth(server, "/health", until); (result == limiter.Pass) != test.healthy {
				t.Errorf("result %v", result)
			}
		})
	}
}
