package advice

// Subject is a request that plug-ins are asked about, with the data that an operator may show to
// some of them. [Subject.For] sets Request.Headers and Request.Body for each plug-in.
type Subject struct {
	Request
	Header func(name string) string // value of a header that occurs exactly once, or ""
	Whole  []byte                   // the body; nil: it has none, or it is not available here
}

// Sight selects what a plug-in sees beyond the fixed fields, as the operator configures it.
type Sight struct {
	Headers []string
	Body    bool // show the body if the plug-in's manifest also asks for it
}

// For returns the request as one plug-in may see it. It is reused by the next call. Missing headers
// are left out.
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

// Secret reports whether a header must never be shown to a plug-in, whatever the configuration
// says. Names must be in the canonical form of net/http.
func Secret(name string) bool {
	switch name {
	case "Authorization", "Proxy-Authorization", "Cookie", "Set-Cookie", "X-Grant", "X-Proxy-Secret", "X-Api-Key":
		return true
	}
	return false
}
