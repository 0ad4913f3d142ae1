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

// A log is begun anew once it holds so much: all that counts is its last record, and the
// library keeps the whole of it in memory.
const logMost = 512 << 10

// deltasMost bounds how many entries of a log build on the one before: a restart replays them all.
const deltasMost = 256

const logPrefix = "register-"

// disk keeps an acceptor's record in a write-ahead log. The log lies in a folder of its own
// with a number; a new one is begun, synced and only then takes the place of the old one.
type disk struct {
	dir    string
	number int
	log    *wal.Log
	next   uint64
	size   int
	deltas int  // entries that build on the one before
	sick   bool // a write failed: the log has to be begun anew before the next
}

// line is one entry: a whole record, or the promise alone where the value stays.
type line struct {
	Record  *paxos.Record `cbor:"1,keyasint,omitempty"`
	Promise *paxos.Ballot `cbor:"2,keyasint,omitempty"`
	Voters  []string      `cbor:"3,keyasint,omitempty"`
	// Delta makes the value of the one before it, where Record comes without a value.
	Delta []byte `cbor:"4,keyasint,omitempty"`
}

// kept is what was found on disk.
type kept struct {
	record paxos.Record
	voters []string
	found  bool
}

func (d *disk) folder(number int) string {
	return filepath.Join(d.dir, fmt.Sprintf("%s%08d", logPrefix, number))
}

// openDisk reads what a folder holds. A torn tail, which nobody was told of, is cut off.
func openDisk(dir string) (*disk, kept, error) {
	d := &disk{dir: dir}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, kept{}, fmt.Errorf("configstore: make the folder %s: %w", dir, err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, kept{}, fmt.Errorf("configstore: list the folder %s: %w", dir, err)
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
	var k kept
	for _, n := range numbers {
		d.number = max(d.number, n)
		if !k.found {
			if k, err = d.read(d.folder(n)); err != nil {
				return nil, kept{}, err
			}
		}
	}
	return d, k, nil
}

// read replays one log, as far as its entries are whole.
func (d *disk) read(folder string) (k kept, err error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return k, fmt.Errorf("configstore: list the log %s: %w", folder, err)
	}
	for _, f := range files {
		if len(f.Name()) < 20 {
			continue
		}
		data, err := os.ReadFile(filepath.Join(folder, f.Name()))
		if err != nil {
			return k, fmt.Errorf("configstore: read the log: %w", err)
		}
		for len(data) > 0 {
			n, used := binary.Uvarint(data)
			if used <= 0 || uint64(len(data)-used) < n {
				break
			}
			entry, ok := unseal(data[used : used+int(n)])
			data = data[used+int(n):]
			var l line
			if !ok || cbor.Unmarshal(entry, &l) != nil {
				break
			}
			if !k.take(&l) {
				break
			}
		}
	}
	return k, nil
}

// take replays one entry. It tells whether the entry fits what was read before it.
func (k *kept) take(l *line) bool {
	if l.Record != nil {
		if !k.takeRecord(l) {
			return false
		}
	}
	if l.Promise != nil {
		k.record.Promised = *l.Promise
	}
	if l.Voters != nil {
		k.voters = l.Voters
	}
	return true
}

func (k *kept) takeRecord(l *line) bool {
	record := *l.Record
	if l.Delta != nil {
		value, err := configdelta.Apply(k.record.Value, l.Delta)
		if err != nil {
			return false
		}
		record.Value = value
	}
	k.record, k.found = record, true
	return true
}

// seal puts a checksum behind an entry.
func seal(entry []byte) []byte {
	return binary.BigEndian.AppendUint32(entry, crc32.ChecksumIEEE(entry))
}

func unseal(b []byte) ([]byte, bool) {
	if len(b) < 4 {
		return nil, false
	}
	entry := b[:len(b)-4]
	return entry, binary.BigEndian.Uint32(b[len(b)-4:]) == crc32.ChecksumIEEE(entry)
}

// begin starts a new log with a whole record and removes the older ones.
func (d *disk) begin(record *paxos.Record, voters []string) error {
	if d.log != nil {
		d.log.Close()
		d.log = nil
	}
	d.number++
	folder := d.folder(d.number)
	log, err := wal.Open(folder, &wal.Options{LogFormat: wal.Binary, SegmentSize: 8 * logMost, SegmentCacheSize: 1, NoCopy: true})
	if err != nil {
		return err
	}
	entry, err := cbor.Marshal(&line{Record: record, Voters: voters})
	if err != nil {
		return err
	}
	if err := log.Write(1, seal(entry)); err != nil {
		log.Close()
		return err
	}
	if err := errors.Join(syncFolder(folder), syncFolder(d.dir)); err != nil {
		log.Close()
		return err
	}
	d.log, d.next, d.size, d.deltas, d.sick = log, 2, len(entry), 0, false
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil // the older ones take room and do no harm
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), logPrefix) && e.Name() != filepath.Base(folder) {
			os.RemoveAll(filepath.Join(d.dir, e.Name()))
		}
	}
	return nil
}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// write has a record safe on disk when it returns nil. before is the one written last; delta makes
// the new value of the one before, where that is known.
func (d *disk) write(record, before *paxos.Record, delta []byte, voters []string) error {
	if d.log == nil || d.sick || d.size > logMost || d.deltas >= deltasMost {
		return d.begin(record, voters)
	}
	l := line{Record: record}
	if record.Accepted == before.Accepted && record.Disk == before.Disk && bytes.Equal(record.Value, before.Value) {
		l = line{Promise: &record.Promised}
	} else if delta != nil {
		short := *record
		short.Value = nil
		l = line{Record: &short, Delta: delta}
		d.deltas++
	}
	entry, err := cbor.Marshal(&l)
	if err != nil {
		return err
	}
	if err := d.log.Write(d.next, seal(entry)); err != nil {
		d.sick = true
		return err
	}
	d.next++
	d.size += len(entry)
	return nil
}
