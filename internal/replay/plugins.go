package replay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/internal/paired"
	"example.org/madderdrum/internal/policies"
	"example.org/madderdrum/internal/service"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/plugin"
)

// WithPlugins is the policy name of a run of the limiter with the plan's plug-ins. Its effect
// is measured against a run of the limiter alone.
const WithPlugins = "limiter with plug-ins"

// minCallTimeout is the lower limit of the timeout of a plug-in call in a replay, so that a
// busy machine doesn't make two replays differ.
const minCallTimeout = time.Second

// pluginAdviser is the plug-ins of one limiter, from its start to its stop.
type pluginAdviser struct {
	plugin.Chain
	set    *plugin.Set
	report func([]plugin.State)
}

// Close reports the states of the plug-ins and closes them.
func (a *pluginAdviser) Close() error {
	a.report(a.set.States())
	return a.set.CloseUnused(nil)
}

// addAdvisers makes the limiters of a run consult the plan's plug-ins. The returned function
// is called after the run: it returns the totals of each plug-in and releases the compiled
// modules.
func addAdvisers(ctx context.Context, p *Plan, o *virtual.Options) (func() []PluginTotals, error) {
	cache, err := plugin.NewCache("")
	if err != nil {
		return nil, fmt.Errorf("replaying with plug-ins: %w", err)
	}
	specs := slices.Clone(p.Options.Plugins)
	for i := range specs {
		l := &specs[i].Limits
		l.Call, l.Start = max(l.Call, minCallTimeout), max(l.Start, 10*minCallTimeout)
	}
	sums := map[string]*PluginTotals{}
	o.Advisers = func(_ int, now func() time.Duration) (virtual.Adviser, error) {
		set, err := plugin.LoadSet(ctx, specs, nil, plugin.SetOptions{Now: now, Cache: cache, Wait: true})
		if err != nil {
			return nil, err
		}
		return &pluginAdviser{set.Chain(true), set, func(states []plugin.State) {
			for _, s := range states {
				x := sums[s.Name]
				if x == nil {
					x = &PluginTotals{Name: s.Name}
					sums[s.Name] = x
				}
				x.Calls, x.Refused, x.Faults, x.Skipped, x.Busy = x.Calls+s.Calls, x.Refused+s.Refused, x.Faults+s.Faults, x.Skipped+s.Skipped, x.Busy+s.Busy
				x.LastFault = cmp.Or(s.LastFault, x.LastFault)
			}
		}}, nil
	}
	return func() (all []PluginTotals) {
		cache.Close()
		for _, name := range slices.Sorted(maps.Keys(sums)) {
			all = append(all, *sums[name])
		}
		return all
	}, nil
}

// requestRecorder is an adviser that records requests and gives no advice.
type requestRecorder struct {
	record    func(*advice.Request)
	remaining *int
}

// Advise records the request, up to the limit, and returns neutral advice.
func (r requestRecorder) Advise(_ context.Context, s *advice.Subject, _ time.Duration) advice.Combined {
	if *r.remaining > 0 {
		*r.remaining--
		r.record(&s.Request)
	}
	return advice.Start()
}

// Close has nothing to release.
func (requestRecorder) Close() error { return nil }

// Record plays a plan with the limiter in virtual time and calls record with each request as a
// plug-in would get it, in order, up to limit requests.
func Record(ctx context.Context, p *Plan, seed uint64, limit int, record func(*advice.Request)) error {
	source, err := p.Source(seed)
	if err != nil {
		return err
	}
	defer source.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	remaining := limit
	o := virtual.Options{Fleet: p.Options.Fleet, Seed: seed, Source: source, Faults: p.Faults, AskShare: p.Options.AskedShare,
		Advisers: func(int, func() time.Duration) (virtual.Adviser, error) {
			return requestRecorder{record, &remaining}, nil
		},
		Progress: func(time.Duration) {
			if remaining == 0 {
				stop()
			}
		}}
	if _, err := virtual.Run(ctx, o); err != nil && remaining > 0 {
		return fmt.Errorf("recording with seed %d: %w", seed, err)
	}
	return nil
}

// PluginTotals are the counters of a plug-in in a run, over all limiters.
type PluginTotals struct {
	Name      string `json:"name"`
	Calls     uint64 `json:"calls"`
	Refused   uint64 `json:"refused"` // tries refused on its advice
	Faults    uint64 `json:"faults"`
	Skipped   uint64 `json:"skipped"`
	Busy      uint64 `json:"busy"`
	LastFault string `json:"last_fault,omitempty"`
}

// LabelTotals counts the tries that got a label from a plug-in.
type LabelTotals struct {
	Label   string `json:"label"`
	Given   int    `json:"given"`
	Refused int    `json:"refused_by_plugins"`
}

// AdviceReport is the effect of plug-ins, over the seeds that were played both without and
// with them.
type AdviceReport struct {
	Seeds           int             `json:"seeds"`
	Changes         []AdviceChange  `json:"changes"`
	Plugins         []PluginTotals  `json:"plugins"`
	Labels          []LabelTotals   `json:"labels"`
	Accounts        []AccountChange `json:"accounts"` // of the first seed, with the largest change first
	OmittedAccounts int             `json:"accounts_left_out"`
}

// AdviceChange compares the service without and with plug-ins, for all requests or those of
// a class or plan.
type AdviceChange struct {
	Name           string  `json:"name"`
	Without        float64 `json:"service_without"`
	With           float64 `json:"service_with"`
	Difference     float64 `json:"difference"`
	Noise          float64 `json:"noise"` // 95% bound of a difference by chance; 0 with one seed
	Asked          int     `json:"asked"`
	RefusedWithout int     `json:"refused_without"`
	RefusedWith    int     `json:"refused_with"`
}

// AccountChange compares one account's earned worth and refusals without and with plug-ins.
type AccountChange struct {
	Account        string  `json:"account"`
	Asked          int     `json:"asked"`
	Without        float64 `json:"worth_earned_without"`
	With           float64 `json:"worth_earned_with"`
	RefusedWithout int     `json:"refused_without"`
	RefusedWith    int     `json:"refused_with"`
}

// maxListedAccounts bounds AdviceReport.Accounts.
const maxListedAccounts = 20

// SetAdvice sets Advice from the runs of the report. It does nothing if no seed was played both
// without and with plug-ins.
func (r *Report) SetAdvice() {
	without, with := map[uint64]*Run{}, map[uint64]*Run{}
	for _, run := range r.Runs {
		switch run.Policy {
		case policies.Names()[0]:
			without[run.Seed] = run
		case WithPlugins:
			with[run.Seed] = run
		}
	}
	seeds := slices.Sorted(maps.Keys(with))
	seeds = slices.DeleteFunc(seeds, func(s uint64) bool { return without[s] == nil })
	if len(seeds) == 0 {
		return
	}
	a := &AdviceReport{Seeds: len(seeds), Plugins: []PluginTotals{}, Labels: []LabelTotals{}, Accounts: []AccountChange{}}
	addChange := func(name string, of func(*Run) *Tally) {
		x := AdviceChange{Name: name}
		var differences []float64
		for _, seed := range seeds {
			before, after := of(without[seed]), of(with[seed])
			n := float64(len(seeds))
			x.Without, x.With = x.Without+before.Service/n, x.With+after.Service/n
			x.Asked, x.RefusedWithout, x.RefusedWith = x.Asked+before.Asked, x.RefusedWithout+before.Refused, x.RefusedWith+after.Refused
			differences = append(differences, after.Service-before.Service)
		}
		x.Without, x.With = round(x.Without, 6), round(x.With, 6)
		x.Difference, x.Noise = round(x.With-x.Without, 6), round(paired.Noise(differences), 6)
		a.Changes = append(a.Changes, x)
	}
	first := with[seeds[0]]
	addChange("all", func(r *Run) *Tally { return &r.Total })
	for i := range first.Classes {
		addChange(first.Classes[i].Name, func(r *Run) *Tally { return &r.Classes[i] })
	}
	for i := range first.Plans {
		addChange(first.Plans[i].Name, func(r *Run) *Tally { return &r.Plans[i] })
	}
	for _, seed := range seeds {
		for _, p := range with[seed].Plugins {
			k := slices.IndexFunc(a.Plugins, func(x PluginTotals) bool { return x.Name == p.Name })
			if k < 0 {
				a.Plugins = append(a.Plugins, p)
				continue
			}
			x := &a.Plugins[k]
			x.Calls, x.Refused, x.Faults, x.Skipped, x.Busy = x.Calls+p.Calls, x.Refused+p.Refused, x.Faults+p.Faults, x.Skipped+p.Skipped, x.Busy+p.Busy
		}
		for _, p := range with[seed].Labels {
			k := slices.IndexFunc(a.Labels, func(x LabelTotals) bool { return x.Label == p.Label })
			if k < 0 {
				a.Labels = append(a.Labels, p)
				continue
			}
			a.Labels[k].Given, a.Labels[k].Refused = a.Labels[k].Given+p.Given, a.Labels[k].Refused+p.Refused
		}
	}
	a.addAccounts(without[seeds[0]].accounts, first.accounts)
	r.Advice = a
}

// addAccounts lists the accounts with the largest change of earned worth.
func (a *AdviceReport) addAccounts(before, after map[uint64]*service.Tally) {
	none := &service.Tally{}
	for _, id := range slices.Sorted(maps.Keys(after)) {
		x, y := before[id], after[id]
		if x == nil {
			x = none
		}
		if x.Earned != y.Earned || x.By != y.By {
			a.Accounts = append(a.Accounts, AccountChange{fmt.Sprintf("%016x", id), y.Asked, round(x.Earned, 3), round(y.Earned, 3), x.By[service.Refused], y.By[service.Refused]})
		}
	}
	slices.SortStableFunc(a.Accounts, func(x, y AccountChange) int {
		return cmp.Compare(math.Abs(y.With-y.Without), math.Abs(x.With-x.Without))
	})
	if n := len(a.Accounts); n > maxListedAccounts {
		a.OmittedAccounts = n - maxListedAccounts
		a.Accounts = a.Accounts[:maxListedAccounts]
	}
}

// writeText writes the effect of the plug-ins as tables of text.
func (a *AdviceReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "\nwhat the plug-ins changed, %d seeds\twithout\twith\tdifference\tnoise\tasked\trefused without\twith\n", a.Seeds)
	for _, x := range a.Changes {
		noise := fmt.Sprintf("%.4f", x.Noise)
		if a.Seeds == 1 {
			noise = "one seed can't tell"
		}
		fmt.Fprintf(w, "service of %s\t%.4f\t%.4f\t%+.4f\t%s\t%d\t%d\t%d\n", x.Name, x.Without, x.With, x.Difference, noise, x.Asked, x.RefusedWithout, x.RefusedWith)
	}
	fmt.Fprintf(w, "\nplug-in\tcalls\trefused\tfaults\tskipped\tbusy\tlast fault\n")
	for _, p := range a.Plugins {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", p.Name, p.Calls, p.Refused, p.Faults, p.Skipped, p.Busy, cmp.Or(p.LastFault, "-"))
	}
	for _, l := range a.Labels {
		fmt.Fprintf(w, "label %q\tgiven %d\trefused %d\n", l.Label, l.Given, l.Refused)
	}
	if len(a.Accounts) > 0 {
		fmt.Fprintf(w, "\naccount, first seed\tasked\tworth earned without\twith\trefused without\twith\n")
	}
	for _, x := range a.Accounts {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%d\t%d\n", x.Account, x.Asked, x.Without, x.With, x.RefusedWithout, x.RefusedWith)
	}
	if a.OmittedAccounts > 0 {
		fmt.Fprintf(w, "and %d more accounts, less than these\n", a.OmittedAccounts)
	}
}
