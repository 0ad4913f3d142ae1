package plugin

import (
	"encoding/binary"
	"math"
)

// Types of WebAssembly (WebAssembly Core Specification 1.0, 5.3).
const (
	i32 byte = 0x7f
	i64 byte = 0x7e
	f64 byte = 0x7c
)

// imported is a function that a module imports.
type imported struct {
	from, name    string
	params, gives []byte
}

// asm is a module under test, put together by hand: what its three exports do, as
// instructions without the closing end.
type asm struct {
	imports []imported
	pages   byte   // memory at the start
	most    byte   // 0: no limit of its own
	abi     []byte // default: version 1
	input   []byte // default: at 1024
	advise  []byte // default: no opinion
	more    []byte // a fourth function, () -> (), called by index 3 + imports
	locals  byte   // of advise, i32
	start   bool   // more is the start function
	data    []byte // at 0
	without string // an export that is left out
	wrong   bool   // advise has other types
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

func join(parts ...[]byte) (b []byte) {
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// Instructions.
func constI32(n int32) []byte { return append([]byte{0x41}, sleb(int64(n))...) }
func constI64(n int64) []byte { return append([]byte{0x42}, sleb(n)...) }
func constF64(x float64) []byte {
	return binary.LittleEndian.AppendUint64([]byte{0x44}, math.Float64bits(x))
}
func call(n int) []byte { return append([]byte{0x10}, uleb(uint64(n))...) }

// forever repeats a body without an end.
func forever(body ...[]byte) []byte {
	return join([]byte{0x03, 0x40}, join(body...), []byte{0x0c, 0x00, 0x0b})
}

var (
	trap = []byte{0x00}
	drop = []byte{0x1a}
	none = constI64(0)
)

// says returns advice that lies at an address.
func says(at, size uint32) []byte { return constI64(int64(uint64(at)<<32 | uint64(size))) }

// build returns the module.
func (a asm) build() []byte {
	or := func(b, d []byte) []byte {
		if b == nil {
			return d
		}
		return b
	}
	types := [][]byte{{0x60, 0, 1, i32}, {0x60, 1, i32, 1, i32}, {0x60, 1, i32, 1, i64}, {0x60, 0, 0}}
	if a.wrong {
		types[2] = []byte{0x60, 1, i64, 1, i64}
	}
	var imports [][]byte
	for k, i := range a.imports {
		types = append(types, join([]byte{0x60}, vec(split(i.params)...), vec(split(i.gives)...)))
		imports = append(imports, join(text(i.from), text(i.name), []byte{0x00}, uleb(uint64(4+k))))
	}
	n := uint64(len(imports))
	var exports [][]byte
	for k, name := range []string{exportABI, exportInput, exportAdvise} {
		if name != a.without {
			exports = append(exports, join(text(name), []byte{0x00}, uleb(n+uint64(k))))
		}
	}
	if a.without != "memory" {
		exports = append(exports, join(text("memory"), []byte{0x02, 0x00}))
	}
	memory := []byte{0x00, max(1, a.pages)}
	if a.most > 0 {
		memory = []byte{0x01, max(1, a.pages), a.most}
	}
	body := func(locals byte, code []byte) []byte {
		l := []byte{0}
		if locals > 0 {
			l = []byte{1, locals, i32}
		}
		b := join(l, code, []byte{0x0b})
		return append(uleb(uint64(len(b))), b...)
	}
	m := join([]byte("\x00asm\x01\x00\x00\x00"), section(1, vec(types...)))
	if len(imports) > 0 {
		m = append(m, section(2, vec(imports...))...)
	}
	m = join(m, section(3, vec([]byte{0}, []byte{1}, []byte{2}, []byte{3})), section(5, vec(memory)), section(7, vec(exports...)))
	if a.start {
		m = append(m, section(8, uleb(n+3))...)
	}
	m = append(m, section(10, vec(body(0, or(a.abi, constI32(1))), body(0, or(a.input, constI32(1024))),
		body(a.locals, or(a.advise, none)), body(0, a.more)))...)
	if len(a.data) > 0 {
		m = append(m, section(11, vec(join([]byte{0x00}, constI32(0), []byte{0x0b}, text(string(a.data)))))...)
	}
	return m
}

func split(b []byte) (all [][]byte) {
	for _, c := range b {
		all = append(all, []byte{c})
	}
	return all
}
