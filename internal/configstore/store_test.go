package configstore

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
)

// stores runs up to five stores on loopback addresses; the settings of all of them name the first three.
type stores struct {
	t      *testing.T
	dir    string
	cancel [5]context.CancelFunc
	done   [5]chan error
	call   *rpc.Caller
}

func (s *stores) ip(i int) string { return fmt.Sprintf("127.79.1.%d", i+1) }

func (s *stores) start(i int, bootstrap bool) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	set := &nodesettings.Settings{Node: fmt.Sprintf("core-%d", i+1), IP: s.ip(i), Bootstrap: bootstrap, FaultTolerance: 2, Ports: [2]int{7460, 7475},
		DataDir: fmt.Sprintf("%s/%d", s.dir, i), Seeds: []string{s.ip(0) + ":1", s.ip(1) + ":1", s.ip(2) + ":1"}}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel[i], s.done[i] = cancel, make(chan error, 1)
	done := s.done[i]
	go func() { done <- Run(ctx, set, log) }()
}

// stop ends a store, after which it writes nothing, as after a kill. If wipe is set, it deletes the data directory.
func (s *stores) stop(i int, wipe bool) {
	s.cancel[i]()
	if err := <-s.done[i]; err != nil {
		s.t.Fatal(err)
	}
	if wipe {
		if err := os.RemoveAll(fmt.Sprintf("%s/%d", s.dir, i)); err != nil {
			s.t.Fatal(err)
		}
	}
}

// evacuate asks one store to begin the evacuation of a zone, and reports whether it succeeded in time.
func (s *stores) evacuate(ctx context.Context, i int, zone string) bool {
	var c ChangeResponse
	err := s.call.Call(ctx, s.ip(i)+":7460", CallChange, ChangeRequest{Orders: []controlstate.Order{{Kind: controlstate.BeginEvacuation, Zone: zone}}}, &c, 3*time.Second)
	return err == nil && len(c.Outcomes) == 1 && c.Outcomes[0].Status == 200
}

func (s *stores) fetch(ctx context.Context, i int) *controlstate.Register {
	var w WatchResponse
	if s.call.Call(ctx, s.ip(i)+":7460", CallFetch, nil, &w, 3*time.Second) != nil {
		return nil
	}
	return w.Register
}

func (s *stores) until(ctx context.Context, what string, ok func() bool) {
	s.t.Helper()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			s.t.Fatalf("timed out waiting: %s", what)
		case <-tick.C:
		}
	}
}

// Five machines, of which the settings name three, all become voters. Orders succeed with any two of them down,
// and an order acknowledged by three survives the loss of two of their disks.
func TestFiveVoters(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	s := &stores{t: t, dir: t.TempDir(), call: rpc.NewCaller()}
	for i := range 5 {
		s.start(i, true)
	}
	s.until(ctx, "all five are voters", func() bool {
		r := s.fetch(ctx, 3)
		return r != nil && len(r.Voters) == 5 && len(r.Prior) == 0
	})
	s.stop(3, false)
	s.stop(4, false)
	s.until(ctx, "an order succeeds without the last two stores", func() bool { return s.evacuate(ctx, 0, "a") })
	// Two of the three that accepted the order lose their disks while the other two come back.
	s.stop(0, true)
	s.stop(1, true)
	s.start(3, false)
	s.start(4, false)
	s.until(ctx, "the order survives the loss of two disks", func() bool {
		r := s.fetch(ctx, 3)
		return r != nil && len(r.EvacuatedZones) == 1
	})
	s.start(0, false)
	s.start(1, false)
	s.stop(2, false)
	s.stop(3, false)
	// A voter with an empty disk has to read from three others before it votes; two are not enough.
	if s.evacuate(ctx, 4, "b") {
		t.Error("an order succeeded with one voter and two stores whose disks are empty")
	}
	s.start(2, false)
	s.start(3, false)
	s.until(ctx, "orders succeed again", func() bool { return s.evacuate(ctx, 0, "c") })
	for i := range 2 {
		s.until(ctx, "a store whose disk was lost votes again", func() bool {
			var st rpc.Status
			return s.call.Call(ctx, s.ip(i)+":7460", rpc.CallStatus, nil, &st, time.Second) == nil && strings.Contains(st.Lines[0], "votes=true")
		})
	}
	s.stop(2, false)
	s.stop(3, false)
	s.until(ctx, "an order succeeds with the stores whose disks were lost", func() bool { return s.evacuate(ctx, 1, "d") })
	if r := s.fetch(ctx, 0); r == nil || r.EvacuatedZones[0] != "a" {
		t.Errorf("an acknowledged order is lost: %+v", r)
	}
	for _, i := range []int{0, 1, 4} {
		s.stop(i, false)
	}
}

// The operator's command gives the seat of a machine that is permanently lost to another one. The agreed state
// survives, and so does the store when it loses one more machine.
func TestVotersCommand(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	s := &stores{t: t, dir: t.TempDir(), call: rpc.NewCaller()}
	for i := range 3 {
		s.start(i, true)
	}
	s.until(ctx, "an order succeeds", func() bool { return s.evacuate(ctx, 0, "a") })
	s.stop(2, true)
	s.start(3, false)
	run := func(args ...string) (string, error) {
		cmd := Voters()
		var out strings.Builder
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs(append([]string{s.ip(0) + ":7460"}, args...))
		err := cmd.ExecuteContext(ctx)
		return out.String(), err
	}
	if _, err := run("--unseat", s.ip(2)); err == nil || !strings.Contains(err.Error(), "2 voters would be left") {
		t.Errorf("unseating one of three voters: error %v", err)
	}
	for _, bad := range [][]string{nil, {"--seat", "core-4"}, {"--seat", "127.79.1.9"}} {
		if _, err := run(bad...); err == nil {
			t.Errorf("arguments %v are accepted", bad)
		}
	}
	s.until(ctx, "the fourth store takes the seat of the third", func() bool {
		out, err := run("--seat", s.ip(3), "--unseat", s.ip(2))
		return err == nil && strings.Contains(out, s.ip(3)) && !strings.Contains(out, s.ip(2))
	})
	s.until(ctx, "the fourth store votes", func() bool {
		var st rpc.Status
		return s.call.Call(ctx, s.ip(3)+":7460", rpc.CallStatus, nil, &st, time.Second) == nil && strings.Contains(st.Lines[0], "votes=true")
	})
	s.stop(1, false)
	s.until(ctx, "an order succeeds with the first and the fourth store", func() bool { return s.evacuate(ctx, 3, "b") })
	if r := s.fetch(ctx, 0); r == nil || len(r.EvacuatedZones) != 2 {
		t.Errorf("an acknowledged order is lost: %+v", r)
	}
	s.stop(0, false)
	s.stop(3, false)
}
