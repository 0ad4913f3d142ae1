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

// stores are five of them on loopback, of which the first three are named to all.
type stores struct {
	t    *testing.T
	dir  string
	stop [5]context.CancelFunc
	done [5]chan error
	call *rpc.Caller
}

func (s *stores) ip(i int) string { return fmt.Sprintf("127.79.1.%d", i+1) }

func (s *stores) start(i int, bootstrap bool) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	set := &nodesettings.Settings{Node: fmt.Sprintf("core-%d", i+1), IP: s.ip(i), Bootstrap: bootstrap, Tolerate: 2, Ports: [2]int{7460, 7475},
		DataDir: fmt.Sprintf("%s/%d", s.dir, i), Seeds: []string{s.ip(0) + ":1", s.ip(1) + ":1", s.ip(2) + ":1"}}
	ctx, stop := context.WithCancel(context.Background())
	s.stop[i], s.done[i] = stop, make(chan error, 1)
	done := s.done[i]
	go func() { done <- Run(ctx, set, log) }()
}

// end ends a store as a kill does: nothing is written any more.
func (s *stores) end(i int, wipe bool) {
	s.stop[i]()
	if err := <-s.done[i]; err != nil {
		s.t.Fatal(err)
	}
	if wipe {
		if err := os.RemoveAll(fmt.Sprintf("%s/%d", s.dir, i)); err != nil {
			s.t.Fatal(err)
		}
	}
}

// order has a zone evacuated by one store, in time.
func (s *stores) order(ctx context.Context, i int, zone string) bool {
	var c Changed
	err := s.call.Call(ctx, s.ip(i)+":7460", CallChange, Change{Orders: []controlstate.Order{{Kind: controlstate.BeginEvacuation, Zone: zone}}}, &c, 3*time.Second)
	return err == nil && len(c.Outcomes) == 1 && c.Outcomes[0].Status == 200
}

func (s *stores) fetch(ctx context.Context, i int) *controlstate.Register {
	var w Watched
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
			s.t.Fatalf("%s: not in time", what)
		case <-tick.C:
		}
	}
}

// Five machines of which three are named come to vote all; with any two of them gone orders
// are taken; and what was acknowledged by three is there after two of these lose their disks.
func TestFiveVoters(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	s := &stores{t: t, dir: t.TempDir(), call: rpc.NewCaller()}
	for i := range 5 {
		s.start(i, true)
	}
	s.until(ctx, "all five vote", func() bool {
		r := s.fetch(ctx, 3)
		return r != nil && len(r.Voters) == 5 && len(r.Prior) == 0
	})
	s.end(3, false)
	s.end(4, false)
	s.until(ctx, "an order without the last two", func() bool { return s.order(ctx, 0, "a") })
	// The three that took it: two lose their disks while the other two come back.
	s.end(0, true)
	s.end(1, true)
	s.start(3, false)
	s.start(4, false)
	s.until(ctx, "it is there with two blank ones gone", func() bool {
		r := s.fetch(ctx, 3)
		return r != nil && len(r.EvacuatedZones) == 1
	})
	s.start(0, false)
	s.start(1, false)
	s.end(2, false)
	s.end(3, false)
	// Blank ones have to read three others before they vote: two are not enough now.
	if s.order(ctx, 4, "b") {
		t.Error("an order is taken by one voter and two blank ones")
	}
	s.start(2, false)
	s.start(3, false)
	s.until(ctx, "orders are taken again", func() bool { return s.order(ctx, 0, "c") })
	for i := range 2 {
		s.until(ctx, "a blank one votes again", func() bool {
			var st rpc.Status
			return s.call.Call(ctx, s.ip(i)+":7460", rpc.CallStatus, nil, &st, time.Second) == nil && strings.Contains(st.Lines[0], "votes=true")
		})
	}
	s.end(2, false)
	s.end(3, false)
	s.until(ctx, "also by those that were blank", func() bool { return s.order(ctx, 1, "d") })
	if r := s.fetch(ctx, 0); r == nil || r.EvacuatedZones[0] != "a" {
		t.Errorf("what was acknowledged is gone: %+v", r)
	}
	for _, i := range []int{0, 1, 4} {
		s.end(i, false)
	}
}

// A machine that is gone for good gives its seat to another, by the operators' command; what was
// agreed is there, and the loss of one more is borne.
func TestVotersCommand(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	s := &stores{t: t, dir: t.TempDir(), call: rpc.NewCaller()}
	for i := range 3 {
		s.start(i, true)
	}
	s.until(ctx, "an order", func() bool { return s.order(ctx, 0, "a") })
	s.end(2, true)
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
		t.Errorf("two are to be left: %v", err)
	}
	for _, bad := range [][]string{nil, {"--seat", "core-4"}, {"--seat", "127.79.1.9"}} {
		if _, err := run(bad...); err == nil {
			t.Errorf("%v is taken", bad)
		}
	}
	s.until(ctx, "the fourth takes the third one's seat", func() bool {
		out, err := run("--seat", s.ip(3), "--unseat", s.ip(2))
		return err == nil && strings.Contains(out, s.ip(3)) && !strings.Contains(out, s.ip(2))
	})
	s.until(ctx, "it votes", func() bool {
		var st rpc.Status
		return s.call.Call(ctx, s.ip(3)+":7460", rpc.CallStatus, nil, &st, time.Second) == nil && strings.Contains(st.Lines[0], "votes=true")
	})
	s.end(1, false)
	s.until(ctx, "an order by the first and the fourth", func() bool { return s.order(ctx, 3, "b") })
	if r := s.fetch(ctx, 0); r == nil || len(r.EvacuatedZones) != 2 {
		t.Errorf("what was acknowledged is gone: %+v", r)
	}
	s.end(0, false)
	s.end(3, false)
}
