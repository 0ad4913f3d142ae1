// Package peering holds the rules by which the limiters of one tier share resources: the number
// of messages each sends to its peers, the back-off of calls to a shared service, and the order
// in which limiters are responsible for a key. It has no I/O, goroutines or clock.
package peering

import "time"

const (
	// Mean interval between the calls of all limiters together to a shared service after it
	// has rejected them as overloaded: 40 calls a second at first, then down to 10 for as long
	// as it goes on rejecting, whatever the size of the tier.
	initialCallInterval = 25 * time.Millisecond
	maxCallInterval     = 100 * time.Millisecond
)

// CallPause returns the mean pause of one limiter before it repeats a call that a shared service
// has rejected because of overload: first after the first rejection, growing up to most. If the
// pause did not grow with the number of limiters, their retries together would keep the
// service's queue full of calls whose callers have given up, and no call would be answered in
// time again.
func CallPause(limiters int) (first, most time.Duration) {
	n := time.Duration(max(1, limiters))
	return n * initialCallInterval, n * maxCallInterval
}
