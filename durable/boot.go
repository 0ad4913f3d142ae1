package durable

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootOf is the machine's present life, and how long it has lasted, also while the machine
// slept; "" where the system does not tell.
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
