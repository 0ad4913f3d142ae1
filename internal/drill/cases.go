// Package drill has a fleet lose and regain rooms in every hard way that it knows, in
// virtual time, and measures what each way costs with tiers of preference and with plain
// rules on the same days.
package drill

import (
	"fmt"
	"strings"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/virtual"
	"example.org/madderdrum/internal/world"
)

// Case is a way to lose and regain a room.
type Case struct {
	Name, Text string
	// Loss and Back are when the room goes and when it is there again; Away, if it goes
	// more than once, is when it is there again for the first time.
	Loss, Back time.Duration
	Away       time.Duration
	Length     time.Duration
	Load       float64            // of the usual traffic
	Shape      func(*fleet.Fleet) // changes the fleet, if set
	Faults     func(*fleet.Fleet) string
}

// window is the time after a loss or a return over which its cost is counted.
const window = 12 * time.Second

// Cases returns all of them; the first is the plain one.
func Cases() []Case {
	room := func(line string) func(*fleet.Fleet) string { return func(*fleet.Fleet) string { return line } }
	return []Case{
		{Name: "lost", Text: "a room's processes die, and start again cold 15 s later", Faults: room("room room-a is lost from 10s to 25s")},
		{Name: "silent", Text: "a room vanishes without a word, and is back cold 15 s later", Faults: room("room room-a is lost from 10s to 25s silently")},
		{Name: "backup-slow", Text: "a room returns cold while the other one is 1.6 times slower", Faults: func(f *fleet.Fleet) string {
			return "room room-a is lost from 10s to 25s\n" + each(f, 1, 1, "slows 1.6 from 22s to 37s")
		}},
		{Name: "flap-twice", Text: "a room is lost for 5 s twice within a minute", Away: 15 * time.Second, Back: 30 * time.Second,
			Faults: room("room room-a is lost from 10s to 15s\nroom room-a is lost from 25s to 30s")},
		{Name: "flap-ten", Text: "a room is lost for 4 s each 30 s, ten times", Away: 14 * time.Second, Back: 284 * time.Second, Length: 310 * time.Second, Faults: func(*fleet.Fleet) string {
			var b strings.Builder
			for k := range 10 {
				fmt.Fprintf(&b, "room room-a is lost from %ds to %ds\n", 10+30*k, 14+30*k)
			}
			return b.String()
		}},
		{Name: "half", Text: "half of a room's boxes die and start again", Faults: func(f *fleet.Fleet) string { return each(f, 0, 2, "dies from 10s to 25s") }},
		{Name: "cut", Text: "a third of the limiters can't reach a room, the others can", Faults: func(f *fleet.Fleet) string {
			var b strings.Builder
			for i := 0; i < len(f.Limiters); i += 3 {
				fmt.Fprintf(&b, "limiter %s loses room room-a from 10s to 25s\n", f.Limiters[i].Name)
			}
			return b.String()
		}},
		{Name: "errors", Text: "a room's boxes answer 90% with errors, as fast as ever", Faults: func(f *fleet.Fleet) string { return each(f, 0, 1, "fails 90% from 10s to 25s") }},
		{Name: "slow", Text: "a room's boxes are 6 times slower", Faults: func(f *fleet.Fleet) string { return each(f, 0, 1, "slows 6 from 10s to 25s") }},
		{Name: "list-dead", Text: "a room vanishes and discovery goes on listing it", Faults: room("list is silent from 9s to 30s\nroom room-a is lost from 10s to 25s silently")},
		{Name: "list-drops", Text: "discovery drops a room that is well", Faults: room("room room-a is unlisted from 10s to 25s")},
		{Name: "both", Text: "both rooms are lost, one returns 20 s before the other", Back: 20 * time.Second, Length: 60 * time.Second,
			Faults: room("room room-a is lost from 10s to 40s\nroom room-b is lost from 10s to 20s")},
		{Name: "restarts", Text: "all limiters restart while a room is away, and discovery does not tell", Faults: func(f *fleet.Fleet) string {
			var b strings.Builder
			b.WriteString("list is silent from 9s to 30s\nroom room-a is lost from 10s to 25s silently\n")
			for _, l := range f.Limiters {
				fmt.Fprintf(&b, "limiter %s restarts at 16s\n", l.Name)
			}
			return b.String()
		}},
		{Name: "overload", Text: "the room that is left can do half of what is asked for", Load: 1.9, Faults: room("room room-a is lost from 10s to 25s")},
		{Name: "unequal", Text: "three rooms of 8, 3 and 1 parts of 12 and three tiers; the largest is lost", Load: 0.55, Shape: func(f *fleet.Fleet) {
			f.Rooms = append(f.Rooms, "room-c")
			for i := range f.Boxes {
				r := [12]int{0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 2}[i%12]
				f.Boxes[i].Room, f.Boxes[i].Pod = r, r
			}
			f.Tiers = fleet.Tiers{{Name: "first", Rooms: []int{0}, Spill: 0.3}, {Name: "second", Rooms: []int{1}, Spill: 0.5}}
		}, Faults: room("room room-a is lost from 10s to 25s")},
		{Name: "one-box", Text: "the preferred tier is a single box, and an empty tier comes after it", Shape: func(f *fleet.Fleet) {
			f.Rooms = append(f.Rooms, "room-c", "room-d")
			f.Boxes[0].Room = 2
			f.Tiers = fleet.Tiers{{Name: "one", Rooms: []int{2}, Spill: 1}, {Name: "empty", Rooms: []int{3}, Spill: 0.3}}
		}, Faults: room("room room-c is lost from 10s to 25s")},
	}
}

// each has something befall each step'th box of a room.
func each(f *fleet.Fleet, room, step int, what string) string {
	var b strings.Builder
	n := 0
	for _, x := range f.Boxes {
		if x.Room == room {
			if n%step == 0 {
				fmt.Fprintf(&b, "box %s %s\n", x.Name, what)
			}
			n++
		}
	}
	return b.String()
}

// usualLoad is the share of the built-in fleet's traffic that is played: the room that
// is left then has 85% of its cores at work.
const usualLoad = 0.85

// Spill is the share that may leave the room of a limiter in most cases.
const Spill = 0.3

// day is a case on a fleet of a size.
func (c *Case) day(boxes, limiters int) (*fleet.Fleet, []world.Fault, error) {
	f := config.Bluebird()
	accounts := f.Traffic.Accounts * boxes / len(f.Boxes)
	f = f.Scale(boxes, limiters, max(1, accounts))
	load := usualLoad
	if c.Load > 0 {
		load *= c.Load
	}
	f.Traffic.Rate *= load
	f.Tiers = fleet.Tiers{{Name: "near", OwnRoom: true, Spill: Spill}}
	if c.Shape != nil {
		c.Shape(f)
	}
	faults, err := world.Scenario(f, c.Faults(f))
	if err != nil {
		return nil, nil, fmt.Errorf("case %s: %w", c.Name, err)
	}
	return f, faults, nil
}

// options are those of a day in virtual time, with its faults.
func (c Case) options(seed uint64, boxes, limiters int) (virtual.Options, error) {
	c = c.times()
	f, faults, err := c.day(boxes, limiters)
	if err != nil {
		return virtual.Options{}, err
	}
	return virtual.Options{Fleet: f, Seed: seed, Source: world.NewSynthetic(f, seed, c.Length), Faults: faults}, nil
}

// times fills in the usual ones.
func (c Case) times() Case {
	if c.Loss == 0 {
		c.Loss = 10 * time.Second
	}
	if c.Back == 0 {
		c.Back = 25 * time.Second
	}
	if c.Away == 0 {
		c.Away = c.Back
	}
	if c.Length == 0 {
		c.Length = 45 * time.Second
	}
	return c
}
