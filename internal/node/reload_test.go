package node

import (
	"net/http"
	"os"
	"strings"
	"testing"
)

// writeConfigFile replaces the limiter's configuration file.
func (r *rig) writeConfigFile(data []byte) {
	r.t.Helper()
	if err := os.WriteFile(r.node.cfg.path, data, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// waitServedBy waits until a server with the given name answers.
func (r *rig) waitServedBy(by string) {
	r.t.Helper()
	waitFor(r.t, "served by "+by, func() bool {
		_, body, _ := r.do(r.newRequest("status-check", "enterprise", ""))
		return body == by
	})
}

// namedServer runs a server that answers with its name.
func namedServer(t *testing.T, name string) string {
	return serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(name)) })
}

// A new discovery address takes effect on reload: the old watch ends at once, the new agent is asked for the
// complete list, and requests in progress continue.
func TestReloadMovesTheWatch(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := start(t, server("s-a", srv.addr))
	out := r.send(r.newRequest("send-bulk-paid", "enterprise", ""))
	c := srv.accept()
	c.request()
	waitFor(t, "a watch is open", func() bool { return r.discovery.openWatches.Load() == 1 })

	next := newDiscovery(t, server("s-b", namedServer(t, "b")))
	next.list.Seq = 1 // an independent sequence, below the first one's
	r.writeConfigFile(configText(next.addr))
	r.node.Reload()
	waitFor(t, "the old watch ends", func() bool { return r.discovery.openWatches.Load() == 0 })
	// Before the new list is applied, requests go to the silent server and wait there until their timeout:
	// longer than the request in progress has left.
	waitFor(t, "the new list is applied", func() bool { return strings.Contains(r.log.String(), "host=s-b") })
	r.waitServedBy("b")
	next.mu.Lock()
	if next.firstCall != "/v1/servers" {
		t.Errorf("the first call was %q", next.firstCall)
	}
	next.mu.Unlock()
	calls := r.discovery.callCount()
	next.set(server("s-c", namedServer(t, "c")))
	r.waitServedBy("c")
	if n := r.discovery.callCount(); n != calls {
		t.Errorf("%d more calls to the old address", n-calls)
	}
	c.answer("200 OK", "in hand")
	if res := r.received(out); res.status != 200 || res.body != "in hand" {
		t.Errorf("the request in progress got %d %q", res.status, res.body)
	}
}

// An unusable file changes nothing. It may be partly written: it is read again soon without another signal.
func TestReloadOfABadFile(t *testing.T) {
	t.Parallel()
	r := start(t, server("s-a", namedServer(t, "a")))
	next := newDiscovery(t, server("s-b", namedServer(t, "b")))
	good := configText(next.addr)
	for _, text := range []string{"", string(good[:len(good)/2]), strings.Replace(string(good), next.addr, "nowhere", 1)} {
		r.writeConfigFile([]byte(text))
		lines := strings.Count(r.log.String(), "kept the configuration")
		r.node.Reload()
		waitFor(t, "the bad file is noticed", func() bool {
			return strings.Count(r.log.String(), "kept the configuration") > lines
		})
		if _, body, _ := r.do(r.newRequest("status-check", "enterprise", "")); body != "a" {
			t.Errorf("served by %q", body)
		}
	}
	if next.callCount() > 0 {
		t.Error("a bad file moved the watch")
	}
	r.writeConfigFile(good)
	r.waitServedBy("b")
}

// At the start the environment overrides the file, but it can't change later: a file with a changed address
// moves the watch, and an unchanged file does not.
func TestReloadAgainstTheEnvironment(t *testing.T) {
	t.Parallel()
	old, next := newDiscovery(t, server("s-a", namedServer(t, "a"))), newDiscovery(t, server("s-b", namedServer(t, "b")))
	r := startWith(t, func(c *Config) {
		c.Discovery = old.addr
		c.getenv = func(name string) string {
			return map[string]string{"NODE_DISCOVERY": old.addr}[name]
		}
	}, server("s-x", namedServer(t, "x")))
	r.waitServedBy("a")
	calls := r.discovery.callCount()
	r.node.Reload() // the unchanged file, with an address that was never used
	waitFor(t, "the file is read", func() bool {
		return strings.Contains(r.log.String(), "read the configuration again")
	})
	r.writeConfigFile(configText(next.addr))
	r.node.Reload()
	r.waitServedBy("b")
	if n := r.discovery.callCount(); n != calls {
		t.Errorf("%d calls to an address that the unchanged file names", n-calls)
	}
}

// A changed admin address requires a restart, which the log says; the old address stays in use.
func TestReloadOfAnAdminAddress(t *testing.T) {
	t.Parallel()
	r := startWith(t, withAdmin, server("s-1", echo(t)))
	text := strings.Replace(string(configText(r.discovery.addr)), `"name"`, `"admin_addr":"127.0.0.1:9","name"`, 1)
	r.writeConfigFile([]byte(text))
	r.node.Reload()
	waitFor(t, "the log says so", func() bool { return strings.Contains(r.log.String(), "a changed admin_addr needs a restart") })
	if got := r.adminCall("ready"); got != "YES serving\n" {
		t.Errorf("ready: %q", got)
	}
}
