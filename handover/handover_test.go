package handover

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/limiter"
)

var self = Who{Limiter: "n3", Listen: "127.0.0.1:3000"}

// A note is accepted only if it is complete, and written by the same limiter and version.
func TestNote(t *testing.T) {
	n := Note{Who: self, Admin: "127.0.0.1:9000", Token: "secret"}
	encoded := n.Encode()
	got, err := ParseNote(encoded, self)
	if n.Version = Version; err != nil || got != n {
		t.Fatalf("%+v (%v)", got, err)
	}
	for k := range encoded {
		if _, err := ParseNote(encoded[:k], self); !errors.Is(err, ErrUnusableNote) {
			t.Fatalf("the first %d bytes of a note are accepted: %v", k, err)
		}
		broken := []byte(string(encoded))
		broken[k] ^= 4
		if _, err := ParseNote(broken, self); !errors.Is(err, ErrUnusableNote) {
			t.Fatalf("a note with byte %d changed is accepted: %v", k, err)
		}
	}
	for _, who := range []Who{{"n4", self.Listen}, {self.Limiter, "127.0.0.1:3001"}} {
		if _, err := ParseNote(encoded, who); !errors.Is(err, ErrUnusableNote) {
			t.Errorf("a note of another limiter is accepted: %v", err)
		}
		if who.FileName() == self.FileName() {
			t.Errorf("%v has the file of another limiter", who)
		}
	}
	if _, err := ParseNote(Note{Who: self, Admin: "127.0.0.1:9000"}.Encode(), self); !errors.Is(err, ErrUnusableNote) {
		t.Errorf("a note without a token is accepted: %v", err)
	}
}

func newState() *State {
	return &State{Who: self, List: []byte(`{"seq":4}`), Drained: true, Sockets: 90, Discovery: "127.0.0.1:8500", Memory: &limiter.Memory{
		Boxes: []limiter.BoxMemory{{ID: 7, ReadyAt: 12, Spent: 2, Had: 1, Ills: []limiter.IllMemory{{Failures: 1, LeftMs: 30}}}},
		Handover: &limiter.Handover{Position: 3, Balancers: 8, KnownMs: 900, Plans: []limiter.Plan{{Rate: 2}},
			Accounts: []limiter.AccountMemory{{ID: 5, Balance: -3, Share: 2}}}}}
}

// decode decodes a state with its header.
func decode(frame []byte, expected Who, elapsed time.Duration) (*State, error) {
	var h Header
	headerSize := copy(h[:], frame)
	return Decode(h, frame[headerSize:], expected, elapsed)
}

// A state is transferred completely, and has aged by the time that the transfer took.
func TestState(t *testing.T) {
	data, err := newState().Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(data, self, 40*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	want := newState()
	want.Memory.Handover.DownMs = 40
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	if _, err := decode(data, Who{"n4", self.Listen}, 0); err == nil {
		t.Error("the state of another limiter is accepted")
	}
	for k := range data {
		if _, err := decode(data[:k], self, 0); err == nil {
			t.Fatalf("the first %d of %d bytes are accepted as a state", k, len(data))
		}
	}
	other := slices.Clone(data[8:])
	other[0]++ // the version
	var h Header
	binary.BigEndian.PutUint32(h[:], uint32(len(other)))
	binary.BigEndian.PutUint32(h[4:], crc32.ChecksumIEEE(other))
	if _, err := Decode(h, other, self, 0); err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("a state of another version: %v", err)
	}
	for k := range 40 {
		broken := slices.Clone(data)
		broken[k*len(data)/40] ^= 4
		if _, err := decode(broken, self, 0); err == nil {
			t.Errorf("a state with byte %d changed is accepted", k*len(data)/40)
		}
	}
	binary.BigEndian.PutUint32(h[:], MaxStateBytes+1)
	if _, err := h.Size(); err == nil {
		t.Error("a state above the size limit is accepted")
	}
	if got.ListFrom("127.0.0.1:8500") == nil || got.ListFrom("127.0.0.1:8501") != nil {
		t.Error("the list is accepted for an agent that did not send it")
	}
	for name, change := range map[string]func(*State){
		"no memory":   func(s *State) { s.Memory = nil },
		"no accounts": func(s *State) { s.Memory.Handover = nil },
		"descriptors": func(s *State) { s.Sockets = -1 },
	} {
		s := newState()
		change(s)
		data, _ := s.Encode()
		if _, err := decode(data, self, 0); err == nil {
			t.Errorf("%s: the state is accepted", name)
		}
	}
}

// Both processes together stay within the limit, unless the new one could not start with what is left.
func TestSockets(t *testing.T) {
	for _, x := range []struct{ limit, old, want int }{{0, 500, 0}, {1024, 100, 924}, {512, 100, 412}, {384, 0, 384}, {384, 380, 64}, {384, -5, 384}} {
		if got := SocketLimit(x.limit, x.old, 64); got != x.want {
			t.Errorf("limit %d with %d in use: %d, want %d", x.limit, x.old, got, x.want)
		}
	}
}
