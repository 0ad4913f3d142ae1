package proxy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/madderdrum/control/controlstate"
)

// randomConfig returns a configuration with few names for many things: rules of both hosts, and tenants, share names and
// exchange them between versions. Requests under /once/ can never be repeated, those under /often/ always.
func randomConfig(random *rand.Rand, version int) []byte {
	pick := func(of ...string) string { return of[random.IntN(len(of))] }
	rule := func(kind, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"route_type":%q,"target_latency":"600ms","match_criteria":{"path_prefix":%q},
"forward_action":{"service":"s","timeout":"2s","max_attempts":2}}`, pick("a", "b", "c"), kind, prefix)
	}
	var listeners, tenants []string
	for _, host := range []string{"h", "i"} {
		rules := []string{rule("non_idempotent", "/once/"), rule(pick("idempotent", "download"), "/often/")}
		for range random.IntN(4) {
			kind := pick("idempotent", "non_idempotent")
			rules = append(rules, rule(kind, map[string]string{"idempotent": "/often/x/", "non_idempotent": "/once/x/"}[kind]))
		}
		random.Shuffle(len(rules), func(i, j int) { rules[i], rules[j] = rules[j], rules[i] })
		listeners = append(listeners, fmt.Sprintf(`{"hostname":%q,"policy":[%s]}`, host, strings.Join(rules[random.IntN(2):], ",")))
	}
	for k := range 1 + random.IntN(3) {
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"api_keys":["k%d"],"rate_per_s":%d,"burst_size":%d}`,
			pick("t1", "t2"), k+1, random.IntN(3)*40, random.IntN(200)))
	}
	return fmt.Appendf(nil, `{"config_version":"r%d","base_revision":"r%d","limits":{},"tenants":[%s],"listeners":[%s],
"clusters":[{"name":"s","health_path":"/health"}]}`, version, version-1, strings.Join(tenants, ","), strings.Join(listeners, ","))
}

// checkEngine checks that each route and tenant of the configuration in force has a class and a plan of its own.
func (proxy *testProxy) checkEngine(t *testing.T) {
	t.Helper()
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	table, e := proxy.configSnapshot.Load().table, proxy.engine
	classes, plans := map[int]bool{}, map[int]bool{0: true}
	for i := range table.Routes {
		class, known := e.classes[&table.Routes[i]]
		if !known || classes[class] {
			t.Errorf("route %d has class %d (known: %v), which another one has: %v", i, class, known, classes[class])
		}
		classes[class] = true
	}
	for i := range table.Tenants {
		plan, known := e.plans[&table.Tenants[i]]
		if !known || plans[plan] {
			t.Errorf("tenant %d has plan %d (known: %v), which another one has: %v", i, plan, known, plans[plan])
		}
		plans[plan] = true
	}
}

// ran returns the number of executions at all servers.
func ran(servers []*server) (n int) {
	for _, s := range servers {
		s.mu.Lock()
		n += len(s.executed)
		s.mu.Unlock()
	}
	return n
}

// Guards against indices and references that outlive a change of the configuration or of the places: while both change
// at random, no request that can't be repeated runs twice, and none whose status says that it has not run has run.
func TestRequestsDuringRandomChanges(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 78))
			proxy := newTestProxy(t)
			servers := []*server{proxy.server("i-1", 0, "cut"), proxy.server("i-2", 0, "cut"), proxy.server("i-3", 0, "cut")}
			proxy.deliver(nil)
			var clients sync.WaitGroup
			var mu sync.Mutex
			statuses := map[string]int{}
			stop := make(chan struct{})
			for k := range 6 {
				draw := rand.New(rand.NewPCG(seed, uint64(k)))
				clients.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						default:
						}
						id := fmt.Sprintf("once-%d-%d", k, n)
						text := request("POST", []string{"/once/1", "/once/x/1"}[draw.IntN(2)], id, "", "x")
						text = strings.Replace(text, "Host: h", "Host: "+[]string{"h", "i"}[draw.IntN(2)], 1)
						text = strings.Replace(text, ": k1", fmt.Sprintf(": k%d", 1+draw.IntN(2)), 1)
						got, _ := proxy.client(text, 1)
						mu.Lock()
						statuses[id] = got[0].StatusCode
						mu.Unlock()
					}
				})
			}
			for version := 2; version < 60 || version < 3000 && ran(servers) < 20; version++ {
				proxy.earnRetries(1000)
				proxy.deliver(&controlstate.Register{Seq: uint64(version), Version: uint64(version),
					Config: randomConfig(random, version), Places: placesUpTo(proxy, min(1+version/5, 1+random.IntN(12)))})
				proxy.checkEngine(t)
				time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
			}
			close(stop)
			clients.Wait()
			var executed []string
			for _, s := range servers {
				s.mu.Lock()
				executed = append(executed, s.executed...)
				s.mu.Unlock()
			}
			slices.Sort(executed)
			for i, id := range executed {
				if i > 0 && executed[i-1] == id {
					t.Errorf("%s ran twice and got %d", id, statuses[id])
				}
				if status := statuses[id]; status != 502 && status != 504 {
					t.Errorf("%s ran, its answer was lost, and it got %d", id, status)
				}
			}
			if len(executed) < 20 {
				t.Errorf("only %d of %d requests ran, want 20", len(executed), len(statuses))
			}
		})
	}
}
