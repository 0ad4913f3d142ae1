package agreement

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// greetAll connects to the limiters in greetTargets and to all voters.
func (h *Host) greetAll() {
	for _, name := range h.greetTargets {
		if l := h.links[name]; l != nil {
			l.connect()
		}
	}
	if h.core == nil {
		return
	}
	for _, id := range h.core.confState.GetVoters() {
		if l := h.links[h.core.roster.Members[id]]; l != nil {
			l.connect()
		}
	}
}

// keepsConnecting reports whether links should connect even with nothing to send.
func (h *Host) keepsConnecting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status.Silent || h.status.Fleet == 0
}

// currentHello returns this member's hello. ok is false if ctx is done, the driver has ended or the folder
// is closed.
func (h *Host) currentHello(ctx context.Context) (localHello Hello, ok bool) {
	localHello, err := runOnDriver(ctx, h, func() (Hello, error) { return h.localHello(), nil })
	return localHello, err == nil && localHello.Member != 0
}

func (h *Host) localHello() Hello {
	if h.dataFolder == nil {
		return Hello{}
	}
	identity := h.dataFolder.self
	return Hello{Label: h.options.Label, Fleet: identity.Fleet, Generation: identity.Generation, Name: h.options.Name,
		Member: identity.Member, Start: identity.Start, Mark: h.processMark}
}

// replacedSignal returns a channel that is closed once this process no longer has the given member ID.
func (h *Host) replacedSignal(member uint64) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if member != h.member {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return h.memberReplaced
}

// handleHello decides on a received hello and answers it.
func (h *Host) handleHello(e event) {
	own, peer := h.localHello(), *e.hello
	response := reply{Hello: own}
	for _, id := range h.core.confState.GetVoters() {
		response.Voters = append(response.Voters, h.core.roster.Members[id])
	}
	if _, known := h.links[peer.Name]; !known && peer.Name != h.options.Name {
		response.Verdict, response.Why = Foreign, fmt.Sprintf("the configuration here has no limiter %q", peer.Name)
		e.answer <- response
		return
	}
	var activeID uint64
	if active := h.activeMembers[peer.Name]; time.Since(active.at) < activeWindow {
		activeID = active.member
	}
	var recordIncarnation bool
	response.Verdict, response.Why, recordIncarnation = judgeHello(own, peer, h.dataFolder.lastIncarnation(peer.Member), activeID)
	if recordIncarnation {
		if err := h.dataFolder.recordIncarnation(peer.Member, incarnation{peer.Start, peer.Mark}); err != nil {
			h.suspend(err)
			response.Verdict, response.Why = Foreign, "its start could not be written down"
			e.answer <- response
			return
		}
	}
	if response.Verdict == Welcome {
		h.memberNames[peer.Member] = peer.Name
		h.activeMembers[peer.Name] = activeMember{peer.Member, time.Now()}
		h.joinRequests[peer.Name] = joinRequest{Joiner{peer.Name, peer.Member}, time.Now()}
		if peer.Fleet != 0 && own.Fleet == 0 {
			h.adoptFleet(peer)
		}
		// All voters named in the configuration may have been replaced. A peer that sends a hello to a
		// limiter that is not a member yet knows the current voters, so this limiter contacts it.
		if peer.Fleet != 0 && len(response.Voters) == 0 && !slices.Contains(h.greetTargets, peer.Name) {
			h.greetTargets = append(h.greetTargets, peer.Name)
		}
	}
	e.answer <- response
	if response.Verdict == SelfSuperseded {
		h.resetMember(response.Why)
	}
}

// handleReply processes the answer to a hello that this member sent.
func (h *Host) handleReply(e event) {
	answer := e.helloReply
	if e.member != h.core.id {
		return // sent under a former member ID
	}
	for _, voter := range answer.Voters {
		if !slices.Contains(h.greetTargets, voter) && h.links[voter] != nil {
			h.greetTargets = append(h.greetTargets, voter)
		}
	}
	switch answer.Verdict {
	case Welcome:
		h.welcomedBy[answer.Hello.Member] = true
		h.memberNames[answer.Hello.Member] = e.from
		if h.dataFolder.self.Fleet == 0 && answer.Hello.Fleet != 0 && answer.Hello.Label == h.options.Label {
			h.adoptFleet(answer.Hello)
		}
	case StaleFolder, PeerSuperseded:
		h.resetMember(answer.Why)
	case SelfSuperseded: // the peer sets its own folder aside and reconnects
	default:
		h.warn("not welcome at another limiter", "limiter", e.from, "verdict", answer.Verdict.String(), "why", answer.Why)
	}
}

// adoptFleet records that this member belongs to the fleet of a peer.
func (h *Host) adoptFleet(peer Hello) {
	if err := h.dataFolder.joinFleet(peer.Fleet, peer.Generation); err != nil {
		h.suspend(err)
		return
	}
	h.log.Info("found the fleet", "fleet", fmt.Sprintf("%016x", peer.Fleet), "generation", peer.Generation, "at", peer.Name)
}

// resetMember sets the folder aside and continues as a new member with an empty log.
func (h *Host) resetMember(reason string) {
	h.log.Warn("setting the fleet's folder aside: this limiter learns the fleet anew and does not vote", "why", reason)
	dataFolder, err := h.dataFolder.setAside()
	if err != nil {
		h.suspend(err)
		return
	}
	h.dataFolder = dataFolder
	h.signalReplaced()
	if err := h.openCore(); err != nil {
		h.suspend(err)
	}
	h.greetAll()
}

// signalReplaced ends the connections that were opened under the former member ID.
func (h *Host) signalReplaced() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.memberReplaced)
	h.memberReplaced, h.member = make(chan struct{}), h.dataFolder.self.Member
}

// mustStaySilent reports whether this member must not send Raft messages yet.
func (h *Host) mustStaySilent() bool {
	return h.core == nil || !h.participating && mustStaySilent(h.core.confState.GetVoters(), h.core.id, h.welcomedBy)
}
