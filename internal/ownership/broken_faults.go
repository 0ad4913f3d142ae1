//go:build faults

package ownership

import "os"

// broken tells whether a check is left out on purpose: MADDERDRUM_BROKEN names it. Builds
// for tests alone have it.
func broken(check string) bool { return os.Getenv("MADDERDRUM_BROKEN") == check }
