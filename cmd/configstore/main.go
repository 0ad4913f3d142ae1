// Command configstore is one of the three programs of the system. Keeps the configuration.
package main

import (
	"example.org/madderdrum/internal/configstore"
	"example.org/madderdrum/internal/depot"
)

func main() {
	depot.Main("configstore", "Keeps the configuration", configstore.Run, configstore.Voters())
}
