package switchyard

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/internal/bell"
	"example.org/madderdrum/internal/boot"
	"example.org/madderdrum/lineside"
	"example.org/madderdrum/stock"
)

const lineEvery = 100 * time.Millisecond

// watchLine looks at the other limiters of the region until the context ends.
func (y *Yard) watchLine(ctx context.Context) {
	tick := time.NewTicker(lineEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		y.mu.Lock()
		y.along(y.line.Tick(y.now()))
		y.outs()
		y.mu.Unlock()
	}
}

// along sends what the line has to say. The mutex is held.
func (y *Yard) along(out []lineside.Letter) {
	for _, l := range out {
		if ip := y.lineIPs[l.To]; ip != "" {
			y.tell(y.set.Internal(ip, boot.SwitchyardPort), datagramLine, bell.Encode(l.Message))
		}
	}
}

// setLine says whom of the region there is to look at, by the book. The mutex is held.
func (y *Yard) setLine() {
	clear(y.lineIPs)
	zones := map[string]string{y.self: y.set.Zone}
	y.book.Each(y.now(), func(r stock.Record) {
		if r.Service == stock.Limiters && r.State == stock.Available && y.set.Zones[r.Zone] == y.set.Region {
			zones[r.ID] = r.Zone
			y.lineIPs[r.ID] = boot.HostOf(r.Address)
		}
	})
	y.line.Set(zones)
}

// outs notes who is out of reach. The mutex is held.
func (y *Yard) outs() {
	if !y.line.Changed() {
		return
	}
	now := map[string]bool{}
	for id := range y.lineIPs {
		if y.line.State(id) == lineside.Out {
			name, _, _ := strings.Cut(id, "#")
			now[name] = true
			if !y.out[name] {
				y.log.WithFields(logrus.Fields{"limiter": name}).Info("limiter is out of reach")
			}
		}
	}
	for name := range y.out {
		if !now[name] {
			y.log.WithFields(logrus.Fields{"limiter": name}).Info("limiter is in reach again")
		}
	}
	y.out = now
}
