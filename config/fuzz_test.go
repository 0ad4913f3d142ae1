package config

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"golang.org/x/tools/txtar"

	"example.org/madderdrum/limiter"
)

// FuzzLoad loads, formats and compares arbitrary files. Nothing panics, limiters accept
// every valid configuration, and formatting is idempotent and preserves the meaning. The
// seeds are the broken files.
func FuzzLoad(f *testing.F) {
	paths, err := filepath.Glob("testdata/broken/*.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, p := range paths {
		archive, err := txtar.ParseFile(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(archive.Files[0].Data, []byte("# included\n"))
	}
	base, err := os.ReadFile("testdata/base.hcl")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(base, []byte("include \"main.hcl\" {}\n"))
	f.Fuzz(func(t *testing.T, main, included []byte) {
		start := time.Now()
		defer func() {
			if elapsed := time.Since(start); elapsed > 5*time.Second {
				t.Errorf("took %v for %d bytes", elapsed, len(main)+len(included))
			}
		}()
		files := fstest.MapFS{"main.hcl": {Data: main}, "more.hcl": {Data: included}, "base.hcl": {Data: base}}
		cfg, r := Load([]Root{{FS: files, Name: "main.hcl"}}, nil)
		r.Write(&bytes.Buffer{})
		out, err := Format(main, "main.hcl")
		if err == nil {
			if twice, err := Format(out, "main.hcl"); err != nil || !bytes.Equal(out, twice) {
				t.Errorf("formatted twice: %v\n%q\n%q", err, out, twice)
			}
		}
		if cfg == nil {
			if r.Err() == nil {
				t.Error("no configuration and no error")
			}
			return
		}
		for i := range cfg.Fleet.Limiters {
			if _, err := limiter.New(cfg.Fleet.Settings(i), 1); err != nil {
				t.Errorf("accepted, but a limiter does not take it: %v", err)
			}
		}
		if err != nil {
			t.Errorf("sound, but can't be formatted: %v", err)
		}
		files["main.hcl"] = &fstest.MapFile{Data: out}
		reloaded, r := Load([]Root{{FS: files, Name: "main.hcl"}}, nil)
		if err := r.Err(); err != nil {
			t.Fatalf("sound, but not when it is formatted: %v", err)
		}
		if d := Diff(cfg, reloaded); !d.Empty() {
			t.Errorf("formatting changes the meaning: %+v", d)
		}
	})
}

// Files crafted to exhaust time or memory, such as nested includes and doubling strings, are
// processed within a memory bound.
func TestBombs(t *testing.T) {
	base, err := os.ReadFile("testdata/base.hcl")
	if err != nil {
		t.Fatal(err)
	}
	doubling := "locals {\n  a0 = \"xxxxxxxxxx\"\n"
	for i := range 200 {
		doubling += fmt.Sprintf("  a%d = \"${local.a%d}${local.a%d}\"\n", i+1, i, i)
	}
	includes := fstest.MapFS{"main.hcl": {Data: []byte("include \"a/*.hcl\" {}\n")}}
	for i := range 40 { // each includes all others: following every path would take exponential time
		includes[fmt.Sprintf("a/%d.hcl", i)] = &fstest.MapFile{Data: []byte("include \"*.hcl\" {}\n")}
	}
	deepIncludes := fstest.MapFS{"main.hcl": {Data: []byte("include \"0.hcl\" {}\n")}}
	for i := range 2000 {
		deepIncludes[fmt.Sprintf("%d.hcl", i)] = &fstest.MapFile{Data: []byte(fmt.Sprintf("include \"%d.hcl\" {}\n", i+1))}
	}
	singleFile := func(text string) fstest.MapFS { return fstest.MapFS{"main.hcl": {Data: []byte(text)}} }
	routes := func(n int, format string) fstest.MapFS {
		var b strings.Builder
		b.Write(base)
		for i := range n {
			fmt.Fprintf(&b, format, i)
		}
		return singleFile(b.String())
	}
	for _, tc := range []struct {
		name  string
		files fstest.MapFS
	}{
		{"doubling", singleFile(doubling + "}\nroute \"r\" {\n  path = \"/${local.a200}\"\n}\n")},
		{"includes of all by all", includes},
		{"includes in a row", deepIncludes},
		{"brackets", singleFile("locals {\n  x = " + strings.Repeat("[", 1<<20) + "\n}\n")},
		{"blocks in blocks", singleFile(strings.Repeat("a {\n", 1<<18))},
		{"signs", singleFile("locals {\n  x = " + strings.Repeat("-", 1<<20) + "1\n}\n")},
		{"choices", singleFile("locals {\n  x = " + strings.Repeat("true ? 1 : ", 1<<17) + "1\n}\n")},
		{"templates", singleFile("locals {\n  x = " + strings.Repeat("\"${", 1<<17) + "\n}\n")},
		{"routes all alike", routes(2000, "route \"t%d\" {\n}\n")},
		{"routes, each of one account", routes(20_000, "route \"t%d\" {\n  accounts = [\"%[1]x\"]\n}\n")},
		{"a cycle of many locals", func() fstest.MapFS {
			var b strings.Builder
			b.WriteString("locals {\n")
			for i := range 5000 {
				fmt.Fprintf(&b, "  a%d = local.a%d\n", i, (i+1)%5000)
			}
			return singleFile(b.String() + "}\n")
		}()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			start := time.Now()
			_, r := Load([]Root{{FS: tc.files, Name: "main.hcl"}}, nil)
			runtime.ReadMemStats(&after)
			const maxAllocated = 2 << 30 // bytes allocated in total, not at once
			if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocated {
				t.Errorf("%d MiB allocated", got>>20)
			}
			if len(r.Diagnostics) > maxDiagnostics {
				t.Errorf("%d diagnostics", len(r.Diagnostics))
			}
			t.Logf("%v, %d MiB, %d diagnostics", time.Since(start).Round(time.Millisecond), (after.TotalAlloc-before.TotalAlloc)>>20, len(r.Diagnostics)+r.Omitted)
		})
	}
}
