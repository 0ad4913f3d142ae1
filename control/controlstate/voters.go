package controlstate

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// minVoters is the smallest voter set that a change may leave: with two, no failure is tolerated.
const minVoters = 3

// VoterID returns the ID of a voter: the IP address of a core machine and the identity of its disk. A
// machine that returns with another disk is a different voter. The machines that bootstrapped the system
// have disk 0, and their ID is the IP address alone.
func VoterID(ip string, disk uint64) string {
	if disk == 0 {
		return ip
	}
	return ip + "/" + strconv.FormatUint(disk, 36)
}

// VoterIP returns the IP address of a voter's machine.
func VoterIP(id string) string {
	ip, _, _ := strings.Cut(id, "/")
	return ip
}

// VoterSets returns the voter sets from which a round needs majorities: the voters, or during a change of
// voters the prior and the new ones. initialVoters apply until the register names its voters.
func (r *Register) VoterSets(initialVoters []string) [][]string {
	voters := r.Voters
	if len(voters) == 0 {
		voters = initialVoters
	}
	if len(r.Prior) > 0 {
		return [][]string{r.Prior, voters}
	}
	return [][]string{voters}
}

// Term returns the term of the current voters, which increases with each change of voters.
func (r *Register) Term() uint64 { return r.VoterChanges + 1 }

// changeVoters adds and removes voters. It refuses a change until the previous one is chosen.
func (r *Register) changeVoters(order *Order) (changed bool, outcome Outcome) {
	old := r.VoterSets(order.InitialVoters)[0]
	voters := slices.Clone(old)
	for _, voter := range order.AddVoters {
		if i, found := slices.BinarySearch(voters, voter); !found {
			voters, changed = slices.Insert(voters, i, voter), true
		}
	}
	for _, voter := range order.RemoveVoters {
		if i, found := slices.BinarySearch(voters, voter); found {
			voters, changed = slices.Delete(voters, i, i+1), true
		}
	}
	switch {
	case order.Term != 0 && order.Term != r.Term():
		return false, Outcome{Status: 409, Code: "term", Text: fmt.Sprintf("the change was decided in term %d of the voters and this is term %d", order.Term, r.Term())}
	case len(r.Prior) > 0:
		return false, Outcome{Status: 409, Code: "busy", Text: "another change of voters is under way: ask again"}
	case !changed:
		return false, Outcome{Status: 200}
	case duplicateMachine(voters) != "":
		return false, Outcome{Status: 409, Code: "twice", Text: fmt.Sprintf("machine %s would have two seats: unseat its earlier one with the same order", duplicateMachine(voters))}
	case len(voters) < minVoters && len(voters) < len(old):
		return false, Outcome{Status: 400, Code: "too_few", Text: fmt.Sprintf("%d voters would be left: seat another machine with the same order, %d are the least", len(voters), minVoters)}
	}
	r.Prior, r.Voters = slices.Clone(old), voters
	r.VoterChanges++
	return true, Outcome{Status: 200}
}

// duplicateMachine returns the IP address of a machine that appears twice among the voters, or "".
func duplicateMachine(voters []string) string {
	seen := map[string]bool{}
	for _, voter := range voters {
		ip := VoterIP(voter)
		if seen[ip] {
			return ip
		}
		seen[ip] = true
	}
	return ""
}

// Proposal is the result of applying a round's orders to the newest register among its promises.
type Proposal struct {
	// RequiredSets are the register's voter sets if the round has collected promises from other sets: the
	// round has to be restarted with these.
	RequiredSets [][]string
	Outcomes     [][]Outcome // by batch of orders
	Changed      bool        // the register has changed
	NewVoterSet  []string    // new voters, from which the vote needs a majority too; nil if unchanged
}

// Propose applies a round's orders to r, the newest register among its promises. initialVoters are the
// voters that bootstrapped the system, and promisedSets the voter sets that the round has promises from.
// chosen means that the register is known to be chosen, and with it any change of voters that it contains,
// which is then complete.
func (r *Register) Propose(initialVoters []string, promisedSets [][]string, chosen bool,
	batches [][]Order) (proposal Proposal) {
	if required := r.VoterSets(initialVoters); !slices.EqualFunc(required, promisedSets, slices.Equal) {
		return Proposal{RequiredSets: required}
	}
	seq := r.Seq
	if chosen && len(r.Prior) > 0 {
		r.Prior = nil
		r.Seq++
	}
	for _, orders := range batches {
		var outcomes []Outcome
		for i := range orders {
			outcomes = append(outcomes, r.Apply(&orders[i]))
		}
		proposal.Outcomes = append(proposal.Outcomes, outcomes)
	}
	if proposal.Changed = r.Seq != seq; proposal.Changed && len(r.Voters) == 0 {
		// From its first change on, the register names its voters. Otherwise a machine that restarts with
		// other seed addresses would take those for the voters.
		r.Voters = slices.Clone(initialVoters)
	}
	sets := r.VoterSets(initialVoters)
	if voters := sets[len(sets)-1]; !slices.Equal(voters, promisedSets[len(promisedSets)-1]) {
		proposal.NewVoterSet = voters
	}
	return proposal
}
