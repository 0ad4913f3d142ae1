// Command proxy is one of the three programs of the system. It forwards clients' requests to servers.
package main

import (
	"example.org/madderdrum/internal/cli"
	"example.org/madderdrum/internal/proxy"
)

func main() { cli.Main("proxy", "Passes clients' requests on to servers", proxy.Run) }
