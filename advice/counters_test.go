package advice

import (
	"testing"
	"time"
)

// Sums decay with their half-life, and their number stays within the limit.
func TestCounters(t *testing.T) {
	c := NewCounters(100)
	c.Add(0, []byte("a"), 8, time.Second)
	if v := c.Add(2*time.Second, []byte("a"), 0, 0); v != 2 {
		t.Errorf("after two half-lives 8 has decayed to %v", v)
	}
	for i := range 10_000 {
		c.Add(time.Duration(i), []byte{byte(i), byte(i >> 8)}, 1, time.Second)
	}
	if c.Len() > 100 {
		t.Errorf("%d keys", c.Len())
	}
	if c.Add(0, make([]byte, 65), 1, time.Second) != 0 || c.Len() > 100 {
		t.Error("a key that is too long was stored")
	}
}
