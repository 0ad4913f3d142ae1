package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The reference page is up to date with the schema.
func TestReferenceIsFresh(t *testing.T) {
	const path = "../docs/config-reference.md"
	want := Reference()
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Error("docs/config-reference.md is stale: go test ./config -run Reference -update")
	}
	for _, x := range schema.blocks {
		if x.doc == "" || !strings.Contains(want, "`"+x.kind) {
			t.Errorf("block %s is not described", x.kind)
		}
	}
}

// All configuration files in the repository are valid and give no warnings.
func TestDeployFilesAreSound(t *testing.T) {
	paths, err := filepath.Glob("../deploy/examples/*/main.hcl")
	if err != nil || len(paths) < 3 {
		t.Fatalf("%v, %v", paths, err)
	}
	fileSets := [][]string{{"../deploy/bluebird.hcl"}, {"../deploy/bluebird.hcl", "../deploy/forwardauth.hcl"}}
	for _, p := range paths {
		fileSets = append(fileSets, []string{p})
	}
	for _, files := range fileSets {
		cfg, report, err := LoadFiles(files, nil)
		if err != nil {
			t.Fatal(err)
		}
		if len(report.Diagnostics) > 0 {
			t.Errorf("%v: %v", files, report.Diagnostics)
			continue
		}
		for i := range cfg.Fleet.Limiters {
			if len(cfg.ListenAddresses(i)) == 0 {
				t.Errorf("%v: limiter %d listens nowhere", files, i)
			}
		}
	}
}

// LoadFiles reports symbolic links that leave the folder or form a cycle, and sets variables
// to the values passed by the caller.
func TestLoadFiles(t *testing.T) {
	dir := t.TempDir()
	base, err := os.ReadFile("testdata/base.hcl")
	if err != nil {
		t.Fatal(err)
	}
	outside := filepath.Join(t.TempDir(), "secret.hcl")
	confDir := filepath.Join(dir, "conf")
	mainPath := filepath.Join(confDir, "main.hcl")
	for path, text := range map[string]string{outside: "# outside\n", filepath.Join(confDir, "base.hcl"): string(base), filepath.Join(confDir, "plans", "a.hcl"): "",
		mainPath: "include \"base.hcl\" {}\ninclude \"plans/*.hcl\" {}\nvariable \"patience\" {}\nroute \"r\" {\n  deadline = var.patience\n}\n"} {
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	load := func(vars map[string]string) (*Config, string) {
		c, report, err := LoadFiles([]string{mainPath}, vars)
		if err != nil {
			t.Fatal(err)
		}
		var all []string
		for i := range report.Diagnostics {
			all = append(all, report.Diagnostics[i].String())
		}
		return c, strings.Join(all, "\n")
	}
	c, reported := load(map[string]string{"patience": "2s"})
	if c == nil || reported != "" || c.Routes[0].Deadline.Seconds() != 2 || len(c.Files) != 3 || c.Files[0] != mainPath {
		t.Fatalf("%s", reported)
	}
	if _, reported := load(map[string]string{"patience": "2/s"}); !strings.Contains(reported, mainPath+`:5:14: deadline = "2/s" is not a time`) {
		t.Error(reported)
	}
	if _, reported := load(map[string]string{"patience": "2s", "speed": "1"}); !strings.Contains(reported, `the variable "speed", which is not defined`) {
		t.Error(reported)
	}
	for name, to := range map[string]string{"out.hcl": outside, "loop.hcl": "loop.hcl", "up.hcl": "../../x"} {
		link := filepath.Join(confDir, "plans", name)
		if err := os.Symlink(to, link); err != nil {
			t.Fatal(err)
		}
		if c, reported := load(map[string]string{"patience": "2s"}); c != nil || !strings.Contains(reported, mainPath+":2:9: ") || !strings.Contains(reported, name) {
			t.Errorf("a link %s -> %s: %s", name, to, reported)
		}
		if err := os.Remove(link); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := LoadFiles([]string{filepath.Join(dir, "none.hcl")}, nil); err == nil || !strings.Contains(err.Error(), "none.hcl") {
		t.Errorf("a file that is not there: %v", err)
	}
}
