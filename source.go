// Package madderdrum holds the sources that an author of plug-ins needs to build one
// anywhere: the kit and what it stands on. `madderdrum plugin new` writes them beside a
// new plug-in.
package madderdrum

import "embed"

// Kit are the folders sdk and advice with their Go files.
//
//go:embed sdk/*.go advice/*.go
var Kit embed.FS

// GoVersion is that of the module, as go.mod has it.
const GoVersion = "1.26"
