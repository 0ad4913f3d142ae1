package proxy

import (
	"io"
	"net"
	"net/http"
	"time"
)

// answerStream is the remainder of a long answer that is being copied from a server to a client.
type answerStream struct {
	link       *link
	resp       *http.Response
	serverConn *serverConn
	upstream   *upstream
	length     int64
	deadline   time.Time
	detach     func() bool   // returned by closeOnDisconnect
	write      *requestWrite // of the request, which may go on while the answer is copied
}

func (s *answerStream) abort() {
	s.detach()
	s.serverConn.Close()
	s.endWrite()
}

// endWrite ends the writing of the request and reports whether the connection can be used for the next one.
func (s *answerStream) endWrite() (reusable bool) {
	reusable = s.write.stop()
	if s.write.rest != nil {
		s.write.rest.finish()
	}
	return reusable
}

// copyTo copies the remainder to the client. It returns an error if the answer is incomplete.
func (s *answerStream) copyTo(to net.Conn) error {
	buf := make([]byte, 16<<10)
	total := int64(0)
	body := s.link.body(s.resp.Body, s.length)
	for {
		s.serverConn.SetReadDeadline(s.deadline)
		n, err := body.Read(buf)
		if n > 0 {
			to.SetWriteDeadline(time.Now().Add(writeTimeout))
			s.link.waitForPiece(s.link.out, n)
			if _, werr := to.Write(buf[:n]); werr != nil {
				s.abort()
				return werr
			}
			total += int64(n)
		}
		if err == io.EOF && total == s.length {
			reusable := s.endWrite()
			if s.detach() && reusable && !s.resp.Close && s.serverConn.in.Buffered() == 0 {
				s.upstream.putIdle(s.serverConn)
			} else {
				s.serverConn.Close()
			}
			return nil
		}
		if err != nil {
			s.abort()
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
}
