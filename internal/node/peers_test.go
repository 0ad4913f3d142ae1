package node

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// Limiters exchange what they admitted, so that a quota holds over both. Datagrams from unknown senders and
// invalid ones are dropped.
func TestQuotaOverTwoLimiters(t *testing.T) {
	t.Parallel()
	addr := echo(t)
	var sockets [2]*net.UDPConn
	var addrs []netip.AddrPort
	// Free ports on addresses that no other test listens on, as they are unbound for a moment before the
	// limiters listen on them.
	for i := range sockets {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(fmt.Sprintf("127.77.0.%d:0", i+1))))
		if err != nil {
			t.Fatal(err)
		}
		sockets[i] = c
		addrs = append(addrs, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	var rigs [2]*rig
	for i := range rigs {
		sockets[i].Close()
		rigs[i] = startWith(t, func(c *Config) {
			m := &c.Settings.Module
			m.Balancers, m.Position, m.Caps.Peers = 2, i, true
			m.Plans[0].Burst = 8
			c.PeerListen, c.Peers = addrs[i].String(), addrs
		}, server("s-1", addr))
	}
	unknownPeer, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addrs[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer unknownPeer.Close()
	for range 100 {
		if _, err := unknownPeer.Write([]byte("nonsense")); err != nil {
			break
		}
	}
	waitFor(t, "the unknown peer's datagrams are dropped", func() bool {
		return strings.Contains(rigs[1].log.String(), "dropped a datagram")
	})
	customer := 0
	pass := func(r *rig) bool {
		req := r.newRequest("status-check", "starter", "")
		req.URL.RawQuery = fmt.Sprintf("key=%016x", customer)
		req.Header.Set("Quota-Info", "units=1,spread=2,first=0")
		status, _, _ := r.do(req)
		return status == 200
	}
	// A customer uses its whole burst at one limiter. The other one, which has never seen the customer, refuses
	// its first request once it has received the peer's message; without messages each limiter would admit half
	// of the burst.
	waitFor(t, "spending at one limiter counts at the other", func() bool {
		customer++
		for pass(rigs[0]) {
		}
		time.Sleep(200 * time.Millisecond) // several ticks; if they were too few, the next customer is tried
		return !pass(rigs[1])
	})
	if n := strings.Count(rigs[1].log.String(), "dropped a datagram"); n > logBurst {
		t.Errorf("%d log lines", n)
	}
}
