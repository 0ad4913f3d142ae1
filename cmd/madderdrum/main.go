// Command madderdrum is a rate limiter and gateway.
//
// Without arguments and with NODE_CONFIG set it is one limiter of a platform
// that tells it everything by that file. Its commands run a limiter from a
// fleet file, replay traces against a stand-in fleet, and show it at work; see
// `madderdrum --help`.
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

// errBroken ends the program with another code than a failure to do its work.
var errRuleBroken = errors.New("a rule was broken")

// exit ends the program if there is an error.
func exit(err error) {
	if err == nil {
		return
	}
	var code interface{ ExitCode() int }
	if errors.As(err, &code) { // it has told what there is to tell
		os.Exit(code.ExitCode())
	}
	fmt.Fprintln(os.Stderr, "madderdrum:", err)
	if errors.Is(err, errRuleBroken) {
		os.Exit(2)
	}
	os.Exit(1)
}
