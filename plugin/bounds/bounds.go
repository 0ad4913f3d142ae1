// Package bounds rewrites a WebAssembly module before it is compiled. It limits those host
// resources that the engine does not limit, or limits too late.
//
// Call depth: the engine lets a call stack grow to 400 MB by doubling and copying it, and no
// deadline interrupts that in time; one recursing plug-in then delays every other request by
// hundreds of milliseconds. So each function that calls others adds its weight to a counter on
// entry, traps if the counter exceeds the limit, and subtracts the weight on return. The weight
// is an upper bound of the bytes of its stack frame, estimated from its parameters, locals and
// code size. This is stack metering as in Parity's wasm-instrument.
//
// Tables: a module could grow a table to 32 GB. Each table gets a maximum size.
//
// Counts: a few bytes can declare four billion entries, for which the engine allocates memory
// before it reads the first. Each count is checked against the bytes that follow. Custom
// sections, such as those of names, are removed.
//
// The binary format is that of the WebAssembly Core Specification 2.0, section 5. Modules that
// use later features (threads, exceptions, tail calls, garbage collection) are refused.
package bounds

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// DepthExport is the exported name of the global that counts stack bytes. Its value exceeds the
// limit after a module has trapped because of its call depth.
const DepthExport = "madderdrum_depth"

// Errors of Apply: a malformed module, and an instruction that is not supported.
var (
	ErrLayout = errors.New("does not hold together as a module")
	ErrOpcode = errors.New("has an instruction that is not known here")
)

// Numbers of the sections that are read or changed.
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

// maxTableEntries limits the entries of all tables of a module together.
const maxTableEntries = 1 << 17

// Type codes of the binary format, and the weights for the estimate of a stack frame.
const (
	i32Type               = 0x7f
	emptyBlock            = 0x40
	funcForm              = 0x60
	frameBaseBytes        = 64 // of an empty frame
	bytesPerLocal         = 8
	spillBytesPerCodeByte = 2 // upper bound of spilled values
)

// Apply returns the module with its estimated call stack limited to maxStack bytes. The module
// need not be valid: an invalid one causes an error or stays invalid.
func Apply(module []byte, maxStack uint32) ([]byte, error) {
	b := &rewriter{maxStack: min(maxStack, math.MaxInt32)}
	sections, err := splitSections(module)
	if err != nil {
		return nil, err
	}
	for _, s := range sections {
		if err := b.collect(s); err != nil {
			return nil, err
		}
	}
	out := slices.Clone(module[:8])
	withGlobal, withExport, code := false, false, false
	for _, s := range sections {
		if s.id != 0 { // sections are ordered by number; the data count, 12, follows those added here
			if !withGlobal && s.id > globalSection {
				out, withGlobal = appendSection(out, globalSection, b.withGlobal(nil)), true
			}
			if !withExport && s.id > exportSection {
				out, withExport = appendSection(out, exportSection, b.withExport(nil)), true
			}
		}
		switch s.id {
		case 0: // custom
		case tableSection:
			body, err := limitTables(s.body)
			if err != nil {
				return nil, err
			}
			out = appendSection(out, s.id, body)
		case typeSection:
			// written last, with the types for added blocks, which are known only after the code
		case globalSection:
			out, withGlobal = appendSection(out, s.id, b.withGlobal(s.body)), true
		case exportSection:
			out, withExport = appendSection(out, s.id, b.withExport(s.body)), true
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
		return module, nil // it defines no functions
	}
	return slices.Concat(module[:8], appendSection(nil, typeSection, b.typesBody()), out[8:]), nil
}

// section is a numbered section of a module.
type section struct {
	id   byte
	body []byte
}

// splitSections checks the header and returns the sections.
func splitSections(module []byte) (all []section, err error) {
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

// appendSection appends a section with its number and length.
func appendSection(to []byte, id byte, body []byte) []byte {
	return append(appendULEB(append(to, id), uint32(len(body))), body...)
}

// signature is the part of a function type that the rewriting needs.
type signature struct {
	paramCount int
	results    []byte
}

// rewriter holds what Apply knows about a module.
type rewriter struct {
	maxStack         uint32
	types            []signature
	rawTypes         []byte // the encoded types of the module
	extraTypes       []byte // encoded types added for blocks with several results
	extraTypeIndexes map[string]uint32
	functionTypes    []uint32 // type index of each function that the module defines
	globals          uint32   // defined by the module, without imported ones
	importedGlobals  uint32
}

// collect reads what the rewriting needs from a section and checks the section's counts.
func (b *rewriter) collect(s section) error {
	r := reader{b: s.body}
	switch s.id {
	case memorySection, exportSection, tableSection:
		r.count()
	case elementSection:
		r.checkElements()
	case dataSection:
		r.checkData()
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
				r.skipLimits()
			case 2: // memory
				r.skipLimits()
			case 3: // global
				r.byte()
				r.byte()
				b.importedGlobals++
			default:
				return fmt.Errorf("%w: an import of kind %d", ErrLayout, kind)
			}
			if r.err != nil {
				return r.err
			}
		}
	case functionSection:
		for range r.count() {
			b.functionTypes = append(b.functionTypes, r.u32())
			if r.err != nil {
				return r.err
			}
		}
	case globalSection:
		b.globals = r.count()
	}
	return r.err
}

// limitTables rewrites the table section so that each table has a maximum size.
func limitTables(body []byte) ([]byte, error) {
	r := reader{b: body}
	n := r.count()
	out, remaining := appendULEB(nil, n), uint32(maxTableEntries)
	for range n {
		kind, flag := r.byte(), r.byte()
		minimum, maximum := r.u32(), uint32(math.MaxUint32)
		if flag&1 != 0 {
			maximum = r.u32()
		}
		switch {
		case r.err != nil:
			return nil, r.err
		case minimum > remaining:
			return nil, fmt.Errorf("%w: tables of more than %d entries", ErrLayout, maxTableEntries)
		}
		maximum = max(minimum, min(maximum, remaining))
		remaining -= maximum
		out = appendULEB(appendULEB(append(out, kind, 1), minimum), maximum)
	}
	return append(out, body[r.at:]...), nil
}

// withGlobal returns the global section with the counter appended.
func (b *rewriter) withGlobal(body []byte) []byte {
	r := reader{b: body}
	n := uint32(0)
	if body != nil {
		n = r.u32()
	}
	out := append(appendULEB(nil, n+1), body[r.at:]...)
	return append(out, i32Type, 1, 0x41, 0, 0x0b)
}

// withExport returns the export section with the counter appended. A module that already has an
// export of that name becomes invalid.
func (b *rewriter) withExport(body []byte) []byte {
	r := reader{b: body}
	n := uint32(0)
	if body != nil {
		n = r.u32()
	}
	out := append(appendULEB(nil, n+1), body[r.at:]...)
	out = append(append(appendULEB(out, uint32(len(DepthExport))), DepthExport...), 3)
	return appendULEB(out, b.counterIndex())
}

// counterIndex is the index of the counter among the globals.
func (b *rewriter) counterIndex() uint32 { return b.importedGlobals + b.globals }

// typesBody returns the type section with the types for added blocks.
func (b *rewriter) typesBody() []byte {
	return slices.Concat(appendULEB(nil, uint32(len(b.types)+len(b.extraTypeIndexes))), b.rawTypes, b.extraTypes)
}

// blockType returns the encoded type of a block that has a function's results. Several results
// need a type of their own, which is added once.
func (b *rewriter) blockType(results []byte) []byte {
	switch len(results) {
	case 0:
		return []byte{emptyBlock}
	case 1:
		return results
	}
	index, found := b.extraTypeIndexes[string(results)]
	if !found {
		if b.extraTypeIndexes == nil {
			b.extraTypeIndexes = map[string]uint32{}
		}
		index = uint32(len(b.types) + len(b.extraTypeIndexes))
		b.extraTypeIndexes[string(results)] = index
		b.extraTypes = append(appendULEB(append(b.extraTypes, funcForm, 0), uint32(len(results))), results...)
	}
	return appendSLEB(nil, int64(index))
}

// code rewrites the code section function by function.
func (b *rewriter) code(body []byte) ([]byte, error) {
	r := reader{b: body}
	n := r.u32()
	if r.err != nil || int(n) != len(b.functionTypes) {
		return nil, fmt.Errorf("%w: %d bodies of %d functions", ErrLayout, n, len(b.functionTypes))
	}
	out := appendULEB(nil, n)
	for k := range n {
		f := r.take(int(r.u32()))
		if r.err != nil {
			return nil, r.err
		}
		if int(b.functionTypes[k]) >= len(b.types) {
			return nil, fmt.Errorf("%w: a function of an unknown type", ErrLayout)
		}
		f, err := b.rewriteFunction(f, b.types[b.functionTypes[k]])
		if err != nil {
			return nil, fmt.Errorf("function %d: %w", k, err)
		}
		out = append(appendULEB(out, uint32(len(f))), f...)
	}
	if r.at != len(body) {
		return nil, fmt.Errorf("%w: something behind the code", ErrLayout)
	}
	return out, nil
}

// rewriteFunction rewrites one function. Its body becomes a block, which returns branch out of;
// code before the block adds the weight to the counter and checks the limit, and code after it
// subtracts the weight.
func (b *rewriter) rewriteFunction(f []byte, sig signature) ([]byte, error) {
	r := reader{b: f}
	locals := uint64(sig.paramCount)
	for range r.u32() {
		locals += uint64(r.u32())
		r.byte()
		if r.err != nil {
			return nil, r.err
		}
	}
	start := r.at
	calls, err := r.scanInstructions(nil)
	if err != nil || !calls { // a function without calls can't recurse
		return f, err
	}
	weight := int64(min(uint64(b.maxStack), frameBaseBytes+bytesPerLocal*locals+spillBytesPerCodeByte*uint64(len(f))))
	counterIndex := appendULEB(nil, b.counterIndex())
	out := slices.Clone(f[:start])
	get, set := append([]byte{0x23}, counterIndex...), append([]byte{0x24}, counterIndex...)
	add := appendSLEB([]byte{0x41}, weight)
	out = slices.Concat(out, get, add, []byte{0x6a}, set,
		get, appendSLEB([]byte{0x41}, int64(b.maxStack)), []byte{0x4b, 0x04, emptyBlock, 0x00, 0x0b}, // trap above the limit
		[]byte{0x02}, b.blockType(sig.results))
	r = reader{b: f, at: start}
	if _, err := r.scanInstructions(&out); err != nil {
		return nil, err
	}
	return slices.Concat(out, get, add, []byte{0x6b}, set, []byte{0x0b}), nil
}
