// Package handover defines and validates what a limiter process gives its successor during an upgrade: a
// note by which the new process finds the old one, and the state that it takes over. It also decides
// how the two processes share the machine's resources while both run. It does no I/O and reads no clock.
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

// Version is the version of the note and of the state. A process does not take over from one with
// another version: it starts without the state.
const Version = 1

// MaxStateBytes limits the size of a state. A million accounts take some 80 MB, which no machine of the
// platform's size can hold twice.
const MaxStateBytes = 32 << 20

// Who identifies a limiter: a process takes over only from one with the same name and listen address.
type Who struct {
	Limiter string `json:"limiter"`
	Listen  string `json:"listen"`
}

// Note says where the running process of a limiter offers its state, and to which limiter.
type Note struct {
	Version int `json:"version"`
	Who
	Admin string `json:"admin"` // host:port of the admin address
	Token string `json:"token"` // proves that its bearer can read the note
}

// FileName returns the name of a limiter's note, unique in a directory with notes of other limiters.
func (w Who) FileName() string {
	h := fnv.New64a()
	io.WriteString(h, w.Limiter+"\x00"+w.Listen)
	return fmt.Sprintf("madderdrum-%016x.upgrade", h.Sum64())
}

// Encode returns the contents of the note's file: a line of JSON, and a line with its checksum.
func (n Note) Encode() []byte {
	n.Version = Version
	data, _ := json.Marshal(n) // can't fail: strings and an int
	return fmt.Appendf(data, "\n%08x\n", crc32.ChecksumIEEE(data))
}

// ErrUnusableNote says that a file is not a complete note of this limiter and version.
var ErrUnusableNote = errors.New("no usable note")

// ParseNote parses a note and checks that it is for the expected limiter.
func ParseNote(data []byte, expected Who) (n Note, err error) {
	line, sum, found := bytes.Cut(data, []byte("\n"))
	if !found || string(sum) != fmt.Sprintf("%08x\n", crc32.ChecksumIEEE(line)) {
		return n, fmt.Errorf("%w: truncated or corrupt", ErrUnusableNote)
	}
	if err := json.Unmarshal(line, &n); err != nil {
		return n, fmt.Errorf("%w: %v", ErrUnusableNote, err)
	}
	switch {
	case n.Version != Version:
		return n, fmt.Errorf("%w: version %d, this one is %d", ErrUnusableNote, n.Version, Version)
	case n.Who != expected:
		return n, fmt.Errorf("%w: of limiter %q at %s", ErrUnusableNote, n.Limiter, n.Listen)
	case n.Token == "" || n.Admin == "":
		return n, fmt.Errorf("%w: incomplete", ErrUnusableNote)
	}
	return n, nil
}

// State is what a process hands over at the moment from which its successor makes the decisions.
type State struct {
	Who
	Memory    *limiter.Memory
	Discovery string // the agent that sent List; empty: the list is fixed
	List      []byte // the list of servers in the agent's format; empty: none arrived
	Drained   bool
	Sockets   int // descriptors that the old process still holds; it will not use more
}

// Header precedes a state on the connection: the number of bytes that follow, and their checksum.
type Header [8]byte

// Size returns the number of bytes that follow; an error if there are too many.
func (h Header) Size() (int, error) {
	size := binary.BigEndian.Uint32(h[:])
	if size > MaxStateBytes {
		return 0, fmt.Errorf("a state of %d bytes, at most %d go over", size, MaxStateBytes)
	}
	return int(size), nil
}

// Encode returns the state as it is sent over the connection, with its header.
func (s *State) Encode() ([]byte, error) {
	var header Header
	buffer := bytes.NewBuffer(header[:])
	fmt.Fprintf(buffer, "%d\n", Version)
	if err := gob.NewEncoder(buffer).Encode(s); err != nil {
		return nil, fmt.Errorf("encoding the state: %w", err)
	}
	frame := buffer.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-len(header)))
	binary.BigEndian.PutUint32(frame[4:], crc32.ChecksumIEEE(frame[len(header):]))
	if _, err := Header(frame[:len(header)]).Size(); err != nil {
		return nil, err
	}
	return frame, nil
}

// Decode decodes and validates what follows a header. elapsed is the time since the new process asked for the
// state: at most that long the old process's figures went on changing after they were copied.
func Decode(header Header, data []byte, expected Who, elapsed time.Duration) (*State, error) {
	if size, err := header.Size(); err != nil || size != len(data) || crc32.ChecksumIEEE(data) != binary.BigEndian.Uint32(header[4:]) {
		return nil, errors.New("the state is truncated or corrupt")
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

// ListFrom returns the list if it came from the given agent, otherwise nil: another agent has its own
// sequence numbers.
func (s *State) ListFrom(discovery string) []byte {
	if s.Discovery != discovery {
		return nil
	}
	return s.List
}

// SocketLimit returns how many descriptors the new process may use while the old one holds some, given a
// limit for both; 0 means no limit. It is at least minimum, as the new process could not start with less.
func SocketLimit(limit, heldByOld, minimum int) int {
	if limit == 0 {
		return 0
	}
	return max(minimum, min(limit, limit-heldByOld))
}

// MemoryShare is the fraction of the memory limit that each process may use while both run.
const MemoryShare = 0.5
