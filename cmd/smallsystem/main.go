// Command smallsystem runs a minimal complete system on loopback, as an introduction: three core
// machines, two limiters, three servers, and one request per second.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"example.org/madderdrum/internal/smallsystem"
)

func main() {
	var dir, programs string
	var within time.Duration
	cmd := &cobra.Command{Use: "smallsystem", Short: "Run the whole system in small on loopback", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			if within > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, within)
				defer cancel()
			}
			return run(ctx, dir, programs)
		}}
	cmd.Flags().StringVar(&dir, "dir", "", "folder for settings, disks and logs (a new temporary one)")
	cmd.Flags().StringVar(&programs, "programs", "", "folder with the three programs (built now, from this folder)")
	cmd.Flags().DurationVar(&within, "for", 0, "stop after this (0: at an interrupt)")
	cmd.AddCommand(scaleCommand())
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

func run(ctx context.Context, dir, programs string) error {
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "smallsystem"); err != nil {
			return err
		}
	}
	if programs == "" {
		programs = filepath.Join(dir, "programs")
		build := exec.CommandContext(ctx, "go", "build", "-o", programs+"/", "./cmd/proxy", "./cmd/registry", "./cmd/configstore")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return fmt.Errorf("build the programs: %w: run this in the repository, or name a folder with --programs", err)
		}
	}
	fmt.Println("settings, disks and logs are in", dir)
	s, err := smallsystem.Start(smallsystem.Options{Programs: programs, Dir: dir, Net: 70, Edges: 2, Servers: 3})
	defer s.Stop()
	if err != nil {
		return err
	}
	status, answer, err := s.Order(ctx, "POST", "/config/replace", smallsystem.Config(1, 0, "/", "key-1"))
	if err != nil {
		return err
	}
	fmt.Printf("the configuration is sent: %d %s\n", status, answer)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for k := 0; ; k++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		status, answer, err := s.Send(ctx, k%2, "/hello", "key-1")
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			fmt.Printf("limiter %d: %v\n", k%2+1, err)
			continue
		}
		fmt.Printf("limiter %d: %d %s", k%2+1, status, answer)
		if len(answer) == 0 {
			fmt.Println()
		}
	}
}
