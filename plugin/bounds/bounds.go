// Package bounds rewrites a WebAssembly module, before it is compiled, so that what it can
// take of its host is bounded where the engine bounds nothing or too late.
//
// The depth of calls: the engine lets a call stack grow to 400 MB, by doubling and copying
// it, which no deadline ends in time; one recursing plug-in then costs every other request
// hundreds of milliseconds. Each function that calls others adds its weight to a counter when
// it is entered, traps if that passes the bound, and takes it off when it is left. The weight
// is an upper bound of the bytes that its frame takes, by its parameters, locals and size.
// This is stack metering as in Parity's wasm-instrument.
//
// Tables: a module may grow one to 32 GB. Each is given a maximum.
//
// Counts: a few bytes can announce four thousand million entries, for which the engine makes
// room before it looks at the first. Each count is held against what is there. Custom
// sections, such as those of names, are left out.
//
// The layout is that of the WebAssembly Core Specification 2.0, section 5; what is beyond it
// (threads, exceptions, tail calls, garbage collection) is refused.
package bounds

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Export is the name of the global that counts. It is above the bound after a module has
// trapped for its depth.
const Export = "madderdrum_depth"

// Errors of a module that can't be rewritten.
var (
	ErrLayout = errors.New("does not hold together as a module")
	ErrOpcode = errors.New("has an instruction that is not known here")
)

// The sections that are read or changed.
const (
	typeSection     = 1
	importSection   = 2
	functionSection = 3
	tableSection    = 4
	memorySection   = 5
	globalSection   = 6
	exportSection   = 7
	elementSection  = 9
	codeSection     = 10
	dataSection     = 11
)

// mostEntries bounds what all tables of a module may hold together.
const mostEntries = 1 << 17

const (
	i32Type    = 0x7f
	emptyBlock = 0x40
	funcForm   = 0x60
	frameBytes = 64 // of a frame without anything in it
	localBytes = 8
	codeBytes  = 2 // of spilled values for each byte of code, at most
)

// Apply returns a module whose calls take no more than most bytes of stack, by estimate. The
// module need not be valid; what is not becomes an error, or is still not valid afterwards.
func Apply(module []byte, most uint32) ([]byte, error) {
	b := &bounder{most: min(most, math.MaxInt32)}
	sections, err := split(module)
	if err != nil {
		return nil, err
	}
	for _, s := range sections {
		if err := b.learn(s); err != nil {
			return nil, err
		}
	}
	out := slices.Clone(module[:8])
	global, export, code := false, false, false
	for _, s := range sections {
		if s.id != 0 { // in the order of their numbers; the data count, 12, comes behind what is added here
			if !global && s.id > globalSection {
				out, global = appendSection(out, globalSection, b.global(nil)), true
			}
			if !export && s.id > exportSection {
				out, export = appendSection(out, exportSection, b.export(nil)), true
			}
		}
		switch s.id {
		case 0: // custom
		case tableSection:
			body, err := tables(s.body)
			if err != nil {
				return nil, err
			}
			out = appendSection(out, s.id, body)
		case typeSection:
			// written below, with the types that blocks need: they are known after the code
		case globalSection:
			out, global = appendSection(out, s.id, b.global(s.body)), true
		case exportSection:
			out, export = appendSection(out, s.id, b.export(s.body)), true
		case codeSection:
			body, err := b.code(s.body)
			if err != nil {
				return nil, err
			}
			out, code = appendSection(out, s.id, body), true
		default:
			out = appendSection(out, s.id, s.body)
		}
	}
	if !code {
		return module, nil // no functions of its own
	}
	return slices.Concat(module[:8], appendSection(nil, typeSection, b.typesBody()), out[8:]), nil
}

type section struct {
	id   byte
	body []byte
}

// split finds the sections.
func split(module []byte) (all []section, err error) {
	if len(module) < 8 || string(module[:8]) != "\x00asm\x01\x00\x00\x00" {
		return nil, fmt.Errorf("%w: no header", ErrLayout)
	}
	r := reader{b: module, at: 8}
	for r.at < len(r.b) && r.err == nil {
		id := r.byte()
		all = append(all, section{id, r.take(int(r.u32()))})
	}
	return all, r.err
}

func appendSection(to []byte, id byte, body []byte) []byte {
	return append(uleb(append(to, id), uint32(len(body))), body...)
}

// signature is a function type.
type signature struct {
	params  int
	results []byte
}

type bounder struct {
	most      uint32
	types     []signature
	rawTypes  []byte // the entries as they stand
	extra     []byte // entries of types for blocks with several results
	extras    map[string]uint32
	functions []uint32 // types of the module's own functions
	globals   uint32   // imported and own
	imported  uint32
}

// learn reads what the rewriting needs to know.
func (b *bounder) learn(s section) error {
	r := reader{b: s.body}
	switch s.id {
	case memorySection, exportSection, tableSection:
		r.count()
	case elementSection:
		r.elements()
	case dataSection:
		r.data()
	case typeSection:
		n := r.count()
		from := r.at
		for range n {
			if r.byte() != funcForm && r.err == nil {
				return fmt.Errorf("%w: a type that is no function's", ErrLayout)
			}
			params := r.take(int(r.u32()))
			b.types = append(b.types, signature{len(params), r.take(int(r.u32()))})
			if r.err != nil {
				return r.err
			}
		}
		b.rawTypes = s.body[from:]
	case importSection:
		for range r.count() {
			r.take(int(r.u32()))
			r.take(int(r.u32()))
			switch kind := r.byte(); kind {
			case 0: // function
				r.u32()
			case 1: // table
				r.byte()
				r.limits()
			case 2: // memory
				r.limits()
			case 3: // global
				r.byte()
				r.byte()
				b.imported++
			default:
				return fmt.Errorf("%w: an import of kind %d", ErrLayout, kind)
			}
			if r.err != nil {
				return r.err
			}
		}
	case functionSection:
		for range r.count() {
			b.functions = append(b.functions, r.u32())
			if r.err != nil {
				return r.err
			}
		}
	case globalSection:
		b.globals = r.count()
	}
	return r.err
}

// tables are those of a module, each with a maximum.
func tables(body []byte) ([]byte, error) {
	r := reader{b: body}
	n := r.count()
	out, left := uleb(nil, n), uint32(mostEntries)
	for range n {
		kind, flag := r.byte(), r.byte()
		least, most := r.u32(), uint32(math.MaxUint32)
		if flag&1 != 0 {
			most = r.u32()
		}
		switch {
		case r.err != nil:
			return nil, r.err
		case least > left:
			return nil, fmt.Errorf("%w: tables of more than %d entries", ErrLayout, mostEntries)
		}
		most = max(least, min(most, left))
		left -= most
		out = uleb(uleb(append(out, kind, 1), least), most)
	}
	return append(out, body[r.at:]...), nil
}

// global is the section of globals with the counter behind the others.
func (b *bounder) global(body []byte) []byte {
	r := reader{b: body}
	n := uint32(0)
	if body != nil {
		n = r.u32()
	}
	out := append(uleb(nil, n+1), body[r.at:]...)
	return append(out, i32Type, 1, 0x41, 0, 0x0b)
}

// export is the section of exports with the counter behind the others. A module that has
// such an export already is not valid any more.
func (b *bounder) export(body []byte) []byte {
	r := reader{b: body}
	n := uint32(0)
	if body != nil {
		n = r.u32()
	}
	out := append(uleb(nil, n+1), body[r.at:]...)
	out = append(append(uleb(out, uint32(len(Export))), Export...), 3)
	return uleb(out, b.counter())
}

// counter is the index of the global that counts.
func (b *bounder) counter() uint32 { return b.imported + b.globals }

// typesBody are the types, with those that blocks need.
func (b *bounder) typesBody() []byte {
	return slices.Concat(uleb(nil, uint32(len(b.types)+len(b.extras))), b.rawTypes, b.extra)
}

// blockType is that of a block with a function's results.
func (b *bounder) blockType(results []byte) []byte {
	switch len(results) {
	case 0:
		return []byte{emptyBlock}
	case 1:
		return results
	}
	at, have := b.extras[string(results)]
	if !have {
		if b.extras == nil {
			b.extras = map[string]uint32{}
		}
		at = uint32(len(b.types) + len(b.extras))
		b.extras[string(results)] = at
		b.extra = append(uleb(append(b.extra, funcForm, 0), uint32(len(results))), results...)
	}
	return sleb(nil, int64(at))
}

// code rewrites the functions.
func (b *bounder) code(body []byte) ([]byte, error) {
	r := reader{b: body}
	n := r.u32()
	if r.err != nil || int(n) != len(b.functions) {
		return nil, fmt.Errorf("%w: %d bodies of %d functions", ErrLayout, n, len(b.functions))
	}
	out := uleb(nil, n)
	for k := range n {
		f := r.take(int(r.u32()))
		if r.err != nil {
			return nil, r.err
		}
		if int(b.functions[k]) >= len(b.types) {
			return nil, fmt.Errorf("%w: a function of an unknown type", ErrLayout)
		}
		f, err := b.function(f, b.types[b.functions[k]])
		if err != nil {
			return nil, fmt.Errorf("function %d: %w", k, err)
		}
		out = append(uleb(out, uint32(len(f))), f...)
	}
	if r.at != len(body) {
		return nil, fmt.Errorf("%w: something behind the code", ErrLayout)
	}
	return out, nil
}

// function rewrites one: its body becomes a block, which is where it returns to, between
// what adds its weight and what takes it off.
func (b *bounder) function(f []byte, is signature) ([]byte, error) {
	r := reader{b: f}
	locals := uint64(is.params)
	for range r.u32() {
		locals += uint64(r.u32())
		r.byte()
		if r.err != nil {
			return nil, r.err
		}
	}
	start := r.at
	calls, err := r.instructions(nil)
	if err != nil || !calls { // one that calls nothing can't recurse
		return f, err
	}
	weight := int64(min(uint64(b.most), frameBytes+localBytes*locals+codeBytes*uint64(len(f))))
	counter := uleb(nil, b.counter())
	out := slices.Clone(f[:start])
	get, set := append([]byte{0x23}, counter...), append([]byte{0x24}, counter...)
	add := sleb([]byte{0x41}, weight)
	out = slices.Concat(out, get, add, []byte{0x6a}, set,
		get, sleb([]byte{0x41}, int64(b.most)), []byte{0x4b, 0x04, emptyBlock, 0x00, 0x0b}, // above the bound: unreachable
		[]byte{0x02}, b.blockType(is.results))
	r = reader{b: f, at: start}
	if _, err := r.instructions(&out); err != nil {
		return nil, err
	}
	return slices.Concat(out, get, add, []byte{0x6b}, set, []byte{0x0b}), nil
}
