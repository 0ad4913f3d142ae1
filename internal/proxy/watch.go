package proxy

import (
	"context"
	"math"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/catalog"
	"example.org/madderdrum/failurereports"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/loadreports"
	"example.org/madderdrum/membership"
)

const lineEvery = 100 * time.Millisecond

// again does something at intervals until the context ends.
func again(ctx context.Context, every time.Duration, do func()) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do()
		}
	}
}

// lookAlong does what is due on the line. One that leaves looks at nobody: the others answer
// those alone whom the book names, and are no less there for it.
func (y *Proxy) lookAlong() {
	if y.leaving.Load() {
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.along(y.line.Tick(y.now()))
	y.outs()
}

// lineMessage is a message of the line, and what else it carries.
type lineMessage struct {
	Line membership.Message        `cbor:"1,keyasint"`
	Seen []failurereports.Sighting `cbor:"2,keyasint,omitempty"`
	Wait []serviceWait             `cbor:"3,keyasint,omitempty"`
	Sure bool                      `cbor:"4,keyasint,omitempty"` // Wait is known
}

// serviceWait tells how full a service's servers of the sender's zone are.
type serviceWait struct {
	Service uint32 `cbor:"1,keyasint"` // by a number that follows from its name
	Percent uint16 `cbor:"2,keyasint,omitempty"`
}

// waits are those of this limiter's zone.
func (y *Proxy) waits() (all []serviceWait, known bool) {
	waits, known := y.blocks.Waits()
	for _, w := range waits {
		all = append(all, serviceWait{shortNumber(w.Service), uint16(math.Round(100 * w.Of))})
	}
	return all, known
}

// hearWaits takes in those of another zone.
func (y *Proxy) hearWaits(from string, all []serviceWait) {
	v := y.view.Load()
	if r, known := y.book.Get(y.now(), from); known && v != nil && r.Zone != y.set.Zone {
		var waits []loadreports.Wait
		for name := range v.table.Services {
			for _, w := range all {
				if w.Service == shortNumber(name) {
					waits = append(waits, loadreports.Wait{Service: name, Of: float64(w.Percent) / 100})
				}
			}
		}
		y.blocks.Zone(y.now(), r.Zone, waits)
	}
}

// along sends what the line has to say, and with it where requests fail. The mutex is held.
func (y *Proxy) along(out []membership.Letter) {
	for _, l := range out {
		if ip := y.lineIPs[l.To]; ip != "" {
			m := lineMessage{Line: l.Message, Seen: y.telegraph.Next(y.now())}
			m.Wait, m.Sure = y.waits()
			y.tell(y.set.Internal(ip, nodesettings.ProxyPort), datagramLine, rpc.Encode(m))
		}
	}
}

// hearLine takes in a message of the line. The mutex is held.
func (y *Proxy) hearLine(ip string, data []byte) {
	var m lineMessage
	if rpc.Decode(data, &m) != nil || y.lineIPs[m.Line.From] != ip {
		return
	}
	for _, s := range y.telegraph.Hear(y.now(), m.Seen) {
		if e := y.engine; e != nil {
			if class, known := e.classOf[s.Class]; known {
				e.handle(limiter.Sighting{Server: s.Server, Class: class})
			}
		}
	}
	if m.Sure {
		y.hearWaits(m.Line.From, m.Wait)
	}
	y.along(y.line.Hear(y.now(), m.Line))
	y.outs()
}

// saw notes that the call failed at a server, for the others of the region.
func (c *call) saw(server uint64) {
	c.y.mu.Lock()
	defer c.y.mu.Unlock()
	c.y.telegraph.Saw(c.y.now(), server, routeID(c.route.Name))
}

// setLine says whom of the region there is to look at, by the book. The mutex is held.
func (y *Proxy) setLine() {
	clear(y.lineIPs)
	zones := map[string]string{y.self: y.set.Zone}
	y.book.Each(y.now(), func(r catalog.Record) {
		if r.Service == catalog.Limiters && r.State == catalog.Available && y.set.Zones[r.Zone] == y.set.Region {
			zones[r.ID] = r.Zone
			y.lineIPs[r.ID] = nodesettings.HostOf(r.Address)
		}
	})
	y.line.Set(zones)
}

// outs notes who is out of reach. The mutex is held.
func (y *Proxy) outs() {
	if !y.line.Changed() {
		return
	}
	now := map[string]bool{}
	for id := range y.lineIPs {
		if y.line.State(id) == membership.Out {
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
