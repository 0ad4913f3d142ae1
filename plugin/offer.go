package plugin

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"

	"example.org/madderdrum/advice"
)

// hostFunctions lists the functions that a module may import from hostModule.
var hostFunctions = []string{"count", "log", "now", "random"}

// clockStep is the resolution of the clock that plug-ins can read.
const clockStep = 100 * time.Millisecond

// maxLogLineBytes is the length at which one log line of a plug-in is cut.
const maxLogLineBytes = 256

// instantiateHostFunctions makes the host functions available to the module:
//
//	count(key i32, size i32, amount f64, half_life_ms f64) -> f64
//	log(text i32, size i32)
//	now() -> i64       ms since an arbitrary start, in steps of 100
//	random() -> i64    from a generator seeded by Options.Seed
func (p *Plugin) instantiateHostFunctions(ctx context.Context) error {
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, p.runtime); err != nil {
		return fmt.Errorf("wasi: %w", err)
	}
	b := p.runtime.NewHostModuleBuilder(hostModule)
	b.NewFunctionBuilder().WithFunc(func(ctx context.Context, m api.Module, key, size uint32, amount, halfLifeMs float64) float64 {
		data := p.readMemory(ctx, m, key, size)
		ms := max(0, min(halfLifeMs, float64(advice.MostHalf/time.Millisecond)))
		if math.IsNaN(ms) {
			ms = 0
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.counters.Add(p.now(), data, amount, time.Duration(ms*float64(time.Millisecond)))
	}).Export("count")
	b.NewFunctionBuilder().WithFunc(func(ctx context.Context, m api.Module, text, size uint32) {
		p.logLine(p.readMemory(ctx, m, text, size))
	}).Export("log")
	b.NewFunctionBuilder().WithFunc(func(ctx context.Context) int64 {
		countHostCall(ctx, p.limits.HostCalls)
		return int64(p.now().Truncate(clockStep) / time.Millisecond)
	}).Export("now")
	b.NewFunctionBuilder().WithFunc(func(ctx context.Context) uint64 {
		countHostCall(ctx, p.limits.HostCalls)
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.rng.Uint64()
	}).Export("random")
	if _, err := b.Instantiate(ctx); err != nil {
		return fmt.Errorf("host functions: %w", err)
	}
	return nil
}

// countHostCall counts a host call and panics above the limit. wazero recovers the panic and
// returns it as the error of the module's call.
func countHostCall(ctx context.Context, limit int) {
	if i, ok := ctx.Value(instanceKey{}).(*instance); ok {
		if i.hostCalls++; i.hostCalls > limit {
			panic(ErrCalls)
		}
	}
}

// readMemory returns the bytes of the module's memory at an address that the module passed.
func (p *Plugin) readMemory(ctx context.Context, m api.Module, at, size uint32) []byte {
	countHostCall(ctx, p.limits.HostCalls)
	data, ok := m.Memory().Read(at, size)
	if !ok {
		panic(ErrBounds)
	}
	return data
}

// logLine logs a line of the plug-in, without control characters, while the log budget lasts.
func (p *Plugin) logLine(text []byte) {
	text = text[:min(len(text), maxLogLineBytes)]
	p.mu.Lock()
	within := p.logWindow.allow(p.now(), len(text)+1, p.limits.LogBytes)
	p.mu.Unlock()
	if !within {
		return
	}
	line := strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == utf8.RuneError {
			return ' '
		}
		return r
	}, string(text))
	p.log("plug-in " + p.name + " says: " + line)
}
