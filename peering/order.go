package peering

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order returns the limiters in their rendezvous-hashing order for a key. Every caller gets the
// same order, different keys get different ones, and removing a limiter leaves the relative
// order of the others unchanged.
func Order(key string, limiters []string) []string {
	weight := func(name string) uint64 {
		hash := fnv.New64a()
		hash.Write([]byte(key + "\x00" + name))
		sum := hash.Sum64() // extra mixing: names differ in their last bytes, which FNV hardly spreads
		sum = (sum ^ sum>>33) * 0xff51afd7ed558ccd
		return sum ^ sum>>33
	}
	return slices.SortedFunc(slices.Values(limiters), func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
}
