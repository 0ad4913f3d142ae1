package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// record returns a record of the given days in bins of 5 minutes. The rate follows a daily wave, is
// halved at weekends and has random noise; change can alter it.
func record(days int, change func(at, rate float64) float64) *History {
	r := rand.New(rand.NewPCG(5, 5))
	h := &History{Bin: 300, Kinds: make([][]float64, 2)}
	for i := range days * 288 {
		at := float64(i) * h.Bin
		rate := 10 * (1.5 + math.Sin(2*math.Pi*at/day))
		if int(at/day)%7 >= 5 {
			rate /= 2
		}
		if change != nil {
			rate = change(at, rate)
		}
		for k := range h.Kinds {
			n := rate * h.Bin
			h.Kinds[k] = append(h.Kinds[k], max(0, math.Round(n+math.Sqrt(n)*r.NormFloat64())))
		}
	}
	return h
}

// forecast returns the forecast of a record at a confidence of 0.95.
func forecast(t *testing.T, h *History) *Forecast {
	t.Helper()
	f, err := NewForecast(h, 0.95)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// The forecast follows the hours of the week. It reports and ignores a holiday and a missing day, and
// the last quarter of the record stays below the level about as often as the confidence says.
func TestForecast(t *testing.T) {
	f := forecast(t, record(42, nil))
	if f.Period != week || len(f.Slots) != 168 || len(f.Holes)+len(f.Odd) > 0 || f.Coverage < 0.85 || f.Coverage > 0.99 {
		t.Errorf("period %v, %d slots, gaps %v, outlier days %v, coverage %v", f.Period, len(f.Slots), f.Holes, f.Odd, f.Coverage)
	}
	for _, c := range []struct{ at, want float64 }{{6*hour + 1800, 25}, {18*hour + 1800, 5}, {5*day + 6*hour + 1800, 12.5}, {week + 6*hour + 1800, 25}} {
		if s := f.At(c.at); math.Abs(s.Mean[0]-c.want) > 0.05*c.want || s.High[0] < s.Mean[0] {
			t.Errorf("at %s: %v, at the confidence %v, want %v", Clock(c.at), s.Mean[0], s.High[0], c.want)
		}
	}
	holiday := forecast(t, record(42, func(at, rate float64) float64 {
		switch int(at / day) {
		case 17:
			return rate * 3
		case 30:
			return 0
		}
		return rate
	}))
	if len(holiday.Odd) != 1 || holiday.Odd[0].String() != "Thu 00:00 of week 3 to Fri 00:00 of week 3" {
		t.Errorf("outlier days: %v", holiday.Odd)
	}
	if len(holiday.Holes) != 1 || holiday.Holes[0].From != 30*day || holiday.Holes[0].To != 31*day {
		t.Errorf("gaps: %v", holiday.Holes)
	}
	if a, b := holiday.At(3*day + 6*hour).Mean[0], f.At(3*day + 6*hour).Mean[0]; math.Abs(a-b) > 0.05*b {
		t.Errorf("a Thursday is %v, with a holiday in the record %v", b, a)
	}
	// Two weeks have each weekday twice: a weekend resembles the other one, a holiday does not.
	if f := forecast(t, record(14, nil)); len(f.Odd) > 0 || f.Period != week {
		t.Errorf("two weeks: outlier days %v, period %v", f.Odd, f.Period)
	}
	two := forecast(t, record(14, func(at, rate float64) float64 {
		if int(at/day) == 9 {
			return rate * 3
		}
		return rate
	}))
	if len(two.Odd) != 1 || two.Odd[0].From != 9*day {
		t.Errorf("two weeks with a holiday: outlier days %v", two.Odd)
	}
	// A record too short to distinguish hours gives a single level and no coverage.
	if f := forecast(t, record(1, nil)); f.Period != 0 || len(f.Slots) != 1 {
		t.Errorf("one day: %+v", f)
	}
	short := &History{Bin: 1, Kinds: [][]float64{{4}}}
	if f := forecast(t, short); !math.IsNaN(f.Coverage) || f.Slots[0].High[0] != 4 {
		t.Errorf("one bin: %+v", f)
	}
	for _, bad := range []*History{{}, {Bin: 1}, {Bin: 0, Kinds: [][]float64{{1}}}, {Bin: 1, Kinds: [][]float64{{}}}} {
		if _, err := NewForecast(bad, 0.95); err == nil {
			t.Errorf("%+v: no error", bad)
		}
	}
	if _, err := NewForecast(short, 1); err == nil {
		t.Error("no error for a confidence of 1")
	}
}

// testFleet returns a fleet of two equal rooms and two kinds of requests.
func testFleet() *Fleet {
	return &Fleet{
		Kinds: []Kind{{Name: "check", Work: 0.04, MeanSquareWork: 0.003, Aim: 0.3, Worth: 2}, {Name: "bulk", Work: 0.12, MeanSquareWork: 0.03, Aim: 1.2, Worth: 5}},
		Rooms: []Room{{Name: "a", Boxes: 6, WorkPerBox: 2}, {Name: "b", Boxes: 6, WorkPerBox: 2}},
	}
}

// The planned boxes serve the goal and one box fewer does not. One more box adds worth in the busiest
// hour and nothing in hours that are served fully.
func TestPlan(t *testing.T) {
	f := testFleet()
	h := record(42, nil)
	for k := range h.Kinds {
		for i := range h.Kinds[k] {
			h.Kinds[k][i] *= 3
		}
	}
	hours := f.Plan(forecast(t, h), 0.97)
	busiest := 0
	for i, x := range hours {
		if x.Work > hours[busiest].Work {
			busiest = i
		}
		got, fewer := f.Served(x.Slot.High, float64(x.Boxes)*f.meanBoxWork()), f.Served(x.Slot.High, float64(x.Boxes-1)*f.meanBoxWork())
		if got < 0.97-1e-6 || fewer >= 0.97 {
			t.Fatalf("%s: %d boxes serve %v, one fewer %v", Clock(x.Slot.From), x.Boxes, got, fewer)
		}
		if x.BoxesWithLoss < x.Boxes || x.BoxesWithLoss/2 < x.Boxes {
			t.Fatalf("%d boxes, %d with the loss of one of two rooms", x.Boxes, x.BoxesWithLoss)
		}
		if x.ServedAfterLoss > x.Served+1e-12 || x.OneMore < -1e-12 || x.ServedAfterLoss == 1 && x.OneMore > 1e-12 {
			t.Fatalf("%+v", x)
		}
	}
	x := hours[busiest]
	if x.ServedAfterReturn != x.Served {
		t.Errorf("returned room, warm: served %v, want %v", x.ServedAfterReturn, x.Served)
	}
	for i := range f.Rooms {
		f.Rooms[i].ColdShare = 0.02
	}
	if y := f.Plan(forecast(t, h), 0.97)[busiest]; y.ServedAfterReturn <= y.ServedAfterLoss || y.ServedAfterReturn >= y.Served {
		t.Errorf("returned room, cold: served %v, without it %v, with it %v", y.ServedAfterReturn, y.ServedAfterLoss, y.Served)
	}
	if s := Clock(x.Slot.From); !strings.HasSuffix(s, " 05:00") && !strings.HasSuffix(s, " 06:00") || x.LostRoom == "" || x.ServedAfterLoss >= 0.97 || x.OneMore <= 0 {
		t.Errorf("busiest hour: %s, %+v", s, x)
	}
	if f.Served([]float64{0, 0}, 0) != 1 || f.Served([]float64{1, 1}, 0) != 0 {
		t.Error("no demand must count as fully served, demand without capacity as not served")
	}
}

// Two promises that fit alone but not together, one at the peak that does not fit, one longer than
// the forecast's period, and invalid promises.
func TestAdmit(t *testing.T) {
	f, fc := testFleet(), forecast(t, record(42, nil))
	one := Promise{Name: "clinic", From: day + 14*hour, To: day + 18*hour, Units: 4 * 3600 * 40, Rate: 40, Work: 0.1}
	v := f.Admit(fc, nil, one, 0.9)
	if !v.Fits || math.Abs(v.Units-one.Units) > 1 {
		t.Fatalf("alone: %+v", v)
	}
	two := one
	two.Name = "shop"
	two.Rate, two.Units = 60, 4*3600*60
	if v = f.Admit(fc, nil, two, 0.9); !v.Fits {
		t.Fatalf("the second alone: %+v", v)
	}
	v = f.Admit(fc, []Promise{one}, two, 0.9)
	if v.Fits || v.Units >= two.Units || v.Units <= 0 || !strings.Contains(v.Why, "room for") {
		t.Errorf("both together: %+v", v)
	}
	best := two
	best.Units, best.Rate = math.Floor(v.Units), v.Units/(4*hour)+20
	if w := f.Admit(fc, []Promise{one}, best, 0.9); !w.Fits {
		t.Errorf("the units that Admit offered do not fit: %+v, then %+v", v, w)
	}
	peak := one
	peak.From, peak.To, peak.Rate, peak.Units = day+4*hour, day+8*hour, 100, 4*3600*100
	if v = f.Admit(fc, nil, peak, 0.9); v.Fits || !strings.Contains(v.Why, "Tue 0") {
		t.Errorf("at the peak: %+v", v)
	}
	for _, bad := range []Promise{{}, {From: 1, To: 0, Rate: 1}, {To: 1, Rate: 0}, {To: 1, Rate: 1, Units: -1}, {To: 1, Rate: 1, Units: math.NaN()}} {
		if v := f.Admit(fc, nil, bad, 0.9); v.Fits {
			t.Errorf("%+v fits", bad)
		}
	}
	flat := forecast(t, record(1, nil))
	if v := f.Admit(flat, nil, one, 0.9); v.Fits || !strings.Contains(v.Why, "knows no hours") {
		t.Errorf("longer than the forecast: %+v", v)
	}
}

// BenchmarkPlan measures a forecast and a plan from bins of a minute, by weeks, kinds and boxes.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct{ weeks, kinds, boxes int }{{1, 9, 12}, {1, 150, 1000}, {4, 150, 1000}} {
		b.Run(fmt.Sprintf("weeks-%d/kinds-%d/boxes-%d", c.weeks, c.kinds, c.boxes), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			h := &History{Bin: 60, Kinds: make([][]float64, c.kinds)}
			f := &Fleet{Rooms: []Room{{Name: "a", Boxes: c.boxes / 2, WorkPerBox: 2, ColdShare: 0.25}, {Name: "b", Boxes: c.boxes / 2, WorkPerBox: 2, ColdShare: 0.25}}}
			for k := range h.Kinds {
				f.Kinds = append(f.Kinds, Kind{Work: 0.02 + 0.1*r.Float64(), MeanSquareWork: 0.01, Aim: 0.5, Worth: 1 + r.Float64()})
				for range c.weeks * 7 * 24 * 60 {
					h.Kinds[k] = append(h.Kinds[k], 60*float64(c.boxes)/float64(c.kinds)*10*r.Float64())
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				fc, err := NewForecast(h, 0.95)
				if err != nil {
					b.Fatal(err)
				}
				if n := len(f.Plan(fc, 0.97)); n != len(fc.Slots) {
					b.Fatal(n)
				}
			}
		})
	}
}
