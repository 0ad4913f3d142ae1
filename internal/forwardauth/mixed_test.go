package forwardauth_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/forwardauth"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/loopback"
	"example.org/madderdrum/internal/world"
)

// secretOf returns the secret of the simulated proxy of a dialect and mode.
func secretOf(dialect, mode string) string { return "the-secret-of-" + dialect + "-" + mode }

// start writes the configuration files of limiter n and starts it.
func start(t *testing.T, program, config, dir, ask string, n int) (loopback.Process, error) {
	// A directory per limiter: another limiter must not read a secret that is being written.
	dir = filepath.Join(dir, fmt.Sprint("n", n))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	text, err := loopback.ServeText(config, n)
	if err != nil {
		return nil, err
	}
	fleetFile, askFile := filepath.Join(dir, fmt.Sprint("fleet", n, ".hcl")), filepath.Join(dir, fmt.Sprint("ask", n, ".hcl"))
	asks := fmt.Sprintf("forward_auth \"n%d\" {\n listen = %q\n keys_file = %q\n", n, ask, filepath.Join(dir, "keys"))
	files := map[string]string{fleetFile: text, filepath.Join(dir, "keys"): "k " + strings.Repeat("k", 20)}
	for _, dialect := range forwardauth.DialectNames() {
		for _, mode := range []string{"asked-only", "ask-then-carry"} {
			path := filepath.Join(dir, dialect+mode)
			files[path] = secretOf(dialect, mode)
			asks += fmt.Sprintf(" proxy %q {\n dialect = %q\n mode = %q\n from = [\"127.0.0.0/8\"]\n secret_file = %q\n path_prefix = \"/ask\"\n lease = \"500ms\"\n }\n",
				dialect+mode, dialect, mode, path)
		}
	}
	files[askFile] = asks + "}\n"
	for path, content := range files {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command(program, "serve", fleetFile, "--limiter", fmt.Sprint("n", n), "--forward-auth", askFile)
	if os.Getenv("LOOPBACK_LOG") != "" {
		cmd.Stderr = os.Stderr
	}
	return loopback.StartCommand(cmd)
}

// Three limiters of the built program, one of which is killed, lose 8% of their peer messages.
// Eight accounts request six times their quota: a third directly, a third as asked-only and a
// third as ask-then-carry through any limiter, with simulated proxies of every dialect. No
// account may exceed its ceiling, and all three ways must be served.
func TestMixedTraffic(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "madderdrum")
	if out, err := exec.Command("go", "build", "-o", program, "example.org/madderdrum/cmd/madderdrum").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f := config.Bluebird()
	f.Network.PeerLoss = 0.08
	f.Traffic.Rate = 40
	faults, err := world.Scenario(f, "limiter n2 is killed at 2500ms for 500ms")
	if err != nil {
		t.Fatal(err)
	}
	asks := make([]string, len(f.Limiters))
	const length = 6 * time.Second
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, refused := map[string]int{}, map[string]int{}
	stop := make(chan struct{})
	o := loopback.Options{Fleet: f, Seed: 5, Source: world.NewSynthetic(f, 5, length), Faults: faults, Foreign: true,
		Start: func(config string, n int) (loopback.Process, error) {
			return start(t, program, config, dir, asks[n], n)
		}}
	for i := range asks { // separate loopback addresses, so that no other process takes the ports meanwhile
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.%d:0", 64+rand.IntN(128), 1+i))
		if err != nil {
			t.Fatal(err)
		}
		asks[i] = ln.Addr().String()
		ln.Close()
	}
	o.Ready = func(r *loopback.Run) {
		for k := range 8 {
			clients.Go(func() {
				c := &client{r: r, f: f, asks: asks, account: 200 + uint64(k), dialects: forwardauth.DialectNames(), rng: rand.New(rand.NewPCG(7, uint64(k))),
					http: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
				tick := time.NewTicker(25 * time.Millisecond) // 40 units a second against 7
				defer tick.Stop()
				for {
					select {
					case <-stop:
						if c.unexpected != "" {
							t.Error(c.unexpected)
						}
						return
					case <-tick.C:
					}
					way, ok := c.sendOne()
					mu.Lock()
					if ok {
						served[way]++
					} else {
						refused[way]++
					}
					mu.Unlock()
				}
			})
		}
	}
	r, err := loopback.Play(context.Background(), o)
	close(stop)
	clients.Wait()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("served %v, refused %v; checks %v", served, refused, r.Judge.CheckCounts)
	for _, b := range r.Judge.Breaches {
		if b.Rule == judge.CeilingsKept {
			t.Error(b)
		}
	}
	for _, way := range []string{"direct", "asked", "carried"} {
		if served[way] < 50 || refused[way] < 50 {
			t.Errorf("%s: served %d, refused %d", way, served[way], refused[way])
		}
	}
}

// client sends messages of one account, each directly, as asked-only or as ask-then-carry.
type client struct {
	r       *loopback.Run
	f       *fleet.Fleet
	asks    []string
	account uint64
	rng     *rand.Rand
	http    *http.Client
	n       int

	dialects   []string
	unexpected string // an unexpected response of a simulated proxy
}

func (c *client) sendOne() (way string, ok bool) {
	c.n++
	id := fmt.Sprintf("m%d-%d", c.account, c.n)
	way = []string{"direct", "asked", "carried"}[c.rng.IntN(3)]
	token := ""
	at := c.rng.IntN(len(c.asks))
	dialect := c.dialects[c.rng.IntN(len(c.dialects))]
	if way != "direct" {
		mode := map[string]string{"asked": "asked-only", "carried": "ask-then-carry"}[way]
		passed := false
		proxy := forwardauth.StandIn(dialect, c.asks[at], secretOf(dialect, mode), http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			passed, token = true, q.Header.Get("X-Grant")
		}))
		q := httptest.NewRequest("GET", c.path(), nil)
		c.setHeaders(q.Header, id)
		rec := httptest.NewRecorder()
		proxy.ServeHTTP(rec, q)
		if !passed {
			if rec.Code != 429 && rec.Code != 502 { // 502: the limiter that was killed
				c.unexpected = fmt.Sprintf("%s answered %d", dialect, rec.Code)
			}
			return way, false
		}
		if way == "asked" {
			c.r.Spent(judge.Request{Limiter: at, Account: c.account, Plan: 1, Units: 1})
			return way, true
		}
		at = c.rng.IntN(len(c.asks))
	}
	code, _ := c.send("http://"+c.r.Address(at)+c.path(), id, map[string]string{"X-Grant": token})
	if code == 200 {
		c.r.Spent(judge.Request{Limiter: at, Account: c.account, Plan: 1, Units: 1})
	}
	return way, code == 200
}

func (c *client) setHeaders(h http.Header, id string) {
	for name, v := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "status-check", "Plan": "business", "X-Timeout": "700m",
		"Quota-Info": "units=1,spread=3,first=0"} {
		h.Set(name, v)
	}
}

func (c *client) path() string { return fmt.Sprintf("/api?key=%016x", c.account) }

func (c *client) send(url, id string, extra map[string]string) (int, http.Header) {
	q, err := http.NewRequest("GET", url, nil)
	if err != nil {
		return 0, nil
	}
	c.setHeaders(q.Header, id)
	for name, v := range extra {
		if v != "" {
			q.Header.Set(name, v)
		}
	}
	resp, err := c.http.Do(q)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header
}
