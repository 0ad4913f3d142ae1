// Package failurereports is how limiters of a region tell each other where requests fail. One that
// meets a failure tells it in the next probes of package membership, which are sent anyway; whoever hears
// it for the first time tells it on as often, so that all know within a few looks, and no message
// is sent for it. What is told is single failures, not verdicts: each limiter judges by all that
// it has met and heard.
//
// What others tell is believed as far as it can do little harm: it is bounded in number by source
// and in age, and who judges keeps half of a pool's servers in use whatever is told.
//
// A [Desk] does no input or output and reads no clock: times are handed in, in milliseconds on a
// clock that does not go backwards. It is not safe for concurrent use.
package failurereports

const (
	inMessage = 5      // sightings in one message
	tellTimes = 4      // messages in which each limiter tells one
	oldMs     = 3000.0 // an older one is told no further
	perS      = 2.0    // of one source, taken in and told on
	atOnce    = 4.0    // of them at once
	sources   = 512    // that are remembered
	waiting   = 64     // sightings that wait to be told
)

// Sighting is one failure of a request at a server.
type Sighting struct {
	Server uint64 `cbor:"1,keyasint"`           // by the number that all limiters give it
	Class  uint64 `cbor:"2,keyasint,omitempty"` // of the request, by a number that all give it
	Source uint32 `cbor:"3,keyasint"`           // the life of the limiter that met it
	Serial uint32 `cbor:"4,keyasint"`           // rises with each one of a source
	AgeMs  uint32 `cbor:"5,keyasint,omitempty"` // when it is told
}

type told struct {
	Sighting
	at    float64 // when it was met
	tells int
}

type source struct {
	serial uint32 // the latest heard
	before uint64 // bits of those heard up to 64 before it
	tokens float64
	at     float64
}

// Desk is what one limiter has met and heard.
type Desk struct {
	me     uint32
	serial uint32
	queue  []told // the one told least often lately first
	heard  map[uint32]*source
}

// New returns the desk of a limiter. life is of this process, and not 0.
func New(life uint32) *Desk { return &Desk{me: life, heard: map[uint32]*source{}} }

// Saw notes a failure met here. Beyond a few a second they are not told: a trouble of many servers
// tells itself.
func (d *Desk) Saw(now float64, server, class uint64) {
	if !d.source(d.me).takes(now) {
		return
	}
	d.serial++
	d.add(told{Sighting{Server: server, Class: class, Source: d.me, Serial: d.serial}, now, tellTimes})
}

// Next returns what the next message is to tell.
func (d *Desk) Next(now float64) (out []Sighting) {
	var again []told
	rest := d.queue[:0]
	for _, t := range d.queue {
		switch {
		case now-t.at > oldMs:
		case len(out) < inMessage:
			t.AgeMs = uint32(max(0, now-t.at))
			out = append(out, t.Sighting)
			if t.tells--; t.tells > 0 {
				again = append(again, t)
			}
		default:
			rest = append(rest, t)
		}
	}
	d.queue = append(rest, again...)
	return out
}

// Hear takes in what a message tells and returns what is new.
func (d *Desk) Hear(now float64, all []Sighting) (fresh []Sighting) {
	for _, s := range all[:min(len(all), inMessage)] {
		if s.Source == d.me || float64(s.AgeMs) > oldMs {
			continue
		}
		from := d.source(s.Source)
		if !from.first(s.Serial) || !from.takes(now) {
			continue
		}
		fresh = append(fresh, s)
		d.add(told{s, now - float64(s.AgeMs), tellTimes})
	}
	return fresh
}

func (d *Desk) add(t told) {
	if len(d.queue) >= waiting {
		d.queue = d.queue[1:]
	}
	d.queue = append(d.queue, t)
}

func (d *Desk) source(life uint32) *source {
	s := d.heard[life]
	if s == nil {
		if len(d.heard) >= sources {
			oldest := life
			for k, o := range d.heard {
				if best := d.heard[oldest]; best == nil || o.at < best.at || o.at == best.at && k < oldest {
					oldest = k
				}
			}
			delete(d.heard, oldest)
		}
		s = &source{tokens: atOnce}
		d.heard[life] = s
	}
	return s
}

// takes tells whether one more of the source is taken in now.
func (s *source) takes(now float64) bool {
	s.tokens, s.at = min(atOnce, s.tokens+(now-s.at)/1000*perS), now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// first tells whether a serial is heard for the first time, as far as is remembered.
func (s *source) first(serial uint32) bool {
	switch back := int64(s.serial) - int64(serial); {
	case back < 0:
		if shift := uint(-back); shift < 64 {
			s.before = s.before<<shift | 1<<(shift-1)
		} else {
			s.before = 0
		}
		s.serial = serial
		return true
	case back == 0 || back > 64 || s.before&(1<<uint(back-1)) != 0:
		return false
	default:
		s.before |= 1 << uint(back-1)
		return true
	}
}
