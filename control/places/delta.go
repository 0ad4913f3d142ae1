package places

// Delta is the difference between two versions of a table's places.
type Delta struct {
	Size    int           `cbor:"1,keyasint"` // number of slots in the newer table
	Changed map[int]Place `cbor:"2,keyasint,omitempty"`
}

// Difference returns the delta that turns one table's places into another's.
func Difference(from, to []Place) Delta {
	d := Delta{Size: len(to)}
	for slot, p := range to {
		if slot >= len(from) || from[slot] != p {
			if d.Changed == nil {
				d.Changed = map[int]Place{}
			}
			d.Changed[slot] = p
		}
	}
	return d
}

// maxSlots is the largest table size accepted from a peer.
const maxSlots = 1 << 16

// Apply returns the newer places. ok is false if the delta is invalid.
func (d Delta) Apply(from []Place) (to []Place, ok bool) {
	if d.Size < 0 || d.Size > maxSlots {
		return nil, false
	}
	to = make([]Place, d.Size)
	copy(to, from)
	for slot, p := range d.Changed {
		if slot < 0 || slot >= d.Size {
			return nil, false
		}
		to[slot] = p
	}
	return to, true
}
