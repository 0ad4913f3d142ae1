// Package node runs a limiter on real sockets: it connects the decision module, which does no input or output,
// to clients, servers, discovery agents and peers.
package node

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/internal/admin"
	"example.org/madderdrum/internal/wire"
	"example.org/madderdrum/limiter"
)

// Config is the configuration of a limiter process.
type Config struct {
	Name           string
	Listen         string // address for clients
	Discovery      string
	Seed           uint64
	Limits         Limits
	PeerListen     string // empty: no messages between limiters
	Peers          []netip.AddrPort
	PeersAll       netip.AddrPort // multicast or broadcast address of all peers
	InitialServers serverList     // the last known list, which may be out of date
	Settings       Settings
	AdminAddr      string       // address for operators' calls; empty: none
	ExtraListen    []string     // further addresses for clients
	Routes         Routes       // empty: all requests go to all servers
	Sources        []Source     // discovery agents of single pools
	ProbeSharing   ProbeSharing // lets other limiters probe and watch for this one; nil: no sharing

	Streams   map[string]admin.Stream // additional calls on the admin address
	TempDir   string                  // where processes of one limiter find each other; only used with AdminAddr
	UseMemory func(share float64)     // sets the share of the memory limit to use, below 1 during an upgrade; may be nil

	path            string // of the configuration file, for reloads
	getenv          func(string) string
	discoveryInFile string
}

// Limits are the resource limits of the limiter's machine; 0 means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Settings are the settings of the deployment: those of the module and those of the sockets.
type Settings struct {
	Module      limiter.Settings
	ClassIndex  map[string]int
	PlanIndex   map[string]int
	Zones       []string
	ConnIdle    time.Duration // servers close connections that are idle for this long
	ConnTimeout time.Duration
	MaxRequests int           // concurrent requests; 0: no limit
	MaxUnits    float64       // maximum cost of one request in units
	MaxDeadline time.Duration // longest deadline of all classes
}

// Defaults for settings that are not given.
const (
	defaultConnTimeout = 250 * time.Millisecond
	defaultConnIdle    = 30 * time.Second
)

// file is the layout of the configuration file.
type file struct {
	Name           string          `json:"name"`
	Listen         string          `json:"listen"`
	Discovery      string          `json:"discovery"`
	Seed           string          `json:"seed"`
	Limits         Limits          `json:"limits"`
	AdminAddr      string          `json:"admin_addr"`
	PeerListen     string          `json:"peer_listen"`
	Peers          []string        `json:"peers"`
	PeersAll       string          `json:"peers_all"`
	InitialServers serverList      `json:"known"`
	Settings       json.RawMessage `json:"settings"`
}

// LoadConfig reads the file named by NODE_CONFIG. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_ADMIN_ADDR,
// where set, override the values of the file.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	return loadFile(path, getenv, func(file, env string) string { return cmp.Or(env, file) })
}

// loadFile reads a configuration file. The function discovery chooses between the discovery addresses of the
// file and the environment.
func loadFile(path string, getenv func(string) string, discovery func(file, env string) string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading NODE_CONFIG: %w", err)
	}
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("NODE_CONFIG %s: %w", path, err)
	}
	inFile := f.Discovery
	f.Name = cmp.Or(getenv("NODE_NAME"), f.Name)
	f.Listen = cmp.Or(getenv("NODE_LISTEN"), f.Listen)
	f.AdminAddr = cmp.Or(getenv("NODE_ADMIN_ADDR"), f.AdminAddr)
	f.Discovery = discovery(f.Discovery, getenv("NODE_DISCOVERY"))
	c, err := f.config()
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG %s: %w", path, err)
	}
	c.TempDir = cmp.Or(getenv("TMPDIR"), os.TempDir())
	c.path, c.getenv, c.discoveryInFile = path, getenv, inFile
	return c, nil
}

// config validates the file's values and converts them.
func (f *file) config() (*Config, error) {
	c := &Config{Name: f.Name, Limits: f.Limits, InitialServers: f.InitialServers}
	for _, a := range []struct {
		name, from string
		to         *string
	}{{"listen", f.Listen, &c.Listen}, {"discovery", f.Discovery, &c.Discovery}} {
		if _, err := netip.ParseAddrPort(a.from); err != nil {
			return nil, fmt.Errorf("%s: %w", a.name, err)
		}
		*a.to = a.from
	}
	if f.AdminAddr != "" {
		if _, err := netip.ParseAddrPort(f.AdminAddr); err != nil {
			return nil, fmt.Errorf("admin_addr: %w", err)
		}
		c.AdminAddr = f.AdminAddr
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if l := f.Limits; l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minSockets {
		return nil, fmt.Errorf("limits: %+v can't hold a limiter", l)
	}
	if c.Settings, err = parseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	m := &c.Settings.Module
	if m.Caps.Peers = m.Caps.Peers && f.PeerListen != ""; !m.Caps.Peers {
		return c, nil
	}
	if len(f.Peers) != m.Balancers {
		return nil, fmt.Errorf("peers: %d addresses for %d limiters", len(f.Peers), m.Balancers)
	}
	if _, err := netip.ParseAddrPort(f.PeerListen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	c.PeerListen = f.PeerListen
	for i, p := range f.Peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("peers.%d: %w", i, err)
		}
		c.Peers = append(c.Peers, a)
	}
	if f.PeersAll != "" {
		if c.PeersAll, err = netip.ParseAddrPort(f.PeersAll); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	return c, nil
}

// parseSettings reads the settings object with the parser of the simulator's wire format, so that the simulator
// and the node interpret names in the same way.
func parseSettings(data json.RawMessage) (s Settings, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var object map[string]any
	if err := d.Decode(&object); err != nil {
		return s, err
	}
	values := map[string]string{}
	flatten("", object, values)
	p := wire.NewSettingValues(values)
	if s.Module, err = p.Settings(); err != nil {
		return s, err
	}
	if s.ClassIndex, err = nameIndex(p, "request_classes"); err != nil {
		return s, err
	}
	if s.PlanIndex, err = nameIndex(p, "packages"); err != nil {
		return s, err
	}
	s.Zones = strings.Split(p.Text("failure_domains"), ",")
	s.ConnIdle = cmp.Or(millis(p.Number("caps.conn_idle_ms")), defaultConnIdle)
	s.ConnTimeout = cmp.Or(millis(s.Module.Caps.ConnectMs), defaultConnTimeout)
	s.MaxRequests = p.Integer("caps.max_open")
	s.MaxUnits = cmp.Or(p.Number("family_info.units_top"), math.MaxFloat64)
	for _, c := range s.Module.Classes {
		s.MaxDeadline = max(s.MaxDeadline, millis(c.DeadlineMs))
	}
	return s, p.Err()
}

// nameIndex maps the names in a list of settings to their positions.
func nameIndex(p *wire.SettingValues, list string) (map[string]int, error) {
	m := map[string]int{}
	for i := range p.Count(list) {
		name := p.Text(fmt.Sprintf("%s.%d.name", list, i))
		if _, ok := m[name]; ok || name == "" {
			return nil, fmt.Errorf("%s.%d.name: %q is empty or a duplicate", list, i, name)
		}
		m[name] = i
	}
	return m, nil
}

// flatten writes nested settings as path=value: lists of plain values joined with commas, lists of objects with
// their length under .count.
func flatten(path string, v any, out map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for name, item := range v {
			if path != "" {
				name = path + "." + name
			}
			flatten(name, item, out)
		}
	case []any:
		var plain []string
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				flatten(path+"."+strconv.Itoa(i), item, out)
			} else {
				plain = append(plain, fmt.Sprint(item))
			}
		}
		out[path] = strings.Join(plain, ",")
		out[path+".count"] = strconv.Itoa(len(v))
	case nil:
	default:
		out[path] = fmt.Sprint(v)
	}
}

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
