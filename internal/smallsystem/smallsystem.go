// Package smallsystem runs a complete small system on loopback: three core machines, some limiters, and stub
// servers and operator calls of its own. Each machine has its own address in 127.0.0.0/8. It serves tests, and
// newcomers, who can start it with one command.
package smallsystem

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/madderdrum/internal/metrics"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
)

// Options configure the size of a System, its directories and its address range.
type Options struct {
	Programs string // directory with the three programs
	Dir      string // directory for settings, disks and logs
	Net      byte   // second byte of all addresses, 127.NET.x.y
	Edges    int
	Servers  int // servers, all of one service
	Log      func(format string, args ...any)
	Grace    time.Duration    // grace period between SIGTERM and SIGKILL; 0 means DefaultGrace
	Work     http.HandlerFunc // how servers handle a request; nil means that they answer at once
	// SmallWindows lets servers take little of a body that they do not read, as on a network with small windows. A
	// peer that writes more than that waits.
	SmallWindows bool
}

// DefaultGrace is the grace period of the programs if Options.Grace is 0.
const DefaultGrace = 3 * time.Second

const (
	coreCount         = 3
	controlPort       = 8383
	frontendPort      = 8389
	readyPort         = 8384
	directoryPort     = 8385
	firstInternalPort = 7460
	lastInternalPort  = 7475
	serverPort        = 8080
	heartbeatInterval = 300 * time.Millisecond
)

// metricsPorts holds the metrics port of each role; the programs of one machine share its address.
var metricsPorts = map[string]int{"proxy": 7470, "registry": 7471, "configstore": 7472}

// System is a running system: its programs and its stub servers.
type System struct {
	options  Options
	mu       sync.Mutex
	programs map[string]*program // by machine/role
	servers  []*Server
	client   *http.Client
	nextID   atomic.Uint64
}

type program struct {
	name, role, settings string
	cmd                  *exec.Cmd
	ended                chan struct{}
	err                  error // exit error; set before ended is closed
}

func (s *System) core(i int) string { return fmt.Sprintf("127.%d.1.%d", s.options.Net, i+1) }
func (s *System) edge(i int) string { return fmt.Sprintf("127.%d.2.%d", s.options.Net, i+1) }

// Start starts the programs of all machines and the servers, and does not wait until they are ready. Call Stop on
// the result even after an error.
func Start(options Options) (*System, error) {
	s := &System{options: options, programs: map[string]*program{}, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}}
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return s, fmt.Errorf("smallsystem: create directory for settings, disks and logs: %w", err)
	}
	for i := range coreCount {
		name := fmt.Sprintf("core-%d", i+1)
		for _, role := range []string{"configstore", "registry"} {
			listen := map[string]string{}
			if role == "registry" {
				listen["control_plane"] = fmt.Sprintf("%s:%d", s.core(i), controlPort)
			}
			if err := s.addProgram(name, role, "core", s.core(i), filepath.Join(options.Dir, "disk", name, role), listen); err != nil {
				return s, err
			}
		}
	}
	for i := range options.Edges {
		ip := s.edge(i)
		err := s.addProgram(fmt.Sprintf("edge-%d", i+1), "proxy", "edge", ip, "", map[string]string{
			"frontend": fmt.Sprintf("%s:%d", ip, frontendPort), "readiness": fmt.Sprintf("%s:%d", ip, readyPort),
			"directory": fmt.Sprintf("%s:%d", ip, directoryPort)})
		if err != nil {
			return s, err
		}
	}
	for i := range options.Servers {
		if _, err := s.AddServer(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

// addProgram writes the settings of a program and starts it.
func (s *System) addProgram(name, role, machineClass, ip, disk string, listen map[string]string) error {
	var seeds []string
	for i := range coreCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.core(i), controlPort))
	}
	grace := cmp.Or(s.options.Grace, DefaultGrace)
	text, err := json.MarshalIndent(map[string]any{
		"self_identity": map[string]any{"node_name": name, "role": role, "machine_class": machineClass, "serves": []string{},
			"ip_address": ip, "zone": "depot-a", "region": "depot", "quorum_member": machineClass == "core", "bootstrap": true,
			"data_dir": disk, "limits": map[string]any{"memory_mb": 200, "file_descriptors": 1024}},
		"network": map[string]any{"listen": listen, "internal_ports": []int{firstInternalPort, lastInternalPort}, "seed_nodes": seeds,
			"zones": map[string]string{"depot-a": "depot", "depot-b": "depot"}},
		"provider": map[string]any{"heartbeat": "300ms"},
		"timing_terms": map[string]any{"active_contracts": []string{"base"}, "fault_tolerance": map[string]int{"machines": 1},
			"bounds": map[string]any{"drain": "3s", "grace": fmt.Sprintf("%dms", grace.Milliseconds()), "config_apply": "3s", "revoke": "5s", "revocation_strict": true,
				"quota_window": "5s", "quota_overshoot": 0.1, "quota_slack": 20, "retry_budget_ratio": 0.2, "retry_slack": 58,
				"warmup_overshoot": 1.5, "warmup_slack": 5}},
	}, "", "  ")
	if err != nil {
		return err
	}
	p := &program{name: name, role: role, settings: filepath.Join(s.options.Dir, name+"-"+role+".json")}
	if err := os.WriteFile(p.settings, text, 0o644); err != nil {
		return err
	}
	s.mu.Lock()
	s.programs[name+"/"+role] = p
	s.mu.Unlock()
	return s.start(p)
}

// start starts a program. Its output is appended to a log file next to its settings.
func (s *System) start(p *program) error {
	out, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(s.options.Programs, p.role), "serve", "--metrics", strconv.Itoa(metricsPorts[p.role]))
	cmd.Env = append(os.Environ(), "MADDERDRUM_BOOT="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("smallsystem: start %s of %s: %w", p.role, p.name, err)
	}
	ended := make(chan struct{})
	s.mu.Lock()
	p.cmd, p.ended = cmd, ended
	s.mu.Unlock()
	go func() {
		err := cmd.Wait()
		s.mu.Lock()
		p.err = err
		s.mu.Unlock()
		close(ended)
	}()
	return nil
}

// startedPrograms returns the programs of a machine that have been started, including those that have ended.
func (s *System) startedPrograms(machine string) (all []*program) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.programs {
		if p.name == machine && p.cmd != nil {
			all = append(all, p)
		}
	}
	return all
}

// Signal sends a signal to all programs of a machine.
func (s *System) Signal(machine string, sig syscall.Signal) {
	for _, p := range s.startedPrograms(machine) {
		p.cmd.Process.Signal(sig)
	}
}

// Await waits until all programs of a machine have ended. It returns the errors of those that exited with a failure
// status or by a signal.
func (s *System) Await(machine string) error {
	var errs []error
	for _, p := range s.startedPrograms(machine) {
		<-p.ended
		s.mu.Lock()
		errs = append(errs, p.err)
		s.mu.Unlock()
	}
	return errors.Join(errs...)
}

// Kill sends a signal to all programs of a machine and waits until they have ended.
func (s *System) Kill(machine string, sig syscall.Signal) {
	s.Signal(machine, sig)
	s.Await(machine)
}

// TouchSettings changes the settings files of a machine without changing their meaning.
func (s *System) TouchSettings(machine string) error {
	for _, p := range s.startedPrograms(machine) {
		text, err := os.ReadFile(p.settings)
		if err != nil {
			return fmt.Errorf("smallsystem: settings of %s: %w", machine, err)
		}
		if err := os.WriteFile(p.settings, append(text, '\n'), 0o644); err != nil {
			return fmt.Errorf("smallsystem: settings of %s: %w", machine, err)
		}
	}
	return nil
}

// Restart starts the programs of a machine again.
func (s *System) Restart(machine string) error {
	var errs []error
	for _, p := range s.startedPrograms(machine) {
		errs = append(errs, s.start(p))
	}
	return errors.Join(errs...)
}

// Stop kills all programs and closes all servers.
func (s *System) Stop() {
	s.mu.Lock()
	var all []*program
	for _, p := range s.programs {
		if p.cmd != nil {
			all = append(all, p)
		}
	}
	servers := s.servers
	s.mu.Unlock()
	for _, p := range all {
		p.cmd.Process.Kill()
		<-p.ended
	}
	for _, x := range servers {
		x.close()
	}
}

// Config returns a configuration with one route to the service and one tenant.
func Config(version, base int, prefix, key string) []byte {
	return fmt.Appendf(nil, `{"config_version":"r%d","base_revision":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},`+
		`"tenants":[{"name":"till","api_keys":[%q],"rate_per_s":500,"burst_size":500}],`+
		`"listeners":[{"hostname":"model.example","policy":[{"name":"r-1","route_type":"idempotent","target_latency":"600ms","priority":1,"match_criteria":{"path_prefix":%q},`+
		`"forward_action":{"service":"engines","timeout":"2500ms","max_attempts":2}}]}],`+
		`"clusters":[{"name":"engines","health_path":"/health","max_connections":110,"warmup":"1s","cold_per_s":5}]}`, version, base, key, prefix)
}

// Order sends an operator's call to the core machines in turn until one gives a definite answer, which is any status
// below 500.
func (s *System) Order(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	for k := 0; ; k++ {
		status, answer, err := s.call(ctx, method, fmt.Sprintf("http://%s:%d%s", s.core(k%coreCount), controlPort, path), body, nil)
		if err == nil && status < 500 {
			return status, answer, nil
		}
		select {
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("smallsystem: %s: no definite answer, last status %d: %w", path, status, errors.Join(err, ctx.Err()))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *System) call(ctx context.Context, method, url string, body []byte, header http.Header) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		r.Header[k] = v
	}
	if h := header.Get("Host"); h != "" {
		r.Host = h
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// Resolve queries the directory of a limiter for the addresses of the limiters that clients may use.
func (s *System) Resolve(ctx context.Context, edge int) ([]string, error) {
	status, body, err := s.call(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/resolve?name=model.example&region=depot&zone=depot-a", s.edge(edge), directoryPort), nil, nil)
	if err != nil || status != http.StatusOK {
		return nil, errors.Join(err, fmt.Errorf("status %d", status))
	}
	var a struct{ Addresses []string }
	return a.Addresses, json.Unmarshal(body, &a)
}

// RegistryStatus returns the lines of the status report of the registry on a core machine.
func (s *System) RegistryStatus(ctx context.Context, core int) ([]string, error) {
	return s.status(ctx, s.core(core), nodesettings.RegistryPort)
}

// LimiterStatus returns the lines of the status report of a limiter.
func (s *System) LimiterStatus(ctx context.Context, edge int) ([]string, error) {
	return s.status(ctx, s.edge(edge), nodesettings.ProxyPort)
}

func (s *System) status(ctx context.Context, ip string, port int) ([]string, error) {
	var status rpc.Status
	to := net.JoinHostPort(ip, strconv.Itoa(firstInternalPort+port))
	if err := rpc.NewCaller().Call(ctx, to, rpc.CallStatus, nil, &status, time.Second); err != nil {
		return nil, fmt.Errorf("smallsystem: status: %w", err)
	}
	return status.Lines, nil
}

// Metrics returns the metrics of a program in the text exposition format.
func (s *System) Metrics(ctx context.Context, ip, role string) (string, error) {
	to := net.JoinHostPort(ip, strconv.Itoa(metricsPorts[role]))
	status, body, err := s.call(ctx, http.MethodGet, "http://"+to+metrics.Path, nil, nil)
	if err != nil || status != http.StatusOK {
		return "", errors.Join(err, fmt.Errorf("smallsystem: metrics of a %s: status %d", role, status))
	}
	return string(body), nil
}

// Ready reports whether a limiter's readiness check succeeds.
func (s *System) Ready(ctx context.Context, edge int) bool {
	status, _, err := s.call(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", s.edge(edge), readyPort), nil, nil)
	return err == nil && status == http.StatusOK
}

// Send sends a client's request to a limiter, and returns the status and the body of the answer.
func (s *System) Send(ctx context.Context, edge int, path, key string) (int, []byte, error) {
	h := http.Header{"Host": {"model.example"}, "X-Madderdrum-Attempt-Id": {fmt.Sprintf("%016x", s.nextID.Add(1))},
		"X-Madderdrum-Deadline-Ms": {"2500"}, "X-Madderdrum-Credential": {key}}
	return s.call(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", s.edge(edge), frontendPort, path), nil, h)
}

// HoldPath is the path suffix of requests that a server does not answer until the caller closes the connection.
const HoldPath = "/hold"

// Server is one stub server of the service.
type Server struct {
	ID           string
	RequestCount atomic.Int64 // requests that were executed
	Held         atomic.Int64 // requests under HoldPath in progress
	system       *System
	addr         string
	httpServer   *http.Server
	state        atomic.Value // string
	stop         context.CancelFunc
}

// AddServer starts a server, which sends heartbeats until the system stops.
func (s *System) AddServer(i int) (*Server, error) {
	x := &Server{ID: fmt.Sprintf("i-%d-%08x", i, s.nextID.Add(1)), system: s, addr: fmt.Sprintf("127.%d.3.%d:%d", s.options.Net, i+1, serverPort)}
	x.state.Store("available")
	var listen net.ListenConfig
	if s.options.SmallWindows {
		listen.Control = setSmallWindow
	}
	l, err := listen.Listen(context.Background(), "tcp", x.addr)
	if err != nil {
		return nil, fmt.Errorf("smallsystem: listen for a server: %w", err)
	}
	x.httpServer = &http.Server{Handler: x}
	go x.httpServer.Serve(l)
	ctx, stop := context.WithCancel(context.Background())
	x.stop = stop
	go x.sendHeartbeats(ctx)
	s.mu.Lock()
	s.servers = append(s.servers, x)
	s.mu.Unlock()
	return x, nil
}

// Sizes of a listener's segments and receive buffer with small windows. The loopback interface's own segments would
// let a sender put megabytes into its send buffer.
const (
	smallSegmentBytes = 1460
	smallBufferBytes  = 64 << 10
)

// setSmallWindow is a net.ListenConfig's Control function that gives connections small windows.
func setSmallWindow(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegmentBytes),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBufferBytes))
	})
	return errors.Join(err, optionErr)
}

func (x *Server) close() {
	x.stop()
	x.httpServer.Close()
}

// Drain makes the server report that it is draining. It keeps serving requests.
func (x *Server) Drain() { x.state.Store("draining") }

// ServeHTTP answers requests and health checks as the server protocol requires.
func (x *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Madderdrum-Instance-Id", x.ID)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set("X-Madderdrum-Attempt-Id", r.Header.Get("X-Madderdrum-Attempt-Id"))
	if t := r.Header.Get("X-Madderdrum-Target-Instance"); t != "" && t != x.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.RequestCount.Add(1)
	if x.system.options.Work != nil {
		x.system.options.Work(w, r)
		return
	}
	if strings.HasSuffix(r.URL.Path, HoldPath) {
		x.Held.Add(1)
		defer x.Held.Add(-1)
		<-r.Context().Done()
		return
	}
	w.Header().Set("X-Madderdrum-Server-Seal", "model")
	fmt.Fprintf(w, "%s ran %s for %s\n", x.ID, r.URL.Path, r.Header.Get("X-Madderdrum-Tenant"))
}

// sendHeartbeats sends heartbeats to a core machine, and to the next one after a failure.
func (x *Server) sendHeartbeats(ctx context.Context) {
	for k, n := 0, 1; ; n++ {
		body := fmt.Appendf(nil, `{"service":"engines","address":%q,"zone":"depot-a","config_version":"v1","capacity_slots":4,"state":%q,"warmup_left":"0ms","sequence":%d}`,
			x.addr, x.state.Load(), n)
		status, _, err := x.system.call(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/instances/%s/heartbeat", x.system.core(k%coreCount), controlPort, x.ID), body, nil)
		if err != nil || status != http.StatusOK {
			k++
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}
