package tariff

import (
	"fmt"
	"testing"
	"time"
)

var rules = Rules{QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1, QuotaSlack: 20, RetryRatio: 0.2, WarmupOvershoot: 1.5, WarmupSlack: 5}

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

// Further tries stay under the ratio, but for what is saved up.
func TestTries(t *testing.T) {
	var b Tries
	taken := 0
	for range 1000 {
		b.Earn(rules)
		if b.Take() {
			taken++
		}
	}
	if taken > 200 || taken < 150 {
		t.Errorf("%d further tries for 1000 requests", taken)
	}
}
