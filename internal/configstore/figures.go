package configstore

import (
	"example.org/madderdrum/control/replica"
	"example.org/madderdrum/internal/metrics"
)

// figures are what this store tells of itself to those who collect metrics.
func (s *Store) figures() []metrics.Figure {
	s.accepting.Lock()
	failed := s.disk.sick
	s.accepting.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	register, voters := s.replica.Register(), replica.Union(s.replica.VoterSets()...)
	all := []metrics.Figure{
		metrics.Flag("madderdrum_configstore_votes", "Whether this store has a seat.", s.votes()),
		metrics.Flag("madderdrum_configstore_disk_fails", "Whether the disk takes no writes.", failed),
		metrics.One("madderdrum_configstore_voters", "Stores that have a seat.", metrics.Gauge, float64(len(voters))),
		metrics.One("madderdrum_configstore_learners", "Stores that hold the agreed state without a seat.", metrics.Gauge, float64(len(s.members.Learners(s.now(), voters)))),
		metrics.One("madderdrum_configstore_sequence", "Number of the agreed state that this store knows.", metrics.Gauge, float64(register.Seq)),
		metrics.One("madderdrum_configstore_configuration_version", "Version of the configuration in it.", metrics.Gauge, float64(register.Version)),
		metrics.One("madderdrum_configstore_term", "Term of the voters.", metrics.Gauge, float64(register.Term())),
	}
	if at, ok := s.replica.ProvenAt(); ok {
		all = append(all, metrics.One("madderdrum_configstore_proof_age_seconds", "Age of the latest proof that nothing newer is chosen.", metrics.Gauge, (s.now()-at).Seconds()))
	}
	return all
}
