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

// View describes the contents of one limiter's folder. The limiter may be running, as nothing is
// changed.
type View struct {
	Folder  string
	Listing *durable.Listing
	Found   *durable.Recovered
	Memory  *limiter.Memory // nil: a limiter would start fresh
	Trusted *limiter.Memory // the part of it that a limiter starting now would use
	Classes []string
	Err     error // why Memory is nil although there is a snapshot
}

// Inspect reads a folder without changing it: that of one limiter, or that of a tier with a subfolder
// for each limiter.
func Inspect(folder string) ([]View, error) {
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
	var names recall.ClassNames
	if v.Memory, names, v.Err = decode(v.Found); v.Err != nil {
		return v, nil
	}
	v.Classes = names
	v.Trusted = recall.Decay(v.Memory, provenanceOf(v.Found, v.Memory), names, names)
	return v, nil
}

// provenanceOf returns how old and how reliable a recovered state is, as package recall needs it.
func provenanceOf(r *durable.Recovered, m *limiter.Memory) recall.SnapshotInfo {
	f := recall.SnapshotInfo{Age: r.Age, Clean: r.Clean, Intact: r.Intact, Down: r.Downtime}
	if h := m.Handover; h != nil && h.HeadMs > 0 {
		f.Down = time.Duration(h.DownMs * float64(time.Millisecond))
	}
	return f
}

// Check returns the errors of damaged files. A truncated log, as a killed or running process leaves
// it, is no error.
func (v *View) Check() error {
	var errs []error
	for _, f := range v.Listing.Files {
		if f.Err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", f.Name, f.Err))
		}
	}
	return errors.Join(append(errs, v.Err)...)
}

// UnhealthyBoxes returns the servers with a problem: down, ejected or failing for a class, warming up after an
// outage, or at least 1.5 times as slow as usual.
func (v *View) UnhealthyBoxes() (all []limiter.BoxMemory) {
	for _, b := range v.Trusted.Boxes {
		ill := slices.ContainsFunc(b.Ills, func(e limiter.IllMemory) bool { return e.Failures > 0 || e.LeftMs > 0 })
		if b.Down || ill || b.BackMs > 0 || b.Slowness() >= 1.5 {
			all = append(all, b)
		}
	}
	return all
}
