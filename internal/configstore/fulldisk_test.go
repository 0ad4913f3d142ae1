package configstore

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"example.org/madderdrum/control/paxos"
)

// A full disk refuses every write, also that of a new log: nothing is told to be written, what was written stays, and
// once there is room the next record is written whole.
func TestFullDiskRefusesEveryWrite(t *testing.T) {
	dir := t.TempDir()
	d, _, err := openDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	voters := []string{"1", "2", "3"}
	record := func(n uint64) *paxos.Record {
		b := paxos.Ballot{Number: n, Node: 1}
		return &paxos.Record{Promised: b, Accepted: b, Value: []byte{byte(n)}}
	}
	last := record(1)
	if err := d.begin(last, voters); err != nil {
		t.Fatal(err)
	}
	// No more can be appended, and folders can't be made in place of what stands there.
	d.log.Close()
	var blocked []string
	for n := d.number + 1; n <= d.number+20; n++ {
		blocked = append(blocked, d.folder(n))
		if err := os.WriteFile(d.folder(n), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for n := uint64(2); n < 12; n++ {
		if err := d.write(record(n), last, nil, voters); err == nil {
			t.Fatalf("record %d is told to be written", n)
		}
	}
	for _, path := range blocked {
		os.Remove(path)
	}
	if _, found, err := openDisk(dir); err != nil || cmp.Diff(&found.record, last) != "" {
		t.Errorf("after the refusals the disk holds %+v %v", found.record, err)
	}
	next := record(12)
	if err := d.write(next, last, nil, voters); err != nil {
		t.Fatalf("there is room again: %v", err)
	}
	logs, _ := filepath.Glob(filepath.Join(dir, logPrefix+"*"))
	if _, found, err := openDisk(dir); err != nil || cmp.Diff(&found.record, next) != "" || len(logs) != 1 {
		t.Errorf("once there is room the disk holds %+v in %v, %v", found.record, logs, err)
	}
}
