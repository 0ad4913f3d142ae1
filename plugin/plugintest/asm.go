// Package plugintest puts modules of WebAssembly together by hand, so that tests of plug-ins
// and of what runs them need no other tool chain: sound ones, and ones that break off, lie or
// run on. Nothing of it is in the program.
package plugintest

import (
	"encoding/binary"
	"math"
)

// Types of WebAssembly (WebAssembly Core Specification 1.0, 5.3).
const (
	I32 byte = 0x7f
	I64 byte = 0x7e
	F64 byte = 0x7c
)

// Import is a function that a module imports.
type Import struct {
	From, Name    string
	Params, Gives []byte
}

// Module is a module under test, put together by hand: what its three exports do, as
// instructions without the closing end.
type Module struct {
	Imports []Import
	Pages   byte   // memory at the start
	Most    byte   // 0: no limit of its own
	ABI     []byte // default: version 1
	Input   []byte // default: at 1024
	Advise  []byte // default: no opinion
	More    []byte // a fourth function, () -> (), called by index 3 + imports
	Locals  byte   // of advise, I32
	Start   bool   // more is the start function
	Data    []byte // at 0
	Without string // an export that is left out
	Wrong   bool   // advise has other types
	Wants   []byte // the manifest, () -> i32; nil: not exported
}

func uleb(n uint64) (b []byte) {
	for {
		c := byte(n & 0x7f)
		if n >>= 7; n == 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

func sleb(n int64) (b []byte) {
	for {
		c := byte(n & 0x7f)
		n >>= 7
		if n == 0 && c&0x40 == 0 || n == -1 && c&0x40 != 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

func vec(items ...[]byte) []byte {
	b := uleb(uint64(len(items)))
	for _, i := range items {
		b = append(b, i...)
	}
	return b
}

func text(s string) []byte { return append(uleb(uint64(len(s))), s...) }

func section(id byte, body []byte) []byte {
	return append(append([]byte{id}, uleb(uint64(len(body)))...), body...)
}

// Join puts instructions one after another.
func Join(parts ...[]byte) (b []byte) {
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// ConstI32 puts a number on the stack.
func ConstI32(n int32) []byte { return append([]byte{0x41}, sleb(int64(n))...) }

// ConstI64 puts a number on the stack.
func ConstI64(n int64) []byte { return append([]byte{0x42}, sleb(n)...) }

// ConstF64 puts a number on the stack.
func ConstF64(x float64) []byte {
	return binary.LittleEndian.AppendUint64([]byte{0x44}, math.Float64bits(x))
}

// Call calls a function by its index: imports first, then the three exports, then More.
func Call(n int) []byte { return append([]byte{0x10}, uleb(uint64(n))...) }

// Forever repeats a body without an end.
func Forever(body ...[]byte) []byte {
	return Join([]byte{0x03, 0x40}, Join(body...), []byte{0x0c, 0x00, 0x0b})
}

// Single instructions, and having no opinion.
var (
	Trap = []byte{0x00}
	Drop = []byte{0x1a}
	None = ConstI64(0)
)

// Says returns advice that lies at an address.
func Says(at, size uint32) []byte { return ConstI64(int64(uint64(at)<<32 | uint64(size))) }

// Build returns the module.
func (a Module) Build() []byte {
	or := func(b, d []byte) []byte {
		if b == nil {
			return d
		}
		return b
	}
	types := [][]byte{{0x60, 0, 1, I32}, {0x60, 1, I32, 1, I32}, {0x60, 1, I32, 1, I64}, {0x60, 0, 0}}
	if a.Wrong {
		types[2] = []byte{0x60, 1, I64, 1, I64}
	}
	var imports [][]byte
	for k, i := range a.Imports {
		types = append(types, Join([]byte{0x60}, vec(split(i.Params)...), vec(split(i.Gives)...)))
		imports = append(imports, Join(text(i.From), text(i.Name), []byte{0x00}, uleb(uint64(4+k))))
	}
	n := uint64(len(imports))
	var exports [][]byte
	for k, name := range []string{"madderdrum_abi", "madderdrum_input", "madderdrum_advise"} {
		if name != a.Without {
			exports = append(exports, Join(text(name), []byte{0x00}, uleb(n+uint64(k))))
		}
	}
	if a.Without != "memory" {
		exports = append(exports, Join(text("memory"), []byte{0x02, 0x00}))
	}
	bodies := 4
	if a.Wants != nil {
		exports = append(exports, Join(text("madderdrum_wants"), []byte{0x00}, uleb(n+4)))
		bodies = 5
	}
	memory := []byte{0x00, max(1, a.Pages)}
	if a.Most > 0 {
		memory = []byte{0x01, max(1, a.Pages), a.Most}
	}
	body := func(locals byte, code []byte) []byte {
		l := []byte{0}
		if locals > 0 {
			l = []byte{1, locals, I32}
		}
		b := Join(l, code, []byte{0x0b})
		return append(uleb(uint64(len(b))), b...)
	}
	m := Join([]byte("\x00asm\x01\x00\x00\x00"), section(1, vec(types...)))
	if len(imports) > 0 {
		m = append(m, section(2, vec(imports...))...)
	}
	m = Join(m, section(3, vec([][]byte{{0}, {1}, {2}, {3}, {0}}[:bodies]...)), section(5, vec(memory)), section(7, vec(exports...)))
	if a.Start {
		m = append(m, section(8, uleb(n+3))...)
	}
	code := [][]byte{body(0, or(a.ABI, ConstI32(1))), body(0, or(a.Input, ConstI32(1024))),
		body(a.Locals, or(a.Advise, None)), body(0, a.More), body(0, a.Wants)}
	m = append(m, section(10, vec(code[:bodies]...))...)
	if len(a.Data) > 0 {
		m = append(m, section(11, vec(Join([]byte{0x00}, ConstI32(0), []byte{0x0b}, text(string(a.Data)))))...)
	}
	return m
}

func split(b []byte) (all [][]byte) {
	for _, c := range b {
		all = append(all, []byte{c})
	}
	return all
}
