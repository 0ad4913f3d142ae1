package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/coremembers"
	"example.org/madderdrum/control/replica"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/wait"
)

const (
	confirmInterval = 400 * time.Millisecond
	// resolveTimeout bounds a round that completes another store's unfinished round.
	resolveTimeout = 1250 * time.Millisecond
	// pendingInterval is the pause between confirmations while a round is unfinished.
	pendingInterval = 125 * time.Millisecond
)

// confirmLoop periodically proves that nothing newer is chosen, completes rounds that other stores left
// unfinished, and starts changes of voters that are due.
func (s *Store) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		pause := s.confirmOnce(ctx)
		s.startVoterChange(ctx)
		pause -= time.Since(start)
		if pause <= 0 {
			continue
		}
		timer := time.NewTimer(pause + rand.N(pause/10+time.Millisecond))
		select {
		case <-timer.C:
		case <-s.reportNow:
			wait.Sleep(ctx, 10*time.Millisecond)
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// confirmOnce runs one confirmation and returns the pause until the next one.
func (s *Store) confirmOnce(ctx context.Context) time.Duration {
	s.mu.Lock()
	identitySaved := s.identitySaved
	s.mu.Unlock()
	if !identitySaved {
		s.saveIdentity()
	}
	s.mu.Lock()
	confirmation := s.replica.Confirm(s.now())
	request := readRequest{Known: confirmation.Known(), Report: s.ownReport()}
	voters := replica.Union(s.replica.VoterSets()...)
	others := append(s.members.Learners(s.now(), voters), s.seedsToContact(voters)...)
	s.members.Forget(s.now(), voters)
	s.mu.Unlock()
	s.readAll(ctx, confirmation, request, replica.Union(voters, others))
	s.mu.Lock()
	learned, resolve, pending := confirmation.End()
	s.mu.Unlock()
	switch {
	case learned:
		return 0 // a newer value was learned; it still has to be proven
	case resolve:
		s.submit(ctx, nil, resolveTimeout)
		return pendingInterval
	case pending:
		return pendingInterval
	}
	return confirmInterval
}

// seedsToContact returns the machines named in the settings if this store is not a voter: it has to make itself
// known to them as a learner. s.mu must be held.
func (s *Store) seedsToContact(voters []string) []string {
	for _, v := range voters {
		if v == s.voterID() {
			return nil
		}
	}
	return s.seedIPs
}

// readAll asks stores what they have accepted until that proves the known value to be the newest, or until all
// have answered or timed out. Replies that arrive later are still processed.
func (s *Store) readAll(ctx context.Context, confirmation *replica.Confirmation, request readRequest, stores []string) {
	ips := replica.VoterIPs(stores)
	done := make(chan bool, len(ips))
	for _, ip := range ips {
		go func() {
			var response readResponse
			if ip == s.settings.IP {
				s.mu.Lock()
				response.Reply = s.readDurable(request.Known)
				s.mu.Unlock()
			} else if s.caller.Call(ctx, s.settings.InternalAddress(ip, nodesettings.ConfigStorePort), callRead, request, &response, callTimeout) != nil {
				done <- false
				return
			}
			done <- s.handleReadResponse(ip, confirmation, &response)
		}()
	}
	timeout := time.NewTimer(callTimeout + 50*time.Millisecond)
	defer timeout.Stop()
	for range ips {
		select {
		case proven := <-done:
			if proven {
				return
			}
		case <-timeout.C:
			return
		}
	}
}

// handleReadResponse processes one reply and reports whether the known value is now proven to be the newest.
func (s *Store) handleReadResponse(ip string, confirmation *replica.Confirmation, response *readResponse) (proven bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Heard(s.now(), response.Report)
	s.replica.LearnInitialVoters(response.InitialVoters)
	changed, err := confirmation.HandleReply(controlstate.VoterID(ip, response.Reply.Disk), response.Reply)
	if err != nil {
		panicInvariant(err)
	}
	if changed {
		s.notifyRegisterChange()
	}
	return confirmation.Proven()
}

// startVoterChange starts proposing a change of voters if one is due and none is in progress.
func (s *Store) startVoterChange(ctx context.Context) {
	s.mu.Lock()
	change, due := s.members.Plan(s.now(), s.voterState())
	if !due || s.changingVoters {
		s.mu.Unlock()
		return
	}
	s.changingVoters = true
	initialVoters := s.replica.InitialVoters()
	s.mu.Unlock()
	go func() {
		s.proposeVoterChange(ctx, change, initialVoters)
		s.mu.Lock()
		s.changingVoters = false
		s.mu.Unlock()
	}()
}

// proposeVoterChange proposes a change of voters, or completes one that is already chosen.
func (s *Store) proposeVoterChange(ctx context.Context, change coremembers.Change, initialVoters []string) {
	if !change.CompletePending {
		order := controlstate.Order{Kind: controlstate.ChangeVoters, AddVoters: change.NewVoters, RemoveVoters: change.RemoveVoters, Term: change.Term, InitialVoters: initialVoters}
		outcomes := s.submit(ctx, []controlstate.Order{order}, resolveTimeout)
		fields := logrus.Fields{"seat": change.NewVoters, "leave": change.RemoveVoters, "term": change.Term}
		if len(outcomes) != 1 {
			s.log.WithFields(fields).Info("voter change failed: no majority answered")
			return
		}
		fields["status"], fields["code"] = outcomes[0].Status, outcomes[0].Code
		s.log.WithFields(fields).Info("change of voters is answered")
	}
	s.submit(ctx, nil, resolveTimeout) // completes the chosen change
}
