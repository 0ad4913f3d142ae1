//go:build faults

// Package wall is the wall clock, which builds for tests (-tags faults) can have jump.
package wall

import (
	"os"
	"strings"
	"time"
)

// Now is the time by the wall clock, moved by what the file says that MADDERDRUM_WALL names,
// such as 1h or -1h. It says nothing of time that passes.
func Now() time.Time {
	b, _ := os.ReadFile(os.Getenv("MADDERDRUM_WALL"))
	shift, _ := time.ParseDuration(strings.TrimSpace(string(b)))
	return time.Now().Add(shift).Round(0)
}
