//go:build platform

package main

import "errors"

// commands tells that this build has none. The platform's build leaves out what the
// platform does not use: the libraries of the commands would cost its limiters 3 MB
// and a fifth of their start.
func runCommand([]string) error {
	return errors.New("this build is the platform's limiter alone and needs NODE_CONFIG; " +
		"for the commands build without -tags platform")
}
