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

// Record is one stored value. The last record written for a kind and key replaces earlier ones; an
// empty value deletes the key.
type Record struct {
	Kind  byte // chosen by the caller, below 0xf0
	Key   uint64
	Value []byte
}

// The layout of a file, little-endian:
//
//	header   "MDRMEM" u16 version, u32 length and u32 checksum of what follows: the stamp
//	records  u32 length of the payload, u32 checksum of length and payload, payload
//	payload  u8 kind, u64 key, value
//
// A snapshot ends with a record of kindEnd whose key is the number of records before it; a log may
// end after any record. Checksums are CRC-32C (Castagnoli), as in iSCSI and ext4.
const (
	magic             = "MDRMEM"
	headerSize        = len(magic) + 2 + 4 + 4
	frameSize         = 8
	keySize           = 9
	kindEnd           = 0xff
	kindClean         = 0xfe // ends the log of a cleanly shut down process; its value is the uptime in ms at that time
	kindTaken         = 0xfd // last in a log: a successor has resumed from it, and no other process may
	firstReservedKind = 0xf0
)

// Version is the version of the file layout. Files with a later version are not read.
const Version = 1

// Size limits in bytes: a damaged length must not cause a huge allocation.
const (
	maxStampBytes = 4 << 10
	MaxValueBytes = 64 << 10
)

// Errors of files that cannot be read.
var (
	ErrVersion = errors.New("written by a later version")
	ErrDamaged = errors.New("damaged")
	// ErrTruncated reports a file that ends in the middle of a record. It wraps ErrDamaged.
	ErrTruncated = fmt.Errorf("%w: a record is cut off", ErrDamaged)
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// appendHeader appends a file header with an encoded stamp to b.
func appendHeader(b []byte, stamp []byte) []byte {
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(stamp)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(stamp, crcTable))
	return append(b, stamp...)
}

// appendRecord appends a record with its length and checksum to b.
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

// readHeader reads and checks a file header and returns the encoded stamp.
func readHeader(r io.Reader) ([]byte, error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, fmt.Errorf("%w: the header is truncated", ErrDamaged)
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
		return nil, fmt.Errorf("%w: the stamp is truncated", ErrDamaged)
	}
	if crc32.Checksum(stamp, crcTable) != binary.LittleEndian.Uint32(rest[6:]) {
		return nil, fmt.Errorf("%w: stamp checksum mismatch", ErrDamaged)
	}
	return stamp, nil
}

// readRecord reads a record into a buffer, which it returns for reuse; the record's value points
// into it. The error is io.EOF only if the file ends between two records.
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
		return Record{}, buffer, fmt.Errorf("%w: record checksum mismatch", ErrDamaged)
	}
	return Record{Kind: buffer[0], Key: binary.LittleEndian.Uint64(buffer[1:]), Value: buffer[keySize:]}, buffer, nil
}

// maxRecords limits the records of a file so that their count fits an int on every platform.
const maxRecords = math.MaxInt32
