package agreement

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// Roster maps members to limiters and lists the limiters that operators want as voters. It is replicated
// with the log.
type Roster struct {
	Members map[uint64]string // limiter name by member ID
	Wanted  map[string]uint64 // member ID by name of a wanted voter; 0: the first member that joins under the name
}

// VoterRequest is an operator's request to add or remove a voter; one field is set.
type VoterRequest struct {
	Add, Remove string // a limiter's name
}

// Change is one change of the Raft group's members.
type Change struct {
	ID     uint64   // the member to add, promote or demote; 0: none
	Name   string   // limiter name of that member
	Voter  bool     // whether it becomes a voter or a learner
	Remove []uint64 // members removed in the same step
}

// Joiner is a limiter that asks to join, with its member ID.
type Joiner struct {
	Name string
	ID   uint64
}

func (r Roster) clone() Roster { return Roster{maps.Clone(r.Members), maps.Clone(r.Wanted)} }

// membersNamed returns the IDs of all members with that limiter name, in ascending order.
func (r Roster) membersNamed(name string) (ids []uint64) {
	for id, n := range r.Members {
		if n == name {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// applyChange updates the roster for a committed membership change.
func (r *Roster) applyChange(change Change) {
	if r.Members == nil {
		r.Members = map[uint64]string{}
	}
	for _, id := range change.Remove {
		delete(r.Members, id)
	}
	if change.ID != 0 {
		r.Members[change.ID] = change.Name
		if wanted, ok := r.Wanted[change.Name]; change.Voter && ok && wanted == 0 {
			r.Wanted[change.Name] = change.ID
		}
	}
}

// applyVoterChange records an operator's request. The leader carries it out one membership change at a time.
func (r *Roster) applyVoterChange(request VoterRequest, conf *raftpb.ConfState) error {
	if r.Wanted == nil {
		r.Wanted = map[string]uint64{}
	}
	switch {
	case request.Add != "":
		r.Wanted[request.Add] = 0
		// A limiter that lost its folder has rejoined as a learner under a new member ID, which is preferred.
		for _, id := range r.membersNamed(request.Add) {
			if !slices.Contains(conf.GetVoters(), id) {
				r.Wanted[request.Add] = id
			}
		}
		if ids := r.membersNamed(request.Add); r.Wanted[request.Add] == 0 && len(ids) > 0 {
			r.Wanted[request.Add] = ids[0]
		}
	case request.Remove != "":
		if _, ok := r.Wanted[request.Remove]; ok && len(r.Wanted) == 1 {
			return fmt.Errorf("%s is the last voter: add another one first", request.Remove)
		}
		delete(r.Wanted, request.Remove)
	}
	return nil
}

// nextChange returns the membership change that the leader has to propose next, if one is due. match is the
// replicated log index of each member, commit the commit index.
func (r *Roster) nextChange(conf *raftpb.ConfState, joiners []Joiner, match map[uint64]uint64, commit uint64) (Change, bool) {
	if len(conf.GetVotersOutgoing()) > 0 {
		return Change{}, false // a change is in progress
	}
	isVoter := func(id uint64) bool { return slices.Contains(conf.GetVoters(), id) }
	for _, joiner := range joiners {
		if _, known := r.Members[joiner.ID]; known {
			continue
		}
		change := Change{ID: joiner.ID, Name: joiner.Name}
		for _, old := range r.membersNamed(joiner.Name) { // only an operator's request removes a voter
			if !isVoter(old) {
				change.Remove = append(change.Remove, old)
			}
		}
		return change, true
	}
	for _, name := range slices.Sorted(maps.Keys(r.Wanted)) {
		for _, id := range r.membersNamed(name) {
			if target := r.Wanted[name]; isVoter(id) || target != 0 && target != id || match[id]+keepEntries < commit || match[id] == 0 {
				continue
			}
			change := Change{ID: id, Name: name, Voter: true}
			for _, old := range r.membersNamed(name) {
				if old != id {
					change.Remove = append(change.Remove, old)
				}
			}
			return change, true
		}
	}
	for _, id := range conf.GetVoters() {
		name := r.Members[id]
		if _, wanted := r.Wanted[name]; wanted {
			continue
		}
		if len(r.membersNamed(name)) > 1 {
			return Change{Remove: []uint64{id}}, true
		}
		return Change{ID: id, Name: name}, true
	}
	return Change{}, false
}
