package smallsystem

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// soakClient is one client with its own connections and its cached answer of the directory.
type soakClient struct {
	*soak
	name         string
	key          string        // of its tenant
	directoryTTL time.Duration // time for which it caches an answer of the directory
	limiters     []int         // from the directory, by index
	validUntil   time.Time     // when the cached limiters expire
	sendCount    int
}

// chooseEdge returns a random limiter from the directory's answer, which it refreshes when it has expired.
func (c *soakClient) chooseEdge() (edge int, ok bool) {
	if time.Now().After(c.validUntil) || len(c.limiters) == 0 {
		for range 3 {
			all, err := c.system.Resolve(c.ctx, c.randomInt(c.edges))
			if err != nil {
				continue
			}
			c.limiters = nil
			for _, address := range all {
				for e := range c.edges {
					if strings.HasPrefix(address, c.system.edge(e)+":") {
						c.limiters = append(c.limiters, e)
					}
				}
			}
			c.validUntil = time.Now().Add(c.directoryTTL)
			break
		}
	}
	if len(c.limiters) == 0 {
		return 0, false
	}
	return c.limiters[c.randomInt(len(c.limiters))], true
}

// soakConn is a client's connection to a limiter's process.
type soakConn struct {
	net.Conn
	reader  *bufio.Reader
	process *soakProcess
}

func (c *soakClient) connect() *soakConn {
	edge, ok := c.chooseEdge()
	if !ok {
		c.pause(50)
		return nil
	}
	process := c.process(edge)
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.system.edge(edge), frontendPort), time.Second)
	if err != nil {
		c.validUntil = time.Time{} // query the directory again
		c.pause(20)
		return nil
	}
	if c.process(edge) != process { // the limiter restarted: unknown which process accepted the connection
		conn.Close()
		return nil
	}
	return &soakConn{conn, bufio.NewReader(conn), process}
}

func (c *soakClient) pause(maxMs int) {
	select {
	case <-c.ctx.Done():
	case <-time.After(time.Duration(1+c.randomInt(maxMs)) * time.Millisecond):
	}
}

// soakKind is the kind of a request: whether it is repeatable, and whether its body or answer is long.
type soakKind int

const (
	soakRead     soakKind = iota // short, repeatable
	soakWrite                    // short, not repeatable
	soakDownload                 // with a long answer, repeatable
	soakUpload                   // with a long body of one of soakUploadSizes, not repeatable
)

func (k soakKind) String() string { return []string{"read", "once", "download", "upload"}[k] }

const (
	soakUploadPiece   = 64 << 10
	soakDownloadLines = 1 << 18 // of an answer: more than the limiter buffers
	soakDownloadPiece = 1 << 14 // lines that are written or read at a time
)

// soakUploadSizes are the lengths of long bodies, in pieces. The longest is more than the limiter holds of a body.
var soakUploadSizes = []int{1, 4, 15, 32}

// soakLine returns the line that a long answer repeats.
func soakLine(id string) string { return fmt.Sprintf("%-15s\n", id) }

// randomShortKind returns a random kind of short request.
func (c *soakClient) randomShortKind() soakKind {
	if c.randomInt(3) == 0 {
		return soakWrite
	}
	return soakRead
}

// send records a request and writes it to a connection.
func (c *soakClient) send(to *soakConn, kind soakKind) (*soakRequest, error) {
	c.sendCount++
	sent := &soakRequest{id: fmt.Sprintf("%s-%d", c.name, c.sendCount), kind: kind, process: to.process, deadline: soakDeadline}
	if c.randomInt(4) == 0 || kind >= soakDownload {
		sent.deadline = soakLongDeadline
	}
	method, path, body := "GET", "/a/1", ""
	switch kind {
	case soakWrite:
		method, path, body = "POST", "/b/1", "payload"
	case soakDownload:
		path = "/c/1"
	case soakUpload:
		method, path, body = "POST", "/b/1", strings.Repeat("u", soakUploadPiece*soakUploadSizes[c.randomInt(len(soakUploadSizes))])
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: model.example\r\nX-Madderdrum-Attempt-Id: %s\r\nX-Madderdrum-Deadline-Ms: %d\r\nX-Madderdrum-Credential: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, sent.id, sent.deadline.Milliseconds(), c.key, len(body), body)
	c.mu.Lock()
	sent.sent = time.Now()
	c.requests[sent.id] = sent
	c.requestList = append(c.requestList, sent)
	c.mu.Unlock()
	err := c.write(to, text)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil { // the connection ended; its answer, if there is one, can still be received
		sent.ended, sent.fault = time.Now(), err.Error()
	} else {
		sent.fullySent = time.Now()
	}
	return sent, err
}

// write writes a text, in pieces with pauses if it is long.
func (c *soakClient) write(to *soakConn, text string) error {
	for len(text) > 0 {
		n := min(len(text), soakUploadPiece)
		if _, err := io.WriteString(to, text[:n]); err != nil {
			return err
		}
		if text = text[n:]; text != "" {
			c.pause(30)
		}
	}
	return nil
}

// read reads the body of an answer, in pieces with pauses if it is a download. For a complete download it returns the
// request's ID.
func (c *soakClient) read(from io.Reader, sent *soakRequest) (string, error) {
	if sent.kind != soakDownload {
		body, err := io.ReadAll(from)
		return string(body), err
	}
	line := soakLine(sent.id)
	piece, rest := strings.Repeat(line, soakDownloadPiece), make([]byte, len(line)*soakDownloadPiece)
	for n := 0; n < soakDownloadLines; n += soakDownloadPiece {
		if _, err := io.ReadFull(from, rest); err != nil {
			return "", err
		}
		if string(rest) != piece {
			return "another answer", nil
		}
		c.pause(60)
	}
	return sent.id, nil
}

// receive reads the answer to a request, and reports whether the connection can be used further.
func (c *soakClient) receive(from *soakConn, sent *soakRequest) bool {
	from.SetReadDeadline(sent.sent.Add(sent.deadline + 5*time.Second))
	r, err := http.ReadResponse(from.reader, nil)
	var body string
	if err == nil {
		body, err = c.readAnswer(r, sent)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sent.ended = time.Now()
	if err != nil {
		sent.fault = err.Error()
		sent.clientTimedOut = errors.Is(err, os.ErrDeadlineExceeded)
		return false
	}
	sent.status, sent.body, sent.fault = r.StatusCode, body, ""
	return !r.Close
}

// readAnswer reads the body of an answer; only a successful one may be long.
func (c *soakClient) readAnswer(r *http.Response, sent *soakRequest) (string, error) {
	if r.StatusCode == http.StatusOK {
		return c.read(r.Body, sent)
	}
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// longTransfers sends requests with long bodies or answers, one after the other on a connection until it ends.
func (c *soakClient) longTransfers(kind soakKind) {
	for c.ctx.Err() == nil {
		to := c.connect()
		if to == nil {
			continue
		}
		for c.ctx.Err() == nil {
			sent, _ := c.send(to, kind) // an answer may come before the body is written completely
			if !c.receive(to, sent) || sent.fullySent.IsZero() {
				break
			}
			c.pause(300)
		}
		to.Close()
	}
}

// keepAlive sends short requests one after the other on a connection until it ends.
func (c *soakClient) keepAlive(pause int) {
	for c.ctx.Err() == nil {
		to := c.connect()
		if to == nil {
			continue
		}
		for c.ctx.Err() == nil {
			sent, err := c.send(to, c.randomShortKind())
			if !c.receive(to, sent) || err != nil {
				break
			}
			c.pause(pause)
		}
		to.Close()
	}
}

// single opens a new connection for each request.
func (c *soakClient) single() {
	for c.ctx.Err() == nil {
		if to := c.connect(); to != nil {
			if sent, err := c.send(to, c.randomShortKind()); err == nil {
				c.receive(to, sent)
			}
			to.Close()
		}
		c.pause(150)
	}
}

// pipelined keeps up to maxInFlight requests in flight on a connection until it ends.
func (c *soakClient) pipelined(maxInFlight int) {
	for c.ctx.Err() == nil {
		if to := c.connect(); to != nil {
			c.pipeline(to, maxInFlight)
			to.Close()
		}
	}
}

func (c *soakClient) pipeline(to *soakConn, maxInFlight int) {
	pending := make(chan *soakRequest, maxInFlight)
	stopped := make(chan struct{})
	var last *soakRequest // the last request that is answered, or that failed; set before stopped is closed
	go func() {
		defer close(pending)
		for c.ctx.Err() == nil {
			sent, err := c.send(to, soakRead)
			select {
			case pending <- sent:
			case <-stopped:
				c.recordUnanswered(sent, last)
				return
			}
			if err != nil {
				return
			}
			c.pause(100)
		}
	}()
	usable := true
	for sent := range pending {
		if !usable {
			c.recordUnanswered(sent, last)
			continue
		}
		if usable = c.receive(to, sent); !usable {
			last = sent
			close(stopped)
		}
	}
}

// recordUnanswered records a request that gets no answer because its connection ended at an earlier request, last: by
// the connection's last answer, by a failure, or because the client timed out.
func (c *soakClient) recordUnanswered(sent, last *soakRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent.afterLastAnswer, sent.clientTimedOut, sent.ended = last.status != 0, last.clientTimedOut, time.Now()
	if !sent.afterLastAnswer {
		sent.fault = "the connection ended before: " + last.fault
	}
}

// infrequent uses a connection at long intervals until it ends, even if the directory no longer lists its limiter.
func (c *soakClient) infrequent() {
	for c.ctx.Err() == nil {
		to := c.connect()
		if to == nil {
			continue
		}
		for c.ctx.Err() == nil {
			sent, err := c.send(to, soakRead)
			if !c.receive(to, sent) || err != nil {
				break
			}
			c.pause(4000)
		}
		to.Close()
	}
}

// serve handles a request at a server. It may turn the request away, answer before it has read the body, lose the answer
// or break it; otherwise it waits for a random time or until the caller disconnects, and answers.
func (s *soak) serve(w http.ResponseWriter, r *http.Request) {
	behaviour := s.drawBehaviour(r)
	if behaviour == soakTurnsAway {
		w.Header().Set("X-Madderdrum-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Madderdrum-Attempt-Id")
	if behaviour != soakAnswersEarly && behaviour != soakBreaksEarly {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the body is incomplete: the request is not executed
		}
	}
	serviceTime := time.Duration(20+s.randomInt(200)) * time.Millisecond
	switch draw := s.randomInt(100); {
	case draw < 2: // longer than any deadline: until the caller disconnects
		serviceTime = time.Minute
	case draw < 12:
		serviceTime = time.Duration(800+s.randomInt(1600)) * time.Millisecond
	}
	if behaviour == soakAnswersEarly || behaviour == soakBreaksEarly {
		serviceTime = time.Duration(s.randomInt(100)) * time.Millisecond
	}
	s.mu.Lock()
	sent := s.requests[id]
	index := 0
	if sent != nil {
		index = len(sent.executions)
		sent.executions = append(sent.executions, soakExecution{startedAt: time.Now()})
	}
	s.mu.Unlock()
	done := time.NewTimer(serviceTime)
	defer done.Stop()
	select {
	case <-done.C:
	case <-r.Context().Done():
	}
	if sent != nil {
		s.mu.Lock()
		sent.executions[index].ended = time.Now()
		sent.executions[index].answerLost = behaviour == soakLosesAnswer || behaviour == soakBreaksAnswer ||
			behaviour == soakBreaksEarly
		s.mu.Unlock()
	}
	switch behaviour {
	case soakLosesAnswer:
		resetConnection(w)
	case soakAnswersEarly:
		s.answerEarly(w, r, id)
	case soakBreaksAnswer, soakBreaksEarly:
		s.breakAnswer(w, id)
	default:
		writeSoakAnswer(w, id, sent)
	}
}

// soakBehaviour is what a server does with a request.
type soakBehaviour int

const (
	soakAnswers      soakBehaviour = iota // reads the body, executes the request, and answers
	soakTurnsAway                         // does not execute it, and says so before it has read the body
	soakLosesAnswer                       // executes it, and resets the connection
	soakAnswersEarly                      // executes it, answers before it has read the body, and reads on late
	soakBreaksAnswer                      // executes it, and sends a broken answer
	soakBreaksEarly                       // executes it, and sends a broken answer before it has read the body
)

// drawBehaviour draws what a server does with a request. Answers are lost only where nothing of them has been written.
func (s *soak) drawBehaviour(r *http.Request) soakBehaviour {
	draw, long := s.randomInt(100), r.ContentLength >= soakUploadPiece
	switch {
	case draw < 2:
		return soakTurnsAway
	case draw < 5 && !strings.HasPrefix(r.URL.Path, "/c/"):
		return soakLosesAnswer
	case draw < 8 && !strings.HasPrefix(r.URL.Path, "/c/"):
		return soakBreaksAnswer
	case draw < 15 && long:
		return soakBreaksEarly
	case draw < 55 && long:
		return soakAnswersEarly
	}
	return soakAnswers
}

// resetConnection resets the connection of a request.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is gone already
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// soakBrokenAnswers are answers that must not reach a client: HTTP forbids them, or they end before they are complete,
// as the connection is reset behind them. FIELDS stands for the fields of a sound answer, ID for the attempt ID.
var soakBrokenAnswers = []string{
	"HTTP/1.1 200 OK\r\nFIELDSX Note: a\r\nContent-Length: 4\r\n\r\npart",
	"HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\npart",
	"HTTP/1.1 000 OK\r\nFIELDS\r\nHTTP/1.1 200 OK\r\nFIELDSContent-Length: 4\r\n\r\npart",
	"HTTP/1.1 600 OK\r\nFIELDSContent-Length: 4\r\n\r\npart",
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\nFIELDSContent-Length: 4\r\n\r\npart",
	"HTTP/1.1 200 OK\r\nFIELDSContent-Length: 9\r\n\r\npart",
	"HTTP/1.1 200 OK\r\nFIELDS\r\npart",
	"HTTP/1.1 404 Not Found\r\nFIELDS\r\npart",
	"HTTP/1.1 503 Service Unavailable\r\nX-Madderdrum-Attempt-Id: ID\r\nX-Madderdrum-Not-Executed: 1\r\n\r\npart",
}

// breakAnswer sends a broken answer to a request and resets the connection soon after.
func (s *soak) breakAnswer(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is gone already
	}
	defer conn.Close()
	fields := "X-Madderdrum-Attempt-Id: " + id + "\r\nX-Madderdrum-Server-Seal: model\r\n"
	text := soakBrokenAnswers[s.randomInt(len(soakBrokenAnswers))]
	io.WriteString(conn, strings.NewReplacer("FIELDS", fields, "ID", id).Replace(text))
	time.Sleep(time.Duration(s.randomInt(200)) * time.Millisecond)
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// answerEarly answers a request before its body has been read. It reads on after a random time, or crashes meanwhile.
func (s *soak) answerEarly(w http.ResponseWriter, r *http.Request, id string) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		s.t.Error(err)
	}
	w.Header().Set("X-Madderdrum-Server-Seal", "model")
	w.Header().Set("Content-Length", strconv.Itoa(len(id)))
	fmt.Fprint(w, id)
	control.Flush()
	select {
	case <-time.After(time.Duration(s.randomInt(3000)) * time.Millisecond):
	case <-s.ctx.Done():
	}
	if s.randomInt(4) == 0 {
		resetConnection(w)
		return
	}
	io.Copy(io.Discard, r.Body)
}

// writeSoakAnswer writes the answer to a request, which is long for a download.
func writeSoakAnswer(w http.ResponseWriter, id string, sent *soakRequest) {
	w.Header().Set("X-Madderdrum-Server-Seal", "model")
	if sent == nil || sent.kind != soakDownload {
		fmt.Fprint(w, id)
		return
	}
	piece := strings.Repeat(soakLine(id), soakDownloadPiece)
	w.Header().Set("Content-Length", strconv.Itoa(len(piece)*soakDownloadLines/soakDownloadPiece))
	for n := 0; n < soakDownloadLines; n += soakDownloadPiece {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
	}
}
