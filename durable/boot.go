package durable

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// readBootClock returns the ID of the machine's current boot and the time since that boot,
// including time in suspend. The ID is "" where the system does not provide it.
func readBootClock() (id string, up time.Duration) {
	data, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "", 0
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return "", 0
	}
	return strings.TrimSpace(string(data)), time.Duration(t.Nano())
}
