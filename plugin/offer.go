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

// hostFunctions are what a module may import from hostModule.
var hostFunctions = []string{"count", "log", "now", "random"}

// clockStep is how coarse the plug-ins' clock is.
const clockStep = 100 * time.Millisecond

// mostLine bounds one line of a plug-in's log, in bytes.
const mostLine = 256

// offer instantiates the host functions:
//
//	count(key i32, size i32, amount f64, half_life_ms f64) -> f64
//	log(text i32, size i32)
//	now() -> i64       ms since an arbitrary start, in steps of 100
//	random() -> i64    by the seed of the load
func (p *Plugin) offer(ctx context.Context) error {
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, p.runtime); err != nil {
		return fmt.Errorf("wasi: %w", err)
	}
	b := p.runtime.NewHostModuleBuilder(hostModule)
	b.NewFunctionBuilder().WithFunc(func(ctx context.Context, m api.Module, key, size uint32, amount, half float64) float64 {
		data := p.read(ctx, m, key, size)
		ms := max(0, min(half, float64(advice.MostHalf/time.Millisecond)))
		if math.IsNaN(ms) {
			ms = 0
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.counters.Add(p.now(), data, amount, time.Duration(ms*float64(time.Millisecond)))
	}).Export("count")
	b.NewFunctionBuilder().WithFunc(func(ctx context.Context, m api.Module, text, size uint32) {
		p.says(p.read(ctx, m, text, size))
	}).Export("log")
	b.NewFunctionBuilder().WithFunc(func(ctx context.Context) int64 {
		used(ctx, p.limits.HostCalls)
		return int64(p.now().Truncate(clockStep) / time.Millisecond)
	}).Export("now")
	b.NewFunctionBuilder().WithFunc(func(ctx context.Context) uint64 {
		used(ctx, p.limits.HostCalls)
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.rng.Uint64()
	}).Export("random")
	if _, err := b.Instantiate(ctx); err != nil {
		return fmt.Errorf("host functions: %w", err)
	}
	return nil
}

// used counts a host call and ends the module's call when there were too many: the panic
// is what wazero turns into the call's error.
func used(ctx context.Context, most int) {
	if i, ok := ctx.Value(instanceKey{}).(*instance); ok {
		if i.calls++; i.calls > most {
			panic(ErrCalls)
		}
	}
}

// read is what a module points at.
func (p *Plugin) read(ctx context.Context, m api.Module, at, size uint32) []byte {
	used(ctx, p.limits.HostCalls)
	data, ok := m.Memory().Read(at, size)
	if !ok {
		panic(ErrBounds)
	}
	return data
}

// says passes a line on while the budget lasts.
func (p *Plugin) says(text []byte) {
	text = text[:min(len(text), mostLine)]
	p.mu.Lock()
	within := p.logged.take(p.now(), len(text)+1, p.limits.LogBytes)
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
