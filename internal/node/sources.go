package node

import (
	"context"
	"maps"
	"slices"

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
	hosts map[string]serverItem // under the node's mutex; those that are gone are not in it
}

// watchSource follows an agent until the context ends.
func (n *Node) watchSource(ctx context.Context, s *source) {
	n.watch(ctx, s.Addr, listIndex{}, func(scope limiter.Scope, l serverList) { n.takeFrom(s, scope, l) })
}

// takeFrom takes in what an agent tells. Its whole list says nothing of the servers of
// others, so that the module is only ever told what changes.
func (n *Node) takeFrom(s *source, scope limiter.Scope, l serverList) {
	n.mu.Lock()
	defer n.mu.Unlock()
	news := serverList{Seq: l.Seq}
	if scope != limiter.Partial {
		listed := map[string]bool{}
		for _, item := range l.Hosts {
			listed[s.Pool+"/"+item.Host] = true
		}
		for _, name := range slices.Sorted(maps.Keys(s.hosts)) {
			if !listed[name] {
				item := s.hosts[name]
				item.Health = "gone"
				news.Hosts = append(news.Hosts, item)
				delete(s.hosts, name)
			}
		}
	}
	for _, item := range l.Hosts {
		if item.Host != "" { // of another pool a server of this name is another one
			item.Host = s.Pool + "/" + item.Host
		}
		item.pool, item.tier = PoolID(s.Pool), s.Tiers[item.Site]
		if item.Health == "gone" {
			delete(s.hosts, item.Host)
		} else {
			s.hosts[item.Host] = item
		}
		news.Hosts = append(news.Hosts, item)
	}
	n.takeLocked(limiter.Partial, news)
}

// discovered are the servers that all agents have told of. The mutex is held.
func (n *Node) discovered() (all []serverItem) {
	for _, s := range n.sources {
		for _, name := range slices.Sorted(maps.Keys(s.hosts)) {
			all = append(all, s.hosts[name])
		}
	}
	return all
}
