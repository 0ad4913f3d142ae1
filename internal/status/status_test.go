package status

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
)

func TestTiers(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	var reset []string
	s, err := Listen("127.0.0.1:0", Sources{Tiers: func() State {
		return State{"n0", []Tier{{"paid", "near", "held down", false, 0.05, 0, 6, 4, "held for 2.0 s more"}, {"paid", "the others", "slow", true, 1, 0.125, 6, 6, "5%"}}}
	}, Plugins: func() PluginState {
		return PluginState{"n0", []Plugin{{Name: "friday", Calls: 9, Refused: 2}, {Name: "loop", Faults: 3, BenchedForMs: 1500, LastFault: "ran past its time"}}, []Label{{"sale", 5, 2, 1}}}
	}, Reset: func(name string) bool { reset = append(reset, name); return name == "loop" }}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	get := func(method, path, accept string, headers ...string) (int, string, string) {
		q, _ := http.NewRequest(method, "http://"+s.Addr().String()+path, nil)
		for _, h := range headers {
			q.Header.Set(h, "1")
		}
		q.Header.Set("Accept", accept)
		w, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Body.Close()
		data, _ := io.ReadAll(w.Body)
		return w.StatusCode, w.Header.Get("Content-Type"), string(data)
	}
	code, kind, body := get("GET", "/tiers", "*/*")
	var got State
	if err := json.Unmarshal([]byte(body), &got); err != nil || code != 200 || kind != "application/json" || len(got.Tiers) != 2 || got.Tiers[0].Usable != 4 || !got.Tiers[1].Sole {
		t.Errorf("%d %s %v %s", code, kind, err, body)
	}
	for _, x := range [][2]string{{"/tiers", "text/plain"}, {"/tiers?format=text", "*/*"}} {
		if _, _, body := get("GET", x[0], x[1]); !strings.Contains(body, "paid  near        held down   5%     0%       4 of 6  held for 2.0 s more") || !strings.Contains(body, "slow, sole") {
			t.Errorf("%s", body)
		}
	}
	if code, _, _ := get("POST", "/tiers", ""); code != http.StatusMethodNotAllowed {
		t.Errorf("POST: %d", code)
	}
	var plugins PluginState
	if _, _, body := get("GET", "/plugins", "*/*"); json.Unmarshal([]byte(body), &plugins) != nil || len(plugins.Plugins) != 2 || plugins.Labels[0].Refused != 2 {
		t.Errorf("%s", body)
	}
	if _, _, body := get("GET", "/plugins", "text/plain"); !strings.Contains(body, "friday   asked") || !strings.Contains(body, "benched for 1.5 s") || !strings.Contains(body, "sale") {
		t.Errorf("%s", body)
	}
	for _, x := range []struct {
		path, header string
		want         int
	}{{"/plugins/loop/reset", "", 403}, {"/plugins/nobody/reset", ResetHeader, 404}, {"/plugins/loop/reset", ResetHeader, 204}} {
		if code, _, _ := get("POST", x.path, "", strings.Fields(x.header)...); code != x.want {
			t.Errorf("%s with %q: %d", x.path, x.header, code)
		}
	}
	if len(reset) != 2 {
		t.Errorf("reset %v", reset)
	}
	if code, _, _ := get("GET", "/", ""); code != http.StatusNotFound {
		t.Errorf("/: %d", code)
	}
	stop()
	if err := <-ended; err != nil {
		t.Errorf("after the context ended: %v", err)
	}
	if _, err := Listen("nowhere:0x", Sources{}, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "status:") {
		t.Errorf("a bad address: %v", err)
	}
}
