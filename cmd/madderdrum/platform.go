package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"example.org/madderdrum/internal/node"
)

const (
	memoryShare = 0.6 // soft heap limit as a share of the configured memory limit
	gcPercent   = 400 // the heap is small, so infrequent collection costs little memory
)

// runPlatform runs the limiter that the platform starts, configured by the file that NODE_CONFIG names.
func runPlatform() error {
	// Installed before anything else: Go's default action on SIGHUP ends the program and
	// with it all requests in progress.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetGCPercent(gcPercent)
	if cfg.Limits.MemoryMB > 0 {
		cfg.UseMemory = func(share float64) {
			debug.SetMemoryLimit(int64(share * memoryShare * float64(cfg.Limits.MemoryMB<<20)))
		}
		cfg.UseMemory(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	level, err := logLevel(os.Getenv)
	if err != nil {
		return err
	}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	n, err := node.New(cfg, slog.New(handler).With("limiter", cfg.Name))
	if err != nil {
		return err
	}
	go func() {
		for range hup {
			n.Reload()
		}
	}()
	return n.Run(ctx)
}

// logLevel parses the log level in NODE_LOG; the default is info.
func logLevel(getenv func(string) string) (level slog.Level, err error) {
	if text := getenv("NODE_LOG"); text != "" {
		if err = level.UnmarshalText([]byte(text)); err != nil {
			return 0, fmt.Errorf("NODE_LOG is %q: write debug, info, warn or error", text)
		}
	}
	return level, nil
}
