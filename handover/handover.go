// Package handover lays out and checks what one limiter process gives the next one during an
// upgrade: a note by which the new process finds the old one, and the state that it takes over.
// It says what is trusted and what each process may use while both run. It does no I/O and
// reads no clock.
package handover

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"time"

	"example.org/madderdrum/limiter"
)

// Version is that of the note and of the state. A process does not take over from one with
// another version: it starts fresh.
const Version = 1

// MostBytes bounds a state: a million accounts take some 80 MB, which no machine of the
// platform's size holds twice.
const MaxStateBytes = 32 << 20

// Who is one limiter: a process takes over from a process with the same name and address alone.
type Who struct {
	Limiter string `json:"limiter"`
	Listen  string `json:"listen"`
}

// Note tells where the running process of a limiter hands over, and to whom.
type Note struct {
	Version int `json:"version"`
	Who
	Admin string `json:"admin"` // host:port of its operators' address
	Token string `json:"token"` // whoever has it can read the note
}

// File is the name of a limiter's note in a folder that may hold those of others.
func (w Who) File() string {
	h := fnv.New64a()
	io.WriteString(h, w.Limiter+"\x00"+w.Listen)
	return fmt.Sprintf("madderdrum-%016x.upgrade", h.Sum64())
}

// Encode is the note as a file: a line of JSON and one with its checksum.
func (n Note) Encode() []byte {
	n.Version = Version
	data, _ := json.Marshal(n) // strings and an int
	return fmt.Appendf(data, "\n%08x\n", crc32.ChecksumIEEE(data))
}

// ErrNote tells that a file is no note of this limiter and version, or only a part of one.
var ErrNote = errors.New("no usable note")

// ParseNote reads a note of this limiter's.
func ParseNote(data []byte, expected Who) (n Note, err error) {
	line, sum, found := bytes.Cut(data, []byte("\n"))
	if !found || string(sum) != fmt.Sprintf("%08x\n", crc32.ChecksumIEEE(line)) {
		return n, fmt.Errorf("%w: torn", ErrNote)
	}
	if err := json.Unmarshal(line, &n); err != nil {
		return n, fmt.Errorf("%w: %v", ErrNote, err)
	}
	switch {
	case n.Version != Version:
		return n, fmt.Errorf("%w: version %d, this one is %d", ErrNote, n.Version, Version)
	case n.Who != expected:
		return n, fmt.Errorf("%w: of limiter %q at %s", ErrNote, n.Limiter, n.Listen)
	case n.Token == "" || n.Admin == "":
		return n, fmt.Errorf("%w: incomplete", ErrNote)
	}
	return n, nil
}

// State is what a process hands over at the moment from which the new one decides.
type State struct {
	Who
	Memory    *limiter.Memory
	Discovery string // the agent that the list is from; empty: the list is fixed
	List      []byte // the list in discovery's form; empty: none came
	Drained   bool
	Sockets   int // descriptors that the old process still holds, and will not exceed
}

// Head is what a state begins with on the connection: how many bytes follow, and their checksum.
type Head [8]byte

// Size is how many bytes follow.
func (h Head) Size() (int, error) {
	size := binary.BigEndian.Uint32(h[:])
	if size > MaxStateBytes {
		return 0, fmt.Errorf("a state of %d bytes, at most %d go over", size, MaxStateBytes)
	}
	return int(size), nil
}

// Encode is the state as it goes over the connection, behind its Head.
func (s *State) Encode() ([]byte, error) {
	var header Head
	buffer := bytes.NewBuffer(header[:])
	fmt.Fprintf(buffer, "%d\n", Version)
	if err := gob.NewEncoder(buffer).Encode(s); err != nil {
		return nil, fmt.Errorf("encoding the state: %w", err)
	}
	frame := buffer.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-len(header)))
	binary.BigEndian.PutUint32(frame[4:], crc32.ChecksumIEEE(frame[len(header):]))
	if _, err := Head(frame[:len(header)]).Size(); err != nil {
		return nil, err
	}
	return frame, nil
}

// Decode reads what follows a Head. took is the time since the new process asked for it: for so long at
// most the old one's figures have gone on without being known here.
func Decode(header Head, data []byte, expected Who, elapsed time.Duration) (*State, error) {
	if size, err := header.Size(); err != nil || size != len(data) || crc32.ChecksumIEEE(data) != binary.BigEndian.Uint32(header[4:]) {
		return nil, errors.New("the state is torn")
	}
	version, rest, _ := bytes.Cut(data, []byte("\n"))
	if string(version) != fmt.Sprint(Version) {
		return nil, fmt.Errorf("the state has version %.10q, this one is %d", version, Version)
	}
	s := &State{}
	if err := gob.NewDecoder(bytes.NewReader(rest)).Decode(s); err != nil {
		return nil, fmt.Errorf("reading the state: %w", err)
	}
	if s.Who != expected {
		return nil, fmt.Errorf("the state is of limiter %q at %s", s.Limiter, s.Listen)
	}
	if s.Memory == nil || s.Memory.Handover == nil || s.Sockets < 0 {
		return nil, errors.New("the state is incomplete")
	}
	s.Memory.Handover.DownMs = float64(max(0, elapsed)) / float64(time.Millisecond)
	return s, nil
}

// ListOf is the list, if it counts for a process that asks this agent: another one counts its
// versions anew.
func (s *State) ListOf(discovery string) []byte {
	if s.Discovery != discovery {
		return nil
	}
	return s.List
}

// Sockets is how many descriptors the new process may use while the old one holds some, of
// a limit for both; 0 is no limit. It gets least in any case, as it could not start with less.
func Sockets(limit, heldByOld, minimum int) int {
	if limit == 0 {
		return 0
	}
	return max(minimum, min(limit, limit-heldByOld))
}

// MemoryShare is the part of the limit that each process may use while both run.
const MemoryShare = 0.5
