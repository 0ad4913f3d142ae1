package node

import (
	"log/slog"
	"strings"
	"sync"
	"time"
)

// At most logBurst lines of one kind are written in each logPeriod.
const (
	logPeriod = 10 * time.Second
	logBurst  = 5
)

// boundedLog writes warnings at a limited rate, so that bad input can't fill the log. The number of suppressed
// lines is added to the next line.
type boundedLog struct {
	to *slog.Logger

	mu          sync.Mutex
	periodStart time.Time
	written     int
	suppressed  int
}

func (b *boundedLog) warn(msg string, args ...any) {
	b.mu.Lock()
	if now := time.Now(); now.Sub(b.periodStart) > logPeriod {
		b.periodStart, b.written = now, 0
	}
	if b.written >= logBurst {
		b.suppressed++
		b.mu.Unlock()
		return
	}
	b.written++
	if b.suppressed > 0 {
		args = append(args, "left_out_before", b.suppressed)
		b.suppressed = 0
	}
	b.mu.Unlock()
	b.to.Warn(msg, args...)
}

// Write logs a line of the HTTP server's error log.
func (b *boundedLog) Write(line []byte) (int, error) {
	b.warn(strings.TrimSpace(string(line)))
	return len(line), nil
}
