package world

import (
	"time"
)

func (w *World) beginFault(x Fault) {
	w.addNote(x.Text)
	if x.To > 0 {
		w.events.add(event{at: x.To, kind: evFaultEnds, payload: x})
	}
	switch x.Target {
	case AtBox:
		w.beginBoxFault(x)
	case AtRoom:
		if x.Verb == "parted" {
			w.partitionedRooms[x.Index] = true
			return
		}
		for i, b := range w.Boxes {
			switch {
			case b.Spec.Room != x.Index || w.boxAt[w.addrOf[i]] != i:
			case x.Verb == "unlisted":
				w.publish(i, Gone, 0)
			default:
				w.takeDown(i, x.Silent)
			}
		}
		for i, l := range w.Fleet.Limiters {
			if x.WithLimiters && l.Room == x.Index {
				w.stopLimiter(i, false)
			}
		}
	case AtFleet:
		w.setSharedSlowdown(x.Value)
	case AtLimiter:
		if x.Verb == "loses" {
			w.cutRooms[[2]int{x.Index, x.UnreachableRoom}] = true
		} else {
			w.stopLimiter(x.Index, x.Verb == "restarts")
			if x.To == 0 && x.Verb == "restarts" {
				w.events.add(event{at: w.now + 2*restartTime, kind: evFaultEnds, payload: x})
			}
		}
	case AtPeers:
		w.peersCut = w.peersCut || x.Verb == "cut"
		w.peerLoss = x.Value
	case AtList:
		w.discoverySilent = true
	case AtAccounts:
		w.shifts = append(w.shifts, shift{w.now, x.Value, w.rng.Uint64()})
	}
}

// Inject schedules a fault whose times are relative to now.
func (w *World) Inject(now time.Duration, x Fault) {
	w.now = max(w.now, now)
	x.From += w.now
	if x.To > 0 {
		x.To += w.now
	}
	w.events.add(event{at: x.From, kind: evFault, payload: x})
}

func (w *World) beginBoxFault(x Fault) {
	i := x.Index
	b := w.Boxes[i]
	w.emitAnswers(i, b.Advance(w.now))
	if there := b.condition == Running; !there && (x.Verb == "hangs" || x.Verb == "drains" || x.Verb == "leaves") {
		return // only a running box can hang, drain or leave
	}
	switch x.Verb {
	case "hangs":
		b.SetCondition(Hung)
	case "dies":
		w.takeDown(i, false)
	case "vanishes":
		w.takeDown(i, true)
	case "drains":
		b.SetCondition(Draining)
		w.publish(i, DrainRequested, 0)
	case "leaves":
		b.SetCondition(Draining)
		w.publish(i, DrainRequested, 0)
		w.events.add(event{at: w.now + leaveTime, kind: evFault, payload: Fault{Target: AtBox, Index: i, Verb: "dies",
			Text: "box " + b.Name + " has left"}})
	case "restarts":
		w.takeDown(i, false)
		w.events.add(event{at: max(x.To, w.now+restartTime), kind: evBoxStart, index: i})
	case "joins":
		w.startBox(i)
	case "replaced":
		w.takeDown(i, false)
		spec := b.Spec
		spec.Name += "r"
		k := w.newBox(spec, w.addrOf[i])
		w.Boxes[k].SetCondition(Dead)
		w.events.add(event{at: w.now + restartTime, kind: evBoxStart, index: k})
	case "slows":
		b.SetSlowdown(x.Value)
	case "fails":
		b.SetErrorRate(x.Value)
	case "garbles", "halves", "stalls", "cuts":
		b.responseFault, b.responseFaultShare = responseFaults[x.Verb], x.Value
	}
	w.scheduleBox(i)
}

func (w *World) endFault(x Fault) {
	w.addNote("over: " + x.Text)
	switch x.Target {
	case AtBox:
		b := w.Boxes[x.Index]
		w.emitAnswers(x.Index, b.Advance(w.now))
		switch x.Verb {
		case "hangs":
			if b.condition == Hung {
				w.emitAnswers(x.Index, b.Resume(w.now))
			}
		case "drains":
			if b.condition == Draining {
				w.emitAnswers(x.Index, b.Resume(w.now))
				w.publish(x.Index, Ready, 0)
			}
		case "dies", "vanishes":
			w.startBox(x.Index)
		case "slows":
			b.SetSlowdown(1)
		case "fails":
			b.SetErrorRate(-1)
		case "garbles", "halves", "stalls", "cuts":
			b.responseFault = NoResponseFault
		}
		w.scheduleBox(x.Index)
	case AtRoom:
		if x.Verb == "parted" {
			delete(w.partitionedRooms, x.Index)
			return
		}
		for i, b := range w.Boxes {
			switch {
			case b.Spec.Room != x.Index || w.boxAt[w.addrOf[i]] != i || b.condition == Crashed:
			case x.Verb == "unlisted":
				if b.condition == Running {
					w.publish(i, Ready, 0)
				}
			default:
				w.startBox(i)
			}
		}
		for i, l := range w.Fleet.Limiters {
			if x.WithLimiters && l.Room == x.Index {
				w.startLimiter(i)
			}
		}
	case AtFleet:
		w.setSharedSlowdown(1)
	case AtLimiter:
		if x.Verb == "loses" {
			delete(w.cutRooms, [2]int{x.Index, x.UnreachableRoom})
		} else {
			w.startLimiter(x.Index)
		}
	case AtPeers:
		w.peersCut, w.peerLoss = w.peersCut && x.Verb != "cut", 0
	case AtList:
		w.discoverySilent = false
		for _, e := range w.heldNews {
			e.at = w.now
			w.events.add(e)
		}
		w.heldNews = nil
	}
}

// setSharedSlowdown sets the slowdown of the dependency that all boxes share.
func (w *World) setSharedSlowdown(factor float64) {
	for i, b := range w.Boxes { // work until now was done at the previous speed
		w.emitAnswers(i, b.Advance(w.now))
	}
	w.sharedSlowdown = factor
	for i := range w.Boxes {
		w.scheduleBox(i)
	}
}
