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

// logFile returns the only file of the newest log.
func logFile(t *testing.T, d *disk) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(d.logDir(d.logNumber), "*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("%v %v", files, err)
	}
	return files[0]
}

// After a power loss that cuts the log at any length, recovery finds the last record that was completely on disk.
func TestTornLog(t *testing.T) {
	dir := t.TempDir()
	d, _, err := openDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	voters := []string{"1", "2", "3"}
	records := []paxos.Record{{}}
	if err := d.startLog(&records[0], voters); err != nil {
		t.Fatal(err)
	}
	var sizes []int64
	recordSize := func() {
		info, err := os.Stat(logFile(t, d))
		if err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, info.Size())
	}
	recordSize()
	for i := range 6 {
		ballot := paxos.Ballot{Number: uint64(i + 1), Node: 1}
		next := records[i]
		next.Promised = ballot
		var delta []byte
		if i%2 == 1 {
			next.Accepted, next.Value = ballot, []byte{byte(i), 7, 7}
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
		recordSize()
	}
	data, err := os.ReadFile(logFile(t, d))
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(data) + 1 {
		lastWhole := -1
		for i, s := range sizes {
			if s <= int64(n) {
				lastWhole = i
			}
		}
		torn := append([]byte(nil), data...)
		for k := n; k < len(torn); k++ { // the bytes after the cut may be missing or corrupt
			torn[k] ^= 0x55
		}
		for _, cut := range [][]byte{data[:n], torn} {
			other := t.TempDir()
			logDir := filepath.Join(other, filepath.Base(d.logDir(d.logNumber)))
			if err := os.MkdirAll(logDir, 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(logDir, filepath.Base(logFile(t, d))), cut, 0o644); err != nil {
				t.Fatal(err)
			}
			reopened, k, err := openDisk(other)
			if err != nil {
				t.Fatalf("cut at %d: %v", n, err)
			}
			if k.found != (lastWhole >= 0) {
				t.Fatalf("cut at %d: found is %v", n, k.found)
			}
			if !k.found {
				continue
			}
			if diff := cmp.Diff(records[lastWhole], k.record); diff != "" {
				t.Fatalf("cut at %d: %s", n, diff)
			}
			if diff := cmp.Diff(voters, k.voters); diff != "" {
				t.Fatalf("cut at %d: %s", n, diff)
			}
			// The next write starts a new log that replaces the cut one.
			next := records[lastWhole]
			next.Promised.Number = 99
			if err := reopened.write(&next, &records[lastWhole], nil, voters); err != nil {
				t.Fatal(err)
			}
			if _, k, err := openDisk(other); err != nil || k.record.Promised.Number != 99 {
				t.Fatalf("cut at %d: the record written after recovery is lost: %+v %v", n, k, err)
			}
		}
	}
}

// A log that has grown too large is replaced by a new one that holds the latest record.
func TestLogBeginsAnew(t *testing.T) {
	dir := t.TempDir()
	d, _, err := openDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	var before paxos.Record
	for i := range 40 {
		ballot := paxos.Ballot{Number: uint64(i + 1)}
		next := paxos.Record{Promised: ballot, Accepted: ballot, Value: make([]byte, maxLogBytes/10)}
		if err := d.write(&next, &before, nil, nil); err != nil {
			t.Fatal(err)
		}
		before = next
	}
	if d.logNumber < 3 {
		t.Errorf("log number %d after records of four times maxLogBytes", d.logNumber)
	}
	if _, k, err := openDisk(dir); err != nil || k.record.Promised.Number != 40 {
		t.Errorf("recovered promise %d, 40 wanted, %v", k.record.Promised.Number, err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) != 1 {
		t.Errorf("%d logs are left, 1 wanted, %v", len(entries), err)
	}
}

// After hundreds of changes written as deltas, a restart recovers the newest record, and the number of entries
// to replay is bounded.
func TestLogOfDifferences(t *testing.T) {
	dir := t.TempDir()
	d, _, err := openDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	var before paxos.Record
	for i := range 3*maxLogDeltas + 10 {
		ballot := paxos.Ballot{Number: uint64(i + 1)}
		next := paxos.Record{Promised: ballot, Accepted: ballot, Value: fmt.Appendf(nil, "value %d of many", i)}
		delta, err := configdelta.Between(before.Value, next.Value)
		if err != nil {
			t.Fatal(err)
		}
		if err := d.write(&next, &before, delta, nil); err != nil {
			t.Fatal(err)
		}
		before = next
		if d.deltas > maxLogDeltas {
			t.Fatalf("%d delta entries in one log", d.deltas)
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
