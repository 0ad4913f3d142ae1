//go:build !platform

package main

import (
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/admin"
	"example.org/madderdrum/internal/agreement"
	"example.org/madderdrum/internal/node"
	"example.org/madderdrum/internal/ownership"
	"example.org/madderdrum/lifecycle"
	"example.org/madderdrum/parts"
	"example.org/madderdrum/tenure"
)

// duties is a limiter's part in the duties of its fleet, and the limiter as those see it.
type duties struct {
	service *ownership.Service
	node    atomic.Pointer[node.Node] // set before calls come
	stop    func()
}

// newDuties opens the limiter's part; nil where the configuration has no fleet block.
func newDuties(c *config.Config, position int, stop func(), log *slog.Logger) (*duties, error) {
	if c.Duties.Folder == "" {
		return nil, nil
	}
	d := &duties{stop: stop}
	terms := tenure.DefaultSettings()
	terms.Guard = terms.Guard * c.Duties.Term / terms.Term
	terms.Term, terms.Drift = c.Duties.Term, c.Duties.Drift
	me := c.Fleet.Limiters[position]
	o := ownership.Options{Terms: terms, AdminAddrs: map[string]string{}, Limiter: d, Log: log, Steward: c.Duties.Ceilings == "steward",
		Agreement: agreement.Options{Label: c.Duties.Label, Name: me.Name, Folder: filepath.Join(c.Duties.Folder, me.Name), Listen: me.Fleet,
			Voters: c.Duties.Voters, Peers: map[string]string{}}}
	for _, l := range c.Fleet.Limiters {
		o.Limiters = append(o.Limiters, l.Name)
		o.Agreement.Peers[l.Name] = l.Fleet
		if l.Admin != "" {
			o.AdminAddrs[l.Name] = l.Admin
		}
	}
	if c.Duties.Watch == "room" {
		o.Rooms, o.Prober = map[string]string{}, d
		for _, l := range c.Fleet.Limiters {
			o.Rooms[l.Name] = c.Fleet.Rooms[l.Room]
		}
	}
	var err error
	d.service, err = ownership.Open(o)
	return d, err
}

// streams are the calls that it answers on the operators' address.
func (d *duties) adminStreams() map[string]admin.Stream {
	return map[string]admin.Stream{ownership.Name: d.service.Serve}
}

// Drain implements ownership.Limiter.
func (d *duties) Drain() error {
	if n := d.node.Load(); n != nil {
		return n.Drain()
	}
	return lifecycle.ErrStarting
}

// Resume implements ownership.Limiter.
func (d *duties) Resume() error {
	if n := d.node.Load(); n != nil {
		return n.Resume()
	}
	return lifecycle.ErrStarting
}

// Leave implements ownership.Limiter.
func (d *duties) Leave() { d.stop() }

// Asked implements ownership.Limiter.
func (d *duties) DemandReports() (all []parts.Report) {
	if n := d.node.Load(); n != nil {
		for _, x := range n.Demands() {
			all = append(all, parts.Report(x))
		}
	}
	return all
}

// Hold implements ownership.Limiter.
func (d *duties) UseShares(of map[uint64]float64, rest float64) {
	if n := d.node.Load(); n != nil {
		n.UseShares(of, rest)
	}
}

// looks are those of other limiters for this one; nil: it looks for itself.
func (d *duties) probeSharing() node.ProbeSharing {
	if l := d.service.Watcher(); l != nil {
		return l
	}
	return nil
}

// Look implements ownership.Eyes, as what follows does.
func (d *duties) Probe(box uint64) {
	if n := d.node.Load(); n != nil {
		n.Probe(box)
	}
}

// Word implements ownership.Eyes.
func (d *duties) ApplyVerdict(box uint64, well bool) {
	if n := d.node.Load(); n != nil {
		n.ApplyVerdict(box, well)
	}
}

// Pools implements ownership.Eyes.
func (d *duties) Pools() []string {
	if n := d.node.Load(); n != nil {
		return n.Pools()
	}
	return nil
}

// Whole implements ownership.Eyes.
func (d *duties) FullList(pool string) (seq int64, hosts []byte, ok bool) {
	if n := d.node.Load(); n != nil {
		return n.FullList(pool)
	}
	return 0, nil, false
}

// Told implements ownership.Eyes.
func (d *duties) ApplyList(pool string, seq int64, whole bool, hosts []byte) error {
	if n := d.node.Load(); n != nil {
		return n.ApplyList(pool, seq, whole, hosts)
	}
	return lifecycle.ErrStarting
}

// Follow implements ownership.Eyes.
func (d *duties) PollAgent(pool string, hold time.Duration) {
	if n := d.node.Load(); n != nil {
		n.PollAgent(pool, hold)
	}
}

// Standing implements ownership.Limiter.
func (d *duties) LimiterStatus() ownership.LimiterStatus {
	s := ownership.LimiterStatus{Start: d.service.Start()}
	n := d.node.Load()
	if n == nil {
		return s
	}
	phase, healthy := n.Phase()
	f := n.Figures()
	s.Ready, s.Draining, s.InHand = healthy, phase == lifecycle.Draining, int(f.InProgress)
	for _, x := range f.Handled {
		s.Passed += x.Passed
		s.Refused += x.Dropped + x.BadGateway
	}
	return s
}
