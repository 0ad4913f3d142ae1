package controlstate

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// leastVoters are left at least: two can't lose one.
const leastVoters = 3

// VoterID names a voter: a core machine by its IP number, with the identity of its disk. A machine
// that comes back with another disk is another voter. Those that began the system have disk 0 and
// are named by the IP number alone.
func VoterID(ip string, disk uint64) string {
	if disk == 0 {
		return ip
	}
	return ip + "/" + strconv.FormatUint(disk, 36)
}

// VoterIP is the IP number of a voter's machine.
func VoterIP(id string) string {
	ip, _, _ := strings.Cut(id, "/")
	return ip
}

// Sets are the sets of voters by which a register counts; first are those that everyone began
// with.
func (r *Register) Sets(first []string) [][]string {
	voters := r.Voters
	if len(voters) == 0 {
		voters = first
	}
	if len(r.Prior) > 0 {
		return [][]string{r.Prior, voters}
	}
	return [][]string{voters}
}

// Term is that of the present voters. It rises with each change of them.
func (r *Register) Term() uint64 { return r.VoterChanges + 1 }

// changeVoters changes who votes. One change of voters is chosen before the next one.
func (r *Register) changeVoters(o *Order) (changed bool, out Outcome) {
	old := r.Sets(o.First)[0]
	voters := slices.Clone(old)
	for _, s := range o.Seats {
		if i, have := slices.BinarySearch(voters, s); !have {
			voters, changed = slices.Insert(voters, i, s), true
		}
	}
	for _, s := range o.Leave {
		if i, have := slices.BinarySearch(voters, s); have {
			voters, changed = slices.Delete(voters, i, i+1), true
		}
	}
	switch {
	case o.Term != 0 && o.Term != r.Term():
		return false, Outcome{Status: 409, Code: "term", Text: fmt.Sprintf("the change was decided in term %d of the voters and this is term %d", o.Term, r.Term())}
	case len(r.Prior) > 0:
		return false, Outcome{Status: 409, Code: "busy", Text: "another change of voters is under way: ask again"}
	case !changed:
		return false, Outcome{Status: 200}
	case twice(voters) != "":
		return false, Outcome{Status: 409, Code: "twice", Text: fmt.Sprintf("machine %s would have two seats: unseat its earlier one with the same order", twice(voters))}
	case len(voters) < leastVoters && len(voters) < len(old):
		return false, Outcome{Status: 400, Code: "too_few", Text: fmt.Sprintf("%d voters would be left: seat another machine with the same order, %d are the least", len(voters), leastVoters)}
	}
	r.Prior, r.Voters = slices.Clone(old), voters
	r.VoterChanges++
	return true, Outcome{Status: 200}
}

// twice is a machine that has two seats, or nothing.
func twice(voters []string) string {
	seen := map[string]bool{}
	for _, v := range voters {
		ip := VoterIP(v)
		if seen[ip] {
			return ip
		}
		seen[ip] = true
	}
	return ""
}

// Proposal is what a round makes of the newest register that its majority told.
type Proposal struct {
	// Need are the sets of voters that the register counts by, where the round has counted by
	// others: it has to begin again with these.
	Need     [][]string
	Outcomes [][]Outcome // of each batch of orders
	Changed  bool        // the register is another one now
	Brings   []string    // voters that the votes have to count by too; nil: none
}

// Propose gives a round's orders to the newest register told. first are the voters that everyone
// began with, counted the sets that the round has counted promises by, and chosen tells that the
// register is known to be chosen, and with it the change of voters that it may hold.
func (r *Register) Propose(first []string, counted [][]string, chosen bool, batches [][]Order) (p Proposal) {
	if need := r.Sets(first); !slices.EqualFunc(need, counted, slices.Equal) {
		return Proposal{Need: need}
	}
	seq := r.Seq
	if chosen && len(r.Prior) > 0 {
		r.Prior = nil
		r.Seq++
	}
	for _, orders := range batches {
		var outcomes []Outcome
		for k := range orders {
			outcomes = append(outcomes, r.Apply(&orders[k]))
		}
		p.Outcomes = append(p.Outcomes, outcomes)
	}
	if p.Changed = r.Seq != seq; p.Changed && len(r.Voters) == 0 {
		// From its first change on the register names its voters itself: a machine that begins
		// again with other seeds would take those for the voters.
		r.Voters = slices.Clone(first)
	}
	sets := r.Sets(first)
	if voters := sets[len(sets)-1]; !slices.Equal(voters, counted[len(counted)-1]) {
		p.Brings = voters
	}
	return p
}
