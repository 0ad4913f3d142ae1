package proxy

import (
	"context"
	"math"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/traffic/failurereports"
	"example.org/madderdrum/traffic/loadreports"
	"example.org/madderdrum/traffic/membership"
)

const probeEvery = 100 * time.Millisecond

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

// probeMembers sends the probes that are due. A limiter that leaves sends none: the others answer
// only members that the catalog names.
func (y *Proxy) probeMembers() {
	if y.leaving.Load() {
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.sendProbes(y.members.Tick(y.now()))
	y.noteUnreachable()
}

// probeMessage is a message of the membership, and what else it carries.
type probeMessage struct {
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
	waits, known := y.loads.Waits()
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
		y.loads.Zone(y.now(), r.Zone, waits)
	}
}

// sendProbes sends what the membership has to say, and with it where requests fail. The mutex is held.
func (y *Proxy) sendProbes(out []membership.Letter) {
	for _, l := range out {
		if ip := y.memberIPs[l.To]; ip != "" {
			m := probeMessage{Line: l.Message, Seen: y.failures.Next(y.now())}
			m.Wait, m.Sure = y.waits()
			y.tell(y.set.Internal(ip, nodesettings.ProxyPort), datagramProbe, rpc.Encode(m))
		}
	}
}

// hearProbe takes in a message of the membership. The mutex is held.
func (y *Proxy) hearProbe(ip string, data []byte) {
	var m probeMessage
	if rpc.Decode(data, &m) != nil || y.memberIPs[m.Line.From] != ip {
		return
	}
	for _, s := range y.failures.Hear(y.now(), m.Seen) {
		if e := y.engine; e != nil {
			if class, known := e.classOf[s.Class]; known {
				e.handle(limiter.Sighting{Server: s.Server, Class: class})
			}
		}
	}
	if m.Sure {
		y.hearWaits(m.Line.From, m.Wait)
	}
	y.sendProbes(y.members.Hear(y.now(), m.Line))
	y.noteUnreachable()
}

// saw notes that the call failed at a server, for the others of the region.
func (c *call) saw(server uint64) {
	c.y.mu.Lock()
	defer c.y.mu.Unlock()
	c.y.failures.Saw(c.y.now(), server, routeID(c.route.Name))
}

// setMembers says which limiters of the region are members, by the catalog. The mutex is held.
func (y *Proxy) setMembers() {
	clear(y.memberIPs)
	zones := map[string]string{y.self: y.set.Zone}
	y.book.Each(y.now(), func(r catalog.Record) {
		if r.Service == catalog.Limiters && r.State == catalog.Available && y.set.Zones[r.Zone] == y.set.Region {
			zones[r.ID] = r.Zone
			y.memberIPs[r.ID] = nodesettings.HostOf(r.Address)
		}
	})
	y.members.Set(zones)
}

// noteUnreachable notes who is out of reach. The mutex is held.
func (y *Proxy) noteUnreachable() {
	if !y.members.Changed() {
		return
	}
	now := map[string]bool{}
	for id := range y.memberIPs {
		if y.members.State(id) == membership.Out {
			name, _, _ := strings.Cut(id, "#")
			now[name] = true
			if !y.unreachable[name] {
				y.log.WithFields(logrus.Fields{"limiter": name}).Info("limiter is out of reach")
			}
		}
	}
	for name := range y.unreachable {
		if !now[name] {
			y.log.WithFields(logrus.Fields{"limiter": name}).Info("limiter is in reach again")
		}
	}
	y.unreachable = now
}
