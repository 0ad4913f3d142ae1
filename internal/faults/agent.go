package faults

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"example.org/madderdrum/watch"
)

// agent is a stand-in discovery agent, in the platform's form. It tells of boxes that it opens.
type agent struct {
	mu    sync.Mutex
	hosts []map[string]any // changes, in their order; the last one is the box that there is
	news  chan struct{}    // closed when there are more
	calls int              // that it has answered
}

func (a *agent) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait"))
	index, err := strconv.Atoi(q.URL.Query().Get("index"))
	late := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		a.mu.Lock()
		hosts, news := a.hosts, a.news
		if err != nil || index > len(hosts) || len(hosts) > index || over {
			a.calls++
			a.mu.Unlock()
			whole := err != nil || index > len(hosts)
			news := hosts[max(0, len(hosts)-1):]
			if !whole {
				news = hosts[index:]
			}
			json.NewEncoder(w).Encode(map[string]any{"seq": len(hosts), "whole": whole, "hosts": append([]map[string]any{}, news...)})
			return
		}
		a.mu.Unlock()
		select {
		case <-news:
		case <-late:
			over = true
		case <-q.Context().Done():
			return
		}
	}
}

// away tells that the box told last is gone: only the first one is left.
func (r *rig) away() {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.agent.drop()
	r.agent.changed()
}

// drop notes that the box told last is gone. The mutex is held, as in changed.
func (a *agent) drop() {
	if n := len(a.hosts); n > 0 {
		gone := maps.Clone(a.hosts[n-1])
		gone["health"] = "gone"
		a.hosts = append(a.hosts, gone)
	}
}

func (a *agent) changed() {
	close(a.news)
	a.news = make(chan struct{})
}

// tell opens a box and tells of it, and that the one told before is gone.
func (r *rig) tell() error {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	name := fmt.Sprint("box", len(r.agent.hosts))
	addr, err := r.openBox(name)
	if err != nil {
		return err
	}
	r.agent.drop() // any request has one box or the other
	r.agent.hosts = append(r.agent.hosts, map[string]any{"host": name, "dial": addr, "site": "room-a", "health": "ready", "share": 1})
	r.agent.changed()
	r.mu.Lock()
	r.newest = name
	r.mu.Unlock()
	return nil
}

// openBox begins with a stand-in box, and returns where it listens.
func (r *rig) openBox(name string) (string, error) {
	ln, err := net.Listen("tcp", r.host+":0")
	if err != nil {
		return "", fmt.Errorf("faults: %w", err)
	}
	b := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.box(name, w, q) })}
	r.boxes = append(r.boxes, b)
	go b.Serve(ln)
	return ln.Addr().String(), nil
}

// used tells whether all limiters that run and are not cut off from the first box have sent a
// request to a box, since a time.
func (r *rig) used(box string, since time.Time) bool {
	for _, p := range r.all {
		if !r.runs(p) || box == firstBox && r.net.isCut(p.n, r.boxWay()) {
			continue
		}
		r.mu.Lock()
		at := r.sentTo[box][p.n]
		r.mu.Unlock()
		if at.Before(since) {
			return false
		}
	}
	return true
}

// watcher is who looks for a room, by the limiters that run: the one under the highest epoch.
func (r *rig) watcher(room string) string {
	name, _ := r.ownerOf(watch.Duty(room))
	return name
}
