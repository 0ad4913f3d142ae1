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

// Datagrams between limiters start with a byte for their type.
const (
	datagramSpending     byte = 1 // a message of package limiter
	datagramLoans        byte = 2 // a quotaloan.Message, in CBOR
	datagramTokenRequest byte = 3 // a tokenRequest, in CBOR
	datagramTokenReply   byte = 4 // a tokenReply, in CBOR
	datagramProbe        byte = 5 // a probeMessage, in CBOR
	datagramLoad         byte = 6 // a loadreports.Report, in CBOR
)

const loanInterval = 400 * time.Millisecond

// openLoans prepares lending and borrowing for a slot of a table with slotCount slots. If this limiter already has
// loans, they continue with the new numbers. The mutex is held.
func (proxy *Proxy) openLoans(slot, slotCount int) {
	var near, region []int
	for i, place := range proxy.register.Places {
		switch {
		case i == slot || !place.Held():
		case place.Zone == proxy.settings.Zone:
			near = append(near, i)
		case proxy.settings.Zones[place.Zone] == proxy.settings.Region:
			region = append(region, i)
		}
	}
	near = append(near, region...)
	if proxy.loans != nil {
		proxy.loans.Resize(slot, slotCount, near)
		return
	}
	proxy.loans = quotaloan.New(proxy.now(), slot, slotCount, near, rand.Uint64())
	if proxy.register.Places[slot].Incarnation == proxy.instanceID {
		proxy.loans.SkipRecall()
	}
}

// updateLoans requests loans for accounts whose parts are too small, and repeats at loanInterval. The mutex is
// held.
func (e *engine) updateLoans() {
	proxy := e.proxy
	if proxy.engine != e {
		return // another engine has replaced this one
	}
	var demands []quotaloan.Demand
	for _, d := range e.decider.Demands() {
		demands = append(demands, quotaloan.Demand{ID: d.Account, Requests: d.Asked})
	}
	for _, l := range e.quota.UpdateDemand(proxy.now(), demands) {
		e.sendLoanMessage(l)
	}
	e.applyParts()
	time.AfterFunc(loanInterval, func() {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		e.updateLoans()
	})
}

func (e *engine) sendLoanMessage(letter quotaloan.Envelope) {
	if letter.To < len(e.proxy.register.Places) && e.proxy.register.Places[letter.To].IP != "" {
		e.proxy.sendDatagram(e.proxy.settings.InternalAddress(e.proxy.register.Places[letter.To].IP, nodesettings.ProxyPort),
			datagramLoans, rpc.Encode(letter.Message))
	}
}

// applyParts passes the engine the parts of ceilings that are held now. The mutex is held.
func (e *engine) applyParts() {
	if e.proxy.engine != e { // the parts belong to another engine
		return
	}
	if of, rest, changed := e.quota.Parts(e.proxy.now()); changed {
		e.handle(limiter.Parts{ByAccount: of, Default: rest})
	}
}

// applyDueParts calls applyParts if some part has expired. The mutex is held.
func (e *engine) applyDueParts() {
	if e.proxy.engine == e && e.quota.Expired(e.proxy.now()) {
		e.applyParts()
	}
}

// sendDatagram sends a datagram to another limiter. Errors are ignored.
func (proxy *Proxy) sendDatagram(to string, kind byte, data []byte) {
	addr, err := resolveUDP(to)
	if err != nil {
		return
	}
	proxy.peerConn.WriteTo(append([]byte{kind}, data...), addr)
}

// receiveDatagrams handles datagrams of other limiters until the socket is closed.
func (proxy *Proxy) receiveDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := proxy.peerConn.ReadFrom(buf)
		if err != nil {
			return
		}
		if n > 1 {
			proxy.handleDatagram(nodesettings.HostOf(from.String()), buf[0], slices.Clone(buf[1:n]))
		}
	}
}

func (proxy *Proxy) handleDatagram(ip string, kind byte, data []byte) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if kind == datagramProbe {
		proxy.handleProbe(ip, data)
		return
	}
	e := proxy.engine
	if e == nil {
		return
	}
	if kind == datagramLoad {
		var report loadreports.Report
		if slices.ContainsFunc(proxy.register.Places,
			func(place places.Place) bool { return place.Held() && place.IP == ip }) && rpc.Decode(data, &report) == nil {
			proxy.loadReports.Receive(proxy.now(), report)
		}
		return
	}
	for i, place := range proxy.register.Places {
		if place.IP != ip || i >= e.slotCount || !place.Held() {
			continue
		}
		switch kind {
		case datagramSpending:
			e.handle(limiter.PeerMessage{From: i, Data: data})
		case datagramTokenRequest:
			var m tokenRequest
			if rpc.Decode(data, &m) == nil {
				proxy.sendDatagram(proxy.settings.InternalAddress(ip, nodesettings.ProxyPort), datagramTokenReply,
					rpc.Encode(e.answerTokenRequest(m)))
			}
		case datagramTokenReply:
			var a tokenReply
			if rpc.Decode(data, &a) == nil {
				proxy.deliverTokenReply(a)
			}
		case datagramLoans:
			var m quotaloan.Message
			if rpc.Decode(data, &m) != nil {
				return
			}
			if l, ok := e.quota.Ledger.Receive(proxy.now(), i, m); ok {
				e.applyParts() // give up what is lent before the borrower learns of it
				e.sendLoanMessage(l)
			} else if m.Answer { // more is held, or a loan is confirmed
				e.applyParts()
			}
		}
		return
	}
}
