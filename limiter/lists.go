package limiter

import (
	"cmp"
	"slices"
)

// insert puts a server into a list by id.
func insert(order []*server, s *server) []*server {
	byID := func(o *server, id uint64) int { return cmp.Compare(o.info.ID, id) }
	at, _ := slices.BinarySearchFunc(order, s.info.ID, byID)
	return slices.Insert(order, at, s)
}

// places says for each old index which one it is now; what is not named is gone.
func newIndexes(named []int, count int) []int {
	indexes := make([]int, count)
	for i := range indexes {
		if indexes[i] = -1; i < len(named) {
			indexes[i] = named[i]
		}
	}
	return indexes
}

// remap moves what is known to its new places.
func remap[T any](old []T, indexes []int, count int) []T {
	remapped := make([]T, count)
	for i, v := range old {
		if indexes[i] >= 0 {
			remapped[indexes[i]] = v
		}
	}
	return remapped
}
