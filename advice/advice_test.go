package advice

import (
	"errors"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// Any request is unchanged by encoding and decoding.
func TestRequest(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	text := func(most int) string {
		b := make([]byte, r.IntN(most+1))
		for i := range b {
			b[i] = byte(r.IntN(256))
		}
		return string(b)
	}
	for range 2000 {
		want := Request{Account: r.Uint64(), Plan: r.IntN(9), Class: r.IntN(9), PlanName: text(20), ClassName: text(20), Method: text(8),
			Path: text(300), Units: r.Float64() * 100, Balance: -r.Float64(), Pressure: 0.25, LeftMs: float64(r.IntN(9000)), Retry: r.IntN(2) == 0}
		for range r.IntN(5) {
			want.Headers = append(want.Headers, [2]string{text(20), text(100)})
		}
		if r.IntN(2) == 0 {
			want.Body = []byte(text(3000))
		}
		b := want.Append([]byte("before"))
		got, err := DecodeRequest(b[6:])
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%v\n%+v\n%+v", err, got, want)
		}
	}
	long := Request{Path: strings.Repeat("p", 2*MostRequest), Headers: [][2]string{{"a", strings.Repeat("v", MostRequest)}, {"b", "c"}}}
	if b := long.Append(nil); len(b) > MostRequest {
		t.Errorf("%d bytes", len(b))
	} else if got, err := DecodeRequest(b); err != nil || len(got.Headers) > 1 || len(got.Path) != MostRequest/2 {
		t.Errorf("%v, %d headers, a path of %d", err, len(got.Headers), len(got.Path))
	}
}

// Advice is unchanged by encoding and decoding, and each kind of malformed advice is an error.
func TestAdvice(t *testing.T) {
	want := Advice{Refuse: true, WaitMs: 300, Reason: "bulk waits", Priority: 0.5, Label: "friday", Prefer: "near", Avoid: "far"}
	sound := want.Append(nil)
	if got, err := Decode(sound); err != nil || got != want {
		t.Fatalf("%v %+v", err, got)
	}
	change := func(at int, v byte) []byte {
		b := append([]byte(nil), sound...)
		b[at] = v
		return b
	}
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{
		"empty":          {nil, ErrLayout},
		"short":          {sound[:31], ErrLayout},
		"long":           {append(sound, make([]byte, MostAdvice)...), ErrLayout},
		"version":        {change(0, 2), ErrVersion},
		"header":         {change(2, 31), ErrLayout},
		"header beyond":  {change(3, 255), ErrLayout},
		"kind":           {change(4, 2), ErrLayout},
		"text beyond":    {change(30, 200), ErrLayout},
		"text too long":  {(&Advice{Label: strings.Repeat("x", maxTextBytes+1)}).Append(nil), ErrText},
		"text not UTF-8": {(&Advice{Label: "\xff\xfe"}).Append(nil), ErrText},
	} {
		if got, err := Decode(c.b); !errors.Is(err, c.want) || got != (Advice{}) && err != nil && got.Reason != "" {
			t.Errorf("%s: %v %+v", name, err, got)
		}
	}
	evil := Advice{Label: "a\nb\x1b[31m"}
	if got, err := Decode(evil.Append(nil)); err != nil || strings.ContainsAny(got.Label, "\n\x1b") {
		t.Errorf("%v %q", err, got.Label)
	}
}

// For any bytes that a plug-in writes, the combined advice stays within its grant.
func TestAnyAdviceIsBounded(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	odd := []float64{0, -1, 1, 1e300, -1e300, math.NaN(), math.Inf(1), math.Inf(-1), 0.3, 5, math.SmallestNonzeroFloat64}
	pick := func() float64 { return odd[r.IntN(len(odd))] }
	for range 100_000 {
		g := Grant{Refuse: r.IntN(2) == 0, MostWaitMs: 500, Lower: 0.5 * float64(r.IntN(2)), Raise: 2 * float64(r.IntN(2)), Label: r.IntN(2) == 0, Tiers: r.IntN(2) == 0}
		c := Start()
		more := true
		for place := 0; place < 4 && more; place++ {
			a := Advice{Refuse: r.IntN(3) == 0, WaitMs: pick(), Priority: pick(), Label: "l", Prefer: "p", Avoid: "v"}
			b := a.Append(nil)
			if r.IntN(2) == 0 {
				b[r.IntN(len(b))] ^= byte(1 << r.IntN(8))
			}
			got, err := Decode(b)
			if err != nil {
				more = c.Failed(place, &g, OnFault)
				continue
			}
			more = c.Add(place, &g, got)
		}
		switch {
		case c.Refuse && !g.Refuse, !(c.WaitMs >= 0 && c.WaitMs <= 500), !c.Refuse && c.WaitMs > 0,
			!(c.Factor >= LeastFactor && c.Factor <= MostFactor), g.Lower == 0 && c.Factor < 1, g.Raise == 0 && c.Factor > 1,
			!g.Label && len(c.Labels) > 0, !g.Tiers && (c.Prefer != "" || len(c.Avoid) > 0), c.Refuse == more:
			t.Fatalf("granted %+v, combined to %+v", g, c)
		}
	}
}

// Combining plug-ins: factors multiply, labels accumulate, the first preferred tier wins, and the first
// refusal ends the sequence.
func TestCombine(t *testing.T) {
	g := &Grant{Refuse: true, MostWaitMs: 1000, Lower: 0.1, Raise: 4, Label: true, Tiers: true}
	c := Start()
	if !c.Add(0, g, Advice{Priority: 2, Label: "a", Prefer: "x"}) || !c.Add(1, g, Advice{Priority: 0.5, Label: "b", Prefer: "y", Avoid: "z"}) || !c.Add(2, g, Advice{}) {
		t.Fatal("the sequence ended without a refusal")
	}
	if c.Factor != 1 || c.Prefer != "x" || len(c.Labels) != 2 || len(c.Avoid) != 1 || c.Refuse {
		t.Errorf("%+v", c)
	}
	if c.Add(3, g, Advice{Refuse: true, WaitMs: 5000, Reason: "later"}) || c.By != 3 || c.WaitMs != 1000 || c.Reason != "later" {
		t.Errorf("%+v", c)
	}
	guard := &Grant{RefuseOn: OnFault}
	if c = Start(); !c.Failed(0, g, OnFault) || !c.Failed(1, guard, OnBusy) || c.Failed(1, guard, OnFault) || c.By != 1 {
		t.Errorf("%+v", c)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add((&Advice{Refuse: true, Reason: "r", Label: "l"}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := Decode(b)
		if err == nil {
			if got, err := Decode(a.Append(nil)); err != nil || got.Reason != a.Reason || got.Refuse != a.Refuse {
				t.Errorf("%v %+v %+v", err, a, got)
			}
		}
		DecodeRequest(b)
	})
}
