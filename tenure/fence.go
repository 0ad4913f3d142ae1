package tenure

import "fmt"

// Fence remembers the highest epoch of each duty for a receiver of effects. It must survive restarts of
// the receiver: [Fence.Admit] reports when there is a change to persist. It is not safe for concurrent
// use.
type Fence struct{ highestEpochs map[string]uint64 }

// NewFence returns a fence that continues from persisted epochs; nil: there are none.
func NewFence(highestEpochs map[string]uint64) *Fence {
	f := &Fence{highestEpochs: map[string]uint64{}}
	for duty, epoch := range highestEpochs {
		f.highestEpochs[duty] = epoch
	}
	return f
}

// Admit returns an error if an effect must not be carried out. If raised is true, the epoch is new here
// and must be persisted before the effect.
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

// HighestEpoch returns the highest epoch seen of a duty; 0: none.
func (f *Fence) HighestEpoch(duty string) uint64 { return f.highestEpochs[duty] }
