//go:build !platform

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/deploy"
	"example.org/madderdrum/plugin/plugintest"
)

// BenchmarkPlugins measures the cost of plug-ins: the built program on one core, a box that responds
// immediately, and 32 closed-loop clients. It reports requests per second, CPU time of the limiter per
// request, and response times; "without" is the baseline without plug-ins in the same run.
func BenchmarkPlugins(b *testing.B) {
	bin := buildProgram(b)
	friday := filepath.Join(b.TempDir(), "friday.wasm")
	if out, err := exec.Command(bin, "plugin", "build", filepath.Join("..", "..", "examples", "plugins", "friday"), "-o", friday).CombinedOutput(); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	goModule, err := os.ReadFile(friday)
	if err != nil {
		b.Fatal(err)
	}
	quiet := plugintest.Module{}.Build()
	loops := plugintest.Module{Advise: plugintest.Join(plugintest.Forever(), plugintest.None)}.Build()
	for _, c := range []struct {
		name    string
		modules [][]byte
	}{
		{"without", nil}, {"1 without opinion", [][]byte{quiet}}, {"5 without opinion", slices.Repeat([][]byte{quiet}, 5)},
		{"1 by the Go tool chain", [][]byte{goModule}}, {"1 that loops", [][]byte{loops}}, {"10 that loop", slices.Repeat([][]byte{loops}, 10)},
		{"every bad one", badModules()}, {"1 that says the worst", [][]byte{plugintest.WithAdvice(advice.Advice{Priority: 1e300, Label: strings.Repeat("l", 200), Prefer: "x", Avoid: "y"}).Build()}},
	} {
		b.Run(c.name, func(b *testing.B) { benchPlugins(b, bin, c.modules) })
	}
}

func badModules() (all [][]byte) {
	for _, m := range plugintest.Bad() {
		all = append(all, m.Build())
	}
	return all
}

func benchPlugins(b *testing.B, bin string, modules [][]byte) {
	dir := b.TempDir()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	box := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })}
	go box.Serve(ln)
	defer box.Close()
	free, err := net.Listen("tcp", "127.78.0.3:0")
	if err != nil {
		b.Fatal(err)
	}
	addr := free.Addr().String()
	free.Close()
	text := string(deploy.Bluebird)
	text = text[:strings.Index(text, `limiter "n0"`)] + fmt.Sprintf("limiter \"n0\" {\n room = \"room-a\"\n listen = %q\n}\n", addr) +
		fmt.Sprintf("box \"a\" {\n room = \"room-a\"\n dial = %q\n cores = 2\n slots = 99\n queue = 9\n}\n", ln.Addr()) +
		"limits {\n cores = 1\n}\nplan \"bench\" {\n share = \"0%\"\n rate = \"1000000/s\"\n burst = 1000000\n}\n"
	for k, m := range modules {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprint("m", k, ".wasm")), m, 0o600); err != nil {
			b.Fatal(err)
		}
		text += fmt.Sprintf("plugin \"m%d\" {\n file = \"m%d.wasm\"\n order = %d\n calls = \"10000000/s\"\n may = [\"lower\", \"raise\", \"label\", \"tiers\"]\n}\n", k, k, k+1)
	}
	file := filepath.Join(dir, "main.hcl")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(bin, "serve", file)
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if w, err := client.Get("http://" + addr + "/healthz"); err == nil {
			w.Body.Close()
			if w.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(end) {
			b.Fatal("the limiter is not ready")
		}
	}
	var n, failed atomic.Int64
	var mu sync.Mutex
	var took []time.Duration
	before := cpuTime(b, cmd.Process.Pid)
	b.ResetTimer()
	var clients sync.WaitGroup
	for range 32 {
		clients.Go(func() {
			var own []time.Duration
			for k := n.Add(1); k <= int64(b.N); k = n.Add(1) {
				q, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/status?key=00000000b4d65521", nil)
				q.Header = http.Header{"X-Request-Id": {strconv.FormatInt(k, 10)}, "X-Priority-Class": {"status-check"}, "Plan": {"bench"}, "X-Timeout": {"700m"}, "Quota-Info": {"units=1,spread=1,first=0"}}
				begun := time.Now()
				w, err := client.Do(q)
				if err != nil || w.StatusCode != http.StatusOK {
					failed.Add(1)
				}
				if err == nil {
					io.Copy(io.Discard, w.Body)
					w.Body.Close()
				}
				own = append(own, time.Since(begun))
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, own...)
		})
	}
	clients.Wait()
	b.StopTimer()
	used := cpuTime(b, cmd.Process.Pid) - before
	slices.Sort(took)
	at := func(q float64) float64 { return float64(took[int(q*float64(len(took)-1))]) / float64(time.Millisecond) }
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/req")
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(100*float64(failed.Load())/float64(b.N), "%not-served")
	b.ReportMetric(0, "ns/op")
}

// cpuTime returns the CPU time of a process, with the resolution of the 10 ms clock ticks of Linux.
func cpuTime(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Skip("needs /proc: ", err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			b.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}
