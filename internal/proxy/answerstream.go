package proxy

import (
	"io"
	"net"
	"net/http"
	"time"
)

// answerStream is the rest of a long answer, on its way from a server to a client.
type answerStream struct {
	link       *link
	resp       *http.Response
	serverConn *serverConn
	upstream   *upstream
	length     int64
	stopAt     time.Time
	detach     func() bool // from the client: see attach
}

func (p *answerStream) drop() {
	p.detach()
	p.serverConn.Close()
}

// copy passes the rest on. Its error tells that the answer is not whole.
func (p *answerStream) copy(to net.Conn) error {
	buf := make([]byte, 16<<10)
	total := int64(0)
	body := p.link.body(p.resp.Body, p.length)
	for {
		p.serverConn.SetReadDeadline(p.stopAt)
		n, err := body.Read(buf)
		if n > 0 {
			to.SetWriteDeadline(time.Now().Add(writeWithin))
			p.link.piece(p.link.out, n)
			if _, werr := to.Write(buf[:n]); werr != nil {
				p.drop()
				return werr
			}
			total += int64(n)
		}
		if err == io.EOF && total == p.length {
			if p.detach() && !p.resp.Close && p.serverConn.in.Buffered() == 0 {
				p.upstream.put(p.serverConn)
			} else {
				p.serverConn.Close()
			}
			return nil
		}
		if err != nil {
			p.drop()
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
}
