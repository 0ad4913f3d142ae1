package configstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/paxos"
	"example.org/madderdrum/control/replica"
	"example.org/madderdrum/internal/rpc"
)

// Calls of a store. Those with a capital are made by other packages. Each is safe to be carried out
// twice: see docs/design/control-safety.md.
const (
	CallChange  = "configstore.change"
	CallWatch   = "configstore.watch"
	CallFetch   = "configstore.fetch"
	callPrepare = "configstore.prepare"
	callAccept  = "configstore.accept"
	callRead    = "configstore.read"
	callChosen  = "configstore.chosen"
)

func (s *Store) handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		callPrepare: rpc.Taking(s.prepare), callAccept: rpc.Taking(s.accept), callRead: rpc.Taking(s.read), callChosen: rpc.Taking(s.hearChosen),
		CallChange: rpc.Taking(s.change), CallWatch: rpc.Taking(s.watch), CallFetch: rpc.Asking(s.fetch),
		rpc.CallStatus: rpc.Asking(s.status),
	}
}

// Change gives orders.
type Change struct {
	Orders []controlstate.Order `cbor:"1,keyasint"`
	// WithinMs is how long the caller waits for the answer; later the orders are not proposed any
	// more. Zero is a default.
	WithinMs uint64 `cbor:"2,keyasint,omitempty"`
}

// Changed is the answer. None is there where no majority answered in time.
type Changed struct {
	Outcomes []controlstate.Outcome `cbor:"1,keyasint,omitempty"`
}

// Watch waits for a version after Seq, for HoldMs at most.
type Watch struct {
	Seq    uint64 `cbor:"1,keyasint"`
	HoldMs uint64 `cbor:"2,keyasint"`
}

// Watched is the answer.
type Watched struct {
	Register *controlstate.Register `cbor:"1,keyasint,omitempty"` // nil: none after Seq
	// ProofMs is how long ago a majority had chosen nothing newer; Proven is false where that
	// is not known at all.
	ProofMs uint64 `cbor:"2,keyasint,omitempty"`
	Proven  bool   `cbor:"3,keyasint,omitempty"`
	HeldMs  uint64 `cbor:"4,keyasint,omitempty"`
	// Voters are the sets of machines that vote, by IP number; empty where they are not known yet.
	Voters [][]string `cbor:"5,keyasint,omitempty"`
}

type chosenCall struct {
	Ballot paxos.Ballot `cbor:"1,keyasint"`
	Value  []byte       `cbor:"2,keyasint,omitempty"`
}

type chosenAnswer struct {
	Lacks bool `cbor:"1,keyasint,omitempty"`
}

// hearChosen takes in what another's round has chosen.
func (s *Store) hearChosen(_ context.Context, m chosenCall) (any, error) {
	s.mu.Lock()
	if m.Value == nil {
		reply := s.readDurable(paxos.Ballot{})
		if reply.Accepted != m.Ballot {
			defer s.mu.Unlock()
			return chosenAnswer{Lacks: m.Ballot.Compare(s.replica.Chosen()) > 0}, nil
		}
		m.Value = reply.Value
	}
	changed, err := s.replica.Learn(m.Ballot, m.Value)
	if err != nil {
		broken(err)
	}
	if changed {
		s.learned()
	}
	s.mu.Unlock()
	return chosenAnswer{}, nil
}

func (s *Store) change(ctx context.Context, m Change) (any, error) {
	for i := range m.Orders {
		if o := &m.Orders[i]; o.Kind == controlstate.ChangeVoters {
			if unknown := s.nameVoters(o); unknown != "" {
				text := fmt.Sprintf("no store at %s has reported here: start it, and call again once status lists it among the learners", unknown)
				return Changed{[]controlstate.Outcome{{Status: 404, Code: "no_learner", Text: text}}}, nil
			}
		}
	}
	within := orderWithin
	if m.WithinMs > 0 {
		within = min(within, time.Duration(m.WithinMs)*time.Millisecond)
	}
	return Changed{s.submit(ctx, m.Orders, within)}, nil
}

// nameVoters completes an operator's command, which names machines by their IP numbers: a machine
// that is to have a seat by the identity under which it was last heard, one that is to leave by all
// that vote for it. It returns a machine that is not known, or nothing.
func (s *Store) nameVoters(o *controlstate.Order) (unknown string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(o.InitialVoters) == 0 {
		o.InitialVoters = s.replica.InitialVoters()
	}
	voters := replica.Union(s.replica.Register().VoterSets(o.InitialVoters)...)
	known := append(s.members.Learners(s.now(), voters), voters...)
	seats, leave := o.AddVoters, o.RemoveVoters
	o.AddVoters, o.RemoveVoters = nil, nil
	for _, ip := range seats {
		i := slices.IndexFunc(known, func(id string) bool { return controlstate.VoterIP(id) == ip })
		if i < 0 {
			return ip
		}
		o.AddVoters = append(o.AddVoters, known[i])
	}
	for _, id := range voters {
		if slices.Contains(leave, controlstate.VoterIP(id)) && !slices.Contains(o.AddVoters, id) {
			o.RemoveVoters = append(o.RemoveVoters, id)
		}
	}
	return ""
}

var errNoQuorum = errors.New("no majority answers")

// fetch reads the register by a round: what it answers is chosen, and nothing newer was when
// it was asked.
func (s *Store) fetch(ctx context.Context) (any, error) {
	read := []controlstate.Order{{Kind: controlstate.RegisterLimiters}} // of no limiter: it changes nothing
	if s.submit(ctx, read, orderWithin) == nil {
		return nil, errNoQuorum
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return Watched{Register: s.replica.Register()}, nil
}

func (s *Store) watch(ctx context.Context, m Watch) (any, error) {
	begun := time.Now()
	late := time.NewTimer(time.Duration(m.HoldMs) * time.Millisecond)
	defer late.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		changed, have := s.changed, s.replica.Register().Seq > m.Seq
		s.mu.Unlock()
		if have {
			break
		}
		select {
		case <-changed:
		case <-late.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := Watched{HeldMs: uint64(time.Since(begun).Milliseconds())}
	if register := s.replica.Register(); register.Seq > m.Seq {
		w.Register = register
	}
	if at, ok := s.replica.ProvenAt(); ok {
		w.Proven, w.ProofMs, w.Voters = true, uint64((s.now()-at).Milliseconds())+1, s.machineSets()
	}
	return w, nil
}

// machineSets are the sets of voters by IP number. The mutex is held.
func (s *Store) machineSets() (sets [][]string) {
	for _, set := range s.replica.Register().VoterSets(s.replica.InitialVoters()) {
		if len(set) > 0 {
			sets = append(sets, replica.VoterIPs(set))
		}
	}
	return sets
}

// votes tells that this store has a seat, and that the change of voters which gave it is complete: until
// then a majority of the former voters is needed too. The mutex is held.
func (s *Store) votes() bool {
	state := s.state()
	return !state.Prior && slices.Contains(state.Voters, s.voter())
}

// status tells how this store stands.
func (s *Store) status(context.Context) (any, error) {
	s.accepting.Lock()
	failed := s.disk.sick
	s.accepting.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	proof := "none"
	if at, ok := s.replica.ProvenAt(); ok {
		proof = (s.now() - at).Round(time.Millisecond).String()
	}
	register, voters := s.replica.Register(), replica.Union(s.replica.VoterSets()...)
	limiters := register.PlaceTable()
	return rpc.Status{Lines: []string{
		fmt.Sprintf("program=configstore node=%s zone=%s voter=%s voters=%v learners=%v votes=%v disk_fails=%v", s.settings.Node, s.settings.Zone, s.voter(), voters,
			s.members.Learners(s.now(), voters), s.votes(), failed),
		fmt.Sprintf("register seq=%d version=r%d term=%d revoked=%d evacuated=%v limiters=%d", register.Seq, register.Version, register.Term(), register.RevocationSeq, register.EvacuatedZones, limiters.Count()),
		fmt.Sprintf("ballots promised=%d accepted=%d chosen=%d proof_age=%s", s.durable.Promised.Number, s.durable.Accepted.Number, s.replica.Chosen().Number, proof),
	}}, nil
}
