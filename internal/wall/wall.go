//go:build !faults

// Package wall is the wall clock, which builds for tests (-tags faults) can have jump.
package wall

import "time"

// Now is the time by the wall clock.
func Now() time.Time { return time.Now() }
