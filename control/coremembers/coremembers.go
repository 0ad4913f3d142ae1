// Package coremembers decides which core machines vote. Each store sends a report about itself to the
// others at intervals. From these reports a voter works out when a learner (a machine that holds the
// replicated state but does not vote) is to take the seat of a voter that leaves, that returned without
// its disk, or that is gone for good.
//
// There is no coordinator. A change is proposed under the term of the voters in which it was decided, and
// the replicated state refuses it in any other term: of several proposers one succeeds, and a late
// proposal does no harm. A machine that is partitioned, frozen or without power for a while keeps its seat.
// A learner takes the seat early only if it was first heard after the voter was last heard, is in the same
// zone, and a majority of the voters agrees; otherwise only after [GoneAfter].
//
// Nothing here does I/O, reads a clock or starts a goroutine. Times are offsets on a monotonic clock since
// the process started.
package coremembers

import (
	"slices"
	"strings"
	"time"

	"example.org/madderdrum/control/controlstate"
)

const (
	// UnreachableAfter is how long a voter must be silent before a successor can take its seat.
	UnreachableAfter = 1200 * time.Millisecond
	// GoneAfter is how long a voter must be silent before a learner that was already present, or is in
	// another zone, takes its seat. It is longer than the outages that machines recover from.
	GoneAfter = 60 * time.Second
	// presentWithin is how recently a machine must have reported to count as present.
	presentWithin = 1500 * time.Millisecond
	// stalledAfter is the gap between two time updates after which this process is assumed to have been
	// stalled. Reports missed during a stall say nothing about the other machines.
	stalledAfter = 1200 * time.Millisecond
	// rankDelay keeps voters from proposing the same change at once: the k-th voter present, counted
	// from zero, waits k times this delay.
	rankDelay = 300 * time.Millisecond
	// maxVersionsBehind is by how many versions a learner may lag and still count as caught up. It receives
	// the newest version with the change that seats it.
	maxVersionsBehind = 64
	// forgetAfter is how long the last report of a silent machine that is not a voter is kept.
	forgetAfter = 10 * time.Minute
)

// Report is what a store periodically sends to the others about itself.
type Report struct {
	Voter   string `cbor:"1,keyasint"` // see controlstate.VoterID
	Zone    string `cbor:"2,keyasint,omitempty"`
	Seq     uint64 `cbor:"3,keyasint,omitempty"` // version of the newest register on its disk
	Leaving bool   `cbor:"4,keyasint,omitempty"` // its process is shutting down gracefully
	Joining bool   `cbor:"5,keyasint,omitempty"` // it is an initial machine, which gets a seat of its own
	// Successions are the seats that this store considers due to pass to a learner.
	Successions []Succession `cbor:"6,keyasint,omitempty"`
}

// Succession is the transfer of a voter's seat to a learner. Both are voter IDs.
type Succession struct {
	Voter     string `cbor:"1,keyasint"`
	Successor string `cbor:"2,keyasint"`
}

// State is the part of the newest chosen register that the planner needs.
type State struct {
	Voters []string // sorted
	Prior  bool     // a change of voters is not known to be complete
	Term   uint64
	Seq    uint64
}

// Change is a change of voters that a store is to propose.
type Change struct {
	NewVoters, RemoveVoters []string
	Term                    uint64
	// CompletePending means that there is no new change to propose: an earlier one is still to be completed.
	CompletePending bool
}

type peer struct {
	report        Report
	firstReportAt time.Duration // when its first report arrived
	lastReportAt  time.Duration
}

// Planner decides for one store which change of voters it is to propose, and when.
type Planner struct {
	self           Report
	minVoters      int // how many voters the system is to have at least
	peers          map[string]*peer
	latestTime     time.Duration // the latest time passed to a method
	observingSince time.Duration // start of the process or end of its latest stall
	dueChange      Change        // the change found due by the latest Plan
	dueSince       time.Duration // since when that change has been due
}

// New returns the planner of a store that reports self. minVoters is how many voters the system is to have
// at least.
func New(self Report, minVoters int, now time.Duration) *Planner {
	return &Planner{self: self, minVoters: minVoters, peers: map[string]*peer{}, latestTime: now, observingSince: now}
}

// Leave makes the store report that it is leaving, so that a learner takes its seat as soon as possible.
func (p *Planner) Leave() { p.self.Leaving = true }

// SetVoterID sets the store's own voter ID, once it is known.
func (p *Planner) SetVoterID(voter string) { p.self.Voter = voter }

// updateTime records the current time. After a stall of this process, all machines count as just heard.
func (p *Planner) updateTime(now time.Duration) {
	if now-p.latestTime > stalledAfter {
		p.observingSince = now
		for _, other := range p.peers {
			other.lastReportAt = now
		}
	}
	p.latestTime = max(p.latestTime, now)
}

// Heard processes a report of another store.
func (p *Planner) Heard(now time.Duration, incoming Report) {
	p.updateTime(now)
	if incoming.Voter == "" || incoming.Voter == p.self.Voter {
		return
	}
	other := p.peers[incoming.Voter]
	if other == nil {
		other = &peer{firstReportAt: now}
		p.peers[incoming.Voter] = other
	}
	other.report, other.lastReportAt = incoming, now
}

// Report returns the report that this store is to send now.
func (p *Planner) Report(now time.Duration, state State) Report {
	p.updateTime(now)
	report := p.self
	report.Seq = state.Seq
	report.Successions = p.successions(now, state)
	return report
}

// Learners returns the machines without a vote that have reported recently. They receive new registers too.
func (p *Planner) Learners(now time.Duration, voters []string) (ids []string) {
	for id, other := range p.peers {
		if now-other.lastReportAt <= 2*presentWithin && !slices.Contains(voters, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Silence returns how long a voter has not been heard. For the store itself it is zero.
func (p *Planner) Silence(now time.Duration, voter string) time.Duration {
	if voter == p.self.Voter {
		return 0
	}
	return now - p.lastHeard(voter)
}

// lastHeard returns when a voter was last heard. One that has not been heard since observation began counts
// as heard at that moment.
func (p *Planner) lastHeard(voter string) time.Duration {
	if other := p.peers[voter]; other != nil {
		return max(other.lastReportAt, p.observingSince)
	}
	return p.observingSince
}

// candidates returns the learners that can take a seat: present, caught up and not leaving. Those heard
// first come first.
func (p *Planner) candidates(now time.Duration, state State) (learners []*peer) {
	for id, other := range p.peers {
		switch {
		case slices.Contains(state.Voters, id), other.report.Leaving, now-other.lastReportAt > presentWithin:
		case other.report.Seq+maxVersionsBehind < state.Seq, other.report.Seq == 0 && state.Seq > 0:
		default:
			learners = append(learners, other)
		}
	}
	slices.SortFunc(learners, func(a, b *peer) int {
		if a.firstReportAt != b.firstReportAt {
			return int(a.firstReportAt - b.firstReportAt)
		}
		return strings.Compare(a.report.Voter, b.report.Voter)
	})
	return learners
}

// successions returns the seats that are due to pass to a learner, judged by this store alone.
func (p *Planner) successions(now time.Duration, state State) (due []Succession) {
	taken := map[string]bool{}
	candidates := p.candidates(now, state)
	for _, voter := range state.Voters {
		for _, candidate := range candidates {
			if id := candidate.report.Voter; !taken[id] && p.canSucceed(now, voter, candidate, state) {
				due = append(due, Succession{Voter: voter, Successor: id})
				taken[id] = true
				break
			}
		}
	}
	return due
}

// canSucceed reports whether a learner may take a voter's seat, judged by this store alone.
func (p *Planner) canSucceed(now time.Duration, voter string, learner *peer, state State) bool {
	ip := controlstate.VoterIP(learner.report.Voter)
	if ip == controlstate.VoterIP(voter) {
		// The same machine with another disk. Delayed reports of an earlier disk must not count.
		return learner.firstReportAt >= p.lastHeard(voter)
	}
	if slices.ContainsFunc(state.Voters, func(v string) bool { return controlstate.VoterIP(v) == ip }) {
		return false // it can only take the seat of its own machine
	}
	silence := p.Silence(now, voter)
	if silence < UnreachableAfter {
		return false
	}
	known := p.peers[voter]
	sameZone := known == nil || known.report.Zone == learner.report.Zone
	return sameZone && learner.firstReportAt >= p.lastHeard(voter) || silence >= GoneAfter
}

// majorityAgrees reports whether a majority of the voters considers the succession due.
func (p *Planner) majorityAgrees(now time.Duration, state State, succession Succession, own []Succession) bool {
	count := 0
	for _, voter := range state.Voters {
		switch other := p.peers[voter]; {
		case voter == p.self.Voter:
			if slices.Contains(own, succession) {
				count++
			}
		case other != nil && now-other.lastReportAt <= presentWithin && slices.Contains(other.report.Successions, succession):
			count++
		}
	}
	return count > len(state.Voters)/2
}

// Plan returns the change of voters that this store is to propose now, and false if there is none.
func (p *Planner) Plan(now time.Duration, state State) (Change, bool) {
	p.updateTime(now)
	dueChange, found := p.plan(now, state)
	if !found {
		p.dueChange, p.dueSince = Change{}, 0
		return Change{}, false
	}
	if !sameChange(dueChange, p.dueChange) || p.dueSince == 0 {
		p.dueChange, p.dueSince = dueChange, now
	}
	if now-p.dueSince < time.Duration(p.rank(now, state))*rankDelay {
		return Change{}, false
	}
	return dueChange, true
}

func sameChange(a, b Change) bool {
	return a.Term == b.Term && a.CompletePending == b.CompletePending && slices.Equal(a.NewVoters, b.NewVoters) && slices.Equal(a.RemoveVoters, b.RemoveVoters)
}

// rank returns how many voters that are present and not leaving precede this store in the voter set.
func (p *Planner) rank(now time.Duration, state State) (rank int) {
	for _, voter := range state.Voters {
		if voter == p.self.Voter {
			return rank
		}
		if other := p.peers[voter]; other != nil && now-other.lastReportAt <= presentWithin && !other.report.Leaving {
			rank++
		}
	}
	return rank
}

// plan returns the change of voters that is due, regardless of the store's rank.
func (p *Planner) plan(now time.Duration, state State) (Change, bool) {
	if !slices.Contains(state.Voters, p.self.Voter) {
		return Change{}, false
	}
	if state.Prior {
		return Change{Term: state.Term, CompletePending: true}, true
	}
	own := p.successions(now, state)
	for _, succession := range own {
		if p.majorityAgrees(now, state, succession, own) {
			return Change{NewVoters: []string{succession.Successor}, RemoveVoters: []string{succession.Voter}, Term: state.Term}, true
		}
	}
	candidates := slices.DeleteFunc(p.candidates(now, state), func(candidate *peer) bool {
		return slices.ContainsFunc(own, func(o Succession) bool { return o.Successor == candidate.report.Voter })
	})
	if len(candidates) == 0 {
		return Change{}, false
	}
	for _, voter := range state.Voters {
		if p.leaving(now, voter) {
			return Change{NewVoters: []string{p.nearest(candidates, voter)}, RemoveVoters: []string{voter}, Term: state.Term}, true
		}
	}
	for _, candidate := range candidates {
		if candidate.report.Joining || len(state.Voters) < p.minVoters {
			return Change{NewVoters: []string{candidate.report.Voter}, Term: state.Term}, true
		}
	}
	return Change{}, false
}

// leaving reports whether a voter that is present is leaving.
func (p *Planner) leaving(now time.Duration, voter string) bool {
	if voter == p.self.Voter {
		return p.self.Leaving
	}
	other := p.peers[voter]
	return other != nil && other.report.Leaving && now-other.lastReportAt <= presentWithin
}

// nearest returns the first candidate in the voter's zone, or the first of all if there is none.
func (p *Planner) nearest(candidates []*peer, voter string) string {
	zone := p.self.Zone
	if other := p.peers[voter]; other != nil {
		zone = other.report.Zone
	}
	for _, candidate := range candidates {
		if candidate.report.Zone == zone {
			return candidate.report.Voter
		}
	}
	return candidates[0].report.Voter
}

// Forget removes old reports of machines that are not voters. A process runs for months while machines
// are replaced, so the reports would accumulate.
func (p *Planner) Forget(now time.Duration, voters []string) {
	for id, other := range p.peers {
		if now-other.lastReportAt > forgetAfter && !slices.Contains(voters, id) {
			delete(p.peers, id)
		}
	}
}

// ShouldWaitToLeave reports whether a leaving store should wait for a learner to take its seat: the store is a
// voter, and there is a learner that can take it.
func (p *Planner) ShouldWaitToLeave(now time.Duration, state State) (wait bool) {
	return slices.Contains(state.Voters, p.self.Voter) && len(p.candidates(now, state)) > 0
}
