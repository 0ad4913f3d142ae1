// Package nodesettings reads the JSON settings file that each process of the system starts from.
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

// Settings describes a process, its machine, its network and the timing bounds it must keep.
type Settings struct {
	Path            string // of the settings file; empty if the settings were not read from a file
	Node            string
	Role            string
	Class           string
	Serves          []string
	IP              string
	Zone            string
	Region          string
	QuorumMember    bool // the machine is a quorum member: it counts towards the tolerated machine losses
	Bootstrap       bool // first start of the whole system
	DataDir         string
	MemoryMB        int
	FileDescriptors int
	DiskMB          int
	LinkMbps        float64
	Listen          map[string]string
	Ports           [2]int            // first and last internal port
	Seeds           []string          // control-plane addresses of core machines
	Zones           map[string]string // region by zone
	Heartbeat       time.Duration
	FaultTolerance  int             // core machines that may fail at the same time
	Contracts       map[string]bool // names of the active timing contracts
	// MetricsPort is the port that serves the metrics of the process; 0 disables it. It is set by a
	// command-line flag, not by the settings file.
	MetricsPort int
	Bounds      Bounds
}

// Bounds are the limits of the active timing contracts. A zero means that the contract is not active.
type Bounds struct {
	Contact, Ack, Sync, Drain, Grace, LossSlack time.Duration
	ConfigApply, RevertSlack, Revoke, Evacuate  time.Duration
	RetryWindow, QuotaWindow, TTLMax, Recovery  time.Duration
	RevocationStrict                            bool
	RetryRatio, RetrySlack                      float64
	QuotaOvershoot, QuotaSlack                  float64
	WarmupOvershoot, WarmupSlack                float64
}

// Error is a settings error: the field of the settings file that is invalid, what is wrong with it,
// and how to correct it.
type Error struct {
	Path, Field, Problem, Fix string
}

func (e *Error) Error() string {
	text := "settings"
	if e.Path != "" {
		text += " " + e.Path
	}
	if e.Field != "" {
		text += ": " + e.Field
	}
	text += ": " + e.Problem
	if e.Fix != "" {
		text += ": " + e.Fix
	}
	return text
}

// Load reads the settings file whose path is in the environment variable [Variable].
func Load() (*Settings, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return nil, &Error{Field: Variable, Problem: "is not set", Fix: "set it to the path of the settings file"}
	}
	return LoadFile(path)
}

// LoadFile reads and validates the settings file at path.
func LoadFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Path: path, Problem: err.Error(), Fix: "name a file that can be read"}
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

// pollInterval is the polling interval: the file may change without a signal.
const pollInterval = 2 * time.Second

// Watch watches the settings file until ctx is done and calls changed with the new settings after each
// change of its contents. SIGHUP triggers an immediate check. For an invalid file it calls invalid with the
// error, and the current settings stay in effect.
func (s *Settings) Watch(ctx context.Context, changed func(*Settings), invalid func(error)) {
	if s.Path == "" {
		return
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	previous, _ := os.ReadFile(s.Path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-tick.C:
		}
		data, err := os.ReadFile(s.Path)
		if err != nil || bytes.Equal(data, previous) {
			continue // a file that is missing because it is being replaced is read on the next check
		}
		previous = data
		next, err := LoadFile(s.Path)
		if err != nil {
			invalid(err)
			continue
		}
		changed(next)
	}
}

// fieldReader reads fields and keeps the first error.
type fieldReader struct{ err *Error }

func (r *fieldReader) recordError(field, problem, fix string) {
	if r.err == nil {
		r.err = &Error{Field: field, Problem: problem, Fix: fix}
	}
}

func (r *fieldReader) stringField(v *fastjson.Value, field string, required bool, keys ...string) string {
	value := v.Get(keys...)
	if value == nil || value.Type() == fastjson.TypeNull {
		if required {
			r.recordError(field, "is missing", "write a string")
		}
		return ""
	}
	text, err := value.StringBytes()
	if err != nil {
		r.recordError(field, "is not a string", "write it in quotes")
	}
	return string(text)
}

func (r *fieldReader) durationField(v *fastjson.Value, field string, keys ...string) time.Duration {
	if v.Get(keys...) == nil {
		return 0
	}
	duration, ok := configuration.Duration(r.stringField(v, field, true, keys...))
	if !ok {
		r.recordError(field, "is not a time", "write a number and its unit, as in 1500ms or 2.5s")
	}
	return duration
}

// Parse decodes and validates settings. Unknown fields are ignored.
func Parse(data []byte) (*Settings, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, &Error{Problem: "is not JSON: " + err.Error(), Fix: "write one JSON object"}
	}
	var fields fieldReader
	identity, network, timing := v.Get("self_identity"), v.Get("network"), v.Get("timing_terms")
	for _, x := range []struct {
		field string
		table *fastjson.Value
	}{{"self_identity", identity}, {"network", network}, {"timing_terms", timing}} {
		if x.table == nil || x.table.Type() != fastjson.TypeObject {
			return nil, &Error{Field: x.field, Problem: "is missing", Fix: "write a table of that name"}
		}
	}
	s := &Settings{
		Node: fields.stringField(identity, "self_identity.node_name", true, "node_name"), Role: fields.stringField(identity, "self_identity.role", true, "role"),
		Class: fields.stringField(identity, "self_identity.machine_class", false, "machine_class"),
		IP:    fields.stringField(identity, "self_identity.ip_address", true, "ip_address"),
		Zone:  fields.stringField(identity, "self_identity.zone", true, "zone"), Region: fields.stringField(identity, "self_identity.region", true, "region"),
		QuorumMember: identity.GetBool("quorum_member"), Bootstrap: identity.GetBool("bootstrap"),
		DataDir:  fields.stringField(identity, "self_identity.data_dir", false, "data_dir"),
		MemoryMB: identity.GetInt("limits", "memory_mb"), FileDescriptors: identity.GetInt("limits", "file_descriptors"),
		DiskMB: identity.GetInt("limits", "disk_mb"), LinkMbps: identity.GetFloat64("limits", "link_mbps"),
		Listen: map[string]string{}, Zones: map[string]string{}, Contracts: map[string]bool{},
		Heartbeat:      fields.durationField(v, "provider.heartbeat", "provider", "heartbeat"),
		FaultTolerance: timing.GetInt("fault_tolerance", "machines"),
	}
	for _, x := range identity.GetArray("serves") {
		s.Serves = append(s.Serves, string(x.GetStringBytes()))
	}
	readMap := func(table *fastjson.Value, target map[string]string) {
		if o, err := table.Object(); table != nil && err == nil {
			o.Visit(func(k []byte, x *fastjson.Value) { target[string(k)] = string(x.GetStringBytes()) })
		}
	}
	if t := network.Get("listen"); t != nil {
		readMap(t, s.Listen)
	}
	if t := network.Get("zones"); t != nil {
		readMap(t, s.Zones)
	}
	ports := network.GetArray("internal_ports")
	if len(ports) != 2 || ports[0].GetInt() <= 0 || ports[1].GetInt() < ports[0].GetInt()+3 {
		fields.recordError("network.internal_ports", "does not hold the first and last of four ports or more", "write two numbers")
	} else {
		s.Ports = [2]int{ports[0].GetInt(), ports[1].GetInt()}
	}
	for _, x := range network.GetArray("seed_nodes") {
		s.Seeds = append(s.Seeds, string(x.GetStringBytes()))
	}
	if len(s.Seeds) == 0 {
		fields.recordError("network.seed_nodes", "names no machine", "write the control_plane addresses of core machines")
	}
	for _, x := range timing.GetArray("active_contracts") {
		s.Contracts[string(x.GetStringBytes())] = true
	}
	s.readBounds(&fields, timing.Get("bounds"))
	if s.Heartbeat == 0 {
		s.Heartbeat = 1500 * time.Millisecond
	}
	if fields.err != nil {
		return nil, fields.err
	}
	return s, nil
}

func (s *Settings) readBounds(fields *fieldReader, v *fastjson.Value) {
	if v == nil {
		return
	}
	bounds := &s.Bounds
	for name, target := range map[string]*time.Duration{
		"contact": &bounds.Contact, "ack": &bounds.Ack, "sync_time": &bounds.Sync, "drain": &bounds.Drain, "grace": &bounds.Grace,
		"loss_slack": &bounds.LossSlack, "config_apply": &bounds.ConfigApply, "revert_slack": &bounds.RevertSlack,
		"revoke": &bounds.Revoke, "evacuate": &bounds.Evacuate, "retry_window": &bounds.RetryWindow,
		"quota_window": &bounds.QuotaWindow, "ttl_max": &bounds.TTLMax, "recovery": &bounds.Recovery,
	} {
		*target = fields.durationField(v, "timing_terms.bounds."+name, name)
	}
	for name, target := range map[string]*float64{
		"retry_budget_ratio": &bounds.RetryRatio, "retry_slack": &bounds.RetrySlack, "quota_overshoot": &bounds.QuotaOvershoot,
		"quota_slack": &bounds.QuotaSlack, "warmup_overshoot": &bounds.WarmupOvershoot, "warmup_slack": &bounds.WarmupSlack,
	} {
		if value := v.Get(name); value != nil {
			number, err := value.Float64()
			if err != nil || number < 0 {
				fields.recordError("timing_terms.bounds."+name, "is not a number from 0 on", "write a number")
			}
			*target = number
		}
	}
	bounds.RevocationStrict = v.GetBool("revocation_strict")
}

// Offsets of the internal ports from the first one in the settings.
const (
	ConfigStorePort = 0
	RegistryPort    = 1
	ProxyPort       = 2
)

// InternalAddress returns the address of an internal port, given as an offset such as [ProxyPort], on the machine
// with that IP address.
func (s *Settings) InternalAddress(ip string, port int) string {
	return ip + ":" + strconv.Itoa(s.Ports[0]+port)
}

// HostOf returns the host part of an address in the form host:port; an address without a port is returned
// unchanged.
func HostOf(address string) string {
	host, _, hasPort := strings.Cut(address, ":")
	if !hasPort {
		return address
	}
	return host
}

// CoreIPs returns the IP addresses of the core machines listed as seeds, including this machine if it is
// one of them.
func (s *Settings) CoreIPs() []string {
	var ips []string
	for _, a := range s.Seeds {
		ips = append(ips, HostOf(a))
	}
	return ips
}

// String returns "node/role", for logs.
func (s *Settings) String() string { return fmt.Sprintf("%s/%s", s.Node, s.Role) }

// MetricsAddress returns the address that serves the metrics of the process; it is empty if they are
// disabled.
func (s *Settings) MetricsAddress() string {
	if s.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort))
}
