// Package coremembers decides which core machines vote. Each store reports about itself to the
// others at intervals. From these reports a voter works out when a learner, a machine without a
// vote that holds the agreed state, is to take a seat: that of a machine which leaves, which came
// back without its disk, or which is gone for good.
//
// Nobody holds a standing duty. A change is proposed under the term of the voters that it was
// decided by, and the agreed state refuses it under any other, so that of several proposers one
// succeeds and a late one does no harm. A machine that is cut off, frozen or without power for a
// while keeps its seat: a learner takes it at once only if it was first heard after the machine was
// last heard, in the same zone, and a majority of the voters finds so; else after [GoneAfter].
//
// Nothing here does input or output, reads a clock or starts a goroutine. Times are spans on a
// steady clock since the process began.
package coremembers

import (
	"slices"
	"strings"
	"time"

	"example.org/madderdrum/control/controlstate"
)

const (
	// DarkAfter is how long a voter must not have been heard before a successor can take its seat.
	DarkAfter = 1200 * time.Millisecond
	// GoneAfter is how long a voter must not have been heard before a learner that is no successor
	// of it takes its seat. It is longer than the cuts that machines come back from.
	GoneAfter = 60 * time.Second
	// presentWithin is how recently a machine must have reported to be counted as present.
	presentWithin = 1500 * time.Millisecond
	// stalledAfter is the pause between two calls of Observe after which this process itself has
	// stood still: what it has not heard meanwhile says nothing about others.
	stalledAfter = 1200 * time.Millisecond
	// rankDelay keeps voters from proposing the same change at the same moment: the k-th of those
	// present waits k times as long.
	rankDelay = 300 * time.Millisecond
	// mostBehind is by how many versions a learner may be behind and count as caught up: the
	// change that seats it brings it the newest one.
	mostBehind = 64
	// forgetAfter is how long reports of machines that are gone are kept.
	forgetAfter = 10 * time.Minute
)

// Report is what a store tells of itself.
type Report struct {
	Voter   string `cbor:"1,keyasint"` // see controlstate.VoterID
	Zone    string `cbor:"2,keyasint,omitempty"`
	Seq     uint64 `cbor:"3,keyasint,omitempty"` // of the newest register that is on its disk
	Leaving bool   `cbor:"4,keyasint,omitempty"` // its process is being ended in good order
	Joining bool   `cbor:"5,keyasint,omitempty"` // it began with the system: a seat of its own is due to it
	// Succeeded are the voters that this store finds to be gone, each with its successor.
	Succeeded []Succession `cbor:"6,keyasint,omitempty"`
}

// Succession is a seat that passes from one machine to another.
type Succession struct {
	Voter     string `cbor:"1,keyasint"`
	Successor string `cbor:"2,keyasint"`
}

// State is what a store knows to be agreed.
type State struct {
	Voters []string // sorted
	Prior  bool     // a change of voters is not known to be completed
	Term   uint64
	Seq    uint64
}

// Change is a change of voters to be proposed.
type Change struct {
	Seat, Leave []string
	Term        uint64
	// Complete tells that a change is chosen and has only to be completed.
	Complete bool
}

type peer struct {
	report Report
	first  time.Duration // when it was heard for the first time
	last   time.Duration
}

// Planner decides for one store.
type Planner struct {
	self   Report
	wanted int // voters, at least
	peers  map[string]*peer
	seen   time.Duration // the latest time handed in
	begun  time.Duration
	due    Change        // what was last found to be due
	dueAt  time.Duration // since when
}

// New returns the planner of a store. wanted is how many voters the system is to have at least.
func New(self Report, wanted int, now time.Duration) *Planner {
	return &Planner{self: self, wanted: wanted, peers: map[string]*peer{}, seen: now, begun: now}
}

// Leave has the store give its seat up as soon as a learner can take it.
func (p *Planner) Leave() { p.self.Leaving = true }

// Rename tells the store's own identity, once it is known.
func (p *Planner) Rename(voter string) { p.self.Voter = voter }

// tick takes note of the time. After a standstill all are taken for heard just now.
func (p *Planner) tick(now time.Duration) {
	if now-p.seen > stalledAfter {
		p.begun = now
		for _, o := range p.peers {
			o.last = now
		}
	}
	p.seen = max(p.seen, now)
}

// Heard takes in another store's report.
func (p *Planner) Heard(now time.Duration, r Report) {
	p.tick(now)
	if r.Voter == "" || r.Voter == p.self.Voter {
		return
	}
	o := p.peers[r.Voter]
	if o == nil {
		o = &peer{first: now}
		p.peers[r.Voter] = o
	}
	o.report, o.last = r, now
}

// Report is what this store tells of itself now.
func (p *Planner) Report(now time.Duration, s State) Report {
	p.tick(now)
	r := p.self
	r.Seq = s.Seq
	r.Succeeded = p.successions(now, s)
	return r
}

// Learners are the machines without a vote that were heard of late: they are to be told news too.
func (p *Planner) Learners(now time.Duration, voters []string) (ids []string) {
	for id, o := range p.peers {
		if now-o.last <= 2*presentWithin && !slices.Contains(voters, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Silence is for how long a voter has not been heard.
func (p *Planner) Silence(now time.Duration, voter string) time.Duration {
	if voter == p.self.Voter {
		return 0
	}
	return now - p.lastHeard(voter)
}

func (p *Planner) lastHeard(voter string) time.Duration {
	if o := p.peers[voter]; o != nil {
		return max(o.last, p.begun)
	}
	return p.begun
}

// candidates are the learners that could take a seat, those heard first at first.
func (p *Planner) candidates(now time.Duration, s State) (all []*peer) {
	for id, o := range p.peers {
		switch {
		case slices.Contains(s.Voters, id), o.report.Leaving, now-o.last > presentWithin:
		case o.report.Seq+mostBehind < s.Seq, o.report.Seq == 0 && s.Seq > 0:
		default:
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b *peer) int {
		if a.first != b.first {
			return int(a.first - b.first)
		}
		return strings.Compare(a.report.Voter, b.report.Voter)
	})
	return all
}

// successions are the seats that are to pass on, as far as this store can tell by itself.
func (p *Planner) successions(now time.Duration, s State) (all []Succession) {
	taken := map[string]bool{}
	candidates := p.candidates(now, s)
	for _, voter := range s.Voters {
		for _, c := range candidates {
			if id := c.report.Voter; !taken[id] && p.succeeds(now, voter, c, s) {
				all = append(all, Succession{Voter: voter, Successor: id})
				taken[id] = true
				break
			}
		}
	}
	return all
}

// succeeds tells that a learner is to take a voter's seat.
func (p *Planner) succeeds(now time.Duration, voter string, c *peer, s State) bool {
	ip := controlstate.VoterIP(c.report.Voter)
	if ip == controlstate.VoterIP(voter) {
		// The same machine with another disk. Late reports of a disk that it had before say nothing.
		return c.first >= p.lastHeard(voter)
	}
	if slices.ContainsFunc(s.Voters, func(v string) bool { return controlstate.VoterIP(v) == ip }) {
		return false // it has the seat of its own machine to take
	}
	silence := p.Silence(now, voter)
	if silence < DarkAfter {
		return false
	}
	known := p.peers[voter]
	sameZone := known == nil || known.report.Zone == c.report.Zone
	return sameZone && c.first >= p.lastHeard(voter) || silence >= GoneAfter
}

// agreed tells that a majority of the voters finds the same succession.
func (p *Planner) agreed(now time.Duration, s State, want Succession, own []Succession) bool {
	n := 0
	for _, voter := range s.Voters {
		switch o := p.peers[voter]; {
		case voter == p.self.Voter:
			if slices.Contains(own, want) {
				n++
			}
		case o != nil && now-o.last <= presentWithin && slices.Contains(o.report.Succeeded, want):
			n++
		}
	}
	return n > len(s.Voters)/2
}

// Plan tells whether this store is to propose a change of voters now.
func (p *Planner) Plan(now time.Duration, s State) (Change, bool) {
	p.tick(now)
	due, is := p.plan(now, s)
	if !is {
		p.due, p.dueAt = Change{}, 0
		return Change{}, false
	}
	if !same(due, p.due) || p.dueAt == 0 {
		p.due, p.dueAt = due, now
	}
	if now-p.dueAt < time.Duration(p.rank(now, s))*rankDelay {
		return Change{}, false
	}
	return due, true
}

func same(a, b Change) bool {
	return a.Term == b.Term && a.Complete == b.Complete && slices.Equal(a.Seat, b.Seat) && slices.Equal(a.Leave, b.Leave)
}

// rank is this store's number among the voters that are present.
func (p *Planner) rank(now time.Duration, s State) (rank int) {
	for _, voter := range s.Voters {
		if voter == p.self.Voter {
			return rank
		}
		if o := p.peers[voter]; o != nil && now-o.last <= presentWithin && !o.report.Leaving {
			rank++
		}
	}
	return rank
}

func (p *Planner) plan(now time.Duration, s State) (Change, bool) {
	if !slices.Contains(s.Voters, p.self.Voter) {
		return Change{}, false
	}
	if s.Prior {
		return Change{Term: s.Term, Complete: true}, true
	}
	own := p.successions(now, s)
	for _, succession := range own {
		if p.agreed(now, s, succession, own) {
			return Change{Seat: []string{succession.Successor}, Leave: []string{succession.Voter}, Term: s.Term}, true
		}
	}
	candidates := slices.DeleteFunc(p.candidates(now, s), func(c *peer) bool {
		return slices.ContainsFunc(own, func(o Succession) bool { return o.Successor == c.report.Voter })
	})
	if len(candidates) == 0 {
		return Change{}, false
	}
	for _, voter := range s.Voters {
		if p.leaving(now, voter) {
			return Change{Seat: []string{p.nearest(candidates, voter)}, Leave: []string{voter}, Term: s.Term}, true
		}
	}
	for _, c := range candidates {
		if c.report.Joining || len(s.Voters) < p.wanted {
			return Change{Seat: []string{c.report.Voter}, Term: s.Term}, true
		}
	}
	return Change{}, false
}

func (p *Planner) leaving(now time.Duration, voter string) bool {
	if voter == p.self.Voter {
		return p.self.Leaving
	}
	o := p.peers[voter]
	return o != nil && o.report.Leaving && now-o.last <= presentWithin
}

// nearest is the first candidate of a voter's zone, or else the first.
func (p *Planner) nearest(candidates []*peer, voter string) string {
	zone := p.self.Zone
	if o := p.peers[voter]; o != nil {
		zone = o.report.Zone
	}
	for _, c := range candidates {
		if c.report.Zone == zone {
			return c.report.Voter
		}
	}
	return candidates[0].report.Voter
}

// Forget drops what was heard long ago of machines without a vote. A process runs for months and
// machines are replaced all the time.
func (p *Planner) Forget(now time.Duration, voters []string) {
	for id, o := range p.peers {
		if now-o.last > forgetAfter && !slices.Contains(voters, id) {
			delete(p.peers, id)
		}
	}
}

// CanLeave tells whether a store that leaves should wait for a learner to take its seat: there is
// one, and the store is a voter.
func (p *Planner) CanLeave(now time.Duration, s State) (wait bool) {
	return slices.Contains(s.Voters, p.self.Voter) && len(p.candidates(now, s)) > 0
}
