package configdelta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// configuration returns a text of many items, similar to what operators send.
func configuration(rng *rand.Rand, items int) []byte {
	var b bytes.Buffer
	for i := range items {
		fmt.Fprintf(&b, `{"name":"t%d","api_keys":["%016x%016x"],"rate_per_s":%d},`, i, rng.Uint64(), rng.Uint64(), rng.IntN(100))
	}
	return b.Bytes()
}

// changed returns a copy of a text with a few random replacements and insertions.
func changed(rng *rand.Rand, text []byte) []byte {
	next := bytes.Clone(text)
	for range 1 + rng.IntN(4) {
		at := rng.IntN(len(next) + 1)
		end := min(len(next), at+rng.IntN(80))
		next = append(append(bytes.Clone(next[:at]), fmt.Sprintf(`"x":%d`, rng.Uint32())...), next[end:]...)
	}
	return next
}

// Applying the delta between two texts gives the newer one, and a small change of a long text has a small delta.
func TestDeltas(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, items := range []int{0, 1, 100, 400, 5000} {
		older := configuration(rng, items)
		for range 20 {
			newer := changed(rng, older)
			delta, err := Between(older, newer)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Apply(older, delta)
			if err != nil || !bytes.Equal(got, newer) {
				t.Fatalf("%d items: %v", items, err)
			}
			if items >= 400 && len(delta) > len(newer)/10 {
				t.Errorf("%d items: the delta has %d bytes for a text of %d", items, len(delta), len(newer))
			}
			if wrong, err := Apply(append([]byte("x"), older...), delta); err == nil && !bytes.Equal(wrong, newer) {
				t.Error("applying a delta to a different text gave a wrong text and no error")
			}
			older = newer
		}
	}
}

// Applying arbitrary bytes as a delta never panics and never exceeds the size limit.
func FuzzApply(f *testing.F) {
	older := configuration(rand.New(rand.NewPCG(3, 4)), 50)
	delta, err := Between(older, changed(rand.New(rand.NewPCG(5, 6)), older))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(delta)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, delta []byte) {
		text, err := Apply(older, delta)
		if err == nil && len(text) > maxTextBytes {
			t.Errorf("%d bytes", len(text))
		}
	})
}

// A version that is kept has a delta to the newest one; a version that was dropped has none.
func TestHistory(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	h := NewHistory(100 << 10)
	texts := map[uint64][]byte{}
	text := configuration(rng, 300)
	for number := uint64(1); number <= 20; number++ {
		text = changed(rng, text)
		texts[number] = text
		h.Add(number, text)
		h.Add(number, text)
	}
	kept := 0
	for number, old := range texts {
		delta, ok := h.Delta(number)
		if !ok {
			continue
		}
		kept++
		if got, err := Apply(old, delta); err != nil || !bytes.Equal(got, text) {
			t.Errorf("version %d: %v", number, err)
		}
	}
	if _, ok := h.Delta(19); !ok || kept > 8 || kept < 3 {
		t.Errorf("%d versions are kept, want 3 to 8; delta from the latest older version: %v", kept, ok)
	}
}

func BenchmarkDelta(b *testing.B) {
	for _, items := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(9, 10))
			older := configuration(rng, items)
			newer := changed(rng, older)
			delta, err := Between(older, newer)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := Between(older, newer); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(newer)), "text-bytes")
			b.ReportMetric(float64(len(delta)), "delta-bytes")
		})
	}
}
