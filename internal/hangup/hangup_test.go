package hangup

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// A program that imports the package, without other signal handling, survives SIGHUP.
func TestProcessSurvivesHangup(t *testing.T) {
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-discarded:
		if got != syscall.SIGHUP {
			t.Errorf("got %v", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("the signal was not received")
	}
}
