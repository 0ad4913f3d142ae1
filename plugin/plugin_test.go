package plugin

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/madderdrum/advice"
)

var (
	countImport  = imported{hostModule, "count", []byte{i32, i32, f64, f64}, []byte{f64}}
	logImport    = imported{hostModule, "log", []byte{i32, i32}, nil}
	nowImport    = imported{hostModule, "now", nil, []byte{i64}}
	randomImport = imported{hostModule, "random", nil, []byte{i64}}
)

// refuses is advice to refuse, as it lies in a module's data.
var refuses = (&advice.Advice{Refuse: true, WaitMs: 300, Reason: "not now", Label: "test"}).Append(nil)

// errEither stands for a module that ends by whichever budget it meets first: that of its
// stack or of its time.
var errEither = errors.New("past its stack or its time")

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
	return p.Advise(t.Context(), &advice.Request{Account: 7, Units: 2, ClassName: "send-reminder", Path: "/v1/messages"})
}

// Modules that break off, lie or run on: each costs its own budget and is told for what it
// is, and the next request gets a clean instance.
func TestBadModules(t *testing.T) {
	pages := func(n int32) []byte { return join(constI32(n), []byte{0x40, 0x00}, drop) }
	for name, c := range map[string]struct {
		m    asm
		want error
	}{
		"loops":                   {asm{advise: join(forever(), none)}, ErrTime},
		"loops with a host call":  {asm{imports: []imported{nowImport}, advise: join(forever(call(0), drop), none)}, ErrCalls},
		"random without end":      {asm{imports: []imported{randomImport}, advise: join(forever(call(0), drop), none)}, ErrCalls},
		"loops in wasi":           {asm{imports: []imported{{wasiModule, "sched_yield", nil, []byte{i32}}}, advise: join(forever(call(0), drop), none)}, ErrTime},
		"recurses":                {asm{advise: join(call(3), none), more: call(3)}, errEither},
		"traps":                   {asm{advise: trap}, ErrTrap},
		"divides by 0":            {asm{advise: join(constI64(1), constI64(0), []byte{0x7f})}, ErrTrap},
		"reads beyond its memory": {asm{advise: join(constI32(-8), []byte{0x29, 0x03, 0x00})}, ErrTrap},
		"advice beyond memory":    {asm{advise: says(0xffff_fff0, 64)}, ErrBounds},
		"a length that overflows": {asm{advise: says(0xffff_ffff, 0xffff_ffff)}, ErrBounds},
		"advice too long":         {asm{advise: says(0, 60_000)}, advice.ErrLayout},
		"advice of no size":       {asm{advise: says(16, 0)}, advice.ErrLayout},
		"advice of version 9":     {asm{advise: says(0, 32), data: append([]byte{9, 0, 32, 0}, make([]byte, 28)...)}, advice.ErrVersion},
		"not UTF-8":               {asm{advise: says(0, 34), data: (&advice.Advice{Label: "\xff\xfe"}).Append(nil)}, advice.ErrText},
		"a key beyond memory":     {asm{imports: []imported{countImport}, advise: join(constI32(-1), constI32(10), constF64(1), constF64(1), call(0), drop, none)}, ErrBounds},
		"a log beyond memory":     {asm{imports: []imported{logImport}, advise: join(constI32(0x7fff_ffff), constI32(0x7fff_ffff), call(0), none)}, ErrBounds},
		"grows without end":       {asm{advise: join(forever(pages(1)), none)}, ErrTime},
	} {
		t.Run(name, func(t *testing.T) {
			p := load(t, c.m.build(), Options{Limits: Limits{Call: 30 * time.Millisecond, Memory: 1 << 20}})
			for range 2 {
				a, err := ask(t, p)
				if !errors.Is(err, c.want) && !(c.want == errEither && (errors.Is(err, ErrTime) || errors.Is(err, ErrTrap))) || a != (advice.Advice{}) {
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
	sound := asm{}.build()
	for name, c := range map[string]struct {
		m    []byte
		want error
	}{
		"empty":              {nil, ErrModule},
		"no module":          {[]byte("#!/bin/sh\n"), ErrModule},
		"cut off":            {sound[:len(sound)-3], ErrModule},
		"not valid":          {asm{advise: constI32(1)}.build(), ErrModule},
		"too large":          {make([]byte, 1<<20+1), ErrModule},
		"memory too large":   {asm{pages: 100}.build(), ErrModule},
		"imports files":      {asm{imports: []imported{{"env", "open", []byte{i32}, []byte{i32}}}}.build(), ErrImport},
		"imports unknown":    {asm{imports: []imported{{hostModule, "send", []byte{i32}, nil}}}.build(), ErrImport},
		"no memory":          {asm{without: "memory"}.build(), ErrExport},
		"no advise":          {asm{without: exportAdvise}.build(), ErrExport},
		"other types":        {asm{wrong: true, advise: none}.build(), ErrExport},
		"ABI 2":              {asm{abi: constI32(2)}.build(), ErrVersion},
		"ABI traps":          {asm{abi: trap}.build(), ErrTrap},
		"input beyond":       {asm{input: constI32(65_000)}.build(), ErrBounds},
		"never starts":       {asm{start: true, more: forever()}.build(), ErrTime},
		"traps at its start": {asm{start: true, more: trap}.build(), ErrTrap},
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
	p := load(t, asm{advise: says(0, uint32(len(refuses))), data: refuses}.build(), Options{})
	if a, err := ask(t, p); err != nil || !a.Refuse || a.WaitMs != 300 || a.Reason != "not now" || a.Label != "test" {
		t.Errorf("%v %+v", err, a)
	}
	if a, err := ask(t, load(t, asm{}.build(), Options{})); err != nil || a != (advice.Advice{}) {
		t.Errorf("no opinion: %v %+v", err, a)
	}
	var mu sync.Mutex
	var lines []string
	chatty := load(t, asm{imports: []imported{logImport}, advise: join(constI32(0), constI32(5), call(0), none), data: []byte("a\nb\x1bc")}.build(),
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
	counts := load(t, asm{imports: []imported{countImport}, advise: join(constI32(0), constI32(3), constF64(1), constF64(1000), call(0), drop, none), data: []byte("key")}.build(), Options{})
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
	p := load(t, asm{advise: trap}.build(), Options{Now: func() time.Duration {
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

// A client that goes away ends the call, which is no fault; an unloaded plug-in waits for
// the calls in it and takes no more.
func TestLeaveAndClose(t *testing.T) {
	p := load(t, asm{advise: join(forever(), none)}.build(), Options{Limits: Limits{Call: 10 * time.Second}})
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := p.Advise(ctx, &advice.Request{})
		ended <- err
	}()
	for p.Counts.Calls.Load() == 0 || len(p.free) > 0 {
		time.Sleep(time.Millisecond) // until it is in the call
	}
	leave()
	if err := <-ended; err == nil {
		t.Error("advice from a loop")
	}
	if n := p.Counts.Faults.Load(); n != 0 {
		t.Errorf("%d faults", n)
	}
	if err := p.Close(); err != nil {
		t.Error(err)
	}
	if _, err := ask(t, p); !errors.Is(err, ErrClosed) {
		t.Errorf("after its end: %v", err)
	}
}

// With all instances taken a request does not wait.
func TestBusy(t *testing.T) {
	p := load(t, asm{advise: join(forever(), none)}.build(), Options{Limits: Limits{Call: 300 * time.Millisecond, Instances: 2}})
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			for {
				if _, err := p.Advise(t.Context(), &advice.Request{}); !errors.Is(err, ErrBusy) {
					return // it was in the loop
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	for len(p.taken) < 2 || len(p.free) > 0 || p.Counts.Calls.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	if _, err := p.Advise(t.Context(), &advice.Request{}); !errors.Is(err, ErrBusy) {
		t.Errorf("%v", err)
	}
	group.Wait()
}

func TestBreaker(t *testing.T) {
	var b Breaker
	fail := func(now time.Duration) { b.Allow(now); b.Done(now, false) }
	fail(0)
	fail(0)
	b.Done(0, true) // one that goes well ends the row
	fail(0)
	b.Void() // and one that says nothing does not
	fail(0)
	if !b.Allow(0) {
		t.Error("benched after two faults")
	}
	fail(0)
	if b.Allow(0) {
		t.Error("not benched after three")
	}
	b.Reset()
	for range 3 {
		fail(time.Second)
	}
	pause := time.Second
	now := time.Second
	for range 9 {
		if b.Allow(now+pause-1) || !b.Allow(now+pause) || b.Allow(now+pause) {
			t.Fatalf("at a pause of %v", pause)
		}
		now += pause
		b.Done(now, false)
		pause = min(mostPause, 2*pause)
	}
	now += pause
	if !b.Allow(now) {
		t.Error("no trial")
	}
	b.Void() // its client left: that is no success
	if _, benched := b.Benched(); !benched {
		t.Error("let back by a trial that was not made")
	}
	if !b.Allow(now) || b.Allow(now) || !b.Done(now, true) || !b.Allow(now) {
		t.Error("not let back")
	}
}

// BenchmarkAdvise is a call with no opinion, against a native callback.
func BenchmarkAdvise(b *testing.B) {
	r := &advice.Request{Account: 7, Units: 2, ClassName: "send-reminder", Method: "POST", Path: "/v1/messages"}
	b.Run("plug-in", func(b *testing.B) {
		p := load(b, asm{}.build(), Options{})
		b.ReportAllocs()
		for b.Loop() {
			if _, err := p.Advise(b.Context(), r); err != nil {
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
