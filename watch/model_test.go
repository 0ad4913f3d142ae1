package watch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 100 * time.Millisecond

// room is a room of limiters that all use one box: the first has the duty, while it lives.
// Messages between them may be lost. Time goes in ticks.
type room struct {
	cfg     Settings
	now     time.Duration
	desk    *Desk // nil: nobody looks
	posts   []*Post
	reaches []bool          // whether each reaches the box; the first of them is the desk's
	ill     []bool          // whether each holds it as ill
	asked   []time.Duration // when each wanted to know last
	saw     []time.Duration // when each last had a look or a word that it could believe
	looks   int             // at the box
	loses   func() bool
	blind   bool // for a check of the checks: words are believed whatever the own looks say
}

func newRoom(n int, loses func() bool) *room {
	r := &room{cfg: DefaultSettings(1600 * time.Millisecond), loses: loses, ill: make([]bool, n), reaches: make([]bool, n),
		asked: make([]time.Duration, n), saw: make([]time.Duration, n)}
	r.desk = NewDesk(r.cfg)
	for i := range n {
		r.posts = append(r.posts, NewPost(r.cfg))
		r.posts[i].Heard(0)
		r.reaches[i] = true
	}
	return r
}

const box = 7

func verdict(reaches bool) Verdict {
	if reaches {
		return Well
	}
	return Ill
}

func who(i int) string {
	if i == 0 {
		return ""
	}
	return fmt.Sprintf("n%03d", i)
}

// believe is what a limiter's module does with what it hears of a box.
func (r *room) believe(i int, v Verdict) {
	r.saw[i] = r.now
	if v == Well {
		r.ill[i] = false
	}
}

// look has a limiter look itself.
func (r *room) look(i int) {
	r.looks++
	v := verdict(r.reaches[i])
	r.believe(i, v)
	if i > 0 && r.posts[i].Looked(box) && r.desk != nil && !r.loses() {
		r.tell(r.desk.Checked(r.now, box, v))
	}
}

func (r *room) tell(words []Word) {
	for _, w := range words {
		i := 0
		if w.To != "" {
			fmt.Sscanf(w.To, "n%d", &i)
		}
		switch {
		case i == 0 && w.Is == Alone:
			r.look(0)
		case i == 0:
			r.believe(0, w.Is)
		case !r.loses():
			r.posts[i].Heard(r.now)
			if r.blind && w.Is != Well {
				w.Is = Ill
			}
			tell, look := r.posts[i].Told(r.now, w)
			if tell != "" {
				r.believe(i, tell)
			}
			if look {
				r.look(i)
			}
		}
	}
}

// step is one tick: attempts fail where the box is not reached, whoever holds it as ill wants to
// know, and the desk looks.
func (r *room) step() {
	r.now += tick
	for i := range r.posts {
		if !r.reaches[i] && !r.ill[i] {
			r.ill[i], r.saw[i] = true, r.now
			if i > 0 {
				r.posts[i].Failed(r.now, box)
			}
		}
		if r.desk != nil && i > 0 && !r.loses() {
			r.posts[i].Heard(r.now)
		}
		if !r.ill[i] || r.now < r.asked[i]+r.cfg.Every {
			continue
		}
		r.asked[i] = r.now
		if i == 0 {
			if r.desk == nil {
				r.look(0)
			} else {
				r.tell(r.desk.Ask(r.now, "", box))
			}
			continue
		}
		ask, look := r.posts[i].Want(r.now, box)
		if ask && r.desk != nil && !r.loses() {
			r.tell(r.desk.Ask(r.now, who(i), box))
		}
		if look {
			r.look(i)
		}
	}
	if r.desk != nil {
		for _, b := range r.desk.Next(r.now) {
			r.looks++
			r.tell(r.desk.Looked(r.now, b, verdict(r.reaches[0])))
		}
	}
}

// Whatever is lost, whoever reaches the box and whether anybody looks: nobody who holds a box as
// ill is left without a look or a word for longer than it is patient.
func TestNobodyIsLeftWithoutALook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lossy := 0
		r := newRoom(rapid.IntRange(1, 8).Draw(t, "limiters"), nil)
		r.loses = func() bool { return lossy > 0 && rapid.IntRange(0, 3).Draw(t, "lost") < lossy }
		for range 300 {
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				i := rapid.IntRange(0, len(r.posts)-1).Draw(t, "limiter")
				r.reaches[i] = !r.reaches[i]
			case 1:
				lossy = rapid.IntRange(0, 4).Draw(t, "loss")
			case 2:
				if r.desk == nil {
					r.desk = NewDesk(r.cfg)
				} else {
					r.desk = nil
				}
			case 3:
				r.posts[rapid.IntRange(0, len(r.posts)-1).Draw(t, "cut")].Cut()
			}
			r.step()
			for i := range r.posts {
				if bound := r.cfg.Patience + 2*r.cfg.Every; r.ill[i] && r.now-r.saw[i] > bound {
					t.Fatalf("limiter %d has known nothing of a box for %v", i, r.now-r.saw[i])
				}
			}
		}
	})
}

// A limiter that reaches a box which the one that looks does not reach uses it again, and the more
// limiters there are, the longer that may take, but not without end: the word is checked.
func TestAWatcherThatDoesNotReachABoxIsFoundOut(t *testing.T) {
	for _, n := range []int{2, 5, 50} {
		run := func(blind bool) (ill int) {
			r := newRoom(n, func() bool { return false })
			r.blind = blind
			for i := range n {
				r.reaches[i] = false
			}
			for range 20 {
				r.step()
			}
			for i := range n {
				r.reaches[i] = i > 0
			}
			for r.now < 6*time.Second {
				r.step()
			}
			for i := 1; i < n; i++ {
				if r.ill[i] {
					ill++
				}
			}
			return ill
		}
		if ill := run(false); ill > 0 {
			t.Errorf("%d limiters: %d hold the box as ill", n, ill)
		}
		if ill := run(true); ill == 0 {
			t.Errorf("%d limiters: without the check all are found out too", n)
		}
	}
}

// A word that a box is well holds until the own attempts say otherwise.
func TestOwnAttemptsGoBeforeAWord(t *testing.T) {
	r := newRoom(3, func() bool { return false })
	r.reaches[2] = false
	for r.now < 9*time.Second {
		r.step()
	}
	ask, look := r.posts[2].Want(r.now, box)
	if ask || !look {
		t.Errorf("it believes what it sees otherwise: asks %v, looks %v", ask, look)
	}
}

// Looks at an ill box don't grow with the number of limiters, while the one that looks is heard;
// alone they do.
func TestLooksDoNotGrow(t *testing.T) {
	looks := func(n int, watched bool) int {
		r := newRoom(n, func() bool { return false })
		if !watched {
			r.desk = nil
			for _, p := range r.posts {
				p.Cut()
			}
		}
		for i := range n {
			r.reaches[i] = false
		}
		for r.now < 30*time.Second {
			r.step()
		}
		return r.looks
	}
	one := looks(1, false)
	for _, n := range []int{3, 30, 300} {
		with, without := looks(n, true), looks(n, false)
		t.Logf("%3d limiters: %d looks in 30 s, alone %d; one limiter %d", n, with, without, one)
		if with > 2*one || without < n*one*9/10 {
			t.Errorf("%d limiters look %d times, alone %d, one alone %d", n, with, without, one)
		}
	}
}

// Lists never go back, by whichever way they come, and news never leave a gap.
func TestListsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Feed
		at := int64(0)            // the agent's
		own, led := at, at        // as far as this limiter and the other one have heard
		known, told := at, at-100 // what is in use; what the connection has carried
		for range 100 {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				at += rapid.Int64Range(1, 3).Draw(t, "news")
			case 1:
				led = at
			case 2: // the agent answers this limiter
				if !f.Led() {
					own = at
					f.Own(own)
					known = own
				}
			case 3:
				if take, _ := f.Offer(led, true); take {
					if led < known {
						t.Fatalf("back from %d to %d", known, led)
					}
					known = led
				}
				told = led
			case 4: // news behind what the connection has carried
				if take, want := f.Offer(led, false); take {
					if known < told {
						t.Fatalf("news behind %d, known is %d", told, known)
					}
					known = led
				} else if want && led < known {
					t.Fatalf("asks for an older list")
				}
				told = led
			case 5:
				f.Apart()
				led = rapid.Int64Range(0, at).Draw(t, "another one's")
				told = -100
			case 6:
				f.Alone()
			}
		}
	})
}

// One that does not hear an agent which others hear gives the duty up; not if nobody does.
func TestUnfit(t *testing.T) {
	d := NewDesk(DefaultSettings(time.Second))
	d.Lost(0, "main")
	if d.Unfit(time.Minute) {
		t.Error("nobody hears the agent, and it is to go")
	}
	d.Others("main")
	if d.Unfit(time.Second) || !d.Unfit(time.Minute) {
		t.Error("it is to go after a while")
	}
	d.Heard("main")
	if d.Unfit(time.Minute) {
		t.Error("it hears the agent, and is to go")
	}
}
