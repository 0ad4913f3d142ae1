package durable

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// clock is the machine's clocks and boot ID, as a test sets them.
type clock struct {
	boot string
	up   time.Duration
	wall time.Time
}

func (c *clock) options(owner string) Options {
	return Options{Owner: owner, Now: func() time.Time { return c.wall }, Boot: func() (string, time.Duration) { return c.boot, c.up }}
}

func open(t testing.TB, dir string, o Options) (*Folder, *Recovered) {
	t.Helper()
	f, r, err := Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	return f, r
}

// latestValues returns the last value of each key, without deleted keys.
func latestValues(all []Record) map[string]string {
	m := map[string]string{}
	for _, r := range all {
		key := fmt.Sprint(r.Kind, "/", r.Key)
		if len(r.Value) == 0 {
			delete(m, key)
		} else {
			m[key] = string(r.Value)
		}
	}
	return m
}

func newRecord(key uint64, value string) Record {
	return Record{Kind: 1, Key: key, Value: []byte(value)}
}

// snapshot writes a snapshot of the given records.
func snapshot(t testing.TB, f *Folder, all ...Record) {
	t.Helper()
	err := f.Snapshot(func(put func(Record) error) error {
		for _, r := range all {
			if err := put(r); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func mustAppend(t testing.TB, f *Folder, all ...Record) {
	t.Helper()
	if err := f.Append(all); err != nil {
		t.Fatal(err)
	}
}

// Written records are recovered, together with their age and how the previous process ended.
func TestRemembers(t *testing.T) {
	dir, c := filepath.Join(t.TempDir(), "a", "b"), &clock{"boot-1", time.Hour, time.Unix(1e9, 0)}
	f, r := open(t, dir, c.options("n0"))
	if r.Found || len(r.Notes) > 0 {
		t.Errorf("new folder: %+v", r)
	}
	if err := f.Append(nil); err == nil {
		t.Error("Append succeeded before the first snapshot")
	}
	snapshot(t, f, newRecord(1, "one"), newRecord(2, "two"))
	mustAppend(t, f, newRecord(2, "deux"), newRecord(3, "trois"))
	mustAppend(t, f, newRecord(1, ""))
	if _, _, err := Open(dir, c.options("n0")); !errors.Is(err, ErrInUse) {
		t.Errorf("second Open of a locked folder: %v", err)
	}
	if err := f.Close([]Record{newRecord(4, "last")}); err != nil {
		t.Fatal(err)
	}
	c.up, c.wall = c.up+10*time.Second, c.wall.Add(-time.Hour) // the wall clock is set back
	f, r = open(t, dir, c.options("n0"))
	if got := fmt.Sprint(latestValues(r.Records)); !r.Found || !r.Clean || r.CopiedOrRebooted || r.Age != 10*time.Second || got != "map[1/2:deux 1/3:trois 1/4:last]" || len(r.Notes) > 0 {
		t.Errorf("%+v, %s", r, got)
	}
	if r.Downtime != 10*time.Second {
		t.Errorf("downtime %v", r.Downtime)
	}
	// A clean end is taken over once only, even if the process that took over was killed.
	f.lock.Close()
	if f, r = open(t, dir, c.options("n0")); r.Clean || r.Intact || fmt.Sprint(latestValues(r.Records)) != "map[1/2:deux 1/3:trois 1/4:last]" {
		t.Errorf("taken over a second time: %+v", r)
	}
	// A killed process leaves no clean end, but its state is intact.
	snapshot(t, f, newRecord(7, "seven"))
	mustAppend(t, f, newRecord(8, "eight"))
	f.lock.Close()
	f, r = open(t, dir, c.options("n0"))
	if got := fmt.Sprint(latestValues(r.Records)); r.Clean || !r.Intact || r.Uptime != c.up || got != "map[1/7:seven 1/8:eight]" {
		t.Errorf("%+v, %s", r, got)
	}
	f.lock.Close() // killed again, before it wrote anything
	if f, r = open(t, dir, c.options("n0")); r.Intact || !r.Found {
		t.Errorf("resumed from a second time: %+v", r)
	}
	for range 5 {
		snapshot(t, f, newRecord(9, "nine"))
	}
	if all, _ := f.generations(); len(all) != 2 {
		t.Errorf("%d generations", len(all))
	}
	if f.SnapshotDue() {
		t.Error("a new snapshot is due right after one")
	}
	for range 70 {
		mustAppend(t, f, Record{Kind: 1, Key: 5, Value: make([]byte, 1000)})
	}
	if !f.SnapshotDue() {
		t.Error("no snapshot is due after 70 KB of log")
	}
	for _, bad := range []Record{{Kind: kindEnd}, {Kind: firstReservedKind}, {Value: make([]byte, MaxValueBytes+1)}} {
		if err := f.Append([]Record{bad}); err == nil {
			t.Errorf("Append accepted kind %d with %d bytes", bad.Kind, len(bad.Value))
		}
	}
}

// Another owner's folder, a copied folder and a rebooted machine are detected.
func TestMoved(t *testing.T) {
	dir, c := t.TempDir(), &clock{"boot-1", time.Hour, time.Unix(1e9, 0)}
	f, _ := open(t, dir, c.options("n0"))
	snapshot(t, f, newRecord(1, "one"))
	if err := f.Close(nil); err != nil {
		t.Fatal(err)
	}
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	f, r := open(t, copied, c.options("n0"))
	if !r.Found || !r.CopiedOrRebooted || r.Clean {
		t.Errorf("copied folder: %+v", r)
	}
	f.lock.Close()
	later := *c
	later.boot, later.up, later.wall = "boot-2", time.Minute, c.wall.Add(48*time.Hour)
	f, r = open(t, dir, later.options("n0"))
	if !r.Found || !r.CopiedOrRebooted || r.Age != 48*time.Hour || r.Clean {
		t.Errorf("after a reboot: %+v", r)
	}
	f.lock.Close()
	f, r = open(t, dir, c.options("n1"))
	if r.Found || len(r.Notes) != 1 || !strings.Contains(r.Notes[0], `belongs to another owner: "n0", this is "n1"`) {
		t.Errorf("another owner's folder: %+v", r)
	}
	f.lock.Close()
	if _, _, err := Open(filepath.Join(dir, lockName, "x"), c.options("n0")); err == nil {
		t.Error("Open succeeded below a regular file")
	}
}

// writeGenerations writes a folder with two generations. It returns their files and every state that may
// be recovered from them: empty, and after each snapshot and each appended record.
func writeGenerations(t testing.TB, dir string) (files []string, states []string) {
	c := &clock{"boot-1", time.Hour, time.Unix(1e9, 0)}
	f, _ := open(t, dir, c.options("n0"))
	all := []Record{newRecord(1, "old one"), newRecord(2, "old two")}
	snapshot(t, f, all...)
	states = append(states, "map[]", fmt.Sprint(latestValues(all)))
	for _, r := range []Record{newRecord(2, "older"), newRecord(5, "five")} {
		mustAppend(t, f, r)
		all = append(all, r)
		states = append(states, fmt.Sprint(latestValues(all)))
	}
	all = []Record{newRecord(1, "new one"), newRecord(2, "new two"), newRecord(3, strings.Repeat("x", 300))}
	snapshot(t, f, all...)
	states = append(states, fmt.Sprint(latestValues(all)))
	for _, r := range []Record{newRecord(4, "four"), newRecord(1, ""), newRecord(4, "vier")} {
		mustAppend(t, f, r)
		all = append(all, r)
		states = append(states, fmt.Sprint(latestValues(all)))
	}
	if err := f.Close(nil); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if e.Name() != lockName {
			files = append(files, e.Name())
		}
	}
	return files, states
}

// Damage to one file by a power failure or a bad disk (truncated at any byte, any bit flipped, missing,
// zeroes at its end) yields an earlier state or none, and a new process can continue from there.
func TestDamage(t *testing.T) {
	from := t.TempDir()
	files, states := writeGenerations(t, from)
	if len(files) != 4 {
		t.Fatalf("%v", files)
	}
	data := map[string][]byte{}
	for _, name := range files {
		b, err := os.ReadFile(filepath.Join(from, name))
		if err != nil {
			t.Fatal(err)
		}
		data[name] = b
	}
	c := &clock{"boot-1", time.Hour, time.Unix(1e9, 0)}
	dir := t.TempDir()
	tried := 0
	try := func(what string, name string, b []byte) {
		t.Helper()
		tried++
		for n, d := range data {
			if n == name {
				d = b
			}
			path := filepath.Join(dir, n)
			if d == nil {
				os.Remove(path)
			} else if err := os.WriteFile(path, d, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		f, r := open(t, dir, c.options("n0"))
		defer f.lock.Close()
		if got := fmt.Sprint(latestValues(r.Records)); !slices.Contains(states, got) || r.Clean && got != states[len(states)-1] {
			t.Fatalf("%s of %s: %s, clean %v", what, name, got, r.Clean)
		}
		if tried%97 == 0 { // check that writing can continue
			snapshot(t, f, newRecord(1, "again"))
			f.lock.Close()
			f, r := open(t, dir, c.options("n0"))
			if got := fmt.Sprint(latestValues(r.Records)); got != "map[1/1:again]" {
				t.Fatalf("%s of %s: after a new snapshot %s, %v", what, name, got, r.Notes)
			}
			f.lock.Close()
			os.RemoveAll(dir)
			os.MkdirAll(dir, 0o700)
		}
	}
	for name, b := range data {
		try("loss", name, nil)
		for n := range len(b) {
			try(fmt.Sprintf("truncation to %d bytes", n), name, b[:n])
			try(fmt.Sprintf("zeroes from byte %d on", n), name, append(slices.Clone(b[:n]), make([]byte, len(b)-n)...))
			for bit := range 8 {
				x := slices.Clone(b)
				x[n] ^= 1 << bit
				try(fmt.Sprintf("bit %d of byte %d", bit, n), name, x)
			}
		}
		try("zeroes after the end", name, append(slices.Clone(b), make([]byte, 4096)...))
	}
	t.Logf("%d damaged folders", tried)
}

// A file of a later version is skipped in favor of the previous generation, and is not deleted.
func TestLaterVersion(t *testing.T) {
	dir := t.TempDir()
	files, states := writeGenerations(t, dir)
	slices.Sort(files)
	last := filepath.Join(dir, files[len(files)-1])
	b, err := os.ReadFile(last)
	if err != nil {
		t.Fatal(err)
	}
	binary.LittleEndian.PutUint16(b[len(magic):], Version+1)
	if err := os.WriteFile(last, b, 0o600); err != nil {
		t.Fatal(err)
	}
	c := &clock{"boot-1", time.Hour, time.Unix(1e9, 0)}
	f, r := open(t, dir, c.options("n0"))
	defer f.lock.Close()
	if got := fmt.Sprint(latestValues(r.Records)); got != states[3] || len(r.Notes) != 1 || !strings.Contains(r.Notes[0], "later version: 2") {
		t.Errorf("%s, %v", got, r.Notes)
	}
	if _, err := os.Stat(last); err != nil {
		t.Errorf("file of the later version: %v", err)
	}
}

// child runs in the process that TestKilled kills: it counts up, stores each number in two records, and
// prints it once it is on the disk.
func child(dir string) {
	f, r, err := Open(dir, Options{Owner: "n0"})
	if err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	n := uint64(0)
	if s := latestValues(r.Records); s["1/1"] != "" {
		n, _ = strconv.ParseUint(s["1/1"], 10, 64)
	}
	all := func(put func(Record) error) error {
		return errors.Join(put(newRecord(1, fmt.Sprint(n))), put(newRecord(2, fmt.Sprint(n))))
	}
	if err := f.Snapshot(all); err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	for {
		n++
		if n%7 == 0 {
			err = f.Snapshot(all)
		} else {
			err = f.Append([]Record{newRecord(2, fmt.Sprint(n)), newRecord(1, fmt.Sprint(n))})
		}
		if err != nil {
			fmt.Println("error", err)
			os.Exit(1)
		}
		fmt.Println(n)
	}
}

func TestMain(m *testing.M) {
	if dir := os.Getenv("DURABLE_CHILD"); dir != "" {
		child(dir)
	}
	os.Exit(m.Run())
}

// A process is killed at random points (DURABLE_KILLS=1000 for more of them). The next one recovers what
// the killed one reported to be on the disk, or what it was just writing, and never anything else.
func TestKilled(t *testing.T) {
	kills := 200
	if n, err := strconv.Atoi(os.Getenv("DURABLE_KILLS")); err == nil {
		kills = n
	}
	dir, r := t.TempDir(), rand.New(rand.NewPCG(1, 1))
	reported, duringWrite := uint64(0), 0
	for k := range kills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "DURABLE_CHILD="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		output := bufio.NewScanner(out)
		for range 1 + r.IntN(20) { // kill it some time after one of these lines
			if !output.Scan() {
				t.Fatalf("%d: the child ended", k)
			}
			n, err := strconv.ParseUint(output.Text(), 10, 64)
			if err != nil {
				t.Fatalf("%d: %s", k, output.Text())
			}
			reported = n
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Microsecond)
		cmd.Process.Kill()
		for output.Scan() { // what it printed before it ended
			if n, err := strconv.ParseUint(output.Text(), 10, 64); err == nil {
				reported = n
			}
		}
		cmd.Wait()
		f, found, err := Open(dir, Options{Owner: "n0"})
		if err != nil {
			t.Fatal(err)
		}
		s := latestValues(found.Records)
		one, _ := strconv.ParseUint(s["1/1"], 10, 64)
		two, _ := strconv.ParseUint(s["1/2"], 10, 64)
		if !found.Found || found.Clean || one < reported || one > reported+1 || two < one || two > one+1 {
			t.Fatalf("kill %d: reported %d, recovered %d and %d: %+v", k, reported, one, two, found.Notes)
		}
		if one != reported || two != one || len(found.Notes) > 0 {
			duringWrite++
		}
		f.lock.Close()
	}
	t.Logf("%d kills, %d of them during a write", kills, duringWrite)
}

// FuzzRead checks that reading arbitrary file contents terminates and returns no more records than fit.
func FuzzRead(f *testing.F) {
	b := appendHeader(nil, []byte(`{"generation":1,"owner":"n0"}`))
	b = appendRecord(b, newRecord(1, "one"))
	f.Add(appendRecord(slices.Clone(b), Record{Kind: kindEnd, Key: 1}), true)
	f.Add(b, false)
	f.Fuzz(func(t *testing.T, b []byte, whole bool) {
		path := filepath.Join(t.TempDir(), "x")
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		_, records, _, err := readFile(systemDisk{}, path, whole)
		if err == nil && whole && len(records) > len(b) {
			t.Errorf("%d records of %d bytes", len(records), len(b))
		}
	})
}
