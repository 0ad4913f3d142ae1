//go:build !faults

package ownership

// checkDisabled reports whether a safety check is disabled on purpose. Only test builds (-tags faults)
// can disable one, to prove that the tests notice.
func checkDisabled(string) bool { return false }
