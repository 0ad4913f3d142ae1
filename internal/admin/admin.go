// Package admin serves operators' commands on a separate TCP address. A connection carries one
// command line; the response is a line that begins with YES or NO, or figures. The commands
// themselves are supplied by the caller.
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
	// MaxSilent limits the connections that have not sent their line yet; a further one evicts
	// the oldest. MaxCallers limits all connections, and so file descriptors and goroutines;
	// connections that are being answered end soon.
	MaxSilent  = 8
	MaxCallers = 2 * MaxSilent
	maxLine    = 256
	// A client must send its line within lineTimeout and read the response within answerTimeout.
	lineTimeout      = 10 * time.Second
	answerTimeout    = time.Second
	lingerTimeout    = 50 * time.Millisecond
	acceptRetryDelay = 10 * time.Millisecond // after a failed accept
)

// Call executes a command and returns the response, as complete lines. An error is sent as NO
// followed by its text. It must not block.
type Call func(args []string) (string, error)

// Stream executes a command that keeps using its connection, which is closed when it returns. in
// has the input after the command line.
type Stream func(args []string, c net.Conn, in *bufio.Reader)

// Yes is the response of a command that succeeded without other output.
const Yes = "YES\n"

// Server accepts connections and dispatches their commands.
type Server struct {
	listener net.Listener
	calls    map[string]Call
	streams  map[string]Stream
	log      func(msg string, args ...any)

	mu           sync.Mutex
	awaitingLine list.List // of *caller: connections that have not sent their line, oldest first
	openCount    int       // connections, without evicted ones
	closed       bool
	callers      sync.WaitGroup
}

// caller is an operator's connection.
type caller struct {
	net.Conn
	evicted bool // closed to make room for a newer connection
}

// Listen returns a Server that listens on addr; [Server.Run] serves it. warn logs a warning and should limit its
// rate; if nil, the default logger is used.
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

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close closes the listener of a server that has not been run.
func (s *Server) Close() { s.listener.Close() }

// Run serves commands until the context ends.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.closeAll)
	defer stop()
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			s.log("can't accept an operator's connection", "err", err)
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

// startCaller serves a new connection in a goroutine, or closes it if there are too many.
func (s *Server) startCaller(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.awaitingLine.Len() >= MaxSilent || s.openCount >= MaxCallers && s.awaitingLine.Len() > 0 {
		oldest := s.awaitingLine.Remove(s.awaitingLine.Front()).(*caller)
		oldest.evicted = true
		oldest.Close()
		s.openCount--
	}
	if s.closed || s.openCount >= MaxCallers {
		c.Close()
		return
	}
	s.openCount++
	accepted := &caller{Conn: c}
	element := s.awaitingLine.PushBack(accepted)
	s.callers.Go(func() {
		defer func() {
			c.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			if !accepted.evicted {
				s.openCount--
			}
		}()
		s.serve(c, element)
	})
}

// serve reads the command line and sends the response.
func (s *Server) serve(c net.Conn, element *list.Element) {
	c.SetDeadline(time.Now().Add(lineTimeout))
	in := bufio.NewReaderSize(c, maxLine)
	line, err := in.ReadSlice('\n')
	s.mu.Lock()
	s.awaitingLine.Remove(element) // no effect if it was evicted
	s.mu.Unlock()
	complete := err == nil || err == io.EOF && len(line) > 0 // a half-close may replace the newline
	if !complete && err != bufio.ErrBufferFull {
		return
	}
	fields := strings.Fields(string(line))
	c.SetDeadline(time.Now().Add(answerTimeout))
	if complete && len(fields) > 0 && s.streams[fields[0]] != nil {
		s.streams[fields[0]](fields[1:], c, in)
		return
	}
	answer, err := s.answer(fields, complete)
	if err != nil {
		answer = "NO " + err.Error() + "\n"
	}
	io.WriteString(c, answer)
	// Closing with unread input would reset the connection, and the client could lose the response.
	if t, ok := c.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.Copy(io.Discard, io.LimitReader(in, 1<<16))
	}
}

func (s *Server) answer(fields []string, complete bool) (string, error) {
	switch {
	case !complete:
		s.log("rejected an operator's command", "err", "the line is too long")
		return "", fmt.Errorf("the line is too long: %d bytes at most", maxLine-1)
	case len(fields) == 0:
		s.log("rejected an operator's command", "err", "an empty line")
		return "", fmt.Errorf("an empty line; calls are %s", s.callNames())
	}
	call := s.calls[fields[0]]
	if call == nil {
		s.log("rejected an operator's command", "err", "unknown call", "call", fmt.Sprintf("%.40q", fields[0]))
		return "", fmt.Errorf("unknown call %.40q; calls are %s", fields[0], s.callNames())
	}
	return call(fields[1:])
}

// callNames returns the names of the commands, sorted.
func (s *Server) callNames() string { return strings.Join(slices.Sorted(maps.Keys(s.calls)), ", ") }
