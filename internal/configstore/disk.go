package configstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/tidwall/wal"

	"example.org/madderdrum/control/configdelta"
	"example.org/madderdrum/control/paxos"
)

// maxLogBytes is the log size above which a new log is started: only the last record matters, and the WAL
// library keeps the whole log in memory.
const maxLogBytes = 512 << 10

// maxLogDeltas bounds the entries of one log that are deltas, because a restart replays all of them.
const maxLogDeltas = 256

// logPrefix starts the name of each log directory; a number follows.
const logPrefix = "register-"

// disk persists an acceptor's record in a write-ahead log. Each log has a numbered directory of its own. A new
// log is written and synced before it replaces the old one.
type disk struct {
	dir       string
	logNumber int
	log       *wal.Log
	nextIndex uint64
	logBytes  int
	deltas    int  // delta entries in the current log
	failed    bool // a write failed: the next write must start a new log
}

// logEntry is one entry of the log: a whole record, or only the promise if the value did not change.
type logEntry struct {
	Record  *paxos.Record `cbor:"1,keyasint,omitempty"`
	Promise *paxos.Ballot `cbor:"2,keyasint,omitempty"`
	Voters  []string      `cbor:"3,keyasint,omitempty"`
	// Delta computes the value from that of the previous entry if Record comes without a value.
	Delta []byte `cbor:"4,keyasint,omitempty"`
}

// recoveredState is the state read from disk at startup. found is false if there was no whole record.
type recoveredState struct {
	record paxos.Record
	voters []string
	found  bool
}

func (d *disk) logDir(number int) string {
	return filepath.Join(d.dir, fmt.Sprintf("%s%08d", logPrefix, number))
}

// openDisk recovers the newest readable log in dir. A torn tail, which was never acknowledged, is discarded.
func openDisk(dir string) (*disk, recoveredState, error) {
	d := &disk{dir: dir}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, recoveredState{}, fmt.Errorf("configstore: create directory %s: %w", dir, err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, recoveredState{}, fmt.Errorf("configstore: read directory %s: %w", dir, err)
	}
	var numbers []int
	for _, e := range entries {
		if text, ok := strings.CutPrefix(e.Name(), logPrefix); ok {
			if n, err := strconv.Atoi(text); err == nil {
				numbers = append(numbers, n)
			}
		}
	}
	slices.Sort(numbers)
	slices.Reverse(numbers)
	var recovered recoveredState
	for _, n := range numbers {
		d.logNumber = max(d.logNumber, n)
		if !recovered.found {
			if recovered, err = d.replayLog(d.logDir(n)); err != nil {
				return nil, recoveredState{}, err
			}
		}
	}
	return d, recovered, nil
}

// replayLog reads a log up to its first torn or corrupt entry.
func (d *disk) replayLog(logDir string) (recovered recoveredState, err error) {
	files, err := os.ReadDir(logDir)
	if err != nil {
		return recovered, fmt.Errorf("configstore: read log directory %s: %w", logDir, err)
	}
	for _, f := range files {
		if len(f.Name()) < 20 {
			continue
		}
		data, err := os.ReadFile(filepath.Join(logDir, f.Name()))
		if err != nil {
			return recovered, fmt.Errorf("configstore: read log file: %w", err)
		}
		for len(data) > 0 {
			length, prefix := binary.Uvarint(data)
			if prefix <= 0 || uint64(len(data)-prefix) < length {
				break
			}
			payload, ok := stripChecksum(data[prefix : prefix+int(length)])
			data = data[prefix+int(length):]
			var entry logEntry
			if !ok || cbor.Unmarshal(payload, &entry) != nil {
				break
			}
			if !recovered.apply(&entry) {
				break
			}
		}
	}
	return recovered, nil
}

// apply replays one entry. It reports whether the entry is consistent with the preceding ones.
func (r *recoveredState) apply(entry *logEntry) bool {
	if entry.Record != nil {
		if !r.applyRecord(entry) {
			return false
		}
	}
	if entry.Promise != nil {
		r.record.Promised = *entry.Promise
	}
	if entry.Voters != nil {
		r.voters = entry.Voters
	}
	return true
}

func (r *recoveredState) applyRecord(entry *logEntry) bool {
	record := *entry.Record
	if entry.Delta != nil {
		value, err := configdelta.Apply(r.record.Value, entry.Delta)
		if err != nil {
			return false
		}
		record.Value = value
	}
	r.record, r.found = record, true
	return true
}

// appendChecksum appends a CRC-32 to an entry.
func appendChecksum(entry []byte) []byte {
	return binary.BigEndian.AppendUint32(entry, crc32.ChecksumIEEE(entry))
}

// stripChecksum verifies the CRC-32 of an entry and removes it.
func stripChecksum(data []byte) ([]byte, bool) {
	if len(data) < 4 {
		return nil, false
	}
	entry := data[:len(data)-4]
	return entry, binary.BigEndian.Uint32(data[len(data)-4:]) == crc32.ChecksumIEEE(entry)
}

// startLog starts a new log with a whole record and removes the older logs.
func (d *disk) startLog(record *paxos.Record, voters []string) error {
	if d.log != nil {
		d.log.Close()
		d.log = nil
	}
	d.logNumber++
	logDir := d.logDir(d.logNumber)
	log, err := wal.Open(logDir, &wal.Options{LogFormat: wal.Binary, SegmentSize: 8 * maxLogBytes, SegmentCacheSize: 1, NoCopy: true})
	if err != nil {
		return err
	}
	entry, err := cbor.Marshal(&logEntry{Record: record, Voters: voters})
	if err != nil {
		return err
	}
	if err := log.Write(1, appendChecksum(entry)); err != nil {
		log.Close()
		return err
	}
	if err := errors.Join(syncDir(logDir), syncDir(d.dir)); err != nil {
		log.Close()
		return err
	}
	d.log, d.nextIndex, d.logBytes, d.deltas, d.failed = log, 2, len(entry), 0, false
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil // stale logs only take up space
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), logPrefix) && e.Name() != filepath.Base(logDir) {
			os.RemoveAll(filepath.Join(d.dir, e.Name()))
		}
	}
	return nil
}

// syncDir makes new directory entries durable.
func syncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// write makes a record durable before it returns nil. before is the previously written record; delta, if not
// nil, computes the new value from the previous one.
func (d *disk) write(record, before *paxos.Record, delta []byte, voters []string) error {
	if d.log == nil || d.failed || d.logBytes > maxLogBytes || d.deltas >= maxLogDeltas {
		return d.startLog(record, voters)
	}
	entry := logEntry{Record: record}
	if record.Accepted == before.Accepted && record.Disk == before.Disk && bytes.Equal(record.Value, before.Value) {
		entry = logEntry{Promise: &record.Promised}
	} else if delta != nil {
		withoutValue := *record
		withoutValue.Value = nil
		entry = logEntry{Record: &withoutValue, Delta: delta}
		d.deltas++
	}
	data, err := cbor.Marshal(&entry)
	if err != nil {
		return err
	}
	if err := d.log.Write(d.nextIndex, appendChecksum(data)); err != nil {
		d.failed = true
		return err
	}
	d.nextIndex++
	d.logBytes += len(data)
	return nil
}
