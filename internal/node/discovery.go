package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"example.org/madderdrum/limiter"
	"example.org/madderdrum/peering"
)

const (
	watchHold   = 20 * time.Second // how long the agent may hold a call without news
	watchSlack  = 2 * time.Second  // additional time until the call is cancelled
	retryMin    = 50 * time.Millisecond
	retryMax    = time.Second
	maxListSize = 4 << 20
	// An answer without changes that comes early is followed by the next call after this pause: shorter than
	// the 200 ms after which an agent considers a watch ended, but no busy loop.
	idlePause = 50 * time.Millisecond
)

// serverList is an answer of the discovery agent.
type serverList struct {
	Seq   int64        `json:"seq"`
	Whole bool         `json:"whole"`
	Hosts []serverItem `json:"hosts"`
}

// serverItem is one server in an answer of the discovery agent.
type serverItem struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
	pool   uint64  // pool assigned by the configuration
	tier   int     // tier in that pool
}

// UnmarshalJSON drops an invalid entry rather than the whole list.
func (l *serverList) UnmarshalJSON(data []byte) error {
	var raw struct {
		Seq   int64             `json:"seq"`
		Whole bool              `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	l.Seq, l.Whole, l.Hosts = raw.Seq, raw.Whole, nil
	for _, h := range raw.Hosts {
		var item serverItem
		if json.Unmarshal(h, &item) != nil {
			item = serverItem{} // has no name, so that applyList logs and drops it
		}
		l.Hosts = append(l.Hosts, item)
	}
	return nil
}

var phases = map[string]limiter.Phase{
	"ready": limiter.Up, "draining": limiter.Draining, "gone": limiter.Removed,
}

// ServerID returns the module's number of a server. Limiters identify servers to each other by it, so it
// depends on the name alone.
func ServerID(host string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, host)
	return h.Sum64()
}

// info validates an entry and converts it for the module.
func (i serverItem) info(zones []string) (limiter.ServerInfo, error) {
	phase, ok := phases[i.Health]
	switch {
	case i.Host == "":
		return limiter.ServerInfo{}, errors.New("entry without a host")
	case !ok:
		return limiter.ServerInfo{}, fmt.Errorf("host %q: health %q", i.Host, i.Health)
	case i.BornMs < 0 || i.Share < 0:
		return limiter.ServerInfo{}, fmt.Errorf("host %q: a number below 0", i.Host)
	}
	zone := slices.Index(zones, i.Site)
	if phase != limiter.Removed { // of a removed server only the name is used
		if _, err := netip.ParseAddrPort(i.Dial); err != nil {
			return limiter.ServerInfo{}, fmt.Errorf("host %q: dial: %w", i.Host, err)
		}
		if zone < 0 {
			return limiter.ServerInfo{}, fmt.Errorf("host %q: unknown site %q", i.Host, i.Site)
		}
	}
	return limiter.ServerInfo{ID: ServerID(i.Host), Zone: zone, Cell: i.Block, ReadyAt: i.BornMs,
		Phase: phase, Weight: i.Share, Pool: i.pool, Tier: i.tier}, nil
}

// applyDiscoveryAnswer passes an answer of the discovery agent to the connection pool and the module.
func (n *Node) applyDiscoveryAnswer(list serverList) {
	if list.Whole {
		n.applyList(limiter.Complete, list)
	} else if len(list.Hosts) > 0 {
		n.applyList(limiter.Partial, list)
	}
}

// applyList passes a list to the connection pool and the module.
func (n *Node) applyList(scope limiter.Scope, list serverList) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyListLocked(scope, list)
}

// applyListLocked is applyList for callers that hold the mutex.
func (n *Node) applyListLocked(scope limiter.Scope, list serverList) {
	endpoints := limiter.Endpoints{Scope: scope}
	listed := map[uint64]bool{}
	for _, item := range list.Hosts {
		info, err := item.info(n.revision.Load().settings.Zones)
		if err == nil && listed[info.ID] {
			err = fmt.Errorf("host %q is listed twice", item.Host)
		}
		if err != nil {
			n.badInputLog.warn("dropped a list entry", "err", err)
			continue
		}
		listed[info.ID] = true
		if n.servers.update(info, item.Dial) {
			n.log.Info("server", "host", item.Host, "number", info.ID, "health", item.Health, "dial", item.Dial)
		}
		endpoints.Servers = append(endpoints.Servers, info)
	}
	n.upgrade.listed(scope, list)
	if scope != limiter.Partial {
		n.servers.retainListed(listed)
	}
	if len(listed) > 0 {
		n.life.MarkServersKnown(time.Now())
	}
	n.handle(endpoints)
}

// listIndex is the version of the list from which a watch continues, if one is known.
type listIndex struct {
	seq   int64
	known bool
}

// watchDiscovery follows the discovery agent at an address until the context ends. It passes complete lists and
// changes (which may be empty) to apply; the agent may hold each call for the given time. The known servers
// stay in use while the agent is silent, down or sends invalid answers; failed is called for each such call.
func (n *Node) watchDiscovery(ctx context.Context, addr string, index listIndex, hold time.Duration,
	apply func(serverList), failed func()) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2,
		IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	failures, overload := newBackoff(retryMin, retryMax, 0.5), overloadBackoff(n.cfg.Settings.Module.Balancers)
	for ctx.Err() == nil {
		// A call for the complete list is answered at once, or repeated.
		path, timeout := "/v1/servers", watchSlack
		if index.known {
			path = fmt.Sprintf("/v1/servers?index=%d&wait=%d", index.seq, hold.Milliseconds())
			timeout += hold
		}
		calledAt := time.Now()
		n.counters.countListCall()
		l, err := fetchList(ctx, client, "http://"+addr+path, timeout)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			n.discoveryLog.warn("discovery does not answer", "err", err)
			failed()
			if errors.Is(err, errOverloaded) {
				sleep(ctx, overload.NextBackOff())
			} else {
				sleep(ctx, failures.NextBackOff())
			}
			continue
		}
		failures.Reset()
		overload.Reset()
		apply(l)
		if l.Seq == index.seq && index.known && time.Since(calledAt) < idlePause {
			sleep(ctx, idlePause)
		}
		index = listIndex{l.Seq, true}
	}
}

// newBackoff returns pauses that double from initial to limit, with a random factor of 1±jitter.
func newBackoff(initial, limit time.Duration, jitter float64) *backoff.ExponentialBackOff {
	b := &backoff.ExponentialBackOff{InitialInterval: initial, MaxInterval: limit,
		Multiplier: 2, RandomizationFactor: jitter}
	b.Reset()
	return b
}

// overloadBackoff returns the pauses after an overload response of the discovery agent. They grow with the
// number of limiters, as the agent is then overloaded for all of them.
func overloadBackoff(limiters int) *backoff.ExponentialBackOff {
	initial, limit := peering.CallPause(limiters)
	return newBackoff(max(retryMin, initial), max(retryMax, limit), 1)
}

// errOverloaded is returned when the discovery agent rejects calls because of overload.
var errOverloaded = errors.New("discovery is overloaded")

// fetchList makes one call to the discovery agent.
func fetchList(ctx context.Context, client *http.Client, url string, timeout time.Duration) (l serverList, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return l, fmt.Errorf("status %s: %w", resp.Status, errOverloaded)
	default:
		return l, fmt.Errorf("status %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListSize)).Decode(&l); err != nil {
		return l, fmt.Errorf("reading the list: %w", err)
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10)) // read to the end, so that the connection is reused
	return l, nil
}

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
