package peering

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order is the order of limiters for a key, by rendezvous: the same wherever it is asked for,
// another one for another key, and without one that is gone that of the others is as it was.
func Order(key string, limiters []string) []string {
	weight := func(name string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(key + "\x00" + name))
		x := h.Sum64() // names differ in their last bytes, which fnv hardly spreads
		x = (x ^ x>>33) * 0xff51afd7ed558ccd
		return x ^ x>>33
	}
	return slices.SortedFunc(slices.Values(limiters), func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
}
