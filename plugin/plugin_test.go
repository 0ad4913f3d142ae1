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

// refusalAdvice is encoded advice to refuse, for the data section of a module.
var refusalAdvice = (&advice.Advice{Refuse: true, WaitMs: 300, Reason: "not now", Label: "test"}).Append(nil)

// load loads a module and closes it when the test ends.
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

// adviseWhenIdle waits for an idle instance, if one is starting, and calls the plug-in.
func adviseWhenIdle(t testing.TB, p *Plugin) (advice.Advice, error) {
	for len(p.idle) == 0 && len(p.slots) > 0 {
		time.Sleep(time.Millisecond)
	}
	return p.Advise(&advice.Request{Account: 7, Units: 2, ClassName: "send-reminder", Path: "/v1/messages"}, 0)
}

// Modules that trap, return invalid advice or exceed their budget: each fails with the matching
// error within its own budget, and the next request gets a new instance.
func TestBadModules(t *testing.T) {
	want := map[string]error{"loops": ErrTime, "loops with a host call": ErrCalls, "random without end": ErrCalls, "loops in wasi": ErrTime, "recurses": ErrStack,
		"traps": ErrTrap, "divides by 0": ErrTrap, "reads beyond its memory": ErrTrap, "advice beyond memory": ErrBounds, "a length that overflows": ErrBounds,
		"advice too long": advice.ErrLayout, "advice of no size": advice.ErrLayout, "advice of version 9": advice.ErrVersion, "not UTF-8": advice.ErrText,
		"a key beyond memory": ErrBounds, "a log beyond memory": ErrBounds, "grows without end": ErrTime}
	for name, m := range plugintest.Bad() {
		want := want[name]
		if want == nil {
			t.Errorf("%s: no expected error in the list", name)
		}
		t.Run(name, func(t *testing.T) {
			limits := Limits{Call: 30 * time.Millisecond, Memory: 1 << 20}
			if !errors.Is(want, ErrTime) { // modules that end by themselves must not time out on a busy machine
				limits.Call = 10 * time.Second
			}
			p := load(t, m.Build(), Options{Limits: limits})
			for range 2 {
				a, err := adviseWhenIdle(t, p)
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

// A module that can't be loaded is refused with the matching error and the plug-in's name.
func TestRefusedModules(t *testing.T) {
	sound := testModule{}.Build()
	for name, c := range map[string]struct {
		m    []byte
		want error
	}{
		"empty":              {nil, ErrModule},
		"no module":          {[]byte("#!/bin/sh\n"), ErrModule},
		"cut off":            {sound[:len(sound)-3], ErrModule},
		"not valid":          {testModule{Advise: constI32(1)}.Build(), ErrModule},
		"too large":          {make([]byte, 1<<20+1), ErrModule},
		"memory too large":   {testModule{Pages: 100}.Build(), ErrModule},
		"imports files":      {testModule{Imports: []testImport{{From: "env", Name: "open", Params: []byte{i32}, Results: []byte{i32}}}}.Build(), ErrImport},
		"imports unknown":    {testModule{Imports: []testImport{{From: hostModule, Name: "send", Params: []byte{i32}, Results: nil}}}.Build(), ErrImport},
		"no memory":          {testModule{OmitExport: "memory"}.Build(), ErrExport},
		"no advise":          {testModule{OmitExport: exportAdvise}.Build(), ErrExport},
		"other types":        {testModule{WrongTypes: true, Advise: noOpinion}.Build(), ErrExport},
		"ABI 2":              {testModule{ABI: constI32(2)}.Build(), ErrVersion},
		"ABI traps":          {testModule{ABI: trap}.Build(), ErrTrap},
		"input beyond":       {testModule{Input: constI32(65_000)}.Build(), ErrBounds},
		"never starts":       {testModule{Start: true, Extra: forever()}.Build(), ErrTime},
		"traps at its start": {testModule{Start: true, Extra: trap}.Build(), ErrTrap},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := Load(t.Context(), c.m, Options{Name: "bad", Limits: Limits{Module: 1 << 20, Start: 50 * time.Millisecond, Memory: 1 << 20}})
			if !errors.Is(err, c.want) || !strings.Contains(err.Error(), "plug-in bad") {
				t.Errorf("%v", err)
			}
			if p != nil {
				t.Error("Load returned a plug-in with an error")
			}
		})
	}
}

// Advice is returned, log lines are sanitized and limited to their budget, and all instances
// share the counters.
func TestAdvises(t *testing.T) {
	p := load(t, testModule{Advise: returnAdvice(0, uint32(len(refusalAdvice))), Data: refusalAdvice}.Build(), Options{})
	if a, err := adviseWhenIdle(t, p); err != nil || !a.Refuse || a.WaitMs != 300 || a.Reason != "not now" || a.Label != "test" {
		t.Errorf("%v %+v", err, a)
	}
	if a, err := adviseWhenIdle(t, load(t, testModule{}.Build(), Options{})); err != nil || a != (advice.Advice{}) {
		t.Errorf("module without advice: %v %+v", err, a)
	}
	var mu sync.Mutex
	var lines []string
	chatty := load(t, testModule{Imports: []testImport{logImport}, Advise: join(constI32(0), constI32(5), call(0), noOpinion), Data: []byte("a\nb\x1bc")}.Build(),
		Options{Now: func() time.Duration { return 5 * time.Second }, Limits: Limits{LogBytes: 20}, Log: func(l string) {
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, l)
		}})
	for range 50 {
		if _, err := adviseWhenIdle(t, chatty); err != nil {
			t.Fatal(err)
		}
	}
	if len(lines) != 3 || lines[0] != "plug-in test says: a b c" {
		t.Errorf("%q", lines)
	}
	counts := load(t, testModule{Imports: []testImport{countImport}, Advise: join(constI32(0), constI32(3), constF64(1), constF64(1000), call(0), drop, noOpinion), Data: []byte("key")}.Build(), Options{})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 5 {
				for _, err := adviseWhenIdle(t, counts); errors.Is(err, ErrBusy); _, err = adviseWhenIdle(t, counts) {
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

// A plug-in is benched after consecutive faults and gets one trial call after a pause. A failed
// trial benches it again, and a reset by the operator reinstates it.
func TestBenched(t *testing.T) {
	var mu sync.Mutex
	now := 10 * time.Second
	p := load(t, testModule{Advise: trap}.Build(), Options{Now: func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return now
	}})
	for k := range 3 {
		if _, err := adviseWhenIdle(t, p); !errors.Is(err, ErrTrap) {
			t.Fatalf("%d: %v", k, err)
		}
	}
	for range 5 {
		if _, err := adviseWhenIdle(t, p); !errors.Is(err, ErrBenched) {
			t.Fatalf("after 3 faults: %v", err)
		}
	}
	mu.Lock()
	now += time.Second
	mu.Unlock()
	if _, err := adviseWhenIdle(t, p); !errors.Is(err, ErrTrap) {
		t.Errorf("the trial: %v", err)
	}
	mu.Lock()
	now += time.Second
	mu.Unlock()
	if _, err := adviseWhenIdle(t, p); !errors.Is(err, ErrBenched) {
		t.Errorf("a second after a failed trial: %v", err)
	}
	p.Reset()
	if _, err := adviseWhenIdle(t, p); !errors.Is(err, ErrTrap) {
		t.Errorf("after a reset: %v", err)
	}
	if n := p.Counts.Faults.Load(); n != 5 {
		t.Errorf("%d faults", n)
	}
}

// A module that leaks memory traps when its memory is exhausted and continues in a new instance.
// Single requests lose its advice then, but it is not benched.
func TestLeakingModule(t *testing.T) {
	grow := join(constI32(1), []byte{0x40, 0x00}, constI32(-1), []byte{0x46, 0x04, 0x40}, trap, []byte{0x0b}, noOpinion)
	p := load(t, testModule{Advise: grow}.Build(), Options{Limits: Limits{Memory: 1 << 20}, Wait: true})
	for range 100 {
		if _, err := adviseWhenIdle(t, p); err != nil && !errors.Is(err, ErrTrap) {
			t.Fatal(err)
		}
	}
	if s := p.State(); s.Calls != 100 || s.Faults != 6 || s.BenchedFor > 0 || s.Skipped > 0 { // every 16th call fails: 15 pages are left to grow
		t.Errorf("%+v", s)
	}
}

// Close waits for the running calls and rejects new ones.
func TestClose(t *testing.T) {
	p := load(t, testModule{Advise: join(forever(), noOpinion)}.Build(), Options{Limits: Limits{Call: 200 * time.Millisecond}})
	ended := make(chan error, 1)
	go func() {
		_, err := p.Advise(&advice.Request{}, 0)
		ended <- err
	}()
	for p.Counts.Calls.Load() == 0 || len(p.idle) > 0 {
		time.Sleep(time.Millisecond) // until the call is running
	}
	if err := p.Close(); err != nil {
		t.Error(err)
	}
	// The fault is counted within the call; the calling goroutine may not have continued yet.
	if n := p.Counts.Faults.Load(); n != 1 {
		t.Errorf("closed during a call: %d faults", n)
	}
	if err := <-ended; !errors.Is(err, ErrTime) {
		t.Errorf("the endless loop ended with %v", err)
	}
	if _, err := adviseWhenIdle(t, p); !errors.Is(err, ErrClosed) {
		t.Errorf("call after Close: %v", err)
	}
}

// A timeout under a budget shorter than the plug-in's own limit is not counted as its fault.
func TestCutShort(t *testing.T) {
	p := load(t, testModule{Advise: join(forever(), noOpinion)}.Build(), Options{})
	for range 5 {
		for len(p.idle) == 0 {
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

// Calls above the limit per second fail with ErrBusy and are not faults.
func TestCallsASecond(t *testing.T) {
	now := time.Second
	p := load(t, testModule{}.Build(), Options{Now: func() time.Duration { return now }, Limits: Limits{PerSecond: 10}})
	allowedOf30 := func() (n int) {
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
	if n := allowedOf30(); n != 10 {
		t.Errorf("%d of 30", n)
	}
	now += time.Second
	if n := allowedOf30(); n != 10 || p.State().Faults != 0 {
		t.Errorf("%d of 30 in the next second, %+v", n, p.State())
	}
}

// A plug-in gets the body only if its manifest asks for it and the operator grants it.
func TestBody(t *testing.T) {
	wants := testModule{Pages: 3, Wants: constI32(advice.WantsBody)}
	for name, c := range map[string]struct {
		m       testModule
		granted bool
		want    bool
	}{"asked and granted": {wants, true, true}, "not granted": {wants, false, false}, "not asked": {testModule{Pages: 3}, true, false}} {
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
		i := <-p.idle
		seen, ok := i.memory.Read(i.inputAddress, uint32(len(i.buffer)))
		if !ok || (seen[len(seen)-1] == 9) != c.want || (len(seen) > advice.MostBody) != c.want {
			t.Errorf("%s: %d bytes in its memory", name, len(seen))
		}
		p.idle <- i
	}
	if _, err := Load(t.Context(), testModule{Wants: constI32(1)}.Build(), Options{Body: true, Limits: Limits{Memory: 64 << 10}}); !errors.Is(err, ErrBounds) {
		t.Errorf("memory too small for a body: %v", err)
	}
}

// With all instances in use a request fails with ErrBusy instead of waiting.
func TestBusy(t *testing.T) {
	p := load(t, testModule{Advise: join(forever(), noOpinion)}.Build(), Options{Limits: Limits{Call: 300 * time.Millisecond, Instances: 2}})
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			for {
				if _, err := p.Advise(&advice.Request{}, 0); !errors.Is(err, ErrBusy) {
					return // this call ran until its timeout
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	for len(p.slots) < 2 || len(p.idle) > 0 || p.Counts.Calls.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	if _, err := p.Advise(&advice.Request{}, 0); !errors.Is(err, ErrBusy) {
		t.Errorf("%v", err)
	}
	group.Wait()
}

// The breaker serializes calls after a fault, benches after three consecutive faults, doubles the
// pause after each failed trial up to maxPause, and ignores cancelled calls.
func TestBreaker(t *testing.T) {
	var b Breaker
	allowed := func(now time.Duration) bool { return b.Allow(now) == Allowed }
	fail := func(now time.Duration) { b.Allow(now); b.Done(now, false) }
	for range 5 {
		if !allowed(0) { // concurrent calls are allowed while nothing has failed
			t.Fatal("not allowed")
		}
	}
	b.Done(0, false)
	if b.Allow(0) != DeniedPending {
		t.Error("a second concurrent call is allowed after a fault")
	}
	for range 4 {
		b.Cancel() // the other calls end without a result
	}
	fail(0)
	allowed(0)
	b.Done(0, true) // a success resets the consecutive faults
	fail(0)
	allowed(0)
	b.Cancel() // a cancelled call does not
	fail(0)
	if !allowed(0) {
		t.Error("benched after two faults")
	}
	b.Cancel()
	fail(0)
	if b.Allow(0) != DeniedBenched {
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
			t.Fatalf("wrong decision around the end of a pause of %v", pause)
		}
		now += pause
		b.Done(now, false)
		pause = min(maxPause, 2*pause)
	}
	now += pause
	if !allowed(now) {
		t.Error("no trial call after the pause")
	}
	b.Cancel() // its client disconnected: not a success
	if _, benched := b.Benched(); !benched {
		t.Error("reinstated by a cancelled trial")
	}
	if !allowed(now) || allowed(now) || !b.Done(now, true) || !allowed(now) {
		t.Error("not reinstated by a successful trial")
	}
	b.Done(now, true)
	for range 3 {
		b.Fault(now) // failed starts
	}
	if b.Allow(now) != DeniedBenched || b.inFlight != 0 {
		t.Errorf("after three failed starts: %+v", b)
	}
}

// BenchmarkAdvise compares a call that returns no advice with a native callback.
func BenchmarkAdvise(b *testing.B) {
	r := &advice.Request{Account: 7, Units: 2, ClassName: "send-reminder", Method: "POST", Path: "/v1/messages"}
	b.Run("plug-in", func(b *testing.B) {
		p := load(b, testModule{}.Build(), Options{Limits: Limits{PerSecond: 1 << 40}})
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
