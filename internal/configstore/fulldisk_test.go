package configstore

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"example.org/madderdrum/control/paxos"
)

// A full disk fails every write, including that of a new log: no write is reported as successful, the last
// record stays readable, and once there is space the next record is written whole.
func TestFullDiskRefusesEveryWrite(t *testing.T) {
	dir := t.TempDir()
	d, _, err := openDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	voters := []string{"1", "2", "3"}
	record := func(n uint64) *paxos.Record {
		ballot := paxos.Ballot{Number: n, Node: 1}
		return &paxos.Record{Promised: ballot, Accepted: ballot, Value: []byte{byte(n)}}
	}
	last := record(1)
	if err := d.startLog(last, voters); err != nil {
		t.Fatal(err)
	}
	// Appending fails because the log is closed; new log directories cannot be created because files of their
	// names exist.
	d.log.Close()
	var blocked []string
	for n := d.logNumber + 1; n <= d.logNumber+20; n++ {
		blocked = append(blocked, d.logDir(n))
		if err := os.WriteFile(d.logDir(n), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for n := uint64(2); n < 12; n++ {
		if err := d.write(record(n), last, nil, voters); err == nil {
			t.Fatalf("write of record %d succeeded on a full disk", n)
		}
	}
	for _, path := range blocked {
		os.Remove(path)
	}
	if _, found, err := openDisk(dir); err != nil || cmp.Diff(&found.record, last) != "" {
		t.Errorf("after the failed writes the disk holds %+v %v", found.record, err)
	}
	next := record(12)
	if err := d.write(next, last, nil, voters); err != nil {
		t.Fatalf("write failed although there is space again: %v", err)
	}
	logs, _ := filepath.Glob(filepath.Join(dir, logPrefix+"*"))
	if _, found, err := openDisk(dir); err != nil || cmp.Diff(&found.record, next) != "" || len(logs) != 1 {
		t.Errorf("once there is space the disk holds %+v in %v, %v", found.record, logs, err)
	}
}
