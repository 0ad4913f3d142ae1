//go:build faults

package agreement

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// beforeSync obeys the file "disk" in the folder: a time such as 2s makes each write so
// slow, "full" fails it. Builds for tests alone have it.
func beforeSync(dir string) error {
	b, err := os.ReadFile(filepath.Join(dir, "disk"))
	if err != nil {
		return nil
	}
	word := strings.TrimSpace(string(b))
	if word == "full" {
		return &os.PathError{Op: "write", Path: dir, Err: os.ErrInvalid}
	}
	if d, err := time.ParseDuration(word); err == nil {
		time.Sleep(d)
	}
	return nil
}

// afterSync obeys the word "torn": the process ends as if its power had gone in the middle of
// what it has just written, before it has told anybody. bbolt keeps two pages that say where
// all the rest is, and writes the older of them last: that one is left half written.
func afterSync(dir string) {
	if b, err := os.ReadFile(filepath.Join(dir, "disk")); err != nil || strings.TrimSpace(string(b)) != "torn" {
		return
	}
	f, err := os.OpenFile(filepath.Join(dir, fileName), os.O_RDWR, 0)
	if err != nil {
		panic(err)
	}
	const head, txid = 16, 48 // bytes: of a page before what it holds; in that, before the number of its transaction
	newest, highest := int64(0), uint64(0)
	for page := range int64(2) {
		at := page*int64(os.Getpagesize()) + head
		var b [8]byte
		if _, err := f.ReadAt(b[:], at+txid); err != nil {
			panic(err)
		}
		if x := binary.NativeEndian.Uint64(b[:]); x >= highest {
			newest, highest = at, x
		}
	}
	if _, err := f.WriteAt(make([]byte, txid/2), newest+txid/2); err != nil {
		panic(err)
	}
	f.Sync()
	syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}
