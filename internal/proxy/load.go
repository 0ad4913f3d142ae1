package proxy

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"example.org/madderdrum/control/places"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
	"example.org/madderdrum/limiter"
)

const (
	loadEvery = 50 * time.Millisecond
	// Limiters tell those of their zone; where these are fewer than neighboursLeast, others of the
	// region too.
	neighboursLeast = 6
	neighboursMost  = 16
)

// tellLoad tells neighbours what this limiter has in hand, and the decisions what they have.
func (y *Proxy) tellLoad() {
	y.mu.Lock()
	var to []string
	for _, p := range y.neighbours {
		if !y.unreachable[p.Name] {
			to = append(to, p.IP)
		}
	}
	y.loads.Expect(max(len(to), y.nearOnes()))
	y.believe()
	word, due := y.loads.Next(y.now())
	y.mu.Unlock()
	if !due {
		return
	}
	data := rpc.Encode(word)
	for _, ip := range to {
		y.tell(y.set.Internal(ip, nodesettings.ProxyPort), datagramLoad, data)
	}
}

// nearOnes is how many other limiters of this zone are in reach, whether they are told or not. The
// mutex is held.
func (y *Proxy) nearOnes() (n int) {
	for _, p := range y.reg.Places {
		if p.Held() && p.Zone == y.set.Zone && p.Name != y.set.Node && !y.unreachable[p.Name] {
			n++
		}
	}
	return n
}

// believe has the decisions go by what is in hand at servers beside their own requests. The mutex
// is held.
func (y *Proxy) believe() {
	others := y.loads.Others(y.now())
	for _, s := range y.loads.Steps() {
		y.log.WithFields(logrus.Fields{"service": s.Service, "share": float64(int(s.Share*100)) / 100, "pressed": s.Pressed}).Info("load of a service changes")
	}
	e := y.engine
	if e == nil {
		return
	}
	beside := map[uint64]limiter.InHand{}
	for server, n := range others {
		for _, b := range e.members[server] {
			beside[b] = limiter.InHand{Server: b, Others: n + float64(y.loads.Own(server)-e.inHand[b]), Slots: e.slots[server]}
		}
	}
	var news []limiter.InHand
	for b, x := range beside {
		if e.beside[b] != x {
			news = append(news, x)
		}
	}
	for b := range e.beside {
		if _, still := beside[b]; !still {
			news = append(news, limiter.InHand{Server: b})
		}
	}
	if e.beside = beside; len(news) > 0 {
		e.handle(limiter.Occupied{Servers: news})
	}
}

// begins notes that an attempt goes out, ends that it is over. The mutex is held.
func (e *engine) begins(st *upstream, member uint64) {
	e.inHand[member]++
	e.y.loads.Began(st.number)
}

func (e *engine) ends(st *upstream, member uint64, result limiter.Result, spentMs float64) {
	if e.inHand[member]--; e.inHand[member] <= 0 {
		delete(e.inHand, member)
	}
	e.y.loads.Ended(st.number, result == limiter.Pass || result == limiter.TooSlow, spentMs)
}

// neighboursOf are the limiters that one tells what it has in hand: those of its zone, and as many
// of the region as are lacking. Where they are more than may be each tells others, by the names of
// both.
func neighboursOf(posts []places.Place, node, zone, region string, zones map[string]string) []places.Place {
	var near, far []places.Place
	for _, p := range posts {
		switch {
		case p.Name == node || !p.Held():
		case p.Zone == zone:
			near = append(near, p)
		case zones[p.Zone] == region:
			far = append(far, p)
		}
	}
	for _, all := range [][]places.Place{near, far} {
		slices.SortFunc(all, func(a, b places.Place) int {
			return int(int64(pairing(node, a.Name)>>33) - int64(pairing(node, b.Name)>>33))
		})
	}
	near = near[:min(len(near), neighboursMost)]
	return append(near, far[:min(len(far), max(0, neighboursLeast-len(near)))]...)
}

// pairing is a number of two names, whichever comes first.
func pairing(a, b string) uint64 {
	h := fnv64(min(a, b) + "\x00" + max(a, b))
	return (h ^ h>>29) * 0x9e3779b97f4a7c15 // names that differ at their ends alone scatter too
}

// shortNumber is the number by which limiters tell each other of a server's life or a service.
func shortNumber(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}
