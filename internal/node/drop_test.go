package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/madderdrum/lifecycle"
)

// answerCheckConn counts connections from which the limiter has read a request that it didn't answer.
type answerCheckConn struct {
	net.Conn
	read, wrote atomic.Int64
	unanswered  *atomic.Int64
	once        sync.Once
}

func (c *answerCheckConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

func (c *answerCheckConn) Write(b []byte) (int, error) {
	c.wrote.Store(c.read.Load())
	return c.Conn.Write(b)
}

func (c *answerCheckConn) Close() error {
	c.once.Do(func() {
		// net/http may have read the first byte of the next request while it ends the one before; the rest is
		// then unread, and the client is notified by a reset.
		if c.read.Load() > c.wrote.Load()+1 {
			c.unanswered.Add(1)
		}
	})
	return c.Conn.Close()
}

type answerCheckListener struct {
	net.Listener
	unanswered *atomic.Int64
}

func (l answerCheckListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &answerCheckConn{Conn: c, unanswered: l.unanswered}, nil
}

// However often connections without a request are closed, a request that was read from one is answered: its
// client can't know that it may safely retry.
func TestClosingUnusedEatsNoRequest(t *testing.T) {
	t.Parallel()
	var unanswered, served, retried atomic.Int64
	d := newDiscovery(t, server("s-1", echo(t)))
	r := newRig(t, d, testConfig(t, d.addr, d.list.Hosts...))
	r.addr = r.node.Addr().String()
	r.node.listeners[0] = answerCheckListener{r.node.listeners[0], &unanswered}
	r.run()
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for ctx.Err() == nil {
			r.node.conns.endUnused(0, 0)
		}
	})
	for range 8 {
		tasks.Go(func() {
			for ctx.Err() == nil {
				c, err := net.Dial("tcp", r.addr)
				if err != nil {
					t.Error(err)
					return
				}
				c.SetDeadline(time.Now().Add(testTimeout))
				in := bufio.NewReader(c)
				for ctx.Err() == nil {
					req := r.newRequest("status-check", "enterprise", "")
					if req.Write(c) != nil {
						retried.Add(1)
						break
					}
					resp, err := http.ReadResponse(in, req)
					if err != nil {
						retried.Add(1)
						break
					}
					io.Copy(io.Discard, resp.Body)
					served.Add(1)
				}
				c.Close()
			}
		})
	}
	waitFor(t, "many are served", func() bool { return served.Load() > 800 || retried.Load() > 10000 })
	stop()
	tasks.Wait()
	t.Logf("%d answered, %d closed before they were read", served.Load(), retried.Load())
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d requests were read and not answered", n)
	}
}

// An active client is served while thousands of clients connect, send nothing or half a header, and stay, with
// 512 descriptors: the limiter never exceeds its budget for clients.
func TestWorksBesideThousandsOfIdleClients(t *testing.T) {
	t.Parallel()
	r := startWith(t, func(c *Config) { c.Limits.Sockets = 512 }, server("s-1", echo(t)))
	_, limit := socketBudget(512)
	const crowd, atOnce = 5000, 50
	var open [atOnce][]net.Conn // connections of each goroutine, to be closed at the end
	var arrivals sync.WaitGroup
	for k := range atOnce {
		arrivals.Go(func() {
			for i := range crowd / atOnce {
				c, err := net.Dial("tcp", r.addr)
				if err != nil {
					t.Error(err)
					return
				}
				if i%2 == 0 {
					io.WriteString(c, "POST /api?key=00000000b4d65521 HTTP/1.1\r\nHost: x\r\n")
				}
				if open[k] = append(open[k], c); len(open[k]) > 30 { // the test's own descriptors are limited
					open[k][0].Close()
					open[k] = open[k][1:]
				}
			}
		})
	}
	arrived := make(chan struct{})
	go func() { arrivals.Wait(); close(arrived) }()
	served, retried, overLimit := 0, 0, 0
	// The pause keeps the active client within its quota of 1,000 requests a second, also on a fast machine.
	for done := false; !done || served < 20; time.Sleep(time.Millisecond) {
		switch res := r.received(r.send(r.newRequest("status-check", "enterprise", ""))); res.status {
		case 200:
			served++
		case 0: // closed before the request was read: the client may retry
			retried++
		default:
			t.Fatalf("an active client got %d %q after %d", res.status, res.body, served)
		}
		if r.node.conns.openCount() > limit+maxEnding+1 {
			overLimit++
		}
		select {
		case <-arrived:
			done = true
		default:
		}
	}
	if retried > served/10 {
		t.Errorf("of %d requests %d hit a closed connection", served+retried, retried)
	}
	if overLimit > 0 {
		t.Errorf("limit of %d connections exceeded %d times", limit, overLimit)
	}
	for k := range open {
		for _, c := range open[k] {
			c.Close()
		}
	}
	waitFor(t, "the idle clients are removed", func() bool { return r.node.conns.openCount() <= 1 })
}

// A request sent on a kept-alive connection while the limiter was stopping was served, but its connection
// closed without an answer; the client retried it, and it was executed twice. The cause was
// http.Server.Shutdown, which considers a connection idle until the complete header of a request has been read,
// and closes it while the header is being read. It was seen once in 80 runs of the package's upgrade tests,
// eight at once beside 16 busy processes; this test keeps the header half read.
func TestRequestThatHasBegunToComeIsAnswered(t *testing.T) {
	t.Parallel()
	r := start(t, server("s-1", echo(t)))
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	c.SetDeadline(time.Now().Add(testTimeout))
	first := r.newRequest("status-check", "enterprise", "")
	first.Write(c)
	if resp, err := http.ReadResponse(in, first); err != nil || resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("the first request: %v %v", resp, err)
	} else {
		io.Copy(io.Discard, resp.Body)
	}
	var text bytes.Buffer
	second := r.newRequest("status-check", "enterprise", "")
	second.Write(&text)
	whole := text.Bytes()
	c.Write(whole[:len(whole)/2])
	time.Sleep(50 * time.Millisecond) // the reader has read it
	r.stop()
	time.Sleep(lifecycle.AcceptAfterStop + 300*time.Millisecond) // connections without a request are closed by then
	c.Write(whole[len(whole)/2:])
	resp, err := http.ReadResponse(in, second)
	if err != nil {
		t.Fatalf("a partly received request got no answer: %v", err)
	}
	if resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("it got %d, close %v", resp.StatusCode, resp.Close)
	}
	r.waitStopped()
}
