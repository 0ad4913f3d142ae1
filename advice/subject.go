package advice

// Subject is a request that plug-ins are asked about, with what an operator may let one of
// them see besides. Request.Headers and Request.Body are set for each plug-in by [Sight].
type Subject struct {
	Request
	Header func(name string) string // the value of a header that stands there once, or ""
	Whole  []byte                   // the body; nil: it has none, or it is not known here
}

// Sight is what the operator lets a plug-in see beyond the fixed fields.
type Sight struct {
	Headers []string
	Body    bool // if its manifest asks for it, too
}

// For sets what one plug-in sees. Headers that are not there are left out.
func (s *Subject) For(g *Sight, wantsBody bool) *Request {
	r := &s.Request
	r.Headers, r.Body = r.Headers[:0], nil
	if s.Header != nil {
		for _, name := range g.Headers {
			if v := s.Header(name); v != "" {
				r.Headers = append(r.Headers, [2]string{name, v})
			}
		}
	}
	if g.Body && wantsBody && s.Whole != nil {
		r.Body = s.Whole
	}
	return r
}

// Secret tells that a header holds what no plug-in is to see, whatever the operator
// writes. Names are compared in the canonical form of net/http.
func Secret(name string) bool {
	switch name {
	case "Authorization", "Proxy-Authorization", "Cookie", "Set-Cookie", "X-Grant", "X-Proxy-Secret", "X-Api-Key":
		return true
	}
	return false
}
