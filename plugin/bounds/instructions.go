package bounds

import "fmt"

// reader reads the binary format. After the first error it returns only zero values.
type reader struct {
	b   []byte
	at  int
	err error
}

// fail records the first error and skips the rest of the input.
func (r *reader) fail(what string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s at %d", ErrLayout, what, r.at)
	}
	r.at = len(r.b)
}

// byte reads one byte.
func (r *reader) byte() byte {
	if r.at >= len(r.b) {
		r.fail("its end")
		return 0
	}
	r.at++
	return r.b[r.at-1]
}

// take reads n bytes.
func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.b)-r.at {
		r.fail("its end")
		return nil
	}
	r.at += n
	return r.b[r.at-n : r.at]
}

// u32 reads an unsigned LEB128 number of up to 32 bits.
func (r *reader) u32() (n uint32) {
	for shift := 0; shift < 35; shift += 7 {
		c := r.byte()
		if shift == 28 && c > 0x0f {
			break
		}
		if n |= uint32(c&0x7f) << shift; c < 0x80 {
			return n
		}
	}
	r.fail("a number too long")
	return 0
}

// count reads a number of entries and checks it against the bytes left, at least one per entry.
func (r *reader) count() uint32 {
	n := r.u32()
	if int64(n) > int64(len(r.b)-r.at) {
		r.fail("more announced than is there")
		return 0
	}
	return n
}

// skipNumber skips a LEB128 number of at most maxBytes bytes.
func (r *reader) skipNumber(maxBytes int) {
	for range maxBytes {
		if r.byte() < 0x80 {
			return
		}
	}
	r.fail("a number too long")
}

// skipLimits skips the minimum and optional maximum of a table or memory.
func (r *reader) skipLimits() {
	flag := r.byte()
	r.u32()
	if flag&1 != 0 {
		r.u32()
	}
}

// skipConstantExpression skips a constant expression with its end.
func (r *reader) skipConstantExpression() {
	for r.err == nil {
		op := r.byte()
		if op == opEnd {
			return
		}
		r.skipImmediates(op)
	}
}

// checkElements checks the counts of the element section, which initializes tables (section
// 5.5.12 of the specification).
func (r *reader) checkElements() {
	for n := r.count(); n > 0 && r.err == nil; n-- {
		flag := r.u32()
		if flag&3 == 2 {
			r.u32() // table
		}
		if flag&1 == 0 {
			r.skipConstantExpression()
		}
		if flag&3 != 0 {
			r.byte() // kind
		}
		for k := r.count(); k > 0 && r.err == nil; k-- {
			if flag&4 != 0 {
				r.skipConstantExpression()
			} else {
				r.u32()
			}
		}
	}
}

// checkData checks the counts of the data section, which initializes memories (section 5.5.14).
func (r *reader) checkData() {
	for n := r.count(); n > 0 && r.err == nil; n-- {
		flag := r.u32()
		if flag == 2 {
			r.u32() // memory
		}
		if flag != 1 {
			r.skipConstantExpression()
		}
		r.take(int(r.u32()))
	}
}

// appendULEB appends a number as unsigned LEB128.
func appendULEB(to []byte, n uint32) []byte {
	for n >= 0x80 {
		to = append(to, byte(n)|0x80)
		n >>= 7
	}
	return append(to, byte(n))
}

// appendSLEB appends a number as signed LEB128.
func appendSLEB(to []byte, n int64) []byte {
	for {
		c := byte(n & 0x7f)
		n >>= 7
		if n == 0 && c&0x40 == 0 || n == -1 && c&0x40 != 0 {
			return append(to, c)
		}
		to = append(to, c|0x80)
	}
}

// Opcodes that scanInstructions and skipImmediates share or write.
const (
	opReturn = 0x0f
	opBranch = 0x0c
	opEnd    = 0x0b
)

// scanInstructions reads a function's code to its end and reports whether it contains calls. If
// out is set, it appends the code to out with each return replaced by a branch out of the
// outermost block, into which rewriteFunction puts the body.
func (r *reader) scanInstructions(out *[]byte) (calls bool, err error) {
	copied := r.at // the code before this offset is in out
	for nested := uint32(0); ; {
		from := r.at
		op := r.byte()
		switch {
		case op == 0x02 || op == 0x03 || op == 0x04: // block, loop, if
			r.skipNumber(5)
			nested++
		case op == opEnd:
			if nested == 0 {
				if r.at != len(r.b) {
					r.fail("code behind the end")
				}
				if out != nil {
					*out = append(*out, r.b[copied:r.at]...)
				}
				return calls, r.err
			}
			nested--
		case op == opReturn:
			if out != nil {
				*out = appendULEB(append(append(*out, r.b[copied:from]...), opBranch), nested)
				copied = r.at
			}
		case op == 0x10: // call
			calls = true
			r.u32()
		case op == 0x11: // call_indirect
			calls = true
			r.u32()
			r.u32()
		default:
			r.skipImmediates(op)
		}
		if r.err != nil {
			return calls, r.err
		}
	}
}

// skipImmediates skips the immediate arguments of an instruction after its opcode (section 5.4).
func (r *reader) skipImmediates(op byte) {
	switch {
	case op == 0x00, op == 0x01, op == 0x05, op == 0x1a, op == 0x1b, op >= 0x45 && op <= 0xc4, op == 0xd1:
	case op == opBranch, op == 0x0d, op >= 0x20 && op <= 0x26, op == 0x3f, op == 0x40, op == 0xd2:
		r.u32()
	case op == 0x0e: // br_table
		for n := r.count(); n > 0 && r.err == nil; n-- {
			r.u32()
		}
		r.u32()
	case op == 0x1c: // select with types
		r.take(int(r.u32()))
	case op >= 0x28 && op <= 0x3e:
		r.skipMemoryArgument()
	case op == 0x41:
		r.skipNumber(5)
	case op == 0x42:
		r.skipNumber(10)
	case op == 0x43:
		r.take(4)
	case op == 0x44:
		r.take(8)
	case op == 0xd0: // ref.null
		r.skipNumber(5)
	case op == 0xfc:
		r.skipBulkImmediates(r.u32())
	case op == 0xfd:
		r.skipVectorImmediates(r.u32())
	default:
		r.failUnknownOpcode(uint32(op))
	}
}

// failUnknownOpcode records an unsupported opcode.
func (r *reader) failUnknownOpcode(op uint32) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: 0x%x", ErrOpcode, op)
	}
}

// skipMemoryArgument skips alignment and offset of a memory access.
func (r *reader) skipMemoryArgument() {
	r.u32()
	r.skipNumber(10)
}

// skipBulkImmediates handles saturating conversions and bulk operations on memories and tables.
func (r *reader) skipBulkImmediates(op uint32) {
	switch {
	case op <= 7:
	case op == 8, op == 10, op == 12, op == 14:
		r.u32()
		r.u32()
	case op == 9, op == 11, op == 13, op >= 15 && op <= 17:
		r.u32()
	default:
		r.failUnknownOpcode(0xfc00 | op)
	}
}

// skipVectorImmediates handles the 128-bit vector (SIMD) instructions.
func (r *reader) skipVectorImmediates(op uint32) {
	switch {
	case op <= 11, op == 92, op == 93:
		r.skipMemoryArgument()
	case op == 12, op == 13:
		r.take(16)
	case op >= 21 && op <= 34:
		r.byte()
	case op >= 84 && op <= 91:
		r.skipMemoryArgument()
		r.byte()
	case op <= 255:
	default:
		r.failUnknownOpcode(0xfd0000 | op)
	}
}
