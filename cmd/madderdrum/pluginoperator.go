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

// limiterAt is the flag that names the status address of a running limiter.
type limiterAt struct {
	Status string `required:"" help:"What serve was given as --status, such as 127.0.0.1:9190." placeholder:"HOST:PORT"`
}

const statusTimeout = 5 * time.Second

// request sends an HTTP request to the limiter's status address and returns the response body.
func (l *limiterAt) request(method, path string, header http.Header) (string, error) {
	ctx, stop := context.WithTimeout(context.Background(), statusTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+l.Status+path, nil)
	if err != nil {
		return "", fmt.Errorf("--status %s: %w", l.Status, err)
	}
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", fmt.Errorf("--status %s: %w", l.Status, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return "", fmt.Errorf("--status %s: %w", l.Status, err)
	}
	if resp.StatusCode >= 300 {
		return "", fmt.Errorf("--status %s: %s: %s", l.Status, resp.Status, strings.TrimSpace(string(data)))
	}
	return string(data), nil
}

// pluginStatusCommand prints the state of the plug-ins of a running limiter.
type pluginStatusCommand struct{ limiterAt }

// Run executes `madderdrum plugin status`.
func (c *pluginStatusCommand) Run() error {
	text, err := c.request(http.MethodGet, "/plugins", http.Header{"Accept": {"text/plain"}})
	if err == nil {
		_, err = io.WriteString(os.Stdout, text)
	}
	return err
}

// pluginResetCommand re-enables a benched plug-in of a running limiter.
type pluginResetCommand struct {
	limiterAt
	Name string `arg:"" help:"The plug-in."`
}

// Run executes `madderdrum plugin reset`.
func (c *pluginResetCommand) Run() error {
	if _, err := c.request(http.MethodPost, "/plugins/"+url.PathEscape(c.Name)+"/reset", http.Header{status.ResetHeader: {"1"}}); err != nil {
		return err
	}
	fmt.Println(c.Name, "is asked again")
	return nil
}
