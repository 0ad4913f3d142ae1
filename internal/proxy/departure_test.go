package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/internal/sockets"
)

const (
	// departGrace is between SIGTERM and SIGKILL in these tests.
	departGrace = 6 * time.Second
	// promptWithin is how long after SIGTERM clients that send at once expect to be served.
	promptWithin = 3 * time.Second
	// departWork is how long a server is at work on a request: longer than the time between the former
	// last moment at which requests were read and the end of the process.
	departWork = 1500 * time.Millisecond
	// renewEvery is how often the limiter hears of its server and has its lease renewed.
	renewEvery = 300 * time.Millisecond
)

// departure is a limiter that gets SIGTERM under clients that go on using their connections. It judges
// what becomes of their requests.
type departure struct {
	*testProxy
	front  net.Listener   // of the limiter, for clients
	server catalog.Record // that all requests go to

	mu       sync.Mutex
	sigterm  time.Time
	requests map[string]*departRequest
	stopped  bool // clients begin nothing more
}

// departRequest is a request of a client.
type departRequest struct {
	sent    time.Time
	reached time.Time // a server; zero: it has not
	ended   time.Time // the answer was read, or the connection had ended
	status  int       // 0: no answer
}

func newDeparture(t *testing.T) *departure {
	y := newTestProxy(t)
	y.set.Bounds.Grace = departGrace
	y.usePatientRoutes()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { front.Close() })
	go sockets.Accept(context.Background(), front, y.Proxy.serveConnection)
	d := &departure{testProxy: y, front: front, requests: map[string]*departRequest{}}
	d.server = catalog.Record{ID: "i-1", Service: "s", Address: listen(t, d.serveAtWork), Zone: "z", Slots: 100}
	d.renew()
	renewed := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(renewed)
		d.keepRenewing(stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-renewed
	})
	return d
}

// renew has the server's beat and the proof of the lease heard, as pulls do.
func (d *departure) renew() {
	d.server.Sequence++
	d.testProxy.book.Beat(d.now(), d.server)
	d.tell(nil)
}

func (d *departure) keepRenewing(stop <-chan struct{}) {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			d.renew()
		}
	}
}

// serveAtWork is a server that is at work on each request for a while.
func (d *departure) serveAtWork(c net.Conn) {
	eachRequest(c, func(_ *bufio.Reader, r *http.Request, _ []byte) (goesOn bool) {
		if r.URL.Path == "/health" {
			io.WriteString(c, healthy(d.server.ID))
			return true
		}
		id := r.Header.Get(headerAttempt)
		d.mu.Lock()
		if sent := d.requests[id]; sent != nil {
			sent.reached = time.Now()
		}
		d.mu.Unlock()
		time.Sleep(departWork)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Length: 2\r\n\r\nok", headerAttempt, id, headerSeal)
		return err == nil
	})
}

// send writes a request and notes it. It returns nil when clients begin nothing more.
func (d *departure) send(c net.Conn, id string) (*departRequest, error) {
	d.mu.Lock()
	if d.stopped {
		d.mu.Unlock()
		return nil, net.ErrClosed
	}
	sent := &departRequest{sent: time.Now()}
	d.requests[id] = sent
	d.mu.Unlock()
	_, err := io.WriteString(c, patient("GET", "/read/1", id, "", ""))
	return sent, err
}

// receive reads the answer to a request, and tells whether the connection goes on behind it.
func (d *departure) receive(in *bufio.Reader, sent *departRequest) bool {
	r, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	sent.ended = time.Now()
	if err != nil {
		return false
	}
	sent.status = r.StatusCode
	return !r.Close
}

func (d *departure) dial() (net.Conn, *bufio.Reader, bool) {
	c, err := net.Dial("tcp", d.front.Addr().String())
	if err != nil {
		return nil, nil, false
	}
	return c, bufio.NewReader(c), true
}

// kept sends one request after the other on one connection, and opens the next one when it ends.
func (d *departure) kept(name string, pause time.Duration) {
	for k := 0; ; k++ {
		c, in, ok := d.dial()
		if !ok {
			return
		}
		for n := 0; ; n++ {
			sent, err := d.send(c, fmt.Sprintf("%s-%d-%d", name, k, n))
			if sent == nil {
				c.Close()
				return
			}
			if err != nil || !d.receive(in, sent) {
				break
			}
			time.Sleep(pause)
		}
		c.Close()
	}
}

// pipelined always has some requests on its way on one connection, and opens the next one when it ends.
func (d *departure) pipelined(name string, atOnce int, gap time.Duration) {
	for k := 0; ; k++ {
		c, in, ok := d.dial()
		if !ok {
			return
		}
		under := make(chan *departRequest, 1000)
		places := make(chan struct{}, atOnce)
		over := make(chan struct{})
		go func() {
			defer close(under)
			for n := 0; ; n++ {
				select {
				case places <- struct{}{}:
				case <-over:
					return
				}
				sent, err := d.send(c, fmt.Sprintf("%s-%d-%d", name, k, n))
				if sent == nil {
					return
				}
				under <- sent
				if err != nil {
					return
				}
				time.Sleep(gap)
			}
		}()
		goesOn := true
		for sent := range under {
			if goesOn {
				if goesOn = d.receive(in, sent); !goesOn {
					close(over)
				}
				<-places
			}
		}
		c.Close()
		d.mu.Lock()
		stopped := d.stopped
		d.mu.Unlock()
		if stopped || goesOn {
			return
		}
	}
}

// quiet opens a connection, and sends its second request so long after SIGTERM.
func (d *departure) quiet(name string, after time.Duration) {
	c, in, ok := d.dial()
	if !ok {
		return
	}
	defer c.Close()
	sent, err := d.send(c, name+"-0")
	if err != nil || !d.receive(in, sent) {
		return
	}
	time.Sleep(time.Until(d.sigterm.Add(after)))
	if sent, err := d.send(c, name+"-1"); err == nil {
		d.receive(in, sent)
	}
}

// leaves has the limiter get SIGTERM, and its process end when it is through.
func (d *departure) leaves() (took time.Duration) {
	d.leave(d.front)
	took = time.Since(d.sigterm)
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.clients.each(func(l *pipeline) { l.conn.Close() }) // as the end of a process does
	return took
}

// judge looks at each request: one that has reached a server is answered, unless it was sent early and its
// server was still at work in the last sixth of the grace period; none that was sent late reaches a server.
func (d *departure) judge() {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	reached, answered, lost, late := 0, 0, 0, 0
	var latest time.Duration
	for id, r := range d.requests {
		if r.status != 0 && r.status != 200 && r.status != 429 && r.status != 503 { // the latter two promise that nothing ran
			d.t.Errorf("%s got %d", id, r.status)
		}
		if r.status != 0 {
			answered++
		}
		if r.reached.IsZero() {
			continue
		}
		reached++
		after := r.sent.Sub(d.sigterm)
		if after > promptWithin {
			late++
			latest = max(latest, after)
		}
		excused := after <= promptWithin && r.ended.Sub(d.sigterm) >= departGrace*5/6
		if r.status != 200 && !excused {
			lost++
		}
	}
	d.t.Logf("%d requests, %d answered, %d at a server", len(d.requests), answered, reached)
	if lost > 0 {
		d.t.Errorf("%d requests had reached a server and were not answered", lost)
	}
	if late > 0 {
		d.t.Errorf("%d requests that were sent over %v after SIGTERM were taken, the latest %v after it", late, promptWithin, latest.Round(time.Millisecond))
	}
	if taken := d.departure.latest; taken > promptWithin {
		d.t.Errorf("a request was taken %v after SIGTERM, %v at most", taken.Round(time.Millisecond), promptWithin)
	}
	if reached == 0 {
		d.t.Error("no request reached the server")
	}
}

// A limiter that gets SIGTERM answers whatever it takes, however long clients go on using their connections.
func TestLeavingLimiterAnswersWhatItTakes(t *testing.T) {
	for name, client := range map[string]func(*departure, string){
		"one request after the other": func(d *departure, name string) { d.kept(name, 100*time.Millisecond) },
		"pipelined without a pause":   func(d *departure, name string) { d.pipelined(name, 3, 30*time.Millisecond) },
		"at rest until 3.3 s":         func(d *departure, name string) { d.quiet(name, 3300*time.Millisecond) },
		"at rest until 4.7 s":         func(d *departure, name string) { d.quiet(name, 4700*time.Millisecond) },
		"at rest until 5.2 s":         func(d *departure, name string) { d.quiet(name, 5200*time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeparture(t)
			d.sigterm = time.Now().Add(departWork + 200*time.Millisecond)
			var clients sync.WaitGroup
			for i := range 6 {
				clients.Add(1)
				go func() {
					defer clients.Done()
					time.Sleep(time.Duration(i) * 40 * time.Millisecond)
					client(d, fmt.Sprintf("c%d", i))
				}()
			}
			time.Sleep(time.Until(d.sigterm))
			if took := d.leaves(); took > departGrace-100*time.Millisecond {
				t.Errorf("the process ends %v after SIGTERM", took)
			}
			clients.Wait()
			d.judge()
		})
	}
}

// What clients leave half-sent does not hold a limiter up beyond its time.
func TestLeavingLimiterDoesNotWaitForHalfRequests(t *testing.T) {
	t.Parallel()
	d := newDeparture(t)
	d.sigterm = time.Now().Add(100 * time.Millisecond)
	c, in, _ := d.dial()
	defer c.Close()
	whole := patient("GET", "/read/1", "half", "", "")
	io.WriteString(c, whole[:len(whole)/2])
	d.requests["half"] = &departRequest{sent: time.Now().Add(promptWithin + time.Second)}
	time.Sleep(time.Until(d.sigterm))
	go func() {
		time.Sleep(time.Until(d.sigterm.Add(promptWithin + 500*time.Millisecond)))
		io.WriteString(c, whole[len(whole)/2:])
	}()
	ended := make(chan time.Duration, 1)
	go func() { ended <- d.leaves() }()
	r, err := http.ReadResponse(in, nil)
	d.mu.Lock()
	if !d.requests["half"].reached.IsZero() {
		t.Error("a request that was whole 3.5 s after SIGTERM was sent to a server")
	}
	d.mu.Unlock()
	if err == nil && (r.StatusCode != 503 || !r.Close || r.Header.Get("Retry-After") == "") {
		t.Errorf("it got %d %v", r.StatusCode, r.Header)
	}
	if took := <-ended; took > departGrace-100*time.Millisecond {
		t.Errorf("the process ends %v after SIGTERM", took)
	}
}
