package registry

import "example.org/madderdrum/internal/metrics"

// figures are what this registry tells of itself to those who collect metrics.
func (h *Registry) figures() []metrics.Figure {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := []metrics.Figure{
		metrics.Flag("madderdrum_registry_apart", "Whether no majority of the registries is heard.", h.apart()),
		metrics.One("madderdrum_registry_sequence", "Number of the agreed state that is in force here.", metrics.Gauge, float64(h.reg.Seq)),
		metrics.One("madderdrum_registry_configuration_version", "Version of the configuration that is in force here.", metrics.Gauge, float64(h.reg.Version)),
		metrics.One("madderdrum_registry_limiters", "Limiters that hold a place or are joining.", metrics.Gauge, float64(h.limiters.count(h.reg))),
		metrics.One("madderdrum_registry_evacuated_zones", "Zones whose servers are to get nothing.", metrics.Gauge, float64(len(h.reg.EvacuatedZones))),
	}
	if age, ok := h.proof.Age(h.clock()); ok {
		all = append(all, metrics.One("madderdrum_registry_proof_age_seconds", "Age of the latest proof that nothing newer is agreed.", metrics.Gauge, age.Seconds()))
	}
	return append(all, metrics.Instances("madderdrum_registry_instances", h.book.Counts(h.now())))
}
