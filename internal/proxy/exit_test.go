package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/madderdrum/traffic/shutdown"
)

// unansweringServer takes requests, tells of each, and answers none but health checks.
func unansweringServer(id string, reached func(attempt string)) func(net.Conn) {
	return func(c net.Conn) {
		eachRequest(c, func(in *bufio.Reader, r *http.Request, _ []byte) (goesOn bool) {
			if r.URL.Path == "/health" {
				io.WriteString(c, healthy(id))
				return true
			}
			reached(r.Header.Get(headerAttempt))
			in.Peek(1) // until the limiter closes the connection
			return false
		})
	}
}

// Requests in hand at the end of a leaving limiter got no answer: their connections closed 5.7 s after SIGTERM, also
// those of requests that no server had. The process ended with whatever it had in hand. Evidence: the operators'
// record of a request that was cut so, and the soak of processes, in which nearly all seeds had some.
//
// Here a server is silent for good: a request that can be repeated, one that can't, and those that are pipelined
// behind the first one all are answered, no sooner than in the last sixth of the grace period, and before its end.
func TestRequestsInHandAtTheEndAreAnswered(t *testing.T) {
	t.Parallel()
	d := newDeparture(t)
	var mu sync.Mutex
	reached := map[string]bool{}
	d.server.Address = listen(t, unansweringServer(d.server.ID, func(attempt string) {
		mu.Lock()
		defer mu.Unlock()
		reached[attempt] = true
	}))
	d.renew()
	d.sigterm = time.Now().Add(200 * time.Millisecond)
	texts := map[string][]string{"r": {}, "w": {patient("POST", "/send/1", "w-0", "", "body")}}
	ids := map[string][]string{"w": {"w-0"}}
	for _, id := range []string{"r-0", "r-1", "r-2"} {
		texts["r"], ids["r"] = append(texts["r"], patient("GET", "/read/1", id, "", "")), append(ids["r"], id)
	}
	var clients sync.WaitGroup
	for name := range texts {
		clients.Go(func() {
			c, in, _ := d.dial()
			defer c.Close()
			time.Sleep(time.Until(d.sigterm.Add(500 * time.Millisecond)))
			for _, text := range texts[name] {
				io.WriteString(c, text)
			}
			for _, id := range ids[name] {
				r, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Errorf("%s got no answer: %v", id, err)
					return
				}
				io.Copy(io.Discard, r.Body)
				after := time.Since(d.sigterm)
				mu.Lock()
				ran := reached[id]
				mu.Unlock()
				want := map[bool]int{true: http.StatusGatewayTimeout, false: http.StatusServiceUnavailable}[ran]
				if r.StatusCode != want || after < departGrace*5/6 || after > departGrace {
					t.Errorf("%s got %d %v after SIGTERM, at a server %v", id, r.StatusCode, after, ran)
				}
			}
		})
	}
	time.Sleep(time.Until(d.sigterm))
	if took := d.leaves(); took > departGrace-100*time.Millisecond {
		t.Errorf("the process ends %v after SIGTERM", took)
	}
	clients.Wait()
	if mu.Lock(); !reached["w-0"] || !reached["r-0"] {
		t.Errorf("at the server: %v", reached)
	}
}

// A process that stands still over the end of its intake, and goes on, took what had come meanwhile: the intake ended
// when a loop had looked at the time, and readers were faster. Evidence: the soak of processes, when limiters get
// SIGSTOP and SIGCONT while they leave.
func TestIntakeEndsByTheTime(t *testing.T) {
	t.Parallel()
	d := newDeparture(t)
	c, in, _ := d.dial()
	defer c.Close()
	time.Sleep(50 * time.Millisecond)                    // its reader waits
	d.leaving.Store(true)                                // SIGTERM was heard, and the loop that ends the intake
	d.intakeEnds.Store(int64(time.Since(d.Proxy.begun))) // has not run since
	io.WriteString(c, patient("GET", "/read/1", "late", "", ""))
	d.expectRefused(in)
}

// expectRefused reads an answer that tells that the request was not taken.
func (d *departure) expectRefused(in *bufio.Reader) {
	d.t.Helper()
	r, err := http.ReadResponse(in, nil)
	if err != nil || r.StatusCode != http.StatusServiceUnavailable || !r.Close {
		d.t.Errorf("a request that came late got %v %v", r, err)
	}
}

// A process that stands still when SIGTERM is sent hears it when it goes on. It counted its grace period from there: it
// took requests for 2.5 s more, and was killed with them in hand. Evidence: as above.
func TestSIGTERMDuringStall(t *testing.T) {
	t.Parallel()
	d := newDeparture(t)
	c, in, _ := d.dial()
	defer c.Close()
	time.Sleep(50 * time.Millisecond)
	const stood = 3500 * time.Millisecond
	now := time.Now()
	d.stalls.tick(now.Add(-stood - 100*time.Millisecond))
	d.stalls.tick(now.Add(-stood))
	d.sigterm = now.Add(-stood)
	left := make(chan time.Duration, 1)
	var heard atomic.Bool
	time.AfterFunc(shutdown.SettleWithin/2, func() { // the signal is on its way through the process
		heard.Store(true)
		left <- d.leaves()
	})
	io.WriteString(c, patient("GET", "/read/1", "late", "", ""))
	d.expectRefused(in)
	if !heard.Load() {
		t.Error("the request was answered before the process could hear SIGTERM")
	}
	if took := <-left; took > departGrace {
		t.Errorf("the process ends %v after SIGTERM", took)
	}
}

// A request that no server had when it was revoked is sent to none.
func TestRevokedRequestIsNotSent(t *testing.T) {
	var h handOff
	if !h.send() {
		t.Fatal("a request that waits can't be sent")
	}
	h.takeBack()
	if h.revoke() {
		t.Error("a request that a server turned away counts as one that may have run")
	}
	if h.send() {
		t.Error("a revoked request can be sent")
	}
	var sent handOff
	sent.send()
	if !sent.revoke() || sent.send() {
		t.Error("a request at a server does not count as one that may have run, or is sent once more")
	}
	for range 2000 {
		var h handOff
		var sent bool
		done := make(chan struct{})
		go func() {
			sent = h.send()
			close(done)
		}()
		mayHaveRun := h.revoke()
		if <-done; sent != mayHaveRun {
			t.Fatalf("sent %v, may have run %v", sent, mayHaveRun)
		}
	}
}
