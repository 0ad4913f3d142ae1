package node

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"example.org/madderdrum/limiter"
)

// Source is a discovery agent that provides the servers of one pool, in the platform's format: GET /v1/servers,
// as complete lists or as a watch.
type Source struct {
	Pool, Addr string
	Tiers      map[string]int // tier of the servers of each site; empty: all are equal
}

// source is a Source with the state of its list.
type source struct {
	Source
	// The following fields are guarded by the node's mutex.
	hosts   map[string]serverItem // without removed servers
	index   listIndex
	hold    time.Duration // how long the agent may hold a call; 0: another limiter reports its answers
	restart func()        // makes watchSource apply a changed hold
}

// applySourceList applies an agent's answer, received from it or through another limiter. A complete list
// covers only this pool's servers, so the module always gets the differences.
func (n *Node) applySourceList(s *source, list serverList, fromAgent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if fromAgent && (s.hold == 0 || !list.Whole && list.Seq < s.index.seq) {
		return // outdated: another limiter's reports count already
	}
	s.index = listIndex{list.Seq, true}
	if fromAgent && n.cfg.ProbeSharing != nil {
		hosts, err := json.Marshal(list.Hosts)
		if err == nil {
			n.cfg.ProbeSharing.AgentListed(s.Pool, list.Seq, list.Whole, hosts)
		}
	}
	changes := serverList{Seq: list.Seq}
	if list.Whole {
		listed := map[string]bool{}
		for _, item := range list.Hosts {
			listed[s.Pool+"/"+item.Host] = true
		}
		for _, name := range slices.Sorted(maps.Keys(s.hosts)) {
			if !listed[name] {
				item := s.hosts[name]
				item.Health = "gone"
				changes.Hosts = append(changes.Hosts, item)
				delete(s.hosts, name)
			}
		}
	}
	for _, item := range list.Hosts {
		if item.Host != "" { // a server of this name in another pool is a different one
			item.Host = s.Pool + "/" + item.Host
		}
		item.pool, item.tier = PoolID(s.Pool), s.Tiers[item.Site]
		if item.Health == "gone" {
			delete(s.hosts, item.Host)
		} else {
			s.hosts[item.Host] = item
		}
		changes.Hosts = append(changes.Hosts, item)
	}
	if len(changes.Hosts) > 0 || list.Whole {
		n.applyListLocked(limiter.Partial, changes)
	}
}

// discoveredServers returns the servers known from all agents. The mutex is held.
func (n *Node) discoveredServers() (all []serverItem) {
	for _, s := range n.sources {
		for _, name := range slices.Sorted(maps.Keys(s.hosts)) {
			all = append(all, s.hosts[name])
		}
	}
	return all
}
