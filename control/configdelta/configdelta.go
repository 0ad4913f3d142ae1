// Package configdelta computes and applies deltas between versions of a configuration, so that the
// cost of sending a change depends on its size and not on that of the whole text. The newer text is
// split into pieces. A piece that also occurs in the older text is encoded as its offset there; any
// other piece is compressed with the part of the older text around the same offset as its dictionary
// (DEFLATE, RFC 1951).
//
// The package does no input or output. A delta carries a checksum of the newer text, so applying it to
// a text other than the one it was computed from is an error.
package configdelta

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
)

// Sizes in bytes, and the DEFLATE compression level.
const (
	pieceSize        = 16 << 10
	deflateWindow    = 32 << 10
	compressionLevel = 6
	// maxTextBytes bounds the size of the text that a delta expands to.
	maxTextBytes = 64 << 20
)

// ErrMismatch means that a delta was computed from a different text or is corrupted.
var ErrMismatch = errors.New("configdelta: delta is corrupted or was computed from a different text")

// dictionary returns the part of the older text around an offset in the newer one.
func dictionary(older []byte, offset int) []byte {
	begin := min(max(0, offset-(deflateWindow-pieceSize)/2), max(0, len(older)-deflateWindow))
	return older[begin:min(begin+deflateWindow, len(older))]
}

// checksum returns the FNV-1a hash of a text.
func checksum(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// Between returns the delta that turns older into newer.
func Between(older, newer []byte) ([]byte, error) {
	delta := binary.AppendUvarint(nil, uint64(len(newer)))
	delta = binary.BigEndian.AppendUint64(delta, checksum(newer))
	for offset := 0; offset < len(newer); offset += pieceSize {
		piece := newer[offset:min(offset+pieceSize, len(newer))]
		if at, ok := findPiece(older, piece, offset); ok {
			delta = binary.AppendUvarint(delta, 0)
			delta = binary.AppendUvarint(delta, uint64(at))
			continue
		}
		packed, err := compress(piece, dictionary(older, offset))
		if err != nil {
			return nil, err
		}
		delta = binary.AppendUvarint(delta, uint64(len(packed)))
		delta = append(delta, packed...)
	}
	return delta, nil
}

// findPiece searches the older text for an identical piece around the same offset.
func findPiece(older, piece []byte, offset int) (at int, ok bool) {
	begin := max(0, offset-deflateWindow/2)
	if begin >= len(older) {
		return 0, false
	}
	i := bytes.Index(older[begin:min(len(older), begin+deflateWindow+len(piece))], piece)
	return begin + i, i >= 0
}

// compress returns a piece compressed with a dictionary.
func compress(piece, dictionary []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriterDict(&packed, compressionLevel, dictionary)
	if err != nil {
		return nil, fmt.Errorf("configdelta: create compressor: %w", err)
	}
	if _, err := w.Write(piece); err != nil {
		return nil, fmt.Errorf("configdelta: compress piece: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("configdelta: finish compressed piece: %w", err)
	}
	return packed.Bytes(), nil
}

// decompress reverses compress. It returns [ErrMismatch] for an invalid or oversized piece.
func decompress(packed, dictionary []byte) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), dictionary)
	piece, err := io.ReadAll(io.LimitReader(r, pieceSize+1))
	if err != nil || len(piece) == 0 || len(piece) > pieceSize {
		return nil, ErrMismatch
	}
	return piece, nil
}

// Apply returns the newer text that results from applying a delta to the older one, or [ErrMismatch].
func Apply(older, delta []byte) ([]byte, error) {
	size, n := binary.Uvarint(delta)
	if n <= 0 || size > maxTextBytes || len(delta) < n+8 {
		return nil, ErrMismatch
	}
	wantSum, delta := binary.BigEndian.Uint64(delta[n:]), delta[n+8:]
	newer := make([]byte, 0, min(size, uint64(len(older))+maxTextBytes/64))
	for uint64(len(newer)) < size {
		length, n := binary.Uvarint(delta)
		if n <= 0 || length > uint64(len(delta)-n) {
			return nil, ErrMismatch
		}
		delta = delta[n:]
		if length == 0 {
			at, n := binary.Uvarint(delta)
			end := at + min(pieceSize, size-uint64(len(newer)))
			if n <= 0 || at > uint64(len(older)) || end > uint64(len(older)) {
				return nil, ErrMismatch
			}
			newer, delta = append(newer, older[at:end]...), delta[n:]
			continue
		}
		piece, err := decompress(delta[:length], dictionary(older, len(newer)))
		if err != nil {
			return nil, err
		}
		newer, delta = append(newer, piece...), delta[length:]
	}
	if uint64(len(newer)) != size || checksum(newer) != wantSum {
		return nil, ErrMismatch
	}
	return newer, nil
}

// History keeps the latest versions of a text and caches the deltas from older ones to the newest.
type History struct {
	maxBytes int // limit on the total size of older texts
	size     int
	versions []version
	deltas   map[uint64][]byte // to the newest text, by the version that they start from
}

// version is one kept text.
type version struct {
	number uint64
	text   []byte
}

// NewHistory returns a history that keeps at most maxBytes of texts besides the newest one.
func NewHistory(maxBytes int) *History {
	return &History{maxBytes: maxBytes, deltas: map[uint64][]byte{}}
}

// Add appends the newest text. The caller must not modify it afterwards. Adding the newest version
// again has no effect.
func (h *History) Add(number uint64, text []byte) {
	if n := len(h.versions); n > 0 && h.versions[n-1].number == number {
		return
	}
	clear(h.deltas)
	h.versions = append(h.versions, version{number, text})
	h.size += len(text)
	for len(h.versions) > 1 && h.size-len(text) > h.maxBytes {
		h.size -= len(h.versions[0].text)
		h.versions = h.versions[1:]
	}
}

// Delta returns the delta from a version's text to the newest one. ok is false if that version is no
// longer kept or if the delta would be no smaller than the newest text.
func (h *History) Delta(from uint64) (delta []byte, ok bool) {
	if delta, ok := h.deltas[from]; ok {
		return delta, delta != nil
	}
	for _, v := range h.versions {
		if v.number != from {
			continue
		}
		newest := h.versions[len(h.versions)-1].text
		delta, err := Between(v.text, newest)
		if err != nil || len(delta) >= len(newest) {
			delta = nil
		}
		h.deltas[from] = delta
		return delta, delta != nil
	}
	return nil, false
}
