package proxy

import (
	"net/http"
	"sync/atomic"
)

// Where a request in hand is.
const (
	handOffWaiting  int32 = iota // in the proxy; no server has it
	handOffAtServer              // some server may have it, or has run it
	handOffRevoked               // it has had its answer: no server gets it any more
)

// handOff says whether a server may have a request, and settles who is first: an attempt that is about to be sent, or
// the end of the process, which answers what is in hand. The zero value is a request that waits.
type handOff struct{ state atomic.Int32 }

// send tells that the request may be sent to a server, which may have it from then on.
func (h *handOff) send() bool {
	return h.state.CompareAndSwap(handOffWaiting, handOffAtServer) || h.state.Load() == handOffAtServer
}

// takeBack notes that no server has run the request, though it was sent.
func (h *handOff) takeBack() { h.state.CompareAndSwap(handOffAtServer, handOffWaiting) }

// revoke has the request sent to no further server, and tells whether one may have run it.
func (h *handOff) revoke() (mayHaveRun bool) {
	return h.state.Swap(handOffRevoked) == handOffAtServer
}

// revoked tells that the request has had its answer at the end of the process.
func (h *handOff) revoked() bool { return h.state.Load() == handOffRevoked }

// answerAtExit is the answer of a request that the end of the process finds in hand. One that has not run can be
// served elsewhere at once; of another its client learns that the outcome is not known.
func (h *handOff) answerAtExit() *answer {
	if h.revoke() {
		return &answer{status: http.StatusGatewayTimeout, why: "the limiter ends"}
	}
	return &answer{status: http.StatusServiceUnavailable, retryAfter: leavingRetryAfter, why: "the limiter ends"}
}
