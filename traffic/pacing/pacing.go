// Package pacing limits the rate at which long bodies are sent over a narrow link, so that short traffic
// (requests, answers of a few kilobytes, datagrams of other limiters) never waits behind a whole body. A
// long body is sent in chunks; each chunk waits until the link can have carried what was reserved before
// it. Short traffic is recorded and does not wait.
//
// A [Pacer] covers one direction of one link. It does no I/O and reads no clock: times are passed in,
// monotonic and in milliseconds. It is not safe for concurrent use.
package pacing

const (
	// Links this fast are not paced: a body of one megabyte takes 80 ms on them.
	unpacedMbps   = 100.0
	chunkMs       = 6.0 // transmission time of one chunk on the link
	minChunkBytes = 1 << 10
	maxChunkBytes = 64 << 10
	// How far ahead of time the link may be reserved before a chunk waits: timers fire late, and the link
	// would be idle meanwhile.
	maxLeadMs = 8.0
	// A chunk waits no longer than this, whatever is reserved: short traffic that fills the link must not
	// block a body forever.
	maxWaitMs = 250.0
)

// Pacer paces one direction of a link.
type Pacer struct {
	bytesPerMs float64 // capacity of the link
	freeAt     float64 // when the link has carried everything reserved
}

// New returns a pacer for a link with a capacity of mbps megabits per second, or nil if the link needs no
// pacing or its capacity is unknown. A nil Pacer never waits.
func New(mbps float64) *Pacer {
	if mbps <= 0 || mbps >= unpacedMbps {
		return nil
	}
	return &Pacer{bytesPerMs: mbps * 1e6 / 8 / 1000}
}

// ChunkSize returns how many bytes of a body to send at once.
func (l *Pacer) ChunkSize() int {
	if l == nil {
		return maxChunkBytes
	}
	return min(maxChunkBytes, max(minChunkBytes, int(l.bytesPerMs*chunkMs)))
}

// NeedsChunks reports whether a body of n bytes is to be sent in chunks.
func (l *Pacer) NeedsChunks(n int64) bool { return l != nil && n > 2*int64(l.ChunkSize()) }

// RecordUnpaced reserves the link for n bytes that are sent without waiting.
func (l *Pacer) RecordUnpaced(now float64, n int) {
	if l != nil {
		l.freeAt = max(l.freeAt, now) + float64(n)/l.bytesPerMs
	}
}

// ReserveChunk reserves the link for n bytes of a long body and returns how long to wait before sending
// them, in milliseconds.
func (l *Pacer) ReserveChunk(now float64, n int) (wait float64) {
	if l == nil {
		return 0
	}
	start := max(now, l.freeAt)
	l.freeAt = start + float64(n)/l.bytesPerMs
	return min(maxWaitMs, max(0, start-now-maxLeadMs))
}
