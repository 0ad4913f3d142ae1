package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswered"

// Guards against answers that reach the client although HTTP forbids them: a server in trouble sends a head that is no
// HTTP, which may hide where its body ends. The request may have run, so its answer is neither 429 nor 503.
func TestBrokenAnswersDoNotReachClients(t *testing.T) {
	t.Parallel()
	withFields := func(fields string) string {
		return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 8\r\n\r\nanswered"
	}
	withStatus := func(line string) string { return strings.Replace(soundAnswer, "HTTP/1.1 200 OK", line, 1) }
	for name, text := range map[string]string{
		"blank behind a name":        withFields("X-Note : a\r\n"),
		"blank in a name":            withFields("X Note: a\r\n"),
		"control byte in a name":     withFields("X-\x01Note: a\r\n"),
		"control byte in a value":    withFields("X-Note: a\x01b\r\n"),
		"folded line":                withFields("X-Note: a\r\n b\r\n"),
		"line feeds alone":           strings.ReplaceAll(soundAnswer, "\r\n", "\n"),
		"hidden chunks":              withFields("Transfer-Encoding : chunked\r\n"),
		"hidden length":              "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nanswered",
		"both lengths":               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
		"blank in a trailer's name":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX Sum: 1\r\n\r\n",
		"status 000":                 withStatus("HTTP/1.1 000 OK"),
		"status 000 before another":  "HTTP/1.1 000 OK\r\n\r\n" + soundAnswer,
		"status 600":                 withStatus("HTTP/1.1 600 OK"),
		"another version":            withStatus("HTTP/2.0 200 OK"),
		"other protocol":             "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + soundAnswer,
		"interim answer with a body": "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n" + soundAnswer,
		"blank in an interim answer": "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + soundAnswer,
		"turned away in no HTTP":     "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nX Note: a\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := newRawServer(t)
			r := start(t, server("s-1", srv.addr))
			out := r.send(r.newRequest("send-bulk-paid", "enterprise", "pay"))
			c := srv.accept()
			c.request()
			io.WriteString(c, text)
			c.Close()
			if res := r.received(out); res.status != http.StatusBadGateway {
				t.Errorf("answer %d %q, want 502", res.status, res.body)
			}
		})
	}
}

// Guards against a part of an answer that is taken for the whole, and against a refusal of what may have run: a server
// answers a long body at once, without a length or in no HTTP, and resets the connection while the body is being written,
// or soon after.
func TestAnswerIsResetDuringAnUpload(t *testing.T) {
	t.Parallel()
	const (
		short = 2 * maxHeldBody // the socket buffers take it, so that it is written completely
		long  = 8 << 20         // exceeds the socket buffers
	)
	for name, text := range map[string]string{
		"success without length": "HTTP/1.1 200 OK\r\n\r\npart",
		"failure without length": "HTTP/1.1 500 Internal Server Error\r\n\r\npart",
		"blank in a name":        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nX Note: a\r\nContent-Length: 0\r\n\r\n",
		"status 000":             "HTTP/1.1 000 OK\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
		"no end":                 "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\n",
	} {
		for _, upload := range []struct {
			size       int
			slow       bool
			resetAfter time.Duration
		}{
			{short, false, streamAfter / 4}, {short, false, streamAfter / 2}, {short, false, 3 * streamAfter},
			{long, false, streamAfter / 2}, {long, true, streamAfter / 2},
		} {
			t.Run(fmt.Sprintf("%s, %+v", name, upload), func(t *testing.T) {
				t.Parallel()
				srv := newRawServer(t)
				r := startWith(t, withAdmin, server("s-1", srv.addr))
				c, in := r.dial()
				go writeUpload(c, r.newRequest("send-bulk-paid", "enterprise", ""), upload.size, upload.slow)
				s := srv.accept()
				if _, err := s.in.Peek(1); err != nil {
					t.Fatal(err)
				}
				io.WriteString(s, text)
				resetLater(s.Conn, upload.resetAfter)
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				brokeOff := resp.StatusCode == http.StatusOK && err != nil
				if resp.StatusCode != http.StatusBadGateway && !brokeOff {
					t.Errorf("answer %d %q, want 502 or an answer that breaks off", resp.StatusCode, body)
				}
			})
		}
	}
}

// writeUpload writes a request with a body of the given size; a slow client pauses between the pieces of the body.
func writeUpload(c net.Conn, req *http.Request, size int, slow bool) {
	req.Body, req.ContentLength = nil, 0
	var head bytes.Buffer
	req.Write(&head)
	length := fmt.Sprintf("Content-Length: %d\r\n", size)
	io.WriteString(c, strings.Replace(head.String(), "Content-Length: 0\r\n", length, 1))
	for sent := 0; sent < size; sent += maxHeldBody {
		if _, err := c.Write(make([]byte, min(maxHeldBody, size-sent))); err != nil {
			return
		}
		if slow {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against a part of an answer that is taken for the whole: an answer without a length is complete only if its
// connection ends in order. The kernel tells of a reset once; whoever reads on sees the end of the stream.
func TestAnswerWithoutLengthIsReset(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 8 * maxHeldBody} {
		for _, resetAfter := range []time.Duration{streamAfter / 4, streamAfter / 2, 3 * streamAfter} {
			t.Run(fmt.Sprintf("%d bytes, after %v", size, resetAfter), func(t *testing.T) {
				t.Parallel()
				srv := newRawServer(t)
				r := startWith(t, withAdmin, server("s-1", srv.addr))
				c, in := r.dial()
				go writeUpload(c, r.newRequest("send-bulk-paid", "enterprise", ""), size, false)
				s := srv.accept()
				s.request()
				io.WriteString(s, "HTTP/1.1 200 OK\r\n\r\npart")
				resetLater(s.Conn, resetAfter)
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				if resp.StatusCode != http.StatusBadGateway && err == nil {
					t.Errorf("the client accepts %d %q as complete", resp.StatusCode, body)
				}
			})
		}
	}
}

// resetLater resets a connection after a delay, in which what was written to it arrives.
func resetLater(c net.Conn, delay time.Duration) {
	time.Sleep(delay)
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}
