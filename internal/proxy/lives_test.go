package proxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/madderdrum/control/catalog"
)

// lifecycleTest runs servers and clients that behave randomly, including badly, at any point of a request's
// lifecycle.
type lifecycleTest struct {
	*testProxy
	mu         sync.Mutex
	random     *rand.Rand
	executions map[string]int // by attempt ID; how often servers started executing the request
}

const (
	// unrepeatablePrefix starts the IDs of requests that are not repeatable.
	unrepeatablePrefix = "once-"
	// lifecycleTimeout is how long clients wait: slightly longer than their requests may take.
	lifecycleTimeout = 1500 * time.Millisecond
)

// intN returns a random number in [0, n).
func (w *lifecycleTest) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// server starts a server that answers each request in a randomly chosen way.
func (w *lifecycleTest) server(id string) {
	address := listen(w.t, func(c net.Conn) { w.serveConn(id, c) })
	w.records.ApplyHeartbeat(0, catalog.Record{ID: id, Service: "s", Address: address, Zone: "z", Sequence: 1, Slots: 8})
}

// serveConn answers the requests of a connection until it ends or is cut.
func (w *lifecycleTest) serveConn(id string, c net.Conn) {
	serveRequests(c, func(in *bufio.Reader, r *http.Request, _ []byte) (keepOpen bool) {
		if r.URL.Path == "/health" {
			io.WriteString(c, healthResponse(id))
			return true
		}
		return w.answer(c, in, r.Header.Get(headerAttempt))
	})
}

// answer answers a request in a randomly chosen way and reports whether the connection stays open.
func (w *lifecycleTest) answer(c net.Conn, in *bufio.Reader, attempt string) bool {
	head := fmt.Sprintf("%s: %s\r\n", headerAttempt, attempt)
	behaviour := w.intN(10)
	if behaviour == 0 { // rejected without being executed
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", head, headerNotExecuted)
		return true
	}
	w.mu.Lock()
	w.executions[attempt]++
	w.mu.Unlock()
	head += headerSeal + ": 1\r\n"
	switch behaviour {
	case 1:
		return false
	case 2: // keeps working until the limiter closes the connection
		in.Peek(1)
		return false
	case 3: // half an answer, then as above
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\nhalf", head)
		in.Peek(1)
		return false
	case 4: // a long answer that stalls
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, 2*maxBufferedAnswer,
			strings.Repeat("x", 70000))
		in.Peek(1)
		return false
	case 5: // a long answer
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", head, maxBufferedAnswer+1)
		_, err := io.WriteString(c, strings.Repeat("y", maxBufferedAnswer+1))
		return err == nil
	case 6:
		fmt.Fprintf(c, "HTTP/1.1 500 x\r\n%sContent-Length: 2\r\n\r\nno", head)
		return true
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", head)
	return true
}

// client sends some requests, reads some of the answers, and closes its connection at a random point.
func (w *lifecycleTest) client(name string) {
	c := w.connectClient()
	defer c.Close()
	c.SetDeadline(time.Now().Add(lifecycleTimeout))
	n := 1 + w.intN(maxPipelined+4)
	var text strings.Builder
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		switch w.intN(6) {
		case 0:
			text.WriteString(request("POST", "/send/1", unrepeatablePrefix+id, "", "payload"))
		case 1:
			text.WriteString(request("PUT", "/read/1", id, "", strings.Repeat("z", maxHeldBody+1000)))
		case 2:
			text.WriteString(request("GET", "/read/1", id, "Connection: close\r\n", ""))
		default:
			text.WriteString(request("GET", "/read/1", id, "", ""))
		}
	}
	all := text.String()
	if w.intN(4) == 0 {
		all = all[:w.intN(len(all))]
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		io.WriteString(c, all)
	}()
	reads := w.intN(n + 1)
	in := bufio.NewReader(c)
	for range reads {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			break
		}
		if w.intN(5) == 0 { // closes in the middle of an answer
			break
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Close {
			break
		}
	}
	if w.intN(3) == 0 {
		c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
	<-sent
}

// Whatever clients and servers do at any point of a request's lifecycle, nothing stays in flight afterwards,
// requests that are not repeatable run at most once, and nothing is sent for clients known to have disconnected.
func TestRequestLifecycles(t *testing.T) {
	const clients, seeds = 24, 4
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { // sequential, because the runs count goroutines
			w := &lifecycleTest{testProxy: newTestProxy(t), random: rand.New(rand.NewPCG(seed, 56)),
				executions: map[string]int{}}
			w.t = t
			table := *w.configSnapshot.Load()
			limits := *table.table
			limits.Limits.MaxBodyBytes = 4 << 20
			table.table = &limits
			w.configSnapshot.Store(&table)
			for i := range 3 {
				w.server(fmt.Sprintf("i-%d", i))
			}
			w.deliver(nil)
			w.earnRetries(100)
			before := runtime.NumGoroutine()
			var all sync.WaitGroup
			for i := range clients {
				all.Add(1)
				go func() {
					defer all.Done()
					w.client(fmt.Sprintf("c%d", i))
				}()
			}
			all.Wait()
			w.awaitIdle()
			w.check(before)
		})
	}
}

// check verifies that nothing is left once all clients are gone.
func (w *lifecycleTest) check(goroutines int) {
	w.t.Helper()
	w.Proxy.mu.Lock()
	e, d := w.engine, w.disconnects
	calls, inFlight, pendingTokenRequests := len(e.calls), len(e.inFlight), len(w.pendingTokenRequests)
	for _, server := range w.upstreams {
		server.closeIdle()
	}
	w.Proxy.mu.Unlock()
	if calls > 0 || inFlight > 0 || pendingTokenRequests > 0 {
		w.t.Errorf("left over: %d calls, attempts at %d servers, %d token requests", calls, inFlight,
			pendingTokenRequests)
	}
	if d.sentAfterDisconnect > 0 {
		w.t.Errorf("%d attempts were sent for disconnected clients", d.sentAfterDisconnect)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.executions {
		most := 2 // the route's max_attempts
		if strings.HasPrefix(id, unrepeatablePrefix) {
			most = 1
		}
		if n > most {
			w.t.Errorf("%s ran %d times, want at most %d", id, n, most)
		}
	}
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(abortWithin); runtime.NumGoroutine() > goroutines+8; <-tick.C {
		if time.Now().After(until) {
			w.t.Fatalf("%d goroutines, %d at the start", runtime.NumGoroutine(), goroutines)
		}
	}
}
