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

// States of the end of a log, as File.End reports them.
const (
	EndOpen      = "open"    // its process is running, or was killed
	EndClean     = "clean"   // its process shut down cleanly
	EndTaken     = "taken"   // another process has resumed from it
	EndTruncated = "cut off" // in the middle of a record: by a kill, or because it is being written
	EndDamaged   = "damaged"
)

// File describes one snapshot or log of a folder.
type File struct {
	Name     string
	Snapshot bool   // false: a log
	Stamp    Stamp  // zero if it could not be read
	Records  int    // complete ones
	End      string // of a log: EndOpen or another state
	Err      error  // nil: valid
}

// Listing describes the files of a folder.
type Listing struct {
	Files        []File   // the latest generation first
	UnknownFiles []string // names of files that this package did not write
}

// Inspect lists the files of a folder without locking it, so the folder may be in use. It changes
// nothing.
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
			l.UnknownFiles = append(l.UnknownFiles, name)
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
		f.End, f.Err = EndTruncated, nil
	case err != nil:
		f.End = EndDamaged
	default:
		f.End = end
	}
	return f
}

// Read returns what Open would recover from a folder, without locking or changing it: the state is
// not marked as taken over. The owner is taken from the latest valid snapshot.
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

// readOnlyDisk is a systemDisk that refuses to remove files.
type readOnlyDisk struct{ systemDisk }

func (readOnlyDisk) Remove(string) error { return fs.ErrPermission }
