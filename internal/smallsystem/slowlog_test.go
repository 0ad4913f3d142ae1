package smallsystem

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against a limiter that blocks while it writes its log, because its standard error is no longer read (a disk
// stalls, or a log collector hangs): it stops working at the first line that does not fit into the pipe, and does not
// end within its grace period. In one soak run on a machine whose disk had stalled, nine limiters were killed with
// SIGKILL; four of them had logged "ends" two seconds before, and a process exits only after that line is written.
//
// Here nobody reads the pipe that is a limiter's standard error.
func TestSlowLogDoesNotHoldLimiter(t *testing.T) {
	t.Parallel()
	r := startRules(t, 64, 2)
	r.Kill("edge-2", syscall.SIGTERM)
	taken, err := os.Create(filepath.Join(t.TempDir(), "nobody"))
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	fillPipe(t, write)
	edge := r.startedPrograms("edge-2")[0]
	cmd := exec.Command(filepath.Join(r.options.Programs, edge.role), "serve")
	cmd.Env = append(os.Environ(), "MADDERDRUM_BOOT="+edge.settings)
	cmd.Stdout, cmd.Stderr = taken, write
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	write.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer func() {
		cmd.Process.Kill()
		<-ended
	}()
	ctx, cancel := context.WithTimeout(r.ctx, 10*time.Second)
	defer cancel()
	for !r.Ready(ctx, 1) {
		if ctx.Err() != nil {
			t.Fatal("a limiter whose log is not read is not ready after 10 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		ended <- err
	case <-time.After(DefaultGrace):
		t.Errorf("a limiter whose log is not read did not end within %v", DefaultGrace)
	}
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, pipe *os.File) {
	t.Helper()
	w := bufio.NewWriterSize(pipe, 1<<10)
	pipe.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	for {
		if _, err := w.Write(make([]byte, 1<<10)); err != nil {
			break
		}
	}
	pipe.SetWriteDeadline(time.Time{})
}
