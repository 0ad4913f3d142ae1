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

// mostAnswer bounds what is read of an answer.
const maxAnswerBytes = 1 << 20

// adminCommand makes one call on a limiter's operators' address.
type adminCommand struct {
	Call string        `arg:"" enum:"ready,show-stat,drain,resume" help:"ready, show-stat, drain or resume."`
	At   string        `short:"a" env:"NODE_ADMIN_ADDR" required:"" placeholder:"HOST:PORT" help:"The limiter's admin address."`
	Wait time.Duration `default:"1s" help:"How long to wait for the answer."`
}

// Help is the long help text.
func (adminCommand) Help() string {
	return `Prints the answer and ends with 0 if it is yes (or the figures), 1 if it is no, and 2 if
there is none. docs/operations.md says what each call does and each figure means.`
}

// Run is the command.
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

// ask returns the answer's lines, but for the line that ends figures.
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
