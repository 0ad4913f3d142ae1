package forwardauth

import (
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"example.org/madderdrum/limiter"
	"example.org/madderdrum/route"
)

const (
	maxIDLength = 128
	accountBits = 33 // account ids are below 2^33 in the protocol
)

// parsedRequest is a proxy's authorization request after parsing, with the route's target.
type parsedRequest struct {
	ask                       limiter.Ask
	id                        string
	to                        Target
	method, path, class, plan string
}

// parse reads an authorization request. It has no side effects.
func (s *indexedTier) parse(p *proxy, req *http.Request) (parsed parsedRequest, err error) {
	method, uri, err := p.originalRequest(req)
	if err != nil {
		return parsed, err
	}
	ask := &parsed.ask
	get := func(name string) (text string) {
		if err == nil && name != "" {
			text, err = singleHeader(req.Header, name)
		}
		return text
	}
	n := p.Names
	id, className, planName, timeout, quota, account, retried := get(n.ID), get(n.Class), get(n.Plan), get(n.Timeout), get(n.Quota), get(n.Account), get(n.Retried)
	if err != nil {
		return parsed, err
	}
	ask.Units, ask.Spread, ask.First = 1, s.Limiters, 0
	path, _, _ := strings.Cut(uri, "?")
	for _, r := range p.Routes { // the first match applies; headers take precedence
		if strings.HasPrefix(path, r.Path) && (r.Method == "" || r.Method == method) {
			if className == "" {
				className = r.Class
			}
			if planName == "" {
				planName = r.Plan
			}
			if r.Units > 0 {
				ask.Units = r.Units
			}
			break
		}
	}
	if account == "" {
		if account, err = queryParameter(uri, "key"); err != nil {
			return parsed, err
		}
	}
	if ask.Account, err = strconv.ParseUint(account, 16, 64); err != nil || ask.Account >= 1<<accountBits || len(account) > 16 {
		return parsed, fmt.Errorf("account %q is no hexadecimal number below 2^%d", clip(account), accountBits)
	}
	ok, wait := false, p.DefaultTimeout
	to := Target{Class: -1}
	if s.Route != nil {
		u, err := url.ParseRequestURI(uri)
		if err != nil {
			return parsed, fmt.Errorf("the original path can't be read")
		}
		canonical, err := route.Canonical(u)
		if err != nil {
			return parsed, err
		}
		host := req.Header.Get("X-Forwarded-Host")
		if host == "" {
			host = req.Host
		}
		if to, ok = s.Route(&route.Request{Host: host, Path: canonical, Method: method, Account: ask.Account, Plan: planName, Header: req.Header.Get}); !ok {
			return parsed, fmt.Errorf("no route takes this request")
		}
		if to.Deadline > 0 {
			wait = min(wait, to.Deadline)
		}
	}
	ask.Pool = to.Pool
	if className == "" && to.Class >= 0 {
		className = s.Classes[to.Class]
	}
	if ask.Class, ok = s.classes[className]; !ok {
		return parsed, fmt.Errorf("class %q is not known", clip(className))
	}
	if ask.Plan, ok = s.plans[planName]; !ok {
		return parsed, fmt.Errorf("plan %q is not known", clip(planName))
	}
	if id == "" || len(id) > maxIDLength || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return parsed, fmt.Errorf("%s has to have the try's id: up to %d printable characters", n.ID, maxIDLength)
	}
	if err := s.parseQuota(quota, ask); err != nil {
		return parsed, err
	}
	if timeout != "" {
		if wait, err = parseTimeout(timeout); err != nil {
			return parsed, err
		}
		if to.Deadline > 0 {
			wait = min(wait, to.Deadline)
		}
	}
	ask.ID, ask.Lease, ask.Retry = id, p.Mode == AskThenCarry, retried == "1"
	ask.ExpiresMs = float64(min(wait, s.MaxTimeout)) / float64(time.Millisecond)
	parsed.id, parsed.to, parsed.method, parsed.path, parsed.class, parsed.plan = id, to, method, path, className, planName
	return parsed, nil
}

// parseQuota parses Quota-Info, such as units=2,spread=3,first=1, into a. Fields that it omits keep their values.
func (s *indexedTier) parseQuota(text string, ask *limiter.Ask) error {
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		whole := err == nil && v == math.Trunc(v) && v >= 0 && v <= float64(s.Limiters)
		switch {
		case name == "units" && err == nil && v > 0 && v <= s.MaxUnits:
			ask.Units = v
		case name == "spread" && whole && v >= 1:
			ask.Spread = int(v)
		case name == "first" && whole && v < float64(s.Limiters):
			ask.First = int(v)
		case name == "units", name == "spread", name == "first":
			return fmt.Errorf("quota %q is out of range", clip(pair))
		}
	}
	if ask.Units > s.MaxUnits {
		return fmt.Errorf("%g units, %g at most", ask.Units, s.MaxUnits)
	}
	return nil
}

// parseTimeout parses X-Timeout: 480m is 480 milliseconds, 480u is 480 microseconds.
func parseTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseInt(number, 10, 64)
	if !ok || err != nil || v <= 0 || v > int64(time.Hour/unit) {
		return 0, fmt.Errorf("time %q: write milliseconds as 480m", clip(text))
	}
	return time.Duration(v) * unit, nil
}

func clip(text string) string {
	if len(text) > 40 {
		return text[:40] + "..."
	}
	return text
}
