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

// emptyMachine is a state machine without state.
type emptyMachine struct{}

func (emptyMachine) Apply([]byte) error        { return nil }
func (emptyMachine) Snapshot() ([]byte, error) { return nil, nil }
func (emptyMachine) Restore([]byte) error      { return nil }

// A call to the driver returns when the host stops. It used to wait forever for the ended driver, and blocked
// the end of the process.
func TestAskEndsWithTheHost(t *testing.T) {
	h, err := Open(Options{Label: "f", Name: "n0", Folder: t.TempDir(), Listen: "127.0.0.1:0", Voters: []string{"n0"},
		Peers: map[string]string{"n0": "127.0.0.1:1"}, Machine: emptyMachine{}, OnApplied: func() {}, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- h.Run(ctx) }()
	if err := h.runOnDriver(t.Context(), func() error { return nil }); err != nil {
		t.Errorf("call while the host runs: %v", err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	asked := make(chan error)
	go func() { asked <- h.runOnDriver(context.Background(), func() error { return nil }) }()
	select {
	case err := <-asked:
		if !errors.Is(err, errHostStopped) {
			t.Errorf("call after the host has stopped: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the call waits for a driver that has ended")
	}
}

// A caller that stops waiting shares no memory with the driver, which may run its function later: the race
// detector once found a result variable that both wrote.
func TestWhoStopsWaitingSharesNothing(t *testing.T) {
	h := &Host{events: make(chan event, 2), ended: make(chan struct{})}
	for range 100 {
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			e := <-h.events
			stop()
			e.work()
		}()
		if me, err := runOnDriver(ctx, h, func() (Hello, error) { return Hello{Member: 1}, nil }); err == nil && me.Member != 1 {
			t.Fatalf("%+v", me)
		}
	}
}

// A limiter that received a hello while the fleet was being initialized learns of the fleet: a second hello
// follows one that was sent without a fleet ID, whenever the answer to the first one arrives.
func TestAHelloFromBeforeTheFleetIsFollowedByAnother(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	h, err := Open(Options{Label: "f", Name: "n0", Folder: t.TempDir(), Listen: "127.0.0.1:0", Voters: []string{"n0", "n1"},
		Peers: map[string]string{"n0": "127.0.0.1:1", "n1": other.Addr().String()}, Machine: emptyMachine{}, OnApplied: func() {}, Log: slog.New(slog.DiscardHandler)})
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
		data, err := readFrame(c, maxHelloBytes)
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
		if err := h.Bootstrap(ctx, []string{"n0"}); err != nil { // after the hello, before its answer
			t.Fatal(err)
		}
		answer, _ := json.Marshal(reply{Hello: Hello{Label: "f", Name: "n1", Member: 7, Start: 1, Mark: 1, To: "n0"}})
		io.WriteString(c, preface)
		writeFrame(c, answer)
		other.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	}
}
