// Package reserve decides how far a limiter may spend its part of an account's ceiling before
// what a successor would begin with after a kill has been written down. It does no input or
// output and reads no clock.
//
// The file always says less than the limiter holds: by the headroom. The limiter in turn never
// spends below what the file says, so that a successor that begins with that, filled up for the
// time since, spends nothing a second time. While nothing can be written the file's level rises
// to the part less the headroom and stays there: bursts become as small as the headroom, and the
// ceiling's rate still passes.
package reserve

// Line is a level that rises at a rate up to a bound, as a bucket that nobody spends from.
type Line struct {
	Level float64 // units ...
	At    float64 // ... at this time, in ms
	Rate  float64 // units a second
	Most  float64 // units
}

// On is the level at a time; before At it is the level at At, as with a clock that went back.
func (l Line) On(now float64) float64 {
	return min(l.Most, l.Level+max(0, now-l.At)/1000*l.Rate)
}

// above returns a line that is below neither of two from now on.
func above(now float64, a, b Line) Line {
	return Line{max(a.On(now), b.On(now)), now, max(a.Rate, b.Rate), max(a.Most, b.Most)}
}

// Headroom is the share of a store of so many units, filled at a rate, that may be spent
// between two writes: what the rate gives within the span, and half of the store at least.
func Headroom(rate, most, withinMs float64) float64 {
	return min(most, max(most/2, rate*withinMs/1000))
}

// Account is what the file says of one account, as far as is known.
type Account struct {
	written Line   // said by the file for certain ...
	pending Line   // ... unless this one already does
	seq     uint64 // of the write that pending is part of
}

// Floor is the level that must not be spent below. Kept is the last write that is on the disk.
func (a *Account) Floor(now float64, kept uint64) float64 {
	if a.seq <= kept {
		return a.pending.On(now)
	}
	return max(a.written.On(now), a.pending.On(now))
}

// Write notes that a line is being written with a write. Until that is kept both lines may be
// what the file says, and after one that failed all three.
func (a *Account) Write(now float64, next Line, seq, kept uint64) {
	if a.seq <= kept {
		a.written = a.pending
	} else {
		a.written = above(now, a.written, a.pending)
	}
	a.pending, a.seq = next, seq
}

// Begin is an Account of which the file may say a line already, though it does not name it.
func Begin(unnamed Line) *Account { return &Account{written: unnamed, pending: unnamed} }
