package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"example.org/madderdrum/limiter"
)

// SettingValues holds settings by path, as on a BEGIN line. It records the first error of all reads.
type SettingValues struct {
	values map[string]string
	err    error
}

// NewSettingValues returns SettingValues that read from values.
func NewSettingValues(values map[string]string) *SettingValues { return &SettingValues{values: values} }

// Err returns the first error of the reads so far.
func (p *SettingValues) Err() error { return p.err }

// repeatByIdempotency maps the values of a request class's idempotency setting.
var repeatByIdempotency = map[string]limiter.Repeat{
	"read_like": limiter.Safe, "idempotency_key": limiter.Keyed, "non_idempotent": limiter.Unsafe,
}

// groupByName maps the values of a request class's group setting: which servers share an idempotency key.
var groupByName = map[string]limiter.Group{
	"all": limiter.GroupAll, "zone": limiter.GroupZone, "cell": limiter.GroupCell,
}

// parseSettings parses the settings on a BEGIN line.
func parseSettings(text string) (s limiter.Settings, err error) {
	values := map[string]string{}
	for _, pair := range strings.Fields(text) {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return s, fmt.Errorf("setting %q has no value", pair)
		}
		values[name] = value
	}
	return NewSettingValues(values).Settings()
}

// Settings returns the settings that the library uses and ignores the others.
func (p *SettingValues) Settings() (limiter.Settings, error) {
	settings := limiter.Settings{
		Position: p.Integer("position"), Balancers: p.Integer("balancers"), Zone: p.Integer("az"),
		SubscribeServers: p.values["membership_mode"] == "ask",
		PeerInPerS:       p.Number("family_info.peer_in_per_s"), TrueUp: p.flag("family_info.trued_up"),
		CrossPrice: p.Number("prices.cross_zone"), AskWithin: p.Number("invariants.ask_within_ms"),
		Caps: limiter.Caps{
			Attempts: p.Integer("caps.attempts_cap"), Cancel: p.flag("caps.cancel"),
			Peers: p.flag("caps.peer_messages"), Probes: p.flag("caps.probes"),
			RetryAfter: p.flag("caps.retry_after"), SecondCopies: p.flag("caps.second_copies"),
			MaxWaitMs: p.Number("caps.max_retry_after_ms"), ConnectMs: p.Number("caps.connect_timeout_ms"),
		},
		Rules: limiter.Rules{
			ColdShare: p.Number("invariants.cold_share"), ColdMs: p.Number("invariants.cold_ms"),
			OverloadFactor: p.Number("invariants.overload_factor"), FallMs: p.Number("invariants.fall_ms"),
		},
	}
	for i := range p.Count("request_classes") {
		prefix := fmt.Sprintf("request_classes.%d.", i)
		class := limiter.Class{
			AimMs: p.Number(prefix + "promise_ms"), DeadlineMs: p.Number(prefix + "deadline_ms"),
			WindowMs: p.Number(prefix + "window_ms"), Worth: p.Number(prefix + "importance"),
			LateShare: p.Number(prefix + "late_share"),
			Repeat:    limiter.Unsafe,
		}
		if text, ok := p.values[prefix+"idempotency"]; ok {
			class.Repeat, ok = repeatByIdempotency[text]
			p.check(ok, prefix+"idempotency")
		}
		if text, ok := p.values[prefix+"group"]; ok && class.Repeat == limiter.Keyed {
			class.Group, ok = groupByName[text]
			p.check(ok, prefix+"group")
		}
		settings.Classes = append(settings.Classes, class)
	}
	for i := range p.Count("packages") {
		prefix := fmt.Sprintf("packages.%d.", i)
		settings.Plans = append(settings.Plans, limiter.Plan{
			Rate: p.Number(prefix + "per_second"), Burst: p.Number(prefix + "burst"), AtOnce: p.Integer(prefix + "at_once"),
			CeilingRate: p.Number(prefix + "cap_rate"), CeilingBurst: p.Number(prefix + "cap_depth"),
			Price: p.Number(prefix + "price"), BeyondEarns: p.Number(prefix + "beyond_earns"),
			OverrunCost: p.Number(prefix + "overrun_cost"),
		})
	}
	return settings, p.err
}

// check records a bad value as the first error unless ok is set or there is an earlier error.
func (p *SettingValues) check(ok bool, name string) {
	if !ok && p.err == nil {
		p.err = fmt.Errorf("setting %s: bad value %q", name, p.values[name])
	}
}

// Text returns a value unparsed, or "" if it is absent.
func (p *SettingValues) Text(name string) string { return p.values[name] }

// Number returns a finite number, or 0 if it is absent.
func (p *SettingValues) Number(name string) float64 {
	text, ok := p.values[name]
	if !ok || text == "-" || text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	p.check(err == nil && !math.IsNaN(v) && !math.IsInf(v, 0), name)
	return v
}

// Integer returns a whole number, or 0 if it is absent.
func (p *SettingValues) Integer(name string) int {
	v := p.Number(name)
	p.check(v == math.Trunc(v) && math.Abs(v) < 1<<31, name)
	return int(v)
}

// Count returns the length of a list. It rejects lengths above the number of settings, so that a bad one cannot
// cause a huge allocation.
func (p *SettingValues) Count(name string) int {
	n := p.Integer(name + ".count")
	p.check(n >= 0 && n <= len(p.values), name+".count")
	if p.err != nil {
		return 0
	}
	return n
}

// flag returns a boolean, or false if it is absent.
func (p *SettingValues) flag(name string) bool {
	text := p.values[name]
	p.check(text == "" || text == "-" || text == "true" || text == "false" || text == "1" || text == "0", name)
	return text == "true" || text == "1"
}
