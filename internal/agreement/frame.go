package agreement

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// preface opens each connection, in both directions: the protocol and its version.
const preface = "MDFLEET1"

const (
	mostHello = 4 << 10
	mostFrame = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errNotOurs = errors.New("this is no member of a fleet, or one of another version")

// writeFrame writes a length, a checksum and the data.
func writeFrame(w io.Writer, data []byte) error {
	b := make([]byte, 0, 8+len(data))
	b = binary.BigEndian.AppendUint32(b, uint32(len(data)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(data, castagnoli))
	_, err := w.Write(append(b, data...))
	return err
}

// readFrame reads what writeFrame has written, of so many bytes at most.
func readFrame(r io.Reader, most int) ([]byte, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n > int64(most) {
		return nil, fmt.Errorf("a frame of %d bytes: %d at most", n, most)
	}
	b := make([]byte, min(n, 64<<10)) // grows as it comes: a length alone takes no memory
	for at := int64(0); at < n; {
		k, err := io.ReadFull(r, b[at:])
		if at += int64(k); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		if at < n {
			b = append(b, make([]byte, min(n-at, int64(len(b))))...)
		}
	}
	if crc32.Checksum(b, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return nil, errors.New("a frame's checksum is wrong")
	}
	return b, nil
}

// readPreface reads the first bytes of a connection.
func readPreface(r io.Reader) error {
	b := make([]byte, len(preface))
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	if string(b) != preface {
		return errNotOurs
	}
	return nil
}
