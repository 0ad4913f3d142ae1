package allowance

import (
	"fmt"
	"testing"
	"time"
)

var rules = Rules{QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1, QuotaSlack: 20, RetryRatio: 0.2, RetrySlack: 58, WarmupOvershoot: 1.5, WarmupSlack: 5}

// In no window do all limiters together admit more than the rules allow: neither with a full bucket plus
// the rate, nor if all restart after half a second.
func TestCeilingKeepsTheRule(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 9, 45, 400} {
		for _, burst := range []float64{0, 1, rate, 5 * rate} {
			c := rules.Ceiling(rate, burst)
			allowed := (rate*5+burst)*1.1 + 20
			if most := c.Burst + 5*c.Rate; most > allowed {
				t.Errorf("rate %g, burst %g: %.1f in a window, %.1f allowed", rate, burst, most, allowed)
			}
			if most := c.Burst + (5-minDowntimeSeconds)*c.Rate + rules.RestartBurst(c); most > allowed {
				t.Errorf("rate %g, burst %g: %.1f in a window in which all limiters restart, %.1f allowed", rate, burst, most, allowed)
			}
		}
	}
	if rules.Ceiling(0, 10) != (Ceiling{}) {
		t.Error("a tenant without a rate has a ceiling")
	}
}

// Equal parts of fewer than two requests are split among keepers: at least two per region, and every
// limiter computes the same ones.
func TestKeepers(t *testing.T) {
	var places []Place
	for i := range 85 {
		places = append(places, Place{fmt.Sprintf("e%d", i), fmt.Sprintf("r%d", i%3)})
	}
	a := Keepers("t", Ceiling{9, 26}, places)
	byRegion := map[string]int{}
	for _, k := range a {
		byRegion[places[k].Region]++
	}
	if len(byRegion) != 3 || byRegion["r0"] < minKeepersPerRegion || byRegion["r1"] < minKeepersPerRegion || byRegion["r2"] < minKeepersPerRegion {
		t.Errorf("keepers by region: %v", byRegion)
	}
	if fmt.Sprint(a) != fmt.Sprint(Keepers("t", Ceiling{9, 26}, places)) {
		t.Error("two limiters compute different keepers")
	}
	if Keepers("t", Ceiling{200, 300}, places) != nil {
		t.Error("equal parts of three requests or more are split among keepers")
	}
}

// A cold server gets no more requests in any second than the rules allow, for any number of limiters in
// its zone plus one that is joining.
func TestColdPauseKeepsTheRule(t *testing.T) {
	for _, perS := range []float64{0.5, 3.6, 6.9, 20} {
		for near := range 12 {
			pause := rules.ColdInterval(perS, near)
			most := float64(near+1) * float64(1+time.Second/pause)
			if pause == time.Hour {
				most = 0
			}
			if allowed := perS*1.5 + 5; most > allowed {
				t.Errorf("%g requests per second, %d limiters: %.0f in a second, %.1f allowed", perS, near, most, allowed)
			}
		}
	}
}

// The attempts beyond the first of all limiters stay below the ratio plus the slack, including the initial
// budgets and all that was saved before.
func TestTries(t *testing.T) {
	for _, limiters := range []int{1, 9, 58} {
		requests, taken := 1000, 0
		for range limiters {
			b := rules.InitialRetryBudget(limiters)
			for range 200 { // fill the budget
				b.Earn(rules, limiters)
			}
			for range requests {
				b.Earn(rules, limiters)
				if b.Take() {
					taken++
				}
			}
		}
		if all := float64(requests * limiters); float64(taken) > rules.RetryRatio*all+rules.RetrySlack || float64(taken) < 0.14*all {
			t.Errorf("%d limiters: %d attempts beyond the first for %.0f requests", limiters, taken, all)
		}
	}
	first := 0
	for range 9 {
		for b := rules.InitialRetryBudget(9); b.Take(); {
			first++
		}
	}
	if first == 0 || float64(first) > rules.RetrySlack {
		t.Errorf("%d attempts beyond the first before any request, the slack is %g", first, rules.RetrySlack)
	}
}

// While no limiter has a token the asks become rare; after a grant they are allowed at once again.
func TestAsksBecomeRare(t *testing.T) {
	var a AskBackoff
	asks := 0
	for now := 0.0; now < 20_000; now++ { // a token is needed every millisecond
		if a.Due(now) {
			asks++
			a.Refused(now)
		}
	}
	if asks > 20 {
		t.Errorf("%d asks in 20 s while no limiter has a token", asks)
	}
	a.Granted()
	if !a.Due(20_000) {
		t.Error("no ask is allowed after a granted token")
	}
}
