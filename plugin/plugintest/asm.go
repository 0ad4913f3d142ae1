// Package plugintest assembles WebAssembly modules from instructions, so that tests of plug-ins
// and their host need no other tool chain. Some modules are valid plug-ins; others trap, return
// invalid advice or never end. The program itself does not use it.
package plugintest

import (
	"encoding/binary"
	"math"
)

// Encoded value types (WebAssembly Core Specification 1.0, 5.3).
const (
	I32 byte = 0x7f
	I64 byte = 0x7e
	F64 byte = 0x7c
)

// Import is a function that a module imports, with its parameter and result types.
type Import struct {
	From, Name      string
	Params, Results []byte
}

// Module describes a module under test. ABI, Input, Advise, Extra and Wants are function bodies:
// encoded instructions without the final end.
type Module struct {
	Imports      []Import
	Pages        byte   // initial memory in pages of 64 KiB; at least 1
	MaxPages     byte   // maximum memory in pages; 0: none declared
	ABI          []byte // madderdrum_abi; default: version 1
	Input        []byte // madderdrum_input; default: address 1024
	Advise       []byte // madderdrum_advise; default: no advice
	Extra        []byte // a fourth function, () -> (), with the index 3 + len(Imports)
	AdviseLocals byte   // number of I32 locals of Advise
	Start        bool   // Extra is the start function
	Data         []byte // initial memory contents at address 0
	OmitExport   string // name of an export to leave out
	WrongTypes   bool   // madderdrum_advise gets wrong parameter types
	Wants        []byte // madderdrum_wants, the manifest, () -> i32; nil: not exported
}

// uleb encodes a number as unsigned LEB128.
func uleb(n uint64) (b []byte) {
	for {
		c := byte(n & 0x7f)
		if n >>= 7; n == 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

// sleb encodes a number as signed LEB128.
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

// encodeVector encodes a list with its length.
func encodeVector(items ...[]byte) []byte {
	b := uleb(uint64(len(items)))
	for _, i := range items {
		b = append(b, i...)
	}
	return b
}

// encodeName encodes a string with its length.
func encodeName(s string) []byte { return append(uleb(uint64(len(s))), s...) }

// encodeSection encodes a section with its number and length.
func encodeSection(id byte, body []byte) []byte {
	return append(append([]byte{id}, uleb(uint64(len(body)))...), body...)
}

// Join concatenates encoded instructions.
func Join(parts ...[]byte) (b []byte) {
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// ConstI32 encodes i32.const, which pushes n onto the stack.
func ConstI32(n int32) []byte { return append([]byte{0x41}, sleb(int64(n))...) }

// ConstI64 encodes i64.const, which pushes n onto the stack.
func ConstI64(n int64) []byte { return append([]byte{0x42}, sleb(n)...) }

// ConstF64 encodes f64.const, which pushes x onto the stack.
func ConstF64(x float64) []byte {
	return binary.LittleEndian.AppendUint64([]byte{0x44}, math.Float64bits(x))
}

// Call encodes a call of the function with index n. Imports come first, then the three exports,
// then Extra.
func Call(n int) []byte { return append([]byte{0x10}, uleb(uint64(n))...) }

// Forever encodes an endless loop around body.
func Forever(body ...[]byte) []byte {
	return Join([]byte{0x03, 0x40}, Join(body...), []byte{0x0c, 0x00, 0x0b})
}

// Trap and Drop are single instructions. None is the result of a call that gives no advice.
var (
	Trap = []byte{0x00}
	Drop = []byte{0x1a}
	None = ConstI64(0)
)

// Says encodes the result of a call whose advice is in memory at address at.
func Says(at, size uint32) []byte { return ConstI64(int64(uint64(at)<<32 | uint64(size))) }

// Build returns the encoded module.
func (a Module) Build() []byte {
	orDefault := func(b, d []byte) []byte {
		if b == nil {
			return d
		}
		return b
	}
	types := [][]byte{{0x60, 0, 1, I32}, {0x60, 1, I32, 1, I32}, {0x60, 1, I32, 1, I64}, {0x60, 0, 0}}
	if a.WrongTypes {
		types[2] = []byte{0x60, 1, I64, 1, I64}
	}
	var imports [][]byte
	for k, i := range a.Imports {
		types = append(types, Join([]byte{0x60}, encodeVector(splitBytes(i.Params)...), encodeVector(splitBytes(i.Results)...)))
		imports = append(imports, Join(encodeName(i.From), encodeName(i.Name), []byte{0x00}, uleb(uint64(4+k))))
	}
	importCount := uint64(len(imports))
	var exports [][]byte
	for k, name := range []string{"madderdrum_abi", "madderdrum_input", "madderdrum_advise"} {
		if name != a.OmitExport {
			exports = append(exports, Join(encodeName(name), []byte{0x00}, uleb(importCount+uint64(k))))
		}
	}
	if a.OmitExport != "memory" {
		exports = append(exports, Join(encodeName("memory"), []byte{0x02, 0x00}))
	}
	bodies := 4
	if a.Wants != nil {
		exports = append(exports, Join(encodeName("madderdrum_wants"), []byte{0x00}, uleb(importCount+4)))
		bodies = 5
	}
	memory := []byte{0x00, max(1, a.Pages)}
	if a.MaxPages > 0 {
		memory = []byte{0x01, max(1, a.Pages), a.MaxPages}
	}
	body := func(locals byte, code []byte) []byte {
		l := []byte{0}
		if locals > 0 {
			l = []byte{1, locals, I32}
		}
		b := Join(l, code, []byte{0x0b})
		return append(uleb(uint64(len(b))), b...)
	}
	module := Join([]byte("\x00asm\x01\x00\x00\x00"), encodeSection(1, encodeVector(types...)))
	if len(imports) > 0 {
		module = append(module, encodeSection(2, encodeVector(imports...))...)
	}
	module = Join(module, encodeSection(3, encodeVector([][]byte{{0}, {1}, {2}, {3}, {0}}[:bodies]...)), encodeSection(5, encodeVector(memory)), encodeSection(7, encodeVector(exports...)))
	if a.Start {
		module = append(module, encodeSection(8, uleb(importCount+3))...)
	}
	code := [][]byte{body(0, orDefault(a.ABI, ConstI32(1))), body(0, orDefault(a.Input, ConstI32(1024))),
		body(a.AdviseLocals, orDefault(a.Advise, None)), body(0, a.Extra), body(0, a.Wants)}
	module = append(module, encodeSection(10, encodeVector(code[:bodies]...))...)
	if len(a.Data) > 0 {
		module = append(module, encodeSection(11, encodeVector(Join([]byte{0x00}, ConstI32(0), []byte{0x0b}, encodeName(string(a.Data)))))...)
	}
	return module
}

// splitBytes returns each byte as a slice of its own.
func splitBytes(b []byte) (all [][]byte) {
	for _, c := range b {
		all = append(all, []byte{c})
	}
	return all
}
