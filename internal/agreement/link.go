package agreement

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	greetFor  = 5 * time.Second // a connection has so long for its first frames
	writeFor  = 2 * time.Second
	dialFor   = time.Second
	queueMost = 256 // messages to one limiter that wait; past them new ones are dropped
	backoffBy = 100 * time.Millisecond
	backoffTo = 2 * time.Second
)

// reply is what answers a hello.
type reply struct {
	Hello   Hello
	Verdict Verdict
	Why     string
	Voters  []string // limiters that vote, as far as is known there
}

// link is the way to one limiter: one connection, for messages in that direction.
type link struct {
	name, addr string
	queue      chan *raftpb.Message
	greet      chan struct{} // connect, even with nothing to send
	redial     chan struct{} // end the connection and greet anew
}

func newLink(name, addr string) *link {
	return &link{name: name, addr: addr, queue: make(chan *raftpb.Message, queueMost), greet: make(chan struct{}, 1), redial: make(chan struct{}, 1)}
}

// send queues a message, or drops it if the limiter is that far behind.
func (l *link) send(m *raftpb.Message) bool {
	select {
	case l.queue <- m:
		return true
	default:
		return false
	}
}

// open has it connect if it is not.
func (l *link) open() { poke(l.greet) }

// again has it end a connection that there is.
func (l *link) again() { poke(l.redial) }

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run connects when there is something to say, and says it, until the context ends.
func (l *link) run(ctx context.Context, h *Host) {
	pause := &backoff.ExponentialBackOff{InitialInterval: backoffBy, MaxInterval: backoffTo, Multiplier: 2, RandomizationFactor: 0.3}
	pause.Reset()
	for ctx.Err() == nil {
		var first *raftpb.Message
		select {
		case first = <-l.queue:
		case <-l.greet:
		case <-ctx.Done():
			return
		}
		welcome, err := l.talk(ctx, h, first)
		if welcome {
			pause.Reset()
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			h.log.Debug("connection to limiter ended", "to", l.name, "err", err)
		}
		h.give(ctx, event{lost: l.name})
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
			return
		}
		for len(l.queue) > 0 { // stale by now
			l.drop(ctx, h, <-l.queue)
		}
		if h.eager() {
			l.open()
		}
	}
}

// drop gives up a message that was not sent. The leader sends nothing more to a member until it hears
// what became of a snapshot to it.
func (l *link) drop(ctx context.Context, h *Host, m *raftpb.Message) {
	if m != nil && m.GetType() == raftpb.MessageType_MsgSnap {
		h.give(ctx, event{snapshotTo: m.GetTo(), ok: false})
	}
}

// talk is one connection; it returns whether this process was welcome there. A first message that can't
// be sent is dropped.
func (l *link) talk(ctx context.Context, h *Host, first *raftpb.Message) (welcome bool, err error) {
	defer func() {
		if !welcome {
			l.drop(ctx, h, first)
		}
	}()
	c, err := (&net.Dialer{Timeout: dialFor}).DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return false, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	select {
	case <-l.redial: // meant a connection before this one; one that comes behind the hello does not
	default:
	}
	me, ok := h.hello(ctx)
	if !ok {
		return false, ctx.Err()
	}
	me.To = l.name
	r, err := greet(c, me)
	if err != nil {
		return false, fmt.Errorf("greet: %w", err)
	}
	h.give(ctx, event{answered: &r, mark: me.Mark, member: me.Member, from: l.name})
	if r.Verdict != Welcome {
		return false, fmt.Errorf("not welcome there: %v: %s", r.Verdict, r.Why)
	}
	gone := make(chan struct{})
	go func() { // the other side says nothing more: its end is the connection's
		io.Copy(io.Discard, io.LimitReader(c, 1))
		close(gone)
	}()
	out := bufio.NewWriterSize(c, 64<<10)
	for m := first; ; {
		if m != nil {
			if err := l.write(c, out, m, h, ctx); err != nil {
				return true, err
			}
		}
		select {
		case m = <-l.queue:
		case <-l.greet: // it is connected
			m = nil
		case <-l.redial:
			l.open() // what asked for a greeting meanwhile was taken as asked of this connection
			return true, fmt.Errorf("nothing was heard: greeting anew")
		case <-gone:
			return true, io.EOF
		case <-ctx.Done():
			return true, nil
		case <-h.renamed(me.Member):
			return true, fmt.Errorf("this member is another one now")
		}
	}
}

// write writes a message, and all that wait behind it, at once.
func (l *link) write(c net.Conn, out *bufio.Writer, m *raftpb.Message, h *Host, ctx context.Context) error {
	c.SetWriteDeadline(time.Now().Add(writeFor))
	for {
		data, err := proto.Marshal(m)
		if err == nil {
			err = writeFrame(out, data)
		}
		if m.GetType() == raftpb.MessageType_MsgSnap {
			if err == nil {
				err = out.Flush()
			}
			h.give(ctx, event{snapshotTo: m.GetTo(), ok: err == nil})
		}
		h.sent.Add(1)
		h.sentBytes.Add(int64(len(data) + 8))
		if err != nil {
			return err
		}
		select {
		case m = <-l.queue:
		default:
			return out.Flush()
		}
	}
}

// greet says hello and reads the answer.
func greet(c net.Conn, me Hello) (r reply, err error) {
	c.SetDeadline(time.Now().Add(greetFor))
	defer c.SetDeadline(time.Time{})
	data, err := json.Marshal(me)
	if err != nil {
		return r, err
	}
	if _, err := io.WriteString(c, preface); err != nil {
		return r, err
	}
	if err := writeFrame(c, data); err != nil {
		return r, err
	}
	if err := readPreface(c); err != nil {
		return r, err
	}
	if data, err = readFrame(c, mostHello); err != nil {
		return r, err
	}
	return r, json.Unmarshal(data, &r)
}

// accept takes connections of other limiters until the listener closes.
func (h *Host) accept(ctx context.Context) {
	slots := make(chan struct{}, 2*len(h.links)+16)
	for {
		c, err := h.listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			h.warn("can't accept a limiter's connection", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			h.warn("too many connections to the fleet's address, closed one", "from", c.RemoteAddr())
			c.Close()
			continue
		}
		h.tasks.Go(func() {
			defer func() { <-slots }()
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			if err := h.listen(ctx, c); err != nil && ctx.Err() == nil && err != io.EOF {
				h.warn("dropped a connection to the fleet's address", "from", c.RemoteAddr(), "err", err)
			}
		})
	}
}

// listen takes in what one connection brings.
func (h *Host) listen(ctx context.Context, c net.Conn) error {
	c.SetDeadline(time.Now().Add(greetFor))
	if err := readPreface(c); err != nil {
		return err
	}
	data, err := readFrame(c, mostHello)
	if err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	var hello Hello
	if err := json.Unmarshal(data, &hello); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	answer := make(chan reply, 1)
	if !h.give(ctx, event{hello: &hello, answer: answer}) {
		return nil
	}
	var r reply
	select {
	case r = <-answer:
	case <-ctx.Done():
		return nil
	}
	if data, err = json.Marshal(r); err != nil {
		return err
	}
	if _, err := io.WriteString(c, preface); err != nil {
		return nil
	}
	if err := writeFrame(c, data); err != nil {
		return nil
	}
	if r.Verdict != Welcome {
		return fmt.Errorf("hello of %q: %v: %s", hello.Name, r.Verdict, r.Why)
	}
	c.SetDeadline(time.Time{})
	if hello.For != "" {
		open := h.o.Streams[hello.For]
		if open == nil {
			return fmt.Errorf("from %q: it is for %.20q, which is not carried out here", hello.Name, hello.For)
		}
		open(hello.Name, NewStream(c))
		return nil
	}
	// What comes here is for the member that was greeted. Once this process is another one the sender has
	// to greet it anew: else all that it sends is dropped, and it does not notice.
	renamed, over := h.renamed(r.Hello.Member), make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-renamed:
			c.Close()
		case <-over:
		}
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		data, err := readFrame(in, mostFrame)
		if err == io.EOF || isReset(err) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("from %q: %w", hello.Name, err)
		}
		m := &raftpb.Message{}
		if err := proto.Unmarshal(data, m); err != nil {
			return fmt.Errorf("from %q: %w", hello.Name, err)
		}
		h.received.Add(1)
		if !h.give(ctx, event{message: m, member: hello.Member, from: hello.Name, to: r.Hello.Member}) {
			return nil
		}
	}
}
