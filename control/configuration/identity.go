package configuration

// What outlives a change of the configuration, such as a request in flight or the balance of a tenant, refers to an
// item of the old version. The functions here find that item in the new version. Names alone do not identify an
// item: rules of several hosts, or even of one, may share a name, and so may tenants.

// removedPosition is the position of an item that the new version does not have.
const removedPosition = -1

// routeIdentity identifies a route across versions. A route that becomes repeatable, or no longer is, is another
// one, so that a request in flight keeps the kind that it was accepted with.
type routeIdentity struct {
	host, name string
	repeatable bool
}

// RoutePositions returns, for each route of an old version, its position among the routes of a new one, or -1 if it
// was removed. No two routes get the same position: routes with equal identities correspond in their order.
func RoutePositions(old, new *Table) []int {
	identify := func(r *Route) routeIdentity { return routeIdentity{r.Host, r.Name, r.Kind.Repeatable()} }
	return newPositions(old.Routes, new.Routes, identify)
}

// TenantPositions returns, for each tenant of an old version, its position among the tenants of a new one, or -1 if
// it was removed. No two tenants get the same position: tenants of one name correspond in their order.
func TenantPositions(old, new *Table) []int {
	return newPositions(old.Tenants, new.Tenants, func(t *Tenant) string { return t.Name })
}

func newPositions[Item any, Identity comparable](old, new []Item, identify func(*Item) Identity) []int {
	available := make(map[Identity][]int, len(new))
	for i := range new {
		identity := identify(&new[i])
		available[identity] = append(available[identity], i)
	}
	positions := make([]int, len(old))
	for i := range old {
		identity := identify(&old[i])
		candidates := available[identity]
		if len(candidates) == 0 {
			positions[i] = removedPosition
			continue
		}
		positions[i], available[identity] = candidates[0], candidates[1:]
	}
	return positions
}
