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

// A link reports a snapshot that it drops, because it can't connect or because the snapshot was queued after a
// message whose connection failed. Without the report the leader sends nothing more to the member.
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
			h := &Host{events: make(chan event, 16), ended: make(chan struct{}), memberReplaced: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
			l := newLink("b", closed.Addr().String())
			for _, m := range queued {
				l.send(m)
			}
			ran := make(chan struct{})
			go func() { defer close(ran); l.run(ctx, h) }()
			for e := range h.events {
				if e.snapshotTo == 7 {
					if e.snapshotOK {
						t.Error("the dropped snapshot is reported as sent")
					}
					break
				}
				if e.disconnected != "" && name == "first" {
					t.Error("the end of the connection is reported before the dropped snapshot")
					break
				}
			}
			cancel()
			<-ran
		})
	}
}

// A process that sets its folder aside continues as a new member and closes the connections opened to the
// former one, so that peers send a new hello: messages on those connections are for a member that is gone.
func TestConnectionsOfAFormerMemberEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	h := &Host{events: make(chan event, 16), ended: make(chan struct{}), memberReplaced: make(chan struct{}), member: 5, log: slog.New(slog.DiscardHandler)}
	listened := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			listened <- err
			return
		}
		defer c.Close()
		listened <- h.serveConnection(t.Context(), c)
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
	if r, err := handshake(c, Hello{Name: "b", Member: 9}); err != nil || r.Verdict != Welcome {
		t.Fatal(r, err)
	}
	h.mu.Lock()
	h.member = 6
	close(h.memberReplaced)
	h.memberReplaced = make(chan struct{})
	h.mu.Unlock()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection stays open: %v", err)
	}
	if err := <-listened; err != nil {
		t.Error(err)
	}
}
