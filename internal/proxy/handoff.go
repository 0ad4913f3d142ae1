package proxy

import (
	"net/http"
	"sync/atomic"
)

// States of a handOff.
const (
	handOffWaiting  int32 = iota // only the proxy has the request
	handOffAtServer              // a server may have received or executed the request
	handOffRevoked               // the request has been answered at exit and must not be sent
)

// handOff records whether a server may have received a request. It resolves the race between an attempt about to
// be sent and the end of the process, which answers the remaining requests. Its zero value is a request that has
// not been sent.
type handOff struct{ state atomic.Int32 }

// beginSend reports whether the request may be sent to a server. If so, the request counts as received from then
// on.
func (h *handOff) beginSend() bool {
	return h.state.CompareAndSwap(handOffWaiting, handOffAtServer) || h.state.Load() == handOffAtServer
}

// markNotExecuted records that no server has executed the request, although it was sent.
func (h *handOff) markNotExecuted() { h.state.CompareAndSwap(handOffAtServer, handOffWaiting) }

// revoke prevents further sends and reports whether a server may have executed the request.
func (h *handOff) revoke() (mayHaveRun bool) {
	return h.state.Swap(handOffRevoked) == handOffAtServer
}

// revoked reports whether the request was answered at exit.
func (h *handOff) revoked() bool { return h.state.Load() == handOffRevoked }

// answerAtExit returns the answer to a request that is unanswered at exit. A request that was not executed can be
// retried elsewhere at once; otherwise the client learns that the outcome is unknown.
func (h *handOff) answerAtExit() *answer {
	if h.revoke() {
		return &answer{status: http.StatusGatewayTimeout, reason: "the limiter ends"}
	}
	return &answer{status: http.StatusServiceUnavailable, retryAfterMs: leavingRetryAfterMs, reason: "the limiter ends"}
}
