package registry

import "example.org/madderdrum/internal/metrics"

// collectMetrics returns this registry's current metrics.
func (h *Registry) collectMetrics() []metrics.Metric {
	h.mu.Lock()
	defer h.mu.Unlock()
	figures := []metrics.Metric{
		metrics.Flag("madderdrum_registry_apart", "Whether no majority of the registries is heard.", h.isolated()),
		metrics.SingleValue("madderdrum_registry_sequence", "Number of the agreed state that is in force here.", metrics.Gauge, float64(h.register.Seq)),
		metrics.SingleValue("madderdrum_registry_configuration_version", "Version of the configuration that is in force here.", metrics.Gauge, float64(h.register.Version)),
		metrics.SingleValue("madderdrum_registry_limiters", "Limiters that hold a place or are joining.", metrics.Gauge, float64(h.limiters.heldCount(h.register))),
		metrics.SingleValue("madderdrum_registry_evacuated_zones", "Zones whose servers are to get nothing.", metrics.Gauge, float64(len(h.register.EvacuatedZones))),
	}
	if age, ok := h.proof.Age(h.elapsed()); ok {
		figures = append(figures, metrics.SingleValue("madderdrum_registry_proof_age_seconds", "Age of the latest proof that nothing newer is agreed.", metrics.Gauge, age.Seconds()))
	}
	return append(figures, metrics.Instances("madderdrum_registry_instances", h.localCatalog.Counts(h.nowMs())))
}
