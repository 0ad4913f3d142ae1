package counsel

import (
	"testing"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/limiter"
)

// Tier names become indexes, and tiers that the pool does not have are ignored.
func TestOf(t *testing.T) {
	tiers := []string{"near", "far", ""}
	for _, c := range []struct {
		said advice.Combined
		want limiter.Advice
	}{
		{advice.Start(), limiter.Advice{Factor: 1}},
		{advice.Combined{Refuse: true, WaitMs: 30, Factor: 2, Prefer: "far", Avoid: []string{"near", "nowhere"}},
			limiter.Advice{Refuse: true, WaitMs: 30, Factor: 2, Prefer: 2, Avoid: 1}},
		{advice.Combined{Factor: 1, Prefer: "nowhere", Avoid: []string{"far", "far"}}, limiter.Advice{Factor: 1, Avoid: 2}},
	} {
		if got := Of(&c.said, tiers); got != c.want {
			t.Errorf("%+v: %+v, want %+v", c.said, got, c.want)
		}
	}
}

// Plug-ins are not asked again about a request with a lease.
func TestDue(t *testing.T) {
	if !Due(&limiter.Submit{}) || Due(&limiter.Submit{Leased: 1}) || Due(&limiter.Submit{QuotaChecked: true}) {
		t.Error("wrong requests are put to plug-ins")
	}
}
