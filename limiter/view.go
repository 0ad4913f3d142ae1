package limiter

// Reasons and Results are the numbers of values of Reason and Result.
const (
	Reasons = len(reasonNames)
	Results = len(resultNames)
)

var resultNames = [...]string{"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send", "spoilt"}

func (r Result) String() string { return resultNames[r] }

// View is a limiter's view of its servers and its traffic, for operators.
type View struct {
	Up, Cold, Off  int     // servers listed as up; how many of them warm up, and how many are not used for some class
	Known, Skipped int     // servers in the list; how many of them drain or are not used for some class
	Out            int     // attempts in flight
	Pressure       float64 // recent share of requests refused for lack of servers, in the pool where it is highest
	Crowding       float64 // expected time of an answer relative to the typical one, by this limiter's own load
}

// View returns the current view. It changes no state.
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
			if regard := l.Regards(now, srv.info.ID, class); regard != Usable && regard != WarmingUp {
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
