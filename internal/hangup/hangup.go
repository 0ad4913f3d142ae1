// Package hangup keeps a process alive through SIGHUP from package initialization on. Go's default action for
// SIGHUP ends the process, and a program that reloads its settings on SIGHUP must not end if the signal arrives
// during startup. Importing the package is enough. It has few imports, so that it is initialized before packages
// with slow initialization. It can't catch a signal that arrives before that.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// discarded receives the signals and is never read. Code that reloads settings registers its own channel.
var discarded = make(chan os.Signal, 1)

func init() { signal.Notify(discarded, syscall.SIGHUP) }
