package peering

import (
	"fmt"
	"slices"
	"testing"
)

// Each limiter comes first for about as many keys, and who is gone changes nothing for the rest.
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
		gone := names[k%10]
		left := Order(key, slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == gone }))
		if want := slices.DeleteFunc(all, func(n string) bool { return n == gone }); !slices.Equal(left, want) {
			t.Fatalf("%s: %v without %s, want %v", key, left, gone, want)
		}
	}
	for _, n := range names {
		if first[n] < 850 || first[n] > 1150 {
			t.Errorf("%s comes first for %d of 10,000 keys", n, first[n])
		}
	}
}
