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
	confirmEvery = 400 * time.Millisecond
	// resolveWithin bounds a round that completes what another store has left half done.
	resolveWithin = 1250 * time.Millisecond
	// pendingPause is the pause while there is something half done.
	pendingPause = 125 * time.Millisecond
)

// confirm proves at intervals that nothing newer is chosen, completes what another has left half
// done, and has the voters changed where that is due.
func (s *Store) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		pause := s.confirmOnce(ctx)
		s.reseat(ctx)
		pause -= time.Since(begun)
		if pause <= 0 {
			continue
		}
		timer := time.NewTimer(pause + rand.N(pause/10+time.Millisecond))
		select {
		case <-timer.C:
		case <-s.reportIn:
			wait.Sleep(ctx, 10*time.Millisecond)
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// confirmOnce holds one confirmation and returns the pause until the next.
func (s *Store) confirmOnce(ctx context.Context) time.Duration {
	s.mu.Lock()
	identified := s.identified
	s.mu.Unlock()
	if !identified {
		s.identify()
	}
	s.mu.Lock()
	confirmation := s.replica.Confirm(s.now())
	ask := readCall{Known: confirmation.Known(), Report: s.report()}
	voters := replica.Union(s.replica.VoterSets()...)
	others := append(s.members.Learners(s.now(), voters), s.strangers(voters)...)
	s.members.Forget(s.now(), voters)
	s.mu.Unlock()
	s.readAll(ctx, confirmation, ask, replica.Union(voters, others))
	s.mu.Lock()
	learnt, resolve, pending := confirmation.End()
	s.mu.Unlock()
	switch {
	case learnt:
		return 0 // the proof is still to come
	case resolve:
		s.submit(ctx, nil, resolveWithin)
		return pendingPause
	case pending:
		return pendingPause
	}
	return confirmEvery
}

// strangers are the machines that the settings name, where this store has no vote: it has to make
// itself known. The mutex is held.
func (s *Store) strangers(voters []string) []string {
	for _, v := range voters {
		if v == s.voter() {
			return nil
		}
	}
	return s.contacts
}

// readAll asks stores what they have accepted, until that proves what is known or all have answered.
// What comes later is taken in too.
func (s *Store) readAll(ctx context.Context, confirmation *replica.Confirmation, ask readCall, voters []string) {
	ips := replica.VoterIPs(voters)
	done := make(chan bool, len(ips))
	for _, ip := range ips {
		go func() {
			var answer readAnswer
			if ip == s.settings.IP {
				s.mu.Lock()
				answer.Reply = s.readDurable(ask.Known)
				s.mu.Unlock()
			} else if s.caller.Call(ctx, s.settings.Internal(ip, nodesettings.ConfigStorePort), callRead, ask, &answer, callWithin) != nil {
				done <- false
				return
			}
			done <- s.hearRead(ip, confirmation, &answer)
		}()
	}
	late := time.NewTimer(callWithin + 50*time.Millisecond)
	defer late.Stop()
	for range ips {
		select {
		case proven := <-done:
			if proven {
				return
			}
		case <-late.C:
			return
		}
	}
}

// hearRead takes in one answer and tells whether what is known is proven.
func (s *Store) hearRead(ip string, confirmation *replica.Confirmation, answer *readAnswer) (proven bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Heard(s.now(), answer.Report)
	s.replica.LearnInitialVoters(answer.InitialVoters)
	changed, err := confirmation.HandleReply(controlstate.VoterID(ip, answer.Reply.Disk), answer.Reply)
	if err != nil {
		broken(err)
	}
	if changed {
		s.learned()
	}
	return confirmation.Proven()
}

// reseat proposes a change of voters where one is due.
func (s *Store) reseat(ctx context.Context) {
	s.mu.Lock()
	change, due := s.members.Plan(s.now(), s.state())
	if !due || s.reseating {
		s.mu.Unlock()
		return
	}
	s.reseating = true
	first := s.replica.InitialVoters()
	s.mu.Unlock()
	go func() {
		s.proposeVoters(ctx, change, first)
		s.mu.Lock()
		s.reseating = false
		s.mu.Unlock()
	}()
}

func (s *Store) proposeVoters(ctx context.Context, change coremembers.Change, first []string) {
	if !change.CompletePending {
		order := controlstate.Order{Kind: controlstate.ChangeVoters, AddVoters: change.NewVoters, RemoveVoters: change.RemoveVoters, Term: change.Term, InitialVoters: first}
		out := s.submit(ctx, []controlstate.Order{order}, resolveWithin)
		fields := logrus.Fields{"seat": change.NewVoters, "leave": change.RemoveVoters, "term": change.Term}
		if len(out) != 1 {
			s.log.WithFields(fields).Info("change of voters has no majority")
			return
		}
		fields["status"], fields["code"] = out[0].Status, out[0].Code
		s.log.WithFields(fields).Info("change of voters is answered")
	}
	s.submit(ctx, nil, resolveWithin) // completes the change, which is chosen
}
