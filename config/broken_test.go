package config

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/fstest"

	"golang.org/x/tools/txtar"

	"example.org/madderdrum/plugin/plugintest"
)

var update = flag.Bool("update", false, "write what the checker says into testdata; read it before it is committed")

// brokenCase is a file of testdata/broken: an invalid configuration and its expected report.
type brokenCase struct {
	archive *txtar.Archive
	want    string
	limits  loadLimits
}

func readBroken(t *testing.T, path string) (brokenCase, []Root) {
	t.Helper()
	a, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	base, err := os.ReadFile("testdata/base.hcl")
	if err != nil {
		t.Fatal(err)
	}
	c := brokenCase{archive: a, limits: defaultLimits}
	if _, list, ok := strings.Cut(string(a.Comment), "limits: "); ok {
		name, value, _ := strings.Cut(strings.Fields(list)[0], "=")
		var n int64
		fmt.Sscan(strings.TrimSuffix(value, "."), &n)
		switch name {
		case "depth":
			c.limits.includeDepth = int(n)
		case "files":
			c.limits.files = int(n)
		case "file":
			c.limits.fileBytes = n
		default:
			t.Fatalf("%s: a limit %q", path, name)
		}
	}
	files := fstest.MapFS{"base.hcl": {Data: base}, "sound.wasm": {Data: plugintest.Module{}.Build()}, "no-advise.wasm": {Data: plugintest.Module{OmitExport: "madderdrum_advise"}.Build()},
		"opens-files.wasm": {Data: plugintest.Module{Imports: []plugintest.Import{{From: "env", Name: "open", Params: []byte{plugintest.I32}}}}.Build()}}
	for _, f := range a.Files {
		if f.Name == "want" {
			c.want = string(f.Data)
			continue
		}
		files[f.Name] = &fstest.MapFile{Data: f.Data}
	}
	return c, []Root{{FS: files, Name: "main.hcl"}}
}

// Every broken file gives the expected report, with position, problem and fix. Every
// diagnostic of the catalogue is triggered by at least one file.
func TestBrokenFiles(t *testing.T) {
	paths, err := filepath.Glob("testdata/broken/*.txtar")
	if err != nil || len(paths) < 120 {
		t.Fatalf("%d broken files, %v", len(paths), err)
	}
	countByCode := map[string]int{}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		t.Run(name, func(t *testing.T) {
			tc, roots := readBroken(t, path)
			cfg, report := load(roots, nil, tc.limits)
			var got bytes.Buffer
			report.Write(&got)
			if *update {
				for i := range tc.archive.Files {
					if tc.archive.Files[i].Name == "want" {
						tc.archive.Files[i].Data = got.Bytes()
					}
				}
				if err := os.WriteFile(path, txtar.Format(tc.archive), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got.String() != tc.want {
				t.Errorf("got:\n%s\nwant:\n%s", got.String(), tc.want)
			}
			if len(report.Diagnostics) == 0 {
				t.Error("nothing is wrong with it")
			}
			if errors, _ := report.Count(); (cfg == nil) != (errors > 0) {
				t.Errorf("%d errors, and a configuration: %v", errors, cfg != nil)
			}
			for _, d := range report.Diagnostics {
				countByCode[d.Code]++
				if d.Line < 1 || d.Column < 1 || d.File == "" || d.Fix == "" {
					t.Errorf("no place or no fix: %+v", d)
				}
				if strings.ContainsAny(d.String(), "\n\x1b") {
					t.Errorf("more than one line, or control characters: %q", d.String())
				}
			}
		})
	}
	for code := range codes {
		if countByCode[code] == 0 {
			t.Errorf("no broken file is told %q", code)
		}
	}
}

// The valid file that the broken ones are derived from gives no diagnostics.
func TestBaseIsSound(t *testing.T) {
	data, err := os.ReadFile("testdata/base.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if _, r := Load([]Root{{FS: fstest.MapFS{"base.hcl": {Data: data}}, Name: "base.hcl"}}, nil); len(r.Diagnostics) > 0 {
		t.Error(r.Diagnostics)
	}
}
