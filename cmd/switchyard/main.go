// Command switchyard is one of the three programs of the system. Passes clients' requests on to servers.
package main

import (
	"example.org/madderdrum/internal/cli"
	"example.org/madderdrum/internal/switchyard"
)

func main() { cli.Main("switchyard", "Passes clients' requests on to servers", switchyard.Run) }
