package plugin

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"example.org/madderdrum/advice"
)

// Builds the Friday example with the SDK, as a plug-in author would. It refuses bulk requests
// while capacity is short and reminders arrive; otherwise it lets them pass.
func TestFriday(t *testing.T) {
	path := filepath.Join(t.TempDir(), "friday.wasm")
	build := exec.Command("go", "build", "-buildmode=c-shared", "-o", path, "example.org/madderdrum/examples/plugins/friday")
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	module, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	p := load(t, module, Options{Name: "friday", Limits: Limits{Memory: 16 << 20, Instances: 1}})
	advise := func(class string, pressure float64) advice.Advice {
		a, err := p.Advise(&advice.Request{ClassName: class, Pressure: pressure}, 0)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	if a := advise("send-bulk-paid", 0.5); a.Refuse || a.Priority != 0.5 {
		t.Errorf("bulk without reminders: %+v", a)
	}
	for range 40 {
		if a := advise("send-reminder", 0.5); a.Refuse || a.Priority != 2 {
			t.Errorf("reminder: %+v", a)
		}
	}
	if a := advise("send-bulk-paid", 0.5); !a.Refuse || a.WaitMs != 500 || a.Label != "friday" {
		t.Errorf("bulk with reminders and short capacity: %+v", a)
	}
	if a := advise("send-bulk-paid", 0); a.Refuse {
		t.Errorf("bulk with enough capacity: %+v", a)
	}
	if a := advise("status-check", 0.5); a != (advice.Advice{}) {
		t.Errorf("another class: %+v", a)
	}
	t.Logf("module %d KiB, memory of an instance %d KiB", len(module)>>10, (<-p.idle).memory.Size()>>10)
}
