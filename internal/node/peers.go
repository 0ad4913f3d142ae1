package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"example.org/madderdrum/grant"
	"example.org/madderdrum/limiter"
)

const (
	maxDatagram     = 256
	sendQueueLength = 256 // further messages are dropped, as the network may do
)

// peerLink exchanges datagrams with the other limiters.
type peerLink struct {
	conn      *net.UDPConn
	addrs     []netip.AddrPort
	broadcast netip.AddrPort
	position  map[netip.AddrPort]int
	queue     chan datagram
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

func newPeerLink(cfg *Config, shared bool) (*peerLink, error) {
	at, err := netip.ParseAddrPort(cfg.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	var listen net.ListenConfig
	if shared {
		listen.Control = reusePort
	}
	conn, err := listen.ListenPacket(context.Background(), "udp", at.String())
	if err != nil {
		return nil, fmt.Errorf("listening to peers: %w", err)
	}
	p := &peerLink{conn: conn.(*net.UDPConn), addrs: cfg.Peers, broadcast: cfg.PeersAll, position: map[netip.AddrPort]int{},
		queue: make(chan datagram, sendQueueLength)}
	for i, a := range cfg.Peers {
		if i != cfg.Settings.Module.Position {
			p.position[a] = i
		}
	}
	return p, nil
}

// send queues a message for one peer, or for all if to is -1. It never blocks.
func (p *peerLink) send(to int, data []byte) {
	if to == -1 && !p.broadcast.IsValid() { // no broadcast address
		for _, i := range p.position {
			p.send(i, data)
		}
		return
	}
	addr := p.broadcast
	if to >= 0 && to < len(p.addrs) {
		addr = p.addrs[to]
	}
	if !addr.IsValid() || len(data) > maxDatagram { // longer messages must not be sent
		return
	}
	select {
	case p.queue <- datagram{addr, data}:
	default:
	}
}

// sendPeers writes queued messages until the link closes.
func (n *Node) sendPeers() {
	for d := range n.peers.queue {
		if _, err := n.peers.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
			n.badInputLog.warn("could not write to a peer", "err", err)
		}
	}
}

// receivePeers handles messages until the link closes.
func (n *Node) receivePeers() {
	buf := make([]byte, maxDatagram+1)
	for {
		size, addr, err := n.peers.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an ICMP error in response to an earlier message
			n.badInputLog.warn("could not read from a peer", "err", err)
			time.Sleep(retryMin)
			continue
		}
		position, ok := n.peers.position[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if !ok || size > maxDatagram {
			n.badInputLog.warn("dropped a datagram", "from", addr, "bytes", size)
			continue
		}
		if size > 0 && buf[0] == grant.NoticeMagic {
			if n.grants != nil {
				n.grants.Heard(buf[:size])
			}
			continue
		}
		n.dispatch(limiter.PeerMessage{From: position, Data: buf[:size]}) // the module retains no part of Data
	}
}
