// Package admin answers operators' calls on an address of their own: one line a connection,
// and an answer that is a line which begins with YES or NO, or figures. It knows a table of
// calls and nothing of what they do.
package admin

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// MostSilent bounds the callers whose line has not come: a further one drives out the
	// one that has been silent longest. MostCallers bounds all, and so the descriptors and
	// goroutines: those that are being answered end soon.
	MostSilent  = 8
	MostCallers = 2 * MostSilent
	maxLine     = 256
	// A caller has silentFor for its line, and takes its answer within answerFor.
	lineTimeout      = 10 * time.Second
	answerTimeout    = time.Second
	lingerTimeout    = 50 * time.Millisecond
	acceptRetryDelay = 10 * time.Millisecond // after a failed accept
)

// Call carries out a call. What it returns is the answer, whole lines; an error is answered
// with NO and its text. It must not block.
type Call func(args []string) (string, error)

// Stream carries out a call that goes on talking on its connection, which closes when it
// returns. in holds what has been read behind the line.
type Stream func(args []string, c net.Conn, in *bufio.Reader)

// Yes is the answer of a call that has nothing else to say.
const Yes = "YES\n"

// Server listens for calls.
type Server struct {
	listener net.Listener
	calls    map[string]Call
	streams  map[string]Stream
	log      func(msg string, args ...any)

	mu           sync.Mutex
	awaitingLine list.List // of *caller: no line has come, oldest first
	openCount    int       // but for those driven out
	closed       bool
	callers      sync.WaitGroup
}

// caller is one connection.
type caller struct {
	net.Conn
	evicted bool // driven out
}

// Listen begins to listen; Run answers. warn writes a line to the log, at a bounded rate.
func Listen(addr string, calls map[string]Call, streams map[string]Stream, warn func(msg string, args ...any)) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin_addr %s: %w", addr, err)
	}
	if warn == nil {
		warn = slog.Default().Warn
	}
	return &Server{listener: ln, calls: calls, streams: streams, log: warn}, nil
}

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close ends a server that does not run.
func (s *Server) Close() { s.listener.Close() }

// Run answers calls until the context ends.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.closeAll)
	defer stop()
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			s.log("can't accept an operator's call", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startCaller(c)
	}
	s.callers.Wait()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for e := s.awaitingLine.Front(); e != nil; e = e.Next() {
		e.Value.(*caller).Close()
	}
}

// take begins with a caller.
func (s *Server) startCaller(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.awaitingLine.Len() >= MostSilent || s.openCount >= MostCallers && s.awaitingLine.Len() > 0 {
		oldest := s.awaitingLine.Remove(s.awaitingLine.Front()).(*caller)
		oldest.evicted = true
		oldest.Close()
		s.openCount--
	}
	if s.closed || s.openCount >= MostCallers {
		c.Close()
		return
	}
	s.openCount++
	x := &caller{Conn: c}
	place := s.awaitingLine.PushBack(x)
	s.callers.Go(func() {
		defer func() {
			c.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			if !x.evicted {
				s.openCount--
			}
		}()
		s.serve(c, place)
	})
}

// serve reads the line and answers it.
func (s *Server) serve(c net.Conn, place *list.Element) {
	c.SetDeadline(time.Now().Add(lineTimeout))
	in := bufio.NewReaderSize(c, maxLine)
	line, err := in.ReadSlice('\n')
	s.mu.Lock()
	s.awaitingLine.Remove(place) // has no effect on one that was driven out
	s.mu.Unlock()
	whole := err == nil || err == io.EOF && len(line) > 0 // a caller may half-close in place of the line's end
	if !whole && err != bufio.ErrBufferFull {
		return
	}
	fields := strings.Fields(string(line))
	c.SetDeadline(time.Now().Add(answerTimeout))
	if whole && len(fields) > 0 && s.streams[fields[0]] != nil {
		s.streams[fields[0]](fields[1:], c, in)
		return
	}
	answer, err := s.answer(fields, whole)
	if err != nil {
		answer = "NO " + err.Error() + "\n"
	}
	io.WriteString(c, answer)
	// Closing with something unread would reset the connection, and the answer with it.
	if t, ok := c.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.Copy(io.Discard, io.LimitReader(in, 1<<16))
	}
}

func (s *Server) answer(fields []string, whole bool) (string, error) {
	switch {
	case !whole:
		s.log("turned an operator's call away", "err", "the line is too long")
		return "", fmt.Errorf("the line is too long: %d bytes at most", maxLine-1)
	case len(fields) == 0:
		s.log("turned an operator's call away", "err", "an empty line")
		return "", fmt.Errorf("an empty line; calls are %s", s.callNames())
	}
	call := s.calls[fields[0]]
	if call == nil {
		s.log("turned an operator's call away", "err", "unknown call", "call", fmt.Sprintf("%.40q", fields[0]))
		return "", fmt.Errorf("unknown call %.40q; calls are %s", fields[0], s.callNames())
	}
	return call(fields[1:])
}

// names lists the calls.
func (s *Server) callNames() string { return strings.Join(slices.Sorted(maps.Keys(s.calls)), ", ") }
