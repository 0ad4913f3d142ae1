package limiter

// Reasons and Results are how many there are of each.
const (
	Reasons = len(reasonNames)
	Results = len(resultNames)
)

var resultNames = [...]string{"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send", "spoilt"}

func (r Result) String() string { return resultNames[r] }

// View is a limiter's view of its servers and its traffic, for operators.
type View struct {
	Up, Cold, Off  int     // servers listed as up; of them those that warm up, and those kept off
	Known, Skipped int     // servers in the list; of them those that are avoided, as they drain or are kept off
	Out            int     // attempts out
	Pressure       float64 // share refused of late for lack of servers, in the pool where it is highest
	Crowding       float64 // time of an answer now against the typical, by this limiter's own load
}

// View tells it. Nothing changes by looking.
func (l *Limiter) View(now float64) (v View) {
	for _, srv := range l.servers {
		if srv.info.Phase != Removed {
			v.Known++
		}
		if srv.info.Phase != Up {
			continue
		}
		v.Up++
		if l.warmth(now, srv) < 1 {
			v.Cold++
		}
		for class := range l.cfg.Classes {
			if regard := l.Regards(now, srv.info.ID, class); regard != Usable && regard != TooCold {
				v.Off++
				break
			}
		}
	}
	for _, p := range l.pools {
		v.Out += p.inflight
		v.Pressure = max(v.Pressure, p.pressure)
		if count := len(p.servers); count > 0 {
			v.Crowding = max(v.Crowding, p.slowdown(1+float64(p.inflight)/float64(count)))
		}
	}
	v.Skipped = v.Known - v.Up + v.Off
	return v
}
