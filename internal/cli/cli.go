// Package cli holds what the three programs share: command line, logging, signal handling and memory
// limits.
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
	gcPercent        = 50  // heaps are a few megabytes and machines have little memory: collect early
	memoryLimitShare = 0.7 // the Go runtime's soft memory limit as a share of the machine's memory limit
	logLevelVariable = "MADDERDRUM_LOG"

	statusTimeout = 3 * time.Second
	maxPort       = 1<<16 - 1
)

// Run is the main function of a program; it returns once ctx is done.
type Run func(ctx context.Context, set *nodesettings.Settings, log logrus.FieldLogger) error

// Main parses the command line, runs the chosen command and exits with status 1 if it fails.
func Main(name, short string, run Run, extraCommands ...*cobra.Command) {
	root := &cobra.Command{Use: name, Short: short, SilenceUsage: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(serveCommand(name, run), checkCommand(), statusCommand())
	root.AddCommand(extraCommands...)
	if root.ExecuteContext(context.Background()) != nil {
		os.Exit(1)
	}
}

// checkCommand returns the command that validates a settings file or a configuration.
func checkCommand() *cobra.Command {
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
		if _, fault := configuration.ParseChange(text, false); fault != nil {
			return fault
		}
		configured, fault := configuration.Parse(text)
		if fault != nil {
			return fault
		}
		fmt.Fprintf(cmd.OutOrStdout(), "configuration r%d is good: %d routes, %d services, %d tenants\n",
			configured.Version, len(configured.Routes), len(configured.Services), len(configured.Tenants))
		return nil
	}
	return cmd
}

// statusCommand returns the command that prints the status of a running process.
func statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status ADDRESS", Short: "Print the status of a process; ADDRESS is the address of its internal port", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var s rpc.Status
			if err := rpc.NewCaller().Call(cmd.Context(), args[0], rpc.CallStatus, nil, &s, statusTimeout); err != nil {
				return err
			}
			for _, l := range s.Lines {
				fmt.Fprintln(cmd.OutOrStdout(), l)
			}
			return nil
		}}
}

// serveCommand returns the command that runs the program.
func serveCommand(name string, run Run) *cobra.Command {
	var metricsPort int
	cmd := &cobra.Command{Use: "serve", Short: "Serve until SIGTERM; " + nodesettings.Variable + " names the settings file", Args: cobra.NoArgs}
	cmd.Flags().IntVar(&metricsPort, "metrics", 0, "port that serves the metrics of this process at "+metrics.Path+"; 0: none")
	cmd.RunE = func(*cobra.Command, []string) error {
		if metricsPort < 0 || metricsPort > maxPort {
			return fmt.Errorf("--metrics is %d: write a port from 1 to %d, or 0 for none", metricsPort, maxPort)
		}
		return runProgram(name, metricsPort, run)
	}
	return cmd
}

func runProgram(name string, metricsPort int, run Run) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	settings, err := nodesettings.Load()
	if err != nil {
		return err
	}
	settings.MetricsPort = metricsPort
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB<<20)))
	}
	log, err := NewLog(os.Stderr, os.Getenv(logLevelVariable))
	if err != nil {
		return err
	}
	return run(ctx, settings, log.WithField("program", name))
}

// NewLog returns a logger that writes one line of key=value pairs per event. level is a logrus level; if it
// is empty the level is info.
func NewLog(w io.Writer, level string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	if level != "" {
		parsed, err := logrus.ParseLevel(level)
		if err != nil {
			return nil, fmt.Errorf("%s is %q: write debug, info, warning or error", logLevelVariable, level)
		}
		log.SetLevel(parsed)
	}
	return log, nil
}
