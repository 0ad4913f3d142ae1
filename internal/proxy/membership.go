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

const probeInterval = 100 * time.Millisecond

// runEvery calls do at intervals until the context ends.
func runEvery(ctx context.Context, every time.Duration, do func()) {
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

// probeMembers sends the probes that are due. A limiter that is shutting down sends none: the others reply only to
// members listed in the catalog.
func (proxy *Proxy) probeMembers() {
	if proxy.leaving.Load() {
		return
	}
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.sendProbes(proxy.members.Tick(proxy.now()))
	proxy.updateUnreachable()
}

// probeMessage is a membership message together with the reports that are piggybacked on it.
type probeMessage struct {
	Membership membership.Message      `cbor:"1,keyasint"`
	Failures   []failurereports.Report `cbor:"2,keyasint,omitempty"`
	Waits      []serviceWait           `cbor:"3,keyasint,omitempty"`
	WaitsKnown bool                    `cbor:"4,keyasint,omitempty"` // Waits is meaningful even if it is empty
}

// serviceWait is the mean waiting time at the servers of a service in the sender's zone.
type serviceWait struct {
	Service uint32 `cbor:"1,keyasint"` // hash32 of the name
	Percent uint16 `cbor:"2,keyasint,omitempty"`
}

// zoneWaits returns the waiting times in this limiter's zone.
func (proxy *Proxy) zoneWaits() (all []serviceWait, known bool) {
	zoneWaits, known := proxy.loadReports.LocalWaits()
	for _, w := range zoneWaits {
		all = append(all, serviceWait{hash32(w.Service), uint16(math.Round(100 * w.Ratio))})
	}
	return all, known
}

// recordZoneWaits records the waiting times that a limiter of another zone reports.
func (proxy *Proxy) recordZoneWaits(sender string, reported []serviceWait) {
	config := proxy.configSnapshot.Load()
	if r, known := proxy.records.Get(proxy.now(), sender); known && config != nil && r.Zone != proxy.settings.Zone {
		var waits []loadreports.Wait
		for name := range config.table.Services {
			for _, w := range reported {
				if w.Service == hash32(name) {
					waits = append(waits, loadreports.Wait{Service: name, Ratio: float64(w.Percent) / 100})
				}
			}
		}
		proxy.loadReports.ReceiveZoneWaits(proxy.now(), r.Zone, waits)
	}
}

// sendProbes sends membership messages together with recent request failures and waiting times. The mutex is held.
func (proxy *Proxy) sendProbes(messages []membership.Envelope) {
	for _, l := range messages {
		if ip := proxy.memberIPs[l.To]; ip != "" {
			m := probeMessage{Membership: l.Message, Failures: proxy.failureReports.NextReports(proxy.now())}
			m.Waits, m.WaitsKnown = proxy.zoneWaits()
			proxy.sendDatagram(proxy.settings.InternalAddress(ip, nodesettings.ProxyPort), datagramProbe, rpc.Encode(m))
		}
	}
}

// handleProbe processes a membership message. The mutex is held.
func (proxy *Proxy) handleProbe(ip string, data []byte) {
	var m probeMessage
	if rpc.Decode(data, &m) != nil || proxy.memberIPs[m.Membership.From] != ip {
		return
	}
	for _, s := range proxy.failureReports.Receive(proxy.now(), m.Failures) {
		if e := proxy.engine; e != nil {
			if class, known := e.classByRouteID[s.Class]; known {
				e.handle(limiter.PeerFailure{Server: s.Server, Class: class})
			}
		}
	}
	if m.WaitsKnown {
		proxy.recordZoneWaits(m.Membership.From, m.Waits)
	}
	proxy.sendProbes(proxy.members.Receive(proxy.now(), m.Membership))
	proxy.updateUnreachable()
}

// reportFailure records a failure of the call at a server, to be reported to the limiters of the region.
func (c *call) reportFailure(server uint64) {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.proxy.failureReports.Observe(c.proxy.now(), server, routeID(c.route))
}

// updateMembers sets the members of the region from the catalog. The mutex is held.
func (proxy *Proxy) updateMembers() {
	clear(proxy.memberIPs)
	zones := map[string]string{proxy.instanceID: proxy.settings.Zone}
	proxy.records.Each(proxy.now(), func(r catalog.Record) {
		if r.Service == catalog.Limiters && r.State == catalog.Available &&
			proxy.settings.Zones[r.Zone] == proxy.settings.Region {
			zones[r.ID] = r.Zone
			proxy.memberIPs[r.ID] = nodesettings.HostOf(r.Address)
		}
	})
	proxy.members.SetMembers(zones)
}

// updateUnreachable recomputes which limiters are unreachable and logs changes. The mutex is held.
func (proxy *Proxy) updateUnreachable() {
	if !proxy.members.Changed() {
		return
	}
	current := map[string]bool{}
	for id := range proxy.memberIPs {
		if proxy.members.State(id) == membership.Unreachable {
			name, _, _ := strings.Cut(id, "#")
			current[name] = true
			if !proxy.unreachable[name] {
				proxy.log.WithFields(logrus.Fields{"limiter": name}).Info("limiter is out of reach")
			}
		}
	}
	for name := range proxy.unreachable {
		if !current[name] {
			proxy.log.WithFields(logrus.Fields{"limiter": name}).Info("limiter is in reach again")
		}
	}
	proxy.unreachable = current
}
