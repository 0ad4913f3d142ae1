//go:build !platform

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/plugin"
)

// pluginCommand groups the commands for authors of plug-ins and for operators.
type pluginCommand struct {
	New     pluginNewCommand     `cmd:"" help:"Begin a plug-in: a folder with a rule in Go, its test and all that it is built with."`
	Build   pluginBuildCommand   `cmd:"" help:"Build a plug-in in Go."`
	Inspect pluginInspectCommand `cmd:"" help:"Tell what a module imports and exports, its size, and whether it fits the ABI."`
	Test    pluginTestCommand    `cmd:"" help:"Ask a module about written requests, and print its advice and what each call took."`
	Bench   pluginBenchCommand   `cmd:"" help:"Measure calls of a module."`
	Status  pluginStatusCommand  `cmd:"" help:"Show the plug-ins of a running limiter."`
	Reset   pluginResetCommand   `cmd:"" help:"Let a benched plug-in of a running limiter back at once."`
}

// moduleFile is the argument that names a WebAssembly module.
type moduleFile struct {
	Module string `arg:"" help:"The module (.wasm)." type:"path"`
}

// maxModuleBytes is the largest module file that is accepted.
const maxModuleBytes = 64 << 20

func (m *moduleFile) read() ([]byte, error) {
	f, err := os.Open(m.Module)
	if err != nil {
		return nil, fmt.Errorf("module: %w", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxModuleBytes+1))
	if err == nil && len(data) > maxModuleBytes {
		err = fmt.Errorf("more than %d bytes", maxModuleBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("module %s: %w", m.Module, err)
	}
	return data, nil
}

// pluginInspectCommand prints a module's imports, exports and size, and checks it against the ABI.
type pluginInspectCommand struct{ moduleFile }

// Run executes `madderdrum plugin inspect`.
func (c *pluginInspectCommand) Run() error {
	data, err := c.read()
	if err != nil {
		return err
	}
	r, err := plugin.Inspect(context.Background(), data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Module, err)
	}
	fmt.Printf("%s: %d bytes, memory from %d KiB on\n", c.Module, r.Bytes, r.MinMemory>>10)
	for _, x := range r.Imports {
		fmt.Println("  imports", x)
	}
	for _, x := range r.Exports {
		fmt.Println("  exports", x)
	}
	if r.Problem != nil {
		return fmt.Errorf("%s: %w", c.Module, r.Problem)
	}
	fmt.Println("it fits the ABI, version", advice.Version)
	return nil
}

// budget holds the resource limits and the random seed that a module runs with.
type budget struct {
	Call   time.Duration `default:"5ms" help:"Time of one call."`
	Memory int           `default:"16" help:"Memory of one instance in MiB."`
	Seed   uint64        `default:"1" help:"Of the module's random numbers."`
}

// load compiles and instantiates the module; its log goes to standard error.
func (m *moduleFile) load(ctx context.Context, b *budget) (*plugin.Plugin, error) {
	switch {
	case b.Call <= 0 || b.Call > time.Minute:
		return nil, fmt.Errorf("--call %v: above 0 and up to 1m", b.Call)
	case b.Memory < 1 || b.Memory > 1024:
		return nil, fmt.Errorf("--memory %d: from 1 to 1024", b.Memory)
	}
	data, err := m.read()
	if err != nil {
		return nil, err
	}
	return plugin.Load(ctx, data, plugin.Options{Name: m.Module, Seed: b.Seed, Body: true, Log: func(line string) { fmt.Fprintln(os.Stderr, line) },
		Limits: plugin.Limits{Call: b.Call, Memory: b.Memory << 20, PerSecond: 1 << 40}, Wait: true})
}

// pluginTestCommand calls a module with requests from a file and prints its advice.
type pluginTestCommand struct {
	moduleFile
	budget
	Requests string `short:"r" required:"" help:"File with a request a line, as JSON, such as {\"account\": 7, \"class\": \"send-reminder\", \"pressure\": 0.2}." type:"path"`
}

// testRequest is a request in the JSON lines format of `plugin test` and `replay --record`.
type testRequest struct {
	Account  uint64            `json:"account"`
	Plan     string            `json:"plan,omitempty"`
	Class    string            `json:"class,omitempty"`
	Method   string            `json:"method,omitempty"`
	Path     string            `json:"path,omitempty"`
	Headers  map[string]string `json:"headers,omitempty"`
	Units    float64           `json:"units,omitempty"`
	Balance  float64           `json:"balance,omitempty"`
	Pressure float64           `json:"pressure,omitempty"`
	LeftMs   float64           `json:"left_ms,omitempty"`
	Retry    bool              `json:"retry,omitempty"`
	Body     string            `json:"body,omitempty"`
}

func newTestRequest(r *advice.Request) *testRequest {
	return &testRequest{Account: r.Account, Plan: r.PlanName, Class: r.ClassName, Method: r.Method, Path: r.Path, Units: r.Units, Balance: r.Balance,
		Pressure: r.Pressure, LeftMs: r.LeftMs, Retry: r.Retry}
}

func (w *testRequest) request() *advice.Request {
	r := &advice.Request{Account: w.Account, PlanName: w.Plan, ClassName: w.Class, Method: w.Method, Path: w.Path, Units: w.Units,
		Balance: w.Balance, Pressure: w.Pressure, LeftMs: w.LeftMs, Retry: w.Retry}
	if w.Body != "" {
		r.Body = []byte(w.Body)
	}
	for k, v := range w.Headers {
		r.Headers = append(r.Headers, [2]string{k, v})
	}
	slices.SortFunc(r.Headers, func(a, b [2]string) int {
		if a[0] < b[0] {
			return -1
		}
		return 1
	})
	return r
}

// Run executes `madderdrum plugin test`.
func (c *pluginTestCommand) Run() error {
	ctx := context.Background()
	f, err := os.Open(c.Requests)
	if err != nil {
		return fmt.Errorf("--requests: %w", err)
	}
	defer f.Close()
	module, err := c.load(ctx, &c.budget)
	if err != nil {
		return err
	}
	defer module.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	failed := 0
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var line testRequest
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return fmt.Errorf("%s:%d: %w", c.Requests, lineNumber, err)
		}
		begun := time.Now()
		r := line.request()
		if !module.WantsBody() {
			r.Body = nil
		}
		a, err := module.Advise(r, 0)
		took := time.Since(begun).Round(100 * time.Nanosecond)
		if err != nil {
			failed++
			fmt.Printf("%d\t%v\tno advice: it %v\n", lineNumber, took, err)
			continue
		}
		fmt.Printf("%d\t%v\t%s\n", lineNumber, took, describeAdvice(a))
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", c.Requests, err)
	}
	if failed > 0 {
		return fmt.Errorf("%d calls failed", failed)
	}
	return nil
}

// describeAdvice formats advice for the terminal.
func describeAdvice(a advice.Advice) string {
	s := ""
	add := func(format string, args ...any) {
		if s != "" {
			s += ", "
		}
		s += fmt.Sprintf(format, args...)
	}
	if a.Refuse {
		add("refuse, come back in %.0f ms (%s)", a.WaitMs, a.Reason)
	}
	if a.Priority != 0 {
		add("priority x %g", a.Priority)
	}
	if a.Label != "" {
		add("label %q", a.Label)
	}
	if a.Prefer != "" {
		add("prefer %q", a.Prefer)
	}
	if a.Avoid != "" {
		add("avoid %q", a.Avoid)
	}
	if s == "" {
		return "no opinion"
	}
	return s
}

// pluginBenchCommand measures the latency of calls of a module.
type pluginBenchCommand struct {
	moduleFile
	budget
	Calls int    `default:"20000" help:"So many."`
	Class string `help:"Class of the request that is asked about."`
}

// Run executes `madderdrum plugin bench`.
func (c *pluginBenchCommand) Run() error {
	if c.Calls < 1 || c.Calls > 10_000_000 {
		return fmt.Errorf("--calls %d: from 1 to 10000000", c.Calls)
	}
	ctx := context.Background()
	begun := time.Now()
	p, err := c.load(ctx, &c.budget)
	if err != nil {
		return err
	}
	defer p.Close()
	started := time.Since(begun)
	r := &advice.Request{Account: 7, ClassName: c.Class, Method: "POST", Path: "/v1/messages", Units: 1, Pressure: 0.2}
	took := make([]time.Duration, 0, c.Calls)
	failed := 0
	for range c.Calls {
		begun := time.Now()
		_, err := p.Advise(r, 0)
		took = append(took, time.Since(begun))
		if errors.Is(err, plugin.ErrBenched) {
			return fmt.Errorf("%s: benched after %d calls, %d faults", c.Module, len(took), failed)
		}
		if err != nil {
			failed++
		}
	}
	slices.Sort(took)
	at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))] }
	fmt.Printf("loaded in %v; %d calls, %d failed: median %v, 99%% %v, longest %v\n", started.Round(time.Microsecond), c.Calls, failed, at(0.5), at(0.99), at(1))
	return nil
}
