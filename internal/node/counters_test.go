package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"example.org/madderdrum/limiter"
)

// A line has the nonzero counts since the last one by name, the counts are reset with it, and nothing is
// counted at other log levels.
func TestCounters(t *testing.T) {
	var log bytes.Buffer
	c := newCounters(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	for _, ev := range []limiter.Event{limiter.Submit{}, limiter.Submit{}, limiter.PeerMessage{},
		limiter.Outcome{Server: 7, Result: limiter.NoRoom}, limiter.Probed{Result: limiter.TooSlow}} {
		c.countEvent(ev)
	}
	for _, a := range []limiter.Action{limiter.PassOn{}, limiter.Refuse{Why: limiter.NoServer}, limiter.Tell{Data: make([]byte, 20)}, limiter.Fail{}} {
		c.countAction(a)
	}
	c.connect()
	c.countListCall()
	line := func() string {
		var b bytes.Buffer
		slog.New(slog.NewTextHandler(&b, nil)).Info("counters", c.line(limiter.View{Up: 60})...)
		return b.String()
	}
	first := line()
	for _, want := range []string{"submits=2 ", "sends=1 ", "ended_no_room=1 ", "refused_no_server=1 ", "fails=1 ", "probes_failed=1 ",
		"tells=1 ", "told_bytes=20 ", "heard=1 ", "connects=1 ", "list_calls=1 ", "servers_up=60 "} {
		if !strings.Contains(first, want) {
			t.Errorf("no %sin %s", want, first)
		}
	}
	if second := line(); strings.Contains(second, "submits") || strings.Contains(second, "connects") || !strings.Contains(second, "servers_up=60 ") {
		t.Errorf("line without new counts: %s", second)
	}
	if !strings.Contains(log.String(), "msg=attempt server=7 try=0 result=no_room") {
		t.Errorf("the attempt's line: %s", log.String())
	}
	off := newCounters(slog.New(slog.NewTextHandler(&log, nil)))
	if off != nil {
		t.Fatal("counters at level info")
	}
	off.countEvent(limiter.Submit{})
	off.countAction(limiter.PassOn{})
	off.connect()
	off.countListCall()
}
