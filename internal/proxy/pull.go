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
	pullHoldTime         = 1000 * time.Millisecond // how long a core machine holds a pull while it has no news
	pullTimeoutMargin    = 450 * time.Millisecond  // allowed beyond the time that the core machine holds the call
	maxDirectoryLimiters = 64                      // in an answer of the directory
)

// pullLoop pulls from core machines until the context ends. It moves on to the next machine when one does not
// answer or has no recent proof that its register is current.
func (proxy *Proxy) pullLoop(ctx context.Context) {
	next := rand.IntN(1 << 10)
	for failed := 0; ctx.Err() == nil; {
		cores := proxy.coresToPull(failed)
		next %= len(cores)
		address := proxy.settings.InternalAddress(cores[next], nodesettings.RegistryPort)
		if proxy.pull(ctx, address) {
			failed = 0
			continue
		}
		next++
		if failed++; failed >= len(cores) {
			wait.Sleep(ctx, 50*time.Millisecond+rand.N(150*time.Millisecond))
		}
	}
}

// coresToPull returns the core machines to try after a number of consecutive failures.
func (proxy *Proxy) coresToPull(failed int) []string {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if failed < len(proxy.cores) {
		return slices.Clone(proxy.cores)
	}
	return append(slices.Clone(proxy.cores), proxy.downCores...)
}

// updateCores computes which core machines to pull from: those in the settings and those running according to the
// catalog. Machines that the catalog lists as down are tried only when no other one answers. The mutex is held.
func (proxy *Proxy) updateCores() {
	named, running, down := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, ip := range proxy.seeds {
		named[ip] = true
	}
	proxy.records.Each(proxy.now(), func(r catalog.Record) {
		switch {
		case r.Service != catalog.Cores:
		case r.State == catalog.Available:
			named[r.Address], running[r.Address] = true, true
		default: // the machine or its previous process is down
			down[r.Address] = true
		}
	})
	proxy.cores, proxy.downCores = nil, nil
	for _, ip := range slices.Sorted(maps.Keys(named)) {
		if down[ip] && !running[ip] {
			proxy.downCores = append(proxy.downCores, ip)
		} else {
			proxy.cores = append(proxy.cores, ip)
		}
	}
}

// pull sends one pull to a core machine and applies the answer. It reports whether the same machine may be used
// again.
func (proxy *Proxy) pull(ctx context.Context, address string) bool {
	proxy.mu.Lock()
	proxy.recordSequence++
	hold := pullHoldTime
	record := &catalog.Record{ID: proxy.instanceID, Service: catalog.Limiters,
		Address: proxy.settings.Listen["frontend"], Zone: proxy.settings.Zone, Sequence: proxy.recordSequence}
	if proxy.leaving.Load() {
		record.State = catalog.Draining
	} else if proxy.engine == nil || !proxy.hasHeldShare {
		record.State, hold = catalog.Draining, pullHoldTime/2 // not ready: clients must not be sent here yet
	}
	request := registry.PullRequest{Vector: maps.Clone(proxy.records.Vector()), Seq: proxy.register.Seq, CallerRecord: record,
		Version: proxy.register.Version, Stopped: proxy.returningPlace}
	if proxy.loans != nil {
		request.LoansEndInMs = uint64(math.Ceil(proxy.loans.LoansEndIn(proxy.now())))
	}
	if proxy.needsWholeRegister {
		request.Version, request.FullRegister = 0, true
	}
	confirmsReturn := proxy.returningPlace && proxy.ownSlot() < 0 // this pull confirms the return
	if confirmsReturn {
		hold = 0
	}
	request.HoldMs = uint64(hold / time.Millisecond)
	proxy.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-proxy.pullNow:
			cancel()
		case <-ctx.Done():
		}
	}()
	var pulled registry.PullResponse
	startedAt := time.Now()
	err := proxy.caller.Call(ctx, address, registry.CallPull, request, &pulled, hold+pullTimeoutMargin)
	uninterrupted := ctx.Err() == nil
	cancel()
	<-watcherDone
	if err != nil {
		return !uninterrupted // the pull was interrupted by this limiter
	}
	proxy.applyPulled(startedAt, &pulled)
	if confirmsReturn {
		proxy.mu.Lock()
		proxy.placeReturnConfirmed = true
		proxy.mu.Unlock()
	}
	return freshness.RegistryStatus{Isolated: pulled.Isolated, Proven: pulled.Proven,
		Age: time.Duration(pulled.ProofAgeMs) * time.Millisecond}.Usable()
}

// applyPulled applies the answer to a pull that was sent at base.
func (proxy *Proxy) applyPulled(base time.Time, pulled *registry.PullResponse) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	changed := len(proxy.records.Merge(proxy.now(), pulled.Records)) > 0
	leaseHadEnded := !proxy.lease.Valid(time.Since(proxy.base))
	proxy.records.AdvanceVector(pulled.Vector)
	if pulled.Register != nil && pulled.Register.Seq > proxy.register.Seq {
		// The answer leaves out what this limiter had when it sent the pull. Nothing else changes that.
		if !proxy.completeRegister(pulled) {
			return // the proof is for a register that this limiter could not complete
		}
		proxy.recordProof(base, pulled)
		proxy.applyRegister(pulled)
		changed = true
	} else {
		proxy.recordProof(base, pulled)
	}
	proxy.leaseRenewed(leaseHadEnded)
	if changed {
		proxy.updateCores()
		proxy.updateMembers()
		proxy.updateServers()
	}
}

// recordProof records the age of a core machine's proof that the register in the answer, or an earlier one than
// this limiter has, is current. The mutex is held.
func (proxy *Proxy) recordProof(base time.Time, pulled *registry.PullResponse) {
	if !pulled.Proven {
		return
	}
	at := base.Add(time.Duration(pulled.HeldMs)*time.Millisecond - time.Duration(pulled.ProofAgeMs)*time.Millisecond)
	if at.After(proxy.provenAt) {
		proxy.provenAt = at
	}
	proxy.lease.Renew(at.Sub(proxy.base), 0)
}

// completeRegister fills in what the answer left out of the register because this limiter had it when it sent the
// pull. It reports whether the register is complete. The mutex is held.
func (proxy *Proxy) completeRegister(pulled *registry.PullResponse) bool {
	received := pulled.Register
	switch {
	case received.Version == proxy.register.Version:
		received.Config = proxy.register.Config
	case len(pulled.ConfigDelta) > 0:
		text, err := configdelta.Apply(proxy.register.Config, pulled.ConfigDelta)
		if err != nil {
			proxy.log.WithField("err", err).Warn("difference of configurations does not fit: the whole is asked for")
			proxy.needsWholeRegister = true
			return false
		}
		received.Config = text
	}
	if pulled.Places != nil {
		all, ok := pulled.Places.Apply(proxy.register.Places)
		if !ok {
			proxy.log.Warn("cannot apply the delta of places; pulling the whole register")
			proxy.needsWholeRegister = true
			return false
		}
		received.Places = all
	}
	proxy.needsWholeRegister = false
	return true
}

// applyRegister puts a newer register in force. The mutex is held.
func (proxy *Proxy) applyRegister(pulled *registry.PullResponse) {
	register := pulled.Register
	evacuatedZones := map[string]bool{}
	for _, zone := range register.EvacuatedZones {
		evacuatedZones[zone] = true
	}
	var table *configuration.Table
	if config := proxy.configSnapshot.Load(); config != nil {
		table = config.table
	}
	if len(register.Config) > 0 && register.Version != proxy.register.Version {
		parsed, fault := configuration.Parse(register.Config)
		if fault != nil { // unexpected: the core machines validate configurations
			proxy.log.WithField("err", fault).Error("cannot read the configuration")
			proxy.dropLease() // the proof is for a register that is not in force here
			return
		}
		table = parsed
	}
	if table != nil {
		proxy.configSnapshot.Store(&configSnapshot{table: table, seq: register.Seq})
	}
	for zone := range proxy.evacuatedZones {
		if !evacuatedZones[zone] { // its servers may be cold, and the heartbeats that say so arrive late
			proxy.assumeCold(zone, table)
		}
	}
	proxy.evacuatedZones, proxy.register = evacuatedZones, register
	proxy.neighbours = selectNeighbours(register.Places, proxy.settings.Node, proxy.settings.Zone,
		proxy.settings.Region, proxy.settings.Zones)
	proxy.updateShare()
	proxy.log.WithFields(logrus.Fields{"seq": register.Seq, "version": register.Version,
		"limiters": proxy.limiterCount, "evacuated": len(evacuatedZones)}).Info("register is in force")
	proxy.updateEngine(table)
}

// assumeCold treats the servers of a zone as cold for the full warm-up time. The mutex is held.
func (proxy *Proxy) assumeCold(zone string, table *configuration.Table) {
	proxy.records.Each(proxy.now(), func(r catalog.Record) {
		if r.Zone == zone && table != nil {
			if service := table.Services[r.Service]; service != nil {
				proxy.coldUntil[r.ID] = time.Now().Add(service.Warmup)
			}
		}
	})
}

// limiterAddresses returns the addresses of limiters for clients of a zone that ask for a host, near ones first.
func (proxy *Proxy) limiterAddresses(host, zone, region string) []string {
	var homes []string
	restricted := false
	if config := proxy.configSnapshot.Load(); config != nil && config.table != nil {
		homes, restricted = config.table.HostRegions(host)
	}
	serves := func(region string) bool { return !restricted || slices.Contains(homes, region) }
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	var limiters []directory.Limiter
	proxy.records.Each(proxy.now(), func(r catalog.Record) {
		if name, _, _ := strings.Cut(r.ID, "#"); r.Service == catalog.Limiters && r.State == catalog.Available &&
			!proxy.unreachable[name] {
			limiters = append(limiters, directory.Limiter{Address: r.Address, Zone: r.Zone,
				Region: proxy.settings.Zones[r.Zone]})
		}
	})
	return directory.Answer(limiters, zone, region, serves, maxDirectoryLimiters, rand.Shuffle)
}
