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

// soakClient is one client. It sends what it likes on the connections that it has.
type soakClient struct {
	*soak
	name      string
	keeps     time.Duration // an answer of the directory
	addresses []int         // limiters
	until     time.Time     // for which it keeps them
	sends     int
}

// choose is a limiter to open a connection to, as the directory has it.
func (c *soakClient) choose() (edge int, ok bool) {
	if time.Now().After(c.until) || len(c.addresses) == 0 {
		for range 3 {
			all, err := c.system.Resolve(c.ctx, c.below(c.edges))
			if err != nil {
				continue
			}
			c.addresses = nil
			for _, address := range all {
				for e := range c.edges {
					if strings.HasPrefix(address, c.system.edge(e)+":") {
						c.addresses = append(c.addresses, e)
					}
				}
			}
			c.until = time.Now().Add(c.keeps)
			break
		}
	}
	if len(c.addresses) == 0 {
		return 0, false
	}
	return c.addresses[c.below(len(c.addresses))], true
}

// soakConn is a connection of a client.
type soakConn struct {
	net.Conn
	in   *bufio.Reader
	life *soakLife
}

func (c *soakClient) open() *soakConn {
	edge, ok := c.choose()
	if !ok {
		c.pause(50)
		return nil
	}
	life := c.life(edge)
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.system.edge(edge), frontPort), time.Second)
	if err != nil {
		c.until = time.Time{} // it asks anew
		c.pause(20)
		return nil
	}
	if c.life(edge) != life { // it can't be told which process has it
		conn.Close()
		return nil
	}
	return &soakConn{conn, bufio.NewReader(conn), life}
}

func (c *soakClient) pause(most int) {
	select {
	case <-c.ctx.Done():
	case <-time.After(time.Duration(1+c.below(most)) * time.Millisecond):
	}
}

// soakKind is what a request is.
type soakKind int

const (
	soakRead     soakKind = iota // a short one, which can be repeated
	soakOnce                     // a short one, which can't
	soakDownload                 // with a long answer
	soakUpload                   // with a long body; it can't be repeated
)

func (k soakKind) String() string { return []string{"read", "once", "download", "upload"}[k] }

const (
	soakUploadPiece   = 64 << 10
	soakUploadPieces  = 32      // more than the limiter holds of a body
	soakDownloadLines = 1 << 18 // of an answer: more than the limiter holds
	soakDownloadPiece = 1 << 14 // lines that are written or read at once
)

// soakLine is one of many that a long answer is made of.
func soakLine(id string) string { return fmt.Sprintf("%-15s\n", id) }

// readOrOnce draws a kind of short requests.
func (c *soakClient) readOrOnce() soakKind {
	if c.below(3) == 0 {
		return soakOnce
	}
	return soakRead
}

// send writes a request, and notes it.
func (c *soakClient) send(to *soakConn, kind soakKind) (*soakRequest, error) {
	c.sends++
	sent := &soakRequest{id: fmt.Sprintf("%s-%d", c.name, c.sends), kind: kind, life: to.life, deadline: soakDeadline}
	if c.below(4) == 0 || kind >= soakDownload {
		sent.deadline = soakLongDeadline
	}
	method, path, body := "GET", "/a/1", ""
	switch kind {
	case soakOnce:
		method, path, body = "POST", "/b/1", "payload"
	case soakDownload:
		path = "/c/1"
	case soakUpload:
		method, path, body = "POST", "/b/1", strings.Repeat("u", soakUploadPiece*soakUploadPieces)
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: model.example\r\nX-Madderdrum-Attempt-Id: %s\r\nX-Madderdrum-Deadline-Ms: %d\r\nX-Madderdrum-Credential: key-1\r\nContent-Length: %d\r\n\r\n%s",
		method, path, sent.id, sent.deadline.Milliseconds(), len(body), body)
	c.mu.Lock()
	sent.sent = time.Now()
	c.requests[sent.id] = sent
	c.order = append(c.order, sent)
	c.mu.Unlock()
	err := c.write(to, text)
	if err == nil {
		c.mu.Lock()
		sent.whole = time.Now()
		c.mu.Unlock()
	}
	return sent, err
}

// write writes a text, a long one in pieces with pauses.
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

// read reads the body of an answer, a long one in pieces with pauses. Of the lines of a download it returns one.
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

// receive reads the answer to a request, and tells whether the connection goes on.
func (c *soakClient) receive(from *soakConn, sent *soakRequest) bool {
	from.SetReadDeadline(sent.sent.Add(sent.deadline + 5*time.Second))
	r, err := http.ReadResponse(from.in, nil)
	var body string
	if err == nil {
		body, err = c.readAnswer(r, sent)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sent.ended = time.Now()
	if err != nil {
		sent.fault = err.Error()
		sent.gaveUp = errors.Is(err, os.ErrDeadlineExceeded)
		return false
	}
	sent.status, sent.body = r.StatusCode, body
	return !r.Close
}

// readAnswer reads the rest of an answer.
func (c *soakClient) readAnswer(r *http.Response, sent *soakRequest) (string, error) {
	if r.StatusCode == http.StatusOK {
		return c.read(r.Body, sent)
	}
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// long sends requests with long bodies or answers, one after the other on a connection until it ends.
func (c *soakClient) long(kind soakKind) {
	for c.ctx.Err() == nil {
		to := c.open()
		if to == nil {
			continue
		}
		for c.ctx.Err() == nil {
			sent, _ := c.send(to, kind) // an answer may come before all is written
			if !c.receive(to, sent) || sent.whole.IsZero() {
				break
			}
			c.pause(300)
		}
		to.Close()
	}
}

// kept sends one request after the other, on one connection until it ends.
func (c *soakClient) kept(pause int) {
	for c.ctx.Err() == nil {
		to := c.open()
		if to == nil {
			continue
		}
		for c.ctx.Err() == nil {
			sent, err := c.send(to, c.readOrOnce())
			if !c.receive(to, sent) || err != nil {
				break
			}
			c.pause(pause)
		}
		to.Close()
	}
}

// single opens a connection for each request.
func (c *soakClient) single() {
	for c.ctx.Err() == nil {
		if to := c.open(); to != nil {
			if sent, err := c.send(to, c.readOrOnce()); err == nil {
				c.receive(to, sent)
			}
			to.Close()
		}
		c.pause(150)
	}
}

// pipelined always has some requests on their way on a connection until it ends.
func (c *soakClient) pipelined(atOnce int) {
	for c.ctx.Err() == nil {
		if to := c.open(); to != nil {
			c.pipeline(to, atOnce)
			to.Close()
		}
	}
}

func (c *soakClient) pipeline(to *soakConn, atOnce int) {
	under := make(chan *soakRequest, atOnce)
	over := make(chan struct{})
	var last *soakRequest // behind which nothing is answered; it is set before over is closed
	go func() {
		defer close(under)
		for c.ctx.Err() == nil {
			sent, err := c.send(to, soakRead)
			select {
			case under <- sent:
			case <-over:
				c.unanswered(sent, last)
				return
			}
			if err != nil {
				return
			}
			c.pause(100)
		}
	}()
	goesOn := true
	for sent := range under {
		if !goesOn {
			c.unanswered(sent, last)
			continue
		}
		if goesOn = c.receive(to, sent); !goesOn {
			last = sent
			close(over)
		}
	}
}

// unanswered notes a request that gets no answer as its connection has ended with another one: behind its last
// answer, behind a request that was cut, or behind one for which the client would wait no longer.
func (c *soakClient) unanswered(sent, last *soakRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent.behind, sent.gaveUp, sent.ended = last.status != 0, last.gaveUp, time.Now()
	if !sent.behind {
		sent.fault = "the connection ended before: " + last.fault
	}
}

// quiet uses a connection now and then, whatever the directory says.
func (c *soakClient) quiet() {
	for c.ctx.Err() == nil {
		to := c.open()
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

// work is what a server does: it is at work for a time that is drawn, unless its caller leaves, and answers.
func (s *soak) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Madderdrum-Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it did not come whole: it is not run
	}
	takes := time.Duration(20+s.below(200)) * time.Millisecond
	switch draw := s.below(100); {
	case draw < 2: // until its caller leaves
		takes = time.Minute
	case draw < 12:
		takes = time.Duration(800+s.below(1600)) * time.Millisecond
	}
	s.mu.Lock()
	sent := s.requests[id]
	k := 0
	if sent != nil {
		k = len(sent.runs)
		sent.runs = append(sent.runs, soakRun{begun: time.Now()})
	}
	s.mu.Unlock()
	done := time.NewTimer(takes)
	defer done.Stop()
	select {
	case <-done.C:
	case <-r.Context().Done():
	}
	if sent != nil {
		s.mu.Lock()
		sent.runs[k].ended = time.Now()
		s.mu.Unlock()
	}
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
