package allowance

import (
	"fmt"
	"testing"
	"time"
)

var rules = Rules{QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1, QuotaSlack: 20, RetryRatio: 0.2, RetrySlack: 58, WarmupOvershoot: 1.5, WarmupSlack: 5}

// In no window do all limiters pass more than the rule allows: not with a full bucket and its
// rate, nor where all begin anew after half a second.
func TestCeilingKeepsTheRule(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 9, 45, 400} {
		for _, burst := range []float64{0, 1, rate, 5 * rate} {
			c := rules.Ceiling(rate, burst)
			allowed := (rate*5+burst)*1.1 + 20
			if most := c.Burst + 5*c.Rate; most > allowed {
				t.Errorf("rate %g, burst %g: %.1f in a window, %.1f allowed", rate, burst, most, allowed)
			}
			if most := c.Burst + (5-leastDown)*c.Rate + rules.Begins(c); most > allowed {
				t.Errorf("rate %g, burst %g: %.1f in a window in which all begin anew, %.1f allowed", rate, burst, most, allowed)
			}
		}
	}
	if rules.Ceiling(0, 10) != (Ceiling{}) {
		t.Error("a tenant without a rate has a ceiling")
	}
}

// Parts that would hold less than two requests are gathered: each region has two keepers or
// more, the same ones whoever works it out.
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
	if len(byRegion) != 3 || byRegion["r0"] < leastKeepers || byRegion["r1"] < leastKeepers || byRegion["r2"] < leastKeepers {
		t.Errorf("keepers by region: %v", byRegion)
	}
	if fmt.Sprint(a) != fmt.Sprint(Keepers("t", Ceiling{9, 26}, places)) {
		t.Error("two limiters work out other keepers")
	}
	if Keepers("t", Ceiling{200, 300}, places) != nil {
		t.Error("parts of three requests and more are of use as they are")
	}
}

// However many limiters a zone has, with one that joins, a cold server gets no more than the
// rule allows in any second.
func TestColdPauseKeepsTheRule(t *testing.T) {
	for _, perS := range []float64{0.5, 3.6, 6.9, 20} {
		for near := range 12 {
			pause := rules.ColdPause(perS, near)
			most := float64(near+1) * float64(1+time.Second/pause)
			if pause == time.Hour {
				most = 0
			}
			if allowed := perS*1.5 + 5; most > allowed {
				t.Errorf("%g a second, %d limiters: %.0f in a second, %.1f allowed", perS, near, most, allowed)
			}
		}
	}
}

// Further tries of all limiters stay under the ratio and its slack in any window, as those that
// begin together have them and with all that may be saved up before.
func TestTries(t *testing.T) {
	for _, limiters := range []int{1, 9, 58} {
		requests, taken := 1000, 0
		for range limiters {
			b := rules.First(limiters)
			for range 200 { // so much is saved up
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
			t.Errorf("%d limiters: %d further tries for %.0f requests", limiters, taken, all)
		}
	}
	first := 0
	for range 9 {
		for b := rules.First(9); b.Take(); {
			first++
		}
	}
	if first == 0 || float64(first) > rules.RetrySlack {
		t.Errorf("%d further tries before any request, the slack is %g", first, rules.RetrySlack)
	}
}

// Asks for single tokens become rare while nobody has one, and are made at once again after one
// that was paid.
func TestAsksBecomeRare(t *testing.T) {
	var a Asks
	asks := 0
	for now := 0.0; now < 20_000; now++ { // short of a token every millisecond
		if a.Due(now) {
			asks++
			a.Refused(now)
		}
	}
	if asks > 20 {
		t.Errorf("%d asks in 20 s while nobody has a token", asks)
	}
	a.Paid()
	if !a.Due(20_000) {
		t.Error("after a token that was paid nobody is asked")
	}
}
