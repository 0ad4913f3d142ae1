//go:build faults

// Package wall provides the wall clock, which test builds (-tags faults) can shift.
package wall

import (
	"os"
	"strings"
	"time"
)

// Now returns the wall-clock time plus the offset in the file that MADDERDRUM_WALL names, such as
// 1h or -1h. It has no monotonic reading, so it can't measure elapsed time.
func Now() time.Time {
	b, _ := os.ReadFile(os.Getenv("MADDERDRUM_WALL"))
	shift, _ := time.ParseDuration(strings.TrimSpace(string(b)))
	return time.Now().Add(shift).Round(0)
}
