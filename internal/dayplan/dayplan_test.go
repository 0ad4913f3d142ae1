package dayplan

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestDraw(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(300) {
		day, err := Draw(seed, 5, "give_up")
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := Draw(seed, 5, "give_up"); again != day {
			t.Fatalf("seed %d gives two days:\n%s\n%s", seed, day, again)
		}
		if n := strings.Count(day, "{ at = "); n != 5 {
			t.Errorf("seed %d: %d entries, 5 wanted:\n%s", seed, n, day)
		}
		if !strings.Contains(day, `kind = "give_up"`) || !strings.Contains(day, fmt.Sprintf("seed = %d\n", seed)) {
			t.Errorf("seed %d: the kind that was named, or the seed, is missing:\n%s", seed, day)
		}
		plan, faults, _ := strings.Cut(day, "faults = [")
		for _, k := range kinds {
			entry := fmt.Sprintf("kind = %q", k.name)
			seen[k.name] = seen[k.name] || strings.Contains(day, entry)
			if k.planned && strings.Contains(faults, entry) || !k.planned && strings.Contains(plan, entry) {
				t.Errorf("seed %d: %s stands in the wrong list:\n%s", seed, k.name, day)
			}
		}
	}
	for _, name := range Names() {
		if !seen[name] {
			t.Errorf("%s was never drawn", name)
		}
	}
}

func TestDrawRefuses(t *testing.T) {
	for name, x := range map[string]struct {
		entries int
		named   []string
		says    string
	}{
		"no entries":     {0, nil, "write 1 to 12"},
		"too many":       {13, nil, "write 1 to 12"},
		"kinds too many": {1, []string{"burst", "hup"}, "ask for more entries"},
		"unknown kind":   {3, []string{"earthquake"}, "give_up"},
	} {
		if _, err := Draw(1, x.entries, x.named...); err == nil || !strings.Contains(err.Error(), x.says) {
			t.Errorf("%s: %v, something of %q wanted", name, err, x.says)
		}
	}
	if !slices.IsSorted(Names()) {
		t.Error("the names are not sorted")
	}
}
