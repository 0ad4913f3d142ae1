// Package deploy holds the deployment files that are built into the program.
package deploy

import _ "embed"

// Bluebird is the fleet file of Bluebird Text, bluebird.hcl.
//
//go:embed bluebird.hcl
var Bluebird []byte
