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

// beforeSync simulates disk faults as set by the file "disk" in the folder: a duration such as 2s delays
// each write, and "full" fails it. Only test builds contain it.
func beforeSync(dir string) error {
	data, err := os.ReadFile(filepath.Join(dir, "disk"))
	if err != nil {
		return nil
	}
	setting := strings.TrimSpace(string(data))
	if setting == "full" {
		return &os.PathError{Op: "write", Path: dir, Err: os.ErrInvalid}
	}
	if d, err := time.ParseDuration(setting); err == nil {
		time.Sleep(d)
	}
	return nil
}

// afterSync simulates a torn write if the file "disk" contains "torn": the process kills itself as if power
// had failed during the last write, before any peer could see its effect. bbolt keeps two meta pages and
// ends each transaction by overwriting the older one; afterSync destroys half of that newest meta page.
func afterSync(dir string) {
	if data, err := os.ReadFile(filepath.Join(dir, "disk")); err != nil || strings.TrimSpace(string(data)) != "torn" {
		return
	}
	database, err := os.OpenFile(filepath.Join(dir, databaseFile), os.O_RDWR, 0)
	if err != nil {
		panic(err)
	}
	const headerBytes, txidOffset = 16, 48 // page header size; offset of the transaction ID in a meta page
	newest, highest := int64(0), uint64(0)
	for page := range int64(2) {
		offset := page*int64(os.Getpagesize()) + headerBytes
		var data [8]byte
		if _, err := database.ReadAt(data[:], offset+txidOffset); err != nil {
			panic(err)
		}
		if transaction := binary.NativeEndian.Uint64(data[:]); transaction >= highest {
			newest, highest = offset, transaction
		}
	}
	if _, err := database.WriteAt(make([]byte, txidOffset/2), newest+txidOffset/2); err != nil {
		panic(err)
	}
	database.Sync()
	syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}
