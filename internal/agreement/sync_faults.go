//go:build faults

package agreement

import (
	"os"
	"path/filepath"
	"strings"
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
