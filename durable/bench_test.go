package durable

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

// value returns a record value of the given size that starts with the key.
func value(key uint64, bytes int) []byte {
	b := make([]byte, bytes)
	binary.LittleEndian.PutUint64(b, key)
	return b
}

const valueBytes = 80 // size of an account as JSON

// BenchmarkFolder measures, by number of records, writing all of them, appending a hundredth of them,
// and recovering them; the two writes are also measured with an embedded store (bbolt).
func BenchmarkFolder(b *testing.B) {
	for _, n := range []uint64{1000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint("folder/all/", n), func(b *testing.B) {
			f, _ := open(b, b.TempDir(), Options{Owner: "n0"})
			for b.Loop() {
				writeBenchSnapshot(b, f, n)
			}
			b.ReportMetric(float64(f.snapshotSize)/1024, "KiB")
		})
		b.Run(fmt.Sprint("bbolt/all/", n), func(b *testing.B) {
			db := openBolt(b)
			for b.Loop() {
				putBolt(b, db, 0, n)
			}
		})
		b.Run(fmt.Sprint("folder/some/", n), func(b *testing.B) {
			f, _ := open(b, b.TempDir(), Options{Owner: "n0"})
			writeBenchSnapshot(b, f, n)
			var some []Record
			for k := range n / 100 {
				some = append(some, Record{Kind: 1, Key: k * 100, Value: value(k, valueBytes)})
			}
			for b.Loop() {
				mustAppend(b, f, some...)
			}
		})
		b.Run(fmt.Sprint("bbolt/some/", n), func(b *testing.B) {
			db := openBolt(b)
			putBolt(b, db, 0, n)
			for b.Loop() {
				if err := db.Update(func(tx *bbolt.Tx) error {
					for k := range n / 100 {
						if err := tx.Bucket([]byte("a")).Put(binary.BigEndian.AppendUint64(nil, k*100), value(k, valueBytes)); err != nil {
							return err
						}
					}
					return nil
				}); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("folder/recover/", n), func(b *testing.B) {
			dir := b.TempDir()
			f, _ := open(b, dir, Options{Owner: "n0"})
			writeBenchSnapshot(b, f, n)
			f.Abandon()
			for b.Loop() {
				f, r := open(b, dir, Options{Owner: "n0"})
				if uint64(len(r.Records)) != n {
					b.Fatal(len(r.Records))
				}
				f.Abandon()
			}
		})
	}
}

func writeBenchSnapshot(b *testing.B, f *Folder, n uint64) {
	err := f.Snapshot(func(put func(Record) error) error {
		for k := range n {
			if err := put(Record{Kind: 1, Key: k, Value: value(k, valueBytes)}); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		b.Fatal(err)
	}
}

func openBolt(b *testing.B) *bbolt.DB {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { db.Close() })
	return db
}

func putBolt(b *testing.B, db *bbolt.DB, from, to uint64) {
	err := db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists([]byte("a"))
		for k := from; k < to && err == nil; k++ {
			err = bucket.Put(binary.BigEndian.AppendUint64(nil, k), value(k, valueBytes))
		}
		return err
	})
	if err != nil {
		b.Fatal(err)
	}
}
