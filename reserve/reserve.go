// Package reserve limits how far a limiter may spend its share of an account's ceiling before
// the state that a successor would start from after a kill has been written to disk. It does no
// I/O and reads no clock.
//
// The file always states less than the limiter holds; the difference is the headroom. The
// limiter in turn never spends below the level in the file, so that a successor that starts
// from that level, refilled for the time since, spends nothing twice. While writes fail, the
// level in the file rises to the share less the headroom and stays there: bursts are limited to
// the headroom, and requests at the rate of the ceiling still pass.
package reserve

// RisingLevel is a level that rises at a constant rate up to a maximum, like a token bucket without withdrawals.
type RisingLevel struct {
	Level    float64 // units
	SinceMs  float64 // the time of Level, in ms
	RatePerS float64 // units per second
	Max      float64 // units
}

// LevelAt returns the level at a time; before SinceMs, as after a clock was set back, it is the level at At.
func (l RisingLevel) LevelAt(now float64) float64 {
	return min(l.Max, l.Level+max(0, now-l.SinceMs)/1000*l.RatePerS)
}

// upperBound returns a line that is at no time from now on below a or b.
func upperBound(now float64, a, b RisingLevel) RisingLevel {
	return RisingLevel{max(a.LevelAt(now), b.LevelAt(now)), now, max(a.RatePerS, b.RatePerS), max(a.Max, b.Max)}
}

// Headroom returns how many units of a bucket with capacity most, refilled at rate, may be
// spent between two writes: the refill within the interval, and at least half of the bucket.
func Headroom(rate, most, withinMs float64) float64 {
	return min(most, max(most/2, rate*withinMs/1000))
}

// Account tracks what the file may state about one account.
type Account struct {
	written RisingLevel // the file states at least this line
	pending RisingLevel // a newer line that the file may state already
	seq     uint64      // sequence number of the write with pending
}

// Floor returns the level that must not be spent below. kept is the latest write known to be on disk.
func (a *Account) Floor(now float64, kept uint64) float64 {
	if a.seq <= kept {
		return a.pending.LevelAt(now)
	}
	return max(a.written.LevelAt(now), a.pending.LevelAt(now))
}

// BeginWrite records that write seq, which contains next, has started. Until it is on disk, the
// file may state either line; after a failed write it may state any of the three.
func (a *Account) BeginWrite(now float64, next RisingLevel, seq, kept uint64) {
	if a.seq <= kept {
		a.written = a.pending
	} else {
		a.written = upperBound(now, a.written, a.pending)
	}
	a.pending, a.seq = next, seq
}

// NewAccount returns an Account that the file does not name yet. unnamed is the line that a
// successor would assume for it.
func NewAccount(unnamed RisingLevel) *Account { return &Account{written: unnamed, pending: unnamed} }
