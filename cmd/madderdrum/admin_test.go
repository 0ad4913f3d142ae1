//go:build !platform

package main

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// TestAdminCommand checks that the command prints the answer and derives its exit code from it.
func TestAdminCommand(t *testing.T) {
	for name, x := range map[string]struct {
		call, answer, out string
		code              int
	}{
		"yes":      {"ready", "YES serving\n", "YES serving\n", 0},
		"no":       {"drain", "NO the limiter is stopping\n", "NO the limiter is stopping\n", 1},
		"figures":  {"show-stat", "{\"in_progress\":0}\nEND\n", "{\"in_progress\":0}\n", 0},
		"torn":     {"show-stat", "{\"in_progr", "", 2},
		"a page":   {"ready", "HTTP/1.1 400 Bad Request\r\n\r\n", "", 2},
		"nothing":  {"ready", "", "", 2},
		"figures?": {"ready", "{}\nEND\n", "", 2},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			line := make([]byte, len(x.call)+1)
			io.ReadFull(c, line)
			io.WriteString(c, x.answer)
		}()
		var out, errs bytes.Buffer
		err = (&adminCommand{Call: x.call, At: ln.Addr().String(), Wait: testTimeout}).run(&out, &errs)
		ln.Close()
		code := 0
		if e, ok := err.(exitStatus); ok {
			code = e.ExitCode()
		}
		if out.String() != x.out || code != x.code || (code == 2) != (errs.Len() > 0) {
			t.Errorf("%s: %q, %q, code %d", name, out.String(), errs.String(), code)
		}
	}
	gone := freeAddr(t, "127.0.0.1")
	var errs bytes.Buffer
	if err := (&adminCommand{Call: "ready", At: gone, Wait: time.Second}).run(io.Discard, &errs); err != exitStatus(2) {
		t.Errorf("no server listening: %v", err)
	}
}
