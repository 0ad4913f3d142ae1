package proxy

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/control/configdelta"
	"example.org/madderdrum/control/configuration"
	"example.org/madderdrum/control/freshness"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/registry"
	"example.org/madderdrum/internal/wait"
	"example.org/madderdrum/traffic/directory"
)

const (
	pullHold  = 1000 * time.Millisecond
	pullSlack = 450 * time.Millisecond // beyond what is held
	mostNamed = 64                     // limiters in an answer of the directory
)

// pulls keeps asking a core machine for what this limiter lacks. One that does not answer, or
// has no proof that it is up to date, is left for the next.
func (y *Proxy) pulls(ctx context.Context) {
	k := rand.IntN(1 << 10)
	for failed := 0; ctx.Err() == nil; {
		cores := y.coresToAsk(failed)
		k %= len(cores)
		to := y.set.Internal(cores[k], nodesettings.RegistryPort)
		if y.pull(ctx, to) {
			failed = 0
			continue
		}
		k++
		if failed++; failed >= len(cores) {
			wait.Sleep(ctx, 50*time.Millisecond+rand.N(150*time.Millisecond))
		}
	}
}

// coresToAsk are the core machines to ask after so many failures in a row.
func (y *Proxy) coresToAsk(failed int) []string {
	y.mu.Lock()
	defer y.mu.Unlock()
	if failed < len(y.cores) {
		return slices.Clone(y.cores)
	}
	return append(slices.Clone(y.cores), y.darkCores...)
}

// meet works out which core machines to ask: those that the settings name and those that the book
// knows to run. Machines that the book takes for dark are asked only when no other one answers. The
// mutex is held.
func (y *Proxy) meet() {
	named, running, dark := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, ip := range y.seeds {
		named[ip] = true
	}
	y.book.Each(y.now(), func(r catalog.Record) {
		switch {
		case r.Service != catalog.Cores:
		case r.State == catalog.Available:
			named[r.Address], running[r.Address] = true, true
		default: // a life that is over
			dark[r.Address] = true
		}
	})
	y.cores, y.darkCores = nil, nil
	for _, ip := range slices.Sorted(maps.Keys(named)) {
		if dark[ip] && !running[ip] {
			y.darkCores = append(y.darkCores, ip)
		} else {
			y.cores = append(y.cores, ip)
		}
	}
}

// pull asks once and takes in the answer. It tells whether the other may be asked again.
func (y *Proxy) pull(ctx context.Context, to string) bool {
	y.mu.Lock()
	y.sequence++
	hold := pullHold
	me := &catalog.Record{ID: y.self, Service: catalog.Limiters, Address: y.set.Listen["frontend"], Zone: y.set.Zone, Sequence: y.sequence}
	if y.leaving.Load() {
		me.State = catalog.Draining
	} else if y.engine == nil || !y.serving {
		me.State, hold = catalog.Draining, pullHold/2 // nobody is to be led here yet
	}
	ask := registry.Pull{Vector: maps.Clone(y.book.Vector()), Seq: y.reg.Seq, Me: me, Version: y.reg.Version, Done: y.done}
	if y.desk != nil {
		ask.LoansMs = uint64(math.Ceil(y.desk.LoansEndIn(y.now())))
	}
	if y.wantsWhole {
		ask.Version, ask.Whole = 0, true
	}
	givesBack := y.done && y.slot() < 0 // this call tells that the place is given back
	if givesBack {
		hold = 0
	}
	ask.HoldMs = uint64(hold / time.Millisecond)
	y.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	poked := make(chan struct{})
	go func() {
		defer close(poked)
		select {
		case <-y.nudge:
			cancel()
		case <-ctx.Done():
		}
	}()
	var a registry.Pulled
	begun := time.Now()
	err := y.caller.Call(ctx, to, registry.CallPull, ask, &a, hold+pullSlack)
	asked := ctx.Err() == nil
	cancel()
	<-poked
	if err != nil {
		return !asked // it was this limiter that gave up
	}
	y.take(begun, &a)
	if givesBack {
		y.mu.Lock()
		y.givenBack = true
		y.mu.Unlock()
	}
	return freshness.Source{Apart: a.Apart, Proven: a.Proven, Age: time.Duration(a.ProofMs) * time.Millisecond}.Usable()
}

// take takes in what a core machine told. begun is when it was asked.
func (y *Proxy) take(begun time.Time, a *registry.Pulled) {
	y.mu.Lock()
	defer y.mu.Unlock()
	news := len(y.book.Merge(y.now(), a.Records)) > 0
	ended := !y.lease.Valid(time.Since(y.begun))
	y.book.Know(a.Vector)
	if a.Register != nil && a.Register.Seq > y.reg.Seq {
		// What this limiter has is left out, as it was when it asked: nothing else changes it.
		if !y.complete(a) {
			return // the proof is of a register that this limiter does not have
		}
		y.prove(begun, a)
		y.adopt(a)
		news = true
	} else {
		y.prove(begun, a)
	}
	y.renewed(ended)
	if news {
		y.meet()
		y.setMembers()
		y.relist()
	}
}

// prove takes in how old a core machine's proof is that the register which it told, or an older one than
// this limiter has, is current. The mutex is held.
func (y *Proxy) prove(begun time.Time, a *registry.Pulled) {
	if !a.Proven {
		return
	}
	at := begun.Add(time.Duration(a.HeldMs)*time.Millisecond - time.Duration(a.ProofMs)*time.Millisecond)
	if at.After(y.proved) {
		y.proved = at
	}
	y.lease.Renew(at.Sub(y.begun), 0)
}

// complete puts into a register that was told what was left out of it: what this limiter had when it
// asked, which nothing else changes. It tells whether the register is whole now. The mutex is held.
func (y *Proxy) complete(a *registry.Pulled) bool {
	r := a.Register
	switch {
	case r.Version == y.reg.Version:
		r.Config = y.reg.Config
	case len(a.ConfigDelta) > 0:
		text, err := configdelta.Apply(y.reg.Config, a.ConfigDelta)
		if err != nil {
			y.log.WithField("err", err).Warn("difference of configurations does not fit: the whole is asked for")
			y.wantsWhole = true
			return false
		}
		r.Config = text
	}
	if a.Places != nil {
		all, ok := a.Places.Apply(y.reg.Places)
		if !ok {
			y.log.Warn("difference of places does not fit: the whole is asked for")
			y.wantsWhole = true
			return false
		}
		r.Places = all
	}
	y.wantsWhole = false
	return true
}

// adopt has a newer register hold. The mutex is held.
func (y *Proxy) adopt(a *registry.Pulled) {
	reg := a.Register
	evacuate := map[string]bool{}
	for _, z := range reg.Evac {
		evacuate[z] = true
	}
	var table *configuration.Table
	if v := y.view.Load(); v != nil {
		table = v.table
	}
	if len(reg.Config) > 0 && reg.Version != y.reg.Version {
		t, fault := configuration.Read(reg.Config)
		if fault != nil { // the core checks before it takes one
			y.log.WithField("err", fault).Error("configuration can't be read")
			y.endLease() // the proof is of a register that does not hold here
			return
		}
		table = t
	}
	if table != nil {
		y.view.Store(&view{table: table, seq: reg.Seq})
	}
	for z := range y.evacuate {
		if !evacuate[z] { // its servers may be cold, and the beats that tell are late
			y.rest(z, table)
		}
	}
	y.evacuate, y.reg = evacuate, reg
	y.neighbours = neighboursOf(reg.Places, y.set.Node, y.set.Zone, y.set.Region, y.set.Zones)
	y.takePlaces()
	y.log.WithFields(logrus.Fields{"seq": reg.Seq, "version": reg.Version, "limiters": y.limiters, "evacuated": len(evacuate)}).Info("register is in force")
	y.updateEngine(table)
}

// rest holds the servers of a zone for cold until they can't be any more. The mutex is held.
func (y *Proxy) rest(zone string, table *configuration.Table) {
	y.book.Each(y.now(), func(r catalog.Record) {
		if r.Zone == zone && table != nil {
			if s := table.Services[r.Service]; s != nil {
				y.coldTo[r.ID] = time.Now().Add(s.Warmup)
			}
		}
	})
}

// nearby lists the limiters that clients of a zone are sent to for a host, near ones first.
func (y *Proxy) nearby(host, zone, region string) []string {
	var homes []string
	bound := false
	if v := y.view.Load(); v != nil && v.table != nil {
		homes, bound = v.table.HostHomes(host)
	}
	serves := func(region string) bool { return !bound || slices.Contains(homes, region) }
	y.mu.Lock()
	defer y.mu.Unlock()
	var all []directory.Limiter
	y.book.Each(y.now(), func(r catalog.Record) {
		if name, _, _ := strings.Cut(r.ID, "#"); r.Service == catalog.Limiters && r.State == catalog.Available && !y.unreachable[name] {
			all = append(all, directory.Limiter{Address: r.Address, Zone: r.Zone, Region: y.set.Zones[r.Zone]})
		}
	})
	return directory.Answer(all, zone, region, serves, mostNamed, rand.Shuffle)
}
