package virtual

import (
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/recall"
)

// rememberer is a policy that tells what it has learnt.
type rememberer interface {
	Remember(now float64) *limiter.Memory
	HandOver(now float64) *limiter.Memory
}

// handOver keeps what a limiter that ends in good order held.
func (h *host) handOver() {
	if p, ok := h.policy.(rememberer); ok && h.d.o.Remember > 0 {
		h.memory, h.rememberAt = p.HandOver(ms(h.d.w.Now())), h.d.w.Now()
	}
}

// recall hands what the life before has kept to one that begins, and has this one keep what
// it learns.
func (h *host) recall() {
	every := h.d.o.Remember
	if every <= 0 {
		return
	}
	now := h.d.w.Now()
	if h.memory != nil {
		var names recall.Names
		for _, c := range h.d.o.Fleet.Classes {
			names = append(names, c.Name)
		}
		since := now - h.rememberAt
		m := recall.Aged(h.memory, recall.Found{Age: since, Clean: true, Down: since}, names, names)
		h.memory = nil // it may be had once
		h.handle(limiter.Recall{Memory: m})
	}
	epoch := h.epoch
	var keep func()
	keep = func() {
		if h.epoch != epoch {
			return
		}
		if p, ok := h.policy.(rememberer); ok {
			h.memory, h.rememberAt = p.Remember(ms(h.d.w.Now())), h.d.w.Now()
		}
		h.d.after(every, keep)
	}
	h.d.after(every, keep)
}
