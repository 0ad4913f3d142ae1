//go:build !platform

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/term"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/judge"
	"example.org/madderdrum/internal/loopback"
	"example.org/madderdrum/internal/world"
)

// demoCommand runs a simulated fleet and its limiters on loopback, with light traffic.
type demoCommand struct {
	Fleet   string        `short:"f" help:"Fleet file (HCL); the built-in fleet of Bluebird Text if left out." type:"path"`
	Rate    float64       `default:"60" help:"Requests a second of the stand-in clients."`
	For     time.Duration `help:"End by itself after so long."`
	Control string        `default:"127.0.0.1:0" help:"Where faults are switched on by URL."`
	Logs    string        `help:"Folder for the limiters' logs; nowhere if left out." type:"path"`
}

// Help returns the detailed help text of `madderdrum demo`.
func (demoCommand) Help() string {
	return `Starts a stand-in fleet, the limiters of the fleet file (this very program, as the
platform starts it) and light traffic, all on loopback, until Ctrl-C. It prints the
limiters' addresses and curl lines that work, and a table that is drawn anew each
second on a terminal, or a line every five seconds elsewhere.

Faults are switched on by a key (1 to 6) or by URL, in the words of a scenario
(docs/replay.md), with times from now on:

  curl -d 'room room-b is lost at 0s for 10s' http://ADDRESS/fault`
}

// demoFaults lists the faults that the number keys inject.
var demoFaults = []struct{ key, text string }{
	{"1", "box BOX hangs at 0s for 5s"},
	{"2", "box BOX fails 70% at 0s for 8s"},
	{"3", "room ROOM is lost at 0s for 8s"},
	{"4", "fleet slows 2.5 at 0s for 6s"},
	{"5", "limiter LIMITER is killed at 0s for 2s"},
	{"6", "peers are cut at 0s for 8s"},
}

// Run executes `madderdrum demo`.
func (c *demoCommand) Run() error {
	f := config.Bluebird()
	var err error
	if c.Fleet != "" {
		if f, err = config.LoadFleet(c.Fleet); err != nil {
			return err
		}
	}
	if !(c.Rate > 0 && c.Rate <= 5000) {
		return fmt.Errorf("--rate %g: from above 0 to 5000", c.Rate)
	}
	f.Traffic.Rate = c.Rate / (1 + f.Traffic.HeavyShare*(f.Traffic.HeavyFactor-1))
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	ln, err := net.Listen("tcp", c.Control)
	if err != nil {
		return fmt.Errorf("--control: %w", err)
	}
	d := &demo{fleet: f, control: ln.Addr().String(), lastArrived: map[int]int{}}
	o := loopback.Options{Fleet: f, Seed: uint64(time.Now().UnixNano()), Program: program, Foreign: true,
		Source: world.NewSynthetic(f, uint64(time.Now().UnixNano()), 365*24*time.Hour)}
	if c.Logs != "" {
		if err := os.MkdirAll(c.Logs, 0o755); err != nil {
			return fmt.Errorf("--logs: %w", err)
		}
		logs := make([]*os.File, len(f.Limiters))
		for i, l := range f.Limiters {
			if logs[i], err = os.OpenFile(filepath.Join(c.Logs, l.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
				return fmt.Errorf("--logs: %w", err)
			}
			defer logs[i].Close()
		}
		o.Log = func(i int) *os.File { return logs[i] }
	}
	web := &http.Server{Handler: d.handler(), ReadTimeout: 5 * time.Second}
	defer web.Close()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	shown, end := context.WithCancel(ctx)
	defer end()
	o.Ready = func(r *loopback.Run) {
		d.run = r
		d.printIntro()
		tasks.Go(func() { d.showTable(shown) })
		go d.readKeys(shown, stop)
		go func() {
			if err := web.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				fmt.Fprintln(os.Stderr, "madderdrum: faults by URL:", err)
			}
		}()
	}
	r, err := loopback.Play(ctx, o)
	end()
	tasks.Wait()
	if err != nil {
		return err
	}
	m := r.World.Meter
	fmt.Printf("\n%v: %d requests, service %.3f, %d rules broken\n", r.Length.Round(time.Second), m.Total.Asked, m.Figure().Whole, r.Judge.BreachCount())
	for _, b := range r.Judge.Breaches {
		fmt.Println(" ", b)
	}
	if n := r.Judge.BreachCount(); n > 0 {
		return fmt.Errorf("%w: %d times", errRuleBroken, n)
	}
	return nil
}

// demo is the state of a running demonstration.
type demo struct {
	fleet         *fleet.Fleet
	run           *loopback.Run
	control       string
	mu            sync.Mutex
	message       string
	lastArrived   map[int]int // requests that had reached each box when the table was last drawn
	lastRequested int
	drawnLines    int
}

// expandFault replaces the placeholders of a fault with names of this fleet.
func (d *demo) expandFault(text string) string {
	return strings.NewReplacer("BOX", d.fleet.Boxes[0].Name, "ROOM", d.fleet.Rooms[len(d.fleet.Rooms)-1],
		"LIMITER", d.fleet.Limiters[len(d.fleet.Limiters)-1].Name).Replace(text)
}

func (d *demo) printIntro() {
	fmt.Printf("%d limiters before %d stand-in sender boxes in %s, light traffic; Ctrl-C ends it.\n\n", len(d.fleet.Limiters), len(d.fleet.Boxes), strings.Join(d.fleet.Rooms, ", "))
	for i, l := range d.fleet.Limiters {
		fmt.Printf("limiter %s: http://%s\n", l.Name, d.run.Address(i))
	}
	class, plan := d.fleet.Classes[0].Name, d.fleet.Plans[len(d.fleet.Plans)-1].Name
	fmt.Printf("\nask it:\n  curl -i -H 'X-Request-ID: mine-1' -H 'X-Priority-Class: %s' -H 'Plan: %s' -H 'X-Timeout: 700m' \\\n"+
		"    -H 'Quota-Info: units=1,spread=1,first=0' 'http://%s/api?key=00000000000000aa'\n", class, plan, d.run.Address(0))
	fmt.Printf("\nswitch a fault on by a key, or:\n  curl -d '%s' http://%s/fault\n", d.expandFault(demoFaults[2].text), d.control)
	for _, x := range demoFaults {
		fmt.Printf("  %s  %s\n", x.key, d.expandFault(x.text))
	}
	fmt.Println()
}

// inject parses the text of a scenario and injects its faults.
func (d *demo) inject(text string) error {
	faults, err := world.Scenario(d.fleet, text)
	if err != nil {
		return err
	}
	if len(faults) == 0 {
		return errors.New("no fault in the text; write one such as: " + d.expandFault(demoFaults[2].text))
	}
	d.run.Inject(faults...)
	return nil
}

// maxFaultBytes limits the text of faults that are sent to POST /fault.
const maxFaultBytes = 16 << 10

func (d *demo) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, q *http.Request) {
		buf := make([]byte, maxFaultBytes+1)
		n := 0
		for n < len(buf) {
			k, err := q.Body.Read(buf[n:])
			if n += k; err != nil {
				break
			}
		}
		if n > maxFaultBytes {
			http.Error(w, "too long", http.StatusRequestEntityTooLarge)
			return
		}
		if err := d.inject(string(buf[:n])); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fmt.Fprintln(w, "on")
	})
	return mux
}

// readKeys reads single keys from the terminal: the number keys inject faults, and q or Ctrl-C stops.
func (d *demo) readKeys(ctx context.Context, stop func()) {
	fd := int(os.Stdin.Fd())
	if !term.IsTerminal(fd) || !term.IsTerminal(int(os.Stdout.Fd())) {
		return
	}
	state, err := term.MakeRaw(fd)
	if err != nil {
		return
	}
	context.AfterFunc(ctx, func() { term.Restore(fd, state) })
	key := make([]byte, 1)
	for ctx.Err() == nil {
		if _, err := os.Stdin.Read(key); err != nil {
			return
		}
		if key[0] == 3 || key[0] == 4 || key[0] == 'q' { // in raw mode Ctrl-C (3) and Ctrl-D (4) are bytes, not signals
			stop()
			return
		}
		for _, fault := range demoFaults {
			if fault.key == string(key) {
				if err := d.inject(d.expandFault(fault.text)); err != nil {
					d.mu.Lock()
					d.message = err.Error()
					d.mu.Unlock()
				}
			}
		}
	}
}

// showTable redraws the table periodically until the context ends.
func (d *demo) showTable(ctx context.Context) {
	live := term.IsTerminal(int(os.Stdout.Fd()))
	every := time.Second
	if !live {
		every = 5 * time.Second
	}
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		text := d.formatTable(every, live)
		if live && d.drawnLines > 0 {
			fmt.Printf("\x1b[%dA\x1b[J", d.drawnLines)
		}
		d.drawnLines = strings.Count(text, "\n")
		if live { // a raw terminal needs CR and LF
			text = strings.ReplaceAll(text, "\n", "\r\n")
		}
		fmt.Print(text)
	}
}

// formatTable returns the current figures, and with details also those of each box and limiter.
func (d *demo) formatTable(every time.Duration, details bool) string {
	var b strings.Builder
	d.run.View(func(w *world.World, j *judge.Judge, now time.Duration) {
		m := w.Meter
		fmt.Fprintf(&b, "%4.0f s  %4.0f requests/s  service %.3f  in time %d  late %d  refused %d  failed %d  rules broken %d\n", now.Seconds(),
			float64(m.Total.Asked-d.lastRequested)/every.Seconds(), m.Figure().Whole, m.Total.By[0], m.Total.By[1], m.Total.By[2], m.Total.By[3]+m.Total.By[4], j.BreachCount())
		d.lastRequested = m.Total.Asked
		if !details {
			return
		}
		for i, box := range w.Boxes {
			state := box.Condition().String()
			if warmth := box.Warmth(now); box.Condition() == world.Running && warmth < 1 {
				state = fmt.Sprintf("cold, %.0f%%", 100*warmth)
			}
			arrived := box.Counts.Arrived
			fmt.Fprintf(&b, "  box %-6s %-8s %-12s %5.0f/s  in hand %-3d %s\n", box.Name, d.fleet.Rooms[box.Spec.Room], state,
				float64(arrived-d.lastArrived[i])/every.Seconds(), box.JobCount(), strings.Repeat("#", min(30, box.JobCount())))
			d.lastArrived[i] = arrived
		}
		for i, l := range d.fleet.Limiters {
			state := "up"
			if !w.LimiterAlive(i) {
				state = "down"
			}
			fmt.Fprintf(&b, "  limiter %-4s %s\n", l.Name, state)
		}
		for _, n := range w.Notes[max(0, len(w.Notes)-5):] {
			fmt.Fprintf(&b, "  %5.1f s  %s\n", n.At.Seconds(), n.Text)
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.message != "" {
		fmt.Fprintf(&b, "  %s\n", d.message)
		d.message = ""
	}
	return b.String()
}
