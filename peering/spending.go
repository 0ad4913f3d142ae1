package peering

// Repaid is how much of the spending that a peer tells of late (units that it spent before this
// moment) refill has repaid already. idle is the refill
// that the full bucket here let go since the peer was last heard: had the units been
// drawn in time, it would have been kept. room is how far the peer's own level lies above
// the balance that is left with all the units drawn: a bucket that hears of more spending
// can't hold more than one that hears of less. All in units.
func Repaid(late, idle, room float64) float64 { return max(0, min(late, idle, room)) }
