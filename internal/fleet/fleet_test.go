package fleet_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/limiter"
)

// The built-in fleet has the values of its file, and its settings are valid for a limiter.
func TestBluebird(t *testing.T) {
	f := config.Bluebird()
	if len(f.Boxes) != 12 || len(f.Limiters) != 3 || f.Boxes[7].Name != "b1" || f.Boxes[7].Dial != "127.0.0.1:9007" || f.Boxes[7].Pod != 1 {
		t.Errorf("%d boxes, %d limiters, %+v", len(f.Boxes), len(f.Limiters), f.Boxes[7])
	}
	if c := f.Classes[1]; c.Repeat != limiter.Keyed || c.Group != limiter.GroupCell || c.Window != time.Second || c.Units != 2 || c.LateShare != 0 {
		t.Errorf("class %+v", c)
	}
	if p := f.Plans[1]; p.Rate != 7 || p.Burst != 15 || p.CeilingRate != 15 || p.CeilingBurst != 32 || p.Price != 1.1 || p.OverrunCost != 1.2 {
		t.Errorf("plan %+v", p)
	}
	if n := f.Network; n.PeerDelayMin != 1600*time.Microsecond || n.PeerLoss != 0.04 || n.FrontDetection != 2*time.Second || f.Rules.Attempts != 3 || f.Traffic.Rate != 170 {
		t.Errorf("%+v %+v %+v", n, f.Rules, f.Traffic)
	}
	for i := range f.Limiters {
		if _, err := limiter.New(f.Settings(i), 1); err != nil {
			t.Errorf("the settings of %s: %v", f.Limiters[i].Name, err)
		}
	}
	if _, err := f.Limiter("n9"); !errors.Is(err, fleet.ErrNoLimiter) || !strings.Contains(err.Error(), "n0 n1 n2") {
		t.Errorf("an unknown limiter: %v", err)
	}
}

func TestScaleKeepsTheLoad(t *testing.T) {
	f := config.Bluebird()
	s := f.Scale(120, 20, 1200)
	if got, want := s.Traffic.Rate/s.Capacity(), f.Traffic.Rate/f.Capacity(); got < want*0.99 || got > want*1.01 {
		t.Errorf("rate for capacity %g, before %g", got, want)
	}
	pods := map[int]int{}
	for _, b := range s.Boxes {
		pods[b.Pod]++
	}
	if len(s.Boxes) != 120 || len(s.Limiters) != 20 || len(pods) != 20 || pods[3] != 6 {
		t.Errorf("%d boxes, %d limiters, pods %v", len(s.Boxes), len(s.Limiters), pods)
	}
}
