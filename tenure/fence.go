package tenure

import "fmt"

// Fence is what a receiver of effects remembers: the highest epoch of each duty. It is to
// be kept over the receiver's own restarts: [Fence.Admit] says when it has changed. It is
// not safe for concurrent use.
type Fence struct{ highestEpochs map[string]uint64 }

// NewFence returns a fence that goes on from what one before it remembered; nil: from nothing.
func NewFence(highestEpochs map[string]uint64) *Fence {
	f := &Fence{highestEpochs: map[string]uint64{}}
	for duty, epoch := range highestEpochs {
		f.highestEpochs[duty] = epoch
	}
	return f
}

// Admit tells whether an effect may be carried out. raised: its epoch is new here and must
// be on the disk before the effect.
func (f *Fence) Admit(t Token) (raised bool, err error) {
	switch highest := f.highestEpochs[t.Duty]; {
	case t.Epoch == 0 || t.Duty == "":
		return false, fmt.Errorf("%v is no token", t)
	case t.Epoch < highest:
		return false, fmt.Errorf("token %v is over: epoch %d has been seen", t, highest)
	case t.Epoch == highest:
		return false, nil
	case len(f.highestEpochs) >= maxDuties:
		return false, fmt.Errorf("token %v: %d duties are known, no more are taken in", t, len(f.highestEpochs))
	}
	f.highestEpochs[t.Duty] = t.Epoch
	return true, nil
}

// Highest is the highest epoch seen of a duty; 0: none.
func (f *Fence) HighestEpoch(duty string) uint64 { return f.highestEpochs[duty] }
