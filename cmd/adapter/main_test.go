package main

import (
	"bytes"
	"strings"
	"testing"

	"example.org/madderdrum/internal/wire"
	"example.org/madderdrum/limiter"
)

const begin = "BEGIN 3 5 balancers=1 position=0 request_classes.count=1 request_classes.0.idempotency=read_like" +
	" request_classes.0.promise_ms=300 request_classes.0.deadline_ms=900 packages.count=1 packages.0.per_second=5 packages.0.burst=9\n" +
	"LIST 0 1\nROW 0 - 0 up 77 0 1\nENDPOINTS 3 Persisted 1 0\n"

func TestRun(t *testing.T) {
	var out bytes.Buffer
	in := "SYNC 10\nCOMMIT\nSYNC 20\n" + begin + "COMMIT\nSYNC 30\nRETIRE 3\n" + begin + "SUBMIT 3 a 240 1 0 0 0 0 1 0 9\nCOMMIT\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out.String(), "YIELD\n") || !strings.Contains(out.String(), "PASS_ON 3 a 0.000 77\nYIELD\n") {
		t.Errorf("replies:\n%s", out.String())
	}
}

func TestMalformedEndsWithoutReply(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader("SYNC 10\nALARM 3 x\nALARM\nCOMMIT\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "line 3") || out.Len() != 0 {
		t.Errorf("error %v, reply %q", err, out.String())
	}
}

func TestBadSettingsAreAFault(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader("SYNC 10\nBEGIN 3 5 balancers=0\nCOMMIT\n"), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "FAULT 3 limiter: balancers") {
		t.Errorf("reply %q", out.String())
	}
}

func TestPanicIsAnError(t *testing.T) {
	var out bytes.Buffer
	limiters := map[int]*limiter.Limiter{1: {}} // the zero value, not made by New, panics
	err := handle(limiters, wire.NewWriter(&out), 1, wire.Item{Instance: 1, Event: limiter.Alarm{Handle: "tick"}})
	if err == nil || !strings.Contains(err.Error(), "panic") {
		t.Errorf("got %v", err)
	}
}
