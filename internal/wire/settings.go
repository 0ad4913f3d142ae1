package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"example.org/silverscale"
)

// pairs are the path=value pairs of a BEGIN line.
type pairs struct {
	values map[string]string
	err    error
}

var repeats = map[string]silverscale.Repeat{
	"read_like": silverscale.Safe, "idempotency_key": silverscale.Keyed, "non_idempotent": silverscale.Unsafe,
}

var groups = map[string]silverscale.Group{
	"all": silverscale.GroupAll, "zone": silverscale.GroupZone, "cell": silverscale.GroupCell,
}

// parseSettings reads the settings it knows and skips the others.
func parseSettings(text string) (s silverscale.Settings, err error) {
	p := &pairs{values: map[string]string{}}
	for _, pair := range strings.Fields(text) {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return s, fmt.Errorf("setting %q has no value", pair)
		}
		p.values[name] = value
	}
	s = silverscale.Settings{
		Position: p.integer("position"), Balancers: p.integer("balancers"), Zone: p.integer("az"),
		AskMembers: p.values["membership_mode"] == "ask",
		PeerInPerS: p.number("family_info.peer_in_per_s"), TrueUp: p.flag("family_info.trued_up"),
		CrossPrice: p.number("prices.cross_zone"), AskWithin: p.number("invariants.ask_within_ms"),
		Caps: silverscale.Caps{
			Attempts: p.integer("caps.attempts_cap"), Cancel: p.flag("caps.cancel"),
			Peers: p.flag("caps.peer_messages"), Probes: p.flag("caps.probes"),
			RetryAfter: p.flag("caps.retry_after"), SecondCopies: p.flag("caps.second_copies"),
			MaxWaitMs: p.number("caps.max_retry_after_ms"), ConnectMs: p.number("caps.connect_timeout_ms"),
		},
		Rules: silverscale.Rules{
			ColdShare: p.number("invariants.cold_share"), ColdMs: p.number("invariants.cold_ms"),
			OverloadFactor: p.number("invariants.overload_factor"), FallMs: p.number("invariants.fall_ms"),
		},
	}
	for i := range p.count("request_classes") {
		at := fmt.Sprintf("request_classes.%d.", i)
		c := silverscale.Class{
			AimMs: p.number(at + "promise_ms"), DeadlineMs: p.number(at + "deadline_ms"),
			WindowMs: p.number(at + "window_ms"), Worth: p.number(at + "importance"),
			LateShare: p.number(at + "late_share"),
			Repeat:    silverscale.Unsafe,
		}
		if w, ok := p.values[at+"idempotency"]; ok {
			c.Repeat, ok = repeats[w]
			p.check(ok, at+"idempotency")
		}
		if w, ok := p.values[at+"group"]; ok && c.Repeat == silverscale.Keyed {
			c.Group, ok = groups[w]
			p.check(ok, at+"group")
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("packages") {
		at := fmt.Sprintf("packages.%d.", i)
		s.Plans = append(s.Plans, silverscale.Plan{
			Rate: p.number(at + "per_second"), Burst: p.number(at + "burst"), AtOnce: p.integer(at + "at_once"),
			CeilingRate: p.number(at + "cap_rate"), CeilingBurst: p.number(at + "cap_depth"),
			Price: p.number(at + "price"), BeyondEarns: p.number(at + "beyond_earns"),
			OverrunCost: p.number(at + "overrun_cost"),
		})
	}
	return s, p.err
}

func (p *pairs) check(ok bool, name string) {
	if !ok && p.err == nil {
		p.err = fmt.Errorf("setting %s: bad value %q", name, p.values[name])
	}
}

func (p *pairs) number(name string) float64 {
	w, ok := p.values[name]
	if !ok || w == "-" || w == "" {
		return 0
	}
	v, err := strconv.ParseFloat(w, 64)
	p.check(err == nil && !math.IsNaN(v) && !math.IsInf(v, 0), name)
	return v
}

func (p *pairs) integer(name string) int {
	v := p.number(name)
	p.check(v == math.Trunc(v) && math.Abs(v) < 1<<31, name)
	return int(v)
}

// count reads the length of a list, which is bounded by the text itself.
func (p *pairs) count(name string) int {
	n := p.integer(name + ".count")
	p.check(n >= 0 && n <= len(p.values), name+".count")
	if p.err != nil {
		return 0
	}
	return n
}

func (p *pairs) flag(name string) bool {
	w := p.values[name]
	p.check(w == "" || w == "-" || w == "true" || w == "false" || w == "1" || w == "0", name)
	return w == "true" || w == "1"
}
