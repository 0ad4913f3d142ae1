package bounds_test

import (
	"context"
	"errors"
	"maps"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"

	"example.org/madderdrum/plugin/bounds"
	"example.org/madderdrum/plugin/plugintest"
)

// fn is a function of a module under test.
type fn struct {
	params, results int // of i32
	locals          byte
	code            []byte // without the final end
}

// module assembles a module from functions. The first is exported as run, and a table holds all.
func module(fns ...fn) []byte {
	vec := func(items ...[]byte) []byte {
		return append([]byte{byte(len(items))}, slices.Concat(items...)...)
	}
	section := func(id byte, body []byte) []byte {
		n := len(body)
		return append([]byte{id, byte(n&0x7f | 0x80), byte(n >> 7)}, body...)
	}
	var types, funcs, bodies, all [][]byte
	for k, f := range fns {
		i32s := func(n int) []byte { return append([]byte{byte(n)}, slices.Repeat([]byte{0x7f}, n)...) }
		types = append(types, slices.Concat([]byte{0x60}, i32s(f.params), i32s(f.results)))
		funcs = append(funcs, []byte{byte(k)})
		body := slices.Concat([]byte{1, f.locals, 0x7f}, f.code, []byte{0x0b})
		bodies = append(bodies, append([]byte{byte(len(body)&0x7f | 0x80), byte(len(body) >> 7)}, body...))
		all = append(all, []byte{byte(k)})
	}
	table := slices.Concat([]byte{1, 0x70, 0, byte(len(fns))})
	elements := slices.Concat([]byte{1, 0, 0x41, 0, 0x0b}, vec(all...))
	return slices.Concat([]byte("\x00asm\x01\x00\x00\x00"), section(1, vec(types...)), section(3, vec(funcs...)), section(4, table),
		section(7, vec(append([]byte{3, 'r', 'u', 'n'}, 0, 0))), section(9, elements), section(10, vec(bodies...)))
}

// run calls the export run and returns its results and the final value of the depth counter.
func run(t *testing.T, m []byte, args ...uint64) ([]uint64, uint64, error) {
	t.Helper()
	ctx := t.Context()
	r := wazero.NewRuntime(ctx)
	defer r.Close(ctx)
	x, err := r.Instantiate(ctx, m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := x.ExportedFunction("run").Call(ctx, args...)
	got = slices.Clone(got)
	left := uint64(0)
	if g := x.ExportedGlobal(bounds.DepthExport); g != nil {
		left = g.Get()
	}
	return got, left, err
}

// Encoded instructions.
var (
	get  = func(n byte) []byte { return []byte{0x20, n} }
	set  = func(n byte) []byte { return []byte{0x21, n} }
	num  = func(n int8) []byte { return []byte{0x41, byte(n) & 0x7f} }
	call = func(n byte) []byte { return []byte{0x10, n} }
	add  = []byte{0x6a}
	sub  = []byte{0x6b}
	ret  = []byte{0x0f}
	end  = []byte{0x0b}
)

// Rewritten functions that return from within blocks, loops and branches, with no result, one or
// several, return the same as before, and the counter is 0 at the end.
func TestSameMeaning(t *testing.T) {
	j := plugintest.Join
	fib := fn{1, 1, 1, j(get(0), num(2), []byte{0x49, 0x04, 0x40}, get(0), ret, end, // n < 2: return n
		get(0), num(1), sub, call(0), get(0), num(2), sub, call(0), add)}
	leaf := fn{1, 1, 0, j(get(0), num(3), []byte{0x6c})}
	for name, c := range map[string]struct {
		fns  []fn
		args []uint64
	}{
		"fibonacci":   {[]fn{fib}, []uint64{15}},
		"return last": {[]fn{{1, 1, 0, j(get(0), call(1), ret)}, leaf}, []uint64{5}},
		"several results": {[]fn{{1, 2, 0, j(get(0), call(1), num(7), get(0), []byte{0x04, 0x40}, // if n: return 3n, 7 from three blocks deep
			[]byte{0x02, 0x40, 0x03, 0x40}, num(1), num(2), ret, end, end, end)}, leaf}, []uint64{1}},
		"several, through":        {[]fn{{1, 2, 0, j(get(0), call(1), num(7), get(0), []byte{0x04, 0x40}, num(1), num(2), ret, end)}, leaf}, []uint64{0}},
		"no result":               {[]fn{{1, 0, 0, j(get(0), call(1), []byte{0x1a}, get(0), []byte{0x04, 0x40}, ret, end)}, leaf}, []uint64{1}},
		"branch out of function":  {[]fn{{1, 1, 1, j(get(0), call(1), set(1), []byte{0x02, 0x40}, get(1), get(0), []byte{0x0d, 1}, []byte{0x1a}, end, num(9))}, leaf}, []uint64{1}},
		"branch, through":         {[]fn{{1, 1, 1, j(get(0), call(1), set(1), []byte{0x02, 0x40}, get(1), get(0), []byte{0x0d, 1}, []byte{0x1a}, end, num(9))}, leaf}, []uint64{0}},
		"table of branches":       {[]fn{{1, 1, 1, j(get(0), call(1), set(1), []byte{0x02, 0x40, 0x02, 0x40}, get(1), get(0), []byte{0x0e, 1, 2, 2}, end, end, num(9))}, leaf}, []uint64{2}},
		"call by the table":       {[]fn{{1, 1, 0, j(get(0), num(1), []byte{0x11, 1, 0}, ret)}, leaf}, []uint64{4}},
		"code behind a return":    {[]fn{{1, 1, 0, j(get(0), call(1), ret, num(1), add, ret)}, leaf}, []uint64{4}},
		"a loop that calls often": {[]fn{{1, 1, 1, j([]byte{0x03, 0x40}, get(0), num(1), sub, []byte{0x22, 0}, call(1), set(1), get(0), []byte{0x0d, 0}, end, get(1))}, leaf}, []uint64{60}},
	} {
		m := module(c.fns...)
		want, _, err := run(t, m, c.args...)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		rewritten, err := bounds.Apply(m, 1<<20)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got, left, err := run(t, rewritten, c.args...)
		if err != nil || !slices.Equal(got, want) || left != 0 {
			t.Errorf("%s: %v, want %v; %d left; %v", name, got, want, left, err)
		}
	}
}

// Recursion traps at the limit and not below it: direct, mutual, through the table and with large
// frames.
func TestBound(t *testing.T) {
	j := plugintest.Join
	down := fn{1, 1, 0, j(get(0), []byte{0x45, 0x04, 0x40}, num(0), ret, end, get(0), num(1), sub, call(0))}
	m, err := bounds.Apply(module(down), 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	deepest := uint64(0)
	for n := uint64(1); n < 10_000; n++ {
		if _, left, err := run(t, m, n); err != nil {
			if left <= 64<<10 {
				t.Errorf("trapped at %d: %v", left, err)
			}
			deepest = n
			break
		}
	}
	if deepest < 100 || deepest > 64<<10/64 {
		t.Errorf("trapped at a depth of %d", deepest)
	}
	for name, fns := range map[string][]fn{
		"itself":       {{1, 1, 0, j(get(0), call(0))}},
		"in turns":     {{1, 1, 0, j(get(0), call(1))}, {1, 1, 0, j(get(0), call(0), ret)}},
		"by the table": {{1, 1, 0, j(get(0), num(0), []byte{0x11, 0, 0})}},
		"large frames": {{1, 1, 100, j(get(0), call(0))}},
	} {
		m, err := bounds.Apply(module(fns...), 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		if _, left, err := run(t, m, 1); err == nil || left <= 1<<20 || left > 1<<20+1<<10 {
			t.Errorf("%s: %v, %d", name, err, left)
		}
	}
}

// Tables grow up to their maximum and no further.
func TestTables(t *testing.T) {
	grow := fn{1, 1, 0, plugintest.Join([]byte{0xd0, 0x70}, get(0), []byte{0xfc, 15, 0})}
	m, err := bounds.Apply(module(grow), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for n, want := range map[uint64]uint32{1000: 1, 1 << 17: math.MaxUint32, 1 << 30: math.MaxUint32} {
		if got, _, err := run(t, m, n); err != nil || uint32(got[0]) != want {
			t.Errorf("by %d: %d, want %d: %v", n, uint32(got[0]), want, err)
		}
	}
}

// Malformed modules and those with unsupported instructions are refused.
func TestRefused(t *testing.T) {
	sound := module(fn{1, 1, 0, plugintest.Join(get(0), call(0))})
	for name, c := range map[string]struct {
		m    []byte
		want error
	}{
		"empty":          {nil, bounds.ErrLayout},
		"text":           {[]byte("#!/bin/sh\necho\n"), bounds.ErrLayout},
		"cut off":        {sound[:len(sound)-4], bounds.ErrLayout},
		"a tail call":    {module(fn{1, 1, 0, plugintest.Join(get(0), []byte{0x12, 0})}), bounds.ErrOpcode},
		"an atomic":      {module(fn{1, 1, 0, plugintest.Join(get(0), []byte{0xfe, 0x03, 0})}), bounds.ErrOpcode},
		"no end":         {module(fn{1, 1, 0, []byte{0x02, 0x40}}), bounds.ErrLayout},
		"too many ends":  {module(fn{1, 1, 0, plugintest.Join(get(0), end, end)}), bounds.ErrLayout},
		"many exports":   {[]byte("\x00asm\x01\x00\x00\x00\x07\x06\xff\xff\xff\xff\x0f\x00"), bounds.ErrLayout},
		"many elements":  {[]byte("\x00asm\x01\x00\x00\x00\x09\x0a\x01\x00\x41\x00\x0b\xff\xff\xff\xff\x0f"), bounds.ErrLayout},
		"much data":      {[]byte("\x00asm\x01\x00\x00\x00\x0b\x0a\x01\x00\x41\x00\x0b\xff\xff\xff\xff\x0f"), bounds.ErrLayout},
		"a large table":  {[]byte("\x00asm\x01\x00\x00\x00\x04\x08\x01\x70\x00\xff\xff\xff\xff\x0f"), bounds.ErrLayout},
		"a section more": {append(slices.Clone(sound), 10, 1, 0), bounds.ErrLayout},
	} {
		if _, err := bounds.Apply(c.m, 1<<20); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// FuzzApply checks that Apply does not panic and that a module which the engine accepts is still
// accepted after the rewriting.
func FuzzApply(f *testing.F) {
	for _, name := range slices.Sorted(maps.Keys(plugintest.Bad())) {
		f.Add(plugintest.Bad()[name].Build())
	}
	f.Add(module(fn{1, 2, 3, plugintest.Join(get(0), call(0), ret)}, fn{1, 1, 0, get(0)}))
	ctx := context.Background()
	r := wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfigInterpreter().WithMemoryLimitPages(16))
	f.Fuzz(func(t *testing.T, m []byte) {
		rewritten, err := bounds.Apply(m, 1<<20)
		if err != nil { // keep it from the engine, which allocates by unchecked counts
			return
		}
		x, compileErr := r.CompileModule(ctx, m)
		if compileErr != nil {
			return
		}
		defer x.Close(ctx)
		y, err := r.CompileModule(ctx, rewritten)
		if err != nil && !strings.Contains(err.Error(), "duplicate") && !strings.Contains(err.Error(), "already") {
			t.Fatalf("invalid after the rewriting: %v", err)
		}
		if err == nil {
			y.Close(ctx)
		}
	})
}

// BenchmarkApply measures recursive calls of a small function with and without the limit, and the
// rewriting of a module built by the Go tool chain.
func BenchmarkApply(b *testing.B) {
	fib := module(fn{1, 1, 1, plugintest.Join(get(0), num(2), []byte{0x49, 0x04, 0x40}, get(0), ret, end,
		get(0), num(1), sub, call(0), get(0), num(2), sub, call(0), add)})
	rewritten, err := bounds.Apply(fib, 1<<20)
	if err != nil {
		b.Fatal(err)
	}
	for name, m := range map[string][]byte{"fibonacci without": fib, "fibonacci with": rewritten} {
		b.Run(name, func(b *testing.B) {
			ctx := b.Context()
			r := wazero.NewRuntime(ctx)
			defer r.Close(ctx)
			x, err := r.Instantiate(ctx, m)
			if err != nil {
				b.Fatal(err)
			}
			run := x.ExportedFunction("run")
			for b.Loop() {
				if _, err := run.Call(ctx, 20); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("rewriting", func(b *testing.B) {
		m := friday(b)
		b.SetBytes(int64(len(m)))
		for b.Loop() {
			if _, err := bounds.Apply(m, 4<<20); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// friday builds the Friday example with the SDK and returns the module.
func friday(t testing.TB) []byte {
	path := filepath.Join(t.TempDir(), "friday.wasm")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-o", path, "example.org/madderdrum/examples/plugins/friday")
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	m, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// A module built by the Go tool chain, with its whole runtime, can still be loaded and started
// after the rewriting.
func TestGoModule(t *testing.T) {
	m, err := bounds.Apply(friday(t), 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	r := wazero.NewRuntime(ctx)
	defer r.Close(ctx)
	wasi_snapshot_preview1.MustInstantiate(ctx, r)
	b := r.NewHostModuleBuilder("madderdrum")
	b.NewFunctionBuilder().WithFunc(func(context.Context, uint32, uint32, float64, float64) float64 { return 0 }).Export("count")
	if _, err := b.Instantiate(ctx); err != nil {
		t.Fatal(err)
	}
	x, err := r.InstantiateWithConfig(ctx, m, wazero.NewModuleConfig().WithStartFunctions("_initialize"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := x.ExportedFunction("madderdrum_abi").Call(ctx); err != nil || got[0] != 1 {
		t.Errorf("%v %v", got, err)
	}
}
