package memory

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/madderdrum/durable"
	"example.org/madderdrum/limiter"
)

var settings = limiter.Settings{
	Balancers: 1,
	Classes:   []limiter.Class{{AimMs: 500, DeadlineMs: 900, Worth: 1}, {AimMs: 500, DeadlineMs: 900, Worth: 1}},
	Plans:     []limiter.Plan{{Rate: 1e6, Burst: 1e6, CeilingRate: 8, CeilingBurst: 16, Price: 1}},
	Caps:      limiter.Caps{Attempts: 2},
}

// testLimiter implements Limiter with a clock that a test sets.
type testLimiter struct {
	mu    sync.Mutex
	l     *limiter.Limiter
	now   float64
	ids   int
	begun chan struct{}
}

func begin(t *testing.T, now float64) *testLimiter {
	t.Helper()
	l, err := limiter.New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	x := &testLimiter{l: l, now: now, begun: make(chan struct{})}
	x.handle(limiter.Endpoints{Scope: limiter.Complete, Servers: []limiter.ServerInfo{{ID: 1}, {ID: 2}}})
	close(x.begun)
	return x
}

func (x *testLimiter) handle(ev limiter.Event) []limiter.Action {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]limiter.Action(nil), x.l.Handle(x.now, ev)...)
}

// countAdmitted returns how many of 40 concurrent requests of an account are admitted.
func (x *testLimiter) countAdmitted(account uint64) (n int) {
	for range 40 {
		x.ids++
		id := string(rune('a'+x.ids%26)) + time.Duration(x.ids).String()
		for _, a := range x.handle(limiter.Submit{ID: id, ExpiresMs: 900, Units: 1, Account: account, Spread: 1}) {
			if p, ok := a.(limiter.PassOn); ok {
				n++
				x.handle(limiter.Outcome{ID: id, Server: p.Server, SpentMs: 20, Done: true})
			}
		}
	}
	return n
}

func (x *testLimiter) Started() <-chan struct{} { return x.begun }
func (x *testLimiter) Now() float64             { return x.now }
func (x *testLimiter) Remember() *limiter.Memory {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.l.Remember(x.now)
}
func (x *testLimiter) Reserve(ms float64) { x.l.Reserve(ms) }
func (x *testLimiter) BeginWrite(all bool) (*limiter.Handover, uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.l.BeginWrite(x.now, all)
}
func (x *testLimiter) Accounts(most int) ([]limiter.AccountMemory, bool, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.l.Accounts(x.now, most)
}
func (x *testLimiter) Kept(seq uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.l.Kept(seq)
}
func (x *testLimiter) HandOver() *limiter.Memory { return x.l.HandOver(x.now) }
func (x *testLimiter) Leave(most int) ([]limiter.AccountMemory, bool) {
	return x.l.Leave(x.now, most)
}
func (x *testLimiter) Recall(m *limiter.Memory) { x.handle(limiter.Recall{Memory: m}) }

func classes() []string { return []string{"check", "bulk"} }

func open(t *testing.T, dir, name string, log *slog.Logger) *Keeper {
	t.Helper()
	k, err := Open(Options{Folder: dir, Limiter: name, Interval: 50 * time.Millisecond, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// A limiter's share of a ceiling survives a clean shutdown in full, and a kill except for the headroom.
// It is restored once only, and never from a copy.
func TestResumes(t *testing.T) {
	dir, log := t.TempDir(), slog.New(slog.DiscardHandler)
	// Each limiter's own clock may start anywhere.
	next := func(name string, now float64) (*testLimiter, *Keeper) {
		x, k := begin(t, now), open(t, dir, name, log)
		k.Recall(x, classes())
		return x, k
	}
	x, k := next("n0", 5e6)
	x.now += 60_000
	k.writeOnce(x, classes)
	if n := x.countAdmitted(5); n != 8 { // an account that is not in the file may spend the headroom before the next write
		t.Fatalf("%d units of a full share of 16 with a headroom of 8", n)
	}
	k.writeOnce(x, classes)
	if n := x.countAdmitted(5); n != 8 {
		t.Fatalf("%d units after a write, 8 are left", n)
	}
	k.writeOnce(x, classes)
	must(t, k.folder.Abandon()) // killed: the balance was 0, the file says -8
	x, k = next("n0", 100)
	if n, m := x.countAdmitted(5), x.countAdmitted(6); n != 0 || m != 8 {
		t.Errorf("after a kill %d units of the spent account, %d of a full one; want 0 and 8", n, m)
	}
	must(t, k.folder.Abandon()) // killed before it wrote anything: the state it resumed from is used up
	x, k = next("n0", 9e9)
	if n := x.countAdmitted(6); n != 0 {
		t.Errorf("%d units from a state that was used before", n)
	}
	x.now += 60_000
	k.writeOnce(x, classes)
	x.countAdmitted(5)
	k.writeOnce(x, classes)
	k.Close(x, classes())
	must(t, os.CopyFS(filepath.Join(dir, "copy"), os.DirFS(filepath.Join(dir, "n0"))))
	x, _ = next("copy", 100)
	if n := x.countAdmitted(6); n != 0 {
		t.Errorf("%d units from a copy under another name", n)
	}
	must(t, os.Rename(filepath.Join(dir, "n0"), filepath.Join(dir, "was")))
	must(t, os.CopyFS(filepath.Join(dir, "n0"), os.DirFS(filepath.Join(dir, "was"))))
	x, k = next("n0", 100)
	if n := x.countAdmitted(6); n != 0 {
		t.Errorf("%d units from a copy", n)
	}
	must(t, k.folder.Abandon())
	must(t, os.RemoveAll(filepath.Join(dir, "n0")))
	must(t, os.Rename(filepath.Join(dir, "was"), filepath.Join(dir, "n0")))
	x, k = next("n0", 100)
	if n, m := x.countAdmitted(5), x.countAdmitted(6); n < 8 || n > 9 || m != 16 {
		t.Errorf("after a clean shutdown: %d units of the spent account, %d of a full one; want 8 and 16", n, m)
	}
	must(t, k.folder.Abandon())
}

// A configuration reload during a write aborts it, and the next write is a snapshot with the new plans.
func TestReloadInAWrite(t *testing.T) {
	dir := t.TempDir()
	x, k := begin(t, 5e6), open(t, dir, "n0", slog.New(slog.DiscardHandler))
	k.Recall(x, classes())
	x.now += 60_000
	x.countAdmitted(5)
	h, _ := x.BeginWrite(true)
	s := settings
	s.Plans = []limiter.Plan{{Rate: 1e6, Burst: 1e6, CeilingRate: 80, CeilingBurst: 160, Price: 1}}
	x.handle(limiter.Reconfigure{Settings: s, Classes: []int{0, 1}, Plans: []int{0}})
	if err := putAccounts(x, 0, func(durable.Record) error { return nil }); !errors.Is(err, errConfigChanged) {
		t.Errorf("the write continued after a reload: %v", err)
	}
	k.writeOnce(x, classes)
	if reflect.DeepEqual(h.Plans, k.writtenPlans) || !k.complete {
		t.Errorf("written with plans %+v", k.writtenPlans)
	}
	must(t, k.folder.Abandon())
}

// A folder that can't be opened or written does not stop the limiter: the failure is logged once, and
// the folder is retried until it can be written.
func TestTriesAgain(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	lines := func(part string) int { return strings.Count(out.String(), part) }
	dir := filepath.Join(t.TempDir(), "kept")
	must(t, os.WriteFile(dir, nil, 0o600)) // a regular file where the folder should be
	x, k := begin(t, 5e6), open(t, dir, "n0", log)
	k.Recall(x, classes())
	for range 3 {
		k.writeOnce(x, classes)
	}
	if lines("memory is not kept") != 1 || k.retryDelay != 8*time.Second || !time.Now().Before(k.retryAt) {
		t.Errorf("retry delay %v\n%s", k.retryDelay, out.String())
	}
	for range 9 {
		k.writeOnce(x, classes)
	}
	if k.retryDelay != maxRetryDelay {
		t.Errorf("retry delay %v", k.retryDelay)
	}
	must(t, os.Remove(dir))
	k.writeOnce(x, classes)
	if lines("memory is kept again") != 1 || !k.complete {
		t.Errorf("%s", out.String())
	}
	x.now += 60_000
	// The disk disappears and comes back empty.
	must(t, os.RemoveAll(dir))
	k.complete = false
	for range 3 {
		k.writeOnce(x, classes)
	}
	if lines("memory is not kept") != 2 || x.countAdmitted(7) == 0 {
		t.Errorf("%s", out.String())
	}
	gone, err := Open(Options{Folder: filepath.Join(t.TempDir(), "gone"), Limiter: "n0", Interval: time.Second, Log: log})
	must(t, err)
	must(t, os.RemoveAll(gone.options.Folder))
	gone.Close(begin(t, 1), classes())
	if lines("the next limiter starts without") != 1 {
		t.Errorf("shutdown without a folder:\n%s", out.String())
	}
	must(t, os.MkdirAll(filepath.Join(dir, "n0"), 0o700))
	k.writeOnce(x, classes)
	if lines("memory is kept again") != 2 {
		t.Errorf("%s", out.String())
	}
	k.Close(x, classes())
	if v, err := Inspect(dir); err != nil || v[0].Memory == nil || v[0].Trusted.Handover == nil || v[0].Check() != nil {
		t.Errorf("%+v %v", v, err)
	}
	// A state over the size limit is not stored, and the limiter continues.
	k, err = Open(Options{Folder: dir, Limiter: "n1", Interval: time.Second, MaxBytes: 100, Log: log})
	must(t, err)
	k.writeOnce(x, classes)
	if !strings.Contains(out.String(), "over its size bound of 100 bytes") {
		t.Errorf("%s", out.String())
	}
	must(t, k.folder.Abandon())
}

// A running keeper writes at each interval and stops with its context.
func TestRuns(t *testing.T) {
	x, k := begin(t, 5e6), open(t, t.TempDir(), "n0", slog.New(slog.DiscardHandler))
	k.options.Interval = time.Millisecond
	k.Recall(x, classes())
	wrote := make(chan error)
	k.onWrite = func(err error) { wrote <- err }
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx, x, classes) }()
	for range 5 {
		must(t, <-wrote)
		x.countAdmitted(5)
	}
	go func() {
		for range wrote {
		}
	}()
	stop()
	must(t, <-done)
	close(wrote)
	k.Close(x, classes())
}

// Undecodable records are errors, and a handover with a missing account is ignored, because that account
// would count as having its full quota.
func TestDecode(t *testing.T) {
	m := &limiter.Memory{
		Usual: []limiter.UsualMemory{{Ms: 700, Votes: 100}, {Ms: 900, Votes: 50}},
		Pools: []limiter.PoolMemory{{ID: 1 << 63, Work: []limiter.WorkMemory{{Ms: 40, Seen: 100}, {Ms: 80, Seen: 2}}, Fit: [5]float64{100, 3, 1.5, 10, 5}, Worth: 2, Weight: 100, Pressure: 0.5}},
		Boxes: []limiter.BoxMemory{{ID: 1<<64 - 1, Spent: 4, Had: 2, Down: true, BackMs: 7, Ills: []limiter.IllMemory{{LeftMs: 3000}, {}}}},
	}
	all, err := encode(m, classes())
	must(t, err)
	add := func(kind byte, key uint64, v any) {
		r, err := newJSONRecord(kind, key, v)
		must(t, err)
		all = append(all, r)
	}
	add(kindRunningHandover, 0, runningHandover{Balancers: 3, Plans: settings.Plans, KnownMs: 4000, HeadMs: 1500, UpMs: 9000})
	addAccount := func(kind byte, a limiter.AccountMemory, upMs float64) {
		r, err := newAccountRecord(kind, &a, upMs)
		must(t, err)
		all = append(all, r)
	}
	addAccount(kindRunningAccount, limiter.AccountMemory{ID: 5, Spread: 3, First: 1, Balance: 3.25, Share: -2.5}, 9500)
	addAccount(kindRunningAccount, limiter.AccountMemory{ID: 5, Spread: 3, First: 1, Balance: 3, Share: -3, Flow: 0.5}, 9700)
	found := &durable.Recovered{Found: true, Intact: true, Uptime: 10 * time.Second, Records: all}
	got, names, err := decode(found)
	if err != nil || !reflect.DeepEqual(got.Boxes, m.Boxes) || !reflect.DeepEqual(got.Pools, m.Pools) || len(names) != 2 {
		t.Errorf("%+v %v %v", got, names, err)
	}
	want := &limiter.Handover{Balancers: 3, Plans: settings.Plans, KnownMs: 4000, HeadMs: 1500, DownMs: 1000,
		Accounts: []limiter.AccountMemory{{ID: 5, Spread: 3, First: 1, Balance: 3, Share: -3, Flow: 0.5, AgoMs: 300}}}
	if !reflect.DeepEqual(got.Handover, want) {
		t.Errorf("%+v", got.Handover)
	}
	if got, _, _ := decode(&durable.Recovered{Found: true, Records: all}); got.Handover != nil {
		t.Errorf("not intact: %+v", got.Handover)
	}
	addAccount(kindFinalAccount, limiter.AccountMemory{ID: 5, Spread: 3, First: 1, Balance: 3.25, Share: 0.125}, 0)
	addAccount(kindFinalAccount, limiter.AccountMemory{ID: 9, Spread: 2, Share: -1}, 0)
	if _, err := newAccountRecord(kindRunningAccount, &limiter.AccountMemory{Share: math.NaN()}, 0); err == nil {
		t.Error("NaN was encoded")
	}
	add(kindHandover, 0, handover{1, 3, settings.Plans, 5000, 2})
	found.Records, found.Clean = all, true
	if got, _, _ := decode(found); got.Handover == nil || got.Handover.HeadMs != 0 || len(got.Handover.Accounts) != 2 {
		t.Errorf("%+v", got.Handover)
	}
	found.Records = append(append([]durable.Record(nil), all[:len(all)-2]...), all[len(all)-1])
	if got, _, err := decode(found); err != nil || got.Handover != nil || len(got.Boxes) != 1 {
		t.Errorf("one account missing: %+v %v", got, err)
	}
	for i := range all {
		if i+1 < len(all) && all[i+1].Key == all[i].Key && all[i+1].Kind == all[i].Kind {
			continue // superseded by the next record
		}
		bad := append([]durable.Record(nil), all...)
		bad[i].Value = []byte("{")
		if _, _, err := decode(&durable.Recovered{Found: true, Records: bad}); err == nil {
			t.Errorf("record %d: no error", i)
		}
	}
	if got, _, err := decode(&durable.Recovered{Found: true, Clean: true, Records: append(all, durable.Record{Kind: 99, Value: []byte("{")})}); err != nil || got.Handover == nil {
		t.Errorf("record kind of a later version: %+v %v", got, err)
	}
}

// Folders written by older versions of the program stay readable.
func TestReadsOlderVersions(t *testing.T) {
	for _, c := range []struct {
		folder          string
		boxes, accounts int
	}{{"testdata/landing9/n0", 12, 20}} {
		v, err := Inspect(c.folder)
		must(t, err)
		if len(v) != 1 || v[0].Memory == nil || len(v[0].Memory.Boxes) != c.boxes || len(v[0].Classes) != 3 || v[0].Check() != nil {
			t.Fatalf("%s: %+v", c.folder, v)
		}
		down := 0
		for _, b := range v[0].Memory.Boxes {
			if b.Down {
				down++
			}
			if b.BackMs != 0 {
				t.Errorf("%s: a server is warming up although no file says so: %+v", c.folder, b)
			}
		}
		if v[0].Memory.Handover != nil || down != 11 {
			t.Errorf("%s: %d servers down, quotas %+v, which copied files must not restore", c.folder, down, v[0].Memory.Handover)
		}
		found := *v[0].Found
		found.Clean = true
		if m, _, err := decode(&found); err != nil || m.Handover == nil || len(m.Handover.Accounts) != c.accounts {
			t.Errorf("%s: %+v, %v", c.folder, m, err)
		}
	}
}

// BenchmarkDecode measures decoding the accounts at a start, after the folder has been read.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			found := &durable.Recovered{Found: true, Intact: true, Uptime: time.Hour}
			head, err := newJSONRecord(kindRunningHandover, 0, runningHandover{Balancers: 3, Plans: settings.Plans, KnownMs: 4000, HeadMs: 1500, UpMs: 9000})
			if err != nil {
				b.Fatal(err)
			}
			found.Records = append(found.Records, head)
			bytes := 0
			for id := range n {
				r, err := newAccountRecord(kindRunningAccount, &limiter.AccountMemory{ID: uint64(id), Spread: 3, First: 1, Balance: 3.251234, Share: -2.512345}, 9500.123)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(r.Value)
				found.Records = append(found.Records, r)
			}
			b.ReportAllocs()
			for b.Loop() {
				if m, _, err := decode(found); err != nil || len(m.Handover.Accounts) != n {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/account")
		})
	}
}
