//go:build !platform

package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCommand prints the version, the VCS revision and the Go version of the build.
type versionCommand struct{}

// Run executes `madderdrum version`.
func (versionCommand) Run() error {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Printf("madderdrum %s (revision %s, %s)\n", version, revision, runtime.Version())
	return nil
}
