package config

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"path"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/hcl/v2"

	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/limiter"
)

// builder converts parsed blocks into a Config and runs the checks that span several blocks.
type builder struct {
	*decoder
	files      []sourceFile
	incomplete bool // some file could not be read and may hold the blocks that seem missing
	cfg        *Config
	roomIndex  map[string]int
	boxBlocks  map[string]*parsedBlock // block that defines each box, by box name
}

var (
	repeatPolicies = map[string]limiter.Repeat{"safe": limiter.Safe, "keyed": limiter.Keyed, "unsafe": limiter.Unsafe}
	dedupGroups    = map[string]limiter.Group{"all": limiter.GroupAll, "room": limiter.GroupZone, "pod": limiter.GroupCell}
)

func seconds(v float64) time.Duration { return time.Duration(math.Round(v * 1e9)) }

func (o *parsedBlock) duration(name string) time.Duration { return seconds(o.num(name)) }

// blocksOf returns the blocks of a kind, in file order.
func (b *builder) blocksOf(kind string) []*parsedBlock {
	var all []*parsedBlock
	for _, o := range b.blocks {
		if o.block.kind == kind {
			all = append(all, o)
		}
	}
	return all
}

// blocksByName returns the blocks of a kind sorted by name, so that the result does not
// depend on the order of files.
func (b *builder) blocksByName(kind string) []*parsedBlock {
	all := b.blocksOf(kind)
	slices.SortFunc(all, func(x, y *parsedBlock) int {
		switch {
		case x.label < y.label:
			return -1
		case x.label > y.label:
			return 1
		}
		return 0
	})
	return all
}

// singleton returns the block of a kind that occurs at most once, or one with the default
// values if it is absent.
func (b *builder) singleton(kind string) *parsedBlock {
	if o := b.byName[kind][""]; o != nil {
		return o
	}
	o := &parsedBlock{block: schema.find(kind), values: map[string]value{}, at: b.configRange()}
	for i := range o.block.fields {
		if f := &o.block.fields[i]; f.defaultText != "" {
			o.values[f.name] = b.defaultValue(f)
		}
	}
	return o
}

// configRange returns the start of the first file, as the position of diagnostics about the
// configuration as a whole.
func (b *builder) configRange() hcl.Range {
	at := hcl.Range{Start: hcl.InitialPos, End: hcl.InitialPos}
	if len(b.files) > 0 {
		at.Filename = b.files[0].displayName
	}
	return at
}

func (b *builder) build() *Config {
	f := &fleet.Fleet{}
	b.cfg = &Config{Fleet: f, places: map[string]hcl.Range{}}
	b.roomIndex = map[string]int{}
	for _, o := range b.blocks {
		b.cfg.places[o.block.kind+" "+o.label] = o.at
	}
	for i, o := range b.blocksOf("room") {
		b.roomIndex[o.label] = i
		f.Rooms = append(f.Rooms, o.label)
		if !o.used {
			b.add("unused", o.at, "take it out, or place a limiter or box in it", "room %q has neither limiters nor boxes", o.label)
		}
	}
	discovered := slices.ContainsFunc(b.blocksOf("pool"), func(o *parsedBlock) bool { return o.text("discovery") != "" })
	for _, kind := range []string{"room", "class", "plan", "limiter", "box"} {
		if kind == "box" && discovered {
			continue
		}
		if len(b.byName[kind]) == 0 && !b.incomplete && !b.hasBlock(kind) {
			b.add("missing-block", b.configRange(), fmt.Sprintf("add %s \"NAME\" { ... }", kind), "there is no %s", kind)
		}
	}
	b.buildClasses()
	b.buildPlans()
	for _, o := range b.blocksOf("limiter") {
		f.Limiters = append(f.Limiters, fleet.Limiter{Name: o.label, Room: b.roomIndex[o.text("room")], Listen: o.text("listen"), Peer: o.text("peer"), Admin: o.text("admin"), Fleet: o.text("fleet")})
	}
	b.buildBoxes()
	b.buildSingletons()
	b.buildPools()
	b.buildPlugins()
	b.buildRoutes()
	b.checkUnusedPlugins()
	b.buildForwardAuth()
	b.checkAddresses()
	if b.Err() == nil { // with errors, Load discards the Config
		b.cfg.settings = b.normalize()
	}
	return b.cfg
}

// hasBlock reports whether the files contain a block of a kind, even an invalid one.
func (b *builder) hasBlock(kind string) bool {
	for _, f := range b.files {
		for _, x := range f.body.Blocks {
			if x.Type == kind {
				return true
			}
		}
	}
	return false
}

// fieldsValid reports whether all these fields of a block have valid or default values.
func fieldsValid(o *parsedBlock, fields ...string) bool {
	for _, name := range fields {
		if v, have := o.values[name]; !have || !v.valid && v.at.Filename != "" {
			return false
		}
	}
	return true
}

func (b *builder) buildClasses() {
	f, sum, whole := b.cfg.Fleet, 0.0, true
	for _, o := range b.blocksOf("class") {
		c := fleet.Class{Name: o.label, Share: o.num("share"), Work: o.duration("work"), Spread: o.num("spread"), Aim: o.duration("aim"),
			Deadline: o.duration("deadline"), Worth: o.num("worth"), Late: o.num("late"), Units: o.num("units"),
			Repeat: repeatPolicies[o.text("repeat")], Group: dedupGroups[o.text("group")], Window: o.duration("window")}
		if fieldsValid(o, "aim", "deadline") && c.Aim > c.Deadline {
			b.add("aim-over-deadline", o.fieldRange("aim"), fmt.Sprintf("write an aim of %q or less", c.Deadline), "the aim of %v is longer than the deadline of %v", c.Aim, c.Deadline)
		}
		if _, have := o.values["window"]; c.Repeat == limiter.Keyed && !have && o.isSet("repeat") {
			b.add("no-window", o.at, `add window = "1s": how long boxes drop repeats of a key`, "keyed class %q has no window", o.label)
		}
		whole = whole && fieldsValid(o, "share")
		sum += c.Share
		f.Classes = append(f.Classes, c)
	}
	b.checkShares("class", sum, whole)
}

// checkShares checks that the shares of a kind of block add up to 100%.
func (b *builder) checkShares(kind string, sum float64, whole bool) {
	all := b.blocksOf(kind)
	if whole && len(all) > 0 && !b.incomplete && math.Abs(sum-1) > 0.001 {
		b.add("shares-sum", all[0].fieldRange("share"), "change them so that they add up to 100%", "the shares of all %s blocks add up to %.4g%%", kind, sum*100)
	}
}

func (b *builder) buildPlans() {
	f, sum, whole := b.cfg.Fleet, 0.0, true
	largest, units := "", 0.0
	for i, o := range b.blocksOf("class") {
		if u := f.Classes[i].Units; u > units && fieldsValid(o, "units") {
			largest, units = o.label, u
		}
	}
	for _, o := range b.blocksOf("plan") {
		p := fleet.Plan{Name: o.label, Share: o.num("share"), Rate: o.num("rate"), Burst: o.num("burst"), CeilingRate: o.num("ceiling_rate"),
			CeilingBurst: o.num("ceiling_burst"), Price: o.num("price"), BeyondEarns: o.num("beyond_earns"), OverrunCost: o.num("overrun_cost")}
		if fieldsValid(o, "ceiling_rate", "ceiling_burst") {
			switch {
			case (p.CeilingRate > 0) != (p.CeilingBurst > 0):
				b.add("half-ceiling", o.at, "give both ceiling_rate and ceiling_burst, or neither", "plan %q has half a ceiling", o.label)
			case p.CeilingRate > 0 && fieldsValid(o, "rate") && p.CeilingRate < p.Rate:
				b.add("ceiling-under-rate", o.fieldRange("ceiling_rate"), fmt.Sprintf("write %q or more", formatQuantity(p.Rate, kindRate)), "plan %q has a ceiling of %s below its rate of %s", o.label, formatQuantity(p.CeilingRate, kindRate), formatQuantity(p.Rate, kindRate))
			case p.CeilingRate > 0 && fieldsValid(o, "burst") && p.CeilingBurst < p.Burst:
				b.add("ceiling-under-rate", o.fieldRange("ceiling_burst"), fmt.Sprintf("write %g or more", p.Burst), "plan %q has a ceiling_burst of %g below its burst of %g", o.label, p.CeilingBurst, p.Burst)
			}
		}
		if fieldsValid(o, "burst") && p.Burst < units {
			b.add("burst-under-units", o.fieldRange("burst"), fmt.Sprintf("write %g or more", units), "plan %q holds %g units at most, and a request of class %q takes %g: it could never pass", o.label, p.Burst, largest, units)
		}
		whole = whole && fieldsValid(o, "share")
		sum += p.Share
		f.Plans = append(f.Plans, p)
	}
	b.checkShares("plan", sum, whole)
}

// buildBoxes expands each box block into count boxes, which differ in name, pod and port.
func (b *builder) buildBoxes() {
	f := b.cfg.Fleet
	b.boxBlocks = map[string]*parsedBlock{}
	names := b.boxBlocks
	rules := b.singleton("rules")
	for _, o := range b.blocksOf("box") {
		n := max(1, o.integer("count"))
		x := fleet.Box{Name: o.label, Room: b.roomIndex[o.text("room")], Labels: o.list("labels"), Pod: o.integer("pod"), Dial: o.text("dial"), Cores: o.num("cores"), Speed: o.num("speed"),
			Slots: o.integer("slots"), Queue: o.integer("queue"), Thrash: o.num("thrash"), ThrashAt: o.num("thrash_at"), Connections: o.integer("connections"),
			Handshake: o.duration("handshake"), ColdFrom: o.num("cold_from"), ColdFor: o.duration("cold_for"), WarmAfter: o.integer("warm_after"),
			Report:    fleet.Report{Every: o.duration("report_every"), Delay: o.duration("report_delay"), Noise: o.num("report_noise")},
			ErrorRate: o.num("error_rate")}
		if fieldsValid(o, "cold_from", "cold_for") && x.ColdFor > 0 {
			switch {
			case x.ColdFrom <= 0:
				b.add("cold-ramp", o.fieldRange("cold_from"), `write cold_from = "18%" or so`, "box %q starts with no capacity: what can do nothing can't be warmed", o.label)
			case x.ColdFrom >= 1:
				b.add("cold-ramp", o.fieldRange("cold_for"), `write cold_from = "25%" or so, or take cold_for out`, "box %q is cold for %v, but starts with all its capacity", o.label, x.ColdFor)
			case fieldsValid(rules, "fall_for") && x.ColdFor < rules.duration("fall_for"):
				b.add("cold-ramp", o.fieldRange("cold_for"), fmt.Sprintf("write %q or more, or shorten fall_for", rules.duration("fall_for")), "box %q warms up in %v, within the %v over which the rules look at a cold box", o.label, x.ColdFor, rules.duration("fall_for"))
			}
		}
		dial := netip.AddrPort{}
		if x.Dial != "" {
			dial = netip.MustParseAddrPort(x.Dial)
			if int(dial.Port())+n-1 > math.MaxUint16 {
				b.add("port-range", o.fieldRange("dial"), fmt.Sprintf("start at port %d or below", math.MaxUint16-n+1), "%d boxes from port %d on have no room", n, dial.Port())
				continue
			}
		}
		size, first := max(1, o.integer("pod_size")), x.Pod
		for i := range n {
			if n > 1 {
				x.Name = o.label + strconv.Itoa(i)
			}
			if x.Dial != "" {
				x.Dial = netip.AddrPortFrom(dial.Addr(), dial.Port()+uint16(i)).String()
			}
			x.Pod = first + i/size
			if other := names[x.Name]; other != nil {
				b.addDuplicate("box", x.Name, o.at, other.at)
				break
			}
			if len(f.Boxes) >= maxCount {
				b.add("too-large", o.at, "split the deployment", "more than %d boxes", maxCount)
				return
			}
			names[x.Name] = o
			b.cfg.places["box "+x.Name] = o.at
			f.Boxes = append(f.Boxes, x)
		}
	}
}

// buildSingletons converts the blocks that occur at most once.
func (b *builder) buildSingletons() {
	f := b.cfg.Fleet
	o := b.singleton("rules")
	f.Rules = fleet.Rules{DrainGrace: o.duration("drain_grace"), FallFactor: o.num("fall_factor"), FallFor: o.duration("fall_for"),
		CeilingSlack: o.num("ceiling_slack"), Attempts: o.integer("attempts")}
	o = b.singleton("network")
	f.Network = fleet.Network{SameRoom: o.duration("same_room"), CrossRoom: o.duration("cross_room"), Client: o.duration("client"), Jitter: o.num("jitter"),
		Connect: o.duration("connect_timeout"), Idle: o.duration("idle_timeout"), PeerLeast: o.duration("peer_least"), PeerMost: o.duration("peer_most"),
		PeerLoss: o.num("peer_loss"), PeerIn: o.num("peer_in"), ListLeast: o.duration("list_least"), ListMost: o.duration("list_most"),
		SilentNotice: o.duration("silent_notice"), FrontNotice: o.duration("front_notice")}
	for _, name := range []string{"peer", "list"} {
		least, most := o.duration(name+"_least"), o.duration(name+"_most")
		if fieldsValid(o, name+"_least", name+"_most") && least > most {
			b.add("least-over-most", o.fieldRange(name+"_most"), fmt.Sprintf("write %q or more", least), "%s_most = %v is below %s_least = %v", name, most, name, least)
		}
	}
	o = b.singleton("traffic")
	f.Traffic = fleet.Traffic{Accounts: o.integer("accounts"), Rate: o.num("rate"), Swing: o.num("swing"), Retries: o.integer("retries"),
		TryShare: o.num("try_share"), Backoff: o.duration("backoff"), Heed: o.num("heed"), MaxAdvice: o.duration("max_advice"), SpreadMin: o.num("spread_least"),
		Skew: o.num("skew"), Shift: o.duration("shift"), Heavy: o.num("heavy"), HeavyX: o.num("heavy_times")}
	if o := b.byName["memory"][""]; o != nil {
		b.cfg.Memory = Memory{o.text("folder"), o.duration("every"), int64(o.num("max_size"))}
	}
	if all := b.blocksOf("fleet"); len(all) > 0 {
		b.buildDuties(all[0])
	}
	o = b.singleton("limits")
	f.Limits = fleet.Limits{Cores: o.num("cores"), MemoryMB: int(o.num("memory")) >> 20, Sockets: o.integer("sockets")}
}

// buildDuties converts the fleet block.
func (b *builder) buildDuties(o *parsedBlock) {
	d := Duties{o.label, o.text("folder"), o.list("voters"), o.duration("term"), o.num("drift"), o.text("ceilings"), o.text("watch")}
	if n := len(d.Voters); o.isSet("voters") && n%2 == 0 {
		b.add("voters-even", o.fieldRange("voters"), "name three, five or one", "%d limiters vote: an even number survives no more losses than one less", n)
	}
	b.cfg.Duties = d
}

func (b *builder) buildPools() {
	f := b.cfg.Fleet
	var names []string
	for _, x := range f.Boxes {
		names = append(names, x.Name)
	}
	owner, whole := make([]*parsedBlock, len(f.Boxes)), true
	for _, o := range b.blocksByName("pool") {
		p := Pool{Name: o.label, Discovery: o.text("discovery")}
		p.Tiers = b.buildTiers(o)
		v := o.values["members"]
		for k, pattern := range v.entries {
			at, found := v.itemRanges[k], false
			for i, name := range names {
				fits, err := path.Match(pattern, name)
				if err != nil {
					break
				}
				if !fits {
					continue
				}
				found = true
				switch {
				case owner[i] == o:
				case owner[i] != nil:
					b.add("box-in-two-pools", at, fmt.Sprintf("take it out here or from pool %q at %s:%d", owner[i].label, owner[i].at.Filename, owner[i].at.Start.Line),
						"box %q is a member of pool %q already", name, owner[i].label).addRelated(owner[i].fieldRange("members"))
				default:
					owner[i] = o
					p.Boxes = append(p.Boxes, i)
				}
			}
			whole = whole && found
			if !found && !b.incomplete {
				b.add("unknown-name", at, suggestFix(pattern, names), "no box fits %q", pattern)
			}
		}
		_, have := o.values["members"]
		_, found := o.values["discovery"]
		empty := v.valid && len(v.entries) == 0 || !have && !o.maybeMisspelled("members")
		whole = whole && (v.valid && len(v.entries) > 0 || found && !have)
		if empty && !found {
			b.add("pool-empty", o.at, `write the boxes that it has, such as members = ["a*"], or discovery = "127.0.0.1:8500"`, "pool %q has no members", o.label)
		}
		slices.Sort(p.Boxes)
		b.cfg.Pools = append(b.cfg.Pools, p)
	}
	if len(b.cfg.Pools) == 1 && len(b.cfg.Pools[0].Boxes) == len(f.Boxes) {
		f.Tiers = b.cfg.Pools[0].Tiers
	}
	told := map[*parsedBlock]bool{}
	if whole && len(b.cfg.Pools) > 0 && !b.incomplete {
		for i, o := range owner {
			from := b.cfg.places["box "+names[i]]
			if in := b.boxBlocks[names[i]]; o == nil && !told[in] {
				told[in] = true
				b.add("box-without-pool", from, "make it a member of a pool, or take it out", "box %q is in no pool and takes no requests", names[i])
			}
		}
	}
}

// buildTiers returns the tiers of a pool, sorted by rank.
func (b *builder) buildTiers(o *parsedBlock) fleet.Tiers {
	var subs []*parsedBlock
	ranks, rooms, labels, known := map[int]*parsedBlock{}, map[string]*parsedBlock{}, map[string]*parsedBlock{}, map[string]bool{}
	for _, x := range b.cfg.Fleet.Boxes {
		for _, label := range x.Labels {
			known[label] = true
		}
	}
	for _, s := range o.children {
		subs = append(subs, s)
		if other := ranks[s.integer("rank")]; other != nil && s.isSet("rank") {
			b.add("tier-overlap", s.fieldRange("rank"), "give each tier a rank of its own", "tiers %q and %q have the same rank", other.label, s.label).addRelated(other.fieldRange("rank"))
		}
		ranks[s.integer("rank")] = s
		for i, room := range s.values["rooms"].entries {
			if other := rooms[room]; other != nil {
				b.add("tier-overlap", s.values["rooms"].itemRanges[i], "take it out of one of them", "room %q is in tiers %q and %q", room, other.label, s.label).addRelated(other.fieldRange("rooms"))
			}
			rooms[room] = s
		}
		for i, label := range s.values["labels"].entries {
			if other := labels[label]; other != nil {
				b.add("tier-overlap", s.values["labels"].itemRanges[i], "take it out of one of them", "label %q is in tiers %q and %q", label, other.label, s.label).addRelated(other.fieldRange("labels"))
			}
			if labels[label] = s; !known[label] && !b.incomplete {
				fix := fmt.Sprintf("add labels = [%q] to the boxes that the tier is to have", label)
				if len(known) > 0 {
					fix = suggestFix(label, slices.Sorted(maps.Keys(known)))
				}
				b.add("unknown-name", s.values["labels"].itemRanges[i], fix, "no box has the label %q", label)
			}
		}
		if len(s.list("rooms")) == 0 && len(s.list("labels")) == 0 && s.text("own_room") != "yes" && (s.isSet("rooms") || !s.maybeMisspelled("rooms")) {
			b.add("tier-empty", s.at, `add rooms = ["room-a"], labels = ["rack-7"] or own_room = "yes"`, "tier %q has no boxes", s.label)
		}
	}
	slices.SortStableFunc(subs, func(x, y *parsedBlock) int { return x.integer("rank") - y.integer("rank") })
	var tiers fleet.Tiers
	for _, s := range subs {
		t := fleet.Tier{Name: s.label, Labels: s.list("labels"), OwnRoom: s.text("own_room") == "yes", Spill: s.num("spill")}
		for _, room := range s.list("rooms") {
			t.Rooms = append(t.Rooms, b.roomIndex[room])
		}
		tiers = append(tiers, t)
	}
	return tiers
}

// routeField returns a field of a route, or that of its policy if the route does not set it.
func (b *builder) routeField(o *parsedBlock, name string) (value, bool) {
	if v, have := o.values[name]; have && v.at.Filename != "" {
		return v, v.valid
	}
	if p := b.byName["policy"][o.text("policy")]; p != nil {
		if v, have := p.values[name]; have {
			return v, v.valid
		}
	}
	return value{}, false
}

// listenAddress is an address that a component listens on.
type listenAddress struct {
	what string
	at   hcl.Range
	addr netip.AddrPort
}

// checkAddresses checks that no address is used twice, and that all limiters and boxes have
// the addresses that a served deployment needs.
func (b *builder) checkAddresses() {
	var tcp, udp, boxes []listenAddress
	served, peers := false, 0
	limiters := b.blocksOf("limiter")
	more := map[string]bool{}
	for _, o := range b.blocksByName("listener") {
		b.cfg.Listeners = append(b.cfg.Listeners, Listener{Name: o.label, Address: o.text("address"), Limiter: max(0, slices.IndexFunc(limiters, func(l *parsedBlock) bool { return l.label == o.text("limiter") }))})
		more[o.text("limiter")] = true
		tcp = appendAddress(tcp, fmt.Sprintf("listener %q", o.label), o, "address")
	}
	for _, o := range limiters {
		served = served || o.isSet("listen") || more[o.label]
		if o.isSet("peer") {
			peers++
		}
		tcp = appendAddress(tcp, fmt.Sprintf("limiter %q", o.label), o, "admin")
		tcp = appendAddress(tcp, fmt.Sprintf("limiter %q", o.label), o, "fleet")
		tcp, udp = appendAddress(tcp, fmt.Sprintf("limiter %q", o.label), o, "listen"), appendAddress(udp, fmt.Sprintf("limiter %q", o.label), o, "peer")
	}
	for _, o := range b.blocksByName("forward_auth") {
		tcp = appendAddress(tcp, fmt.Sprintf("forward_auth %q", o.label), o, "listen")
	}
	for _, x := range b.cfg.Fleet.Boxes {
		if x.Dial != "" {
			at := b.cfg.places["box "+x.Name]
			boxes = append(boxes, listenAddress{fmt.Sprintf("box %q", x.Name), at, netip.MustParseAddrPort(x.Dial)})
		}
	}
	b.checkAddressConflicts(append(tcp, boxes...))
	b.checkAddressConflicts(udp)
	fleets := b.blocksOf("fleet")
	for _, o := range limiters {
		_, listen := o.values["listen"]
		if _, has := o.values["fleet"]; !has && len(fleets) > 0 {
			b.add("address-missing", o.at, `add fleet = "127.0.0.1:7990"`, "limiter %q has no address for the fleet's duties, and there is a fleet block", o.label)
		}
		_, peer := o.values["peer"]
		if served && !listen && !more[o.label] {
			b.add("address-missing", o.at, `add listen = "127.0.0.1:8080"`, "limiter %q has no address for clients, while others have", o.label)
		}
		if peers > 0 && !peer {
			b.add("peers-half", o.at, `add peer = "127.0.0.1:7946", or take peer out of all limiters`, "limiter %q has no address for its peers, while others have", o.label)
		}
	}
	if served {
		for _, o := range b.blocksOf("box") {
			if _, have := o.values["dial"]; !have {
				b.add("address-missing", o.at, `add dial = "127.0.0.1:9000"`, "box %q has no address, while limiters listen for clients", o.label)
			}
		}
	}
}

func appendAddress(all []listenAddress, what string, o *parsedBlock, field string) []listenAddress {
	if !o.isSet(field) {
		return all
	}
	return append(all, listenAddress{what, o.fieldRange(field), netip.MustParseAddrPort(o.text(field))})
}

// checkAddressConflicts reports addresses that are used twice. The unspecified addresses
// 0.0.0.0 and :: conflict with every address on the same port.
func (b *builder) checkAddressConflicts(all []listenAddress) {
	byPort := map[uint16][]listenAddress{}
	for _, x := range all {
		byPort[x.addr.Port()] = append(byPort[x.addr.Port()], x)
	}
	for _, port := range slices.Sorted(maps.Keys(byPort)) {
		seen, wild := map[netip.Addr]*listenAddress{}, (*listenAddress)(nil)
		list := byPort[port]
		for i := range list {
			if x := &list[i]; wild == nil && x.addr.Addr().IsUnspecified() {
				wild = x
			}
		}
		for i := range list {
			x := &list[i]
			other := seen[x.addr.Addr()]
			if other == nil && wild != nil && wild != x {
				other = wild
			}
			if seen[x.addr.Addr()] == nil {
				seen[x.addr.Addr()] = x
			}
			if other == nil {
				continue
			}
			b.add("address-taken", x.at, "use another port", "%s takes %s, which is %s's", x.what, x.addr, other.what).addRelated(other.at)
		}
	}
}
