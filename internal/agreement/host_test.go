package agreement

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"
)

// nothing is a machine that knows nothing.
type nothing struct{}

func (nothing) Apply([]byte) error        { return nil }
func (nothing) Snapshot() ([]byte, error) { return nil, nil }
func (nothing) Restore([]byte) error      { return nil }

// Whoever waits for something to be agreed on is let go when the limiter ends: it used to
// wait for the driver, and the process for it.
func TestAskEndsWithTheHost(t *testing.T) {
	h, err := Open(Options{Label: "f", Name: "n0", Folder: t.TempDir(), Listen: "127.0.0.1:0", Voters: []string{"n0"},
		Peers: map[string]string{"n0": "127.0.0.1:1"}, Machine: nothing{}, Changed: func() {}, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- h.Run(ctx) }()
	if err := h.ask(t.Context(), func() error { return nil }); err != nil {
		t.Errorf("while it runs: %v", err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	asked := make(chan error)
	go func() { asked <- h.ask(context.Background(), func() error { return nil }) }()
	select {
	case err := <-asked:
		if !errors.Is(err, errEnded) {
			t.Errorf("after it has ended: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it waits for a driver that has ended")
	}
}

// Who has stopped waiting shares nothing with the driver, which may do it later: the race detector
// found what both wrote.
func TestWhoStopsWaitingSharesNothing(t *testing.T) {
	h := &Host{events: make(chan event, 2), ended: make(chan struct{})}
	for range 100 {
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			e := <-h.events
			stop()
			e.do()
		}()
		if me, err := ask(ctx, h, func() (Hello, error) { return Hello{Member: 1}, nil }); err == nil && me.Member != 1 {
			t.Fatalf("%+v", me)
		}
	}
}

// A limiter that is greeted while the fleet begins hears of the fleet: a hello from before it is
// followed by another one, whenever its answer comes.
func TestAHelloFromBeforeTheFleetIsFollowedByAnother(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	h, err := Open(Options{Label: "f", Name: "n0", Folder: t.TempDir(), Listen: "127.0.0.1:0", Voters: []string{"n0", "n1"},
		Peers: map[string]string{"n0": "127.0.0.1:1", "n1": other.Addr().String()}, Machine: nothing{}, Changed: func() {}, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- h.Run(ctx) }()
	defer func() { stop(); <-ended }()
	for _, begun := range []bool{false, true} {
		c, err := other.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		if err := readPreface(c); err != nil {
			t.Fatal(err)
		}
		data, err := readFrame(c, mostHello)
		if err != nil {
			t.Fatal(err)
		}
		var hello Hello
		if err := json.Unmarshal(data, &hello); err != nil || (hello.Fleet != 0) != begun {
			t.Fatalf("hello %s, %v", data, err)
		}
		if begun {
			return
		}
		if err := h.Begin(ctx, []string{"n0"}); err != nil { // behind the hello, before its answer
			t.Fatal(err)
		}
		answer, _ := json.Marshal(reply{Hello: Hello{Label: "f", Name: "n1", Member: 7, Start: 1, Mark: 1, To: "n0"}})
		io.WriteString(c, preface)
		writeFrame(c, answer)
		other.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	}
}
