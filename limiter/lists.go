package limiter

import (
	"cmp"
	"slices"
)

// insert inserts a server into a list sorted by ID.
func insert(order []*server, s *server) []*server {
	byID := func(o *server, id uint64) int { return cmp.Compare(o.info.ID, id) }
	at, _ := slices.BinarySearchFunc(order, s.info.ID, byID)
	return slices.Insert(order, at, s)
}

// newIndexes returns the new index for each of count old ones; -1, removed, for those missing in named.
func newIndexes(named []int, count int) []int {
	indexes := make([]int, count)
	for i := range indexes {
		if indexes[i] = -1; i < len(named) {
			indexes[i] = named[i]
		}
	}
	return indexes
}

// remap returns a slice of count values in which each old value is at its new index.
func remap[T any](old []T, indexes []int, count int) []T {
	remapped := make([]T, count)
	for i, v := range old {
		if indexes[i] >= 0 {
			remapped[indexes[i]] = v
		}
	}
	return remapped
}
