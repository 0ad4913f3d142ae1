package loopback_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/loopback"
)

// double is a stand-in limiter that knows nothing and passes all on to the boxes
// it was started with, in turn; fault makes it break one rule.
type double struct {
	boxes  []string
	next   atomic.Int64
	client *http.Client
	web    *http.Server
	done   chan struct{}
	once   sync.Once
	fault  func(d *double, w http.ResponseWriter, q *http.Request, body []byte) bool
}

func (d *double) Done() <-chan struct{} { return d.done }
func (d *double) Stop()                 { d.Kill() }
func (d *double) Kill() {
	d.once.Do(func() {
		d.web.Close()
		d.client.CloseIdleConnections()
		close(d.done)
	})
}

func startDouble(config string, fault func(d *double, w http.ResponseWriter, q *http.Request, body []byte) bool) (*double, error) {
	data, err := os.ReadFile(config)
	if err != nil {
		return nil, err
	}
	var c struct {
		Listen, Discovery string
		Known             struct{ Hosts []struct{ Dial string } }
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	d := &double{done: make(chan struct{}), fault: fault, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for _, h := range c.Known.Hosts {
		d.boxes = append(d.boxes, h.Dial)
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	d.web = &http.Server{Handler: d}
	go d.web.Serve(ln)
	go d.watch(c.Discovery)
	return d, nil
}

// watch has discovery tell the double all that is new, and cares for none of it.
func (d *double) watch(discovery string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-d.done
		cancel()
	}()
	for index := 1; ; {
		req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s/v1/servers?index=%d&wait=20000", discovery, index), nil)
		if err != nil {
			return
		}
		resp, err := d.client.Do(req)
		if err != nil {
			return
		}
		var l struct{ Seq int }
		err = json.NewDecoder(resp.Body).Decode(&l)
		resp.Body.Close()
		if index = l.Seq; err != nil {
			return
		}
	}
}

func (d *double) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil || d.fault(d, w, q, body) {
		return
	}
	d.give(w, q, body, d.boxes[int(d.next.Add(1))%len(d.boxes)])
}

// send passes a request on to a box.
func (d *double) send(q *http.Request, body []byte, box string) (int, []byte) {
	out, err := http.NewRequest(q.Method, "http://"+box+q.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return http.StatusBadGateway, nil
	}
	for _, name := range []string{"X-Request-Id", "Idempotency-Key", "X-Timeout"} {
		if v := q.Header.Get(name); v != "" {
			out.Header.Set(name, v)
		}
	}
	resp, err := d.client.Do(out)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	return resp.StatusCode, answer
}

func (d *double) give(w http.ResponseWriter, q *http.Request, body []byte, box string) {
	code, answer := d.send(q, body, box)
	w.WriteHeader(code)
	w.Write(answer)
}

// The judge can fail on sockets too: a program that breaks one rule on purpose is
// caught at it.
func TestJudgeCatchesOnSockets(t *testing.T) {
	class := func(q *http.Request) string { return q.Header.Get("X-Priority-Class") }
	for _, c := range []struct {
		name     string
		rule     judge.Rule
		want     string
		scenario string
		length   time.Duration
		change   func(*loopback.Options)
		fault    func(d *double, w http.ResponseWriter, q *http.Request, body []byte) bool
	}{
		{name: "answers twice", rule: judge.OneAnswer, want: "second time", fault: func(d *double, w http.ResponseWriter, q *http.Request, body []byte) bool {
			code, answer := d.send(q, body, d.boxes[0])
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return true
			}
			for range 2 {
				fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", code, len(answer), answer)
			}
			go func() { // kept open until the client closes it
				io.Copy(io.Discard, conn)
				conn.Close()
			}()
			return true
		}},
		{name: "never answers some", rule: judge.OneAnswer, want: "no final answer", length: 2 * time.Second, fault: func(d *double, w http.ResponseWriter, q *http.Request, body []byte) bool {
			if class(q) != "status-check" {
				return false
			}
			<-q.Context().Done()
			return true
		}},
		{name: "serves another's answer", rule: judge.OneAnswer, want: "no box made", fault: func(d *double, w http.ResponseWriter, q *http.Request, body []byte) bool {
			d.send(q, body, d.boxes[1])
			io.WriteString(w, "served somebody else\n")
			return true
		}},
		{name: "resends unsafe requests", rule: judge.NothingTwice, want: "unsafe and sent again", scenario: "box a0 fails 90% from 0s to 9s", fault: func(d *double, w http.ResponseWriter, q *http.Request, body []byte) bool {
			if class(q) != "send-bulk-paid" {
				return false
			}
			if code, _ := d.send(q, body, d.boxes[0]); code == http.StatusInternalServerError {
				d.give(w, q, body, d.boxes[1])
				return true
			}
			w.WriteHeader(http.StatusBadGateway)
			return true
		}},
		{name: "sends to drained boxes", rule: judge.DrainsKept, want: "after it was told", scenario: "box a0 drains from 100ms to 9s", length: 4 * time.Second,
			change: func(o *loopback.Options) {
				o.Fleet.Network.ListDelayMin, o.Fleet.Network.ListDelayMax = 10*time.Millisecond, 50*time.Millisecond
			},
			fault: func(d *double, w http.ResponseWriter, q *http.Request, body []byte) bool {
				d.give(w, q, body, d.boxes[0])
				return true
			}},
		{name: "floods cold boxes", rule: judge.ColdKept, want: "pushed over", scenario: "box a0 dies from 100ms to 200ms", fault: func(d *double, w http.ResponseWriter, q *http.Request, body []byte) bool {
			d.give(w, q, body, d.boxes[0])
			return true
		}},
		{name: "ignores the ceiling", rule: judge.CeilingsKept, want: "over its ceiling", length: 4 * time.Second,
			change: func(o *loopback.Options) { o.Fleet.Plans[1].CeilingRate, o.Fleet.Plans[1].CeilingBurst = 0.5, 6 }, // usual traffic passes it
			fault: func(d *double, w http.ResponseWriter, q *http.Request, body []byte) bool {
				return false
			}},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			length := c.length
			if length == 0 {
				length = 1500 * time.Millisecond
			}
			r := play(t, 2, length, c.scenario, func(o *loopback.Options) {
				if c.change != nil {
					c.change(o)
				}
				o.Start = func(config string, _ int) (loopback.Process, error) { return startDouble(config, c.fault) }
			})
			found := false
			for _, b := range r.Judge.Breaches {
				found = found || b.Rule == c.rule && strings.Contains(b.Text, c.want)
			}
			if !found {
				t.Errorf("not caught: %v, put to the test %v; %d answers not judged for want of a processor; breaches that were found: %v",
					r.Judge.BreachCounts, r.Judge.CheckCounts, len(r.Starved), r.Judge.Breaches[:min(3, len(r.Judge.Breaches))])
			}
		})
	}
}

// lingering is a stand-in limiter that, once killed, takes some more requests before
// it is gone, as a process does that the system has not come to end yet.
type lingering struct {
	*double
	killed atomic.Bool
	taken  atomic.Int64
}

// lastTaken is how many requests it still takes. The first few may come on kept
// connections, behind which clients send once more.
const lastTaken = 12

func (d *lingering) Kill() { d.killed.Store(true) }

// What a killed limiter takes in its last moments dies with it, and is no request left
// without an answer by one that is alive.
func TestDiesLaterThanKilled(t *testing.T) {
	t.Parallel()
	var dying *lingering
	r := play(t, 4, 2*time.Second, "limiter n2 is killed at 500ms for 500ms", func(o *loopback.Options) {
		for i := range o.Fleet.Classes { // the stand-in has no time-out, so no box may be slow
			o.Fleet.Classes[i].Work, o.Fleet.Classes[i].Spread = time.Millisecond, 0
		}
		o.Start = func(config string, limiter int) (loopback.Process, error) {
			l := &lingering{}
			var err error
			l.double, err = startDouble(config, func(_ *double, w http.ResponseWriter, _ *http.Request, _ []byte) bool {
				if !l.killed.Load() {
					return false
				}
				if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
					conn.Close()
				}
				if l.taken.Add(1) == lastTaken {
					go l.double.Kill()
				}
				return true
			})
			if err != nil || limiter != 2 || dying != nil { // the others, and its next life
				return l.double, err
			}
			dying = l
			return l, nil
		}
	})
	if n := dying.taken.Load(); n < lastTaken {
		t.Errorf("it took %d requests after it was killed", n)
	}
	for _, b := range r.Judge.Breaches {
		if b.Rule == judge.OneAnswer {
			t.Error(b)
		}
	}
}

// An answer within the slack of the rules is heard: it is late for its client, but no
// rule is broken. Past the slack it is one that never came.
func TestHearsWithinTheSlack(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		slack  time.Duration
		broken bool
		late   time.Duration
	}{{"within", 20 * time.Second, false, 20 * time.Millisecond}, {"past", time.Millisecond, true, time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var late atomic.Int64
			r := play(t, 5, 300*time.Millisecond, "", func(o *loopback.Options) {
				o.Slack = c.slack
				o.Fleet.Traffic.Retries = 0
				for i := range o.Fleet.Classes {
					o.Fleet.Classes[i].Aim, o.Fleet.Classes[i].Deadline = 100*time.Millisecond, 200*time.Millisecond
				}
				o.Start = func(config string, _ int) (loopback.Process, error) {
					return startDouble(config, func(_ *double, w http.ResponseWriter, q *http.Request, _ []byte) bool {
						wait, err := time.ParseDuration(q.Header.Get("X-Timeout") + "s") // 150m and s: milliseconds
						if err != nil {
							return false
						}
						time.Sleep(wait + c.late) // the fault itself: too late for the client
						late.Add(1)
						w.WriteHeader(http.StatusGatewayTimeout)
						return true
					})
				}
			})
			if late.Load() == 0 || r.Judge.BreachCounts[judge.OneAnswer] > 0 != c.broken {
				t.Errorf("%d late answers, breaches %v", late.Load(), r.Judge.Breaches)
			}
		})
	}
}
