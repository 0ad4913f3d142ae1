//go:build !platform

package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/forwardauth"
	"example.org/madderdrum/internal/memory"
	"example.org/madderdrum/internal/node"
	"example.org/madderdrum/internal/status"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/plugin"
	"example.org/madderdrum/route"
)

// configFiles holds the arguments that name the root files of a configuration and set its variables.
type configFiles struct {
	Files []string          `arg:"" name:"file" help:"Configuration files (HCL), such as deploy/bluebird.hcl; what they include is read too."`
	Var   map[string]string `placeholder:"NAME=VALUE" help:"Set a variable of the configuration; may be given again."`
}

// load reads the files with all that they include, and checks them.
func (c *configFiles) load() (*config.Config, error) {
	cfg, report, err := config.LoadFiles(c.Files, c.Var)
	if err != nil {
		return nil, err
	}
	return cfg, report.Err()
}

// serveCommand runs one limiter of a configuration.
type serveCommand struct {
	configFiles
	Limiter string `short:"l" help:"Which of the configuration's limiters to run; the first one if left out."`
	Forward string `name:"forward-auth" help:"One more configuration file, with forward_auth blocks; see docs/forwardauth.md." placeholder:"FILE"`
	Status  string `help:"Show the state of tiers and plug-ins on an address of its own, such as 127.0.0.1:9190: GET /tiers, GET /plugins; see docs/rooms.md and docs/plugins.md." placeholder:"HOST:PORT"`
	Admin   string `help:"Where operators call, in place of the limiter's admin address; a process that takes over from a running one needs one of its own. See docs/operations.md." placeholder:"HOST:PORT"`
	Cache   string `name:"plugin-cache" help:"Folder where compiled plug-ins are kept, so that the next start need not compile them." placeholder:"DIR" type:"path"`
	Check   bool   `help:"Check the files and end; see also madderdrum check."`
}

// Help returns the detailed help text of `madderdrum serve`.
func (serveCommand) Help() string {
	return `Serves HTTP/1.1 on the limiter's listen address until SIGTERM or Ctrl-C, and sends
requests on to the boxes of the configuration by its routes. No discovery agent is
needed: the list of boxes is fixed, and boxes that fail are found by their answers
and by probes of GET /healthz.

SIGHUP has the files read again: a new version holds whole or not at all, and what is
in hand ends by the one that took it. A mistake is named with file, line and column and
with what to write instead; at the start it ends the program with exit code 1.`
}

// Run executes `madderdrum serve`.
func (c *serveCommand) Run() error {
	if c.Forward != "" {
		c.Files = append(c.Files, c.Forward)
	}
	cfg, err := c.load()
	if err != nil {
		return err
	}
	position := 0
	if c.Limiter != "" {
		if position, err = cfg.Fleet.Limiter(c.Limiter); err != nil {
			return err
		}
	}
	if err := checkServable(cfg, position); err != nil {
		return err
	}
	fleet := cfg.Fleet
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("limiter", fleet.Limiters[position].Name)
	plugins, err := newPlugins(c.Cache, logger)
	if err != nil {
		return err
	}
	defer plugins.close()
	if err := plugins.load(cfg); err != nil {
		return err
	}
	if c.Check {
		fmt.Printf("%s: %d limiters, %d boxes, %d classes, %d plans: sound\n",
			strings.Join(c.Files, " "), len(fleet.Limiters), len(fleet.Boxes), len(fleet.Classes), len(fleet.Plans))
		return nil
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	nodeCfg := nodeConfig(cfg, position, plugins.activeSet())
	nodeCfg.Seed = rand.Uint64()
	if c.Admin != "" {
		if _, err := netip.ParseAddrPort(c.Admin); err != nil {
			return fmt.Errorf("--admin %s: %w; write an IP address and a port, such as 127.0.0.1:9090", c.Admin, err)
		}
		nodeCfg.AdminAddr = c.Admin
	}
	if fleet.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(fleet.Limits.Cores))))
	}
	debug.SetGCPercent(gcPercent)
	if fleet.Limits.MemoryMB > 0 {
		nodeCfg.UseMemory = func(share float64) {
			debug.SetMemoryLimit(int64(share * memoryShare * float64(int64(fleet.Limits.MemoryMB)<<20)))
		}
		nodeCfg.UseMemory(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var keeper *memory.Keeper
	if cfg.Memory.Folder != "" {
		if keeper, err = memory.Open(memory.Options{Folder: cfg.Memory.Folder, Limiter: nodeCfg.Name, Interval: cfg.Memory.SnapshotInterval, MaxBytes: cfg.Memory.MaxBytes, Log: logger}); err != nil {
			return err
		}
	}
	duties, err := newDuties(cfg, position, stop, logger)
	if err != nil {
		return err
	}
	if duties != nil {
		nodeCfg.Streams, nodeCfg.ProbeSharing = duties.adminStreams(), duties.probeSharing()
	}
	n, err := node.New(nodeCfg, logger)
	if err != nil {
		return err
	}
	r := &reloader{files: c.configFiles, position: position, cfg: cfg, node: n, plugins: plugins, log: logger}
	var background []func(context.Context) error // tasks that run until ctx is canceled, concurrently with the node
	for i := range cfg.ForwardAuth {
		if cfg.ForwardAuth[i].Limiter != nodeCfg.Name {
			continue
		}
		authConfig := forwardauth.FromConfig(&cfg.ForwardAuth[i])
		if r.forwardAuth, err = forwardauth.New(authConfig, forwardAuthTier(cfg, position, plugins.activeSet(), n), n, logger); err != nil {
			return err
		}
		n.Attach(r.forwardAuth)
		background = append(background, r.forwardAuth.Run)
		logger.Info("forward-auth service listening", "listen", r.forwardAuth.Addr().String(), "proxies", len(authConfig.Proxies))
	}
	if c.Status != "" {
		s, err := status.Listen(c.Status, status.Sources{Tiers: r.tierState, Plugins: r.pluginState, Reset: plugins.reset}, logger)
		if err != nil {
			return fmt.Errorf("--status %s: %w", c.Status, err)
		}
		background = append(background, s.Run)
		logger.Info("showing the state of tiers and plug-ins", "listen", s.Addr().String())
	}
	if duties != nil {
		duties.node.Store(n)
		background = append(background, duties.service.Run)
		logger.Info("fleet duties service listening", "listen", duties.service.Addr(), "voters", strings.Join(cfg.Duties.Voters, " "))
	}
	closeMemory := func() {}
	if keeper != nil {
		keeper.Recall(n, r.classes())
		background = append(background, func(ctx context.Context) error { return keeper.Run(ctx, n, r.classes) })
		closeMemory = func() { keeper.Close(n, r.classes()) }
	}
	r.logPools()
	logger.Info("serving", "listen", strings.Join(cfg.ListenAddresses(position), " "), "boxes", len(fleet.Boxes), "pools", len(cfg.Pools), "routes", len(cfg.Routes), "peers", len(nodeCfg.Peers))
	go func() {
		for range hup {
			r.reload()
		}
	}()
	errs := make([]error, len(background))
	var tasks sync.WaitGroup
	for i, run := range background {
		tasks.Go(func() { errs[i] = run(ctx) })
	}
	err = n.Run(ctx)
	tasks.Wait()
	closeMemory()
	return errors.Join(append(errs, err)...)
}

// classes returns the names of the request classes, in the order of the configuration.
func (r *reloader) classes() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cfg.Fleet.Classes {
		names = append(names, c.Name)
	}
	return names
}

// reloader applies new versions of the configuration to a running limiter.
type reloader struct {
	files       configFiles
	position    int
	mu          sync.Mutex // guards cfg
	cfg         *config.Config
	node        *node.Node
	forwardAuth *forwardauth.Service // nil without a forward_auth block
	plugins     *plugins
	log         *slog.Logger
}

// maxLoggedLines limits how many errors or changes one reload writes to the log.
const maxLoggedLines = 20

// reload reads the files again and applies them. An invalid version, or one that needs a restart, changes nothing.
func (r *reloader) reload() {
	begun := time.Now()
	next, err := r.files.load()
	if err != nil {
		for i, line := range strings.Split(err.Error(), "\n") {
			if i == maxLoggedLines {
				r.log.Warn("further errors omitted; see madderdrum check")
				break
			}
			r.log.Warn("kept the configuration: the new one has a mistake", "at", line)
		}
		return
	}
	d := config.Diff(r.cfg, next)
	if d.Empty() {
		r.log.Info("read the configuration again: it means the same")
		return
	}
	if d.Restart() {
		for i := range d.Changes {
			if d.Changes[i].Restart && i < maxLoggedLines {
				r.log.Warn("kept the configuration: a change needs a restart", "change", d.Changes[i].String())
			}
		}
		return
	}
	set, err := r.plugins.prepare(next)
	if err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			r.log.Warn("kept the configuration: a plug-in can't be loaded", "at", line)
		}
		return
	}
	apply := func(done func()) { r.node.Apply(newDeployment(next, r.position, set), done) }
	if r.forwardAuth != nil {
		r.forwardAuth.ReplaceTier(forwardAuthTier(next, r.position, set, r.node), apply)
	} else {
		apply(nil)
	}
	r.plugins.swap(set) // requests still waiting for an old plug-in are routed again by the new version
	r.mu.Lock()
	r.cfg = next
	r.mu.Unlock()
	r.logPools()
	for i := range d.Changes {
		if i == maxLoggedLines {
			r.log.Info("further changes omitted", "of", len(d.Changes))
			break
		}
		r.log.Info("changed", "change", d.Changes[i].String())
	}
	for i := range d.Moves {
		if i == maxLoggedLines {
			r.log.Info("further groups of requests omitted", "of", len(d.Moves)+d.OmittedMoves)
			break
		}
		m := &d.Moves[i]
		r.log.Info("requests fare otherwise", "such_as", m.Example, "before", m.Before, "after", m.After, "grade", m.Grade)
	}
	r.log.Info("the new configuration holds", "changes", len(d.Changes), "grade", d.Grade(), "took", time.Since(begun).Round(time.Millisecond).String())
}

// tierState returns the state of all tiers for the status address.
func (r *reloader) tierState() status.State {
	r.mu.Lock()
	c := r.cfg
	r.mu.Unlock()
	s := status.State{Limiter: c.Fleet.Limiters[r.position].Name, Tiers: []status.Tier{}}
	pools := map[uint64]*config.Pool{}
	for i := range c.Pools {
		pools[node.PoolID(c.Pools[i].Name)] = &c.Pools[i]
	}
	for _, x := range r.node.Tiers() {
		t := status.Tier{Tier: "the others", Phase: x.Phase.String(), Sole: x.Sole, Share: x.Share, Spilled: x.Spilled, Boxes: x.Boxes, Usable: x.Usable, Next: x.Next}
		if p := pools[x.Pool]; p != nil { // the pool may be missing if a new version was applied meanwhile
			if t.Pool = p.Name; x.Tier < len(p.Tiers) {
				t.Tier = p.Tiers[x.Tier].Name
			}
			s.Tiers = append(s.Tiers, t)
		}
	}
	return s
}

// logPools logs the numeric IDs under which other log lines refer to pools and tiers.
func (r *reloader) logPools() {
	for _, p := range r.cfg.Pools {
		var tiers []string
		for k, t := range p.Tiers {
			tiers = append(tiers, fmt.Sprintf("%d=%s", k, t.Name))
		}
		r.log.Info("pool", "name", p.Name, "number", node.PoolID(p.Name), "boxes", len(p.Boxes), "tiers", strings.Join(tiers, " "))
	}
}

// checkServable checks that the limiter at a position can run on sockets: it and all boxes
// need addresses.
func checkServable(c *config.Config, position int) error {
	own := c.Fleet.Limiters[position]
	if len(c.ListenAddresses(position)) == 0 {
		return fmt.Errorf("%s: limiter %q has no address for clients; add listen = \"127.0.0.1:8080\"", c.Place("limiter", own.Name), own.Name)
	}
	var missing []string
	for _, b := range c.Fleet.Boxes {
		if b.Dial == "" {
			missing = append(missing, fmt.Sprintf("%s: box %q has no address; add dial = \"127.0.0.1:9000\"", c.Place("box", b.Name), b.Name))
		}
	}
	if len(missing) > 0 {
		return errors.New(strings.Join(missing[:min(len(missing), maxLoggedLines)], "\n"))
	}
	return nil
}

// forwardAuthTier returns the settings that all limiters of a configuration share for
// forward-auth requests, which it routes as n routes the requests that it forwards.
func forwardAuthTier(c *config.Config, position int, plugins *plugin.Set, n *node.Node) forwardauth.Tier {
	f := c.Fleet
	t := forwardauth.Tier{Position: position, Limiters: len(f.Limiters), MaxUnits: f.MaxUnits()}
	for _, c := range f.Classes {
		t.Classes = append(t.Classes, c.Name)
		t.MaxTimeout = max(t.MaxTimeout, c.Deadline)
	}
	for _, p := range f.Plans {
		t.Plans = append(t.Plans, p.Name)
	}
	if len(c.Routes) == 0 && len(c.Pools) == 0 && len(c.Plugins) == 0 {
		return t
	}
	router := node.NewRouter(nodeRoutes(c, plugins))
	t.Route = func(q *route.Request) (forwardauth.Target, bool) {
		to := router.Find(q)
		if to == nil {
			return forwardauth.Target{}, false
		}
		x := forwardauth.Target{Pool: to.ID, Class: to.Class, Deadline: to.Deadline}
		if to.Adviser != nil {
			x.Advise = func(ctx context.Context, s *advice.Subject, left time.Duration) limiter.Advice {
				s.Balance, s.Pressure = n.Glance(s.Account, s.Plan, to.ID)
				return to.Advise(ctx, s, left).Advice
			}
		}
		return x, true
	}
	return t
}

func poolNames(c *config.Config) (names []string) {
	for _, p := range c.Pools {
		names = append(names, p.Name)
	}
	return names
}

// chainAdviser converts a chain for the node; an empty chain gives nil.
func chainAdviser(c plugin.Chain) node.Adviser {
	if len(c) == 0 {
		return nil
	}
	return c
}

// nodeRoutes converts the routes of a configuration for the node and the forward-auth
// service.
func nodeRoutes(c *config.Config, plugins *plugin.Set) node.Routes {
	r, pools := node.Routes{Matches: c.RouteMatches(), Adviser: chainAdviser(plugins.Chain(true))}, poolNames(c)
	tiers := func(pool int) (names []string) {
		for _, t := range c.Pools[pool].Tiers {
			names = append(names, t.Name)
		}
		return names
	}
	if len(pools) > 0 {
		r.Pool, r.Tiers = pools[0], tiers(0)
	}
	for _, x := range c.Routes {
		t := node.Target{Class: x.Class, Deadline: x.Deadline, Attempts: x.Attempts, MaxBody: int64(x.MaxBody)}
		t.Adviser = chainAdviser(plugins.Chain(x.Plugins == nil, x.Plugins...))
		if x.Pool >= 0 {
			t.Pool, t.Tiers = pools[x.Pool], tiers(x.Pool)
		}
		r.Targets = append(r.Targets, t)
	}
	return r
}

// newDeployment returns the part of a configuration that the limiter at a position can reload at run time.
func newDeployment(c *config.Config, position int, plugins *plugin.Set) node.Deployment {
	f := c.Fleet
	d := node.Deployment{Module: f.Settings(position), Rooms: f.Rooms,
		ConnIdle: float64(f.Network.Idle) / float64(time.Millisecond), ConnectTimeoutMs: float64(f.Network.Connect) / float64(time.Millisecond)}
	for _, c := range f.Classes {
		d.Classes = append(d.Classes, c.Name)
	}
	for _, p := range f.Plans {
		d.Plans = append(d.Plans, p.Name)
	}
	pools, of := poolNames(c), c.PoolByBox()
	for i, b := range f.Boxes {
		s := node.Server{Name: b.Name, Dial: b.Dial, Room: b.Room, Pod: b.Pod}
		if len(pools) > 0 {
			if of[i] < 0 {
				continue // a box outside all pools gets no requests
			}
			s.Pool = pools[of[i]]
			s.Tier = c.Pools[of[i]].Tiers.IndexOf(b.Room, b.Labels, f.Limiters[position].Room)
		}
		d.Servers = append(d.Servers, s)
	}
	for _, l := range f.Limiters {
		if l.Peer != "" {
			d.Peers = append(d.Peers, netip.MustParseAddrPort(l.Peer))
		}
	}
	d.Module.Spills = nil
	for i := range c.Pools {
		p := &c.Pools[i]
		if len(p.Tiers) > 0 {
			if d.Module.Spills == nil {
				d.Module.Spills = map[uint64][]float64{}
			}
			d.Module.Spills[node.PoolID(p.Name)] = p.Tiers.Spills()
		}
		if p.Discovery == "" {
			continue
		}
		s := node.Source{Pool: p.Name, Addr: p.Discovery, Tiers: map[string]int{}}
		for room, name := range f.Rooms {
			s.Tiers[name] = p.Tiers.IndexOf(room, nil, f.Limiters[position].Room)
		}
		d.Sources = append(d.Sources, s)
	}
	d.Routes = nodeRoutes(c, plugins)
	return d
}

// nodeConfig returns the node configuration of the limiter at a position: its deployment, addresses and limits.
func nodeConfig(c *config.Config, position int, plugins *plugin.Set) *node.Config {
	f := c.Fleet
	cfg := node.FixedConfig(newDeployment(c, position, plugins))
	listens := c.ListenAddresses(position)
	cfg.Name, cfg.Listen, cfg.ExtraListen = f.Limiters[position].Name, listens[0], listens[1:]
	cfg.AdminAddr, cfg.TempDir = f.Limiters[position].Admin, os.TempDir()
	cfg.Limits = node.Limits{Cores: f.Limits.Cores, MemoryMB: int64(f.Limits.MemoryMB), Sockets: f.Limits.Sockets}
	return cfg
}
