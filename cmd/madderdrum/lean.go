//go:build platform

package main

import "errors"

// runCommand returns an error, because this build has no commands. The platform's build leaves
// them out because their libraries would add 3 MB to each limiter and a fifth to its start time.
func runCommand([]string) error {
	return errors.New("this build is the platform's limiter alone and needs NODE_CONFIG; " +
		"for the commands build without -tags platform")
}
