package durable

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math"
)

// Record is one thing that is remembered: what was written of a key last holds. An empty
// value forgets the key.
type Record struct {
	Kind  byte // the caller's own, below 0xf0
	Key   uint64
	Value []byte
}

// The layout of a file, little-endian:
//
//	header   "MDRMEM" u16 version, u32 length and u32 checksum of what follows: the stamp
//	records  u32 length of the payload, u32 checksum of length and payload, payload
//	payload  u8 kind, u64 key, value
//
// A snapshot ends with a record of kindEnd whose key is the number of records before it; a
// log ends anywhere. Checksums are CRC-32C (Castagnoli), as iSCSI and ext4 have them.
const (
	magic             = "MDRMEM"
	headerSize        = len(magic) + 2 + 4 + 4
	frameSize         = 8
	keySize           = 9
	kindEnd           = 0xff
	kindClean         = 0xfe // the log of a process that ended in good order; its value is Stamp.Up of then
	kindTaken         = 0xfd // behind that: another process goes on from it, and none other may
	firstReservedKind = 0xf0
)

// Version is that of the layout. Files of a later one are not read.
const Version = 1

// Bounds of what is read: a damaged length must not take the memory.
const (
	maxStampBytes = 4 << 10
	MaxValueBytes = 64 << 10
)

// Errors of a file that can't be used.
var (
	ErrVersion = errors.New("written by a later version")
	ErrDamaged = errors.New("damaged")
	// ErrCut is of a file that ends in the midst of a record; it is damaged too.
	ErrTruncated = fmt.Errorf("%w: a record is cut off", ErrDamaged)
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// appendHeader writes a header.
func appendHeader(b []byte, stamp []byte) []byte {
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(stamp)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(stamp, crcTable))
	return append(b, stamp...)
}

// appendRecord writes a record.
func appendRecord(b []byte, r Record) []byte {
	from := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(keySize+len(r.Value)))
	b = append(b, 0, 0, 0, 0)
	b = append(b, r.Kind)
	b = binary.LittleEndian.AppendUint64(b, r.Key)
	b = append(b, r.Value...)
	binary.LittleEndian.PutUint32(b[from+4:], checksum(b[from:from+4], b[from+frameSize:]))
	return b
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, crcTable), crcTable, payload)
}

// readHeader reads a header and returns the stamp.
func readHeader(r io.Reader) ([]byte, error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, fmt.Errorf("%w: its head is cut off", ErrDamaged)
	}
	if !bytes.Equal(h[:len(magic)], []byte(magic)) {
		return nil, fmt.Errorf("%w: not a file of ours", ErrDamaged)
	}
	rest := h[len(magic):]
	if v := binary.LittleEndian.Uint16(rest); v > Version {
		return nil, fmt.Errorf("%w: %d, this reads up to %d", ErrVersion, v, Version)
	} else if v == 0 {
		return nil, fmt.Errorf("%w: version 0", ErrDamaged)
	}
	n := binary.LittleEndian.Uint32(rest[2:])
	if n > maxStampBytes {
		return nil, fmt.Errorf("%w: a stamp of %d bytes", ErrDamaged, n)
	}
	stamp := make([]byte, n)
	if _, err := io.ReadFull(r, stamp); err != nil {
		return nil, fmt.Errorf("%w: its stamp is cut off", ErrDamaged)
	}
	if crc32.Checksum(stamp, crcTable) != binary.LittleEndian.Uint32(rest[6:]) {
		return nil, fmt.Errorf("%w: the checksum of its stamp", ErrDamaged)
	}
	return stamp, nil
}

// readRecord reads a record into a buffer, which the record's value is part of. io.EOF is
// the end between two records.
func readRecord(r io.Reader, buffer []byte) (Record, []byte, error) {
	var frame [frameSize]byte
	if _, err := io.ReadFull(r, frame[:]); err == io.EOF {
		return Record{}, buffer, io.EOF
	} else if err != nil {
		return Record{}, buffer, ErrTruncated
	}
	n := binary.LittleEndian.Uint32(frame[:])
	if n < keySize || n > keySize+MaxValueBytes {
		return Record{}, buffer, fmt.Errorf("%w: a record of %d bytes", ErrDamaged, n)
	}
	if cap(buffer) < int(n) {
		buffer = make([]byte, n, max(int(n), 4096))
	}
	buffer = buffer[:n]
	if _, err := io.ReadFull(r, buffer); err != nil {
		return Record{}, buffer, ErrTruncated
	}
	if checksum(frame[:4], buffer) != binary.LittleEndian.Uint32(frame[4:]) {
		return Record{}, buffer, fmt.Errorf("%w: the checksum of a record", ErrDamaged)
	}
	return Record{Kind: buffer[0], Key: binary.LittleEndian.Uint64(buffer[1:]), Value: buffer[keySize:]}, buffer, nil
}

// mostRecords bounds the records of a file, so that a count fits anywhere.
const maxRecords = math.MaxInt32
