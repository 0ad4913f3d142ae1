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
	o := ownership.Options{Terms: terms, Admins: map[string]string{}, Limiter: d, Log: log, Steward: c.Duties.Ceilings == "steward",
		Agreement: agreement.Options{Label: c.Duties.Label, Name: me.Name, Folder: filepath.Join(c.Duties.Folder, me.Name), Listen: me.Fleet,
			Voters: c.Duties.Voters, Peers: map[string]string{}}}
	for _, l := range c.Fleet.Limiters {
		o.Limiters = append(o.Limiters, l.Name)
		o.Agreement.Peers[l.Name] = l.Fleet
		if l.Admin != "" {
			o.Admins[l.Name] = l.Admin
		}
	}
	if c.Duties.Watch == "room" {
		o.Rooms, o.Eyes = map[string]string{}, d
		for _, l := range c.Fleet.Limiters {
			o.Rooms[l.Name] = c.Fleet.Rooms[l.Room]
		}
	}
	var err error
	d.service, err = ownership.Open(o)
	return d, err
}

// streams are the calls that it answers on the operators' address.
func (d *duties) streams() map[string]admin.Stream {
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
func (d *duties) Asked() (all []parts.Report) {
	if n := d.node.Load(); n != nil {
		for _, x := range n.Demands() {
			all = append(all, parts.Report(x))
		}
	}
	return all
}

// Hold implements ownership.Limiter.
func (d *duties) Hold(of map[uint64]float64, rest float64) {
	if n := d.node.Load(); n != nil {
		n.Hold(of, rest)
	}
}

// looks are those of other limiters for this one; nil: it looks for itself.
func (d *duties) looks() node.ProbeSharing {
	if l := d.service.Lookout(); l != nil {
		return l
	}
	return nil
}

// Look implements ownership.Eyes, as what follows does.
func (d *duties) Look(box uint64) {
	if n := d.node.Load(); n != nil {
		n.Look(box)
	}
}

// Word implements ownership.Eyes.
func (d *duties) Word(box uint64, well bool) {
	if n := d.node.Load(); n != nil {
		n.Word(box, well)
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
func (d *duties) Whole(pool string) (seq int64, hosts []byte, ok bool) {
	if n := d.node.Load(); n != nil {
		return n.Whole(pool)
	}
	return 0, nil, false
}

// Told implements ownership.Eyes.
func (d *duties) Told(pool string, seq int64, whole bool, hosts []byte) error {
	if n := d.node.Load(); n != nil {
		return n.Told(pool, seq, whole, hosts)
	}
	return lifecycle.ErrStarting
}

// Follow implements ownership.Eyes.
func (d *duties) Follow(pool string, hold time.Duration) {
	if n := d.node.Load(); n != nil {
		n.Follow(pool, hold)
	}
}

// Standing implements ownership.Limiter.
func (d *duties) Standing() ownership.Standing {
	s := ownership.Standing{Start: d.service.Start()}
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
