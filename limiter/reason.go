package limiter

// Reason is why a request was refused, for operators: the decisions don't go by it.
type Reason int

// The reasons of refusals.
const (
	NoReason      Reason = iota // what the request names does not exist
	QuotaShort                  // its account has too little left, as far as is known here
	PeersUnheard                // and a part of the burst is held back until peers are heard
	CeilingShort                // this limiter's part of the ceiling has too little left
	AtOnceShort                 // too many attempts of the account are out
	Advised                     // plug-ins said so
	NoTime                      // no answer could come in time any more
	NoServer                    // no server would answer in time
	AfterAttempts               // attempts failed without having run, or harmlessly
)

var reasonNames = [...]string{"none", "quota", "peers_unheard", "ceiling", "at_once", "advised", "no_time", "no_server", "after_attempts"}

func (r Reason) String() string { return reasonNames[r] }

// reason is why a request is turned away that admit has decided on.
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

// Regard is what a limiter takes a server for.
type Regard int

// What servers are taken for.
const (
	Usable    Regard = iota
	Unlisted         // it is not listed, or as draining or gone
	TakenDown        // it does not answer
	TakenIll         // requests of the class fail there
	Silent           // it owes answers for long
	Full             // it turned requests away a moment ago
	TooCold          // this limiter's part of what a cold one can do is used up
)

// Regards is what a server is taken for, for requests of a class. Nothing changes by looking.
func (l *Limiter) Regards(now float64, id uint64, class int) Regard {
	srv := l.serversByID[id]
	switch {
	case srv == nil || srv.info.Phase != Up:
		return Unlisted
	case srv.down:
		return TakenDown
	case now < srv.ejections[class].until:
		return TakenIll
	case now < srv.fullUntil:
		return Full
	case l.warmth(now, srv) < 1 && srv.coldCredit < 1:
		return TooCold
	}
	serverCopy, poolCopy := *srv, *srv.pool
	if serverCopy.pool = &poolCopy; l.stalled(now, &serverCopy) { // which fades the sums of what it looks at
		return Silent
	}
	return Usable
}
