package peering

// Repaid returns how many of the units that a peer has reported late (units it spent before now)
// have been covered by refill already. late is the number of units reported late. idle is the
// refill that overflowed the full local bucket since the last message of the peer: the bucket
// would have kept it if the units had been withdrawn in time. room is by how much the peer's
// level exceeds the local balance after withdrawing all units: a bucket that learns of more
// spending cannot hold more than one that learns of less. All values are in units.
func Repaid(late, idle, room float64) float64 { return max(0, min(late, idle, room)) }
