package configuration

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against one position for several items: rules of two hosts, and tenants, may share a name.
func TestPositionsOfSharedNames(t *testing.T) {
	old := &Table{Routes: []Route{{Host: "a", Name: "reads"}, {Host: "b", Name: "reads"}, {Host: "b", Name: "reads"},
		{Host: "b", Name: "gone"}, {Host: "b", Name: "changed", Kind: NonIdempotent}, {Host: "b", Name: "kept"}},
		Tenants: []Tenant{{Name: "clinic"}, {Name: "clinic"}, {Name: "till"}, {Name: "clinic"}}}
	new := &Table{Routes: []Route{{Host: "b", Name: "reads"}, {Host: "a", Name: "reads"}, {Host: "c", Name: "reads"},
		{Host: "b", Name: "kept", Kind: Download}, {Host: "b", Name: "changed"}},
		Tenants: []Tenant{{Name: "till"}, {Name: "clinic"}, {Name: "clinic"}}}
	if diff := cmp.Diff([]int{1, 0, -1, -1, -1, 3}, RoutePositions(old, new)); diff != "" {
		t.Errorf("routes (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{1, 2, 0, -1}, TenantPositions(old, new)); diff != "" {
		t.Errorf("tenants (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{}, RoutePositions(&Table{}, new)); diff != "" {
		t.Errorf("no routes before (-want +got):\n%s", diff)
	}
}
