package config

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// The parsers of quantities return the number in its base unit (seconds, units per second,
// bytes, or a fraction of 1), or an error with a hint.

// quantityError says why a quantity can't be parsed: the code of the diagnostic, and a hint
// at the probable intention, if any.
type quantityError struct {
	code string
	hint string
}

var (
	timeUnits   = map[string]float64{"us": 1e-6, "µs": 1e-6, "ms": 1e-3, "s": 1, "m": 60, "h": 3600}
	rateUnits   = map[string]float64{"s": 1, "m": 60, "h": 3600}
	sizeUnits   = map[string]float64{"B": 1, "kB": 1e3, "MB": 1e6, "GB": 1e9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
	rateAliases = map[string]string{"r/s": "/s", "r/m": "/m", "rps": "/s", "rpm": "/m", "req/s": "/s", "rq/s": "/s", "qps": "/s", "per second": "/s", "per minute": "/m"}
	// unitAliases maps other common spellings of units to those accepted here.
	unitAliases = map[string]string{"sec": "s", "secs": "s", "second": "s", "seconds": "s", "min": "m", "mins": "m", "minute": "m", "minutes": "m",
		"hour": "h", "hours": "h", "hr": "h", "msec": "ms", "millis": "ms", "milliseconds": "ms", "usec": "us", "S": "s", "M": "m", "H": "h", "MS": "ms",
		"d": "h", "day": "h", "days": "h",
		"k": "KiB", "K": "KiB", "KB": "KiB", "kb": "KiB", "kib": "KiB", "Ki": "KiB", "mb": "MiB", "Mi": "MiB", "mib": "MiB", "g": "GiB", "G": "GiB", "gb": "GiB", "Gi": "GiB", "b": "B", "bytes": "B"}
)

// splitNumber splits a quantity into its leading number and the unit that follows.
func splitNumber(text string) (number float64, unit string, ok bool) {
	text = strings.TrimSpace(text)
	end := 0
	for end < len(text) && (text[end] >= '0' && text[end] <= '9' || strings.IndexByte("+-.", text[end]) >= 0 ||
		(text[end] == 'e' || text[end] == 'E') && end > 0 && end+1 < len(text) && strings.IndexByte("+-0123456789", text[end+1]) >= 0) {
		end++
	}
	parsed, err := strconv.ParseFloat(text[:end], 64)
	return parsed, strings.TrimSpace(text[end:]), (err == nil || math.IsInf(parsed, 0)) && end > 0
}

// guessKind guesses the kind of a quantity from its unit.
func guessKind(text string) (kind, bool) {
	if _, err := time.ParseDuration(strings.TrimSpace(text)); err == nil && strings.TrimSpace(text) != "0" {
		return kindDuration, true
	}
	_, unit, ok := splitNumber(text)
	if !ok {
		return 0, false
	}
	if after, isRate := strings.CutPrefix(unit, "/"); isRate {
		_, known := rateUnits[after]
		return kindRate, known
	}
	if unit == "%" {
		return kindShare, true
	}
	if _, isSize := sizeUnits[unit]; isSize {
		return kindSize, true
	}
	return 0, false
}

// unitMismatch returns an error if a text is a quantity of another kind than want, else nil.
func unitMismatch(text string, want kind) *quantityError {
	actual, known := guessKind(text)
	if !known || actual == want {
		return nil
	}
	mismatch := &quantityError{code: "unit-mismatch", hint: fmt.Sprintf("%s is a %s", strings.TrimSpace(text), kinds[actual].name)}
	number, unit, _ := splitNumber(text)
	duration, _ := time.ParseDuration(strings.TrimSpace(text))
	switch {
	case want == kindRate && actual == kindDuration && duration > 0:
		mismatch.hint = fmt.Sprintf("one every %s is %q", duration, fmt.Sprintf("%g/s", roundTo(1/duration.Seconds())))
	case want == kindDuration && actual == kindRate && number > 0:
		mismatch.hint = fmt.Sprintf("%s is a rate: one every %s", strings.TrimSpace(text), time.Duration(rateUnits[unit[1:]]/number*1e9).Round(time.Microsecond))
	case want == kindNumber && actual == kindShare:
		mismatch.hint = fmt.Sprintf("%s as a bare number is %g", strings.TrimSpace(text), roundTo(number/100))
	}
	return mismatch
}

func roundTo(v float64) float64 { return math.Round(v*1e6) / 1e6 }

// parseQuantity parses a quantity with a unit and returns it in the base unit of its kind.
func parseQuantity(text string, want kind) (float64, *quantityError) {
	if m := unitMismatch(text, want); m != nil {
		return 0, m
	}
	trimmed := strings.TrimSpace(text)
	if want == kindDuration {
		if d, err := time.ParseDuration(trimmed); err == nil && trimmed != "0" && trimmed != "+0" && trimmed != "-0" {
			return d.Seconds(), nil
		}
	}
	number, unit, ok := splitNumber(trimmed)
	if !ok {
		return 0, &quantityError{code: "bad-quantity"}
	}
	if strings.HasPrefix(unit, ",") {
		return 0, &quantityError{code: "bad-quantity", hint: fmt.Sprintf("did you mean %q?", strings.Replace(trimmed, ",", ".", 1))}
	}
	if alias := rateAliases[strings.ToLower(unit)]; want == kindRate && alias != "" { // spellings of rates in other servers' configurations
		return 0, &quantityError{code: "bad-quantity", hint: fmt.Sprintf("did you mean %q?", fmt.Sprintf("%g%s", number, alias))}
	}
	if unit == "" {
		m := &quantityError{code: "unit-missing"}
		switch want {
		case kindDuration:
			m.hint = fmt.Sprintf("did you mean %q or %q?", trimmed+"ms", trimmed+"s")
		case kindRate:
			m.hint = fmt.Sprintf("did you mean %q?", trimmed+"/s")
		case kindShare:
			m.hint = fmt.Sprintf("did you mean %q?", trimmed+"%")
			if number > 0 && number < 1 {
				m.hint = fmt.Sprintf("did you mean %q?", fmt.Sprintf("%g%%", roundTo(number*100)))
			}
		case kindSize:
			m.hint = fmt.Sprintf("did you mean %q?", trimmed+"B")
		}
		return 0, m
	}
	units, prefix := timeUnits, ""
	switch want {
	case kindRate:
		units, prefix = rateUnits, "/"
		after, found := strings.CutPrefix(unit, "/")
		if !found {
			return 0, &quantityError{code: "bad-quantity"}
		}
		unit = strings.TrimSpace(after)
	case kindShare:
		if unit == "%" {
			return number / 100, nil
		}
		return 0, &quantityError{code: "bad-quantity"}
	case kindSize:
		units = sizeUnits
	}
	if factor, known := units[unit]; known {
		if want == kindRate {
			return number / factor, nil
		}
		return number * factor, nil
	}
	m := &quantityError{code: "bad-quantity"}
	if alias, known := unitAliases[unit]; known {
		if _, fits := units[alias]; fits {
			if unit == "d" || unit == "day" || unit == "days" {
				number *= 24
			}
			m.hint = fmt.Sprintf("did you mean %q?", fmt.Sprintf("%g%s%s", number, prefix, alias))
		}
	}
	return 0, m
}

// formatQuantity formats a quantity canonically: equal quantities give equal texts.
func formatQuantity(v float64, k kind) string {
	switch k {
	case kindDuration:
		return time.Duration(math.Round(v * 1e9)).String()
	case kindRate:
		return strconv.FormatFloat(v, 'f', -1, 64) + "/s"
	case kindShare:
		return fmt.Sprintf("%g%%", roundTo(v*100))
	case kindSize:
		for _, u := range []string{"GiB", "MiB", "KiB"} {
			if f := sizeUnits[u]; v >= f && v == math.Trunc(v/f)*f {
				return fmt.Sprintf("%.0f%s", v/f, u)
			}
		}
		return fmt.Sprintf("%.0fB", v)
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// parseAddress parses an IP address and a nonzero port, and returns them in canonical form.
func parseAddress(text string) (string, bool) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return "", false
	}
	return a.String(), true
}

// parseNetwork parses a CIDR prefix, or a single address as a full-length prefix.
func parseNetwork(text string) (netip.Prefix, bool) {
	if p, err := netip.ParsePrefix(text); err == nil {
		return p.Masked(), true
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, false
	}
	return netip.PrefixFrom(a, a.BitLen()), true
}

// parseAccount parses a hexadecimal account number below 2^33.
func parseAccount(text string) (uint64, bool) {
	v, err := strconv.ParseUint(text, 16, 64)
	return v, err == nil && v < 1<<33 && len(text) <= 16
}
