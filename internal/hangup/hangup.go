// Package hangup keeps a process alive through SIGHUP from the initialization of its packages on. Go's default
// action ends a program; one that reads its settings anew on SIGHUP must not end by a signal that comes while
// it starts. Importing the package is enough: it imports next to nothing, so that it is initialized before the
// packages that take long. What comes before that, in the first moments of the process, can't be caught by it.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// ignored takes the signals in; nobody reads it. Who follows the settings asks for the signal too.
var discarded = make(chan os.Signal, 1)

func init() { signal.Notify(discarded, syscall.SIGHUP) }
