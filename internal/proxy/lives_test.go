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

// lives is a world of servers and clients that do what they may at any point of a request's life.
type lives struct {
	*testProxy
	mu     sync.Mutex
	random *rand.Rand
	ran    map[string]int // how often servers began with a request
}

const (
	// onceID begins the ids of requests that can't be repeated.
	onceID = "once-"
	// livesWithin is how long clients wait: a little longer than their requests may take.
	livesWithin = 1500 * time.Millisecond
)

// below is a random number.
func (w *lives) below(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// server answers each request in a way that is drawn for it.
func (w *lives) server(id string) {
	address := listen(w.t, func(c net.Conn) { w.converse(id, c) })
	w.book.Beat(0, catalog.Record{ID: id, Service: "s", Address: address, Zone: "z", Sequence: 1, Slots: 8})
}

// converse answers the requests of a connection until it ends or is cut.
func (w *lives) converse(id string, c net.Conn) {
	eachRequest(c, func(in *bufio.Reader, r *http.Request, _ []byte) (goesOn bool) {
		if r.URL.Path == "/health" {
			io.WriteString(c, healthy(id))
			return true
		}
		return w.answer(c, in, r.Header.Get(headerAttempt))
	})
}

// answer does one of the things that servers do, and tells whether the connection goes on.
func (w *lives) answer(c net.Conn, in *bufio.Reader, attempt string) bool {
	head := fmt.Sprintf("%s: %s\r\n", headerAttempt, attempt)
	way := w.below(10)
	if way == 0 { // turned away: it has not run
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", head, headerUnrun)
		return true
	}
	w.mu.Lock()
	w.ran[attempt]++
	w.mu.Unlock()
	head += headerSeal + ": 1\r\n"
	switch way {
	case 1:
		return false
	case 2: // at work until the limiter closes the connection
		in.Peek(1)
		return false
	case 3: // half an answer, and then the same
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\nhalf", head)
		in.Peek(1)
		return false
	case 4: // a long answer that stops
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, 2*wholeMost, strings.Repeat("x", 70000))
		in.Peek(1)
		return false
	case 5: // a long answer
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", head, wholeMost+1)
		_, err := io.WriteString(c, strings.Repeat("y", wholeMost+1))
		return err == nil
	case 6:
		fmt.Fprintf(c, "HTTP/1.1 500 x\r\n%sContent-Length: 2\r\n\r\nno", head)
		return true
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", head)
	return true
}

// client sends some requests, reads some answers, and leaves when and how it likes.
func (w *lives) client(name string) {
	c := w.closingClient()
	defer c.Close()
	c.SetDeadline(time.Now().Add(livesWithin))
	n := 1 + w.below(pipelineMost+4)
	var text strings.Builder
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		switch w.below(6) {
		case 0:
			text.WriteString(request("POST", "/send/1", onceID+id, "", "payload"))
		case 1:
			text.WriteString(request("PUT", "/read/1", id, "", strings.Repeat("z", bodyHeld+1000)))
		case 2:
			text.WriteString(request("GET", "/read/1", id, "Connection: close\r\n", ""))
		default:
			text.WriteString(request("GET", "/read/1", id, "", ""))
		}
	}
	all := text.String()
	if w.below(4) == 0 {
		all = all[:w.below(len(all))]
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		io.WriteString(c, all)
	}()
	reads := w.below(n + 1)
	in := bufio.NewReader(c)
	for range reads {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			break
		}
		if w.below(5) == 0 { // in the middle of an answer
			break
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Close {
			break
		}
	}
	if w.below(3) == 0 {
		c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
	<-sent
}

// Whatever clients and servers do at whatever point of a request's life: nothing is left in hand behind
// it, what can't be repeated runs once at most, and nothing is begun for clients that are known to have
// left.
func TestLivesOfRequests(t *testing.T) {
	const clients, seeds = 24, 4
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { // one after the other: they count goroutines
			w := &lives{testProxy: newTestProxy(t), random: rand.New(rand.NewPCG(seed, 56)), ran: map[string]int{}}
			w.t = t
			table := *w.view.Load()
			limits := *table.table
			limits.Limits.Body = 4 << 20
			table.table = &limits
			w.view.Store(&table)
			for i := range 3 {
				w.server(fmt.Sprintf("i-%d", i))
			}
			w.tell(nil)
			w.earnTries(100)
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
			w.judge(before)
		})
	}
}

// judge looks at what is left when all clients have gone.
func (w *lives) judge(goroutines int) {
	w.t.Helper()
	w.Proxy.mu.Lock()
	e, d := w.engine, w.disconnects
	calls, inHand, asks := len(e.calls), len(e.inHand), len(w.asks)
	for _, st := range w.upstreams {
		st.drop()
	}
	w.Proxy.mu.Unlock()
	if calls > 0 || inHand > 0 || asks > 0 {
		w.t.Errorf("left behind: %d requests, attempts at %d servers, %d asks for tokens", calls, inHand, asks)
	}
	if d.sentAfter > 0 {
		w.t.Errorf("%d attempts were sent for clients that had left", d.sentAfter)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.ran {
		most := 2 // of attempts, by the route
		if strings.HasPrefix(id, onceID) {
			most = 1
		}
		if n > most {
			w.t.Errorf("%s ran %d times, %d at most", id, n, most)
		}
	}
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(brokenOffWithin); runtime.NumGoroutine() > goroutines+8; <-tick.C {
		if time.Now().After(until) {
			w.t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), goroutines)
		}
	}
}
