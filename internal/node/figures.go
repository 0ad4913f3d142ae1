package node

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"example.org/madderdrum/limiter"
)

// viewTimeout limits how long Figures waits for the module; after that it uses the module's last view.
const viewTimeout = 50 * time.Millisecond

// ClassFigures count the ended requests of a class since the process began.
type ClassFigures struct {
	Passed     int64 `json:"passed"`      // answered completely with a server's answer
	Dropped    int64 `json:"dropped"`     // refused: 429 or 503
	BadGateway int64 `json:"bad_gateway"` // failed, or the client disconnected
}

// Figures are a limiter's statistics for operators.
type Figures struct {
	Handled        map[string]ClassFigures `json:"handled"`
	InProgress     int64                   `json:"in_progress"`     // requests accepted but not ended
	UpstreamTries  int64                   `json:"upstream_tries"`  // attempts written completely to servers
	KnownServers   int                     `json:"known_servers"`   // in the list
	SkippedServers int                     `json:"skipped_servers"` // in the list, but currently avoided
}

// endCounts count the ended requests of one class.
type endCounts struct{ passed, dropped, badGateway atomic.Int64 }

// add counts an ended request by its status; 0 means that its client disconnected.
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

// totals count requests since the start of the process. They are safe for concurrent use.
type totals struct {
	inProgress, attempts atomic.Int64

	mu      sync.Mutex
	classes map[string]*endCounts // including classes that a reload has removed

	lastView atomic.Pointer[limiter.View]
}

// classCounts returns the counts of classes by name, adding missing ones.
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

// Figures returns the limiter's statistics since its start and its current state.
func (n *Node) Figures() Figures {
	v := n.moduleView()
	f := Figures{Handled: map[string]ClassFigures{}, InProgress: n.totals.inProgress.Load(),
		UpstreamTries: n.totals.attempts.Load(), KnownServers: v.Known, SkippedServers: v.Skipped}
	n.totals.mu.Lock()
	defer n.totals.mu.Unlock()
	for name, e := range n.totals.classes {
		f.Handled[name] = ClassFigures{e.passed.Load(), e.dropped.Load(), e.badGateway.Load()}
	}
	return f
}

// moduleView returns the module's current view, or its last one while the module is busy.
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

// countInProgress counts a request as in progress once its last byte has been read.
func (n *Node) countInProgress(r *request) {
	if !r.countedInProgress {
		r.countedInProgress = true
		n.totals.inProgress.Add(1)
	}
}

// jsonLine returns the figures as one line of JSON.
func (f Figures) jsonLine() (string, error) {
	b, err := json.Marshal(f)
	return string(b) + "\n", err
}
