package node

import (
	"cmp"
	"errors"
	"net/http"
	"time"

	"example.org/madderdrum/limiter"
)

// errConfigChanged is returned for a request that was parsed with an earlier revision of the configuration.
var errConfigChanged = errors.New("the configuration has changed")

// errDuplicateID rejects a request whose ID belongs to one in progress: the module would leave the second
// request without an answer.
var errDuplicateID = &requestError{http.StatusConflict, "a request with this X-Request-ID is in hand"}

// submit passes a request, parsed with a revision of the configuration, to the module.
func (n *Node) submit(r *request, ev limiter.Submit, v *revision) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.revision.Load() != v {
		return errConfigChanged
	}
	if n.requests[r.id] != nil {
		return errDuplicateID
	}
	n.requests[r.id] = r
	r.deadline = n.endBy(r.deadline)
	if n.handedOver() {
		n.upgrade.lateRequests++
	}
	ev.ExpiresMs = float64(time.Until(r.deadline)) / float64(time.Millisecond)
	n.handle(ev)
	return nil
}

// nextStep waits for the next attempt of a request, or its final answer.
func (n *Node) nextStep(r *request) (*attempt, *answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		if att := r.current; att != nil && !att.started && !att.ended {
			att.started = true
			return att, nil
		}
		if r.finalAnswer != nil {
			return nil, r.finalAnswer
		}
		left := time.Until(r.deadline)
		if left <= 0 { // held by the module until the deadline: the client still has to get an answer
			n.setFinalAnswer(r.id, &answer{status: http.StatusGatewayTimeout})
			n.handle(limiter.Aborted{ID: r.id})
			continue
		}
		if r.signal == nil {
			r.signal = make(chan struct{}, 1)
		}
		n.mu.Unlock()
		t := time.NewTimer(left)
		select {
		case <-r.signal:
		case <-t.C:
		}
		t.Stop()
		n.mu.Lock()
	}
}

// wake notifies the client's goroutine of a new attempt or the final answer.
func (r *request) wake() {
	if r.signal != nil {
		select {
		case r.signal <- struct{}{}:
		default:
		}
	}
}

// finishAttempt reports how an attempt ended, unless it was cancelled: that has been reported already.
func (n *Node) finishAttempt(att *attempt, rep reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := att.req
	if r.current == att {
		r.current = nil
	}
	if att.ended {
		if rep.stream != nil {
			rep.stream.conn.close()
		}
		return
	}
	if rep.stream != nil {
		r.current, att.conn = att, rep.stream.conn
		r.finalAnswer = &answer{status: http.StatusOK, contentType: rep.contentType, stream: rep.stream,
			att: att, load: rep.load, elapsedMs: msSince(att.sentAt)}
		n.handle(limiter.FirstByte{ID: r.id, Try: att.number})
		return
	}
	att.ended = true
	r.lastResult = rep.result
	if r.bodyRest != nil && r.bodyRest.consumed() {
		n.reportProgress(att, true)
	}
	if rep.requestErr != nil && r.finalAnswer == nil { // the client failed to send its complete request
		r.finalAnswer = &answer{status: statusOf(rep.requestErr), body: []byte(rep.requestErr.Error() + "\n"),
			contentType: "text/plain; charset=utf-8"}
	}
	if rep.result == limiter.Pass && r.finalAnswer == nil {
		r.finalAnswer = &answer{status: http.StatusOK, body: rep.body, contentType: rep.contentType}
	}
	if n.cfg.ProbeSharing != nil && (rep.result == limiter.NoRoute || rep.result == limiter.Cut) {
		n.cfg.ProbeSharing.AttemptFailed(att.host.id)
	}
	n.handle(limiter.Outcome{ID: r.id, Try: att.number, Server: att.host.id, Result: rep.result,
		SpentMs: cmp.Or(rep.elapsedMs, msSince(att.sentAt)), Done: r.finalAnswer != nil, Load: rep.load})
}

// abandon ends a request whose client has disconnected.
func (n *Node) abandon(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.finalAnswer != nil {
		return
	}
	n.setFinalAnswer(r.id, clientGone)
	n.handle(limiter.Aborted{ID: r.id})
}

// removeRequest removes a request that has been answered.
func (n *Node) removeRequest(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.requests, r.id)
}

// expire ends the running attempts when the node must stop.
func (n *Node) expire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.requests {
		r.deadline = n.life.StopDeadline()
		if r.current != nil && r.current.conn != nil {
			r.current.conn.SetDeadline(r.deadline)
		}
		if r.current != nil && r.current.cancel != nil {
			r.current.cancel()
		}
	}
}
