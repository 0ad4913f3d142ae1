package config

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Quantities as they are written. Each parser returns the figure in its base unit
// (seconds, units a second, bytes, a part of 1) or what is wrong.

// malformed is a quantity that can't be read; mean is what was probably meant, if that
// can be told.
type malformed struct {
	code string
	mean string
}

var (
	timeUnits = map[string]float64{"us": 1e-6, "µs": 1e-6, "ms": 1e-3, "s": 1, "m": 60, "h": 3600}
	perUnits  = map[string]float64{"s": 1, "m": 60, "h": 3600}
	sizeUnits = map[string]float64{"B": 1, "kB": 1e3, "MB": 1e6, "GB": 1e9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
	perWords  = map[string]string{"r/s": "/s", "r/m": "/m", "rps": "/s", "rpm": "/m", "req/s": "/s", "rq/s": "/s", "qps": "/s", "per second": "/s", "per minute": "/m"}
	// longhand are spellings that people use for the units.
	longhand = map[string]string{"sec": "s", "secs": "s", "second": "s", "seconds": "s", "min": "m", "mins": "m", "minute": "m", "minutes": "m",
		"hour": "h", "hours": "h", "hr": "h", "msec": "ms", "millis": "ms", "milliseconds": "ms", "usec": "us", "S": "s", "M": "m", "H": "h", "MS": "ms",
		"d": "h", "day": "h", "days": "h",
		"k": "KiB", "K": "KiB", "KB": "KiB", "kb": "KiB", "kib": "KiB", "Ki": "KiB", "mb": "MiB", "Mi": "MiB", "mib": "MiB", "g": "GiB", "G": "GiB", "gb": "GiB", "Gi": "GiB", "b": "B", "bytes": "B"}
)

// split divides a quantity into its number and what follows.
func split(text string) (number float64, unit string, ok bool) {
	text = strings.TrimSpace(text)
	i := 0
	for i < len(text) && (text[i] >= '0' && text[i] <= '9' || strings.IndexByte("+-.", text[i]) >= 0 ||
		(text[i] == 'e' || text[i] == 'E') && i > 0 && i+1 < len(text) && strings.IndexByte("+-0123456789", text[i+1]) >= 0) {
		i++
	}
	v, err := strconv.ParseFloat(text[:i], 64)
	return v, strings.TrimSpace(text[i:]), (err == nil || math.IsInf(v, 0)) && i > 0
}

// kindOf tells what a text looks like.
func kindOf(text string) (kind, bool) {
	if _, err := time.ParseDuration(strings.TrimSpace(text)); err == nil && strings.TrimSpace(text) != "0" {
		return kDuration, true
	}
	_, unit, ok := split(text)
	if !ok {
		return 0, false
	}
	if after, isRate := strings.CutPrefix(unit, "/"); isRate {
		_, known := perUnits[after]
		return kRate, known
	}
	if unit == "%" {
		return kShare, true
	}
	if _, isSize := sizeUnits[unit]; isSize {
		return kSize, true
	}
	return 0, false
}

// mismatch is what to say of a quantity that fits another kind of field.
func mismatch(text string, want kind) *malformed {
	is, known := kindOf(text)
	if !known || is == want {
		return nil
	}
	m := &malformed{code: "unit-mismatch", mean: fmt.Sprintf("%s is a %s", strings.TrimSpace(text), kinds[is].name)}
	v, unit, _ := split(text)
	d, _ := time.ParseDuration(strings.TrimSpace(text))
	switch {
	case want == kRate && is == kDuration && d > 0:
		m.mean = fmt.Sprintf("one every %s is %q", d, fmt.Sprintf("%g/s", roundTo(1/d.Seconds())))
	case want == kDuration && is == kRate && v > 0:
		m.mean = fmt.Sprintf("%s is a rate: one every %s", strings.TrimSpace(text), time.Duration(perUnits[unit[1:]]/v*1e9).Round(time.Microsecond))
	case want == kNumber && is == kShare:
		m.mean = fmt.Sprintf("%s as a bare number is %g", strings.TrimSpace(text), roundTo(v/100))
	}
	return m
}

func roundTo(v float64) float64 { return math.Round(v*1e6) / 1e6 }

// parseQuantity reads a quantity of a kind with a unit.
func parseQuantity(text string, want kind) (float64, *malformed) {
	if m := mismatch(text, want); m != nil {
		return 0, m
	}
	trimmed := strings.TrimSpace(text)
	if want == kDuration {
		if d, err := time.ParseDuration(trimmed); err == nil && trimmed != "0" && trimmed != "+0" && trimmed != "-0" {
			return d.Seconds(), nil
		}
	}
	v, unit, ok := split(trimmed)
	if !ok {
		return 0, &malformed{code: "bad-quantity"}
	}
	if strings.HasPrefix(unit, ",") {
		return 0, &malformed{code: "bad-quantity", mean: fmt.Sprintf("did you mean %q?", strings.Replace(trimmed, ",", ".", 1))}
	}
	if short := perWords[strings.ToLower(unit)]; want == kRate && short != "" { // as other servers write rates
		return 0, &malformed{code: "bad-quantity", mean: fmt.Sprintf("did you mean %q?", fmt.Sprintf("%g%s", v, short))}
	}
	if unit == "" {
		m := &malformed{code: "unit-missing"}
		switch want {
		case kDuration:
			m.mean = fmt.Sprintf("did you mean %q or %q?", trimmed+"ms", trimmed+"s")
		case kRate:
			m.mean = fmt.Sprintf("did you mean %q?", trimmed+"/s")
		case kShare:
			m.mean = fmt.Sprintf("did you mean %q?", trimmed+"%")
			if v > 0 && v < 1 {
				m.mean = fmt.Sprintf("did you mean %q?", fmt.Sprintf("%g%%", roundTo(v*100)))
			}
		case kSize:
			m.mean = fmt.Sprintf("did you mean %q?", trimmed+"B")
		}
		return 0, m
	}
	units, per := timeUnits, ""
	switch want {
	case kRate:
		units, per = perUnits, "/"
		after, found := strings.CutPrefix(unit, "/")
		if !found {
			return 0, &malformed{code: "bad-quantity"}
		}
		unit = strings.TrimSpace(after)
	case kShare:
		if unit == "%" {
			return v / 100, nil
		}
		return 0, &malformed{code: "bad-quantity"}
	case kSize:
		units = sizeUnits
	}
	if factor, known := units[unit]; known {
		if want == kRate {
			return v / factor, nil
		}
		return v * factor, nil
	}
	m := &malformed{code: "bad-quantity"}
	if short, known := longhand[unit]; known {
		if _, fits := units[short]; fits {
			if unit == "d" || unit == "day" || unit == "days" {
				v *= 24
			}
			m.mean = fmt.Sprintf("did you mean %q?", fmt.Sprintf("%g%s%s", v, per, short))
		}
	}
	return 0, m
}

// canonical writes a quantity in the one way in which equal ones are written equally.
func canonical(v float64, k kind) string {
	switch k {
	case kDuration:
		return time.Duration(math.Round(v * 1e9)).String()
	case kRate:
		return strconv.FormatFloat(v, 'f', -1, 64) + "/s"
	case kShare:
		return fmt.Sprintf("%g%%", roundTo(v*100))
	case kSize:
		for _, u := range []string{"GiB", "MiB", "KiB"} {
			if f := sizeUnits[u]; v >= f && v == math.Trunc(v/f)*f {
				return fmt.Sprintf("%.0f%s", v/f, u)
			}
		}
		return fmt.Sprintf("%.0fB", v)
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// addressOf reads host:port.
func addressOf(text string) (string, bool) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return "", false
	}
	return a.String(), true
}

// networkOf reads an address or a network.
func networkOf(text string) (netip.Prefix, bool) {
	if p, err := netip.ParsePrefix(text); err == nil {
		return p.Masked(), true
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, false
	}
	return netip.PrefixFrom(a, a.BitLen()), true
}

// accountOf reads an account's number.
func accountOf(text string) (uint64, bool) {
	v, err := strconv.ParseUint(text, 16, 64)
	return v, err == nil && v < 1<<33 && len(text) <= 16
}
