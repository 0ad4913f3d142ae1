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
	connectTimeout    = 400 * time.Millisecond
	probeTimeout      = 400 * time.Millisecond
	maxBufferedAnswer = 1 << 20 // longer answers are streamed and cannot be fetched again from another server
	maxAnswerHead     = 64 << 10
	defaultServerIdle = 8 * time.Second // for connections whose server names no time
	serverIdleMargin  = 1500 * time.Millisecond
	unsafeServerIdle  = 3 * time.Second // for requests that cannot be sent again
	maxIdleConns      = 16
)

// upstream is one instance of a server and the idle connections to it.
type upstream struct {
	instanceID   string
	address      string
	service      string
	instanceHash uint32 // identifies it to other limiters

	// Guarded by the proxy's mutex.
	usable            bool
	coldUntil         time.Time
	nextColdRequestAt time.Time // when the next request may be sent to it while it is cold
	coldInterval      time.Duration

	mu   sync.Mutex
	idle []*serverConn // the most recently used is last
}

func (s *upstream) cold(now time.Time) bool { return s.coldUntil.After(now) }

// serverConn is a connection to a server. It carries one request at a time.
type serverConn struct {
	net.Conn
	limited *limitedReader
	in      *bufio.Reader
	idleAt  time.Time
	reuse   time.Duration // how long it may be reused after it has become idle
	used    bool          // a request has been sent on it
	readErr error         // ended reading, other than by a timeout; nil: the connection is not known to be broken
}

// Read reads from the connection. Once it has ended, each further read returns its error: the kernel returns a reset only
// once, and an answer without a length would seem complete behind it.
func (conn *serverConn) Read(b []byte) (int, error) {
	if conn.readErr != nil {
		return 0, conn.readErr
	}
	n, err := conn.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		conn.readErr = err
	}
	return n, err
}

// upstream returns the upstream of a server's record, creating it if necessary. The proxy's mutex is held.
func (proxy *Proxy) upstream(record *catalog.Record) *upstream {
	server := proxy.upstreams[record.ID]
	if server == nil || server.address != record.Address {
		if server != nil {
			server.closeIdle()
		}
		server = &upstream{instanceID: record.ID, address: record.Address, service: record.Service,
			instanceHash: hash32(record.ID)}
		proxy.upstreams[record.ID] = server
	}
	if record.State == catalog.Gone || record.State == catalog.Silent {
		server.closeIdle()
	}
	return server
}

func (s *upstream) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.idle {
		conn.Close()
	}
	s.idle = nil
}

func (s *upstream) takeIdle(maxIdle time.Duration) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.idle); n > 0; n = len(s.idle) {
		conn := s.idle[n-1]
		s.idle = s.idle[:n-1]
		if age := time.Since(conn.idleAt); age < min(maxIdle, conn.reuse) && conn.isQuiet() {
			return conn
		}
		conn.Close()
	}
	return nil
}

func (s *upstream) putIdle(conn *serverConn) {
	if conn.SetDeadline(time.Time{}) != nil {
		conn.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) >= maxIdleConns {
		conn.Close()
		return
	}
	conn.idleAt = time.Now()
	s.idle = append(s.idle, conn)
}

// isQuiet reports whether an idle connection is open and has no unread input.
func (conn *serverConn) isQuiet() bool { return conn.in.Buffered() == 0 && sockets.IsIdle(conn.Conn) }

// sweepUpstreams closes connections that have been idle too long and removes servers that are gone.
func (proxy *Proxy) sweepUpstreams(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, time.Second)
		proxy.mu.Lock()
		for instanceID, server := range proxy.upstreams {
			server.mu.Lock()
			kept := server.idle[:0]
			for _, conn := range server.idle {
				if time.Since(conn.idleAt) < conn.reuse {
					kept = append(kept, conn)
				} else {
					conn.Close()
				}
			}
			clear(server.idle[len(kept):])
			server.idle = kept
			empty := len(kept) == 0
			server.mu.Unlock()
			if rec, ok := proxy.records.Get(proxy.now(), instanceID); !ok && empty || ok &&
				rec.State == catalog.Gone && empty && rec.Since > 60_000 {
				delete(proxy.upstreams, instanceID)
			}
		}
		proxy.mu.Unlock()
	}
}

func resolveUDP(to string) (*net.UDPAddr, error) { return net.ResolveUDPAddr("udp", to) }

// connect opens a connection to the server.
func (s *upstream) connect(deadline time.Time) (*serverConn, error) {
	until := time.Now().Add(connectTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	d := net.Dialer{Deadline: until, KeepAlive: -1, Control: rpc.SetUserTimeout}
	c, err := d.Dial("tcp", s.address)
	if err != nil {
		return nil, err
	}
	r := &serverConn{Conn: c, reuse: defaultServerIdle}
	r.limited = &limitedReader{r: r}
	r.in = bufio.NewReaderSize(r.limited, 4<<10)
	return r, nil
}
