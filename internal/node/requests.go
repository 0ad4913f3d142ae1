package node

import (
	"cmp"
	"errors"
	"net/http"
	"time"

	"example.org/madderdrum/limiter"
)

// errStale tells that another version of the configuration has come.
var errConfigChanged = errors.New("the configuration has changed")

// errInHand tells of an id that is in hand already: the module would leave the second
// request without an answer.
var errDuplicateID = &requestError{http.StatusConflict, "a request with this X-Request-ID is in hand"}

// submit hands a request, read by a version, to the module.
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

// next waits for what is to be done for a request: an attempt, or the answer.
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
		if left <= 0 { // held to the end: the client is still owed an answer
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

// wake tells the client's goroutine that there is something to do.
func (r *request) wake() {
	if r.signal != nil {
		select {
		case r.signal <- struct{}{}:
		default:
		}
	}
}

// finish reports how an attempt ended. Of one that was given up meanwhile the
// module has heard already.
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
		r.finalAnswer = &answer{status: http.StatusOK, contentType: rep.contentType, stream: rep.stream, att: att, load: rep.load, elapsedMs: msSince(att.sentAt)}
		n.handle(limiter.FirstByte{ID: r.id, Try: att.number})
		return
	}
	att.ended = true
	r.lastResult = rep.result
	if r.bodyRest != nil && r.bodyRest.consumed() {
		n.reportProgress(att, true)
	}
	if rep.requestErr != nil && r.finalAnswer == nil { // the client, before its request was whole
		r.finalAnswer = &answer{status: statusOf(rep.requestErr), body: []byte(rep.requestErr.Error() + "\n"), contentType: "text/plain; charset=utf-8"}
	}
	if rep.result == limiter.Pass && r.finalAnswer == nil {
		r.finalAnswer = &answer{status: http.StatusOK, body: rep.body, contentType: rep.contentType}
	}
	if n.cfg.Looks != nil && (rep.result == limiter.NoRoute || rep.result == limiter.Cut) {
		n.cfg.Looks.Failed(att.host.id)
	}
	n.handle(limiter.Outcome{ID: r.id, Try: att.number, Server: att.host.id, Result: rep.result,
		SpentMs: cmp.Or(rep.elapsedMs, msSince(att.sentAt)), Done: r.finalAnswer != nil, Load: rep.load})
}

// abandon ends a request whose client is gone.
func (n *Node) abandon(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.finalAnswer != nil {
		return
	}
	n.setFinalAnswer(r.id, clientGone)
	n.handle(limiter.Aborted{ID: r.id})
}

// forget drops a request that has its answer.
func (n *Node) removeRequest(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.requests, r.id)
}

// expire ends the attempts that are still out when the node must stop.
func (n *Node) expire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.requests {
		r.deadline = n.life.StopBy()
		if r.current != nil && r.current.conn != nil {
			r.current.conn.SetDeadline(r.deadline)
		}
		if r.current != nil && r.current.cancel != nil {
			r.current.cancel()
		}
	}
}
