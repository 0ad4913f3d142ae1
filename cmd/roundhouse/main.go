// Command roundhouse is one of the three programs of the system. Knows which servers and limiters there are.
package main

import (
	"example.org/madderdrum/internal/depot"
	"example.org/madderdrum/internal/roundhouse"
)

func main() { depot.Main("roundhouse", "Knows which servers and limiters there are", roundhouse.Run) }
