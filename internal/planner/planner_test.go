package planner

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/replay"
)

func plan(t *testing.T, rate float64, o Options) *Report {
	t.Helper()
	f := config.Bluebird()
	f.Traffic.Rate *= rate
	p, err := replay.Prepare(t.Context(), replay.Options{Fleet: f, Length: 4 * time.Minute, Speed: 1, Seed: 3}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(p, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Twice the demand needs twice the boxes, and the loss of one of two rooms doubles them. Replayed days
// reach the goal with the planned boxes and miss it with half of them.
func TestPlanIsKept(t *testing.T) {
	o := Options{Confidence: 0.95, Goal: 0.97}
	r, twice := plan(t, 1, o), plan(t, 2, o)
	a, b := r.Hours[0], twice.Hours[0]
	if len(r.Hours) != 1 || a.Boxes < 6 || b.Boxes < 2*a.Boxes-4 || b.Boxes > 2*a.Boxes || a.BoxesLoss != 2*a.Boxes {
		t.Fatalf("%+v, twice %+v", a, b)
	}
	f := config.Bluebird()
	good, err := r.Replay(t.Context(), f, a.BoxesLoss, 8, nil)
	if err != nil {
		t.Fatal(err)
	}
	bad, err := r.Replay(t.Context(), f, a.BoxesLoss/2, 8, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d boxes: %+v; %d boxes: %+v", a.BoxesLoss, good, a.BoxesLoss/2, bad)
	if good.Kept != 8 || good.Mean < 0.97 || bad.Kept != 0 {
		t.Errorf("%+v, with half of the boxes %+v", good, bad)
	}
}

// Options change the plan as documented, and the text and JSON formats agree.
func TestWhatIf(t *testing.T) {
	o := Options{Confidence: 0.95, Goal: 0.97}
	r := plan(t, 1, o)
	o.Boxes = 30
	larger := plan(t, 1, o)
	o.ExcludedRoom = "room-b"
	oneRoom := plan(t, 1, o)
	if larger.Rooms[0].Boxes != 15 || larger.Rooms[1].Boxes != 15 || larger.Hours[0].Use >= r.Hours[0].Use || len(oneRoom.Rooms) != 1 || oneRoom.Hours[0].BoxesLoss != oneRoom.Hours[0].Boxes {
		t.Errorf("%+v, one room %+v", larger.Rooms, oneRoom.Hours)
	}
	var text, data bytes.Buffer
	if err := r.Text(&text); err != nil {
		t.Fatal(err)
	}
	if err := r.Write(&data); err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := r.HTML(&page); err != nil || !strings.Contains(page.String(), "<polyline") || !strings.Contains(page.String(), "binds") {
		t.Errorf("the page: %v", err)
	}
	var back Report
	if err := json.Unmarshal(data.Bytes(), &back); err != nil || back.Hours[0] != r.Hours[0] || !strings.Contains(text.String(), "* binds:") {
		t.Errorf("%v\n%s", err, text.String())
	}
	o.ExcludedRoom = "cellar"
	p, err := replay.Prepare(t.Context(), replay.Options{Fleet: config.Bluebird(), Length: time.Minute, Speed: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(p, o); err == nil || !strings.Contains(err.Error(), `no room "cellar"`) {
		t.Errorf("%v", err)
	}
}
