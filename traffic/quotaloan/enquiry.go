package quotaloan

const (
	// The next limiter is asked where the one before has no token or does not answer soon. A
	// download may be before an ask on a link, which takes a tenth of a second on the narrowest:
	// answers are waited for so long behind the last ask.
	askNextMs    = 60.0
	nearWithinMs = 180.0
	farWithinMs  = 250.0
	// What a refusal of others says of when to come back is taken within these.
	leastWaitMs, mostWaitMs = 75.0, 1000.0
)

// Enquiry asks others for one token, one after the other, until one of them pays. It does no
// input or output and reads no clock: whoever holds it sends the asks and hands in what comes.
type Enquiry struct {
	askees []int
	near   int // so many of them stand in the own region
	asked  int
	open   int     // asks without an answer
	WaitMs float64 // until it may be of use to come back, as far as those asked have said; 0: nobody has
	Why    string  // of the latest refusal; empty: nobody has answered
}

// Enquire begins an enquiry at some limiters, of which the first ones are near.
func Enquire(askees []int, near int) *Enquiry { return &Enquiry{askees: askees, near: near} }

// Next is whom to ask now, and for how long to wait for answers before Next is called again. ok is
// false where nobody is left, or the time left is too short.
func (q *Enquiry) Next(leftMs float64) (place int, waitMs float64, ok bool) {
	if q.asked >= len(q.askees) {
		return 0, 0, false
	}
	waitMs = nearWithinMs
	if q.asked >= q.near {
		waitMs = farWithinMs
	}
	if leftMs < waitMs {
		return 0, 0, false
	}
	place = q.askees[q.asked]
	q.asked++
	q.open++
	if q.asked < len(q.askees) {
		waitMs = askNextMs
	}
	return place, waitMs, true
}

// Refused takes in that one of those asked has no token. It tells whether all have answered, so
// that the next one may be asked at once.
func (q *Enquiry) Refused(waitMs float64, why string) (all bool) {
	q.Why = why
	if waitMs > 0 {
		q.WaitMs = min(max(waitMs, leastWaitMs), mostWaitMs)
	}
	q.open--
	return q.open == 0
}
