package agreement

import (
	"context"
	"errors"
	"log/slog"
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
	if err := h.ask(t.Context(), func() {}); err != nil {
		t.Errorf("while it runs: %v", err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	asked := make(chan error)
	go func() { asked <- h.ask(context.Background(), func() {}) }()
	select {
	case err := <-asked:
		if !errors.Is(err, errEnded) {
			t.Errorf("after it has ended: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it waits for a driver that has ended")
	}
}
