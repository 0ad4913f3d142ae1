package node

import (
	"cmp"
	"context"
	"time"
)

// maxReloadRetry is the longest pause before an unusable file is read again; the first is retryMin.
const maxReloadRetry = time.Second

// Reload reads the configuration file again. Only a change of the discovery address takes effect; all other
// changes take effect at the next start.
func (n *Node) Reload() {
	select {
	case n.reloadRequests <- struct{}{}:
	default: // a pending reload reads the same file
	}
}

// handleReloads carries out reloads until the context ends. An unusable file changes nothing: it may be partly
// written, and is read again soon.
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
			continue // the watch continues, also at an address from NODE_DISCOVERY
		}
		inFile = cfg.discoveryInFile
		select {
		case n.discoveryAddrs <- cfg.Discovery:
		case <-ctx.Done():
		}
	}
}

// reload reads the configuration as at the start, except that the discovery address in the file takes
// precedence over the environment, which can't change and still contains the initial address.
func (c *Config) reload() (*Config, error) {
	return loadFile(c.path, c.getenv, func(file, env string) string { return cmp.Or(file, env) })
}

// setListAgent records which agent the server list comes from.
func (n *Node) setListAgent(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.upgrade != nil {
		n.upgrade.listAgent = addr
		clear(n.upgrade.hosts) // nothing can be handed over until the new agent's complete list has arrived
	}
}

// followDiscovery watches the discovery agent until the context ends, switching addresses on reload. It cancels
// the watch at an old address at once: that call could be held for long, and its answer no longer counts.
func (n *Node) followDiscovery(ctx context.Context) {
	addr, index := n.cfg.Discovery, listIndex{n.cfg.InitialServers.Seq, len(n.cfg.InitialServers.Hosts) > 0}
	for ctx.Err() == nil {
		watchCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			n.watchDiscovery(watchCtx, addr, index, watchHold, n.applyDiscoveryAnswer, func() {})
			close(ended)
		}()
		select {
		case <-ctx.Done():
		case addr = <-n.discoveryAddrs:
			n.setListAgent(addr)
			index = listIndex{} // the new agent's sequence numbers are unrelated: request the complete list
		}
		stop()
		<-ended // no answer from the old address is applied after this
	}
}
