// Command friday is a plug-in: a shop's bulk sale waits until the clinics' reminders clear.
// While boxes are short and reminders come, bulk is refused with advice to come back, and
// reminders weigh more.
package main

import (
	"time"

	"example.org/madderdrum/sdk"
)

const (
	reminders = "send-reminder"
	bulk      = "send-bulk-paid"
	tight     = 0.05            // share refused for want of boxes, from which they are short
	busy      = 20.0            // reminders within a few seconds, from which they have to clear
	memory    = 3 * time.Second // half-life of what is counted
)

func init() { sdk.Run(advise) }

func advise(r *sdk.Request) sdk.Advice {
	switch r.ClassName {
	case reminders:
		sdk.Count("reminders", 1, memory)
		return sdk.Advice{Priority: 2}
	case bulk:
		if r.Pressure > tight && sdk.Count("reminders", 0, memory) > busy {
			return sdk.Advice{Refuse: true, WaitMs: 500, Reason: "bulk waits for the reminders", Label: "friday"}
		}
		return sdk.Advice{Priority: 0.5}
	}
	return sdk.Advice{}
}

func main() {}
