package quotaloan

const (
	// The next limiter is asked when the previous one refuses or does not answer soon. A download that is
	// ahead of an ask on a link takes a tenth of a second on the slowest links, so answers are accepted for
	// longer after the last ask.
	nextAskDelayMs = 60.0
	nearTimeoutMs  = 180.0
	farTimeoutMs   = 250.0
	// Bounds for the retry-after times in other limiters' refusals.
	minRetryAfterMs, maxRetryAfterMs = 75.0, 1000.0
)

// TokenAsk asks other limiters for a single token, one after the other, until one grants it. It does
// no I/O and reads no clock: the caller sends the asks and passes in the refusals.
type TokenAsk struct {
	slots        []int
	near         int // number of slots, from the first, that are in this limiter's region
	askedCount   int
	pending      int     // asks without an answer
	RetryAfterMs float64 // when retrying may succeed, by the latest refusal that said so; 0: unknown
	Reason       string  // of the latest refusal; empty: no answer yet
}

// NewTokenAsk returns a request to the limiters in the given slots, of which the first near ones are in this
// limiter's region.
func NewTokenAsk(slots []int, near int) *TokenAsk { return &TokenAsk{slots: slots, near: near} }

// Next returns the limiter to ask now, and how long to wait for answers before Next is called again. ok is
// false if no limiter is left or leftMs, the time left for the request, is too short.
func (q *TokenAsk) Next(leftMs float64) (slot int, waitMs float64, ok bool) {
	if q.askedCount >= len(q.slots) {
		return 0, 0, false
	}
	waitMs = nearTimeoutMs
	if q.askedCount >= q.near {
		waitMs = farTimeoutMs
	}
	if leftMs < waitMs {
		return 0, 0, false
	}
	slot = q.slots[q.askedCount]
	q.askedCount++
	q.pending++
	if q.askedCount < len(q.slots) {
		waitMs = nextAskDelayMs
	}
	return slot, waitMs, true
}

// Refused records that one of the limiters asked has no token. It reports whether all of them have
// answered, so that the next one may be asked at once.
func (q *TokenAsk) Refused(waitMs float64, reason string) (allAnswered bool) {
	q.Reason = reason
	if waitMs > 0 {
		q.RetryAfterMs = min(max(waitMs, minRetryAfterMs), maxRetryAfterMs)
	}
	q.pending--
	return q.pending == 0
}
