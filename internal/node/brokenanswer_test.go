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
