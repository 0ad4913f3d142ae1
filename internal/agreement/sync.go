//go:build !faults

package agreement

// beforeSync is the hook at which test builds (-tags faults) simulate a slow or full disk.
func beforeSync(string) error { return nil }

// afterSync is the hook at which test builds simulate a power loss during a write.
func afterSync(string) {}
