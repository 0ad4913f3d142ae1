// Package faults starts several processes of the program on loopback, injects faults between
// them by a schedule, and judges what came of it from outside: by the processes that ended,
// by the calls that went between limiters, by what the stand-in boxes were sent.
package faults

import (
	"embed"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/rollout"
)

// Step is one line of a schedule: a fault, or an event to wait for.
type Step struct {
	Verb string
	Args []string
	Line int
}

// String is the step as it is written.
func (s Step) String() string { return strings.Join(append([]string{s.Verb}, s.Args...), " ") }

// verb is what a step may be.
type verb struct {
	least, most int // arguments
	what        string
}

// verbs are all steps, with the kinds of limiters that most of them take: n0, n1, ..., owner,
// leader, other (one that is neither), watcher (which looks for room-a), mates (for which it does), all.
var verbs = map[string]verb{
	"roll":     {1, 2, "roll restart|drain [AT-ONCE]: an operator begins a rollout"},
	"wait":     {1, 2, "wait owner | new-owner | owned-by X | held | step PHASE | back N | done | votes N | no-leader | leader | watched | asked | used newest|a | gone X: for an event"},
	"news":     {0, 0, "news: discovery tells of another box in place of the one before"},
	"away":     {0, 0, "away: discovery tells that this box is gone, so that the first one alone is left"},
	"join":     {2, 2, "join X Y: Y hears X again"},
	"kill":     {1, 1, "kill X: SIGKILL"},
	"start":    {1, 1, "start X: which was killed"},
	"stop":     {1, 1, "stop X: SIGSTOP"},
	"go":       {1, 1, "go X: SIGCONT"},
	"stranger": {1, 1, "stranger X: while X is killed, a limiter of another fleet runs on its addresses and begins a rollout over all"},
	"twin":     {1, 1, "twin X: a second process of X from the same folder"},
	"cut":      {2, 2, "cut X Y: Y hears nothing from X any more; with watch, Y may be box, or agent (of discovery)"},
	"part":     {2, 2, "part X Y: neither hears the other"},
	"isolate":  {1, 1, "isolate X: no limiter hears it, and it hears none"},
	"heal":     {0, 0, "heal: all hear one another, and what was held goes on"},
	"delay":    {2, 2, "delay X TIME: what X says comes so much later"},
	"hold":     {1, 1, "hold X: its calls to others are held between its last check and their effect"},
	"release":  {1, 1, "release X: and come now"},
	"disk":     {2, 2, "disk X TIME|full|torn|well: its writes take so long, or fail, or it ends in the middle of the next one"},
	"wall":     {2, 2, "wall X TIME: its wall clock jumps to so much from the others', such as 1h or -1h"},
	"mess":     {1, 1, "mess X: of its messages to peers a third are lost, a third come twice, all out of order"},
	"lose":     {1, 1, "lose X: its folder, while it is killed"},
	"keep":     {1, 1, "keep X: a copy of its folder, while it is killed or stopped"},
	"restore":  {1, 1, "restore X: the folder that was kept, while it is killed"},
	"garbage":  {1, 1, "garbage X: what is no member's comes to its fleet address"},
	"add":      {1, 1, "add X: an operator has it vote"},
	"remove":   {1, 1, "remove X: an operator has it vote no more"},
	"anew":     {1, 1, "anew X: an operator begins the fleet anew from it"},
	"give":     {1, 1, "give X: an operator has the duty go to X"},
	"pass":     {1, 1, "pass TIME: nothing, for so long"},
}

// Verbs describes them, sorted.
func Verbs() (all []string) {
	for _, v := range verbs {
		all = append(all, v.what)
	}
	slices.Sort(all)
	return all
}

// Schedule is what is played, and by how many. What is 0 is not said.
type Schedule struct {
	Name             string
	What             string // its first remark
	Limiters, Voters int
	Watch            string // room, each, or empty
	Peers            bool
	Steps            []Step
}

// Parse reads a schedule: a step a line, # begins a remark. Its first lines may say
// "limiters N", "voters N" and "watch room" or "watch each" (there is discovery, and who
// follows it), and "peers": limiters tell each other of spending.
func Parse(name, text string) (*Schedule, error) {
	c := &Schedule{Name: name}
	for i, line := range strings.Split(text, "\n") {
		line, remark, _ := strings.Cut(line, "#")
		if c.What == "" {
			c.What = strings.TrimSpace(remark)
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		s := Step{words[0], words[1:], i + 1}
		var err error
		switch s.Verb {
		case "limiters", "voters":
			err = c.size(s)
		case "watch":
			if len(c.Steps) > 0 || len(s.Args) != 1 || s.Args[0] != "room" && s.Args[0] != "each" {
				err = errors.New("write watch room, or watch each, before all steps")
			} else {
				c.Watch = s.Args[0]
			}
		case "peers":
			if c.Peers = true; len(c.Steps) > 0 || len(s.Args) > 0 {
				err = errors.New("write peers, with nothing more, before all steps")
			}
		default:
			err = s.check()
			c.Steps = append(c.Steps, s)
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %q: %w", name, s.Line, s, err)
		}
	}
	if len(c.Steps) == 0 {
		return nil, fmt.Errorf("%s: no steps: write one a line, such as kill owner", name)
	}
	return c, nil
}

// size takes in a line that says how many limiters play.
func (c *Schedule) size(s Step) error {
	if len(c.Steps) > 0 || len(s.Args) != 1 {
		return fmt.Errorf("write %s 3 before all steps", s.Verb)
	}
	n, err := strconv.Atoi(s.Args[0])
	if err != nil || n < 1 || n > 30 {
		return fmt.Errorf("%q is no number from 1 to 30", s.Args[0])
	}
	if s.Verb == "limiters" {
		c.Limiters = n
	} else {
		c.Voters = n
	}
	return nil
}

// check tells what is wrong with a step.
func (s Step) check() error {
	v, ok := verbs[s.Verb]
	switch {
	case !ok:
		return fmt.Errorf("there is no such step: write one of:\n  %s", strings.Join(Verbs(), "\n  "))
	case len(s.Args) < v.least || len(s.Args) > v.most:
		return fmt.Errorf("write %s", v.what)
	case s.Verb == "wait":
		return s.checkEvent()
	case s.Verb == "roll" && s.Args[0] != string(rollout.KindRestart) && s.Args[0] != string(rollout.KindDrain):
		return fmt.Errorf("write %s", v.what)
	case s.Verb == "pass" || s.Verb == "delay" || s.Verb == "wall" || s.Verb == "disk" && s.Args[1] != "full" && s.Args[1] != "torn" && s.Args[1] != "well":
		if _, err := time.ParseDuration(s.Args[len(s.Args)-1]); err != nil {
			return fmt.Errorf("%w: write a time such as 2s", err)
		}
	}
	return nil
}

//go:embed cases
var cases embed.FS

// Cases are the hard cases that the repository keeps, sorted by name.
func Cases() (all []*Schedule) {
	files, err := cases.ReadDir("cases")
	if err != nil {
		panic(err) // they are built in
	}
	for _, f := range files {
		text, err := cases.ReadFile("cases/" + f.Name())
		if err != nil {
			panic(err)
		}
		c, err := Parse(strings.TrimSuffix(f.Name(), ".txt"), string(text))
		if err != nil {
			panic(err) // a test reads them all
		}
		all = append(all, c)
	}
	return all
}

// events are what a schedule can wait for, and what else each needs.
var events = map[string]string{"owner": "", "new-owner": "", "owned-by": "a limiter", "held": "", "step": "a phase",
	"back": "a number", "done": "", "votes": "a number", "no-leader": "", "leader": "", "watched": "", "asked": "", "used": "a box", "gone": "a limiter"}

var phases = []rollout.Phase{rollout.PhaseLeaving, rollout.PhaseEnding, rollout.PhaseReturning, rollout.PhaseBack}

// checkEvent tells what is wrong with the event of a wait.
func (s Step) checkEvent() error {
	needs, ok := events[s.Args[0]]
	switch {
	case !ok:
		return fmt.Errorf("there is no such event: write %s", verbs["wait"].what)
	case needs == "" && len(s.Args) > 1:
		return fmt.Errorf("%s takes nothing more", s.Args[0])
	case needs != "" && len(s.Args) < 2:
		return fmt.Errorf("%s needs %s", s.Args[0], needs)
	case needs == "a phase" && !slices.Contains(phases, rollout.Phase(s.Args[1])):
		return fmt.Errorf("a phase is one of %v", phases)
	case needs == "a number":
		if n, err := strconv.Atoi(s.Args[1]); err != nil || n < 0 {
			return fmt.Errorf("%s needs a number, such as wait %[1]s 3", s.Args[0])
		}
	}
	return nil
}

// Random draws a schedule: a rollout with faults at its steps. Whatever it breaks it mends
// before the end, so that the rollout has to come to its own end.
func Random(seed uint64, limiters int) (steps []Step) {
	r := rand.New(rand.NewPCG(seed, 0xfa))
	add := func(format string, args ...any) {
		words := strings.Fields(fmt.Sprintf(format, args...))
		steps = append(steps, Step{words[0], words[1:], len(steps) + 1})
	}
	one := func() string { return fmt.Sprint("n", r.IntN(limiters)) }
	add("wait owner")
	add("roll %s", []string{"restart", "restart", "drain"}[r.IntN(3)])
	for range 1 + r.IntN(3) {
		if r.IntN(2) == 0 {
			add("wait step %s", []string{"leaving", "ending", "returning"}[r.IntN(3)])
		}
		switch r.IntN(11) {
		case 0:
			add("kill owner")
			add("wait new-owner")
			add("start all")
		case 1:
			add("stop owner")
			add("wait new-owner")
			add("go all")
		case 2:
			add("hold owner")
			add("wait held")
			add("stop owner")
			add("wait new-owner")
			add("pass %dms", 100*r.IntN(20))
			add("release all")
			add("go all")
		case 3:
			add("isolate owner")
			add("wait new-owner")
			add("heal")
		case 4:
			add("cut owner leader") // one way; nothing, if they are one
			add("pass 500ms")
			add("heal")
		case 5:
			add("kill leader")
			add("wait leader")
			add("start all")
		case 6:
			add("disk leader 2s")
			add("pass 1s")
			add("disk all well")
		case 7:
			add("kill all")
			add("start all")
		case 8:
			add("stop %s", one())
			add("pass 700ms")
			add("go all")
		case 9:
			add("delay %s %dms", one(), 20+r.IntN(150))
			add("garbage %s", one())
			add("pass 500ms")
			add("heal")
		case 10:
			add("give %s", one())
		}
	}
	add("go all")
	add("release all")
	add("heal")
	add("disk all well")
	add("start all")
	add("wait done")
	return steps
}
