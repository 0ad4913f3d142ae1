package parts

// Use is how much of the ceilings a limiter may use, in equal parts: of the accounts that were
// dealt, and of the rest.
type Use struct {
	Of   map[uint64]float64
	Rest float64
}

// Holder decides what one limiter uses. It begins with knowing nothing. It is not safe for
// concurrent use.
type Holder struct {
	position int
	caughtUp bool
}

// NewHolder returns that of the limiter at a position.
func NewHolder(position int) *Holder { return &Holder{position: position} }

// Forget has it use its floors: what was agreed on is not known, or not any more.
func (h *Holder) Forget() Use {
	h.caughtUp = false
	return Use{Rest: float64(Floor) / Equal}
}

// CaughtUp tells that all is known that was agreed on before it began.
func (h *Holder) CaughtUp() { h.caughtUp = true }

// Look returns what to use by the book and, once that is used, what to confirm; nil: nothing.
// ok is false while too little is known: the floors hold.
func (h *Holder) Look(ledger *Book) (usable Use, confirm *Confirm, ok bool) {
	if !h.caughtUp {
		return usable, nil, false
	}
	usable.Of, usable.Rest = ledger.Parts(h.position)
	if c, due := ledger.Due(h.position); due {
		confirm = &c
	}
	return usable, confirm, true
}
