package faults

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// datagrams is what lies between peers: a socket for each limiter's view of each other one, as a
// limiter knows its peers by the addresses that messages come from. What one sends to its
// view of another comes to that one from its view of the first.
type datagrams struct {
	n     *network
	views map[[2]int]*net.UDPConn // by who sees and whom
	peers []*net.UDPAddr          // where limiters listen
}

// openPeers lays out the views; addresses of limiters are given.
func (n *network) openPeers(host string, peers []string) (*datagrams, error) {
	d := &datagrams{n: n, views: map[[2]int]*net.UDPConn{}}
	for _, p := range peers {
		a, err := net.ResolveUDPAddr("udp", p)
		if err != nil {
			return nil, fmt.Errorf("faults: %w", err)
		}
		d.peers = append(d.peers, a)
	}
	for i := range peers {
		for j := range peers {
			if i == j {
				continue
			}
			ln, err := net.ListenPacket("udp", host+":0")
			if err != nil {
				return nil, fmt.Errorf("faults: %w", err)
			}
			d.views[[2]int{i, j}] = ln.(*net.UDPConn)
			n.mu.Lock()
			n.lns = append(n.lns, ln)
			if n.ways[[2]int{i, j}] == nil {
				n.ways[[2]int{i, j}] = &way{from: i, to: j}
			}
			n.mu.Unlock()
		}
	}
	for k, view := range d.views {
		n.tasks.Go(func() { d.carry(k[0], k[1], view) })
	}
	return d, nil
}

// carry passes on what one limiter says to another.
func (d *datagrams) carry(from, to int, view *net.UDPConn) {
	r := rand.New(rand.NewPCG(uint64(from), uint64(to)))
	back := d.views[[2]int{to, from}]
	b := make([]byte, 2048)
	for {
		k, _, err := view.ReadFromUDP(b)
		if err != nil {
			return // the network is closed
		}
		d.n.mu.Lock()
		w := *d.n.ways[[2]int{from, to}]
		d.n.mu.Unlock()
		copies := 1
		if w.messy {
			copies = r.IntN(3) // a third are lost, a third come twice
		}
		for range copies {
			late := w.delay
			if w.messy && r.IntN(3) == 0 { // behind later ones of the same account
				late += time.Duration(r.IntN(1500)) * time.Millisecond
			}
			if w.cut {
				continue
			}
			data := append([]byte(nil), b[:k]...)
			time.AfterFunc(late, func() { back.WriteToUDP(data, d.peers[to]) })
		}
	}
}
