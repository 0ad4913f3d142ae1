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

// duties connects a limiter to the ownership service, which assigns the duties of its fleet.
// It implements the interfaces through which that service calls the limiter.
type duties struct {
	service *ownership.Service
	node    atomic.Pointer[node.Node] // nil until the node has started
	stop    func()
}

// newDuties opens the ownership service; it returns nil if the configuration has no fleet block.
func newDuties(c *config.Config, position int, stop func(), log *slog.Logger) (*duties, error) {
	if c.Duties.Folder == "" {
		return nil, nil
	}
	d := &duties{stop: stop}
	terms := tenure.DefaultSettings()
	terms.Guard = terms.Guard * c.Duties.Term / terms.Term
	terms.Term, terms.Drift = c.Duties.Term, c.Duties.Drift
	self := c.Fleet.Limiters[position]
	o := ownership.Options{Terms: terms, AdminAddrs: map[string]string{}, Limiter: d, Log: log, Steward: c.Duties.Ceilings == "steward",
		Agreement: agreement.Options{Label: c.Duties.Label, Name: self.Name, Folder: filepath.Join(c.Duties.Folder, self.Name), Listen: self.Fleet,
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

// adminStreams returns the handlers of the fleet calls on the admin address.
func (d *duties) adminStreams() map[string]admin.Stream {
	return map[string]admin.Stream{ownership.Name: d.service.Serve}
}

// Drain implements ownership.Limiter; it fails until the node has started.
func (d *duties) Drain() error {
	if n := d.node.Load(); n != nil {
		return n.Drain()
	}
	return lifecycle.ErrStarting
}

// Resume implements ownership.Limiter; it fails until the node has started.
func (d *duties) Resume() error {
	if n := d.node.Load(); n != nil {
		return n.Resume()
	}
	return lifecycle.ErrStarting
}

// Leave implements ownership.Limiter by stopping the process.
func (d *duties) Leave() { d.stop() }

// DemandReports implements ownership.Limiter with the node's demand for each account.
func (d *duties) DemandReports() (all []parts.Report) {
	if n := d.node.Load(); n != nil {
		for _, x := range n.Demands() {
			all = append(all, parts.Report(x))
		}
	}
	return all
}

// UseShares implements ownership.Limiter by passing the shares of ceilings to the node.
func (d *duties) UseShares(of map[uint64]float64, rest float64) {
	if n := d.node.Load(); n != nil {
		n.UseShares(of, rest)
	}
}

// probeSharing returns the sharing of probe results between limiters; nil if this limiter probes by itself.
func (d *duties) probeSharing() node.ProbeSharing {
	if l := d.service.Watcher(); l != nil {
		return l
	}
	return nil
}

// Probe implements ownership.Prober by probing one box.
func (d *duties) Probe(box uint64) {
	if n := d.node.Load(); n != nil {
		n.Probe(box)
	}
}

// ApplyVerdict implements ownership.Prober by applying the room leader's verdict on a box.
func (d *duties) ApplyVerdict(box uint64, well bool) {
	if n := d.node.Load(); n != nil {
		n.ApplyVerdict(box, well)
	}
}

// Pools implements ownership.Prober with the names of the node's pools.
func (d *duties) Pools() []string {
	if n := d.node.Load(); n != nil {
		return n.Pools()
	}
	return nil
}

// FullList implements ownership.Prober with this limiter's own full server list of a pool.
func (d *duties) FullList(pool string) (seq int64, hosts []byte, ok bool) {
	if n := d.node.Load(); n != nil {
		return n.FullList(pool)
	}
	return 0, nil, false
}

// ApplyList implements ownership.Prober by applying the room leader's server list of a pool.
func (d *duties) ApplyList(pool string, seq int64, whole bool, hosts []byte) error {
	if n := d.node.Load(); n != nil {
		return n.ApplyList(pool, seq, whole, hosts)
	}
	return lifecycle.ErrStarting
}

// PollAgent implements ownership.Prober by polling the discovery agent of a pool.
func (d *duties) PollAgent(pool string, hold time.Duration) {
	if n := d.node.Load(); n != nil {
		n.PollAgent(pool, hold)
	}
}

// LimiterStatus implements ownership.Limiter with the node's health and request counts.
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
