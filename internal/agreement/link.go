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
	handshakeTimeout  = 5 * time.Second // for the hello and its answer
	writeTimeout      = 2 * time.Second
	dialTimeout       = time.Second
	maxQueuedMessages = 256 // per limiter; further messages are dropped
	initialBackoff    = 100 * time.Millisecond
	maxBackoff        = 2 * time.Second
)

// reply is the answer to a hello.
type reply struct {
	Hello   Hello
	Verdict Verdict
	Why     string
	Voters  []string // names of the voters that the answering member knows
}

// link sends messages to one limiter over one connection. Messages in the other direction use a connection
// opened by that limiter.
type link struct {
	name, addr   string
	queue        chan *raftpb.Message
	handshake    chan struct{} // connect even with nothing to send
	redialSignal chan struct{} // close the connection and connect again
}

func newLink(name, addr string) *link {
	return &link{name: name, addr: addr, queue: make(chan *raftpb.Message, maxQueuedMessages),
		handshake: make(chan struct{}, 1), redialSignal: make(chan struct{}, 1)}
}

// send queues a message. It returns false if the queue is full.
func (l *link) send(m *raftpb.Message) bool {
	select {
	case l.queue <- m:
		return true
	default:
		return false
	}
}

// connect opens the connection if there is none.
func (l *link) connect() { signal(l.handshake) }

// reopen closes the current connection, if any, so that a new hello is sent.
func (l *link) reopen() { signal(l.redialSignal) }

// signal sends on c without blocking; a signal that is already pending is enough.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run connects when there is a message to send or a connection is requested, and sends the queued messages,
// until ctx is done.
func (l *link) run(ctx context.Context, h *Host) {
	retry := &backoff.ExponentialBackOff{InitialInterval: initialBackoff, MaxInterval: maxBackoff,
		Multiplier: 2, RandomizationFactor: 0.3}
	retry.Reset()
	for ctx.Err() == nil {
		var message *raftpb.Message
		select {
		case message = <-l.queue:
		case <-l.handshake:
		case <-ctx.Done():
			return
		}
		welcome, err := l.runConnection(ctx, h, message)
		if welcome {
			retry.Reset()
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			h.log.Debug("connection to limiter ended", "to", l.name, "err", err)
		}
		h.enqueue(ctx, event{disconnected: l.name})
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
			return
		}
		for len(l.queue) > 0 { // outdated after the pause
			l.discard(ctx, h, <-l.queue)
		}
		if h.keepsConnecting() {
			l.connect()
		}
	}
}

// discard drops an unsent message. A lost snapshot is reported: the leader sends nothing more to a member
// until it knows the outcome of a snapshot.
func (l *link) discard(ctx context.Context, h *Host, message *raftpb.Message) {
	if message != nil && message.GetType() == raftpb.MessageType_MsgSnap {
		h.enqueue(ctx, event{snapshotTo: message.GetTo(), snapshotOK: false})
	}
}

// runConnection opens one connection and sends messages until it ends, beginning with first if that is not
// nil. welcome reports whether the peer accepted the hello; if it did not, first is dropped.
func (l *link) runConnection(ctx context.Context, h *Host, first *raftpb.Message) (welcome bool, err error) {
	defer func() {
		if !welcome {
			l.discard(ctx, h, first)
		}
	}()
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return false, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	select {
	case <-l.redialSignal: // was meant for a previous connection; a signal after the hello is meant for this one
	default:
	}
	own, ok := h.currentHello(ctx)
	if !ok {
		return false, ctx.Err()
	}
	own.To = l.name
	answer, err := handshake(c, own)
	if err != nil {
		return false, fmt.Errorf("greet: %w", err)
	}
	h.enqueue(ctx, event{helloReply: &answer, mark: own.Mark, member: own.Member, from: l.name})
	if answer.Verdict != Welcome {
		return false, fmt.Errorf("not welcome there: %v: %s", answer.Verdict, answer.Why)
	}
	closed := make(chan struct{})
	go func() { // the peer sends nothing more: a read returns when the connection ends
		io.Copy(io.Discard, io.LimitReader(c, 1))
		close(closed)
	}()
	out := bufio.NewWriterSize(c, 64<<10)
	for message := first; ; {
		if message != nil {
			if err := l.writeQueued(c, out, message, h, ctx); err != nil {
				return true, err
			}
		}
		select {
		case message = <-l.queue:
		case <-l.handshake: // already connected
			message = nil
		case <-l.redialSignal:
			l.connect() // a connect signal sent meanwhile was consumed by this connection
			return true, fmt.Errorf("reconnecting to send a new hello")
		case <-closed:
			return true, io.EOF
		case <-ctx.Done():
			return true, nil
		case <-h.replacedSignal(own.Member):
			return true, fmt.Errorf("this process has a new member ID")
		}
	}
}

// writeQueued writes a message and all further queued ones, and then flushes the buffer.
func (l *link) writeQueued(c net.Conn, out *bufio.Writer, message *raftpb.Message, h *Host, ctx context.Context) error {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	for {
		data, err := proto.Marshal(message)
		if err == nil {
			err = writeFrame(out, data)
		}
		if message.GetType() == raftpb.MessageType_MsgSnap {
			if err == nil {
				err = out.Flush()
			}
			h.enqueue(ctx, event{snapshotTo: message.GetTo(), snapshotOK: err == nil})
		}
		h.sent.Add(1)
		h.sentBytes.Add(int64(len(data) + 8))
		if err != nil {
			return err
		}
		select {
		case message = <-l.queue:
		default:
			return out.Flush()
		}
	}
}

// handshake sends a hello and reads the answer.
func handshake(c net.Conn, own Hello) (answer reply, err error) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	defer c.SetDeadline(time.Time{})
	data, err := json.Marshal(own)
	if err != nil {
		return answer, err
	}
	if _, err := io.WriteString(c, preface); err != nil {
		return answer, err
	}
	if err := writeFrame(c, data); err != nil {
		return answer, err
	}
	if err := readPreface(c); err != nil {
		return answer, err
	}
	if data, err = readFrame(c, maxHelloBytes); err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(data, &answer)
}

// accept accepts connections of other limiters until ctx is done.
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
			if err := h.serveConnection(ctx, c); err != nil && ctx.Err() == nil && err != io.EOF {
				h.warn("dropped a connection to the fleet's address", "from", c.RemoteAddr(), "err", err)
			}
		})
	}
}

// serveConnection answers the hello on an accepted connection and then processes its messages, or passes it
// to the handler of its stream.
func (h *Host) serveConnection(ctx context.Context, c net.Conn) error {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := readPreface(c); err != nil {
		return err
	}
	data, err := readFrame(c, maxHelloBytes)
	if err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	var hello Hello
	if err := json.Unmarshal(data, &hello); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	answer := make(chan reply, 1)
	if !h.enqueue(ctx, event{hello: &hello, answer: answer}) {
		return nil
	}
	var response reply
	select {
	case response = <-answer:
	case <-ctx.Done():
		return nil
	}
	if data, err = json.Marshal(response); err != nil {
		return err
	}
	if _, err := io.WriteString(c, preface); err != nil {
		return nil
	}
	if err := writeFrame(c, data); err != nil {
		return nil
	}
	if response.Verdict != Welcome {
		return fmt.Errorf("hello of %q: %v: %s", hello.Name, response.Verdict, response.Why)
	}
	c.SetDeadline(time.Time{})
	if hello.For != "" {
		serveStream := h.options.Streams[hello.For]
		if serveStream == nil {
			return fmt.Errorf("from %q: it is for %.20q, which is not carried out here", hello.Name, hello.For)
		}
		serveStream(hello.Name, NewStream(c))
		return nil
	}
	// Messages on this connection are for the member that answered the hello. Once this process has a new
	// member ID the connection is closed, so that the sender sends a new hello: otherwise all its messages
	// would be dropped without its notice.
	replacedSignal, finished := h.replacedSignal(response.Hello.Member), make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-replacedSignal:
			c.Close()
		case <-finished:
		}
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		data, err := readFrame(in, maxFrameBytes)
		if err == io.EOF || isReset(err) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("from %q: %w", hello.Name, err)
		}
		raftMessage := &raftpb.Message{}
		if err := proto.Unmarshal(data, raftMessage); err != nil {
			return fmt.Errorf("from %q: %w", hello.Name, err)
		}
		h.received.Add(1)
		if !h.enqueue(ctx, event{message: raftMessage, member: hello.Member, from: hello.Name, to: response.Hello.Member}) {
			return nil
		}
	}
}
