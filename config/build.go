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

// build runs all conversions and checks. The Config is valid only if the report has no errors.
func (b *builder) build() *Config {
	fl := &fleet.Fleet{}
	b.cfg = &Config{Fleet: fl, places: map[string]hcl.Range{}}
	b.roomIndex = map[string]int{}
	for _, o := range b.blocks {
		b.cfg.places[o.block.kind+" "+o.label] = o.at
	}
	for i, o := range b.blocksOf("room") {
		b.roomIndex[o.label] = i
		fl.Rooms = append(fl.Rooms, o.label)
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
		fl.Limiters = append(fl.Limiters, fleet.Limiter{Name: o.label, Room: b.roomIndex[o.text("room")], Listen: o.text("listen"), Peer: o.text("peer"), Admin: o.text("admin"), Fleet: o.text("fleet")})
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

// buildClasses converts the class blocks and checks aims, windows and shares.
func (b *builder) buildClasses() {
	fl, sum, allValid := b.cfg.Fleet, 0.0, true
	for _, o := range b.blocksOf("class") {
		class := fleet.Class{Name: o.label, Share: o.num("share"), Work: o.duration("work"), Spread: o.num("spread"), Aim: o.duration("aim"),
			Deadline: o.duration("deadline"), Worth: o.num("worth"), LateShare: o.num("late"), Units: o.num("units"),
			Repeat: repeatPolicies[o.text("repeat")], Group: dedupGroups[o.text("group")], Window: o.duration("window")}
		if fieldsValid(o, "aim", "deadline") && class.Aim > class.Deadline {
			b.add("aim-over-deadline", o.fieldRange("aim"), fmt.Sprintf("write an aim of %q or less", class.Deadline), "the aim of %v is longer than the deadline of %v", class.Aim, class.Deadline)
		}
		if _, hasWindow := o.values["window"]; class.Repeat == limiter.Keyed && !hasWindow && o.isSet("repeat") {
			b.add("no-window", o.at, `add window = "1s": how long boxes drop repeats of a key`, "keyed class %q has no window", o.label)
		}
		allValid = allValid && fieldsValid(o, "share")
		sum += class.Share
		fl.Classes = append(fl.Classes, class)
	}
	b.checkShares("class", sum, allValid)
}

// checkShares checks that the shares of a kind of block add up to 100%.
func (b *builder) checkShares(kind string, sum float64, allValid bool) {
	all := b.blocksOf(kind)
	if allValid && len(all) > 0 && !b.incomplete && math.Abs(sum-1) > 0.001 {
		b.add("shares-sum", all[0].fieldRange("share"), "change them so that they add up to 100%", "the shares of all %s blocks add up to %.4g%%", kind, sum*100)
	}
}

// buildPlans converts the plan blocks and checks ceilings, bursts and shares.
func (b *builder) buildPlans() {
	fl, sum, allValid := b.cfg.Fleet, 0.0, true
	largestClass, maxUnits := "", 0.0
	for i, o := range b.blocksOf("class") {
		if u := fl.Classes[i].Units; u > maxUnits && fieldsValid(o, "units") {
			largestClass, maxUnits = o.label, u
		}
	}
	for _, o := range b.blocksOf("plan") {
		plan := fleet.Plan{Name: o.label, Share: o.num("share"), Rate: o.num("rate"), Burst: o.num("burst"), CeilingRate: o.num("ceiling_rate"),
			CeilingBurst: o.num("ceiling_burst"), Price: o.num("price"), BeyondEarns: o.num("beyond_earns"), OverrunCost: o.num("overrun_cost")}
		if fieldsValid(o, "ceiling_rate", "ceiling_burst") {
			switch {
			case (plan.CeilingRate > 0) != (plan.CeilingBurst > 0):
				b.add("half-ceiling", o.at, "give both ceiling_rate and ceiling_burst, or neither", "plan %q has half a ceiling", o.label)
			case plan.CeilingRate > 0 && fieldsValid(o, "rate") && plan.CeilingRate < plan.Rate:
				b.add("ceiling-under-rate", o.fieldRange("ceiling_rate"), fmt.Sprintf("write %q or more", formatQuantity(plan.Rate, kindRate)), "plan %q has a ceiling of %s below its rate of %s", o.label, formatQuantity(plan.CeilingRate, kindRate), formatQuantity(plan.Rate, kindRate))
			case plan.CeilingRate > 0 && fieldsValid(o, "burst") && plan.CeilingBurst < plan.Burst:
				b.add("ceiling-under-rate", o.fieldRange("ceiling_burst"), fmt.Sprintf("write %g or more", plan.Burst), "plan %q has a ceiling_burst of %g below its burst of %g", o.label, plan.CeilingBurst, plan.Burst)
			}
		}
		if fieldsValid(o, "burst") && plan.Burst < maxUnits {
			b.add("burst-under-units", o.fieldRange("burst"), fmt.Sprintf("write %g or more", maxUnits), "plan %q holds %g units at most, and a request of class %q takes %g: it could never pass", o.label, plan.Burst, largestClass, maxUnits)
		}
		allValid = allValid && fieldsValid(o, "share")
		sum += plan.Share
		fl.Plans = append(fl.Plans, plan)
	}
	b.checkShares("plan", sum, allValid)
}

// buildBoxes expands each box block into count boxes, which differ in name, pod and port.
func (b *builder) buildBoxes() {
	fl := b.cfg.Fleet
	b.boxBlocks = map[string]*parsedBlock{}
	blockByName := b.boxBlocks
	rules := b.singleton("rules")
	for _, o := range b.blocksOf("box") {
		count := max(1, o.integer("count"))
		box := fleet.Box{Name: o.label, Room: b.roomIndex[o.text("room")], Labels: o.list("labels"), Pod: o.integer("pod"), Dial: o.text("dial"), Cores: o.num("cores"), Speed: o.num("speed"),
			Slots: o.integer("slots"), Queue: o.integer("queue"), Thrash: o.num("thrash"), ThrashAt: o.num("thrash_at"), Connections: o.integer("connections"),
			Handshake: o.duration("handshake"), ColdShare: o.num("cold_from"), WarmUpTime: o.duration("cold_for"), WarmAfter: o.integer("warm_after"),
			Report:    fleet.Report{Every: o.duration("report_every"), Delay: o.duration("report_delay"), Noise: o.num("report_noise")},
			ErrorRate: o.num("error_rate")}
		if fieldsValid(o, "cold_from", "cold_for") && box.WarmUpTime > 0 {
			switch {
			case box.ColdShare <= 0:
				b.add("cold-ramp", o.fieldRange("cold_from"), `write cold_from = "18%" or so`, "box %q starts with no capacity: what can do nothing can't be warmed", o.label)
			case box.ColdShare >= 1:
				b.add("cold-ramp", o.fieldRange("cold_for"), `write cold_from = "25%" or so, or take cold_for out`, "box %q is cold for %v, but starts with all its capacity", o.label, box.WarmUpTime)
			case fieldsValid(rules, "fall_for") && box.WarmUpTime < rules.duration("fall_for"):
				b.add("cold-ramp", o.fieldRange("cold_for"), fmt.Sprintf("write %q or more, or shorten fall_for", rules.duration("fall_for")), "box %q warms up in %v, within the %v over which the rules look at a cold box", o.label, box.WarmUpTime, rules.duration("fall_for"))
			}
		}
		dial := netip.AddrPort{}
		if box.Dial != "" {
			dial = netip.MustParseAddrPort(box.Dial)
			if int(dial.Port())+count-1 > math.MaxUint16 {
				b.add("port-range", o.fieldRange("dial"), fmt.Sprintf("start at port %d or below", math.MaxUint16-count+1), "%d boxes from port %d on have no room", count, dial.Port())
				continue
			}
		}
		podSize, firstPod := max(1, o.integer("pod_size")), box.Pod
		for i := range count {
			if count > 1 {
				box.Name = o.label + strconv.Itoa(i)
			}
			if box.Dial != "" {
				box.Dial = netip.AddrPortFrom(dial.Addr(), dial.Port()+uint16(i)).String()
			}
			box.Pod = firstPod + i/podSize
			if other := blockByName[box.Name]; other != nil {
				b.addDuplicate("box", box.Name, o.at, other.at)
				break
			}
			if len(fl.Boxes) >= maxCount {
				b.add("too-large", o.at, "split the deployment", "more than %d boxes", maxCount)
				return
			}
			blockByName[box.Name] = o
			b.cfg.places["box "+box.Name] = o.at
			fl.Boxes = append(fl.Boxes, box)
		}
	}
}

// buildSingletons converts the blocks that occur at most once.
func (b *builder) buildSingletons() {
	fl := b.cfg.Fleet
	o := b.singleton("rules")
	fl.Rules = fleet.Rules{DrainGrace: o.duration("drain_grace"), OverloadFactor: o.num("fall_factor"), OverloadDuration: o.duration("fall_for"),
		CeilingSlack: o.num("ceiling_slack"), Attempts: o.integer("attempts")}
	o = b.singleton("network")
	fl.Network = fleet.Network{SameRoom: o.duration("same_room"), CrossRoom: o.duration("cross_room"), Client: o.duration("client"), Jitter: o.num("jitter"),
		Connect: o.duration("connect_timeout"), Idle: o.duration("idle_timeout"), PeerDelayMin: o.duration("peer_least"), PeerDelayMax: o.duration("peer_most"),
		PeerLoss: o.num("peer_loss"), PeerMessageRate: o.num("peer_in"), ListDelayMin: o.duration("list_least"), ListDelayMax: o.duration("list_most"),
		SilentDetection: o.duration("silent_notice"), FrontDetection: o.duration("front_notice")}
	for _, name := range []string{"peer", "list"} {
		low, high := o.duration(name+"_least"), o.duration(name+"_most")
		if fieldsValid(o, name+"_least", name+"_most") && low > high {
			b.add("least-over-most", o.fieldRange(name+"_most"), fmt.Sprintf("write %q or more", low), "%s_most = %v is below %s_least = %v", name, high, name, low)
		}
	}
	o = b.singleton("traffic")
	fl.Traffic = fleet.Traffic{Accounts: o.integer("accounts"), Rate: o.num("rate"), WaveAmplitude: o.num("swing"), Retries: o.integer("retries"),
		MinAttemptShare: o.num("try_share"), Backoff: o.duration("backoff"), RetryAfterShare: o.num("heed"), MaxRetryAfter: o.duration("max_advice"), SpreadMin: o.num("spread_least"),
		ZipfExponent: o.num("skew"), Shift: o.duration("shift"), HeavyShare: o.num("heavy"), HeavyFactor: o.num("heavy_times")}
	if o := b.byName["memory"][""]; o != nil {
		b.cfg.Memory = Memory{o.text("folder"), o.duration("every"), int64(o.num("max_size"))}
	}
	if all := b.blocksOf("fleet"); len(all) > 0 {
		b.buildDuties(all[0])
	}
	o = b.singleton("limits")
	fl.Limits = fleet.Limits{Cores: o.num("cores"), MemoryMB: int(o.num("memory")) >> 20, Sockets: o.integer("sockets")}
}

// buildDuties converts the fleet block.
func (b *builder) buildDuties(o *parsedBlock) {
	duties := Duties{o.label, o.text("folder"), o.list("voters"), o.duration("term"), o.num("drift"), o.text("ceilings"), o.text("watch")}
	if n := len(duties.Voters); o.isSet("voters") && n%2 == 0 {
		b.add("voters-even", o.fieldRange("voters"), "name three, five or one", "%d limiters vote: an even number survives no more losses than one less", n)
	}
	b.cfg.Duties = duties
}

// buildPools converts the pool blocks, expands member patterns, and checks that each box is
// in exactly one pool.
func (b *builder) buildPools() {
	fl := b.cfg.Fleet
	var names []string
	for _, box := range fl.Boxes {
		names = append(names, box.Name)
	}
	owner, complete := make([]*parsedBlock, len(fl.Boxes)), true
	for _, o := range b.blocksByName("pool") {
		pool := Pool{Name: o.label, Discovery: o.text("discovery")}
		pool.Tiers = b.buildTiers(o)
		members := o.values["members"]
		for entry, pattern := range members.entries {
			at, patternMatched := members.itemRanges[entry], false
			for i, name := range names {
				matched, err := path.Match(pattern, name)
				if err != nil {
					break
				}
				if !matched {
					continue
				}
				patternMatched = true
				switch {
				case owner[i] == o:
				case owner[i] != nil:
					b.add("box-in-two-pools", at, fmt.Sprintf("take it out here or from pool %q at %s:%d", owner[i].label, owner[i].at.Filename, owner[i].at.Start.Line),
						"box %q is a member of pool %q already", name, owner[i].label).addRelated(owner[i].fieldRange("members"))
				default:
					owner[i] = o
					pool.Boxes = append(pool.Boxes, i)
				}
			}
			complete = complete && patternMatched
			if !patternMatched && !b.incomplete {
				b.add("unknown-name", at, suggestFix(pattern, names), "no box fits %q", pattern)
			}
		}
		_, hasMembers := o.values["members"]
		_, hasDiscovery := o.values["discovery"]
		empty := members.valid && len(members.entries) == 0 || !hasMembers && !o.maybeMisspelled("members")
		complete = complete && (members.valid && len(members.entries) > 0 || hasDiscovery && !hasMembers)
		if empty && !hasDiscovery {
			b.add("pool-empty", o.at, `write the boxes that it has, such as members = ["a*"], or discovery = "127.0.0.1:8500"`, "pool %q has no members", o.label)
		}
		slices.Sort(pool.Boxes)
		b.cfg.Pools = append(b.cfg.Pools, pool)
	}
	if len(b.cfg.Pools) == 1 && len(b.cfg.Pools[0].Boxes) == len(fl.Boxes) {
		fl.Tiers = b.cfg.Pools[0].Tiers
	}
	reported := map[*parsedBlock]bool{}
	if complete && len(b.cfg.Pools) > 0 && !b.incomplete {
		for i, o := range owner {
			boxRange := b.cfg.places["box "+names[i]]
			if block := b.boxBlocks[names[i]]; o == nil && !reported[block] {
				reported[block] = true
				b.add("box-without-pool", boxRange, "make it a member of a pool, or take it out", "box %q is in no pool and takes no requests", names[i])
			}
		}
	}
}

// buildTiers returns the tiers of a pool, sorted by rank.
func (b *builder) buildTiers(o *parsedBlock) fleet.Tiers {
	var tierBlocks []*parsedBlock
	ranks, rooms, labels, knownLabels := map[int]*parsedBlock{}, map[string]*parsedBlock{}, map[string]*parsedBlock{}, map[string]bool{}
	for _, x := range b.cfg.Fleet.Boxes {
		for _, label := range x.Labels {
			knownLabels[label] = true
		}
	}
	for _, tierBlock := range o.children {
		tierBlocks = append(tierBlocks, tierBlock)
		if other := ranks[tierBlock.integer("rank")]; other != nil && tierBlock.isSet("rank") {
			b.add("tier-overlap", tierBlock.fieldRange("rank"), "give each tier a rank of its own", "tiers %q and %q have the same rank", other.label, tierBlock.label).addRelated(other.fieldRange("rank"))
		}
		ranks[tierBlock.integer("rank")] = tierBlock
		for i, room := range tierBlock.values["rooms"].entries {
			if other := rooms[room]; other != nil {
				b.add("tier-overlap", tierBlock.values["rooms"].itemRanges[i], "take it out of one of them", "room %q is in tiers %q and %q", room, other.label, tierBlock.label).addRelated(other.fieldRange("rooms"))
			}
			rooms[room] = tierBlock
		}
		for i, label := range tierBlock.values["labels"].entries {
			if other := labels[label]; other != nil {
				b.add("tier-overlap", tierBlock.values["labels"].itemRanges[i], "take it out of one of them", "label %q is in tiers %q and %q", label, other.label, tierBlock.label).addRelated(other.fieldRange("labels"))
			}
			if labels[label] = tierBlock; !knownLabels[label] && !b.incomplete {
				fix := fmt.Sprintf("add labels = [%q] to the boxes that the tier is to have", label)
				if len(knownLabels) > 0 {
					fix = suggestFix(label, slices.Sorted(maps.Keys(knownLabels)))
				}
				b.add("unknown-name", tierBlock.values["labels"].itemRanges[i], fix, "no box has the label %q", label)
			}
		}
		if len(tierBlock.list("rooms")) == 0 && len(tierBlock.list("labels")) == 0 && tierBlock.text("own_room") != "yes" && (tierBlock.isSet("rooms") || !tierBlock.maybeMisspelled("rooms")) {
			b.add("tier-empty", tierBlock.at, `add rooms = ["room-a"], labels = ["rack-7"] or own_room = "yes"`, "tier %q has no boxes", tierBlock.label)
		}
	}
	slices.SortStableFunc(tierBlocks, func(x, y *parsedBlock) int { return x.integer("rank") - y.integer("rank") })
	var tiers fleet.Tiers
	for _, tierBlock := range tierBlocks {
		tier := fleet.Tier{Name: tierBlock.label, Labels: tierBlock.list("labels"), OwnRoom: tierBlock.text("own_room") == "yes", Spill: tierBlock.num("spill")}
		for _, room := range tierBlock.list("rooms") {
			tier.Rooms = append(tier.Rooms, b.roomIndex[room])
		}
		tiers = append(tiers, tier)
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
	served, withPeer := false, 0
	limiters := b.blocksOf("limiter")
	hasListener := map[string]bool{}
	for _, o := range b.blocksByName("listener") {
		b.cfg.Listeners = append(b.cfg.Listeners, Listener{Name: o.label, Address: o.text("address"), Limiter: max(0, slices.IndexFunc(limiters, func(limiter *parsedBlock) bool { return limiter.label == o.text("limiter") }))})
		hasListener[o.text("limiter")] = true
		tcp = appendAddress(tcp, fmt.Sprintf("listener %q", o.label), o, "address")
	}
	for _, o := range limiters {
		served = served || o.isSet("listen") || hasListener[o.label]
		if o.isSet("peer") {
			withPeer++
		}
		tcp = appendAddress(tcp, fmt.Sprintf("limiter %q", o.label), o, "admin")
		tcp = appendAddress(tcp, fmt.Sprintf("limiter %q", o.label), o, "fleet")
		tcp, udp = appendAddress(tcp, fmt.Sprintf("limiter %q", o.label), o, "listen"), appendAddress(udp, fmt.Sprintf("limiter %q", o.label), o, "peer")
	}
	for _, o := range b.blocksByName("forward_auth") {
		tcp = appendAddress(tcp, fmt.Sprintf("forward_auth %q", o.label), o, "listen")
	}
	for _, box := range b.cfg.Fleet.Boxes {
		if box.Dial != "" {
			at := b.cfg.places["box "+box.Name]
			boxes = append(boxes, listenAddress{fmt.Sprintf("box %q", box.Name), at, netip.MustParseAddrPort(box.Dial)})
		}
	}
	b.checkAddressConflicts(append(tcp, boxes...))
	b.checkAddressConflicts(udp)
	fleetBlocks := b.blocksOf("fleet")
	for _, o := range limiters {
		_, hasListen := o.values["listen"]
		if _, hasFleet := o.values["fleet"]; !hasFleet && len(fleetBlocks) > 0 {
			b.add("address-missing", o.at, `add fleet = "127.0.0.1:7990"`, "limiter %q has no address for the fleet's duties, and there is a fleet block", o.label)
		}
		_, hasPeer := o.values["peer"]
		if served && !hasListen && !hasListener[o.label] {
			b.add("address-missing", o.at, `add listen = "127.0.0.1:8080"`, "limiter %q has no address for clients, while others have", o.label)
		}
		if withPeer > 0 && !hasPeer {
			b.add("peers-half", o.at, `add peer = "127.0.0.1:7946", or take peer out of all limiters`, "limiter %q has no address for its peers, while others have", o.label)
		}
	}
	if served {
		for _, o := range b.blocksOf("box") {
			if _, hasDial := o.values["dial"]; !hasDial {
				b.add("address-missing", o.at, `add dial = "127.0.0.1:9000"`, "box %q has no address, while limiters listen for clients", o.label)
			}
		}
	}
}

// appendAddress appends the address in a field, if the field is set.
func appendAddress(all []listenAddress, owner string, o *parsedBlock, field string) []listenAddress {
	if !o.isSet(field) {
		return all
	}
	return append(all, listenAddress{owner, o.fieldRange(field), netip.MustParseAddrPort(o.text(field))})
}

// checkAddressConflicts reports addresses that are used twice. The unspecified addresses
// 0.0.0.0 and :: conflict with every address on the same port.
func (b *builder) checkAddressConflicts(all []listenAddress) {
	byPort := map[uint16][]listenAddress{}
	for _, address := range all {
		byPort[address.addr.Port()] = append(byPort[address.addr.Port()], address)
	}
	for _, port := range slices.Sorted(maps.Keys(byPort)) {
		seen, unspecified := map[netip.Addr]*listenAddress{}, (*listenAddress)(nil)
		samePort := byPort[port]
		for i := range samePort {
			if address := &samePort[i]; unspecified == nil && address.addr.Addr().IsUnspecified() {
				unspecified = address
			}
		}
		for i := range samePort {
			address := &samePort[i]
			other := seen[address.addr.Addr()]
			if other == nil && unspecified != nil && unspecified != address {
				other = unspecified
			}
			if seen[address.addr.Addr()] == nil {
				seen[address.addr.Addr()] = address
			}
			if other == nil {
				continue
			}
			b.add("address-taken", address.at, "use another port", "%s takes %s, which is %s's", address.what, address.addr, other.what).addRelated(other.at)
		}
	}
}
