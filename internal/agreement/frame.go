package agreement

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// preface is sent first on each connection, in both directions; it names the protocol and its version.
const preface = "MDFLEET1"

const (
	maxHelloBytes = 4 << 10
	maxFrameBytes = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errProtocolMismatch = errors.New("this is no member of a fleet, or one of another version")

// writeFrame writes a frame: length, CRC-32C checksum and data.
func writeFrame(w io.Writer, data []byte) error {
	b := make([]byte, 0, 8+len(data))
	b = binary.BigEndian.AppendUint32(b, uint32(len(data)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(data, castagnoli))
	_, err := w.Write(append(b, data...))
	return err
}

// readFrame reads one frame with at most maxBytes of data and verifies its checksum.
func readFrame(r io.Reader, maxBytes int) ([]byte, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(head[:]))
	if length > int64(maxBytes) {
		return nil, fmt.Errorf("a frame of %d bytes: %d at most", length, maxBytes)
	}
	data := make([]byte, min(length, 64<<10)) // grows as data arrives: a forged length alone allocates little
	for read := int64(0); read < length; {
		count, err := io.ReadFull(r, data[read:])
		if read += int64(count); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		if read < length {
			data = append(data, make([]byte, min(length-read, int64(len(data))))...)
		}
	}
	if crc32.Checksum(data, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return nil, errors.New("a frame's checksum is wrong")
	}
	return data, nil
}

// readPreface reads the preface of a connection and checks the protocol version.
func readPreface(r io.Reader) error {
	b := make([]byte, len(preface))
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	if string(b) != preface {
		return errProtocolMismatch
	}
	return nil
}
