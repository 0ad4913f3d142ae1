//go:build !faults

// Package wall provides the wall clock, which test builds (-tags faults) can shift.
package wall

import "time"

// Now returns the wall-clock time.
func Now() time.Time { return time.Now() }
