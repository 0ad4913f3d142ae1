package peering

import (
	"fmt"
	"slices"
	"testing"
)

// Each limiter comes first for about the same number of keys, and removing one keeps the order of the others.
func TestOrder(t *testing.T) {
	var names []string
	for i := range 10 {
		names = append(names, fmt.Sprint("n", i))
	}
	first := map[string]int{}
	for k := range 10_000 {
		key := fmt.Sprint("key ", k)
		all := Order(key, names)
		first[all[0]]++
		removed := names[k%10]
		left := Order(key, slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == removed }))
		if want := slices.DeleteFunc(all, func(n string) bool { return n == removed }); !slices.Equal(left, want) {
			t.Fatalf("%s: %v without %s, want %v", key, left, removed, want)
		}
	}
	for _, n := range names {
		if first[n] < 850 || first[n] > 1150 {
			t.Errorf("%s comes first for %d of 10,000 keys", n, first[n])
		}
	}
}
