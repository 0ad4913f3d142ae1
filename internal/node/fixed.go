package node

import (
	"net/netip"

	"example.org/madderdrum/limiter"
)

// Server is one server of a fixed list.
type Server struct {
	Name, Dial string // Dial is IP:port
	Room, Pod  int
	Pool       string // empty: no named pool
	Tier       int    // rank of the tier in the pool; 0 is preferred
}

// Deployment is the configuration of a limiter that gets its servers without the platform's discovery agent.
type Deployment struct {
	Module                     limiter.Settings
	Classes, Plans             []string // names in the order of the module's settings
	Rooms                      []string
	Servers                    []Server
	Peers                      []netip.AddrPort // of all limiters by position; empty: no messages between limiters
	ConnIdle, ConnectTimeoutMs float64          // in ms: a server's idle limit, and the connect timeout
	Routes                     Routes
	Sources                    []Source
}

// FixedConfig returns the configuration of a limiter whose server list changes only by Apply and by sources.
// The caller sets Name, Listen, Seed and Limits.
func FixedConfig(d Deployment) *Config {
	c := &Config{Routes: d.Routes, Sources: d.Sources, InitialServers: serverList{Seq: 1, Whole: true}, Settings: Settings{
		Module: d.Module, ClassIndex: indexByName(d.Classes), PlanIndex: indexByName(d.Plans), Zones: d.Rooms,
		ConnIdle: millis(d.ConnIdle), ConnTimeout: millis(d.ConnectTimeoutMs), MaxUnits: 1e9,
	}}
	for _, s := range d.Servers {
		c.InitialServers.Hosts = append(c.InitialServers.Hosts, serverItem{Host: s.Name, Dial: s.Dial, Site: d.Rooms[s.Room],
			Block: s.Pod, Health: "ready", Share: 1, pool: PoolID(s.Pool), tier: s.Tier})
	}
	for _, class := range d.Module.Classes {
		c.Settings.MaxDeadline = max(c.Settings.MaxDeadline, millis(class.DeadlineMs))
	}
	m := &c.Settings.Module
	if m.Caps.Peers = m.Caps.Peers && len(d.Peers) == m.Balancers; m.Caps.Peers {
		c.Peers, c.PeerListen = d.Peers, d.Peers[m.Position].String()
	}
	return c
}

func indexByName(names []string) map[string]int {
	m := map[string]int{}
	for i, name := range names {
		m[name] = i
	}
	return m
}
