package loopback

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"example.org/madderdrum/internal/world"
)

// agent is a limiter's discovery agent: the list by HTTP, with watches.
type agent struct {
	r       *Run
	limiter int
	ln      net.Listener
	web     *http.Server

	// Under the run's lock:
	seq     int64
	changes []change
	news1   chan struct{} // closed at the next change
}

type change struct {
	seq   int64
	entry world.Entry
}

// keptChanges is how many changes a watch may be behind before it gets the whole
// list.
const keptChanges = 4096

// hostItem is an entry in discovery's form.
type hostItem struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

type hostList struct {
	Seq   int64      `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []hostItem `json:"hosts"`
}

func newAgent(r *Run, limiter int) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("loopback: a discovery agent: %w", err)
	}
	a := &agent{r: r, limiter: limiter, ln: ln, seq: 1, news1: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.servers)
	a.web = &http.Server{Handler: mux}
	r.tasks.Go(func() {
		if err := a.web.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.w.Notes = append(r.w.Notes, world.Note{At: r.now(), Text: "a discovery agent: " + err.Error()})
		}
	})
	return a, nil
}

func (a *agent) shut() { a.web.Close() }

// item is an entry in the form of the protocol. The lock is held.
func (a *agent) item(e world.Entry) hostItem {
	b := a.r.w.Boxes[e.Box]
	i := hostItem{Host: b.Name, Dial: a.r.addresses[e.Addr].dial(a.limiter), Site: a.r.o.Fleet.Rooms[b.Spec.Room], Class: "box",
		Block: b.Spec.Pod, Health: [...]string{"ready", "draining", "gone"}[e.Health], Share: 1}
	if e.StartedAt >= 0 {
		i.BornMs = float64(a.r.start.Add(e.StartedAt).UnixMicro()) / 1000
	}
	return i
}

// whole is the list as the agent has it. The lock is held.
func (a *agent) whole() hostList {
	l := hostList{Seq: a.seq, Whole: true, Hosts: []hostItem{}}
	for _, e := range a.r.w.KnownEntries(a.limiter) {
		l.Hosts = append(l.Hosts, a.item(e))
	}
	return l
}

// news takes in changes. The lock is held.
func (a *agent) news(entries []world.Entry) {
	for _, e := range entries {
		a.seq++
		a.changes = append(a.changes, change{a.seq, e})
	}
	if len(a.changes) > keptChanges {
		a.changes = a.changes[len(a.changes)-keptChanges/2:]
	}
	close(a.news1)
	a.news1 = make(chan struct{})
}

func (a *agent) servers(w http.ResponseWriter, q *http.Request) {
	r := a.r
	index, err := strconv.ParseInt(q.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	wait, err := strconv.Atoi(q.URL.Query().Get("wait"))
	if err != nil {
		wait = 0
	}
	deadline := time.NewTimer(time.Duration(min(60_000, max(0, wait))) * time.Millisecond)
	defer deadline.Stop()
	for {
		r.mu.Lock()
		l := a.whole()
		if watch && (len(a.changes) == 0 || index >= a.changes[0].seq-1) && index <= a.seq {
			l = hostList{Seq: a.seq, Hosts: []hostItem{}}
			for _, c := range a.changes {
				if c.seq > index {
					l.Hosts = append(l.Hosts, a.item(c.entry))
				}
			}
		}
		told := a.changes
		news := a.news1
		r.mu.Unlock()
		if !watch || l.Whole || len(l.Hosts) > 0 {
			if json.NewEncoder(w).Encode(l) == nil {
				r.mu.Lock()
				for _, c := range told { // told when it has been written
					if c.seq > index {
						r.j.BoxStateReported(r.now(), a.limiter, c.entry.Box, c.entry.Health == world.Ready)
					}
				}
				r.mu.Unlock()
			}
			return
		}
		select {
		case <-news:
		case <-deadline.C:
			watch = false
			json.NewEncoder(w).Encode(l)
			return
		case <-q.Context().Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// relay stands between the limiters' datagrams: what one sends to another's
// address comes here, and goes on from the sender's.
type relay struct {
	r     *Run
	conns []*net.UDPConn   // by limiter: where the others reach it
	own   []netip.AddrPort // where it listens itself
	from  map[netip.AddrPort]int
}

const maxDatagram = 256

func newRelay(r *Run, n int) (*relay, error) {
	y := &relay{r: r, from: map[netip.AddrPort]int{}}
	for range n {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			y.shut()
			return nil, fmt.Errorf("loopback: a relay for peers: %w", err)
		}
		y.conns = append(y.conns, c)
	}
	for i := range n { // ports that the system gave, free for the limiters now
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: r.limiterIP(i)})
		if err != nil {
			y.shut()
			return nil, fmt.Errorf("loopback: a port for a limiter's peers: %w", err)
		}
		defer c.Close()
		at := c.LocalAddr().(*net.UDPAddr).AddrPort()
		y.own = append(y.own, at)
		y.from[at] = i
	}
	for i, c := range y.conns {
		r.tasks.Go(func() { y.hear(i, c) })
	}
	return y, nil
}

// hear takes in what is sent to a limiter.
func (y *relay) hear(to int, c *net.UDPConn) {
	buf := make([]byte, 4096)
	for {
		n, addr, err := c.ReadFromUDPAddrPort(buf)
		if closed(err) {
			return
		}
		if err != nil { // what came back for a message to a limiter that is gone
			continue
		}
		from, known := y.from[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if !known || n > maxDatagram {
			continue
		}
		r := y.r
		r.mu.Lock()
		now := r.advance()
		r.counts.Messages++
		r.w.SendPeerMessage(now, from, to, append([]byte(nil), buf[:n]...))
		r.carry(r.w.TakeActions())
		r.nudge()
		r.mu.Unlock()
	}
}

// deliver sends a message on. UDP on loopback does not block.
func (y *relay) deliver(m world.DeliverPeerMessage) {
	y.conns[m.From].WriteToUDPAddrPort(m.Data, y.own[m.To])
}

func (y *relay) shut() {
	for _, c := range y.conns {
		c.Close()
	}
}
