//go:build !faults

package agreement

// beforeSync is where builds for tests (-tags faults) make a disk slow or full.
func beforeSync(string) error { return nil }

// afterSync is where they end in the middle of a write.
func afterSync(string) {}
