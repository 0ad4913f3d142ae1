package limiter

// progress handles the progress of a long request body. The client's timeout starts with the last byte, and
// a server that reads the body does not count as silent.
func (l *Limiter) progress(now float64, e Progress) {
	req := l.requests[e.ID]
	if req == nil || e.Try < 0 || e.Try >= len(req.attempts) || req.attempts[e.Try].ended {
		return
	}
	req.attempts[e.Try].server.silentSince = now
	if extension := now + e.LeftMs - req.deadlineAt; extension > 0 {
		req.deadlineAt, req.aimAt = req.deadlineAt+extension, req.aimAt+extension
	}
	if e.BodyReleased {
		req.maxAttempts = len(req.attempts)
	}
}
