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

// RPC calls of a store; other packages make the exported ones. Each is safe to execute twice: see
// docs/design/control-safety.md.
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
		callPrepare: rpc.TypedHandler(s.handlePrepare), callAccept: rpc.TypedHandler(s.handleAccept), callRead: rpc.TypedHandler(s.handleRead), callChosen: rpc.TypedHandler(s.handleChosen),
		CallChange: rpc.TypedHandler(s.handleChange), CallWatch: rpc.TypedHandler(s.handleWatch), CallFetch: rpc.NoBodyHandler(s.handleFetch),
		rpc.CallStatus: rpc.NoBodyHandler(s.handleStatus),
	}
}

// ChangeRequest submits orders, to be carried out in one change of the register.
type ChangeRequest struct {
	Orders []controlstate.Order `cbor:"1,keyasint"`
	// TimeoutMs is how long the caller waits for the answer; the orders are not proposed after that.
	// Zero selects the default, orderTimeout.
	TimeoutMs uint64 `cbor:"2,keyasint,omitempty"`
}

// ChangeResponse carries one outcome per order. Outcomes is empty if no majority answered in time.
type ChangeResponse struct {
	Outcomes []controlstate.Outcome `cbor:"1,keyasint,omitempty"`
}

// WatchRequest waits up to HoldMs for a register newer than Seq.
type WatchRequest struct {
	Seq    uint64 `cbor:"1,keyasint"`
	HoldMs uint64 `cbor:"2,keyasint"`
}

// WatchResponse answers a watch or a fetch. A fetch fills in Register only.
type WatchResponse struct {
	Register *controlstate.Register `cbor:"1,keyasint,omitempty"` // nil if there is none newer than Seq
	// ProofAgeMs is the age of the latest proof that a majority has chosen nothing newer. Proven is false if
	// there is no such proof.
	ProofAgeMs uint64 `cbor:"2,keyasint,omitempty"`
	Proven     bool   `cbor:"3,keyasint,omitempty"`
	HeldMs     uint64 `cbor:"4,keyasint,omitempty"`
	// Voters are the voter sets by IP address, empty while they are unknown. There are two sets while a
	// change of voters is pending, and each needs a majority.
	Voters [][]string `cbor:"5,keyasint,omitempty"`
}

// chosenRequest announces a chosen value. Without Value it refers to the value accepted in Ballot.
type chosenRequest struct {
	Ballot paxos.Ballot `cbor:"1,keyasint"`
	Value  []byte       `cbor:"2,keyasint,omitempty"`
}

// chosenResponse answers a chosenRequest. NeedsValue asks the sender to repeat the request with the value.
type chosenResponse struct {
	NeedsValue bool `cbor:"1,keyasint,omitempty"`
}

// handleChosen learns a value that another store's round has chosen.
func (s *Store) handleChosen(_ context.Context, m chosenRequest) (any, error) {
	s.mu.Lock()
	if m.Value == nil {
		reply := s.readDurable(paxos.Ballot{})
		if reply.Accepted != m.Ballot {
			defer s.mu.Unlock()
			return chosenResponse{NeedsValue: m.Ballot.Compare(s.replica.Chosen()) > 0}, nil
		}
		m.Value = reply.Value
	}
	changed, err := s.replica.Learn(m.Ballot, m.Value)
	if err != nil {
		panicInvariant(err)
	}
	if changed {
		s.notifyRegisterChange()
	}
	s.mu.Unlock()
	return chosenResponse{}, nil
}

func (s *Store) handleChange(ctx context.Context, m ChangeRequest) (any, error) {
	for i := range m.Orders {
		if o := &m.Orders[i]; o.Kind == controlstate.ChangeVoters {
			if unknown := s.resolveVoters(o); unknown != "" {
				text := fmt.Sprintf("no store at %s has reported here: start it, and call again once status lists it among the learners", unknown)
				return ChangeResponse{[]controlstate.Outcome{{Status: 404, Code: "no_learner", Text: text}}}, nil
			}
		}
	}
	timeout := orderTimeout
	if m.TimeoutMs > 0 {
		timeout = min(timeout, time.Duration(m.TimeoutMs)*time.Millisecond)
	}
	return ChangeResponse{s.submit(ctx, m.Orders, timeout)}, nil
}

// resolveVoters completes an operator's order, which names machines by IP address. A machine that is to
// get a seat is replaced by its most recently reported voter ID, one that is to leave by all of its IDs among the
// voters. It returns the first unknown machine, or "".
func (s *Store) resolveVoters(order *controlstate.Order) (unknown string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(order.InitialVoters) == 0 {
		order.InitialVoters = s.replica.InitialVoters()
	}
	voters := replica.Union(s.replica.Register().VoterSets(order.InitialVoters)...)
	candidates := append(s.members.Learners(s.now(), voters), voters...)
	seats, leave := order.AddVoters, order.RemoveVoters
	order.AddVoters, order.RemoveVoters = nil, nil
	for _, ip := range seats {
		i := slices.IndexFunc(candidates, func(id string) bool { return controlstate.VoterIP(id) == ip })
		if i < 0 {
			return ip
		}
		order.AddVoters = append(order.AddVoters, candidates[i])
	}
	for _, id := range voters {
		if slices.Contains(leave, controlstate.VoterIP(id)) && !slices.Contains(order.AddVoters, id) {
			order.RemoveVoters = append(order.RemoveVoters, id)
		}
	}
	return ""
}

var errNoQuorum = errors.New("no majority answers")

// handleFetch reads the register by running a Paxos round: the result is chosen, and nothing newer had
// been chosen when the request arrived.
func (s *Store) handleFetch(ctx context.Context) (any, error) {
	noOp := []controlstate.Order{{Kind: controlstate.RegisterLimiters}} // registers no limiter, so it changes nothing
	if s.submit(ctx, noOp, orderTimeout) == nil {
		return nil, errNoQuorum
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return WatchResponse{Register: s.replica.Register()}, nil
}

func (s *Store) handleWatch(ctx context.Context, m WatchRequest) (any, error) {
	start := time.Now()
	timeout := time.NewTimer(time.Duration(m.HoldMs) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		registerChanged, available := s.registerChanged, s.replica.Register().Seq > m.Seq
		s.mu.Unlock()
		if available {
			break
		}
		select {
		case <-registerChanged:
		case <-timeout.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := WatchResponse{HeldMs: uint64(time.Since(start).Milliseconds())}
	if register := s.replica.Register(); register.Seq > m.Seq {
		response.Register = register
	}
	if provenAt, ok := s.replica.ProvenAt(); ok {
		response.Proven, response.ProofAgeMs, response.Voters = true, uint64((s.now()-provenAt).Milliseconds())+1, s.voterIPSets()
	}
	return response, nil
}

// voterIPSets returns the voter sets by IP address. s.mu must be held.
func (s *Store) voterIPSets() (sets [][]string) {
	for _, set := range s.replica.Register().VoterSets(s.replica.InitialVoters()) {
		if len(set) > 0 {
			sets = append(sets, replica.VoterIPs(set))
		}
	}
	return sets
}

// hasEffectiveSeat reports whether this store is a voter and the change that gave it the seat is complete:
// until then a majority of the former voters is required too. s.mu must be held.
func (s *Store) hasEffectiveSeat() bool {
	voterState := s.voterState()
	return !voterState.Prior && slices.Contains(voterState.Voters, s.voterID())
}

// handleStatus returns the status lines of this store.
func (s *Store) handleStatus(context.Context) (any, error) {
	s.acceptorMu.Lock()
	diskFailed := s.disk.failed
	s.acceptorMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	proofAge := "none"
	if provenAt, ok := s.replica.ProvenAt(); ok {
		proofAge = (s.now() - provenAt).Round(time.Millisecond).String()
	}
	register, voters := s.replica.Register(), replica.Union(s.replica.VoterSets()...)
	limiters := register.PlaceTable()
	return rpc.Status{Lines: []string{
		fmt.Sprintf("program=configstore node=%s zone=%s voter=%s voters=%v learners=%v votes=%v disk_fails=%v", s.settings.Node, s.settings.Zone, s.voterID(), voters,
			s.members.Learners(s.now(), voters), s.hasEffectiveSeat(), diskFailed),
		fmt.Sprintf("register seq=%d version=r%d term=%d revoked=%d evacuated=%v limiters=%d", register.Seq, register.Version, register.Term(), register.RevocationSeq, register.EvacuatedZones, limiters.HeldCount()),
		fmt.Sprintf("ballots promised=%d accepted=%d chosen=%d proof_age=%s", s.durable.Promised.Number, s.durable.Accepted.Number, s.replica.Chosen().Number, proofAge),
	}}, nil
}
