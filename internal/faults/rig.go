package faults

import (
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
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/madderdrum/deploy"
	"example.org/madderdrum/internal/ownership"
	"example.org/madderdrum/tenure"
)

// Options say what is played.
type Options struct {
	Program  string // the built program; disks fail only in one built with -tags faults
	Limiters int
	Voters   int
	Term     time.Duration
	Steps    []Step
	Peers    bool              // limiters tell each other of spending, and quota is held by all together
	Load     int               // requests a second that clients send over all limiters
	Watch    string            // room or each: who looks at boxes and follows discovery; empty: each, and there is none
	Env      []string          // added to the limiters'
	Within   time.Duration     // an event that is waited for comes within it
	Log      func(line string) // the timeline, as it comes; nil: nobody reads it
	Keep     string            // a folder for the logs and configurations of what broke; empty: none
}

// Result is what came of it.
type Result struct {
	Timeline []string
	Broken   []string        // what broke; nothing: all held
	Calls    []Call          // between limiters
	Gaps     []time.Duration // without an owner, after it was killed, stopped or cut off
	Requests int             // that boxes carried out
	Ceiling  int             // of them those of the account with a ceiling
	Moved    int             // whether its parts were seen to be moved
	Terms    int             // begun
	Looks    int             // at the box that all know, by its connections while it was cut off
	Refused  int             // requests with quota to spare that were told to come again
	Lists    int             // calls that discovery has answered
}

// process is one limiter of a rig.
type process struct {
	n                   int
	name, config        string
	listen, admin, peer string
	fleet               string // where it listens for the others
	folder, kept        string
	cmd                 *exec.Cmd
	done                chan struct{}
	stopped, killed, up bool
	log                 *os.File
}

// rig is a run under way. One goroutine plays; processes' ends come beside it.
type rig struct {
	o       Options
	dir     string
	host    string
	net     *network
	all     []*process
	boxes   []*http.Server
	agent   *agent // nil: each limiter looks for itself, and boxes are fixed
	result  Result
	rolls   int
	ports   int    // given out, see free
	last    string // the owner that was seen last
	broken  map[string]bool
	clients sync.WaitGroup
	guards  sync.WaitGroup // one for each process that runs

	mu      sync.Mutex // and what processes are
	closing bool       // nothing is started any more
	exits   []Exit
	ran     map[string]int               // by request id, at the boxes
	newest  string                       // the box that discovery told last
	sentTo  map[string]map[int]time.Time // by box and limiter: when it had a request last
	ceiling []time.Duration              // when requests of the account with a ceiling ran there
}

var rigs atomic.Uint32

// newRig is a rig with a host of its own, which keeps its files in a folder.
func newRig(o Options, dir string) *rig {
	k := rigs.Add(1)
	return &rig{o: o, dir: dir, net: newNetwork(), ran: map[string]int{}, broken: map[string]bool{}, sentTo: map[string]map[int]time.Time{},
		host: fmt.Sprintf("127.%d.%d.%d", 80+os.Getpid()%100, 1+(os.Getpid()/100)%250, 1+k%250)}
}

// Run plays a schedule once. An error is one of the rig's own, such as a program that does
// not start; what broke stands in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Within == 0 {
		o.Within = time.Minute
	}
	dir, err := os.MkdirTemp("", "madderdrum-faults-")
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	defer os.RemoveAll(dir)
	r := newRig(o, dir)
	ctx, stop := context.WithCancel(ctx)
	defer r.close()
	defer stop()
	if err := r.open(); err != nil {
		return nil, err
	}
	for _, p := range r.all {
		if err := r.start(p); err != nil {
			return nil, err
		}
	}
	if err := r.begin(ctx); err != nil {
		return &r.result, err
	}
	r.load(ctx)
	for _, s := range o.Steps {
		if err := r.step(ctx, s); err != nil {
			if ctx.Err() != nil {
				return &r.result, ctx.Err()
			}
			r.breaks("%s: %v", s, err)
			break
		}
	}
	r.judge(ctx)
	stop()
	if o.Keep != "" && len(r.result.Broken) > 0 {
		r.quit()
		r.close()
		if err := os.CopyFS(o.Keep, os.DirFS(dir)); err != nil {
			return &r.result, fmt.Errorf("faults: keep what broke: %w", err)
		}
	}
	return &r.result, nil
}

func (r *rig) say(format string, args ...any) {
	line := fmt.Sprintf("%7.2f s  ", time.Since(r.net.begun).Seconds()) + fmt.Sprintf(format, args...)
	r.result.Timeline = append(r.result.Timeline, line)
	if r.o.Log != nil {
		r.o.Log(line)
	}
}

func (r *rig) breaks(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if r.broken[line] {
		return
	}
	r.broken[line] = true
	r.result.Broken = append(r.result.Broken, line)
	r.say("BROKEN: %s", line)
}

// firstPort is the first port that limiters listen on, on a host that only their rig uses. It lies below the ports
// that the system gives to whoever names none, which others may have while a limiter is down.
const firstPort = 20000

// free is an address that no limiter of the rig has yet. It is not tried out: each process that is started
// meanwhile, by another rig too, would hold a copy of the socket until it is executed, and the limiter could not listen.
func (r *rig) free() (addr string) {
	addr = net.JoinHostPort(r.host, strconv.Itoa(firstPort+r.ports))
	r.ports++
	return addr
}

// open lays out the boxes, the network and a configuration for each limiter.
func (r *rig) open() error {
	first, err := r.openBox(firstBox)
	if err != nil {
		return err
	}
	var discovery net.Listener
	if r.o.Watch != "" {
		r.agent = &agent{news: make(chan struct{})}
		if discovery, err = net.Listen("tcp", r.host+":0"); err != nil {
			return fmt.Errorf("faults: %w", err)
		}
		web := &http.Server{Handler: r.agent}
		r.boxes = append(r.boxes, web)
		go web.Serve(discovery)
	}
	n := r.o.Limiters
	for i := range n {
		p := &process{n: i, name: fmt.Sprint("n", i), config: filepath.Join(r.dir, fmt.Sprintf("n%d.hcl", i)), folder: filepath.Join(r.dir, "fleet", fmt.Sprint("n", i))}
		for _, addr := range []*string{&p.fleet, &p.listen, &p.admin, &p.peer} { // the last by UDP
			*addr = r.free()
		}
		if p.log, err = os.Create(filepath.Join(r.dir, p.name+".log")); err != nil {
			return fmt.Errorf("faults: %w", err)
		}
		r.all = append(r.all, p)
	}
	// Each limiter alone lets through what the ceiling allows: the peers tell each other nothing.
	text := strings.NewReplacer(`rate          = "7/s"`, `rate = "15/s"`, `burst         = 15`, `burst = 32`).Replace(string(deploy.Bluebird))
	var peers []string
	for _, p := range r.all {
		peers = append(peers, p.peer)
	}
	var views *datagrams
	if r.o.Peers {
		if views, err = r.net.openPeers(r.host, peers); err != nil {
			return err
		}
	}
	head, tail := strings.Index(text, `limiter "n0"`), strings.Index(text, "rules {")
	for i, p := range r.all {
		var b strings.Builder
		b.WriteString(text[:head])
		for j, q := range r.all {
			fleet, admin := q.fleet, q.admin
			if j != i {
				if fleet, err = r.net.open(r.host, i, j, q.fleet, false); err != nil {
					return err
				}
				if admin, err = r.net.open(r.host, i, j, q.admin, true); err != nil {
					return err
				}
			}
			peer := ""
			if views != nil && j == i {
				peer = fmt.Sprintf(" peer = %q\n", q.peer)
			} else if views != nil {
				peer = fmt.Sprintf(" peer = %q\n", views.views[[2]int{i, j}].LocalAddr())
			}
			fmt.Fprintf(&b, "limiter %q {\n room = %q\n listen = %q\n admin = %q\n fleet = %q\n%s}\n", q.name, []string{"room-a", "room-b"}[j%2], q.listen, admin, fleet, peer)
		}
		box := first
		if r.o.Watch != "" { // faults come between
			if box, err = r.net.open(r.host, i, r.boxWay(), first, false); err != nil {
				return err
			}
			agent, err := r.net.open(r.host, i, r.boxWay()+1, discovery.Addr().String(), false)
			if err != nil {
				return err
			}
			fmt.Fprintf(&b, "pool \"main\" {\n members = [%q]\n discovery = %q\n}\nroute \"all\" {}\n", firstBox, agent)
		}
		fmt.Fprintf(&b, "box %q {\n room = \"room-a\"\n pod = 0\n dial = %q\n cores = 64\n slots = 256\n queue = 256\n}\n", firstBox, box)
		b.WriteString(text[tail:])
		var voters []string
		for j := range r.o.Voters {
			voters = append(voters, fmt.Sprintf("%q", fmt.Sprint("n", j)))
		}
		fmt.Fprintf(&b, "\nfleet \"rig\" {\n folder = %q\n voters = [%s]\n term = %q\n ceilings = \"steward\"\n watch = %q\n}\n", filepath.Join(r.dir, "fleet"), strings.Join(voters, ", "), r.o.Term, cmp.Or(r.o.Watch, "each"))
		if err := os.WriteFile(p.config, []byte(b.String()), 0o600); err != nil {
			return fmt.Errorf("faults: %w", err)
		}
	}
	return nil
}

// firstBox is the one that the limiters' configuration names.
const firstBox = "a"

// boxWay is where the ways from limiters to the first box go; those to discovery are next.
func (r *rig) boxWay() int { return r.o.Limiters }

// box is a stand-in box: it keeps what it carried out, and for which limiter.
func (r *rig) box(name string, w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		return
	}
	io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	id := q.Header.Get("X-Request-ID")
	r.ran[id]++
	if r.sentTo[name] == nil {
		r.sentTo[name] = map[int]time.Time{}
	}
	if k, err := strconv.ParseUint(id, 16, 64); err == nil && !strings.HasPrefix(id, ceilingID) { // of load, which names the limiter by it
		r.sentTo[name][int(k)%len(r.all)] = time.Now()
	}
	if strings.HasPrefix(id, ceilingID) {
		r.ceiling = append(r.ceiling, time.Since(r.net.begun))
	}
	r.mu.Unlock()
	io.WriteString(w, "sent\n")
}

// wall is the file that has a limiter's wall clock jump, in a program built with -tags faults.
func (p *process) wall() string { return p.config + ".wall" }

// start starts a limiter's process.
func (r *rig) start(p *process) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startLocked(p)
}

func (r *rig) startLocked(p *process) error {
	cmd := exec.Command(r.o.Program, "serve", p.config, "--limiter", p.name)
	cmd.Stderr, cmd.Stdout = p.log, p.log
	cmd.Env = append(append(os.Environ(), "MADDERDRUM_WALL="+p.wall()), r.o.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing is left behind
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("faults: start the program: %w", err)
	}
	done, begun := make(chan struct{}), time.Now()
	p.cmd, p.done, p.killed, p.stopped, p.up = cmd, done, false, false, true
	r.guards.Go(func() {
		defer close(done)
		cmd.Wait()
		r.ended(p, cmd.ProcessState.ExitCode(), time.Since(begun))
	})
	return nil
}

// ended is what a supervisor does about a process that has ended: one that ended by itself
// and well is started again. One that failed, or hardly began, stays down, and breaks the
// schedule.
func (r *rig) ended(p *process, code int, lived time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.up = false
	if p.killed || r.closing {
		return
	}
	if lived < leastLife {
		code = endedAtOnce
	}
	r.exits = append(r.exits, Exit{p.n, time.Since(r.net.begun), code})
	if code == 0 {
		if err := r.startLocked(p); err != nil {
			r.exits = append(r.exits, Exit{p.n, time.Since(r.net.begun), -1})
		}
	}
}

const (
	leastLife   = 100 * time.Millisecond
	endedAtOnce = -2 // in place of an exit code
)

// failed is what the first process wrote last that did not stay up; empty: all do.
func (r *rig) failed() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.exits) == 0 {
		return ""
	}
	p := r.all[r.exits[0].Limiter]
	text, _ := os.ReadFile(p.log.Name())
	return fmt.Sprintf("%s ended when it was to begin, its last words are %q", p.name, lastLine(string(text)))
}

// signal sends one to a limiter's process.
func (r *rig) signal(p *process, s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !p.up {
		return
	}
	switch s {
	case syscall.SIGKILL:
		p.killed = true
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	p.cmd.Process.Signal(s)
}

// kill ends a limiter's process, and waits until it has.
func (r *rig) kill(p *process) {
	r.signal(p, syscall.SIGKILL)
	r.mu.Lock()
	done := p.done
	r.mu.Unlock()
	<-done
}

// runs tells whether a limiter can answer.
func (r *rig) runs(p *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.up && !p.stopped
}

// ask makes an operator's call on a limiter. x takes an answer in JSON; nil: yes is wanted.
func (r *rig) ask(p *process, verb string, q *ownership.Request, x any) error {
	answer, err := ownership.Call(context.Background(), p.admin, verb, q, askFor)
	switch {
	case err != nil:
		return err
	case x != nil && !strings.HasPrefix(answer, "NO"):
		return json.Unmarshal([]byte(answer), x)
	case !strings.HasPrefix(answer, "YES"):
		return errors.New(strings.TrimSpace(answer))
	}
	return nil
}

const askFor = 4 * time.Second

// until waits for an event, which limiters that run show.
func (r *rig) until(ctx context.Context, what string, so func() bool) error {
	limit := time.Now().Add(r.o.Within)
	for !so() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%s did not come within %v", what, r.o.Within)
		}
		time.Sleep(15 * time.Millisecond) // nothing tells: the limiters have to be asked
	}
	return nil
}

// begin has an operator begin the fleet, and waits until all are members.
func (r *rig) begin(ctx context.Context) error {
	first := r.all[0]
	var voters []string
	for j := range r.o.Voters {
		voters = append(voters, fmt.Sprint("n", j))
	}
	var failed string
	if err := r.until(ctx, "a first limiter that answers", func() bool {
		failed = r.failed()
		return failed != "" || r.ask(first, "status", nil, &ownership.Status{}) == nil
	}); err != nil {
		return err
	}
	if failed != "" {
		return fmt.Errorf("faults: %s", failed)
	}
	if err := r.ask(first, "init", &ownership.Request{Voters: voters}, nil); err != nil {
		return fmt.Errorf("faults: begin the fleet: %w", err)
	}
	err := r.until(ctx, "a fleet of all limiters", func() bool {
		failed = r.failed()
		return failed != "" || r.every(func(_ *process, s *ownership.Status) bool {
			votes := 0
			for _, m := range s.Members {
				if m.Votes {
					votes++
				}
			}
			return s.Leader != "" && len(s.Members) == len(r.all) && votes == r.o.Voters
		})
	})
	if err != nil {
		return fmt.Errorf("%w:\n%s", err, strings.Join(r.views(), "\n"))
	}
	if failed != "" {
		return fmt.Errorf("faults: %s", failed)
	}
	r.say("%d limiters, %d of them voters, are a fleet", len(r.all), r.o.Voters)
	return nil
}

// views is what each limiter says of the fleet, and the last of its log.
func (r *rig) views() (lines []string) {
	const lastLines = 12
	for _, p := range r.all {
		var s ownership.Status
		if err := r.ask(p, "status", nil, &s); err != nil {
			lines = append(lines, fmt.Sprintf("%s does not answer: %v", p.name, err))
		} else {
			lines = append(lines, fmt.Sprintf("%s knows leader %q of term %d, has applied %d, silent %t, failed %q, members %+v", p.name, s.Leader, s.Term, s.Applied, s.Silent, s.Failed, s.Members))
		}
		text, err := os.ReadFile(p.log.Name())
		if err != nil {
			continue
		}
		log := strings.Split(strings.TrimSpace(string(text)), "\n")
		for _, line := range log[max(0, len(log)-lastLines):] {
			lines = append(lines, "    "+line)
		}
	}
	return lines
}

// The account with a ceiling asks for far more than that, mostly at one limiter, then at
// another; its requests are so large that equal parts hold few of them.
const (
	ceilingID                 = "ce"
	ceilingUnits              = 6
	ceilingEvery              = 4 * time.Second // it moves on
	ceilingRate, ceilingBurst = 15.0, 32.0      // of the plan business
)

// judge holds what was seen from outside against what must hold.
func (r *rig) judge(ctx context.Context) {
	if len(r.result.Broken) == 0 {
		if err := r.until(ctx, "that all limiters which run take clients", r.allReady); err != nil && ctx.Err() == nil {
			r.breaks("after all: %v", err)
		}
	}
	r.result.Calls = r.net.Calls()
	if r.agent != nil {
		r.agent.mu.Lock()
		r.result.Lists = r.agent.calls
		r.agent.mu.Unlock()
		r.result.Looks = r.net.tried(r.boxWay())
	}
	r.mu.Lock()
	exits := append([]Exit(nil), r.exits...)
	broken := judgeCeiling(r.ceiling)
	if r.o.Peers && r.result.Refused > 0 {
		broken = append(broken, fmt.Sprintf("%d requests of accounts that ask for half of their quota at most were told to come again", r.result.Refused))
	}
	r.result.Ceiling = len(r.ceiling)
	for id, n := range r.ran {
		r.result.Requests++
		if n > 1 {
			broken = append(broken, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	r.mu.Unlock()
	histories := map[int][]tenure.Change{}
	for p := range r.statuses {
		var h []tenure.Change
		if r.ask(p, "history", nil, &h) == nil {
			histories[p.n] = h
			for _, c := range h {
				if c.Kind == tenure.Take {
					r.result.Terms = max(r.result.Terms, int(c.Epoch&(1<<40-1)))
				}
			}
		}
	}
	for _, b := range slices.Concat(broken, judgeCalls(r.result.Calls), judgeExits(exits, r.rolls), judgeHistories(histories)) {
		r.breaks("%s", b)
	}
}

// allReady tells whether each limiter that runs takes clients: no late call took it out.
func (r *rig) allReady() bool {
	for _, p := range r.all {
		var x ownership.LimiterStatus
		if r.runs(p) && (r.ask(p, "self", nil, &x) != nil || !x.Ready || x.Draining) {
			return false
		}
	}
	return true
}

// quit has all limiters that run write what they are doing into their logs, and end.
func (r *rig) quit() {
	r.mu.Lock()
	r.closing = true
	for _, p := range r.all {
		if p.up && !p.stopped {
			p.cmd.Process.Signal(syscall.SIGQUIT)
		}
	}
	r.mu.Unlock()
	for _, p := range r.all {
		select {
		case <-p.done:
		case <-time.After(2 * time.Second): // it is stopped, or hangs
		}
	}
}

// close ends all that was started.
func (r *rig) close() {
	r.clients.Wait()
	r.mu.Lock()
	r.closing = true
	for _, p := range r.all {
		if p.up {
			p.cmd.Process.Kill() // a stopped one as well
		}
	}
	r.mu.Unlock()
	r.guards.Wait()
	for _, p := range r.all {
		if p.log != nil {
			p.log.Close()
		}
	}
	r.net.close()
	for _, b := range r.boxes {
		b.Close()
	}
}
