package virtual

import (
	"time"

	"example.org/madderdrum/limiter"
	"example.org/madderdrum/recall"
)

// memoryPolicy is a policy that exports its learned state for storage and handover.
type memoryPolicy interface {
	Remember(now float64) *limiter.Memory
	HandOver(now float64) *limiter.Memory
	Leave(now float64, most int) (told []limiter.AccountMemory, more bool)
	Reserve(headMs float64)
	BeginWrite(now float64, all bool) (*limiter.Handover, uint64)
	Accounts(now float64, most int) (told []limiter.AccountMemory, more, ok bool)
	Kept(seq uint64)
}

const (
	// writeTime is the duration of a disk write.
	writeTime    = 5 * time.Millisecond
	accountBatch = 500
)

// storedMemory is the memory on the disk of a limiter.
type storedMemory struct {
	memory *limiter.Memory
	at     time.Duration
	ended  bool // written at a graceful shutdown
}

// storeHandover stores the state of a limiter at its graceful shutdown.
func (h *host) storeHandover() {
	p, ok := h.policy.(memoryPolicy)
	if !ok || h.driver.options.MemoryInterval <= 0 {
		return
	}
	now := clockMs(h.driver.world.Now())
	m := p.HandOver(now)
	for more := true; more; {
		var accounts []limiter.AccountMemory
		accounts, more = p.Leave(now, accountBatch)
		m.Handover.Accounts = append(m.Handover.Accounts, accounts...)
	}
	h.stored = storedMemory{m, h.driver.world.Now(), true}
}

// loadMemory restores the memory that the previous process stored, and starts storing memory
// periodically.
func (h *host) loadMemory() {
	every := h.driver.options.MemoryInterval
	p, ok := h.policy.(memoryPolicy)
	if every <= 0 || !ok {
		return
	}
	now := h.driver.world.Now()
	p.Reserve(clockMs(2*every + 500*time.Millisecond))
	if k := h.stored; k.memory != nil {
		var names recall.ClassNames
		for _, c := range h.driver.options.Fleet.Classes {
			names = append(names, c.Name)
		}
		found := recall.SnapshotInfo{Age: now - k.at + h.driver.options.ExtraMemoryAge, Clean: k.ended, Intact: true, Down: now - k.at}
		if h.driver.options.AlterMemory != nil {
			h.driver.options.AlterMemory(k.memory)
		}
		if x := k.memory.Handover; x != nil {
			for i := range x.Accounts {
				x.Accounts[i].AgoMs = clockMs(now) - x.Accounts[i].AtMs
			}
		}
		h.stored = storedMemory{} // a memory is restored only once
		h.handle(limiter.Recall{Memory: recall.Decay(k.memory, found, names, names)})
	}
	epoch := h.epoch
	var keep func()
	keep = func() {
		if h.epoch != epoch {
			return
		}
		now := clockMs(h.driver.world.Now())
		m := p.Remember(now)
		var seq uint64
		m.Handover, seq = p.BeginWrite(now, true)
		for more := true; more; {
			var told []limiter.AccountMemory
			told, more, _ = p.Accounts(now, accountBatch)
			m.Handover.Accounts = append(m.Handover.Accounts, told...)
		}
		at := h.driver.world.Now()
		h.driver.after(writeTime, func() {
			if h.epoch == epoch { // otherwise it was killed during the write
				h.stored = storedMemory{m, at, false}
				p.Kept(seq)
			}
		})
		h.driver.after(every, keep)
	}
	h.driver.after(every, keep)
}
