package memory

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"example.org/madderdrum/durable"
	"example.org/madderdrum/limiter"
)

// standIn is a limiter that has learnt something.
type standIn struct {
	m      *limiter.Memory
	got    *limiter.Memory
	asked  chan struct{}
	handed bool
}

func (s *standIn) Remember() *limiter.Memory {
	select {
	case s.asked <- struct{}{}:
	default:
	}
	m := *s.m
	m.Handover = nil
	return &m
}
func (s *standIn) HandOver() *limiter.Memory { s.handed = true; return s.m }
func (s *standIn) Recall(m *limiter.Memory)  { s.got = m }
func classes() []string                      { return []string{"check", "bulk"} }
func open(t *testing.T, dir string) *Keeper  { t.Helper(); return opened(t, dir, "n0") }
func opened(t *testing.T, dir, n string) *Keeper {
	t.Helper()
	k, err := Open(Options{Folder: dir, Limiter: n, Every: time.Millisecond, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func whole() *limiter.Memory {
	return &limiter.Memory{
		Usual: []limiter.UsualMemory{{Ms: 700, Votes: 100}, {Ms: 900, Votes: 50}},
		Pools: []limiter.PoolMemory{{ID: 1 << 63, Work: []limiter.WorkMemory{{Ms: 40, Seen: 100}, {Ms: 80, Seen: 2}}, Fit: [5]float64{100, 3, 1.5, 10, 5}, Worth: 2, Weight: 100}},
		Boxes: []limiter.BoxMemory{{ID: 1<<64 - 1, Spent: 4, Had: 2, Down: true, Ills: []limiter.IllMemory{{LeftMs: 3000}, {}}}},
		Handover: &limiter.Handover{Position: 1, Balancers: 3, Plans: []limiter.Plan{{Rate: 7, Burst: 15, CeilingRate: 15, CeilingBurst: 32}}, KnownMs: 5000,
			Accounts: []limiter.AccountMemory{{ID: 5, Spread: 3, First: 1, Balance: 3.25, Share: 0.125}, {ID: 9, Spread: 2, Share: -1}}},
	}
}

// live runs a limiter's keeper until it has asked so often, and ends it in good order or not.
func live(t *testing.T, k *Keeper, s *standIn, asked int, clean bool) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	s.asked = make(chan struct{})
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx, s, classes) }()
	for range asked {
		<-s.asked
	}
	stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	var err error
	if clean {
		err = k.Close(s, classes())
	} else {
		err = k.folder.Abandon()
	}
	if err != nil {
		t.Fatal(err)
	}
}

// What a limiter has learnt the next one gets; what it held of quotas only after an end in
// good order, once, and not from a copy.
func TestKeeps(t *testing.T) {
	dir := t.TempDir()
	s := &standIn{m: whole()}
	k := open(t, dir)
	k.Recall(s, classes())
	if s.got != nil {
		t.Errorf("of nothing: %+v", s.got)
	}
	live(t, k, s, 3, true)
	if err := os.CopyFS(filepath.Join(dir, "copy"), os.DirFS(filepath.Join(dir, "n0"))); err != nil {
		t.Fatal(err)
	}
	k = open(t, dir)
	k.Recall(s, classes())
	h := s.got.Handover
	if h == nil || h.DownMs < 0 || h.DownMs > 20_000 {
		t.Fatalf("%+v", s.got)
	}
	want := whole().Handover
	want.DownMs = h.DownMs
	if !reflect.DeepEqual(h, want) || s.got.Pools[0].Work[0].Ms != 40 || !s.got.Boxes[0].Down || s.got.Boxes[0].ID != 1<<64-1 {
		t.Errorf("%+v", s.got)
	}
	live(t, k, s, 3, false) // killed
	k = open(t, dir)
	k.Recall(s, classes())
	if s.got.Handover != nil || len(s.got.Boxes) != 1 {
		t.Errorf("after a kill: %+v", s.got)
	}
	if err := k.folder.Abandon(); err != nil {
		t.Fatal(err)
	}
	s.got = nil
	k = opened(t, dir, "copy") // another limiter's name does not make it its own
	k.Recall(s, classes())
	if s.got != nil {
		t.Errorf("a copy under another name: %+v", s.got)
	}
	k.folder.Abandon()
}

// Records that do not make a memory are passed over, and a handover with an account missing
// is none: that one would count as full.
func TestDecode(t *testing.T) {
	all, err := encode(whole(), classes())
	if err != nil {
		t.Fatal(err)
	}
	m, names, err := decode(all)
	if err != nil || !reflect.DeepEqual(m, whole()) || len(names) != 2 {
		t.Errorf("%+v %v %v", m, names, err)
	}
	if m, _, err := decode(all[:len(all)-1]); err != nil || m.Handover != nil || len(m.Boxes) != 1 {
		t.Errorf("an account less: %+v %v", m, err)
	}
	for i := range all {
		bad := append([]durable.Record(nil), all...)
		bad[i].Value = []byte("{")
		if _, _, err := decode(bad); err == nil {
			t.Errorf("record %d: no error", i)
		}
	}
	if m, _, err := decode(append(all, durable.Record{Kind: 99, Value: []byte("{")})); err != nil || m.Handover == nil {
		t.Errorf("a kind of a later version: %+v %v", m, err)
	}
}
