//go:build faults

package ownership

import "os"

// checkDisabled tells whether a check is left out on purpose: MADDERDRUM_BROKEN names it. Builds
// for tests alone have it.
func checkDisabled(check string) bool { return os.Getenv("MADDERDRUM_BROKEN") == check }
