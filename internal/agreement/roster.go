package agreement

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// Roster is which limiters the members are, and which of them shall vote. It is agreed on.
type Roster struct {
	Members map[uint64]string // the limiter's name, by member
	Wanted  map[string]uint64 // limiters that shall vote, with the member meant; 0: the first to come
}

// Wish is what an operator wants of the voters.
type Wish struct {
	Add, Remove string // a limiter's name
}

// Change is a change of the members.
type Change struct {
	ID     uint64 // added, or made a voter or a learner; 0: none
	Name   string
	Voter  bool
	Remove []uint64
}

// Joiner is a limiter's process that is no member yet.
type Joiner struct {
	Name string
	ID   uint64
}

func (r Roster) clone() Roster { return Roster{maps.Clone(r.Members), maps.Clone(r.Wanted)} }

// named are the members under a limiter's name.
func (r Roster) named(name string) (ids []uint64) {
	for id, n := range r.Members {
		if n == name {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// changed notes a change of members that is agreed on.
func (r *Roster) changed(x Change) {
	if r.Members == nil {
		r.Members = map[uint64]string{}
	}
	for _, id := range x.Remove {
		delete(r.Members, id)
	}
	if x.ID != 0 {
		r.Members[x.ID] = x.Name
		if want, ok := r.Wanted[x.Name]; x.Voter && ok && want == 0 {
			r.Wanted[x.Name] = x.ID
		}
	}
}

// wish notes what an operator wants. The leader brings it about step by step.
func (r *Roster) wish(w Wish, conf *raftpb.ConfState) error {
	if r.Wanted == nil {
		r.Wanted = map[string]uint64{}
	}
	switch {
	case w.Add != "":
		r.Wanted[w.Add] = 0
		for _, id := range r.named(w.Add) { // one that lost its folder has come back under another number
			if !slices.Contains(conf.GetVoters(), id) {
				r.Wanted[w.Add] = id
			}
		}
		if ids := r.named(w.Add); r.Wanted[w.Add] == 0 && len(ids) > 0 {
			r.Wanted[w.Add] = ids[0]
		}
	case w.Remove != "":
		if _, ok := r.Wanted[w.Remove]; ok && len(r.Wanted) == 1 {
			return fmt.Errorf("%s is the last voter: add another one first", w.Remove)
		}
		delete(r.Wanted, w.Remove)
	}
	return nil
}

// next is the next change that a leader brings about, if one is due. match is up to where
// each member has the log, commit up to where it is agreed on.
func (r *Roster) next(conf *raftpb.ConfState, joiners []Joiner, match map[uint64]uint64, commit uint64) (Change, bool) {
	if len(conf.GetVotersOutgoing()) > 0 {
		return Change{}, false // one is under way
	}
	votes := func(id uint64) bool { return slices.Contains(conf.GetVoters(), id) }
	for _, j := range joiners {
		if _, known := r.Members[j.ID]; known {
			continue
		}
		x := Change{ID: j.ID, Name: j.Name}
		for _, old := range r.named(j.Name) { // a voter that is away is an operator's to give up
			if !votes(old) {
				x.Remove = append(x.Remove, old)
			}
		}
		return x, true
	}
	for _, name := range slices.Sorted(maps.Keys(r.Wanted)) {
		for _, id := range r.named(name) {
			if want := r.Wanted[name]; votes(id) || want != 0 && want != id || match[id]+compactKeep < commit || match[id] == 0 {
				continue
			}
			x := Change{ID: id, Name: name, Voter: true}
			for _, old := range r.named(name) {
				if old != id {
					x.Remove = append(x.Remove, old)
				}
			}
			return x, true
		}
	}
	for _, id := range conf.GetVoters() {
		name := r.Members[id]
		if _, wanted := r.Wanted[name]; wanted {
			continue
		}
		if len(r.named(name)) > 1 {
			return Change{Remove: []uint64{id}}, true
		}
		return Change{ID: id, Name: name}, true
	}
	return Change{}, false
}
