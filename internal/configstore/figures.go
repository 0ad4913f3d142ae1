package configstore

import (
	"example.org/madderdrum/control/replica"
	"example.org/madderdrum/internal/metrics"
)

// collectMetrics returns this store's current metrics.
func (s *Store) collectMetrics() []metrics.Metric {
	s.acceptorMu.Lock()
	diskFailed := s.disk.failed
	s.acceptorMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	register, voters := s.replica.Register(), replica.Union(s.replica.VoterSets()...)
	figures := []metrics.Metric{
		metrics.Flag("madderdrum_configstore_votes", "Whether this store has a seat.", s.hasEffectiveSeat()),
		metrics.Flag("madderdrum_configstore_disk_fails", "Whether the disk takes no writes.", diskFailed),
		metrics.SingleValue("madderdrum_configstore_voters", "Stores that have a seat.", metrics.Gauge, float64(len(voters))),
		metrics.SingleValue("madderdrum_configstore_learners", "Stores that hold the agreed state without a seat.", metrics.Gauge, float64(len(s.members.Learners(s.now(), voters)))),
		metrics.SingleValue("madderdrum_configstore_sequence", "Number of the agreed state that this store knows.", metrics.Gauge, float64(register.Seq)),
		metrics.SingleValue("madderdrum_configstore_configuration_version", "Version of the configuration in it.", metrics.Gauge, float64(register.Version)),
		metrics.SingleValue("madderdrum_configstore_term", "Term of the voters.", metrics.Gauge, float64(register.Term())),
	}
	if provenAt, ok := s.replica.ProvenAt(); ok {
		figures = append(figures, metrics.SingleValue("madderdrum_configstore_proof_age_seconds", "Age of the latest proof that nothing newer is chosen.", metrics.Gauge, (s.now()-provenAt).Seconds()))
	}
	return figures
}
