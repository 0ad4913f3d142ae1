// Command configstore is one of the three programs of the system. It stores the configuration.
package main

import (
	"example.org/madderdrum/internal/cli"
	"example.org/madderdrum/internal/configstore"
)

func main() {
	cli.Main("configstore", "Keeps the configuration", configstore.Run, configstore.Voters())
}
