package nodesettings

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const settings = `{"self_identity":{"node_name":"e1","role":"proxy","ip_address":"10.0.0.1","zone":"a","region":"r","bootstrap":true,"data_dir":null,"limits":{"memory_mb":284}},
"network":{"listen":{"frontend":"10.0.0.1:8389"},"internal_ports":[7460,7475],"seed_nodes":["10.0.0.9:8383","10.0.0.8:8383"],"zones":{"a":"r"}},
"provider":{"heartbeat":"1500ms"},"timing_terms":{"fault_tolerance":{"machines":2},"bounds":{"revoke":"5000ms","drain":"3s","revocation_strict":true,"quota_slack":20},"new_field":1}}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Node != "e1" || s.Bounds.Revoke != 5*time.Second || !s.Bounds.RevocationStrict || s.FaultTolerance != 2 || s.Heartbeat != 1500*time.Millisecond ||
		s.CoreIPs()[1] != "10.0.0.8" || s.InternalAddress(s.IP, ProxyPort) != "10.0.0.1:7462" {
		t.Errorf("%+v", s)
	}
	for wrong, field := range map[string]string{
		strings.Replace(settings, `"node_name":"e1",`, "", 1):                   "self_identity.node_name",
		strings.Replace(settings, `"5000ms"`, `"soon"`, 1):                      "timing_terms.bounds.revoke",
		strings.Replace(settings, `[7460,7475]`, `[7460]`, 1):                   "network.internal_ports",
		strings.Replace(settings, `"quota_slack":20`, `"quota_slack":-1`, 1):    "timing_terms.bounds.quota_slack",
		strings.Replace(settings, `["10.0.0.9:8383","10.0.0.8:8383"]`, `[]`, 1): "network.seed_nodes",
		settings[:200]: "",
	} {
		_, err := Parse([]byte(wrong))
		var e *Error
		if !errors.As(err, &e) || e.Field != field || e.Fix == "" {
			t.Errorf("field %q: error %v, want one about this field with a fix", field, err)
		}
	}
}

// Checks that Follow picks up a changed file without a signal.
func TestFollow(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	s, err := LoadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	next, invalid := make(chan *Settings, 8), make(chan error, 8)
	go s.Watch(ctx, func(s *Settings) { next <- s }, func(err error) { invalid <- err })
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Error(err)
		}
	}
	// Writes repeatedly until Follow sees a change: its first read may come after the first write.
	go func() {
		for k := 0; ctx.Err() == nil; k++ {
			write(strings.Replace(settings, "10.0.0.9", "10.0.0."+string(rune('1'+k%5)), 1))
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
	for {
		select {
		case s := <-next:
			if s.CoreIPs()[0] == "10.0.0.9" {
				t.Errorf("seeds %v", s.Seeds)
			}
			return
		case <-invalid: // a partly written file; the complete one follows
		case <-ctx.Done():
			t.Fatal("the changed file was not picked up")
		}
	}
}
