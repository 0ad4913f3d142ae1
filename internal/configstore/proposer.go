package configstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/madderdrum/control/configdelta"
	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/paxos"
	"example.org/madderdrum/control/replica"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/wait"
)

const (
	orderTimeout = 2500 * time.Millisecond
	// meanRetryPause is the mean of the random part of the pause before a round is retried; it keeps competing
	// proposers from preempting each other again and again.
	meanRetryPause = 35 * time.Millisecond
)

// proposal is a set of orders queued for a round.
type proposal struct {
	orders   []controlstate.Order
	result   chan []controlstate.Outcome // receives nil if no majority answered
	deadline time.Time
}

// submit proposes orders and returns their outcomes, or nil if no majority answered in time: the orders may then
// have been carried out or not.
func (s *Store) submit(ctx context.Context, orders []controlstate.Order, timeout time.Duration) []controlstate.Outcome {
	p := &proposal{orders: orders, result: make(chan []controlstate.Outcome, 1), deadline: time.Now().Add(timeout)}
	select {
	case s.orders <- p:
	default:
		return nil
	}
	select {
	case outcomes := <-p.result:
		return outcomes
	case <-ctx.Done():
		return nil
	}
}

// proposeLoop runs rounds for queued proposals, one round at a time.
func (s *Store) proposeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-s.orders:
			s.runRounds(ctx, append([]*proposal{p}, s.takeQueued()...))
		}
	}
}

// takeQueued removes and returns the proposals that are queued now, without waiting.
func (s *Store) takeQueued() (all []*proposal) {
	for {
		select {
		case p := <-s.orders:
			all = append(all, p)
		default:
			return all
		}
	}
}

// runRounds retries until a round succeeds or every proposal has expired.
func (s *Store) runRounds(ctx context.Context, proposals []*proposal) {
	for ctx.Err() == nil {
		proposals = s.dropExpired(proposals)
		if len(proposals) == 0 {
			return
		}
		if s.runRound(ctx, proposals) {
			return
		}
		wait.Sleep(ctx, 5*time.Millisecond+rand.N(2*meanRetryPause))
	}
}

// dropExpired answers the proposals whose deadline has passed and returns the others: orders are not
// proposed once their submitter has stopped waiting.
func (s *Store) dropExpired(proposals []*proposal) (remaining []*proposal) {
	now := time.Now()
	for _, p := range proposals {
		if now.Before(p.deadline) {
			remaining = append(remaining, p)
		} else {
			p.result <- nil
		}
	}
	return remaining
}

// voterReply is a voter's reply to one message of a round.
type voterReply struct {
	from  string
	reply paxos.Reply
	err   error
}

// sendToVoters sends a message to each voter's machine concurrently and returns the replies as they arrive.
// A reply counts for the voter ID of the disk that the machine has now.
func (s *Store) sendToVoters(voters []string, send func(ip string) (paxos.Reply, error)) <-chan voterReply {
	ips := replica.VoterIPs(voters)
	replies := make(chan voterReply, len(ips))
	for _, ip := range ips {
		go func() {
			reply, err := send(ip)
			replies <- voterReply{controlstate.VoterID(ip, reply.Disk), reply, err}
		}()
	}
	return replies
}

// sendPrepare sends a prepare message to one machine.
func (s *Store) sendPrepare(ctx context.Context, ip string, m paxos.Prepare) (reply paxos.Reply, err error) {
	if ip == s.settings.IP {
		return s.acceptorPrepare(m)
	}
	err = s.caller.Call(ctx, s.settings.InternalAddress(ip, nodesettings.ConfigStorePort), callPrepare, m, &reply, callTimeout)
	return reply, err
}

// sendAccept sends an accept message to one machine: first as a delta from the value that most acceptors have,
// then with the whole value if this acceptor has another one.
func (s *Store) sendAccept(ctx context.Context, ip string, deltaRequest, fullRequest acceptRequest) (paxos.Reply, error) {
	response, err := s.sendAcceptRequest(ctx, ip, deltaRequest)
	if err == nil && response.NeedsValue {
		response, err = s.sendAcceptRequest(ctx, ip, fullRequest)
	}
	return response.Reply, err
}

func (s *Store) sendAcceptRequest(ctx context.Context, ip string, m acceptRequest) (response acceptResponse, err error) {
	if ip == s.settings.IP {
		return s.acceptorAccept(m)
	}
	err = s.caller.Call(ctx, s.settings.InternalAddress(ip, nodesettings.ConfigStorePort), callAccept, m, &response, callTimeout)
	return response, err
}

// acceptRequests returns the accept message of a round in its delta and full forms. Both are full if the base
// value is unknown or the delta would save less than half.
func acceptRequests(attempt *replica.Attempt) (deltaRequest, fullRequest acceptRequest) {
	fullRequest = acceptRequest{Ballot: attempt.Accept.Ballot, Value: attempt.Accept.Value}
	if len(attempt.Base) == 0 {
		return fullRequest, fullRequest
	}
	delta, err := configdelta.Between(attempt.Base, attempt.Accept.Value)
	if err != nil || len(delta) > len(fullRequest.Value)/2 {
		return fullRequest, fullRequest
	}
	return acceptRequest{Ballot: attempt.Accept.Ballot, Base: attempt.BaseBallot, Delta: delta}, fullRequest
}

// runRound runs one Paxos round. It reports whether all proposals were answered.
func (s *Store) runRound(ctx context.Context, proposals []*proposal) bool {
	var batches [][]controlstate.Order
	for _, p := range proposals {
		batches = append(batches, p.orders)
	}
	s.mu.Lock()
	attempt := s.replica.Begin(batches)
	s.mu.Unlock()
	prepare := attempt.Prepare
	replies := s.sendToVoters(attempt.Voters, func(ip string) (paxos.Reply, error) { return s.sendPrepare(ctx, ip, prepare) })
	step := s.collectReplies(replies, attempt.HandlePromise)
	if step == replica.SendAccept {
		accept := attempt.Accept
		deltaRequest, fullRequest := acceptRequests(attempt)
		replies = s.sendToVoters(attempt.Voters, func(ip string) (paxos.Reply, error) { return s.sendAccept(ctx, ip, deltaRequest, fullRequest) })
		if step = s.collectReplies(replies, attempt.HandleAccepted); step == replica.Finished {
			s.announceChosen(ctx, attempt.Voters, accept.Ballot, accept.Value)
		}
	}
	if step != replica.Finished {
		return false
	}
	for i, p := range proposals {
		p.result <- attempt.Outcomes()[i]
	}
	return true
}

// collectReplies passes replies to the round until one completes its current phase, all have arrived or time is up.
func (s *Store) collectReplies(replies <-chan voterReply, handle func(string, paxos.Reply) (replica.Step, error)) replica.Step {
	timeout := time.NewTimer(callTimeout + 50*time.Millisecond)
	defer timeout.Stop()
	for range cap(replies) {
		select {
		case reply := <-replies:
			if reply.err != nil {
				continue
			}
			if step := s.handleReply(reply, handle); step != replica.Wait {
				return step
			}
		case <-timeout.C:
			return replica.Wait
		}
	}
	return replica.Wait
}

// handleReply passes one reply to the round and wakes waiting goroutines if that changed the register.
func (s *Store) handleReply(received voterReply, handle func(string, paxos.Reply) (replica.Step, error)) replica.Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.replica.Register()
	step, err := handle(received.from, received.reply)
	if err != nil {
		panicInvariant(err)
	}
	if s.replica.Register() != before {
		s.notifyRegisterChange()
	}
	return step
}

// announceChosen announces a chosen value to the other voters and the learners. Stores that have accepted the
// value need only its ballot.
func (s *Store) announceChosen(ctx context.Context, voters []string, ballot paxos.Ballot, value []byte) {
	s.mu.Lock()
	recipients := append(slices.Clone(voters), s.members.Learners(s.now(), voters)...)
	s.mu.Unlock()
	for _, ip := range replica.VoterIPs(recipients) {
		if ip == s.settings.IP {
			continue
		}
		go s.announceChosenTo(ctx, ip, ballot, value)
	}
}

func (s *Store) announceChosenTo(ctx context.Context, ip string, ballot paxos.Ballot, value []byte) {
	address := s.settings.InternalAddress(ip, nodesettings.ConfigStorePort)
	var response chosenResponse
	err := s.caller.Call(ctx, address, callChosen, chosenRequest{Ballot: ballot}, &response, callTimeout)
	if err != nil || !response.NeedsValue {
		return
	}
	if err := s.caller.Call(ctx, address, callChosen, chosenRequest{Ballot: ballot, Value: value}, &response, callTimeout); err != nil {
		s.log.WithFields(map[string]any{"to": ip, "err": err}).Debug("failed to announce the chosen value")
	}
}
