// Package cli is what the three programs share: their command line, logs, signals and how
// they use memory.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"example.org/madderdrum/control/configuration"
	_ "example.org/madderdrum/internal/hangup" // SIGHUP must not end a process that starts
	"example.org/madderdrum/internal/metrics"
	"example.org/madderdrum/internal/nodesettings"
	"example.org/madderdrum/internal/rpc"
)

const (
	gcPercent   = 50  // memory is dear, and heaps are of a few megabytes
	memoryShare = 0.7 // of the limit: the heap's soft bound
	logLevel    = "MADDERDRUM_LOG"

	statusWithin = 3 * time.Second
	portMost     = 1<<16 - 1
)

// Run is a program's work until its context ends.
type Run func(ctx context.Context, set *nodesettings.Settings, log logrus.FieldLogger) error

// Main parses the command line, and exits non-zero when the command fails.
func Main(name, short string, run Run, more ...*cobra.Command) {
	root := &cobra.Command{Use: name, Short: short, SilenceUsage: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(serveCommand(name, run), check(), status())
	root.AddCommand(more...)
	if root.ExecuteContext(context.Background()) != nil {
		os.Exit(1)
	}
}

// check is the command that checks settings and configurations.
func check() *cobra.Command {
	var isConfiguration bool
	cmd := &cobra.Command{Use: "check FILE", Short: "Check a settings file or, with --configuration, a configuration", Args: cobra.ExactArgs(1)}
	cmd.Flags().BoolVar(&isConfiguration, "configuration", false, "the file is a whole configuration")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !isConfiguration {
			s, err := nodesettings.LoadFile(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "settings of %v in zone %s are good\n", s, s.Zone)
			}
			return err
		}
		text, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		if _, fault := configuration.ReadCall(text, false); fault != nil {
			return fault
		}
		t, fault := configuration.Read(text)
		if fault != nil {
			return fault
		}
		fmt.Fprintf(cmd.OutOrStdout(), "configuration r%d is good: %d routes, %d services, %d tenants\n", t.Version, len(t.Routes), len(t.Services), len(t.Tenants))
		return nil
	}
	return cmd
}

// status is the command that asks a process how it stands.
func status() *cobra.Command {
	return &cobra.Command{Use: "status ADDRESS", Short: "Ask a process how it stands; ADDRESS is that of its internal port", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var s rpc.Status
			if err := rpc.NewCaller().Call(cmd.Context(), args[0], rpc.CallStatus, nil, &s, statusWithin); err != nil {
				return err
			}
			for _, l := range s.Lines {
				fmt.Fprintln(cmd.OutOrStdout(), l)
			}
			return nil
		}}
}

// serveCommand is the command that a program runs by.
func serveCommand(name string, run Run) *cobra.Command {
	var metricsPort int
	cmd := &cobra.Command{Use: "serve", Short: "Serve until SIGTERM; " + nodesettings.Variable + " names the settings file", Args: cobra.NoArgs}
	cmd.Flags().IntVar(&metricsPort, "metrics", 0, "port at which the process tells its own figures, at "+metrics.Path+"; 0: none")
	cmd.RunE = func(*cobra.Command, []string) error {
		if metricsPort < 0 || metricsPort > portMost {
			return fmt.Errorf("--metrics is %d: write a port from 1 to %d, or 0 for none", metricsPort, portMost)
		}
		return serve(name, metricsPort, run)
	}
	return cmd
}

func serve(name string, metricsPort int, run Run) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	set, err := nodesettings.Load()
	if err != nil {
		return err
	}
	set.MetricsPort = metricsPort
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
