package agreement

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// greetAll connects to those that this member has to hear from.
func (h *Host) greetAll() {
	for _, name := range h.asking {
		if l := h.links[name]; l != nil {
			l.open()
		}
	}
	if h.core == nil {
		return
	}
	for _, id := range h.core.conf.GetVoters() {
		if l := h.links[h.core.roster.Members[id]]; l != nil {
			l.open()
		}
	}
}

// eager tells whether links should connect with nothing to send.
func (h *Host) eager() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status.Silent || h.status.Fleet == 0
}

// hello is what this member says first. ok is false once the driver has ended.
func (h *Host) hello(ctx context.Context) (me Hello, ok bool) {
	me, err := ask(ctx, h, func() (Hello, error) { return h.me(), nil })
	return me, err == nil && me.Member != 0
}

func (h *Host) me() Hello {
	if h.f == nil {
		return Hello{}
	}
	s := h.f.self
	return Hello{Label: h.o.Label, Fleet: s.Fleet, Generation: s.Generation, Name: h.o.Name, Member: s.Member, Start: s.Start, Mark: h.mark}
}

// renamed closes when this member is no longer the one of that number.
func (h *Host) renamed(member uint64) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if member != h.member {
		gone := make(chan struct{})
		close(gone)
		return gone
	}
	return h.other
}

// greeted answers a hello.
func (h *Host) greeted(e event) {
	mine, g := h.me(), *e.hello
	r := reply{Hello: mine}
	for _, id := range h.core.conf.GetVoters() {
		r.Voters = append(r.Voters, h.core.roster.Members[id])
	}
	if _, known := h.links[g.Name]; !known && g.Name != h.o.Name {
		r.Verdict, r.Why = Foreign, fmt.Sprintf("the configuration here has no limiter %q", g.Name)
		e.answer <- r
		return
	}
	var other uint64
	if w := h.atWork[g.Name]; time.Since(w.at) < atWorkFor {
		other = w.member
	}
	var note bool
	r.Verdict, r.Why, note = judge(mine, g, h.f.heardOf(g.Member), other)
	if note {
		if err := h.f.note(g.Member, heard{g.Start, g.Mark}); err != nil {
			h.fail(err)
			r.Verdict, r.Why = Foreign, "its start could not be written down"
			e.answer <- r
			return
		}
	}
	if r.Verdict == Welcome {
		h.names[g.Member] = g.Name
		h.atWork[g.Name] = worker{g.Member, time.Now()}
		h.joiners[g.Name] = joining{Joiner{g.Name, g.Member}, time.Now()}
		if g.Fleet != 0 && mine.Fleet == 0 {
			h.adopt(g)
		}
		// All voters of the configuration may have been replaced: whoever greets a limiter
		// that is no member yet knows who votes now.
		if g.Fleet != 0 && len(r.Voters) == 0 && !slices.Contains(h.asking, g.Name) {
			h.asking = append(h.asking, g.Name)
		}
	}
	e.answer <- r
	if r.Verdict == Behind {
		h.begone(r.Why)
	}
}

// wasAnswered takes in what another one thinks of this member.
func (h *Host) wasAnswered(e event) {
	r := e.answered
	if e.member != h.core.id {
		return // it was another one then
	}
	for _, v := range r.Voters {
		if !slices.Contains(h.asking, v) && h.links[v] != nil {
			h.asking = append(h.asking, v)
		}
	}
	switch r.Verdict {
	case Welcome:
		h.welcomed[r.Hello.Member] = true
		h.names[r.Hello.Member] = e.from
		if h.f.self.Fleet == 0 && r.Hello.Fleet != 0 && r.Hello.Label == h.o.Label {
			h.adopt(r.Hello)
		}
	case OldFolder, Outdone:
		h.begone(r.Why)
	case Behind: // it sets its own folder aside and comes back
	default:
		h.warn("not welcome at another limiter", "limiter", e.from, "verdict", r.Verdict.String(), "why", r.Why)
	}
}

// adopt joins the fleet of another member.
func (h *Host) adopt(of Hello) {
	if err := h.f.join(of.Fleet, of.Generation); err != nil {
		h.fail(err)
		return
	}
	h.log.Info("found the fleet", "fleet", fmt.Sprintf("%016x", of.Fleet), "generation", of.Generation, "at", of.Name)
}

// begone sets this member's folder aside and goes on as another one, that knows nothing.
func (h *Host) begone(why string) {
	h.log.Warn("setting the fleet's folder aside: this limiter learns the fleet anew and does not vote", "why", why)
	f, err := h.f.setAside()
	if err != nil {
		h.fail(err)
		return
	}
	h.f = f
	h.becomeOther()
	if err := h.openCore(); err != nil {
		h.fail(err)
	}
	h.greetAll()
}

// becomeOther ends connections that were opened as the member of before.
func (h *Host) becomeOther() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.other)
	h.other, h.member = make(chan struct{}), h.f.self.Member
}

// silent tells whether this member may not speak yet.
func (h *Host) silent() bool {
	return h.core == nil || !h.spoke && silent(h.core.conf.GetVoters(), h.core.id, h.welcomed)
}
