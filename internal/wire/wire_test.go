package wire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"example.org/madderdrum/limiter"
)

const validBatch = `SYNC 8412.25
BEGIN 3 5138197539985895 az=1 balancers=2 position=1 membership_mode=push new.key=7 caps.cancel=true family_info.peer_in_per_s=40.0 request_classes.count=1 request_classes.0.idempotency=idempotency_key request_classes.0.group=zone request_classes.0.promise_ms=300.0 request_classes.0.deadline_ms=900.0 packages.count=1 packages.0.per_second=2.5 packages.0.burst=9.0
LIST 0 2
ROW 0 - 0 up 51530247 0 1
ROW 0 6100.0 0 draining 747639282 2 1.5
ENDPOINTS 3 Persisted 41 0
SUBMIT 3 rq_a 240.0 2 0 0 0 0 3 1 4569004829
REPORT_BACK 3 rq_a 0 51530247 pass 18.5 1 86 3 busy_reqs:7,svc_ms:14.5
ALARM 3 sweep
FROM_PEER 3 1 68692037
HEALTH_RESULT 3 2.5 51530247 too_slow -
ADDED 3 38 pass sweep 2.15
RETIRE 3
COMMIT
`

func TestReadBatch(t *testing.T) {
	r := NewReader(strings.NewReader(validBatch))
	now, items, err := r.Batch()
	if err != nil || now != 8412.25 || len(items) != 9 {
		t.Fatalf("now %g, %d items, %v", now, len(items), err)
	}
	s := items[0].Settings
	if items[0].Err != nil || s.Position != 1 || s.Zone != 1 || !s.Caps.Cancel || s.Plans[0].Burst != 9 ||
		s.Classes[0].Repeat != limiter.Keyed || s.Classes[0].Group != limiter.GroupZone {
		t.Errorf("settings %+v, %v", s, items[0].Err)
	}
	list := items[1].Event.(limiter.Endpoints)
	if len(list.Servers) != 2 || list.Servers[1] != (limiter.ServerInfo{ID: 747639282, ReadyAt: 6100, Phase: limiter.Draining, Cell: 2, Weight: 1.5}) {
		t.Errorf("list %+v", list)
	}
	want := limiter.Submit{ID: "rq_a", ExpiresMs: 240, Units: 2, Spread: 3, First: 1, Account: 4569004829}
	if got := items[2].Event.(limiter.Submit); got != want {
		t.Errorf("submit %+v", got)
	}
	out := items[3].Event.(limiter.Outcome)
	if out.SpentMs != 18.5 || !out.Done || out.Cost != 3 || out.Load.Busy != 7 || out.Load.ServiceMs != 14.5 || out.Load.Pending != -1 {
		t.Errorf("outcome %+v", out)
	}
	if _, _, err := r.Batch(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestMalformedNamesTheLine(t *testing.T) {
	for in, want := range map[string]string{
		"HELLO 3\n":                                "line 1",
		"SYNC x\n":                                 "line 1",
		"SYNC 1\nALARM 3\nCOMMIT\n":                "line 2",
		"SYNC 1\nALARM x y\nCOMMIT\n":              "line 2",
		"SYNC 1\nWHAT 3 x\nCOMMIT\n":               "line 2",
		"SYNC 1\nLIST 0 2\nROW 0 - 0 up 1 0 1\n":   "line 3",
		"SYNC 1\nLIST 99 0\nCOMMIT\n":              "line 2",
		"SYNC 1\nFROM_PEER 3 1 zz\nCOMMIT\n":       "line 2",
		"SYNC 1\nENDPOINTS 3 Sometimes 1 0\n":      "line 2",
		"SYNC 1\nSUBMIT 3 r NaN 2 0 0 0 0 3 1 4\n": "line 2",
		"SYNC 1\n": "line 1",
	} {
		_, _, err := NewReader(strings.NewReader(in)).Batch()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v does not name %s", in, err, want)
		}
	}
}

func TestBadSetting(t *testing.T) {
	for _, text := range []string{"balancers=x", "balancers=1.5", "caps.cancel=maybe",
		"request_classes.count=1 request_classes.0.idempotency=often", "packages.count=-1"} {
		name := text[strings.LastIndex(text, " ")+1 : strings.LastIndex(text, "=")]
		if _, err := parseSettings(text); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", text, err)
		}
	}
}

func TestWriteActions(t *testing.T) {
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, a := range []limiter.Action{
		limiter.PassOn{ID: "r", CapMs: 80, Server: 5}, limiter.Refuse{ID: "r", WaitMs: 1.5}, limiter.Fail{ID: "r"},
		limiter.AbortAttempt{ID: "r", Try: 1}, limiter.Timer{At: 9, Handle: "tick"}, limiter.Probe{Server: 5},
		limiter.Tell{To: 1, Data: []byte{104, 105}}, limiter.Log{Line: "a\nb"}, limiter.Listen{}, limiter.QueryAll{},
	} {
		w.Action(3, a)
	}
	w.Fault(3, "bad")
	if err := w.Yield(); err != nil {
		t.Fatal(err)
	}
	want := "PASS_ON 3 r 80.000 5\nOVERLOAD_REPLY 3 r 1.500\nERROR 3 r\nABORT_ATTEMPT 3 r 1\nTIMER 3 9.000 tick\nINSPECT 3 5\n" +
		"SHARE 3 1 6869\nDEBUG 3 a b\nLISTEN 3 1\nQUERY_ALL 3\nFAULT 3 bad\nYIELD\n"
	if b.String() != want {
		t.Errorf("got\n%s", b.String())
	}
}

func FuzzBatch(f *testing.F) {
	f.Add(validBatch)
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		for {
			if _, _, err := r.Batch(); err != nil {
				if !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "line ") {
					t.Errorf("error %v names no line", err)
				}
				return
			}
		}
	})
}
