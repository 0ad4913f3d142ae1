// Package dayplan draws days of troubles for the operators' bench: mixes of all kinds of trouble that it
// knows, also of those that its own hunts do not draw at a deployment. A seed gives the same day each time.
package dayplan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// field is one setting of an entry, with the values that it may have, as they are written in a day.
// An empty value leaves the field out: the bench's own default stands.
type field struct {
	name   string
	values []string
}

// kind is a kind of trouble or of planned work.
type kind struct {
	name    string
	planned bool // stands under plan
	fields  []field
}

func seconds(values ...string) field { return field{"for_s", values} }

func share(values ...string) field { return field{"share", values} }

func factor(values ...string) field { return field{"x", values} }

func gap(values ...string) field { return field{"gap_s", values} }

func count(values ...string) field { return field{"count", values} }

// how names variants; they are quoted here.
func how(values ...string) field {
	quoted := make([]string, len(values))
	for i, v := range values {
		if v != "" {
			quoted[i] = fmt.Sprintf("%q", v)
		}
	}
	return field{"how", quoted}
}

var onCore = field{"on", []string{`"core"`}}

// kinds are all that may be drawn, by what the bench's list of kinds says of them.
var kinds = []kind{
	{"hot_tenant", false, []field{factor("4.0", "8.0"), seconds("6.0", "12.0")}},
	{"srv_crash", false, []field{share("0.15", "0.3"), seconds("4.0", "8.0"), how("", "dark", "dark gone", "gone", "domain")}},
	{"release", true, []field{share("0.3", "0.6"), factor("1.0", "2.0"), gap("0.8", "1.5")}},
	{"scale_in", true, []field{share("0.13", "0.25"), how("", "spot")}},
	{"scale_out", true, []field{share("0.3", "0.6"), gap("3.0")}},
	{"cold_return", false, []field{seconds("4.0"), how("", "dark")}},
	{"answer_lost", false, []field{share("0.5"), factor("0.03", "0.1"), seconds("5.0"), how("", "reset")}},
	{"garble", false, []field{share("0.4"), factor("0.02", "0.1"), seconds("5.0"), how("", "extra", "extra late", "unframed", "early")}},
	{"node_kill", false, []field{share("0.1", "0.3"), seconds("2.0"), how("", "power")}},
	{"node_kill", false, []field{onCore, count("1"), seconds("3.0"), how("leader", "leader race drain", "meet drain", "power leader")}},
	{"node_freeze", false, []field{share("0.1", "0.2"), seconds("3.0")}},
	{"node_slow", false, []field{share("0.1", "0.3"), factor("4.0"), seconds("6.0")}},
	{"node_cut", false, []field{share("0.1", "0.2"), seconds("5.0"), how("", "all", "servers", "reset")}},
	{"roll_term", true, []field{share("0.5", "1.0"), gap("1.0", "2.0"), how("", "busy", "remove")}},
	{"herd_kill", false, []field{share("0.5", "0.8"), seconds("2.0"), how("", "power")}},
	{"herd_kill", false, []field{onCore, seconds("1.0"), how("", "off", "taken")}},
	{"seed_turnover", false, nil},
	{"after_ack_kill", false, []field{seconds("3.0"), how("", "kill", "timed")}},
	{"after_ack_wipe", false, []field{seconds("3.0"), how("", "oldest")}},
	{"disk_slow", false, []field{count("1"), factor("25.0"), seconds("5.0")}},
	{"disk_full", false, []field{count("1"), seconds("5.0")}},
	{"disk_stall", false, []field{count("1"), seconds("4.0")}},
	{"clock_step", false, []field{factor("2000.0", "6000.0"), seconds("5.0"), how("", "back", "ahead")}},
	{"zone_loss", false, []field{seconds("5.0")}},
	{"zone_cut", false, []field{seconds("5.0")}},
	{"core_cut", false, []field{count("1"), seconds("5.0"), how("", "leader", "one_way", "all", "near", "split", "lure", "behind", "relieve", "leader race")}},
	{"reset_conns", false, []field{share("0.2", "0.4"), factor("0.5", "1.0")}},
	{"config_change", true, []field{how("route", "weights", "timeout", "tenant", "quota", "idle", "topup")}},
	{"config_storm", true, []field{seconds("5.0"), gap("0.2", "0.5")}},
	{"config_race", true, []field{count("1", "3"), gap("1.2")}},
	{"bad_config", true, []field{count("2"), gap("1.0"), how("cut_short", "unknown_service", "old_version", "shared_key")}},
	{"revoke", true, []field{count("1", "2"), gap("1.5")}},
	{"evacuate", true, []field{seconds("8.0"), how("", "warm")}},
	{"hup", true, []field{share("0.5", "1.0"), gap("3.0")}},
	{"ack_lost", false, []field{factor("0.7"), seconds("6.0")}},
	{"replace_core", false, []field{factor("1.0"), how("", "planned", "oldest")}},
	{"replace_with_reuse", false, []field{share("0.15"), how("", "drain", "dark")}},
	{"burst", false, []field{factor("2.0", "3.0"), seconds("5.0")}},
	{"retry_abuse", false, []field{share("0.4"), factor("3.0"), seconds("6.0")}},
	{"give_up", false, []field{share("0.3", "0.6", "1.0"), seconds("8.0", "14.0"), factor("", "30.0", "100.0")}},
	{"srv_slow", false, []field{share("0.2", "0.5"), factor("4.0", "12.0"), seconds("8.0")}},
}

// closings are the ways that a day may end.
var closings = []string{"", "", `{ kind = "power_off_all", down_s = 1.2 }`, `{ kind = "kill_all", down_s = 1.0 }`,
	`{ kind = "wipe_after_ack", down_s = 1.5 }`, `{ kind = "wipe_after_ack", how = "timed", down_s = 1.5 }`}

const (
	firstAt, lastAt = 3.0, 22.0 // s from the start of traffic
	mostEntries     = 12
)

// entry is one trouble of a day.
type entry struct {
	at   float64 // s
	kind *kind
	text string // its fields
}

// Names are those of all kinds.
func Names() []string {
	var all []string
	for i := range kinds {
		all = append(all, kinds[i].name)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Draw is a day of so many entries, as the bench reads it. Those of the kinds named stand in it once each at
// least.
func Draw(seed uint64, entries int, named ...string) (string, error) {
	if entries < 1 || entries > mostEntries {
		return "", fmt.Errorf("draw a day: %d entries: write 1 to %d", entries, mostEntries)
	}
	if len(named) > entries {
		return "", fmt.Errorf("draw a day: %d kinds are named for %d entries: ask for more entries", len(named), entries)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	var all []entry
	for _, name := range named {
		k, err := pick(random, name)
		if err != nil {
			return "", err
		}
		all = append(all, k.entry(random))
	}
	for len(all) < entries {
		all = append(all, kinds[random.IntN(len(kinds))].entry(random))
	}
	slices.SortStableFunc(all, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
	closing := closings[random.IntN(len(closings))]
	return write(seed, all, closing), nil
}

// pick draws one of the entries that stand for a kind.
func pick(random *rand.Rand, name string) (*kind, error) {
	var fitting []*kind
	for i := range kinds {
		if kinds[i].name == name {
			fitting = append(fitting, &kinds[i])
		}
	}
	if len(fitting) == 0 {
		return nil, fmt.Errorf("draw a day: kind %q is not known: write one of %s", name, strings.Join(Names(), ", "))
	}
	return fitting[random.IntN(len(fitting))], nil
}

// entry draws a time and values.
func (k *kind) entry(random *rand.Rand) entry {
	e := entry{at: firstAt + (lastAt-firstAt)*random.Float64(), kind: k}
	for _, f := range k.fields {
		if value := f.values[random.IntN(len(f.values))]; value != "" {
			e.text += fmt.Sprintf(", %s = %s", f.name, value)
		}
	}
	return e
}

func write(seed uint64, all []entry, closing string) string {
	var plan, faults strings.Builder
	for _, e := range all {
		to := &faults
		if e.kind.planned {
			to = &plan
		}
		fmt.Fprintf(to, "  { at = %.2f, kind = %q%s },\n", e.at, e.kind.name, e.text)
	}
	text := fmt.Sprintf("name = \"drawn-%d\"\nslot = \"trouble\"\nseed = %d\n", seed, seed)
	if closing != "" {
		text += "closing = " + closing + "\n"
	}
	return text + "plan = [\n" + plan.String() + "]\nfaults = [\n" + faults.String() + "]\n"
}
