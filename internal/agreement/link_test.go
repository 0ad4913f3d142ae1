package agreement

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// A snapshot that a link gives up, because it can't connect or because the snapshot waited behind a message
// whose connection failed, is told to the leader: it sends a member nothing more until it hears what
// became of a snapshot.
func TestDroppedSnapshotIsTold(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	snapshot := func(to uint64) *raftpb.Message {
		kind := raftpb.MessageType_MsgSnap
		return &raftpb.Message{Type: &kind, To: &to}
	}
	for name, queued := range map[string][]*raftpb.Message{
		"first":  {snapshot(7)},
		"behind": {{}, snapshot(7)},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			h := &Host{events: make(chan event, 16), ended: make(chan struct{}), other: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
			l := newLink("b", closed.Addr().String())
			for _, m := range queued {
				l.send(m)
			}
			ran := make(chan struct{})
			go func() { defer close(ran); l.run(ctx, h) }()
			for e := range h.events {
				if e.snapshotTo == 7 {
					if e.ok {
						t.Error("it is told to have been sent")
					}
					break
				}
				if e.lost != "" && name == "first" {
					t.Error("the connection is given up and nothing is told of the snapshot")
					break
				}
			}
			cancel()
			<-ran
		})
	}
}

// A process that sets its folder aside goes on as another member. Whoever greeted it as the former one
// greets it anew: what is sent on the connection of before is for a member that is gone.
func TestConnectionsOfAFormerMemberEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	h := &Host{events: make(chan event, 16), ended: make(chan struct{}), other: make(chan struct{}), member: 5, log: slog.New(slog.DiscardHandler)}
	listened := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			listened <- err
			return
		}
		defer c.Close()
		listened <- h.listen(t.Context(), c)
	}()
	go func() {
		e := <-h.events
		e.answer <- reply{Hello: Hello{Name: "a", Member: 5}, Verdict: Welcome}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if r, err := greet(c, Hello{Name: "b", Member: 9}); err != nil || r.Verdict != Welcome {
		t.Fatal(r, err)
	}
	h.mu.Lock()
	h.member = 6
	close(h.other)
	h.other = make(chan struct{})
	h.mu.Unlock()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection goes on: %v", err)
	}
	if err := <-listened; err != nil {
		t.Error(err)
	}
}
