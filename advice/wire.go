package advice

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"unicode/utf8"
)

// Version is the version of the layouts below, which docs/plugins-abi.md documents for plug-in
// authors.
const Version = 1

// Layout of the request, little-endian. All strings follow the header, in this order and without
// terminators: plan, class, method, path, then name and value of each header, and the body if it is
// included.
//
//	 0 u16 version            24 f64 units
//	 2 u16 size of the header 32 f64 balance, units left in the account's bucket
//	 4 u32 flags              40 f32 pressure, 0 to 1
//	 8 u64 account            44 u32 time left, ms
//	16 u16 index of the plan  48 u16 length of the plan's name
//	18 u16 index of the class 50 u16 ... of the class's
//	20 u16 number of headers  52 u16 ... of the method
//	22 u16 0                  54 u16 ... of the path
//	                          56 and for each header u16 name, u16 value
//	                             and last, if flag 2 is set, u32 length of the body
const (
	requestHeaderBytes = 56
	flagRetry          = 1
	flagBody           = 2
)

// MostRequest is the maximum size in bytes of an encoded request without its body: headers that do
// not fit are dropped, and the path is cut to half of it. MostBody is the maximum size of the body,
// which is the longest that the protocol allows.
const (
	MostRequest = 16 << 10
	MostBody    = 64 << 10
)

// WantsBody is the bit in a module's manifest (the result of its export madderdrum_wants) that asks
// for bodies.
const WantsBody = 1

// Request is the part of a client's request that plug-ins see. It contains no credentials.
type Request struct {
	Account     uint64
	Plan, Class int
	PlanName    string
	ClassName   string
	Method      string
	Path        string
	Headers     [][2]string // names and values of those that the operator selected
	Units       float64
	Balance     float64
	Pressure    float64
	LeftMs      float64
	Retry       bool
	Body        []byte // nil unless the plug-in asks for it and the operator grants it
}

// Append appends the encoded request to b.
func (r *Request) Append(b []byte) []byte {
	le := binary.LittleEndian
	headers, path := r.Headers, r.Path
	size := requestHeaderBytes + len(r.PlanName) + len(r.ClassName) + len(r.Method) + len(path)
	for i, h := range headers {
		if size += 4 + len(h[0]) + len(h[1]); size > MostRequest || i == math.MaxUint16 {
			headers = headers[:i]
			break
		}
	}
	if len(path) > MostRequest/2 {
		path = path[:MostRequest/2]
	}
	flags := uint32(0)
	if r.Retry {
		flags |= flagRetry
	}
	header, body := requestHeaderBytes+4*len(headers), r.Body
	if body != nil {
		flags |= flagBody
		header += 4
		body = body[:min(len(body), MostBody)]
	}
	b = le.AppendUint16(b, Version)
	b = le.AppendUint16(b, uint16(header))
	b = le.AppendUint32(b, flags)
	b = le.AppendUint64(b, r.Account)
	b = le.AppendUint16(b, uint16(r.Plan))
	b = le.AppendUint16(b, uint16(r.Class))
	b = le.AppendUint16(b, uint16(len(headers)))
	b = le.AppendUint16(b, 0)
	b = le.AppendUint64(b, math.Float64bits(r.Units))
	b = le.AppendUint64(b, math.Float64bits(r.Balance))
	b = le.AppendUint32(b, math.Float32bits(float32(r.Pressure)))
	b = le.AppendUint32(b, uint32(max(0, min(math.MaxUint32, r.LeftMs))))
	for _, s := range [...]string{r.PlanName, r.ClassName, r.Method, path} {
		b = le.AppendUint16(b, uint16(len(s)))
	}
	for _, h := range headers {
		b = le.AppendUint16(le.AppendUint16(b, uint16(len(h[0]))), uint16(len(h[1])))
	}
	if body != nil {
		b = le.AppendUint32(b, uint32(len(body)))
	}
	b = append(append(append(append(b, r.PlanName...), r.ClassName...), r.Method...), path...)
	for _, h := range headers {
		b = append(append(b, h[0]...), h[1]...)
	}
	return append(b, body...)
}

// DecodeRequest decodes a request, for plug-ins built with the SDK. It ignores header fields beyond
// those of this version.
func DecodeRequest(b []byte) (r Request, err error) {
	le := binary.LittleEndian
	if len(b) < requestHeaderBytes {
		return r, fmt.Errorf("%w: a request of %d bytes", ErrLayout, len(b))
	}
	if v := le.Uint16(b); v != Version {
		return r, fmt.Errorf("%w: a request of version %d", ErrVersion, v)
	}
	header, headers := int(le.Uint16(b[2:])), int(le.Uint16(b[20:]))
	flags, fixed := le.Uint32(b[4:]), requestHeaderBytes+4*headers
	withBody := flags&flagBody != 0
	if header < fixed || withBody && header < fixed+4 || header > len(b) {
		return r, fmt.Errorf("%w: a header of %d bytes", ErrLayout, header)
	}
	r.Retry = flags&flagRetry != 0
	r.Account = le.Uint64(b[8:])
	r.Plan, r.Class = int(le.Uint16(b[16:])), int(le.Uint16(b[18:]))
	r.Units, r.Balance = math.Float64frombits(le.Uint64(b[24:])), math.Float64frombits(le.Uint64(b[32:]))
	r.Pressure, r.LeftMs = float64(math.Float32frombits(le.Uint32(b[40:]))), float64(le.Uint32(b[44:]))
	at := header
	text := func(n int) string {
		if n > len(b)-at {
			err = fmt.Errorf("%w: a text beyond its end", ErrLayout)
			return ""
		}
		at += n
		return string(b[at-n : at])
	}
	for i, to := range []*string{&r.PlanName, &r.ClassName, &r.Method, &r.Path} {
		*to = text(int(le.Uint16(b[48+2*i:])))
	}
	for k := range headers {
		h := [2]string{text(int(le.Uint16(b[56+4*k:])))}
		h[1] = text(int(le.Uint16(b[58+4*k:])))
		r.Headers = append(r.Headers, h)
	}
	if withBody {
		n := int(le.Uint32(b[fixed:]))
		if n > len(b)-at {
			return r, fmt.Errorf("%w: a body beyond its end", ErrLayout)
		}
		r.Body = append([]byte{}, b[at:at+n]...)
	}
	return r, err
}

// Layout of the advice: the header, then the strings in the order of their lengths there.
//
//	0 u16 version            16 f64 priority, a factor; 0: no opinion
//	2 u16 size of the header 24 u16 length of the reason
//	4 u32 kind: 0, or 1: refuse    26 u16 ... of the label
//	8 f64 delay before retry, ms   28 u16 ... of the tier to prefer
//	                               30 u16 ... of the tier to avoid
const (
	adviceHeaderBytes = 32
	kindRefuse        = 1
)

// Size limits of a plug-in's advice and of each string in it, in bytes.
const (
	MostAdvice   = 1 << 10
	maxTextBytes = 200
)

// Errors of advice that can't be used. All are faults of the plug-in.
var (
	ErrVersion = errors.New("advice of another version")
	ErrLayout  = errors.New("advice that does not hold together")
	ErrText    = errors.New("text that is too long or not UTF-8")
)

// Decode decodes untrusted advice. For any input it returns advice or an error that wraps one of the
// errors above.
func Decode(b []byte) (a Advice, err error) {
	le := binary.LittleEndian
	if len(b) < adviceHeaderBytes || len(b) > MostAdvice {
		return a, fmt.Errorf("%w: %d bytes", ErrLayout, len(b))
	}
	if v := le.Uint16(b); v != Version {
		return a, fmt.Errorf("%w: %d, this is %d", ErrVersion, v, Version)
	}
	header, kind := int(le.Uint16(b[2:])), le.Uint32(b[4:])
	if header < adviceHeaderBytes || header > len(b) || kind > kindRefuse {
		return a, fmt.Errorf("%w: a header of %d bytes, kind %d", ErrLayout, header, kind)
	}
	a.Refuse = kind == kindRefuse
	a.WaitMs, a.Priority = math.Float64frombits(le.Uint64(b[8:])), math.Float64frombits(le.Uint64(b[16:]))
	at := header
	for i, to := range []*string{&a.Reason, &a.Label, &a.Prefer, &a.Avoid} {
		n := int(le.Uint16(b[24+2*i:]))
		if n > len(b)-at {
			return Advice{}, fmt.Errorf("%w: a text beyond its end", ErrLayout)
		}
		if n > maxTextBytes || !utf8.Valid(b[at:at+n]) {
			return Advice{}, fmt.Errorf("%w: %d bytes", ErrText, n)
		}
		*to = sanitize(b[at : at+n])
		at += n
	}
	return a, nil
}

// sanitize makes a string safe for a log: it replaces control characters by blanks.
func sanitize(b []byte) string {
	s := []rune(string(b))
	for i, r := range s {
		if r < ' ' || r == 0x7f || r == 0x85 || r == 0x2028 || r == 0x2029 {
			s[i] = ' '
		}
	}
	return string(s)
}

// Append appends the encoded advice to b, for plug-ins built with the SDK and for tests.
func (a *Advice) Append(b []byte) []byte {
	le := binary.LittleEndian
	kind := uint32(0)
	if a.Refuse {
		kind = kindRefuse
	}
	b = le.AppendUint32(le.AppendUint16(le.AppendUint16(b, Version), adviceHeaderBytes), kind)
	b = le.AppendUint64(le.AppendUint64(b, math.Float64bits(a.WaitMs)), math.Float64bits(a.Priority))
	for _, s := range []string{a.Reason, a.Label, a.Prefer, a.Avoid} {
		b = le.AppendUint16(b, uint16(len(s)))
	}
	return append(append(append(append(b, a.Reason...), a.Label...), a.Prefer...), a.Avoid...)
}
