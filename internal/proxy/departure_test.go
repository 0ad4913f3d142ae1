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
	// gracePeriod is the time between SIGTERM and SIGKILL in these tests.
	gracePeriod = 6 * time.Second
	// promptWindow is how long after SIGTERM a request may still be accepted.
	promptWindow = 3 * time.Second
	// serverWorkTime is how long a server works on a request. It exceeds the time that an earlier version left
	// between the end of its intake and the end of the process.
	serverWorkTime = 1500 * time.Millisecond
	// renewInterval is how often the limiter receives its server's heartbeat and has its lease renewed.
	renewInterval = 300 * time.Millisecond
)

// departure is a limiter that receives SIGTERM while clients keep using their connections, and checks what happens
// to their requests.
type departure struct {
	*testProxy
	frontend net.Listener   // accepts client connections
	server   catalog.Record // receives all requests

	mu       sync.Mutex
	sigterm  time.Time
	requests map[string]*sentRequest
	stopped  bool // clients send no further requests

	renewing sync.Mutex // guards server and the catalog that it is in, which are renewed periodically
}

// sentRequest is a request sent by a client.
type sentRequest struct {
	sent    time.Time
	reached time.Time // when a server received it; zero: none has
	ended   time.Time // when the answer was read or the connection ended
	status  int       // 0: no answer
}

func newDeparture(t *testing.T) *departure {
	proxy := newTestProxy(t)
	proxy.settings.Bounds.Grace = gracePeriod
	proxy.useLongTimeoutRoutes()
	frontend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { frontend.Close() })
	go sockets.Accept(context.Background(), frontend, proxy.Proxy.serveConnection)
	d := &departure{testProxy: proxy, frontend: frontend, requests: map[string]*sentRequest{}}
	d.server = catalog.Record{ID: "i-1", Service: "s", Address: listen(t, d.serveSlowly), Zone: "z", Slots: 100}
	d.renew()
	renewed := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(renewed)
		d.renewPeriodically(stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-renewed
	})
	return d
}

// renew delivers the server's heartbeat and a proof that renews the lease, as pulls do.
func (d *departure) renew() {
	d.renewing.Lock()
	defer d.renewing.Unlock()
	d.server.Sequence++
	d.testProxy.records.ApplyHeartbeat(d.now(), d.server)
	d.deliver(nil)
}

// moveServer gives the server another address, and delivers it.
func (d *departure) moveServer(address string) {
	d.renewing.Lock()
	d.server.Address = address
	d.renewing.Unlock()
	d.renew()
}

func (d *departure) renewPeriodically(stop <-chan struct{}) {
	tick := time.NewTicker(renewInterval)
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

// serveSlowly is a server that works on each request for serverWorkTime.
func (d *departure) serveSlowly(c net.Conn) {
	serveRequests(c, func(_ *bufio.Reader, r *http.Request, _ []byte) (keepOpen bool) {
		if r.URL.Path == "/health" {
			io.WriteString(c, healthResponse(d.server.ID))
			return true
		}
		id := r.Header.Get(headerAttempt)
		d.mu.Lock()
		if sent := d.requests[id]; sent != nil {
			sent.reached = time.Now()
		}
		d.mu.Unlock()
		time.Sleep(serverWorkTime)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Length: 2\r\n\r\nok", headerAttempt,
			id, headerSeal)
		return err == nil
	})
}

// send writes and records a request. It returns nil once clients send no further requests.
func (d *departure) send(c net.Conn, id string) (*sentRequest, error) {
	d.mu.Lock()
	if d.stopped {
		d.mu.Unlock()
		return nil, net.ErrClosed
	}
	sent := &sentRequest{sent: time.Now()}
	d.requests[id] = sent
	d.mu.Unlock()
	_, err := io.WriteString(c, longTimeoutRequest("GET", "/read/1", id, "", ""))
	return sent, err
}

// receive reads the answer to a request and reports whether the connection stays open.
func (d *departure) receive(in *bufio.Reader, sent *sentRequest) bool {
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
	c, err := net.Dial("tcp", d.frontend.Addr().String())
	if err != nil {
		return nil, nil, false
	}
	return c, bufio.NewReader(c), true
}

// sendSequentially sends one request after another on a connection, and opens a new one when it ends.
func (d *departure) sendSequentially(name string, pause time.Duration) {
	for connection := 0; ; connection++ {
		c, in, ok := d.dial()
		if !ok {
			return
		}
		for n := 0; ; n++ {
			sent, err := d.send(c, fmt.Sprintf("%s-%d-%d", name, connection, n))
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

// sendPipelined keeps several requests in flight on a connection, and opens a new one when it ends.
func (d *departure) sendPipelined(name string, atOnce int, gap time.Duration) {
	for connection := 0; ; connection++ {
		c, in, ok := d.dial()
		if !ok {
			return
		}
		unanswered := make(chan *sentRequest, 1000)
		permits := make(chan struct{}, atOnce)
		closed := make(chan struct{})
		go func() {
			defer close(unanswered)
			for n := 0; ; n++ {
				select {
				case permits <- struct{}{}:
				case <-closed:
					return
				}
				sent, err := d.send(c, fmt.Sprintf("%s-%d-%d", name, connection, n))
				if sent == nil {
					return
				}
				unanswered <- sent
				if err != nil {
					return
				}
				time.Sleep(gap)
			}
		}()
		keepOpen := true
		for sent := range unanswered {
			if keepOpen {
				if keepOpen = d.receive(in, sent); !keepOpen {
					close(closed)
				}
				<-permits
			}
		}
		c.Close()
		d.mu.Lock()
		stopped := d.stopped
		d.mu.Unlock()
		if stopped || keepOpen {
			return
		}
	}
}

// sendLate opens a connection and sends its second request a given time after SIGTERM.
func (d *departure) sendLate(name string, after time.Duration) {
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

// terminate runs the limiter's shutdown as on SIGTERM and then closes all connections.
func (d *departure) terminate() (elapsed time.Duration) {
	d.shutDown(d.frontend)
	elapsed = time.Since(d.sigterm)
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.clients.each(func(pipe *pipeline) { pipe.conn.Close() }) // as the end of the process would
	return elapsed
}

// check examines each request. A request that reached a server must be answered, unless it was sent early and the
// server still worked on it in the last sixth of the grace period. A request that was sent late must not reach a
// server.
func (d *departure) check() {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	reached, answered, lost, late := 0, 0, 0, 0
	var lastAcceptedAfter time.Duration
	for id, r := range d.requests {
		if r.status != 0 && r.status != 200 && r.status != 429 && r.status != 503 { // 429 and 503: not executed
			d.t.Errorf("%s: status %d", id, r.status)
		}
		if r.status != 0 {
			answered++
		}
		if r.reached.IsZero() {
			continue
		}
		reached++
		after := r.sent.Sub(d.sigterm)
		if after > promptWindow {
			late++
			lastAcceptedAfter = max(lastAcceptedAfter, after)
		}
		excused := after <= promptWindow && r.ended.Sub(d.sigterm) >= gracePeriod*5/6
		if r.status != 200 && !excused {
			lost++
		}
	}
	d.t.Logf("%d requests, %d answered, %d reached a server", len(d.requests), answered, reached)
	if lost > 0 {
		d.t.Errorf("%d requests reached a server and were not answered", lost)
	}
	if late > 0 {
		d.t.Errorf("%d requests sent more than %v after SIGTERM reached a server, the latest %v after it", late,
			promptWindow, lastAcceptedAfter.Round(time.Millisecond))
	}
	if taken := d.departure.lastAcceptedAfter; taken > promptWindow {
		d.t.Errorf("a request was accepted %v after SIGTERM, want at most %v", taken.Round(time.Millisecond),
			promptWindow)
	}
	if reached == 0 {
		d.t.Error("no request reached the server")
	}
}

// A limiter that receives SIGTERM answers all requests that it accepts, even if clients keep using their
// connections for long.
func TestLeavingLimiterAnswersWhatItTakes(t *testing.T) {
	for name, client := range map[string]func(*departure, string){
		"sequential requests": func(d *departure, name string) { d.sendSequentially(name, 100*time.Millisecond) },
		"pipelined requests":  func(d *departure, name string) { d.sendPipelined(name, 3, 30*time.Millisecond) },
		"idle until 3.3 s":    func(d *departure, name string) { d.sendLate(name, 3300*time.Millisecond) },
		"idle until 4.7 s":    func(d *departure, name string) { d.sendLate(name, 4700*time.Millisecond) },
		"idle until 5.2 s":    func(d *departure, name string) { d.sendLate(name, 5200*time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeparture(t)
			d.sigterm = time.Now().Add(serverWorkTime + 200*time.Millisecond)
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
			if elapsed := d.terminate(); elapsed > gracePeriod-100*time.Millisecond {
				t.Errorf("the process exited %v after SIGTERM", elapsed)
			}
			clients.Wait()
			d.check()
		})
	}
}

// Requests that clients leave half-sent do not delay the end of the process.
func TestLeavingLimiterDoesNotWaitForHalfRequests(t *testing.T) {
	t.Parallel()
	d := newDeparture(t)
	d.sigterm = time.Now().Add(100 * time.Millisecond)
	c, in, _ := d.dial()
	defer c.Close()
	whole := longTimeoutRequest("GET", "/read/1", "half", "", "")
	io.WriteString(c, whole[:len(whole)/2])
	d.requests["half"] = &sentRequest{sent: time.Now().Add(promptWindow + time.Second)}
	time.Sleep(time.Until(d.sigterm))
	go func() {
		time.Sleep(time.Until(d.sigterm.Add(promptWindow + 500*time.Millisecond)))
		io.WriteString(c, whole[len(whole)/2:])
	}()
	ended := make(chan time.Duration, 1)
	go func() { ended <- d.terminate() }()
	r, err := http.ReadResponse(in, nil)
	d.mu.Lock()
	if !d.requests["half"].reached.IsZero() {
		t.Error("a request completed 3.5 s after SIGTERM reached a server")
	}
	d.mu.Unlock()
	if err == nil && (r.StatusCode != 503 || !r.Close || r.Header.Get("Retry-After") == "") {
		t.Errorf("got status %d, header %v", r.StatusCode, r.Header)
	}
	if elapsed := <-ended; elapsed > gracePeriod-100*time.Millisecond {
		t.Errorf("the process exited %v after SIGTERM", elapsed)
	}
}
