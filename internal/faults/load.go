package faults

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// loadCeiling has clients ask for more than the ceiling of one account.
func (r *rig) loadCeiling(ctx context.Context, client *http.Client) {
	r.each(ctx, 50*time.Millisecond, func(k int) {
		i := int(time.Since(r.net.begun)/ceilingEvery) * 2 // most go here
		if k%10 == 0 {
			i = k / 10
		}
		if p := r.all[i%len(r.all)]; r.runs(p) {
			r.send(ctx, client, p, fmt.Sprintf("%s%08x", ceilingID, k), "business", 0xcc, ceilingUnits)
		}
	})
}

// each has something done in even steps, until the context ends.
func (r *rig) each(ctx context.Context, step time.Duration, do func(k int)) {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for k := 0; ; k++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(k)
		}
	}
}

// send has a client send a request that must not run twice, beside the others.
func (r *rig) send(ctx context.Context, client *http.Client, p *process, id, plan string, account, units int) {
	r.clients.Go(func() {
		q, _ := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s/api?key=%016x", p.listen, account), strings.NewReader("text"))
		q.Header = http.Header{"X-Request-Id": {id}, "X-Priority-Class": {"send-bulk-paid"}, "Plan": {plan}, "X-Timeout": {"2000m"},
			"Quota-Info": {fmt.Sprintf("units=%d,spread=%d,first=0", units, len(r.all))}}
		if a, err := client.Do(q); err == nil {
			if a.StatusCode == http.StatusTooManyRequests && plan == "enterprise" {
				r.mu.Lock()
				r.result.Refused++
				r.mu.Unlock()
			}
			io.Copy(io.Discard, a.Body)
			a.Body.Close()
		}
	})
}

// load has clients send requests that must not run twice, over all limiters.
func (r *rig) load(ctx context.Context) {
	if r.o.Load <= 0 {
		return
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 5 * time.Second}
	r.clients.Go(func() { r.loadCeiling(ctx, client) })
	r.clients.Go(func() {
		defer client.CloseIdleConnections()
		r.each(ctx, time.Second/time.Duration(r.o.Load), func(k int) {
			account := 1 + k%40
			if r.o.Peers && k%4 > 0 {
				account = 1 // half of its quota, if each request is counted once
			}
			if p := r.all[k%len(r.all)]; r.runs(p) {
				r.send(ctx, client, p, fmt.Sprintf("%08x", k), "enterprise", account, 1)
			}
		})
	})
}
