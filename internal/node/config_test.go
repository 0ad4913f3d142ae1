package node

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/limiter"
)

func TestConfig(t *testing.T) {
	t.Parallel()
	c := testConfig(t, "127.0.0.1:8500", server("s-1", "127.0.0.1:3000"))
	s := c.Settings
	if c.Name != "n0" || c.Seed != 0x8c1f30d27a5be964 || c.Limits.Sockets != 1024 || len(c.InitialServers.Hosts) != 1 || c.InitialServers.Seq != 1 {
		t.Errorf("config %+v", c)
	}
	if s.Module.Classes[1].Repeat != limiter.Keyed || s.Module.Classes[1].Group != limiter.GroupCell ||
		s.Module.Plans[1].Rate != 1000 || s.ClassIndex["send-bulk-paid"] != 2 || s.PlanIndex["enterprise"] != 1 ||
		len(s.Zones) != 2 || s.Zones[1] != "room-b" || s.ConnIdle != 30*time.Second || s.MaxDeadline != 15*time.Second {
		t.Errorf("settings %+v", s)
	}
}

// An invalid configuration prevents the start with an error that names the invalid setting.
func TestBadConfig(t *testing.T) {
	t.Parallel()
	good := func() map[string]any {
		var settings map[string]any
		if err := json.Unmarshal([]byte(testSettings), &settings); err != nil {
			t.Fatal(err)
		}
		return map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
			"limits": map[string]any{"cores": 1}, "settings": settings}
	}
	for name, change := range map[string]func(c, settings map[string]any){
		"listen":          func(c, _ map[string]any) { c["listen"] = "here" },
		"discovery":       func(c, _ map[string]any) { delete(c, "discovery") },
		"seed":            func(c, _ map[string]any) { c["seed"] = "xyz" },
		"limits":          func(c, _ map[string]any) { c["limits"] = map[string]any{"sockets": 3} },
		"settings":        func(c, _ map[string]any) { delete(c, "settings") },
		"request_classes": func(_, s map[string]any) { s["request_classes"] = []any{map[string]any{"promise_ms": 1}} },
		"packages":        func(_, s map[string]any) { s["packages"] = []any{} },
		"balancers":       func(_, s map[string]any) { s["balancers"] = "many" },
		"peers": func(c, s map[string]any) {
			s["caps"].(map[string]any)["peer_messages"] = true
			c["peer_listen"], c["peers"] = "127.0.0.1:0", []string{}
		},
	} {
		c := good()
		change(c, c["settings"].(map[string]any))
		data, _ := json.Marshal(c)
		cfg, err := load(t, data)
		if err == nil {
			_, err = limiter.New(cfg.Settings.Module, 1)
		}
		if err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := load(t, []byte("{")); err == nil {
		t.Error("an incomplete file was accepted")
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("a missing NODE_CONFIG was accepted")
	}
}

// The admin address of the environment overrides the one of the file; without either there is none.
func TestAdminAddr(t *testing.T) {
	for _, x := range []struct {
		file, env, want string
		bad             bool
	}{
		{"", "", "", false},
		{"127.0.0.1:9001", "", "127.0.0.1:9001", false},
		{"127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9002", false},
		{"", "127.0.0.1:9002", "127.0.0.1:9002", false},
		{"localhost:9001", "", "", true},
		{"", "127.0.0.1", "", true},
		{"127.0.0.1:70000", "", "", true},
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		text := strings.Replace(string(configText("127.0.0.1:1")), `"name"`, `"admin_addr":"`+x.file+`","name"`, 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := LoadConfig(func(name string) string {
			return map[string]string{"NODE_CONFIG": path, "NODE_ADMIN_ADDR": x.env}[name]
		})
		switch {
		case x.bad && (err == nil || !strings.Contains(err.Error(), "admin_addr")):
			t.Errorf("file %q, environment %q: %v", x.file, x.env, err)
		case !x.bad && (err != nil || cfg.AdminAddr != x.want):
			t.Errorf("file %q, environment %q: %+v, %v", x.file, x.env, cfg, err)
		}
	}
}
