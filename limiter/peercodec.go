package limiter

import "encoding/binary"

// maxPeerBytes is the longest message that the wire between gateways takes.
const maxPeerBytes = 256

// peerMagic and peerVersion open every message, so that a foreign one or one
// of another version is dropped whole.
const (
	peerMagic   = 0x5c
	peerVersion = 2
)

// Flags of a peer message.
const (
	flagSyncRequest = 1 << iota // the sender is new and asks for levels
	flagSyncReply               // the answer to a question for levels
	flagOutstanding             // entries carry the attempts out
	flagLevelUpdate             // a keeper tells levels: customer, plan and level alone
	flagFailureHint             // with flagNews: servers and classes that fail
	allFlags        = flagSyncRequest | flagSyncReply | flagOutstanding | flagLevelUpdate | flagFailureHint
)

// unitScale is the number of steps in which a unit is told.
const unitScale = 4

// peerMsg is one message between gateways.
type peerMsg struct {
	flags   byte
	mark    uint32 // incarnation of the sender
	seq     uint64 // rises by one with each message to this recipient
	ageMs   uint64 // how long the sender has run
	entries []peerEntry
}

// peerEntry tells of one customer.
type peerEntry struct {
	account     uint64
	plan        uint64
	spread      uint64 // gateways of the customer ...
	first       uint64 // ... in a row from this one
	spent       uint64 // units passed since the sender started, in steps
	newlySpent  uint64 // those of them not told before
	margin      uint64 // told with news, in steps
	level       int64  // the sender's bucket level, in steps
	outstanding uint64 // attempts out
}

// encode writes the message with as many of its entries as fit and returns
// the bytes and the number of entries written.
func (m *peerMsg) encode() ([]byte, int) {
	data := make([]byte, 0, maxPeerBytes)
	data = append(data, peerMagic, peerVersion, m.flags)
	if m.flags&flagLevelUpdate == 0 {
		data = binary.LittleEndian.AppendUint32(data, m.mark)
		data = binary.AppendUvarint(data, m.seq)
	}
	if m.flags&flagLevelUpdate == 0 || m.flags&flagSyncReply != 0 {
		data = binary.AppendUvarint(data, m.ageMs)
	}
	written := 0
	for _, entry := range m.entries {
		mark := len(data)
		data = binary.AppendUvarint(data, entry.account)
		data = binary.AppendUvarint(data, entry.plan)
		data = binary.AppendVarint(data, entry.level)
		if m.flags&flagLevelUpdate != 0 {
			data = binary.AppendUvarint(data, entry.margin)
		} else {
			data = binary.AppendUvarint(data, entry.spread)
			data = binary.AppendUvarint(data, entry.first)
			data = binary.AppendUvarint(data, entry.spent)
			data = binary.AppendUvarint(data, entry.newlySpent)
		}
		if m.flags&flagOutstanding != 0 {
			data = binary.AppendUvarint(data, entry.outstanding)
		}
		if len(data) > maxPeerBytes {
			data = data[:mark]
			break
		}
		written++
	}
	return data, written
}

// decodePeer reads a message; ok is false if any part of it is not sound.
func decodePeer(data []byte) (m peerMsg, ok bool) {
	if len(data) < 3 || len(data) > maxPeerBytes || data[0] != peerMagic || data[1] != peerVersion || data[2]&^allFlags != 0 {
		return m, false
	}
	m.flags = data[2]
	levelUpdate := m.flags&flagLevelUpdate != 0
	data = data[3:]
	valid := true
	uvarint := func() uint64 {
		v, n := binary.Uvarint(data)
		if n <= 0 {
			valid, data = false, nil
			return 0
		}
		data = data[n:]
		return v
	}
	if !levelUpdate {
		if len(data) < 4 {
			return m, false
		}
		m.mark, data = binary.LittleEndian.Uint32(data), data[4:]
		m.seq = uvarint()
	}
	if !levelUpdate || m.flags&flagSyncReply != 0 {
		m.ageMs = uvarint()
	}
	for valid && len(data) > 0 {
		entry := peerEntry{account: uvarint(), plan: uvarint()}
		level := uvarint()
		entry.level = int64(level>>1) ^ -int64(level&1) // as Varint is laid out
		if levelUpdate {
			entry.margin = uvarint()
		} else {
			entry.spread, entry.first, entry.spent, entry.newlySpent = uvarint(), uvarint(), uvarint(), uvarint()
		}
		if m.flags&flagOutstanding != 0 {
			entry.outstanding = uvarint()
		}
		m.entries = append(m.entries, entry)
	}
	return m, valid
}
