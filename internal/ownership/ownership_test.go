package ownership

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/madderdrum/internal/agreement"
	"example.org/madderdrum/parts"
	"example.org/madderdrum/rollout"
	"example.org/madderdrum/tenure"
)

// stub is a Limiter that records its calls.
type stub struct {
	mu    sync.Mutex
	calls []string
	rest  float64
	of    map[uint64]float64
}

func (s *stub) note(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, what)
}

func (s *stub) Drain() error                  { s.note("drain"); return nil }
func (s *stub) Resume() error                 { s.note("resume"); return nil }
func (s *stub) Leave()                        { s.note("leave") }
func (s *stub) LimiterStatus() LimiterStatus  { return LimiterStatus{Ready: true} }
func (s *stub) DemandReports() []parts.Report { return nil }
func (s *stub) callsMade() (calls []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(calls, s.calls...)
}
func (s *stub) UseShares(of map[uint64]float64, rest float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of, s.rest = of, rest
}

// startAlone runs a fleet of one limiter on a folder.
func startAlone(t *testing.T, folder string, steward bool) (s *Service, l *stub, stop func()) {
	return startAloneWith(t, folder, func(o *Options) { o.Steward = steward }, func(*Service) {})
}

// startAloneWith is startAlone with functions that change the options and the service before it runs.
func startAloneWith(t *testing.T, folder string, with func(o *Options), before func(*Service)) (s *Service, l *stub, stop func()) {
	t.Helper()
	l = &stub{rest: -1}
	log := slog.New(slog.DiscardHandler)
	o := Options{Agreement: agreement.Options{Label: "f", Name: "n0", Folder: folder, Listen: "127.0.0.1:0", Voters: []string{"n0"}, Peers: map[string]string{"n0": "127.0.0.1:1"}},
		Terms: tenure.DefaultSettings(), Limiters: []string{"n0"}, AdminAddrs: map[string]string{}, Limiter: l, Log: log}
	with(&o)
	s, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	before(s)
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	return s, l, func() {
		end()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// callService makes a call as on the admin address and returns the answer.
func callService(s *Service, line, body string) string {
	here, there := net.Pipe()
	go func() {
		defer there.Close()
		s.Serve(strings.Fields(line)[1:], there, bufio.NewReaderSize(strings.NewReader(body), 128))
	}()
	b, _ := io.ReadAll(here)
	return strings.TrimSpace(string(b))
}

// waitFor polls a condition and fails the test with the given message after 20 s.
func waitFor(t *testing.T, what string, so func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !so(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal(what)
		}
	}
}

// Rollout calls are carried out only under valid tokens and for the process and the fleet that they
// name. The highest token seen is still known after a restart.
func TestCallsOfConductors(t *testing.T) {
	folder := t.TempDir()
	s, l, stop := startAlone(t, folder, false)
	waitFor(t, "the fleet was not initialized", func() bool { return callService(s, "fleet init", `{"Voters":["n0"]}`+"\n") == "YES" })
	waitFor(t, "nobody owns the duty", func() bool { _, owns := s.owns(rollout.Duty); return owns })
	call := func(verb string, epoch, start uint64, fleet string) string {
		return callService(s, fmt.Sprintf("fleet %s rollout/%d %d %s", verb, epoch, start, fleet), "")
	}
	token, _ := s.owns(rollout.Duty)
	later := token.Epoch + 5
	for _, x := range []struct{ got, want string }{
		{call("drain", token.Epoch, s.Start(), s.fleetID()), "YES"},
		{call("resume", later, s.Start(), s.fleetID()), "YES"},
		{call("drain", token.Epoch, s.Start(), s.fleetID()), "NO"},
		{call("leave", later, s.Start()+1, s.fleetID()), "NO it means process"},
		{call("drain", later, s.Start(), "0123456789abcdef"), "NO it comes from fleet"},
		{callService(s, "fleet drain parts/9 1 "+s.fleetID(), ""), "NO token parts/9 is not one of rollouts"},
		{callService(s, "fleet drain rollout/9 1", ""), "NO it needs a token, a process and a fleet"},
		{callService(s, "fleet drain rollout 1 x", ""), "NO"},
		{callService(s, "fleet drain rollout/9 many "+s.fleetID(), ""), "NO process"},
		{callService(s, "fleet", ""), "NO fleet what?"},
		{callService(s, "fleet dance", ""), "NO there is no call fleet"},
		{callService(s, "fleet add", ""), "NO a line of JSON was to follow"},
		{callService(s, "fleet add", "nonsense\n"), "NO a line of JSON was to follow"},
		{callService(s, "fleet add", `{"Limiter":"n9"}`+"\n"), `NO there is no limiter "n9"`},
		{callService(s, "fleet add", strings.Repeat("x", 1<<20)), "NO a line of JSON was to follow"},
		{callService(s, "fleet remove", `{"Limiter":"n0"}`+"\n"), "NO n0 is the last voter"},
		{callService(s, "fleet transfer", `{"Limiter":"n0","Duty":"tea"}`+"\n"), `NO there is no duty "tea"`},
		{callService(s, "fleet resign", `{"Duty":"tea"}`+"\n"), `NO n0 does not own "tea"`},
		{callService(s, "fleet roll", "{}\n"), "NO it needs a plan"},
		{callService(s, "fleet continue", "{}\n"), "NO no rollout is under way"},
		{callService(s, "fleet init", `{"Voters":["n0"]}`+"\n"), "NO"},
	} {
		if !strings.HasPrefix(x.got, x.want) {
			t.Errorf("answered %q, want %q", x.got, x.want)
		}
	}
	if got := fmt.Sprint(l.callsMade()); got != "[drain resume]" {
		t.Errorf("executed %s", got)
	}
	stop()
	s, l, stop = startAlone(t, folder, false)
	defer stop()
	waitFor(t, "the restarted limiter does not know its fleet", func() bool { return s.fleetID() != "" && s.Status().Leader == "n0" })
	if a := call("drain", later-1, s.Start(), s.fleetID()); !strings.HasPrefix(a, "NO") || len(l.callsMade()) > 0 {
		t.Errorf("after a restart an old token was answered %q", a)
	}
	if a := call("drain", later, s.Start(), s.fleetID()); a != "YES" {
		t.Errorf("after a restart the latest token was answered %q", a)
	}
}

// A limiter under a steward uses its guaranteed minimum share until it knows the agreed shares.
func TestFloorUntilCaughtUp(t *testing.T) {
	s, l, stop := startAlone(t, t.TempDir(), true)
	defer stop()
	rest := func() float64 { l.mu.Lock(); defer l.mu.Unlock(); return l.rest }
	waitFor(t, "no share was set", func() bool { return rest() >= 0 })
	if rest() != 0.1 {
		t.Errorf("outside a fleet its share is %g", rest())
	}
	waitFor(t, "the fleet was not initialized", func() bool { return callService(s, "fleet init", `{"Voters":["n0"]}`+"\n") == "YES" })
	waitFor(t, "it never got an equal share", func() bool { return rest() == 1 })
	if s.machine.startGeneration(1); s.Status().Unsure == nil {
		t.Error("after a forced new fleet the shares of all limiters count as known")
	}
	waitFor(t, "it did not confirm its minimum share", func() bool { return s.Status().Unsure == nil })
}

// Undecodable entries and snapshots are rejected, and entries of a later version change nothing.
func TestMachine(t *testing.T) {
	var m machine
	if m.Apply([]byte("{")) == nil {
		t.Error("a truncated entry was accepted")
	}
	if err := m.Apply([]byte(`{"Tea":1}`)); err != nil {
		t.Error(err)
	}
	if m.Restore([]byte("{")) == nil {
		t.Error("a truncated snapshot was accepted")
	}
	take := `{"Term":{"Kind":"take","By":{"Limiter":"a","Start":1},"Duty":"parts","Mine":1}}`
	if err := m.Apply([]byte(take)); err != nil {
		t.Fatal(err)
	}
	deal := func(epoch int) error {
		return m.Apply(fmt.Appendf(nil, `{"Parts":{"Epoch":%d,"Limiters":2,"Deals":[{"Account":5,"First":0,"Spread":2,"To":[2,0,1900]}]}}`, epoch))
	}
	if deal(9) == nil {
		t.Error("a deal under an unknown epoch was accepted")
	}
	if err := deal(int(m.Terms.CurrentEpoch(parts.Duty))); err != nil {
		t.Error(err)
	}
	b, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var o machine
	if err := o.Restore(b); err != nil {
		t.Fatal(err)
	}
	if moved, way := o.Parts.CountUnequal(); moved != 1 || way != 1 || o.Terms.CurrentEpoch(parts.Duty) != m.Terms.CurrentEpoch(parts.Duty) {
		t.Errorf("%d moved, %d unconfirmed; %+v", moved, way, o.Terms)
	}
}

// noProber implements the probing interface with no pools and without effect.
type noProber struct{}

func (noProber) Probe(uint64)                                {}
func (noProber) ApplyVerdict(uint64, bool)                   {}
func (noProber) Pools() []string                             { return nil }
func (noProber) FullList(string) (int64, []byte, bool)       { return 0, nil, false }
func (noProber) ApplyList(string, int64, bool, []byte) error { return nil }
func (noProber) PollAgent(string, time.Duration)             {}

// An idle follower stays connected to the leader of its room. It used to be disconnected as lost, and
// after reconnecting all lists were sent again.
func TestWhoAsksForNothingIsStillLookedFor(t *testing.T) {
	s, _, stop := startAloneWith(t, t.TempDir(), func(o *Options) { o.Rooms, o.Prober = map[string]string{"n0": "a", "n1": "a"}, noProber{} },
		func(s *Service) { s.watcher.settings.DisagreementPeriod = 5 * time.Millisecond })
	defer stop()
	waitFor(t, "the fleet was not initialized", func() bool { return callService(s, "fleet init", `{"Voters":["n0"]}`+"\n") == "YES" })
	waitFor(t, "nobody leads the room", func() bool { return s.Watcher().Status().By == "n0" })
	here, there := net.Pipe()
	go s.Watcher().serve("n1", agreement.NewStream(there))
	in := agreement.NewStream(here)
	defer in.Close()
	for beat := range 5 { // of 500 ms each
		if _, err := in.Receive(10 * time.Second); err != nil {
			t.Fatalf("after %d notes: %v", beat, err)
		}
	}
}
