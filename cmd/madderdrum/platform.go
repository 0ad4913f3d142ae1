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
	memoryShare = 0.6 // of the limit: the heap's soft bound
	gcPercent   = 400 // the heap is small: collecting seldom costs little memory
)

// platform is the limiter that the platform starts: NODE_CONFIG tells it everything.
func runPlatform() error {
	// From the very start on: Go's default action on SIGHUP ends the program, and
	// with it all requests in hand.
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

// logLevel is the level that NODE_LOG names, or info.
func logLevel(getenv func(string) string) (level slog.Level, err error) {
	if text := getenv("NODE_LOG"); text != "" {
		if err = level.UnmarshalText([]byte(text)); err != nil {
			return 0, fmt.Errorf("NODE_LOG is %q: write debug, info, warn or error", text)
		}
	}
	return level, nil
}
