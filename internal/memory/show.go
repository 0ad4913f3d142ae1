package memory

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"example.org/madderdrum/durable"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/recall"
)

// View is what a look at one limiter's folder tells. The limiter may be running: nothing is
// changed.
type View struct {
	Folder  string
	Listing *durable.Listing
	Found   *durable.Recovered
	Memory  *limiter.Memory // nil: a limiter would start fresh
	Trusted *limiter.Memory // what of it a limiter that started now would go by
	Classes []string
	Err     error // why there is no memory though there is a snapshot
}

// Look looks at a folder: that of one limiter, or of a tier with one folder for each.
func Look(folder string) ([]View, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("memory: %w", err)
	}
	own, err := inspectFolder(folder)
	if err != nil {
		return nil, err
	}
	if len(own.Listing.Files) > 0 {
		return []View{own}, nil
	}
	var all []View
	for _, e := range entries {
		if !e.IsDir() {
			continue
		}
		v, err := inspectFolder(filepath.Join(folder, e.Name()))
		if err != nil {
			return nil, err
		}
		if len(v.Listing.Files) > 0 {
			all = append(all, v)
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("memory: %s: no limiter's memory is in it; name the folder of a memory block, or one limiter's in it", folder)
	}
	return all, nil
}

func inspectFolder(folder string) (v View, err error) {
	v.Folder = folder
	if v.Listing, err = durable.Inspect(folder); err != nil {
		return v, fmt.Errorf("memory: %w", err)
	}
	if v.Found, err = durable.Read(folder); err != nil {
		return v, fmt.Errorf("memory: %w", err)
	}
	if !v.Found.Found {
		return v, nil
	}
	var names recall.Names
	if v.Memory, names, v.Err = decode(v.Found); v.Err != nil {
		return v, nil
	}
	v.Classes = names
	v.Trusted = recall.Aged(v.Memory, provenanceOf(v.Found, v.Memory), names, names)
	return v, nil
}

// foundOf is how a memory was found.
func provenanceOf(r *durable.Recovered, m *limiter.Memory) recall.Found {
	f := recall.Found{Age: r.Age, Clean: r.Clean, Intact: r.Intact, Down: r.Downtime}
	if h := m.Handover; h != nil && h.HeadMs > 0 {
		f.Down = time.Duration(h.DownMs * float64(time.Millisecond))
	}
	return f
}

// Sound tells whether each file is sound, or one that a killed or running process leaves.
func (v *View) Sound() error {
	var errs []error
	for _, f := range v.Listing.Files {
		if f.Err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", f.Name, f.Err))
		}
	}
	return errors.Join(append(errs, v.Err)...)
}

// Ills are the boxes of which something is amiss: down, kept off for a class, or at least half
// as slow again as is usual.
func (v *View) Ills() (all []limiter.BoxMemory) {
	for _, b := range v.Trusted.Boxes {
		ill := slices.ContainsFunc(b.Ills, func(e limiter.IllMemory) bool { return e.Failures > 0 || e.LeftMs > 0 })
		if b.Down || ill || b.BackMs > 0 || b.Slowness() >= 1.5 {
			all = append(all, b)
		}
	}
	return all
}
