// Package pacing keeps a distance between the pieces of long bodies on a narrow link, so that what is short never waits behind a whole body: requests,
// answers of a few kilobytes, datagrams of other limiters. A body is passed in pieces; each
// piece waits until the link can have carried what was booked before it. What is short is
// booked and does not wait.
//
// A [Line] is one direction of one link. It does no input or output and reads no clock: times
// are handed in, in milliseconds on a clock that does not go backwards. It is not safe for
// concurrent use.
package pacing

const (
	// A link that carries so much needs no distance: a body of a megabyte takes 80 ms there.
	wideMbps = 100.0
	pieceMs  = 6.0 // that a piece takes on the link
	least    = 1 << 10
	most     = 64 << 10
	// So far ahead the link may be booked before a piece waits: timers go off late, and a link
	// that stands idle meanwhile is lost.
	aheadMs = 8.0
	// A piece waits no longer than this, whatever is booked: short traffic that fills the link
	// by itself must not stop a body for good.
	waitMs = 250.0
)

// Line is one direction of a link.
type Line struct {
	perMs float64 // bytes that the link carries
	free  float64 // when it has carried all that was booked
}

// New returns a line of a link that carries so many megabits a second; nil for one that is so
// wide, or not known, that nothing has to wait. A nil Line books nothing.
func New(mbps float64) *Line {
	if mbps <= 0 || mbps >= wideMbps {
		return nil
	}
	return &Line{perMs: mbps * 1e6 / 8 / 1000}
}

// Piece is how many bytes of a body are to be passed at once.
func (l *Line) Piece() int {
	if l == nil {
		return most
	}
	return min(most, max(least, int(l.perMs*pieceMs)))
}

// Long tells that a body of so many bytes is to be passed in pieces.
func (l *Line) Long(n int64) bool { return l != nil && n > 2*int64(l.Piece()) }

// Short books bytes that do not wait.
func (l *Line) Short(now float64, n int) {
	if l != nil {
		l.free = max(l.free, now) + float64(n)/l.perMs
	}
}

// Next books a piece of a long body and returns for how long it has to wait, in milliseconds.
func (l *Line) Next(now float64, n int) (wait float64) {
	if l == nil {
		return 0
	}
	at := max(now, l.free)
	l.free = at + float64(n)/l.perMs
	return min(waitMs, max(0, at-now-aheadMs))
}
