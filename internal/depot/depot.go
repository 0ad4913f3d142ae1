// Package depot is what the three programs share: their command line, logs, signals and how
// they use memory.
package depot

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"example.org/madderdrum/internal/boot"
)

const (
	gcPercent   = 50  // memory is dear, and heaps are of a few megabytes
	memoryShare = 0.7 // of the limit: the heap's soft bound
	logLevel    = "MADDERDRUM_LOG"
)

// Run is a program's work until its context ends.
type Run func(ctx context.Context, set *boot.Settings, log logrus.FieldLogger) error

// Main parses the command line, and exits non-zero when the command fails.
func Main(name, short string, run Run, more ...*cobra.Command) {
	root := &cobra.Command{Use: name, Short: short, SilenceUsage: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(&cobra.Command{Use: "serve", Short: "Serve until SIGTERM; " + boot.Variable + " names the settings file",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return serve(name, run) }})
	root.AddCommand(&cobra.Command{Use: "check FILE", Short: "Check a settings file",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			s, err := boot.LoadFile(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "settings of %v in zone %s are good\n", s, s.Zone)
			}
			return err
		}})
	root.AddCommand(more...)
	if root.Execute() != nil {
		os.Exit(1)
	}
}

func serve(name string, run Run) error {
	// From the very start on: Go's default action on SIGHUP ends the program.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	set, err := boot.Load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryMB<<20)))
	}
	log, err := NewLog(os.Stderr, os.Getenv(logLevel))
	if err != nil {
		return err
	}
	return run(ctx, set, log.WithField("program", name))
}

// NewLog returns a log of one line of key=value pairs an event.
func NewLog(w io.Writer, level string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	if level != "" {
		l, err := logrus.ParseLevel(level)
		if err != nil {
			return nil, fmt.Errorf("%s is %q: write debug, info, warning or error", logLevel, level)
		}
		log.SetLevel(l)
	}
	return log, nil
}
