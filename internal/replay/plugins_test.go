package replay

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/plugin"
	"example.org/madderdrum/plugin/plugintest"
)

// fullGrant permits every kind of advice.
var fullGrant = advice.Grant{Refuse: true, MostWaitMs: 500, Lower: 0.1, Raise: 10, Label: true, Tiers: true}

// refusingModule returns a module that refuses every request and gives a label.
func refusingModule() []byte {
	said := (&advice.Advice{Refuse: true, WaitMs: 100, Reason: "no", Label: "none"}).Append(nil)
	return plugintest.Module{Advise: plugintest.Says(0, uint32(len(said))), Data: said}.Build()
}

// playWithPlugins plays the fleet's own traffic without and with plug-ins, and returns the
// report and its JSON file.
func playWithPlugins(t *testing.T, specs ...plugin.Spec) (*Report, []byte) {
	t.Helper()
	p := prepare(t, Options{Length: 20 * time.Second, Rate: 250, Plugins: specs, Scenario: "limiter n1 is killed at 5s for 1s\nroom room-b is lost from 8s to 12s\n"})
	r := NewReport(p)
	for _, policy := range []string{"limiter", WithPlugins} {
		r.Runs = append(r.Runs, play(t, p, policy, 1))
	}
	r.SetAdvice()
	path := filepath.Join(t.TempDir(), "r.json")
	if err := r.Save(path); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := r.Broken(); n > 0 {
		t.Errorf("%d rules broken: %v %v", n, r.Runs[0].Breaches, r.Runs[1].Breaches)
	}
	return r, data
}

// A plug-in that fails at every call changes nothing: the run with it equals the run without.
func TestFailingPluginChangesNothing(t *testing.T) {
	r, _ := playWithPlugins(t, plugin.Spec{Name: "trap", Order: 1, Module: plugintest.Module{Advise: plugintest.Trap}.Build(), Grant: fullGrant})
	without, with := *r.Runs[0], *r.Runs[1]
	if p := with.Plugins; len(p) != 1 || p[0].Faults < 3 || p[0].Skipped < 1000 || p[0].LastFault == "" {
		t.Errorf("%+v", p)
	}
	with.Policy, with.Plugins = without.Policy, without.Plugins
	a, _ := json.Marshal(without)
	b, _ := json.Marshal(with)
	if !bytes.Equal(a, b) {
		t.Errorf("without:\n%s\nwith:\n%s", a, b)
	}
	if len(r.Advice.Accounts) > 0 || r.Advice.Changes[0].Difference != 0 {
		t.Errorf("%+v", r.Advice)
	}
}

// All requests are refused with a plug-in that refuses each, and with one that fails and whose
// grant refuses on failure. Two replays give the same file.
func TestRefusingPlugin(t *testing.T) {
	guard := fullGrant
	guard.RefuseOn = advice.OnFault | advice.OnBenched
	for name, s := range map[string]plugin.Spec{
		"says so": {Name: "no", Order: 1, Module: refusingModule(), Grant: fullGrant},
		"guards":  {Name: "no", Order: 1, Module: plugintest.Module{Advise: plugintest.Trap}.Build(), Grant: guard},
	} {
		r, data := playWithPlugins(t, s)
		with := r.Runs[1]
		if with.Total.InTime+with.Total.Late > 0 || with.Total.Refused < 2000 || with.Traffic.Attempts > 0 || r.Runs[0].Total.InTime < 2000 {
			t.Errorf("%s: %+v, without %+v", name, with.Total, r.Runs[0].Total)
		}
		if r.Advice.Plugins[0].Refused == 0 || len(r.Advice.Accounts) != maxListedAccounts || r.Advice.OmittedAccounts == 0 {
			t.Errorf("%s: %+v", name, r.Advice)
		}
		if labels := len(r.Advice.Labels); (labels == 1) != (name == "says so") {
			t.Errorf("%s: %+v", name, r.Advice.Labels)
		}
		if _, again := playWithPlugins(t, s); !bytes.Equal(data, again) {
			t.Errorf("%s: two replays differ", name)
		}
		var text bytes.Buffer
		if err := r.Text(&text); err != nil || !bytes.Contains(text.Bytes(), []byte("what the plug-ins changed, 1 seeds")) {
			t.Errorf("%s: %v\n%s", name, err, &text)
		}
	}
}
