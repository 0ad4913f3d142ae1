// Command registry is one of the three programs of the system. Knows which servers and limiters there are.
package main

import (
	"example.org/madderdrum/internal/depot"
	"example.org/madderdrum/internal/registry"
)

func main() { depot.Main("registry", "Knows which servers and limiters there are", registry.Run) }
