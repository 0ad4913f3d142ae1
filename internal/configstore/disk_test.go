package configstore

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"example.org/madderdrum/control/configdelta"
	"example.org/madderdrum/control/paxos"
)

// logFile is the one file of the newest log.
func logFile(t *testing.T, d *disk) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(d.folder(d.number), "*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("%v %v", files, err)
	}
	return files[0]
}

// At every length to which a loss of power may cut the log, what is found is one of the records
// written, and none older than the last that was synced before the cut.
func TestTornLog(t *testing.T) {
	dir := t.TempDir()
	d, _, err := openDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	voters := []string{"1", "2", "3"}
	records := []paxos.Record{{}}
	if err := d.begin(&records[0], voters); err != nil {
		t.Fatal(err)
	}
	var sizes []int64
	size := func() {
		info, err := os.Stat(logFile(t, d))
		if err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, info.Size())
	}
	size()
	for i := range 6 {
		b := paxos.Ballot{Number: uint64(i + 1), Node: 1}
		next := records[i]
		next.Promised = b
		var delta []byte
		if i%2 == 1 {
			next.Accepted, next.Value = b, []byte{byte(i), 7, 7}
			if i > 1 {
				if delta, err = configdelta.Between(records[i].Value, next.Value); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := d.write(&next, &records[i], delta, voters); err != nil {
			t.Fatal(err)
		}
		records = append(records, next)
		size()
	}
	data, err := os.ReadFile(logFile(t, d))
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(data) + 1 {
		at := -1
		for i, s := range sizes {
			if s <= int64(n) {
				at = i
			}
		}
		torn := append([]byte(nil), data...)
		for k := n; k < len(torn); k++ { // what follows is there, missing or torn
			torn[k] ^= 0x55
		}
		for _, cut := range [][]byte{data[:n], torn} {
			other := t.TempDir()
			folder := filepath.Join(other, filepath.Base(d.folder(d.number)))
			if err := os.MkdirAll(folder, 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(folder, filepath.Base(logFile(t, d))), cut, 0o644); err != nil {
				t.Fatal(err)
			}
			d2, k, err := openDisk(other)
			if err != nil {
				t.Fatalf("cut at %d: %v", n, err)
			}
			if k.found != (at >= 0) {
				t.Fatalf("cut at %d: found is %v", n, k.found)
			}
			if !k.found {
				continue
			}
			if diff := cmp.Diff(records[at], k.record); diff != "" {
				t.Fatalf("cut at %d: %s", n, diff)
			}
			if diff := cmp.Diff(voters, k.voters); diff != "" {
				t.Fatalf("cut at %d: %s", n, diff)
			}
			// It goes on from there in a new log, and the old one is gone.
			next := records[at]
			next.Promised.Number = 99
			if err := d2.write(&next, &records[at], nil, voters); err != nil {
				t.Fatal(err)
			}
			if _, k, err := openDisk(other); err != nil || k.record.Promised.Number != 99 {
				t.Fatalf("cut at %d: what was written after it is lost: %+v %v", n, k, err)
			}
		}
	}
}

// A log is begun anew when it has grown, and holds the same.
func TestLogBeginsAnew(t *testing.T) {
	dir := t.TempDir()
	d, _, err := openDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	var before paxos.Record
	for i := range 40 {
		b := paxos.Ballot{Number: uint64(i + 1)}
		next := paxos.Record{Promised: b, Accepted: b, Value: make([]byte, logMost/10)}
		if err := d.write(&next, &before, nil, nil); err != nil {
			t.Fatal(err)
		}
		before = next
	}
	if d.number < 3 {
		t.Errorf("log %d after ten times its most", d.number)
	}
	if _, k, err := openDisk(dir); err != nil || k.record.Promised.Number != 40 {
		t.Errorf("%d, 40 wanted, %v", k.record.Promised.Number, err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) != 1 {
		t.Errorf("%d logs are left, 1 wanted, %v", len(entries), err)
	}
}

// After hundreds of changes, each written as a difference, a restart finds the newest one and replays
// a bounded number of entries.
func TestLogOfDifferences(t *testing.T) {
	dir := t.TempDir()
	d, _, err := openDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	var before paxos.Record
	for i := range 3*deltasMost + 10 {
		b := paxos.Ballot{Number: uint64(i + 1)}
		next := paxos.Record{Promised: b, Accepted: b, Value: fmt.Appendf(nil, "value %d of many", i)}
		delta, err := configdelta.Between(before.Value, next.Value)
		if err != nil {
			t.Fatal(err)
		}
		if err := d.write(&next, &before, delta, nil); err != nil {
			t.Fatal(err)
		}
		before = next
		if d.deltas > deltasMost {
			t.Fatalf("%d entries build on the one before", d.deltas)
		}
	}
	_, k, err := openDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(before, k.record); diff != "" {
		t.Error(diff)
	}
}
