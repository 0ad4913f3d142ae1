package registry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/control/freshness"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
)

// registries runs up to three registries on loopback addresses, without configuration stores.
type registries struct {
	t    *testing.T
	stop [3]context.CancelFunc
	call *rpc.Caller
}

func (h *registries) ip(i int) string { return fmt.Sprintf("127.80.1.%d", i+1) }

func (h *registries) start(i int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	set := &nodesettings.Settings{Node: fmt.Sprintf("core-%d", i+1), IP: h.ip(i), Bootstrap: true, Zone: "z", Zones: map[string]string{"z": "r"}, Ports: [2]int{7460, 7475}, Heartbeat: 300 * time.Millisecond,
		Listen: map[string]string{"control_plane": h.ip(i) + ":8383"}, Seeds: []string{h.ip(0) + ":8383", h.ip(1) + ":8383", h.ip(2) + ":8383"}}
	ctx, stop := context.WithCancel(context.Background())
	h.stop[i] = stop
	go func() {
		if err := Run(ctx, set, log); err != nil {
			h.t.Error(err)
		}
	}()
}

func (h *registries) post(i int, path, body string) (int, string) {
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Post("http://"+h.ip(i)+":8383"+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(text)
}

func heartbeatBody(state string, sequence int) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","capacity_slots":2,"state":%q,"warmup_left":"0ms","sequence":%d}`, state, sequence)
}

func (h *registries) until(ctx context.Context, what string, ok func() bool) {
	h.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			h.t.Fatalf("timed out waiting: %s", what)
		case <-tick.C:
		}
	}
}

// pullAll returns what a limiter without any state receives.
func (h *registries) pullAll(ctx context.Context, i int) (a PullResponse, err error) {
	err = h.call.Call(ctx, h.ip(i)+":7461", CallPull, PullRequest{}, &a, time.Second)
	return a, err
}

// A registry without contact to a majority acknowledges no drain and no heartbeat, and reports in its answers to
// pulls that it is isolated. Together with a second registry it acknowledges a drain that both hold, and the drain
// survives the loss of the first one.
func TestDrainsAreAcknowledgedByAMajority(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	h := &registries{t: t, call: rpc.NewCaller()}
	h.start(0)
	h.until(ctx, "the first registry answers", func() bool {
		status, _ := h.post(0, "/instances/i-1/heartbeat", heartbeatBody("available", 1))
		return status != 0
	})
	for _, what := range []string{"/instances/i-1/heartbeat", "/instances/i-2/deregister"} {
		if status, text := h.post(0, what, heartbeatBody("draining", 2)); status != 503 || !strings.Contains(text, "apart") {
			t.Errorf("%s without a majority: %d %s", what, status, text)
		}
	}
	for range 2 { // whether it changes the record or not: other registries would consider the server silent
		if status, text := h.post(0, "/instances/i-3/heartbeat", heartbeatBody("available", 1)); status != 503 || !strings.Contains(text, "apart") {
			t.Errorf("heartbeat without a majority: %d %s", status, text)
		}
	}
	if a, err := h.pullAll(ctx, 0); err != nil || !a.Isolated {
		t.Errorf("pull from a registry without a majority: not apart, error %v", err)
	}
	h.start(1)
	h.until(ctx, "two registries acknowledge a drain", func() bool {
		status, _ := h.post(0, "/instances/i-1/heartbeat", heartbeatBody("draining", 3))
		return status == 200
	})
	// The first registry stops right after: the second one holds the drain, and a late heartbeat does not undo it.
	h.stop[0]()
	h.until(ctx, "the second registry knows of the drain", func() bool {
		h.post(1, "/instances/i-1/heartbeat", heartbeatBody("available", 1))
		a, err := h.pullAll(ctx, 1)
		for _, r := range a.Records {
			if r.ID == "i-1" {
				return err == nil && r.State == catalog.Draining
			}
		}
		return false
	})
	h.stop[1]()
}

func TestBadCalls(t *testing.T) {
	h := &Registry{settings: &nodesettings.Settings{Zones: map[string]string{"z": "r"}, Listen: map[string]string{}}, acknowledgedDrains: map[string]bool{}, contacts: freshness.NewContacts(""), register: &controlstate.Register{}, localCatalog: catalog.New("s"), changed: make(chan struct{})}
	for _, x := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/instances/i/heartbeat", "", 405}, {"POST", "/instances//heartbeat", "", 400}, {"POST", "/instances/i/dance", "", 404},
		{"POST", "/instances/i/heartbeat", "{", 400}, {"POST", "/instances/i/heartbeat", heartbeatBody("dizzy", 1), 400},
		{"POST", "/instances/i/heartbeat", `{"service":"@cores","address":"a","state":"available"}`, 400},
		{"POST", "/instances/i/heartbeat", `{"service":"s","address":"a","state":"available","warmup_left":"long"}`, 400},
		{"POST", "/evacuation/nowhere/begin", "", 404}, {"GET", "/evacuation/z/begin", "", 405}, {"POST", "/config/fetch", "", 405}, {"GET", "/", "", 404},
	} {
		r, err := http.NewRequest(x.method, "http://h"+x.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if a := h.handleAPI(context.Background(), r, []byte(x.body)); a.Status != x.status || len(a.Body) == 0 {
			t.Errorf("%s %s: %d %s, %d wanted", x.method, x.path, a.Status, a.Body, x.status)
		}
	}
}
