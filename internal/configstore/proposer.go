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
	orderWithin = 2500 * time.Millisecond
	// retryPause is the mean pause before a round is begun again.
	retryPause = 35 * time.Millisecond
)

// pending are orders that wait for a round.
type pending struct {
	orders []controlstate.Order
	done   chan []controlstate.Outcome // nil: no majority answered
	until  time.Time
}

// submit proposes orders and returns what became of them, or nil where no majority answered in
// time: they may then be carried out or not.
func (s *Store) submit(ctx context.Context, orders []controlstate.Order, within time.Duration) []controlstate.Outcome {
	p := &pending{orders: orders, done: make(chan []controlstate.Outcome, 1), until: time.Now().Add(within)}
	select {
	case s.orders <- p:
	default:
		return nil
	}
	select {
	case out := <-p.done:
		return out
	case <-ctx.Done():
		return nil
	}
}

// propose holds rounds for the orders that wait, one round at a time.
func (s *Store) propose(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-s.orders:
			s.rounds(ctx, append([]*pending{p}, s.waiting()...))
		}
	}
}

// waiting are the orders that came in meanwhile.
func (s *Store) waiting() (all []*pending) {
	for {
		select {
		case p := <-s.orders:
			all = append(all, p)
		default:
			return all
		}
	}
}

// rounds holds rounds until one succeeds or nobody waits any more.
func (s *Store) rounds(ctx context.Context, all []*pending) {
	for ctx.Err() == nil {
		all = s.giveUpLate(all)
		if len(all) == 0 {
			return
		}
		if s.round(ctx, all) {
			return
		}
		wait.Sleep(ctx, 5*time.Millisecond+rand.N(2*retryPause))
	}
}

// giveUpLate answers those whose time is over, and returns the others: an order is not proposed any
// more once nobody waits for its answer.
func (s *Store) giveUpLate(all []*pending) (left []*pending) {
	now := time.Now()
	for _, p := range all {
		if now.Before(p.until) {
			left = append(left, p)
		} else {
			p.done <- nil
		}
	}
	return left
}

// answered is a voter's answer to a message of a round.
type answered struct {
	from  string
	reply paxos.Reply
	err   error
}

// ask has a message sent to the machines of voters, each by its own goroutine; answers come as they
// are there. A machine answers for the disk that it has.
func (s *Store) ask(voters []string, send func(ip string) (paxos.Reply, error)) <-chan answered {
	ips := replica.VoterIPs(voters)
	out := make(chan answered, len(ips))
	for _, ip := range ips {
		go func() {
			reply, err := send(ip)
			out <- answered{controlstate.VoterID(ip, reply.Disk), reply, err}
		}()
	}
	return out
}

// sendPrepare asks one machine for a promise.
func (s *Store) sendPrepare(ctx context.Context, ip string, m paxos.Prepare) (reply paxos.Reply, err error) {
	if ip == s.settings.IP {
		return s.votePrepare(m)
	}
	err = s.caller.Call(ctx, s.settings.Internal(ip, nodesettings.ConfigStorePort), callPrepare, m, &reply, callWithin)
	return reply, err
}

// sendAccept asks one machine for a vote: first with the difference from what most have accepted,
// and with the whole value where the machine has accepted something else.
func (s *Store) sendAccept(ctx context.Context, ip string, difference, whole acceptCall) (paxos.Reply, error) {
	answer, err := s.sendAcceptCall(ctx, ip, difference)
	if err == nil && answer.Lacks {
		answer, err = s.sendAcceptCall(ctx, ip, whole)
	}
	return answer.Reply, err
}

func (s *Store) sendAcceptCall(ctx context.Context, ip string, m acceptCall) (answer acceptAnswer, err error) {
	if ip == s.settings.IP {
		return s.voteAccept(m)
	}
	err = s.caller.Call(ctx, s.settings.Internal(ip, nodesettings.ConfigStorePort), callAccept, m, &answer, callWithin)
	return answer, err
}

// acceptCalls are the messages of a round's second half.
func acceptCalls(attempt *replica.Attempt) (difference, whole acceptCall) {
	whole = acceptCall{Ballot: attempt.Accept.Ballot, Value: attempt.Accept.Value}
	if len(attempt.Base) == 0 {
		return whole, whole
	}
	delta, err := configdelta.Between(attempt.Base, attempt.Accept.Value)
	if err != nil || len(delta) > len(whole.Value)/2 {
		return whole, whole
	}
	return acceptCall{Ballot: attempt.Accept.Ballot, Base: attempt.BaseBallot, Delta: delta}, whole
}

// round holds one round, and tells whether what is due was answered.
func (s *Store) round(ctx context.Context, all []*pending) bool {
	var batches [][]controlstate.Order
	for _, p := range all {
		batches = append(batches, p.orders)
	}
	s.mu.Lock()
	attempt := s.replica.Begin(batches)
	s.mu.Unlock()
	prepare := attempt.Prepare
	answers := s.ask(attempt.Voters, func(ip string) (paxos.Reply, error) { return s.sendPrepare(ctx, ip, prepare) })
	step := s.gather(answers, attempt.HandlePromise)
	if step == replica.SendAccept {
		accept := attempt.Accept
		difference, whole := acceptCalls(attempt)
		answers = s.ask(attempt.Voters, func(ip string) (paxos.Reply, error) { return s.sendAccept(ctx, ip, difference, whole) })
		if step = s.gather(answers, attempt.HandleAccepted); step == replica.Finished {
			s.tell(ctx, attempt.Voters, accept.Ballot, accept.Value)
		}
	}
	if step != replica.Finished {
		return false
	}
	for i, p := range all {
		p.done <- attempt.Outcomes()[i]
	}
	return true
}

// gather feeds answers until one completes the half of the round.
func (s *Store) gather(answers <-chan answered, take func(string, paxos.Reply) (replica.Step, error)) replica.Step {
	late := time.NewTimer(callWithin + 50*time.Millisecond)
	defer late.Stop()
	for range cap(answers) {
		select {
		case a := <-answers:
			if a.err != nil {
				continue
			}
			if step := s.taken(a, take); step != replica.Wait {
				return step
			}
		case <-late.C:
			return replica.Wait
		}
	}
	return replica.Wait
}

// taken feeds one answer.
func (s *Store) taken(a answered, take func(string, paxos.Reply) (replica.Step, error)) replica.Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.replica.Register()
	step, err := take(a.from, a.reply)
	if err != nil {
		broken(err)
	}
	if s.replica.Register() != before {
		s.learned()
	}
	return step
}

// tell tells the other voters and the learners what is chosen. Those that have accepted it need its
// ballot alone.
func (s *Store) tell(ctx context.Context, voters []string, ballot paxos.Ballot, value []byte) {
	s.mu.Lock()
	others := append(slices.Clone(voters), s.members.Learners(s.now(), voters)...)
	s.mu.Unlock()
	for _, ip := range replica.VoterIPs(others) {
		if ip == s.settings.IP {
			continue
		}
		go s.tellOne(ctx, ip, ballot, value)
	}
}

func (s *Store) tellOne(ctx context.Context, ip string, ballot paxos.Ballot, value []byte) {
	to := s.settings.Internal(ip, nodesettings.ConfigStorePort)
	var answer chosenAnswer
	err := s.caller.Call(ctx, to, callChosen, chosenCall{Ballot: ballot}, &answer, callWithin)
	if err != nil || !answer.Lacks {
		return
	}
	if err := s.caller.Call(ctx, to, callChosen, chosenCall{Ballot: ballot, Value: value}, &answer, callWithin); err != nil {
		s.log.WithFields(map[string]any{"to": ip, "err": err}).Debug("a store was not told what is chosen")
	}
}
