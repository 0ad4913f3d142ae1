package limiter

// progress takes in that a long request still goes on to its server. Its time counts from its
// last byte, and a server that takes it in is not silent.
func (l *Limiter) progress(now float64, e Progress) {
	req := l.requests[e.ID]
	if req == nil || e.Try < 0 || e.Try >= len(req.attempts) || req.attempts[e.Try].ended {
		return
	}
	req.attempts[e.Try].server.silentSince = now
	if extension := now + e.LeftMs - req.deadlineAt; extension > 0 {
		req.deadlineAt, req.aimAt = req.deadlineAt+extension, req.aimAt+extension
	}
	if e.Spent {
		req.maxAttempts = len(req.attempts)
	}
}
