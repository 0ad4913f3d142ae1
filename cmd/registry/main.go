// Command registry is one of the three programs of the system. It keeps track of all servers and limiters.
package main

import (
	"example.org/madderdrum/internal/cli"
	"example.org/madderdrum/internal/registry"
)

func main() { cli.Main("registry", "Knows which servers and limiters there are", registry.Run) }
