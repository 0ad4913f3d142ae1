//go:build !platform

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"
)

// maxAnswerBytes limits how much of an answer is read.
const maxAnswerBytes = 1 << 20

// adminCommand sends one call to a limiter's admin address.
type adminCommand struct {
	Call string        `arg:"" enum:"ready,show-stat,drain,resume" help:"ready, show-stat, drain or resume."`
	At   string        `short:"a" env:"NODE_ADMIN_ADDR" required:"" placeholder:"HOST:PORT" help:"The limiter's admin address."`
	Wait time.Duration `default:"1s" help:"How long to wait for the answer."`
}

// Help returns the detailed help text of `madderdrum admin`.
func (adminCommand) Help() string {
	return `Prints the answer and ends with 0 if it is yes (or the figures), 1 if it is no, and 2 if
there is none. docs/operations.md says what each call does and each figure means.`
}

// Run executes `madderdrum admin`.
func (c *adminCommand) Run() error { return c.run(os.Stdout, os.Stderr) }

func (c *adminCommand) run(out, errs io.Writer) error {
	answer, err := c.request()
	if err != nil {
		fmt.Fprintf(errs, "madderdrum: %s at %s: %v\n", c.Call, c.At, err)
		return exitStatus(2)
	}
	io.WriteString(out, answer)
	if strings.HasPrefix(answer, "NO") {
		return exitStatus(1)
	}
	return nil
}

// request sends the call and returns the answer without the END line that terminates statistics.
func (c *adminCommand) request() (string, error) {
	conn, err := net.DialTimeout("tcp", c.At, c.Wait)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(c.Wait))
	if _, err := fmt.Fprintln(conn, c.Call); err != nil {
		return "", err
	}
	b, err := io.ReadAll(io.LimitReader(conn, maxAnswerBytes))
	if err != nil {
		return "", err
	}
	answer := string(b)
	if strings.HasPrefix(answer, "YES") || strings.HasPrefix(answer, "NO") {
		return answer, nil
	}
	if figures, ok := strings.CutSuffix(answer, "\nEND\n"); ok && c.Call == "show-stat" {
		return figures + "\n", nil
	}
	return "", errors.New("this is no answer of a limiter's admin address")
}
