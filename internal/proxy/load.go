package proxy

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/places"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/limiter"
)

const (
	loadReportInterval = 50 * time.Millisecond
	// Limiters report to those of their zone and, if these are fewer than minNeighbours, to others of the region
	// as well.
	minNeighbours = 6
	maxNeighbours = 16
)

// sendLoadReport sends neighbours the number of requests this limiter has in flight, and passes the neighbours'
// numbers to the engine.
func (proxy *Proxy) sendLoadReport() {
	proxy.mu.Lock()
	var addresses []string
	for _, place := range proxy.neighbours {
		if !proxy.unreachable[place.Name] {
			addresses = append(addresses, place.IP)
		}
	}
	proxy.loadReports.SetNeighbours(max(len(addresses), proxy.countReachableInZone()))
	proxy.updateOthersInFlight()
	report, due := proxy.loadReports.NextReport(proxy.now())
	proxy.mu.Unlock()
	if !due {
		return
	}
	data := rpc.Encode(report)
	for _, ip := range addresses {
		proxy.sendDatagram(proxy.settings.InternalAddress(ip, nodesettings.ProxyPort), datagramLoad, data)
	}
}

// countReachableInZone returns the number of reachable other limiters in this zone, whether or not they are
// neighbours. The mutex is held.
func (proxy *Proxy) countReachableInZone() (n int) {
	for _, place := range proxy.register.Places {
		if place.Held() && place.Zone == proxy.settings.Zone && place.Name != proxy.settings.Node &&
			!proxy.unreachable[place.Name] {
			n++
		}
	}
	return n
}

// updateOthersInFlight passes the engine the load at servers that is not its own. The mutex is held.
func (proxy *Proxy) updateOthersInFlight() {
	others := proxy.loadReports.RemoteLoad(proxy.now())
	for _, step := range proxy.loadReports.PressureChanges() {
		proxy.log.WithFields(logrus.Fields{"service": step.Service, "share": float64(int(step.Occupancy*100)) / 100,
			"pressed": step.Pressed}).Info("load of a service changes")
	}
	e := proxy.engine
	if e == nil {
		return
	}
	othersInFlight := map[uint64]limiter.Occupancy{}
	for server, n := range others {
		for _, member := range e.membersByInstance[server] {
			othersInFlight[member] = limiter.Occupancy{Server: member,
				Others: n + float64(proxy.loadReports.InFlight(server)-e.inFlight[member]), Slots: e.capacity[server]}
		}
	}
	var changed []limiter.Occupancy
	for member, load := range othersInFlight {
		if e.othersInFlight[member] != load {
			changed = append(changed, load)
		}
	}
	for member := range e.othersInFlight {
		if _, still := othersInFlight[member]; !still {
			changed = append(changed, limiter.Occupancy{Server: member})
		}
	}
	if e.othersInFlight = othersInFlight; len(changed) > 0 {
		e.handle(limiter.Occupancies{Servers: changed})
	}
}

// attemptStarted counts an attempt as in flight until attemptEnded. The mutex is held.
func (e *engine) attemptStarted(server *upstream, member uint64) {
	e.inFlight[member]++
	e.proxy.loadReports.RequestStarted(server.instanceHash)
}

func (e *engine) attemptEnded(server *upstream, member uint64, result limiter.Result, spentMs float64) {
	if e.inFlight[member]--; e.inFlight[member] <= 0 {
		delete(e.inFlight, member)
	}
	e.proxy.loadReports.RequestEnded(server.instanceHash, result == limiter.Pass || result == limiter.TooSlow, spentMs)
}

// selectNeighbours returns the limiters that a node reports its load to: those of its zone and, if these are too
// few, some of the region. If there are more than maxNeighbours, a hash of both names selects a different subset
// for each node.
func selectNeighbours(limiters []places.Place, node, zone, region string, zones map[string]string) []places.Place {
	var near, far []places.Place
	for _, place := range limiters {
		switch {
		case place.Name == node || !place.Held():
		case place.Zone == zone:
			near = append(near, place)
		case zones[place.Zone] == region:
			far = append(far, place)
		}
	}
	for _, group := range [][]places.Place{near, far} {
		slices.SortFunc(group, func(a, b places.Place) int {
			return int(int64(pairHash(node, a.Name)>>33) - int64(pairHash(node, b.Name)>>33))
		})
	}
	near = near[:min(len(near), maxNeighbours)]
	return append(near, far[:min(len(far), max(0, minNeighbours-len(near)))]...)
}

// pairHash returns a hash of two names that does not depend on their order.
func pairHash(a, b string) uint64 {
	h := hash64(min(a, b) + "\x00" + max(a, b))
	return (h ^ h>>29) * 0x9e3779b97f4a7c15 // spreads names that differ only in their last characters
}

// hash32 returns the number that identifies a server instance or a service in messages between limiters.
func hash32(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}
