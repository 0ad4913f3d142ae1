package proxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/internal/sockets"
	"example.org/madderdrum/internal/wait"
)

const (
	connectWithin = 400 * time.Millisecond
	probeWithin   = 400 * time.Millisecond
	wholeMost     = 1 << 20 // of an answer that is held whole, so that it can be had again elsewhere
	answerHead    = 64 << 10
	idleMost      = 8 * time.Second // of a connection to a server, where it names no time
	idleMargin    = 1500 * time.Millisecond
	idleUnsafe    = 3 * time.Second // for what can't be sent again
	idleKept      = 16
)

// upstream is one life of a server, with the connections to it.
type upstream struct {
	life    string
	address string
	service string
	number  uint32 // for other limiters

	// The proxy's mutex guards these.
	usable bool
	coldTo time.Time
	nextAt time.Time // when the next request may go to it while it is cold
	pause  time.Duration

	mu   sync.Mutex
	idle []*serverConn // the latest used last
}

func (s *upstream) cold(now time.Time) bool { return s.coldTo.After(now) }

// serverConn is a connection to a server: one request at a time.
type serverConn struct {
	net.Conn
	lim    *limited
	in     *bufio.Reader
	idleAt time.Time
	keep   time.Duration // it may be idle so long
	used   bool
	died   bool
}

func (r *serverConn) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.died = true
	}
	return n, err
}

// upstream returns that of a server's record. The proxy's mutex is held.
func (y *Proxy) upstream(r *catalog.Record) *upstream {
	st := y.upstreams[r.ID]
	if st == nil || st.address != r.Address {
		if st != nil {
			st.drop()
		}
		st = &upstream{life: r.ID, address: r.Address, service: r.Service, number: shortNumber(r.ID)}
		y.upstreams[r.ID] = st
	}
	if r.State == catalog.Gone || r.State == catalog.Silent {
		st.drop()
	}
	return st
}

func (s *upstream) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.idle {
		r.Close()
	}
	s.idle = nil
}

func (s *upstream) take(most time.Duration) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.idle); n > 0; n = len(s.idle) {
		r := s.idle[n-1]
		s.idle = s.idle[:n-1]
		if age := time.Since(r.idleAt); age < min(most, r.keep) && r.quiet() {
			return r
		}
		r.Close()
	}
	return nil
}

func (s *upstream) put(r *serverConn) {
	if r.SetDeadline(time.Time{}) != nil {
		r.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) >= idleKept {
		r.Close()
		return
	}
	r.idleAt = time.Now()
	s.idle = append(s.idle, r)
}

// quiet tells that an idle connection is open and silent.
func (r *serverConn) quiet() bool { return r.in.Buffered() == 0 && sockets.Quiet(r.Conn) }

// sweep closes connections whose time is up, and forgets servers that are gone.
func (y *Proxy) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, time.Second)
		y.mu.Lock()
		for life, st := range y.upstreams {
			st.mu.Lock()
			kept := st.idle[:0]
			for _, r := range st.idle {
				if time.Since(r.idleAt) < r.keep {
					kept = append(kept, r)
				} else {
					r.Close()
				}
			}
			clear(st.idle[len(kept):])
			st.idle = kept
			empty := len(kept) == 0
			st.mu.Unlock()
			if rec, ok := y.book.Get(y.now(), life); !ok && empty || ok && rec.State == catalog.Gone && empty && rec.Since > 60_000 {
				delete(y.upstreams, life)
			}
		}
		y.mu.Unlock()
	}
}

func resolveUDP(to string) (*net.UDPAddr, error) { return net.ResolveUDPAddr("udp", to) }

// connect opens a connection.
func (s *upstream) connect(stopAt time.Time) (*serverConn, error) {
	until := time.Now().Add(connectWithin)
	if stopAt.Before(until) {
		until = stopAt
	}
	d := net.Dialer{Deadline: until, KeepAlive: -1, Control: rpc.Patience}
	c, err := d.Dial("tcp", s.address)
	if err != nil {
		return nil, err
	}
	r := &serverConn{Conn: c, keep: idleMost}
	r.lim = &limited{r: r}
	r.in = bufio.NewReaderSize(r.lim, 4<<10)
	return r, nil
}
