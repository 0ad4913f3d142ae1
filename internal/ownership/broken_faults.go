//go:build faults

package ownership

import "os"

// checkDisabled reports whether the environment variable MADDERDRUM_BROKEN names this check, which is
// then disabled to prove that the tests notice. Only test builds contain this version.
func checkDisabled(check string) bool { return os.Getenv("MADDERDRUM_BROKEN") == check }
