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

// A limiter whose standard error is not taken any more (a disk that stands still, a log collector that hangs) writes
// its lines in the middle of its work: it stands still with the first one that finds no room, and does not end within
// its grace period. Evidence: of nine limiters that were killed in one run of the soak, on a machine whose disk stood
// still, four had written "ends" two seconds before their SIGKILL, which stands behind the writing of that line.
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
	fill(t, write)
	edge := r.of("edge-2")[0]
	cmd := exec.Command(filepath.Join(r.o.Programs, edge.role), "serve")
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
			t.Fatal("a limiter whose log is not taken is not ready after 10 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		ended <- err
	case <-time.After(DefaultGrace):
		t.Errorf("a limiter whose log is not taken did not end within %v", DefaultGrace)
	}
}

// fill writes to a pipe until it takes nothing more.
func fill(t *testing.T, pipe *os.File) {
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
