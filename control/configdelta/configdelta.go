// Package configdelta tells by what two versions of a configuration differ, so that a change costs
// what it changes rather than the whole text. The newer text is taken in pieces. A piece that is in
// the older text too is named by its place there; any other one is compressed, with the part of the
// older text that lies about the same place as its dictionary (DEFLATE, RFC 1951).
//
// Nothing here does input or output. A delta carries a checksum of the newer text: one that is
// applied to another text than it was made for is an error.
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

const (
	pieceSize = 16 << 10
	window    = 32 << 10 // of DEFLATE
	level     = 6
	// mostSize bounds what a delta can grow to, in bytes.
	mostSize = 64 << 20
)

// ErrMismatch tells that a delta was made for another text, or is damaged.
var ErrMismatch = errors.New("configdelta: the delta does not fit the text")

// dictionary is the part of the older text that is near an offset of the newer one.
func dictionary(older []byte, offset int) []byte {
	begin := min(max(0, offset-(window-pieceSize)/2), max(0, len(older)-window))
	return older[begin:min(begin+window, len(older))]
}

func sum(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// Between returns what makes newer of older.
func Between(older, newer []byte) ([]byte, error) {
	delta := binary.AppendUvarint(nil, uint64(len(newer)))
	delta = binary.BigEndian.AppendUint64(delta, sum(newer))
	for offset := 0; offset < len(newer); offset += pieceSize {
		piece := newer[offset:min(offset+pieceSize, len(newer))]
		if at, ok := find(older, piece, offset); ok {
			delta = binary.AppendUvarint(delta, 0)
			delta = binary.AppendUvarint(delta, uint64(at))
			continue
		}
		packed, err := pack(piece, dictionary(older, offset))
		if err != nil {
			return nil, err
		}
		delta = binary.AppendUvarint(delta, uint64(len(packed)))
		delta = append(delta, packed...)
	}
	return delta, nil
}

// find looks for a whole piece in the older text, about the same place.
func find(older, piece []byte, offset int) (at int, ok bool) {
	begin := max(0, offset-window/2)
	if begin >= len(older) {
		return 0, false
	}
	i := bytes.Index(older[begin:min(len(older), begin+window+len(piece))], piece)
	return begin + i, i >= 0
}

func pack(piece, dictionary []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriterDict(&packed, level, dictionary)
	if err != nil {
		return nil, fmt.Errorf("configdelta: begin a piece: %w", err)
	}
	if _, err := w.Write(piece); err != nil {
		return nil, fmt.Errorf("configdelta: compress a piece: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("configdelta: end a piece: %w", err)
	}
	return packed.Bytes(), nil
}

func unpack(packed, dictionary []byte) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), dictionary)
	piece, err := io.ReadAll(io.LimitReader(r, pieceSize+1))
	if err != nil || len(piece) == 0 || len(piece) > pieceSize {
		return nil, ErrMismatch
	}
	return piece, nil
}

// Apply makes the newer text of the older one, or returns [ErrMismatch].
func Apply(older, delta []byte) ([]byte, error) {
	size, n := binary.Uvarint(delta)
	if n <= 0 || size > mostSize || len(delta) < n+8 {
		return nil, ErrMismatch
	}
	want, delta := binary.BigEndian.Uint64(delta[n:]), delta[n+8:]
	newer := make([]byte, 0, min(size, uint64(len(older))+mostSize/64))
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
		piece, err := unpack(delta[:length], dictionary(older, len(newer)))
		if err != nil {
			return nil, err
		}
		newer, delta = append(newer, piece...), delta[length:]
	}
	if uint64(len(newer)) != size || sum(newer) != want {
		return nil, ErrMismatch
	}
	return newer, nil
}

// History keeps the latest texts, and tells by what an older one differs from the newest.
type History struct {
	most   int // bytes of texts
	size   int
	texts  []version
	deltas map[uint64][]byte // to the newest text, by the version that they are from
}

type version struct {
	number uint64
	text   []byte
}

// NewHistory returns a history of so many bytes of texts at most, besides the newest one.
func NewHistory(most int) *History {
	return &History{most: most, deltas: map[uint64][]byte{}}
}

// Add takes in the newest text. It is not to be changed any more.
func (h *History) Add(number uint64, text []byte) {
	if n := len(h.texts); n > 0 && h.texts[n-1].number == number {
		return
	}
	clear(h.deltas)
	h.texts = append(h.texts, version{number, text})
	h.size += len(text)
	for len(h.texts) > 1 && h.size-len(text) > h.most {
		h.size -= len(h.texts[0].text)
		h.texts = h.texts[1:]
	}
}

// Delta returns what makes the newest text of that of a version; ok is false where that version is
// not kept any more, or the delta would save nothing.
func (h *History) Delta(from uint64) (delta []byte, ok bool) {
	if delta, ok := h.deltas[from]; ok {
		return delta, delta != nil
	}
	for _, v := range h.texts {
		if v.number != from {
			continue
		}
		newest := h.texts[len(h.texts)-1].text
		delta, err := Between(v.text, newest)
		if err != nil || len(delta) >= len(newest) {
			delta = nil
		}
		h.deltas[from] = delta
		return delta, delta != nil
	}
	return nil, false
}
