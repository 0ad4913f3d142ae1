package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
)

// Nothing of a request is kept once it has ended: after thousands of requests of every kind the heap is as
// large as after the warm-up. The test runs alone, as other tests' heap would be counted too.
func TestHeapDoesNotGrow(t *testing.T) {
	r := startWith(t, withAdmin, server("s-1", serveHTTP(t, func(w http.ResponseWriter, hr *http.Request) {
		b, _ := io.ReadAll(hr.Body)
		w.Write(b)
	})))
	client := &http.Client{Timeout: testTimeout}
	defer client.CloseIdleConnections()
	long := make([]byte, 4*maxHeldBody)
	round := func() {
		for i := range 20 {
			class, plan := "status-check", "enterprise"
			var body []byte
			switch i {
			case 0:
				class, body = "send-bulk-paid", long
			case 1:
				class = "send-reminder"
			case 2:
				plan = "starter" // refused, except for the first two
			}
			ctx, cancel := context.WithCancel(t.Context())
			req := r.newRequest(class, plan, "").WithContext(ctx)
			if plan == "starter" {
				req.URL.RawQuery = "key=0000000000000007"
			}
			if body != nil {
				req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), -1
			}
			if resp, err := client.Do(req); err == nil {
				if i != 3 { // one client disconnects before reading the answer
					io.Copy(io.Discard, resp.Body)
				}
				resp.Body.Close()
			}
			cancel()
		}
		if c, err := net.Dial("tcp", r.addr); err == nil { // half a header, then a disconnect
			io.WriteString(c, "POST /api HTTP/1.1\r\nHo")
			c.Close()
		}
		r.adminCall("show-stat")
	}
	heap := func() uint64 {
		waitFor(t, "nothing is in progress", func() bool { return r.figures().InProgress == 0 })
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for range 30 {
		round()
	}
	before := heap()
	for range 150 { // 3,000 requests
		round()
	}
	if after := heap(); after > before+before/5+(1<<20) {
		t.Errorf("the heap has %d KB after 3,000 requests more, %d KB before them", after>>10, before>>10)
	} else {
		t.Logf("%d KB, then %d KB", before>>10, after>>10)
	}
}
