package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"example.org/madderdrum/control/places"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/traffic/loadreports"
	"example.org/madderdrum/traffic/quotaloan"
)

// Datagrams between limiters begin with what they are.
const (
	datagramSpending byte = 1 // of package limiter
	datagramLoans    byte = 2 // of package quotaloan, in CBOR
	datagramAsk      byte = 3 // a tokenAsk, in CBOR
	datagramAnswer   byte = 4 // a tokenAnswer, in CBOR
	datagramProbe    byte = 5 // a probeMessage, in CBOR
	datagramLoad     byte = 6 // a loadreports.Word, in CBOR
)

const loansEvery = 400 * time.Millisecond

// openDesk has loans of parts dealt in from a slot among so many. What is lent and borrowed goes on where
// that has changed while this process runs. The mutex is held.
func (y *Proxy) openDesk(position, size int) {
	var near, region []int
	for i, p := range y.reg.Places {
		switch {
		case i == position || !p.Held():
		case p.Zone == y.set.Zone:
			near = append(near, i)
		case y.set.Zones[p.Zone] == y.set.Region:
			region = append(region, i)
		}
	}
	near = append(near, region...)
	if y.desk != nil {
		y.desk.Resize(position, size, near)
		return
	}
	y.desk = quotaloan.New(y.now(), position, size, near, rand.Uint64())
	if y.reg.Places[position].Life == y.self {
		y.desk.First()
	}
}

// lookAtLoans asks for what is short here, again and again. The mutex is held.
func (e *engine) lookAtLoans() {
	y := e.y
	if y.engine != e {
		return // another has taken its place
	}
	var demands []quotaloan.Demand
	for _, d := range e.lim.Demands() {
		demands = append(demands, quotaloan.Demand{ID: d.Account, Asked: d.Asked})
	}
	for _, l := range e.holding.Look(y.now(), demands) {
		e.write(l)
	}
	e.parts()
	time.AfterFunc(loansEvery, func() {
		y.mu.Lock()
		defer y.mu.Unlock()
		e.lookAtLoans()
	})
}

func (e *engine) write(l quotaloan.Letter) {
	if l.To < len(e.y.reg.Places) && e.y.reg.Places[l.To].IP != "" {
		e.y.tell(e.y.set.Internal(e.y.reg.Places[l.To].IP, nodesettings.ProxyPort), datagramLoans, rpc.Encode(l.Message))
	}
}

// parts has the parts that are held now be in force. The mutex is held.
func (e *engine) parts() {
	if e.y.engine != e { // another one has them
		return
	}
	if of, rest, changed := e.holding.Parts(e.y.now()); changed {
		e.handle(limiter.Parts{Of: of, Rest: rest})
	}
}

// partsDue is parts, where some have ended. The mutex is held.
func (e *engine) partsDue() {
	if e.y.engine == e && e.holding.Due(e.y.now()) {
		e.parts()
	}
}

// tell sends a datagram to another limiter.
func (y *Proxy) tell(to string, kind byte, data []byte) {
	addr, err := resolveUDP(to)
	if err != nil {
		return
	}
	y.peers.WriteTo(append([]byte{kind}, data...), addr)
}

// hear takes in datagrams of other limiters.
func (y *Proxy) hear() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := y.peers.ReadFrom(buf)
		if err != nil {
			return
		}
		if n > 1 {
			y.heard(nodesettings.HostOf(from.String()), buf[0], slices.Clone(buf[1:n]))
		}
	}
}

func (y *Proxy) heard(ip string, kind byte, data []byte) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if kind == datagramProbe {
		y.hearProbe(ip, data)
		return
	}
	e := y.engine
	if e == nil {
		return
	}
	if kind == datagramLoad {
		var w loadreports.Word
		if slices.ContainsFunc(y.reg.Places, func(p places.Place) bool { return p.Held() && p.IP == ip }) && rpc.Decode(data, &w) == nil {
			y.loads.Hear(y.now(), w)
		}
		return
	}
	for i, p := range y.reg.Places {
		if p.IP != ip || i >= e.size || !p.Held() {
			continue
		}
		switch kind {
		case datagramSpending:
			e.handle(limiter.PeerMessage{From: i, Data: data})
		case datagramAsk:
			var m tokenAsk
			if rpc.Decode(data, &m) == nil {
				y.tell(y.set.Internal(ip, nodesettings.ProxyPort), datagramAnswer, rpc.Encode(e.asked(m)))
			}
		case datagramAnswer:
			var a tokenAnswer
			if rpc.Decode(data, &a) == nil {
				y.answered(a)
			}
		case datagramLoans:
			var m quotaloan.Message
			if rpc.Decode(data, &m) != nil {
				return
			}
			if l, ok := e.holding.Desk.Hear(y.now(), i, m); ok {
				e.parts() // what is lent is given up before the borrower hears of it
				e.write(l)
			} else if m.Answer { // more is held, or it is known what was lent
				e.parts()
			}
		}
		return
	}
}
