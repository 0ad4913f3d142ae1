//go:build !platform

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"example.org/madderdrum/internal/status"
)

// limiterAt is the address of a running limiter's state.
type limiterAt struct {
	Status string `required:"" help:"What serve was given as --status, such as 127.0.0.1:9190." placeholder:"HOST:PORT"`
}

const statusTimeout = 5 * time.Second

// ask asks the limiter and returns what it says.
func (l *limiterAt) request(method, path string, header http.Header) (string, error) {
	ctx, stop := context.WithTimeout(context.Background(), statusTimeout)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+l.Status+path, nil)
	if err != nil {
		return "", fmt.Errorf("--status %s: %w", l.Status, err)
	}
	q.Header = header
	w, err := http.DefaultClient.Do(q)
	if err != nil {
		return "", fmt.Errorf("--status %s: %w", l.Status, err)
	}
	defer w.Body.Close()
	data, err := io.ReadAll(io.LimitReader(w.Body, 1<<20))
	if err != nil {
		return "", fmt.Errorf("--status %s: %w", l.Status, err)
	}
	if w.StatusCode >= 300 {
		return "", fmt.Errorf("--status %s: %s: %s", l.Status, w.Status, strings.TrimSpace(string(data)))
	}
	return string(data), nil
}

// pluginsCommand shows the plug-ins of a running limiter.
type pluginsCommand struct{ limiterAt }

// Run is the command.
func (c *pluginsCommand) Run() error {
	text, err := c.request(http.MethodGet, "/plugins", http.Header{"Accept": {"text/plain"}})
	if err == nil {
		_, err = io.WriteString(os.Stdout, text)
	}
	return err
}

// resetCommand lets a benched plug-in back.
type resetCommand struct {
	limiterAt
	Name string `arg:"" help:"The plug-in."`
}

// Run is the command.
func (c *resetCommand) Run() error {
	if _, err := c.request(http.MethodPost, "/plugins/"+url.PathEscape(c.Name)+"/reset", http.Header{status.ResetHeader: {"1"}}); err != nil {
		return err
	}
	fmt.Println(c.Name, "is asked again")
	return nil
}
