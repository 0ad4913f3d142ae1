package limiter

import "encoding/binary"

// maxPeerBytes is the maximum length of a message between limiters.
const maxPeerBytes = 256

// peerMagic and peerVersion begin each message, so that foreign messages and those of other versions are
// dropped.
const (
	peerMagic   = 0x5c
	peerVersion = 2
)

// Flags of a peer message.
const (
	flagSyncRequest = 1 << iota // the sender has just started and asks for levels
	flagSyncReply               // answer to flagSyncRequest
	flagOutstanding             // entries have the attempts in flight
	flagLevelUpdate             // entries have account, plan, level and margin only
	flagFailureHint             // with flagLevelUpdate: account and plan are a server and a class that fails there
	allFlags        = flagSyncRequest | flagSyncReply | flagOutstanding | flagLevelUpdate | flagFailureHint
)

// unitScale is the number of steps per unit in messages.
const unitScale = 4

// peerMsg is one message between limiters.
type peerMsg struct {
	flags   byte
	mark    uint32 // random number that identifies the sender's run
	seq     uint64 // rises by one with each message to this recipient
	ageMs   uint64 // time since the sender's start
	entries []peerEntry
}

// peerEntry has the figures of one account.
type peerEntry struct {
	account     uint64
	plan        uint64
	spread      uint64 // number of limiters of the account
	first       uint64 // position of the first of them
	spent       uint64 // units spent since the sender's start, in steps
	newlySpent  uint64 // those of them that were not sent before
	margin      uint64 // with flagLevelUpdate, in steps
	level       int64  // balance at the sender, in steps
	outstanding uint64 // attempts in flight
}

// encode returns the message with as many of its entries as fit, and the number of those entries.
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

// decodePeer decodes a message; ok is false if any part of it is malformed.
func decodePeer(data []byte) (m peerMsg, ok bool) {
	if len(data) < 3 || len(data) > maxPeerBytes || data[0] != peerMagic ||
		data[1] != peerVersion || data[2]&^allFlags != 0 {
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
		entry.level = int64(level>>1) ^ -int64(level&1) // zigzag encoding, as of binary.AppendVarint
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
