// Package nodesettings reads the settings file that a process of the system is started with.
package nodesettings

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fastjson"

	"example.org/madderdrum/control/configuration"
)

// Variable names the environment variable that holds the path of the settings file.
const Variable = "MADDERDRUM_BOOT"

// Settings is what a process is told about itself and its surroundings.
type Settings struct {
	Path      string // of the file; empty where it is none
	Node      string
	Role      string
	Class     string
	Serves    []string
	IP        string
	Zone      string
	Region    string
	Votes     bool // the machine counts towards what may be lost at once
	Bootstrap bool // the whole system starts for the first time
	DataDir   string
	MemoryMB  int
	Files     int
	DiskMB    int
	LinkMbps  float64
	Listen    map[string]string
	Ports     [2]int // first and last of the internal ports
	Seeds     []string
	Zones     map[string]string // region of each zone
	Heartbeat time.Duration
	Tolerate  int // core machines that may be lost at once
	Contracts map[string]bool
	// MetricsPort is where the process tells its own figures; 0: nowhere. It comes from the command line.
	MetricsPort int
	Bounds      Bounds
}

// Bounds are the figures of the rules in force. A zero means that the rule is not in force.
type Bounds struct {
	Contact, Ack, Sync, Drain, Grace, LossSlack time.Duration
	ConfigApply, RevertSlack, Revoke, Evacuate  time.Duration
	RetryWindow, QuotaWindow, TTLMax, Recovery  time.Duration
	RevocationStrict                            bool
	RetryRatio, RetrySlack                      float64
	QuotaOvershoot, QuotaSlack                  float64
	WarmupOvershoot, WarmupSlack                float64
}

// Error tells which field of the settings file can't be used and what to write instead.
type Error struct {
	Path, Field, Wrong, Fix string
}

func (e *Error) Error() string {
	text := "settings"
	if e.Path != "" {
		text += " " + e.Path
	}
	if e.Field != "" {
		text += ": " + e.Field
	}
	text += ": " + e.Wrong
	if e.Fix != "" {
		text += ": " + e.Fix
	}
	return text
}

// Load reads the settings file that the environment names.
func Load() (*Settings, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return nil, &Error{Field: Variable, Wrong: "is not set", Fix: "set it to the path of the settings file"}
	}
	return LoadFile(path)
}

// LoadFile reads a settings file.
func LoadFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Path: path, Wrong: err.Error(), Fix: "name a file that can be read"}
	}
	s, err := Parse(data)
	if e, ok := err.(*Error); ok {
		e.Path = path
	}
	if s != nil {
		s.Path = path
	}
	return s, err
}

// followEvery is how often the file is looked at: it may change without a signal.
const followEvery = 2 * time.Second

// Follow hands over the settings each time that their file has changed, until the context
// ends; a signal has it looked at at once. What can't be used is told, and the settings that
// hold stay.
func (s *Settings) Follow(ctx context.Context, changed func(*Settings), wrong func(error)) {
	if s.Path == "" {
		return
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	tick := time.NewTicker(followEvery)
	defer tick.Stop()
	old, _ := os.ReadFile(s.Path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
		}
		data, err := os.ReadFile(s.Path)
		if err != nil || bytes.Equal(data, old) {
			continue // a file that is being replaced is there the next time
		}
		old = data
		next, err := LoadFile(s.Path)
		if err != nil {
			wrong(err)
			continue
		}
		changed(next)
	}
}

// reader collects the first mistake while fields are read.
type reader struct{ err *Error }

func (r *reader) fail(field, wrong, fix string) {
	if r.err == nil {
		r.err = &Error{Field: field, Wrong: wrong, Fix: fix}
	}
}

func (r *reader) text(v *fastjson.Value, field string, needed bool, keys ...string) string {
	x := v.Get(keys...)
	if x == nil || x.Type() == fastjson.TypeNull {
		if needed {
			r.fail(field, "is missing", "write a string")
		}
		return ""
	}
	b, err := x.StringBytes()
	if err != nil {
		r.fail(field, "is not a string", "write it in quotes")
	}
	return string(b)
}

func (r *reader) duration(v *fastjson.Value, field string, keys ...string) time.Duration {
	if v.Get(keys...) == nil {
		return 0
	}
	d, ok := configuration.Duration(r.text(v, field, true, keys...))
	if !ok {
		r.fail(field, "is not a time", "write a number and its unit, as in 1500ms or 2.5s")
	}
	return d
}

// Parse reads settings. Fields that it does not know are passed over.
func Parse(data []byte) (*Settings, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, &Error{Wrong: "is not JSON: " + err.Error(), Fix: "write one JSON object"}
	}
	var r reader
	self, network, terms := v.Get("self_identity"), v.Get("network"), v.Get("timing_terms")
	for _, x := range []struct {
		field string
		table *fastjson.Value
	}{{"self_identity", self}, {"network", network}, {"timing_terms", terms}} {
		if x.table == nil || x.table.Type() != fastjson.TypeObject {
			return nil, &Error{Field: x.field, Wrong: "is missing", Fix: "write a table of that name"}
		}
	}
	s := &Settings{
		Node: r.text(self, "self_identity.node_name", true, "node_name"), Role: r.text(self, "self_identity.role", true, "role"),
		Class: r.text(self, "self_identity.machine_class", false, "machine_class"),
		IP:    r.text(self, "self_identity.ip_address", true, "ip_address"),
		Zone:  r.text(self, "self_identity.zone", true, "zone"), Region: r.text(self, "self_identity.region", true, "region"),
		Votes: self.GetBool("quorum_member"), Bootstrap: self.GetBool("bootstrap"),
		DataDir:  r.text(self, "self_identity.data_dir", false, "data_dir"),
		MemoryMB: self.GetInt("limits", "memory_mb"), Files: self.GetInt("limits", "file_descriptors"),
		DiskMB: self.GetInt("limits", "disk_mb"), LinkMbps: self.GetFloat64("limits", "link_mbps"),
		Listen: map[string]string{}, Zones: map[string]string{}, Contracts: map[string]bool{},
		Heartbeat: r.duration(v, "provider.heartbeat", "provider", "heartbeat"),
		Tolerate:  terms.GetInt("fault_tolerance", "machines"),
	}
	for _, x := range self.GetArray("serves") {
		s.Serves = append(s.Serves, string(x.GetStringBytes()))
	}
	visit := func(table *fastjson.Value, into map[string]string) {
		if o, err := table.Object(); table != nil && err == nil {
			o.Visit(func(k []byte, x *fastjson.Value) { into[string(k)] = string(x.GetStringBytes()) })
		}
	}
	if t := network.Get("listen"); t != nil {
		visit(t, s.Listen)
	}
	if t := network.Get("zones"); t != nil {
		visit(t, s.Zones)
	}
	ports := network.GetArray("internal_ports")
	if len(ports) != 2 || ports[0].GetInt() <= 0 || ports[1].GetInt() < ports[0].GetInt()+3 {
		r.fail("network.internal_ports", "does not hold the first and last of four ports or more", "write two numbers")
	} else {
		s.Ports = [2]int{ports[0].GetInt(), ports[1].GetInt()}
	}
	for _, x := range network.GetArray("seed_nodes") {
		s.Seeds = append(s.Seeds, string(x.GetStringBytes()))
	}
	if len(s.Seeds) == 0 {
		r.fail("network.seed_nodes", "names no machine", "write the control_plane addresses of core machines")
	}
	for _, x := range terms.GetArray("active_contracts") {
		s.Contracts[string(x.GetStringBytes())] = true
	}
	s.bounds(&r, terms.Get("bounds"))
	if s.Heartbeat == 0 {
		s.Heartbeat = 1500 * time.Millisecond
	}
	if r.err != nil {
		return nil, r.err
	}
	return s, nil
}

func (s *Settings) bounds(r *reader, v *fastjson.Value) {
	if v == nil {
		return
	}
	b := &s.Bounds
	for name, to := range map[string]*time.Duration{
		"contact": &b.Contact, "ack": &b.Ack, "sync_time": &b.Sync, "drain": &b.Drain, "grace": &b.Grace,
		"loss_slack": &b.LossSlack, "config_apply": &b.ConfigApply, "revert_slack": &b.RevertSlack,
		"revoke": &b.Revoke, "evacuate": &b.Evacuate, "retry_window": &b.RetryWindow,
		"quota_window": &b.QuotaWindow, "ttl_max": &b.TTLMax, "recovery": &b.Recovery,
	} {
		*to = r.duration(v, "timing_terms.bounds."+name, name)
	}
	for name, to := range map[string]*float64{
		"retry_budget_ratio": &b.RetryRatio, "retry_slack": &b.RetrySlack, "quota_overshoot": &b.QuotaOvershoot,
		"quota_slack": &b.QuotaSlack, "warmup_overshoot": &b.WarmupOvershoot, "warmup_slack": &b.WarmupSlack,
	} {
		if x := v.Get(name); x != nil {
			f, err := x.Float64()
			if err != nil || f < 0 {
				r.fail("timing_terms.bounds."+name, "is not a number from 0 on", "write a number")
			}
			*to = f
		}
	}
	b.RevocationStrict = v.GetBool("revocation_strict")
}

// Internal ports, from the first of the settings on.
const (
	ConfigStorePort = 0
	RegistryPort    = 1
	ProxyPort       = 2
)

// Internal is the address at which a program of another machine is called.
func (s *Settings) Internal(ip string, port int) string {
	return ip + ":" + strconv.Itoa(s.Ports[0]+port)
}

// HostOf is the IP number of an address with a port.
func HostOf(address string) string {
	host, _, ok := strings.Cut(address, ":")
	if !ok {
		return address
	}
	return host
}

// Cores are the IP numbers of the core machines that the seeds name, this one among them
// where it is one.
func (s *Settings) Cores() []string {
	var ips []string
	for _, a := range s.Seeds {
		ips = append(ips, HostOf(a))
	}
	return ips
}

// String is a short name for logs.
func (s *Settings) String() string { return fmt.Sprintf("%s/%s", s.Node, s.Role) }

// MetricsAddress is where the process tells its own figures; empty: nowhere.
func (s *Settings) MetricsAddress() string {
	if s.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort))
}
