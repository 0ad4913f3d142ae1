package limiter

// Reason says why a request was refused, for operators; it does not affect decisions.
type Reason int

// The reasons of refusals.
const (
	NoReason      Reason = iota // the request names an unknown class or plan
	QuotaShort                  // the account has too little quota left, as far as this limiter knows
	PeersUnheard                // likewise, and part of the burst is withheld until the peers have answered
	CeilingShort                // this limiter's part of the ceiling has too little left
	AtOnceShort                 // too many attempts of the account are in flight
	Advised                     // a plug-in refused it
	NoTime                      // it is too late for an answer in time
	NoServer                    // no server is expected to answer in time
	AfterAttempts               // attempts failed, and a retry by the client does no harm
)

var reasonNames = [...]string{"none", "quota", "peers_unheard", "ceiling", "at_once", "advised", "no_time", "no_server", "after_attempts"}

func (r Reason) String() string { return reasonNames[r] }

// reason returns why admit refuses a request.
func (l *Limiter) reason(acct *account, e *Submit, aim float64, allowed bool) Reason {
	limits, units := l.cfg.Plans[acct.plan], max(0, e.Units)
	switch {
	case e.Advice.Refuse:
		return Advised
	case allowed && aim <= 0:
		return NoTime
	case allowed:
		return NoServer
	case limits.CeilingRate > 0 && l.spendable(acct) < units:
		return CeilingShort
	case limits.AtOnce > 0 && acct.totalOutstanding() >= limits.AtOnce:
		return AtOnceShort
	case acct.withheld > 0 && acct.balance+acct.withheld >= units:
		return PeersUnheard
	}
	return QuotaShort
}

// Availability is a limiter's view of whether a server can be used.
type Availability int

// The views of a server.
const (
	Usable       Availability = iota
	Unlisted                  // it is not listed, draining or removed
	MarkedDown                // connections or probes fail
	Ejected                   // it is ejected for the class
	Unresponsive              // it has owed answers for too long
	Full                      // it has just refused requests for overload
	WarmingUp                 // it warms up, and this limiter's part of its capacity is used up
)

// Regards returns whether a server can be used for requests of a class, and why not. It changes no state.
func (l *Limiter) Regards(now float64, id uint64, class int) Availability {
	srv := l.serversByID[id]
	switch {
	case srv == nil || srv.info.Phase != Up:
		return Unlisted
	case srv.down:
		return MarkedDown
	case now < srv.ejections[class].until:
		return Ejected
	case now < srv.fullUntil:
		return Full
	case l.warmth(now, srv) < 1 && srv.coldCredit < 1:
		return WarmingUp
	}
	serverCopy, poolCopy := *srv, *srv.pool
	if serverCopy.pool = &poolCopy; l.stalled(now, &serverCopy) { // on copies, as stalled decays averages
		return Unresponsive
	}
	return Usable
}
