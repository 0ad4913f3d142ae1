package proxy

import (
	"cmp"
	"math/rand/v2"
	"strconv"
	"time"

	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/traffic/allowance"
	"example.org/madderdrum/traffic/quotaloan"
)

// When a tenant's ceiling divided by the number of limiters is less than a few requests, the parts are too small
// to be useful. They are gathered at a few limiters, the keepers, and the other limiters ask a keeper for every
// request. When parts are small but useful, a limiter whose part is used up at the moment asks another limiter of
// its region for a single token, because requests arrive in bursts. A limiter that is asked replies at once from
// its own part; nothing queues for a token. A request for which no limiter has a token is rejected.

// tokenRequest asks another limiter to pay for one request.
type tokenRequest struct {
	Serial  uint64 `cbor:"1,keyasint"`
	Account uint64 `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	Host    string `cbor:"5,keyasint,omitempty"` // of the route; empty: from a version that names the route alone
}

// tokenReply is the reply to a tokenRequest.
type tokenReply struct {
	Serial uint64  `cbor:"1,keyasint"`
	OK     bool    `cbor:"2,keyasint,omitempty"`
	WaitMs float64 `cbor:"3,keyasint,omitempty"`
	Why    string  `cbor:"4,keyasint,omitempty"`
}

// requestToken asks other limiters in turn for one token of the call's tenant until one of them grants it.
func (proxy *Proxy) requestToken(c *call) (ok bool, waitMs float64, reason string) {
	proxy.mu.Lock()
	candidates, nearCount := c.assignedEngine.quota.TokenCandidates(accountID(c.tenant.Name), c.assignedEngine.places,
		func(name string) bool { return proxy.unreachable[name] }, rand.Shuffle)
	proxy.mu.Unlock()
	enquiry, replies := quotaloan.NewTokenAsk(candidates, nearCount), make(chan tokenReply, len(candidates))
	for {
		place, replyWithinMs, found := enquiry.Next(ms(time.Until(c.deadline)))
		if !found {
			return false, cmp.Or(enquiry.RetryAfterMs, defaultRetryAfterMs), "keepers_" + cmp.Or(enquiry.Reason, "silent")
		}
		serial := proxy.sendTokenRequest(c, place, replies)
		defer proxy.dropTokenRequest(serial)
		timeout := time.After(time.Duration(replyWithinMs * float64(time.Millisecond)))
		for waiting := true; waiting; {
			select {
			case reply := <-replies:
				if reply.OK {
					return true, 0, ""
				}
				waiting = !enquiry.Refused(reply.WaitMs, reply.Why)
			case <-timeout:
				waiting = false
			case <-c.client.Done():
				return false, 0, "client left"
			}
		}
	}
}

// sendTokenRequest asks the limiter in a place for a token. Its reply, if there is one, is sent to replies.
func (proxy *Proxy) sendTokenRequest(c *call, place int, replies chan tokenReply) (tokenSerial uint64) {
	proxy.mu.Lock()
	proxy.tokenSerial++
	tokenSerial = proxy.tokenSerial
	proxy.pendingTokenRequests[tokenSerial] = replies
	var ip string
	if place < len(proxy.register.Places) { // the table may have changed since the place was chosen
		ip = proxy.register.Places[place].IP
	}
	proxy.mu.Unlock()
	if ip == "" {
		return tokenSerial // counts as one that does not answer
	}
	proxy.sendDatagram(proxy.settings.InternalAddress(ip, nodesettings.ProxyPort), datagramTokenRequest,
		rpc.Encode(tokenRequest{tokenSerial, accountID(c.tenant.Name), c.route.Name, c.service, c.route.Host}))
	return tokenSerial
}

// dropTokenRequest makes a later reply to the request be ignored.
func (proxy *Proxy) dropTokenRequest(serial uint64) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	delete(proxy.pendingTokenRequests, serial)
}

// deliverTokenReply passes a reply to the waiting call, at most once per request. The mutex is held.
func (proxy *Proxy) deliverTokenReply(reply tokenReply) {
	if replies := proxy.pendingTokenRequests[reply.Serial]; replies != nil {
		delete(proxy.pendingTokenRequests, reply.Serial)
		replies <- reply // buffered for one reply per request
	}
}

// requestTokenThrottled asks other limiters for a token when this limiter's part of the tenant's ceiling is used
// up, unless they have just refused one.
func (proxy *Proxy) requestTokenThrottled(c *call) (ok bool, waitMs float64) {
	id := accountID(c.tenant.Name)
	proxy.mu.Lock()
	throttle := proxy.tokenThrottles[id]
	if throttle == nil {
		throttle = &allowance.AskBackoff{}
		proxy.tokenThrottles[id] = throttle
	}
	due := throttle.Due(proxy.now())
	proxy.mu.Unlock()
	if !due {
		return false, 0
	}
	ok, waitMs, _ = proxy.requestToken(c)
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if ok {
		throttle.Granted()
	} else {
		throttle.Refused(proxy.now())
	}
	return ok, waitMs
}

// answerTokenRequest answers another limiter's request from this limiter's part. The mutex is held.
func (e *engine) answerTokenRequest(request tokenRequest) tokenReply {
	reply := tokenReply{Serial: request.Serial}
	route := e.table.RouteByName(request.Host, request.Route)
	plan, known := e.planByAccount[request.Account]
	if route == nil || !known {
		return reply
	}
	e.requestCount++
	e.pendingReply = &reply
	e.applyDueParts()
	e.handle(limiter.Ask{Submit: limiter.Submit{ID: tokenRequestPrefix + strconv.Itoa(e.requestCount),
		ExpiresMs: deadlineStretch * ms(route.Timeout), Units: 1,
		Class: e.classes[route], Plan: plan, Account: request.Account, Spread: e.slotCount,
		Pool: e.poolID(request.Service, route, nil)}})
	e.pendingReply = nil
	return reply
}

// tokenRequestPrefix starts the IDs under which token requests are decided. Request IDs never start with it.
const tokenRequestPrefix = "ask/"
