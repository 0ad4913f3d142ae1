package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// How a log ends.
const (
	EndOpen    = "open"    // its process runs, or was killed
	EndClean   = "clean"   // its process ended in good order
	EndTaken   = "taken"   // another process has gone on from it
	EndCut     = "cut off" // in the midst of a record: by a kill, or while it is being written
	EndDamaged = "damaged"
)

// File is what a look at one file of a folder tells.
type File struct {
	Name     string
	Snapshot bool   // else a log
	Stamp    Stamp  // zero if it could not be read
	Records  int    // whole ones
	End      string // of a log
	Err      error  // nil: sound
}

// Listing is what a look at a folder tells.
type Listing struct {
	Files   []File // the latest generation first
	Foreign []string
}

// Inspect looks at a folder without taking it: it may be in use. Nothing is changed.
func Inspect(dir string) (*Listing, error) {
	d := systemDisk{}
	names, err := d.List(dir)
	if err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	l := &Listing{}
	all := parseGenerations(names)
	for _, gen := range all {
		for _, suffix := range []string{snapSuffix, logSuffix} {
			name := fmt.Sprintf("%016x%s", gen, suffix)
			if slices.Contains(names, name) {
				l.Files = append(l.Files, inspect(d, dir, name, suffix == snapSuffix))
			}
		}
	}
	for _, name := range names {
		if name != lockName && !strings.HasSuffix(name, tempSuffix) && len(parseGenerations([]string{name})) == 0 {
			l.Foreign = append(l.Foreign, name)
		}
	}
	return l, nil
}

func inspect(d disk, dir, name string, snapshot bool) File {
	f := File{Name: name, Snapshot: snapshot}
	stamp, records, _, err := readFile(d, filepath.Join(dir, name), snapshot)
	f.Stamp, f.Err = stamp, err
	end := EndOpen
	for _, r := range records {
		switch {
		case r.Kind == kindClean:
			end = EndClean
		case r.Kind == kindTaken:
			end = EndTaken
		default:
			f.Records++
		}
	}
	if snapshot {
		return f
	}
	switch {
	case errors.Is(err, ErrTruncated):
		f.End, f.Err = EndCut, nil
	case err != nil:
		f.End = EndDamaged
	default:
		f.End = end
	}
	return f
}

// Read is what Open would find in a folder that nobody takes: nothing is changed, and nothing
// that may be had once counts as had. The owner is the one that the latest sound file names.
func Read(dir string) (*Recovered, error) {
	l, err := Inspect(dir)
	if err != nil {
		return nil, err
	}
	for _, f := range l.Files {
		if f.Snapshot && f.Err == nil {
			return (&Folder{dir: dir, options: Options{Owner: f.Stamp.Owner, Now: time.Now, Boot: readBootClock, disk: readOnlyDisk{}}}).recover()
		}
	}
	return &Recovered{}, nil
}

// readOnly is the system's disk, which nothing is removed from.
type readOnlyDisk struct{ systemDisk }

func (readOnlyDisk) Remove(string) error { return fs.ErrPermission }
