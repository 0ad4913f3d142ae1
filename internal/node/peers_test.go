package node

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// Limiters tell each other what they passed: the quota holds over both.
// Datagrams of strangers and such that are no message are dropped.
func TestQuotaOverTwoLimiters(t *testing.T) {
	t.Parallel()
	addr := echo(t)
	var socks [2]*net.UDPConn
	var addrs []netip.AddrPort
	// Ports of the system's, on addresses that no other test listens on, as they
	// are free for a moment before the limiters take them.
	for i := range socks {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(fmt.Sprintf("127.77.0.%d:0", i+1))))
		if err != nil {
			t.Fatal(err)
		}
		socks[i] = c
		addrs = append(addrs, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	var rigs [2]*rig
	for i := range rigs {
		socks[i].Close()
		rigs[i] = startWith(t, func(c *Config) {
			m := &c.Settings.Module
			m.Balancers, m.Position, m.Caps.Peers = 2, i, true
			m.Plans[0].Burst = 8
			c.PeerListen, c.Peers = addrs[i].String(), addrs
		}, server("s-1", addr))
	}
	stranger, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addrs[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	for range 100 {
		if _, err := stranger.Write([]byte("nonsense")); err != nil {
			break
		}
	}
	until(t, "the stranger's datagrams are dropped", func() bool {
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
	// A customer spends all at one limiter. The other, which has never seen it,
	// refuses its first request once it has heard of that; without messages each
	// would pass half of the burst of its own.
	until(t, "spending at one limiter counts at the other", func() bool {
		customer++
		for pass(rigs[0]) {
		}
		time.Sleep(200 * time.Millisecond) // some ticks; if they are too few, the next customer tells
		return !pass(rigs[1])
	})
	if n := strings.Count(rigs[1].log.String(), "dropped a datagram"); n > logBurst {
		t.Errorf("%d lines in the log", n)
	}
}
