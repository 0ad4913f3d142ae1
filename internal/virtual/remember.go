package virtual

import (
	"time"

	"example.org/madderdrum/limiter"
	"example.org/madderdrum/recall"
)

// rememberer is a policy that tells what it has learnt.
type rememberer interface {
	Remember(now float64) *limiter.Memory
	HandOver(now float64) *limiter.Memory
	Leave(now float64, most int) (told []limiter.AccountMemory, more bool)
	Reserve(headMs float64)
	BeginWrite(now float64, all bool) (*limiter.Handover, uint64)
	Accounts(now float64, most int) (told []limiter.AccountMemory, more, ok bool)
	Kept(seq uint64)
}

const (
	// writeTime is how long the disk takes for a write.
	writeTime = 5 * time.Millisecond
	tellBatch = 500
)

// kept is what stands on the disk of a limiter.
type kept struct {
	memory *limiter.Memory
	at     time.Duration
	ended  bool // its limiter had ended
}

// handOver keeps what a limiter that ends in good order held.
func (h *host) handOver() {
	p, ok := h.policy.(rememberer)
	if !ok || h.d.o.Remember <= 0 {
		return
	}
	now := ms(h.d.w.Now())
	m := p.HandOver(now)
	for more := true; more; {
		var told []limiter.AccountMemory
		told, more = p.Leave(now, tellBatch)
		m.Handover.Accounts = append(m.Handover.Accounts, told...)
	}
	h.kept = kept{m, h.d.w.Now(), true}
}

// recall hands what the life before has kept to one that begins, and has this one keep what
// it learns.
func (h *host) recall() {
	every := h.d.o.Remember
	p, ok := h.policy.(rememberer)
	if every <= 0 || !ok {
		return
	}
	now := h.d.w.Now()
	p.Reserve(ms(2*every + 500*time.Millisecond))
	if k := h.kept; k.memory != nil {
		var names recall.ClassNames
		for _, c := range h.d.o.Fleet.Classes {
			names = append(names, c.Name)
		}
		found := recall.SnapshotInfo{Age: now - k.at + h.d.o.RememberAge, Clean: k.ended, Intact: true, Down: now - k.at}
		if h.d.o.Distort != nil {
			h.d.o.Distort(k.memory)
		}
		if x := k.memory.Handover; x != nil {
			for i := range x.Accounts {
				x.Accounts[i].AgoMs = ms(now) - x.Accounts[i].AtMs
			}
		}
		h.kept = kept{} // it may be had once
		h.handle(limiter.Recall{Memory: recall.Decay(k.memory, found, names, names)})
	}
	epoch := h.epoch
	var keep func()
	keep = func() {
		if h.epoch != epoch {
			return
		}
		now := ms(h.d.w.Now())
		m := p.Remember(now)
		var seq uint64
		m.Handover, seq = p.BeginWrite(now, true)
		for more := true; more; {
			var told []limiter.AccountMemory
			told, more, _ = p.Accounts(now, tellBatch)
			m.Handover.Accounts = append(m.Handover.Accounts, told...)
		}
		at := h.d.w.Now()
		h.d.after(writeTime, func() {
			if h.epoch == epoch { // else it was killed in the midst of the write
				h.kept = kept{m, at, false}
				p.Kept(seq)
			}
		})
		h.d.after(every, keep)
	}
	h.d.after(every, keep)
}
