package forwardauth

import (
	"maps"
	"slices"
)

// StandIn exports the simulated proxy to external tests.
var StandIn = standIn

// DialectNames returns the names of all dialects, sorted.
func DialectNames() []string { return slices.Sorted(maps.Keys(dialects)) }
