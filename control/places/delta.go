package places

// Delta makes a table's places of those that somebody has.
type Delta struct {
	Size    int           `cbor:"1,keyasint"` // slots
	Changed map[int]Place `cbor:"2,keyasint,omitempty"`
}

// Difference is what has changed from one table's places to another's.
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

// maxSlots bounds what is believed of a table's size.
const maxSlots = 1 << 16

// Apply makes the newer places. ok is false where the delta makes no sense.
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
