package node

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"example.org/madderdrum/limiter"
)

// lookWithin bounds how long the figures wait for the module; after it they tell what it last said.
const viewTimeout = 50 * time.Millisecond

// ClassFigures are the ends of a class's requests since the process began.
type ClassFigures struct {
	Passed     int64 `json:"passed"`      // answered with a server's answer, whole
	Dropped    int64 `json:"dropped"`     // refused: 429 or 503
	BadGateway int64 `json:"bad_gateway"` // failed, or the client had gone
}

// Figures are what an operator sees of a limiter.
type Figures struct {
	Handled        map[string]ClassFigures `json:"handled"`
	InProgress     int64                   `json:"in_progress"`     // requests taken and not ended
	UpstreamTries  int64                   `json:"upstream_tries"`  // attempts written whole to servers
	KnownServers   int                     `json:"known_servers"`   // in the list
	SkippedServers int                     `json:"skipped_servers"` // in the list, and avoided now
}

// ends counts the ends of one class.
type endCounts struct{ passed, dropped, badGateway atomic.Int64 }

// add counts one end by its status. 0 is a request whose client had gone.
func (e *endCounts) add(status int) {
	switch status {
	case http.StatusOK:
		e.passed.Add(1)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		e.dropped.Add(1)
	default:
		e.badGateway.Add(1)
	}
}

// totals count what this process has done since its start. It is safe for concurrent use.
type totals struct {
	inProgress, attempts atomic.Int64

	mu      sync.Mutex
	classes map[string]*endCounts // also of classes that a reload has taken away

	lastView atomic.Pointer[limiter.View]
}

// of returns the counts of classes by their names.
func (t *totals) classCounts(names []string) []*endCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*endCounts, len(names))
	for i, name := range names {
		if t.classes[name] == nil {
			t.classes[name] = &endCounts{}
		}
		all[i] = t.classes[name]
	}
	return all
}

// Figures tells what the limiter has done and sees now.
func (n *Node) Figures() Figures {
	v := n.moduleView()
	f := Figures{Handled: map[string]ClassFigures{}, InProgress: n.totals.inProgress.Load(), UpstreamTries: n.totals.attempts.Load(),
		KnownServers: v.Known, SkippedServers: v.Skipped}
	n.totals.mu.Lock()
	defer n.totals.mu.Unlock()
	for name, e := range n.totals.classes {
		f.Handled[name] = ClassFigures{e.passed.Load(), e.dropped.Load(), e.badGateway.Load()}
	}
	return f
}

// look asks the module, or tells what it last said while that is busy.
func (n *Node) moduleView() limiter.View {
	for until := time.Now().Add(viewTimeout); ; time.Sleep(time.Millisecond) {
		if n.mu.TryLock() {
			v := n.limiter.View(n.now())
			n.mu.Unlock()
			n.totals.lastView.Store(&v)
			return v
		}
		if time.Now().After(until) {
			break
		}
	}
	if v := n.totals.lastView.Load(); v != nil {
		return *v
	}
	return limiter.View{}
}

// taken counts a request as in progress: its last byte has come.
func (n *Node) countInProgress(r *request) {
	if !r.countedInProgress {
		r.countedInProgress = true
		n.totals.inProgress.Add(1)
	}
}

// line is the figures in one line of JSON.
func (f Figures) jsonLine() (string, error) {
	b, err := json.Marshal(f)
	return string(b) + "\n", err
}
