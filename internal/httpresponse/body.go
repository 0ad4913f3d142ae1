package httpresponse

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// fixedBody reads a body of known length.
type fixedBody struct {
	in        *bufio.Reader
	remaining int64
}

func (b *fixedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := readUpTo(b.in, p, b.remaining)
	b.remaining -= int64(n)
	return n, err
}

// readUpTo reads at most limit bytes of a body that goes on at least that far.
func readUpTo(in *bufio.Reader, p []byte, limit int64) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := in.Read(p[:min(int64(len(p)), limit)])
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a body in chunks (RFC 9112, section 7.1).
type chunkedBody struct {
	in        *bufio.Reader
	remaining int64 // bytes of the current chunk
	endDue    bool  // the data of a chunk has been read, but not the CRLF behind it
	err       error // returned by all further reads
}

// Read reads from one chunk. It does not wait for more once it has read something.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err == nil && b.remaining == 0 {
		b.err = b.nextChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := readUpTo(b.in, p, b.remaining)
	b.remaining -= int64(n)
	b.endDue = b.remaining == 0
	if b.err = err; err == nil && b.endDue && b.in.Buffered() >= len(chunkEnd) {
		b.err = b.endChunk()
	}
	return n, err
}

// nextChunk reads up to the data of the next chunk. It returns io.EOF behind the last one and the trailer fields.
func (b *chunkedBody) nextChunk() error {
	if b.endDue {
		if err := b.endChunk(); err != nil {
			return err
		}
	}
	line, err := readLine(b.in)
	if err != nil {
		return err
	}
	if b.remaining, err = chunkSize(line); err != nil || b.remaining > 0 {
		return err
	}
	return b.readTrailer()
}

// chunkEnd follows the data of a chunk.
const chunkEnd = "\r\n"

// endChunk reads what follows the data of a chunk.
func (b *chunkedBody) endChunk() error {
	b.endDue = false
	var end [len(chunkEnd)]byte
	_, err := io.ReadFull(b.in, end[:])
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err == nil && string(end[:]) != chunkEnd {
		return protocolErrorf("a chunk is longer than announced")
	}
	return err
}

// readTrailer reads the trailer fields, which must not tell of the framing, and returns io.EOF.
func (b *chunkedBody) readTrailer() error {
	fields, err := readFields(b.in)
	if err != nil {
		return err
	}
	if len(fields["Content-Length"]) > 0 || len(fields["Transfer-Encoding"]) > 0 {
		return protocolErrorf("framing in the trailer")
	}
	return io.EOF
}

// maxChunkSizeDigits is the most hexadecimal digits that an int64 holds without a sign bit.
const maxChunkSizeDigits = 15

// chunkSize parses the line before a chunk: its size in bytes, and extensions, which are ignored.
func chunkSize(line string) (int64, error) {
	size, extension, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	if !allBytes(size, isHexDigit) || len(size) > maxChunkSizeDigits || !allBytes(extension, isTextByte) {
		return 0, protocolErrorf("chunk size %.80q", line)
	}
	n, err := strconv.ParseInt(size, 16, 64)
	if err != nil {
		return 0, protocolErrorf("chunk size %.80q", line)
	}
	return n, nil
}

func isHexDigit(b byte) bool { return isDigit(b) || 'a' <= b && b <= 'f' || 'A' <= b && b <= 'F' }
