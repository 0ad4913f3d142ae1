package node

import (
	"cmp"
	"context"
	"time"
)

// reloadMost is the longest pause between two readings of a file that can't be
// used; the first is retryFirst.
const maxReloadRetry = time.Second

// Reload has the configuration file read again. Of what it says, the address of
// discovery takes effect; all else holds from the next start on.
func (n *Node) Reload() {
	select {
	case n.reloadRequests <- struct{}{}:
	default: // one that waits reads the same file
	}
}

// reloads carries out what Reload asks for, until the context ends. A file that
// can't be used changes nothing: it may be half written, and is read again soon.
func (n *Node) handleReloads(ctx context.Context) {
	errorLog := &boundedLog{to: n.log}
	pause, inFile := retryMin, n.cfg.discoveryInFile
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.reloadRequests:
			pause = retryMin
		case <-retry:
		}
		retry = nil
		cfg, err := n.cfg.reload()
		if err != nil {
			errorLog.warn("kept the configuration: the new one can't be used", "err", err)
			retry = time.After(pause)
			pause = min(2*pause, maxReloadRetry)
			continue
		}
		n.log.Info("read the configuration again", "discovery", cfg.Discovery)
		if cfg.AdminAddr != n.cfg.AdminAddr {
			errorLog.warn("a changed admin_addr needs a restart", "is", n.cfg.AdminAddr, "new", cfg.AdminAddr)
		}
		if cfg.discoveryInFile == inFile {
			continue // the watch goes on, also where NODE_DISCOVERY named its address
		}
		inFile = cfg.discoveryInFile
		select {
		case n.discoveryAddrs <- cfg.Discovery:
		case <-ctx.Done():
		}
	}
}

// reread reads the configuration as at the start, but for the address of
// discovery: there a new file goes before the environment, which can't change
// and still names the address of the start.
func (c *Config) reload() (*Config, error) {
	return loadFile(c.path, c.getenv, func(file, env string) string { return cmp.Or(file, env) })
}

// watches notes which agent the list is from by now.
func (n *Node) setListAgent(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.upgrade != nil {
		n.upgrade.listAgent = addr
		clear(n.upgrade.hosts) // until the whole list of the new one has come there is none to hand over
	}
}

// follow watches discovery until the context ends, at one address after the
// other. Guards against waiting on a watch at an address that is given up: it
// would hold until its time is up, and its list is no longer the one that counts.
func (n *Node) followDiscovery(ctx context.Context) {
	at, index := n.cfg.Discovery, listIndex{n.cfg.InitialServers.Seq, len(n.cfg.InitialServers.Hosts) > 0}
	for ctx.Err() == nil {
		watching, end := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			n.watchDiscovery(watching, at, index, watchHold, n.applyDiscoveryAnswer, func() {})
			close(ended)
		}()
		select {
		case <-ctx.Done():
		case at = <-n.discoveryAddrs:
			n.setListAgent(at)
			index = listIndex{} // another one counts anew: ask for the whole list
		}
		end()
		<-ended // nothing that the old address says is taken from here on
	}
}
