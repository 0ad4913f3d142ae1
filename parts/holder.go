package parts

// UsableShares says how much of the ceilings a limiter may use, in units of an equal share.
type Use struct {
	Of   map[uint64]float64 // accounts with a deal
	Rest float64            // all other accounts
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
func (h *Holder) Forget() Use {
	h.caughtUp = false
	return Use{Rest: float64(Floor) / Equal}
}

// CaughtUp records that the limiter has applied everything that was agreed on before it started.
func (h *Holder) CaughtUp() { h.caughtUp = true }

// Evaluate returns the shares to use according to the ledger, and what to confirm once they are in
// use; nil: nothing. ok is false until the limiter has caught up: the floors apply.
func (h *Holder) Look(ledger *Book) (usable Use, confirm *Confirm, ok bool) {
	if !h.caughtUp {
		return usable, nil, false
	}
	usable.Of, usable.Rest = ledger.SharesOf(h.position)
	if c, due := ledger.Due(h.position); due {
		confirm = &c
	}
	return usable, confirm, true
}
