// Package failurereports spreads reports of failed requests among the limiters of a region by gossip. A limiter that
// observes a failure adds it to its next messages of package membership, which are sent anyway. A limiter
// that receives it for the first time forwards it as often, so that all know of it within a few probe
// intervals and no extra message is sent. Reports describe single failures, not verdicts: each limiter
// judges servers by all failures that it has observed or received.
//
// Reports from others can do little harm: they are limited in rate per source and in age, and the code
// that judges keeps half of a pool's servers in use whatever is reported.
//
// [Gossip] does no I/O and reads no clock: times are passed in, monotonic and in milliseconds. It is not
// safe for concurrent use.
package failurereports

const (
	maxReportsPerMessage = 5
	sendsPerReport       = 4      // by each limiter
	maxAgeMs             = 3000.0 // older reports are neither sent nor accepted
	sourceRatePerSecond  = 2.0    // accepted from one source, and forwarded
	sourceBurst          = 4.0
	maxSources           = 512 // that are remembered
	maxQueuedReports     = 64  // in the queue to be sent
)

// Report describes one failed request at a server.
type Report struct {
	Server uint64 `cbor:"1,keyasint"`           // number of the server, the same at all limiters
	Class  uint64 `cbor:"2,keyasint,omitempty"` // number of the request's class, the same at all limiters
	Source uint32 `cbor:"3,keyasint"`           // process instance of the limiter that observed the failure
	Serial uint32 `cbor:"4,keyasint"`           // increases with each report of a source
	AgeMs  uint32 `cbor:"5,keyasint,omitempty"` // at the time of sending
}

type queuedReport struct {
	Report
	seenAt    float64 // when the failure was observed
	sendsLeft int
}

type source struct {
	serial     uint32 // highest serial received
	seenBefore uint64 // bitmap of the 64 serials before serial that were received
	tokens     float64
	refilledAt float64
}

// Gossip holds the failures that one limiter has observed or received, and queues them to be sent.
type Gossip struct {
	self    uint32
	serial  uint32
	queue   []queuedReport // the report sent least recently first
	sources map[uint32]*source
}

// New returns the gossip state of a limiter. instance identifies the limiter's process and must not be 0.
func New(instance uint32) *Gossip { return &Gossip{self: instance, sources: map[uint32]*source{}} }

// Observe records a failure at this limiter. Failures beyond the rate limit are not reported: when many
// servers fail, other limiters observe it themselves.
func (d *Gossip) Observe(now float64, server, class uint64) {
	if !d.source(d.self).allow(now) {
		return
	}
	d.serial++
	d.enqueue(queuedReport{Report{Server: server, Class: class, Source: d.self, Serial: d.serial}, now, sendsPerReport})
}

// NextReports returns the reports to include in the next message.
func (d *Gossip) NextReports(now float64) (out []Report) {
	var resend []queuedReport
	unsent := d.queue[:0]
	for _, t := range d.queue {
		switch {
		case now-t.seenAt > maxAgeMs:
		case len(out) < maxReportsPerMessage:
			t.AgeMs = uint32(max(0, now-t.seenAt))
			out = append(out, t.Report)
			if t.sendsLeft--; t.sendsLeft > 0 {
				resend = append(resend, t)
			}
		default:
			unsent = append(unsent, t)
		}
	}
	d.queue = append(unsent, resend...)
	return out
}

// Receive processes the reports in a message and returns those that are new.
func (d *Gossip) Receive(now float64, reports []Report) (fresh []Report) {
	for _, s := range reports[:min(len(reports), maxReportsPerMessage)] {
		if s.Source == d.self || float64(s.AgeMs) > maxAgeMs {
			continue
		}
		from := d.source(s.Source)
		if !from.markSeen(s.Serial) || !from.allow(now) {
			continue
		}
		fresh = append(fresh, s)
		d.enqueue(queuedReport{s, now - float64(s.AgeMs), sendsPerReport})
	}
	return fresh
}

func (d *Gossip) enqueue(t queuedReport) {
	if len(d.queue) >= maxQueuedReports {
		d.queue = d.queue[1:]
	}
	d.queue = append(d.queue, t)
}

func (d *Gossip) source(instance uint32) *source {
	s := d.sources[instance]
	if s == nil {
		if len(d.sources) >= maxSources {
			oldest := instance
			for id, other := range d.sources {
				if candidate := d.sources[oldest]; candidate == nil || other.refilledAt < candidate.refilledAt ||
					other.refilledAt == candidate.refilledAt && id < oldest {
					oldest = id
				}
			}
			delete(d.sources, oldest)
		}
		s = &source{tokens: sourceBurst}
		d.sources[instance] = s
	}
	return s
}

// allow reports whether the rate limit accepts one more report of the source now.
func (s *source) allow(now float64) bool {
	s.tokens, s.refilledAt = min(sourceBurst, s.tokens+(now-s.refilledAt)/1000*sourceRatePerSecond), now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// markSeen marks a serial as received. It reports whether it is new; serials more than 64 below the
// highest count as received before.
func (s *source) markSeen(serial uint32) bool {
	switch lag := int64(s.serial) - int64(serial); {
	case lag < 0:
		if shift := uint(-lag); shift < 64 {
			s.seenBefore = s.seenBefore<<shift | 1<<(shift-1)
		} else {
			s.seenBefore = 0
		}
		s.serial = serial
		return true
	case lag == 0 || lag > 64 || s.seenBefore&(1<<uint(lag-1)) != 0:
		return false
	default:
		s.seenBefore |= 1 << uint(lag-1)
		return true
	}
}
