package plugin

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/plugin/plugintest"
)

var (
	countImport = plugintest.Count
	logImport   = plugintest.Log
)

// refuses is advice to refuse, as it lies in a module's data.
var refuses = (&advice.Advice{Refuse: true, WaitMs: 300, Reason: "not now", Label: "test"}).Append(nil)

func load(t testing.TB, m []byte, o Options) *Plugin {
	t.Helper()
	if o.Name == "" {
		o.Name = "test"
	}
	if o.Limits.Call == 0 { // the machine may be busy
		o.Limits.Call = 10 * time.Second
	}
	p, err := Load(t.Context(), m, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	return p
}

// ask asks once an instance is free, if there is to be one.
func ask(t testing.TB, p *Plugin) (advice.Advice, error) {
	for len(p.free) == 0 && len(p.taken) > 0 {
		time.Sleep(time.Millisecond)
	}
	return p.Advise(&advice.Request{Account: 7, Units: 2, ClassName: "send-reminder", Path: "/v1/messages"}, 0)
}

// Modules that break off, lie or run on: each costs its own budget and is told for what it
// is, and the next request gets a clean instance.
func TestBadModules(t *testing.T) {
	want := map[string]error{"loops": ErrTime, "loops with a host call": ErrCalls, "random without end": ErrCalls, "loops in wasi": ErrTime, "recurses": ErrStack,
		"traps": ErrTrap, "divides by 0": ErrTrap, "reads beyond its memory": ErrTrap, "advice beyond memory": ErrBounds, "a length that overflows": ErrBounds,
		"advice too long": advice.ErrLayout, "advice of no size": advice.ErrLayout, "advice of version 9": advice.ErrVersion, "not UTF-8": advice.ErrText,
		"a key beyond memory": ErrBounds, "a log beyond memory": ErrBounds, "grows without end": ErrTime}
	for name, m := range plugintest.Bad() {
		want := want[name]
		if want == nil {
			t.Errorf("%s: no word on what is to become of it", name)
		}
		t.Run(name, func(t *testing.T) {
			limits := Limits{Call: 30 * time.Millisecond, Memory: 1 << 20}
			if !errors.Is(want, ErrTime) { // what ends by itself is to, however busy the machine is
				limits.Call = 10 * time.Second
			}
			p := load(t, m.Build(), Options{Limits: limits})
			for range 2 {
				a, err := ask(t, p)
				if !errors.Is(err, want) || a != (advice.Advice{}) {
					t.Errorf("%v, %+v", err, a)
				}
			}
			if n := p.Counts.Faults.Load(); n != 2 {
				t.Errorf("%d faults", n)
			}
		})
	}
}

// Modules that can't be loaded are refused with the reason.
func TestRefusedModules(t *testing.T) {
	sound := asm{}.Build()
	for name, c := range map[string]struct {
		m    []byte
		want error
	}{
		"empty":              {nil, ErrModule},
		"no module":          {[]byte("#!/bin/sh\n"), ErrModule},
		"cut off":            {sound[:len(sound)-3], ErrModule},
		"not valid":          {asm{Advise: constI32(1)}.Build(), ErrModule},
		"too large":          {make([]byte, 1<<20+1), ErrModule},
		"memory too large":   {asm{Pages: 100}.Build(), ErrModule},
		"imports files":      {asm{Imports: []imported{{From: "env", Name: "open", Params: []byte{i32}, Gives: []byte{i32}}}}.Build(), ErrImport},
		"imports unknown":    {asm{Imports: []imported{{From: hostModule, Name: "send", Params: []byte{i32}, Gives: nil}}}.Build(), ErrImport},
		"no memory":          {asm{Without: "memory"}.Build(), ErrExport},
		"no advise":          {asm{Without: exportAdvise}.Build(), ErrExport},
		"other types":        {asm{Wrong: true, Advise: none}.Build(), ErrExport},
		"ABI 2":              {asm{ABI: constI32(2)}.Build(), ErrVersion},
		"ABI traps":          {asm{ABI: trap}.Build(), ErrTrap},
		"input beyond":       {asm{Input: constI32(65_000)}.Build(), ErrBounds},
		"never starts":       {asm{Start: true, More: forever()}.Build(), ErrTime},
		"traps at its start": {asm{Start: true, More: trap}.Build(), ErrTrap},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := Load(t.Context(), c.m, Options{Name: "bad", Limits: Limits{Module: 1 << 20, Start: 50 * time.Millisecond, Memory: 1 << 20}})
			if !errors.Is(err, c.want) || !strings.Contains(err.Error(), "plug-in bad") {
				t.Errorf("%v", err)
			}
			if p != nil {
				t.Error("it is loaded")
			}
		})
	}
}

// Advice, counters that all instances share, the log within its budget, and the coarse
// clock come through.
func TestAdvises(t *testing.T) {
	p := load(t, asm{Advise: says(0, uint32(len(refuses))), Data: refuses}.Build(), Options{})
	if a, err := ask(t, p); err != nil || !a.Refuse || a.WaitMs != 300 || a.Reason != "not now" || a.Label != "test" {
		t.Errorf("%v %+v", err, a)
	}
	if a, err := ask(t, load(t, asm{}.Build(), Options{})); err != nil || a != (advice.Advice{}) {
		t.Errorf("no opinion: %v %+v", err, a)
	}
	var mu sync.Mutex
	var lines []string
	chatty := load(t, asm{Imports: []imported{logImport}, Advise: join(constI32(0), constI32(5), call(0), none), Data: []byte("a\nb\x1bc")}.Build(),
		Options{Now: func() time.Duration { return 5 * time.Second }, Limits: Limits{LogBytes: 20}, Log: func(l string) {
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, l)
		}})
	for range 50 {
		if _, err := ask(t, chatty); err != nil {
			t.Fatal(err)
		}
	}
	if len(lines) != 3 || lines[0] != "plug-in test says: a b c" {
		t.Errorf("%q", lines)
	}
	counts := load(t, asm{Imports: []imported{countImport}, Advise: join(constI32(0), constI32(3), constF64(1), constF64(1000), call(0), drop, none), Data: []byte("key")}.Build(), Options{})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 5 {
				for _, err := ask(t, counts); errors.Is(err, ErrBusy); _, err = ask(t, counts) {
				}
			}
		})
	}
	group.Wait()
	counts.mu.Lock()
	defer counts.mu.Unlock()
	if v := counts.counters.Add(counts.now(), []byte("key"), 0, time.Second); v < 30 || v > 40 {
		t.Errorf("40 calls counted as %v", v)
	}
}

// After faults in a row a plug-in is benched, tried once after a growing pause, and let back
// when that goes well or the operator says so.
func TestBenched(t *testing.T) {
	var mu sync.Mutex
	now := 10 * time.Second
	p := load(t, asm{Advise: trap}.Build(), Options{Now: func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return now
	}})
	for k := range 3 {
		if _, err := ask(t, p); !errors.Is(err, ErrTrap) {
			t.Fatalf("%d: %v", k, err)
		}
	}
	for range 5 {
		if _, err := ask(t, p); !errors.Is(err, ErrBenched) {
			t.Fatalf("after 3 faults: %v", err)
		}
	}
	mu.Lock()
	now += time.Second
	mu.Unlock()
	if _, err := ask(t, p); !errors.Is(err, ErrTrap) {
		t.Errorf("the trial: %v", err)
	}
	mu.Lock()
	now += time.Second
	mu.Unlock()
	if _, err := ask(t, p); !errors.Is(err, ErrBenched) {
		t.Errorf("a second after a failed trial: %v", err)
	}
	p.Reset()
	if _, err := ask(t, p); !errors.Is(err, ErrTrap) {
		t.Errorf("after a reset: %v", err)
	}
	if n := p.Counts.Faults.Load(); n != 5 {
		t.Errorf("%d faults", n)
	}
}

// A module that takes more memory at each call is thrown away when it has none left, and
// the next instance begins anew: others' requests lose one advice now and then, and it is
// not benched.
func TestLeakingModule(t *testing.T) {
	grow := join(constI32(1), []byte{0x40, 0x00}, constI32(-1), []byte{0x46, 0x04, 0x40}, trap, []byte{0x0b}, none)
	p := load(t, asm{Advise: grow}.Build(), Options{Limits: Limits{Memory: 1 << 20}, Wait: true})
	for range 100 {
		if _, err := ask(t, p); err != nil && !errors.Is(err, ErrTrap) {
			t.Fatal(err)
		}
	}
	if s := p.State(); s.Calls != 100 || s.Faults != 6 || s.BenchedFor > 0 || s.Skipped > 0 { // each 16th: 15 pages are left
		t.Errorf("%+v", s)
	}
}

// An unloaded plug-in waits for the calls in it and takes no more.
func TestClose(t *testing.T) {
	p := load(t, asm{Advise: join(forever(), none)}.Build(), Options{Limits: Limits{Call: 200 * time.Millisecond}})
	ended := make(chan error, 1)
	go func() {
		_, err := p.Advise(&advice.Request{}, 0)
		ended <- err
	}()
	for p.Counts.Calls.Load() == 0 || len(p.free) > 0 {
		time.Sleep(time.Millisecond) // until it is in the call
	}
	if err := p.Close(); err != nil {
		t.Error(err)
	}
	// The fault is counted inside the call; the goroutine that made it may not have run since.
	if n := p.Counts.Faults.Load(); n != 1 {
		t.Errorf("closed while a call was in it: %d faults", n)
	}
	if err := <-ended; !errors.Is(err, ErrTime) {
		t.Errorf("a loop ended with %v", err)
	}
	if _, err := ask(t, p); !errors.Is(err, ErrClosed) {
		t.Errorf("after its end: %v", err)
	}
}

// A call that was given less time than the plug-in is promised says nothing of it.
func TestCutShort(t *testing.T) {
	p := load(t, asm{Advise: join(forever(), none)}.Build(), Options{})
	for range 5 {
		for len(p.free) == 0 {
			time.Sleep(time.Millisecond)
		}
		if _, err := p.Advise(&advice.Request{}, 5*time.Millisecond); !errors.Is(err, ErrTime) {
			t.Fatal(err)
		}
	}
	if s := p.State(); s.Faults != 0 || s.BenchedFor != 0 || s.Calls != 5 {
		t.Errorf("%+v", s)
	}
}

// No more calls a second than it may have.
func TestCallsASecond(t *testing.T) {
	now := time.Second
	p := load(t, asm{}.Build(), Options{Now: func() time.Duration { return now }, Limits: Limits{PerSecond: 10}})
	asked := func() (n int) {
		for range 30 {
			switch _, err := p.Advise(&advice.Request{}, 0); {
			case err == nil:
				n++
			case !errors.Is(err, ErrBusy):
				t.Fatal(err)
			}
		}
		return n
	}
	if n := asked(); n != 10 {
		t.Errorf("%d of 30", n)
	}
	now += time.Second
	if n := asked(); n != 10 || p.State().Faults != 0 {
		t.Errorf("%d of 30 in the next second, %+v", n, p.State())
	}
}

// A body is shown where the manifest asks for it and the operator grants it.
func TestBody(t *testing.T) {
	wants := asm{Pages: 3, Wants: constI32(advice.WantsBody)}
	for name, c := range map[string]struct {
		m       asm
		granted bool
		want    bool
	}{"asked and granted": {wants, true, true}, "not granted": {wants, false, false}, "not asked": {asm{Pages: 3}, true, false}} {
		p := load(t, c.m.Build(), Options{Body: c.granted})
		if p.WantsBody() != c.want {
			t.Errorf("%s: %v", name, p.WantsBody())
		}
		whole := make([]byte, advice.MostBody)
		whole[len(whole)-1] = 9
		s := &advice.Subject{Whole: whole}
		r := s.For(&advice.Sight{Body: c.granted}, p.WantsBody())
		if _, err := p.Advise(r, 0); err != nil || (r.Body != nil) != c.want {
			t.Errorf("%s: %v, %d bytes", name, err, len(r.Body))
		}
		i := <-p.free
		seen, ok := i.memory.Read(i.input, uint32(len(i.buffer)))
		if !ok || (seen[len(seen)-1] == 9) != c.want || (len(seen) > advice.MostBody) != c.want {
			t.Errorf("%s: %d bytes in its memory", name, len(seen))
		}
		p.free <- i
	}
	if _, err := Load(t.Context(), asm{Wants: constI32(1)}.Build(), Options{Body: true, Limits: Limits{Memory: 64 << 10}}); !errors.Is(err, ErrBounds) {
		t.Errorf("no room for a body: %v", err)
	}
}

// With all instances taken a request does not wait.
func TestBusy(t *testing.T) {
	p := load(t, asm{Advise: join(forever(), none)}.Build(), Options{Limits: Limits{Call: 300 * time.Millisecond, Instances: 2}})
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			for {
				if _, err := p.Advise(&advice.Request{}, 0); !errors.Is(err, ErrBusy) {
					return // it was in the loop
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	for len(p.taken) < 2 || len(p.free) > 0 || p.Counts.Calls.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	if _, err := p.Advise(&advice.Request{}, 0); !errors.Is(err, ErrBusy) {
		t.Errorf("%v", err)
	}
	group.Wait()
}

func TestBreaker(t *testing.T) {
	var b Breaker
	allowed := func(now time.Duration) bool { return b.Allow(now) == Allowed }
	fail := func(now time.Duration) { b.Allow(now); b.Done(now, false) }
	for range 5 {
		if !allowed(0) { // many at once while nothing has failed
			t.Fatal("not allowed")
		}
	}
	b.Done(0, false)
	if b.Allow(0) != InTurn {
		t.Error("a second call at once after a fault")
	}
	for range 4 {
		b.Void() // the others say nothing
	}
	fail(0)
	allowed(0)
	b.Done(0, true) // one that goes well ends the row
	fail(0)
	allowed(0)
	b.Void() // and one that says nothing does not
	fail(0)
	if !allowed(0) {
		t.Error("benched after two faults")
	}
	b.Void()
	fail(0)
	if b.Allow(0) != OnBench {
		t.Error("not benched after three")
	}
	b.Reset()
	for range 3 {
		fail(time.Second)
	}
	pause := time.Second
	now := time.Second
	for range 9 {
		if allowed(now+pause-1) || !allowed(now+pause) || allowed(now+pause) {
			t.Fatalf("at a pause of %v", pause)
		}
		now += pause
		b.Done(now, false)
		pause = min(mostPause, 2*pause)
	}
	now += pause
	if !allowed(now) {
		t.Error("no trial")
	}
	b.Void() // its client left: that is no success
	if _, benched := b.Benched(); !benched {
		t.Error("let back by a trial that was not made")
	}
	if !allowed(now) || allowed(now) || !b.Done(now, true) || !allowed(now) {
		t.Error("not let back")
	}
	b.Done(now, true)
	for range 3 {
		b.Fault(now) // of starts
	}
	if b.Allow(now) != OnBench || b.out != 0 {
		t.Errorf("after three starts that failed: %+v", b)
	}
}

// BenchmarkAdvise is a call with no opinion, against a native callback.
func BenchmarkAdvise(b *testing.B) {
	r := &advice.Request{Account: 7, Units: 2, ClassName: "send-reminder", Method: "POST", Path: "/v1/messages"}
	b.Run("plug-in", func(b *testing.B) {
		p := load(b, asm{}.Build(), Options{Limits: Limits{PerSecond: 1 << 40}})
		b.ReportAllocs()
		for b.Loop() {
			if _, err := p.Advise(r, 0); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("native", func(b *testing.B) {
		rule := func(*advice.Request) advice.Advice { return advice.Advice{} }
		b.ReportAllocs()
		for b.Loop() {
			if rule(r).Refuse {
				b.Fatal("refused")
			}
		}
	})
}
