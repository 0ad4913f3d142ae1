package node

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"example.org/madderdrum/limiter"
)

// Source is a discovery agent that tells the servers of one pool, in the platform's
// form: GET /v1/servers, whole or as a watch.
type Source struct {
	Pool, Addr string
	Tiers      map[string]int // of the boxes of each site; none: all are alike
}

// source is one with what it has told.
type source struct {
	Source
	// Under the node's mutex:
	hosts   map[string]serverItem // those that are gone are not in it
	index   listIndex
	hold    time.Duration // how long the agent may hold a call; 0: another limiter tells what it says
	restart func()        // has hold looked at again
}

// takeFrom takes in what an agent tells, or another limiter for it. A whole list says nothing
// of the servers of others, so that the module is only ever told what changes.
func (n *Node) applySourceList(s *source, list serverList, fromAgent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if fromAgent && (s.hold == 0 || !list.Whole && list.Seq < s.index.seq) {
		return // it came when another limiter's word counted already
	}
	s.index = listIndex{list.Seq, true}
	if fromAgent && n.cfg.Looks != nil {
		hosts, err := json.Marshal(list.Hosts)
		if err == nil {
			n.cfg.Looks.Listed(s.Pool, list.Seq, list.Whole, hosts)
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
		if item.Host != "" { // of another pool a server of this name is another one
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

// discovered are the servers that all agents have told of. The mutex is held.
func (n *Node) discoveredServers() (all []serverItem) {
	for _, s := range n.sources {
		for _, name := range slices.Sorted(maps.Keys(s.hosts)) {
			all = append(all, s.hosts[name])
		}
	}
	return all
}
