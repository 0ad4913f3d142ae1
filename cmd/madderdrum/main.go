// Command madderdrum is a rate limiter and gateway.
//
// Without arguments and with NODE_CONFIG set it runs one limiter of a platform
// and takes its whole configuration from that file. Its commands run a limiter
// from a fleet file, replay traces against a simulated fleet, and demonstrate
// it; see `madderdrum --help`.
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	if _, set := os.LookupEnv("NODE_CONFIG"); set && len(os.Args) == 1 {
		exit(runPlatform())
		return
	}
	exit(runCommand(os.Args[1:]))
}

// errRuleBroken makes the program exit with code 2, where other errors exit with code 1.
var errRuleBroken = errors.New("a rule was broken")

// exit prints a non-nil error and ends the program with the exit code that belongs to it.
func exit(err error) {
	if err == nil {
		return
	}
	var code interface{ ExitCode() int }
	if errors.As(err, &code) { // the command has printed its message
		os.Exit(code.ExitCode())
	}
	fmt.Fprintln(os.Stderr, "madderdrum:", err)
	if errors.Is(err, errRuleBroken) {
		os.Exit(2)
	}
	os.Exit(1)
}
