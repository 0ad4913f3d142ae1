package forwardauth_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"example.org/madderdrum/deploy"
)

// BenchmarkCost compares an authorization request with a forwarded request: CPU time of the built
// program's process and latency, with a box that responds at once, and both with a baseline made
// of standard parts (see standIn). Run with -benchtime 20000x.
func BenchmarkCost(b *testing.B) {
	dir := b.TempDir()
	program := filepath.Join(dir, "madderdrum")
	if out, err := exec.Command("go", "build", "-o", program, "example.org/madderdrum/cmd/madderdrum").CombinedOutput(); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	box, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") })}
	go server.Serve(box)
	defer server.Close()
	ports := make([]string, 2)
	for i := range ports {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		ports[i] = ln.Addr().String()
		ln.Close()
	}
	text := string(deploy.Bluebird)
	text = strings.Replace(text[:strings.Index(text, `limiter "n0"`)], `rate         = "28/s"`, `rate = "1000000/s"`, 1)
	text = strings.Replace(text, "burst        = 70", "burst = 1000000", 1)
	text += fmt.Sprintf("limiter \"n0\" {\n room = \"room-a\"\n listen = %q\n}\nbox \"a\" {\n room = \"room-a\"\n dial = %q\n cores = 2\n slots = 16\n queue = 40\n}\n", ports[0], box.Addr())
	asks := fmt.Sprintf("forward_auth \"n0\" {\n listen = %q\n keys_file = %q\n leases = 1000000\n", ports[1], filepath.Join(dir, "keys"))
	for _, mode := range []string{"asked-only", "ask-then-carry"} {
		asks += fmt.Sprintf(" proxy %q {\n dialect = \"traefik\"\n mode = %q\n from = [\"127.0.0.1\"]\n secret_file = %q\n lease = \"1s\"\n }\n", mode, mode, filepath.Join(dir, mode))
	}
	for name, content := range map[string]string{"fleet.hcl": text, "ask.hcl": asks + "}\n", "keys": "k " + strings.Repeat("k", 20),
		"asked-only": "secret-for-asked-only", "ask-then-carry": "secret-for-ask-then-carry"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	cmd := exec.Command(program, "serve", filepath.Join(dir, "fleet.hcl"), "--forward-auth", filepath.Join(dir, "ask.hcl"))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = []string{"GOMAXPROCS=1"}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	for end := time.Now().Add(10 * time.Second); ; {
		if resp, err := http.Get("http://" + ports[0] + "/healthz"); err == nil {
			resp.Body.Close()
			break
		}
		if time.Now().After(end) {
			b.Fatal("not ready")
		}
	}
	pid := cmd.Process.Pid
	cpu := func() time.Duration {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			b.Fatal(err)
		}
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')'):]))
		var user, system int64
		fmt.Sscan(fields[12], &user)
		fmt.Sscan(fields[13], &system)
		return time.Duration(user+system) * 10 * time.Millisecond // clock ticks of 1/100 s
	}
	const clients = 4
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	run := 0
	modes := []string{"carried", "asked-only", "ask-then-carry", "asked-only-at-12000-a-second"}
	plain, plainPID := startStandIn(b, box.Addr().String())
	const plainProxy, plainAsk = "stand-in-proxy", "stand-in-ask"
	modes = append(modes, plainProxy, plainAsk)
	for _, way := range modes {
		b.Run(way, func(b *testing.B) {
			run++
			pid = cmd.Process.Pid
			if way == plainProxy || way == plainAsk {
				pid = plainPID
			}
			mode, pause := way, time.Duration(0)
			if paced := "asked-only-at-12000-a-second"; way == paced { // half of its measured capacity
				mode, pause = "asked-only", clients*time.Second/12_000
			}
			var mu sync.Mutex
			var latencies []time.Duration
			refused := 0
			before, start := cpu(), time.Now()
			var all sync.WaitGroup
			for k := range clients {
				all.Go(func() {
					for i := range b.N/clients + 1 {
						url := "http://" + ports[0] + fmt.Sprintf("/api?key=%016x", i%100)
						switch way {
						case "carried":
						case plainProxy:
							url = "http://" + plain + fmt.Sprintf("/api?key=%016x", i%100)
						case plainAsk:
							url = "http://" + plain + "/ask"
						default:
							url = "http://" + ports[1] + "/ask"
						}
						if pause > 0 {
							time.Sleep(time.Until(start.Add(time.Duration(i) * pause)))
						}
						q, err := http.NewRequest("GET", url, nil)
						if err != nil {
							b.Error(err)
							return
						}
						q.Header = http.Header{"X-Request-Id": {fmt.Sprint(run, "-", b.N, "-", k, "-", i)}, "X-Priority-Class": {"status-check"}, "Plan": {"enterprise"},
							"X-Timeout": {"700m"}, "Quota-Info": {"units=1,spread=1,first=0"}, "X-Proxy-Secret": {"secret-for-" + mode},
							"X-Forwarded-Method": {"GET"}, "X-Forwarded-Uri": {fmt.Sprintf("/api?key=%016x", i%100)}}
						at := time.Now()
						resp, err := client.Do(q)
						if err != nil {
							b.Error(err)
							return
						}
						io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
						mu.Lock()
						latencies = append(latencies, time.Since(at))
						if resp.StatusCode != 200 {
							refused++
						}
						mu.Unlock()
					}
				})
			}
			all.Wait()
			n := float64(len(latencies))
			slices.Sort(latencies)
			b.ReportMetric(float64((cpu()-before).Microseconds())/n, "cpu-us")
			b.ReportMetric(n/time.Since(start).Seconds(), "per-s")
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(refused), "refused")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// standInEnv makes the test program serve as the baseline proxy for the box at this address.
const standInEnv = "FORWARDAUTH_STAND_IN_BOX"

func TestMain(m *testing.M) {
	if box := os.Getenv(standInEnv); box != "" {
		fmt.Fprintln(os.Stderr, standIn(box))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// standIn serves the baseline until the process is killed: /ask checks a token bucket
// (golang.org/x/time/rate) per account; other paths do the same and forward the request with
// httputil.ReverseProxy. It prints its address to standard output.
func standIn(box string) error {
	var mu sync.Mutex
	buckets := map[string]*rate.Limiter{}
	allow := func(key string) bool {
		mu.Lock()
		defer mu.Unlock()
		l := buckets[key]
		if l == nil {
			l = rate.NewLimiter(1e6, 1e6)
			buckets[key] = l
		}
		return l.Allow()
	}
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.Out.URL.Scheme, r.Out.URL.Host = "http", box }}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	return http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked := q.URL.Path == "/ask"
		key := q.URL.RawQuery
		if asked {
			key = q.Header.Get("X-Forwarded-Uri")
		}
		switch {
		case !allow(key):
			w.WriteHeader(http.StatusTooManyRequests)
		case !asked:
			proxy.ServeHTTP(w, q)
		}
	}))
}

// startStandIn starts the test program as the baseline proxy, on one core like the limiter.
func startStandIn(b *testing.B, box string) (addr string, pid int) {
	cmd := exec.Command(os.Args[0])
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = []string{"GOMAXPROCS=1", standInEnv + "=" + box}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	if _, err := fmt.Fscanln(out, &addr); err != nil {
		b.Fatal("the baseline proxy does not start: ", err)
	}
	return addr, cmd.Process.Pid
}
