package service

import (
	"math"
	"testing"
	"time"

	"example.org/madderdrum/config"
)

func TestWorth(t *testing.T) {
	f := config.Bluebird()
	m := NewMeter(f)
	ask := func(at time.Duration, class, plan int, send bool, end End) *Request {
		r := &Request{Account: uint64(plan), Class: class, Plan: plan, Units: f.Classes[class].Units}
		m.Asked(at, r)
		if send {
			m.SentOn(at, r)
		}
		m.Ended(r, end, "because")
		return r
	}
	// A business account has a burst of 15 units: three bulk requests of four units fit.
	for range 3 {
		if r := ask(0, 2, 1, true, InTime); !r.Within || math.Abs(r.Worth-22) > 1e-9 {
			t.Fatalf("%+v", r)
		}
	}
	if s := m.Plans[1].Service(); math.Abs(s-1) > 1e-9 {
		t.Errorf("service %g", s)
	}
	if r := ask(0, 2, 1, false, Refused); r.Within {
		t.Error("request beyond the burst counted as within the quota")
	}
	if s := m.Plans[1].Service(); math.Abs(s-1) > 1e-9 {
		t.Errorf("service %g after a refusal beyond the quota", s)
	}
	ask(0, 2, 1, true, InTime) // forwarded beyond the quota: earns nothing and costs 120%
	if s, want := m.Plans[1].Service(), (66-1.2*22)/66; math.Abs(s-want) > 1e-9 {
		t.Errorf("service %g, want %g", s, want)
	}
	// Late status checks of the enterprise plan earn a fifth.
	ask(time.Second, 0, 2, true, Late)
	if s := m.Plans[2].Service(); math.Abs(s-0.2) > 1e-9 {
		t.Errorf("service %g", s)
	}
	if x := m.Figure(); x.WorstPlan != 2 || math.Abs(x.Plan-0.2) > 1e-9 || x.Total >= x.Whole {
		t.Errorf("%+v", x)
	}
	if m.Total.By[InTime] != 4 || m.Total.By[Refused] != 1 || m.Total.SentBeyond != 1 || m.Total.RefusedWithin != 0 {
		t.Errorf("%+v", m.Total)
	}
}

func TestWorstTenSeconds(t *testing.T) {
	f := config.Bluebird()
	m := NewMeter(f)
	for s := range 60 {
		for k := range 5 {
			r := &Request{Account: uint64(s*10 + k), Class: 0, Plan: 2, Units: 1}
			m.Asked(time.Duration(s)*time.Second, r)
			end := InTime
			if s >= 30 && s < 40 && k < 4 {
				end = Failed
			}
			m.Ended(r, end, "because")
		}
	}
	if x := m.Figure(); math.Abs(x.Worst-0.2) > 1e-9 || x.WorstFrom != 30 {
		t.Errorf("%+v", x)
	}
}

// Entries of idle accounts are removed.
func TestMeterForgets(t *testing.T) {
	m := NewMeter(config.Bluebird())
	for i := range 200_000 {
		m.Asked(time.Duration(i)*10*time.Millisecond, &Request{Account: uint64(i), Units: 1})
	}
	if len(m.accounts) > 20_000 {
		t.Errorf("%d accounts kept", len(m.accounts))
	}
}
