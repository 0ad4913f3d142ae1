// Command signalbox is one of the three programs of the system. Keeps the configuration.
package main

import (
	"example.org/madderdrum/internal/depot"
	"example.org/madderdrum/internal/signalbox"
)

func main() {
	depot.Main("signalbox", "Keeps the configuration", signalbox.Run, signalbox.Voters())
}
