package parts

// UsableShares says how much of the ceilings a limiter may use, in units of an equal share.
type UsableShares struct {
	ByAccount map[uint64]float64 // accounts with a deal
	Default   float64            // all other accounts
}

// Holder decides what one limiter may use. A new Holder knows nothing of the ledger. It is not safe
// for concurrent use.
type Holder struct {
	position int
	caughtUp bool
}

// NewHolder returns the holder of the limiter at a position of the fleet.
func NewHolder(position int) *Holder { return &Holder{position: position} }

// UseFloors returns the floors, for when the ledger is unknown or can't be relied on any more.
func (h *Holder) UseFloors() UsableShares {
	h.caughtUp = false
	return UsableShares{Default: float64(Floor) / Equal}
}

// CaughtUp records that the limiter has applied everything that was agreed on before it started.
func (h *Holder) CaughtUp() { h.caughtUp = true }

// Evaluate returns the shares to use according to the ledger, and what to confirm once they are in
// use; nil: nothing. ok is false until the limiter has caught up: the floors apply.
func (h *Holder) Evaluate(ledger *Ledger) (usable UsableShares, confirm *Confirm, ok bool) {
	if !h.caughtUp {
		return usable, nil, false
	}
	usable.ByAccount, usable.Default = ledger.SharesOf(h.position)
	if c, due := ledger.PendingConfirm(h.position); due {
		confirm = &c
	}
	return usable, confirm, true
}
