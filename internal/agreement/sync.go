//go:build !faults

package agreement

// beforeSync is where builds for tests (-tags faults) make a disk slow or full.
func beforeSync(string) error { return nil }
