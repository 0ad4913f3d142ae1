package config

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
)

func loadText(t testing.TB, files map[string]string) *Config {
	t.Helper()
	m := fstest.MapFS{}
	for name, text := range files {
		m[name] = &fstest.MapFile{Data: []byte(text)}
	}
	c, r := Load([]Root{{FS: m, Name: "main.hcl"}}, nil)
	if err := r.Err(); err != nil {
		t.Fatalf("%v\n%v", err, files)
	}
	return c
}

// Equivalent spellings of a configuration give no difference, also after all files have
// been formatted, and formatting is idempotent.
func TestSameMeaning(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 1))
		original := randomSample(r)
		plain := loadText(t, original.write(nil))
		files := original.write(r)
		if d := Diff(plain, loadText(t, files)); !d.Empty() {
			t.Fatalf("seed %d: %+v\n%v", seed, d, files)
		}
		for name, text := range files {
			once, err := Format([]byte(text), name)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if twice, err := Format(once, name); err != nil || !bytes.Equal(once, twice) {
				t.Fatalf("seed %d: formatted twice is another text (%v):\n%s\n---\n%s", seed, err, once, twice)
			}
			if strings.Count(text, "#") != strings.Count(string(once), "#") {
				t.Fatalf("seed %d: comments are lost:\n%s\n---\n%s", seed, text, once)
			}
			files[name] = string(once)
		}
		if d := Diff(plain, loadText(t, files)); !d.Empty() {
			t.Fatalf("seed %d, formatted: %+v\n%v", seed, d, files)
		}
	}
}

// mutate changes one random field of a sample and returns its block and name.
func (s *sample) mutate(r *rand.Rand) (block, field string) {
	for {
		b := &s.blocks[r.IntN(len(s.blocks))]
		if len(b.fields) == 0 {
			continue
		}
		f := &b.fields[r.IntN(len(b.fields))]
		block, field = strings.TrimSpace(b.kind+" "+b.name), f.name
		switch {
		case f.name == "share", f.unit == "map", f.name == "room", f.name == "members":
			continue // would need a second change to stay valid
		case f.unit == "list":
			f.list = append(slices.Clone(f.list), "PUT")
		case f.name == "repeat":
			f.text = map[string]string{"safe": "unsafe", "unsafe": "safe"}[f.text]
		case f.name == "pool":
			f.text = map[string]string{"main": "rest", "rest": "main"}[f.text]
		case f.name == "path":
			f.text = "/elsewhere" + f.text
		case f.unit == "text":
			f.text = strings.Replace(f.text, ":", ":1", 1) // an address: 18000 for 8000
		case f.name == "ceiling_rate", f.name == "burst", f.name == "queue", f.name == "slots", f.name == "worth", f.name == "deadline", f.name == "ceiling_burst":
			f.num++
		case f.unit == "B":
			f.num += 512
		default:
			f.num += 0.5
			if f.name == "attempts" || f.name == "units" {
				f.num += 0.5
			}
		}
		return block, field
	}
}

// A single change of meaning is reported as exactly one change, even if the two versions are
// written differently; for routes, the moved requests are reported as well.
func TestOneChange(t *testing.T) {
	changedFields := map[string]int{}
	for seed := range uint64(600) {
		r := rand.New(rand.NewPCG(seed, 2))
		s := randomSample(r)
		before := loadText(t, s.write(r))
		block, field := s.mutate(r)
		after := loadText(t, s.write(r))
		d := Diff(before, after)
		if len(d.Changes) != 1 || d.Changes[0].Block != block || d.Changes[0].Field != field {
			t.Fatalf("seed %d: changed %s of %s, told %+v", seed, field, block, d.Changes)
		}
		if c := d.Changes[0]; c.Effect == "" || c.Grade == "" || c.Before == c.After || strings.Contains(c.String(), "%!") {
			t.Fatalf("seed %d: %+v", seed, c)
		}
		if reverse := Diff(after, before); len(reverse.Changes) != 1 {
			t.Fatalf("seed %d: backwards %+v", seed, reverse.Changes)
		}
		if strings.HasPrefix(block, "route ") && (field == "pool" || field == "path" || field == "deadline") && len(d.Moves) == 0 {
			t.Fatalf("seed %d: %s of %s moves no request", seed, field, block)
		}
		if !strings.HasPrefix(block, "route ") && len(d.Moves) > 0 {
			t.Fatalf("seed %d: %s of %s moves requests: %+v", seed, field, block, d.Moves)
		}
		changedFields[strings.Fields(block)[0]+"."+field]++
	}
	if len(changedFields) < 20 {
		t.Errorf("only %d kinds of changes were tried: %v", len(changedFields), changedFields)
	}
}

// The report on a change has the exact text shown to operators.
func TestEffects(t *testing.T) {
	base, err := os.ReadFile("testdata/base.hcl")
	if err != nil {
		t.Fatal(err)
	}
	pools := "\npool \"main\" {\n  members = [\"a0\", \"a1\"]\n}\npool \"bulk\" {\n  members = [\"a2\", \"a3\"]\n}\n" +
		"route \"all\" {\n  pool = \"main\"\n}\nroute \"api\" {\n  path = \"/api/\"\n  pool = \"main\"\n}\nroute \"bulk\" {\n  path = \"/api/bulk/\"\n  pool = \"bulk\"\n}\n"
	text := string(base) + pools
	before := loadText(t, map[string]string{"main.hcl": text})
	for _, tc := range []struct {
		name, from, to string
		want           string // the whole report
	}{
		{"a lower ceiling", `ceiling_rate  = "15/s"`, `ceiling_rate = "9/s"`, "plan business: ceiling_rate 15/s -> 9/s: accounts above 9/s are cut [needs care]\n1 changes: needs care\n"},
		{"a higher one", `ceiling_rate  = "15/s"`, `ceiling_rate = "1200/m"`, "plan business: ceiling_rate 15/s -> 20/s: accounts may use up to 20/s [safe]\n1 changes: safe\n"},
		{"the same in another unit", `ceiling_rate  = "15/s"`, `ceiling_rate = "900/m"`, "no difference in meaning\n"},
		{"a default written out", `  burst = 7`, "  burst = 7\n  price = 1", "no difference in meaning\n"},
		{"a limiter's address", `listen = "127.0.0.1:8081"`, `listen = "127.0.0.1:8082"`, "limiter n1: listen 127.0.0.1:8081 -> 127.0.0.1:8082: holds from the next start on [needs care] [at the next start]\n1 changes: needs care; needs a restart\n"},
		{"a class that goes", "class \"reminder\" {", "class \"remind\" {", "class reminder: is gone: requests that name it are answered 400; those in hand end as they began [breaks]\nclass remind: is new: requests may name it [safe]\n2 changes: breaks\n"},
		{"priorities turn", "route \"api\" {", "route \"api\" {\n  methods  = [\"GET\"]\n  priority = 1",
			"route api: priority 0 -> 1: see below which requests fare otherwise [safe]\nroute api: methods = GET is new: see below which requests fare otherwise [safe]\n" +
				"requests such as GET */api/bulk/any: pool bulk -> pool main [needs care]\n2 changes: needs care\n"},
		{"a route less", "route \"all\" {\n  pool = \"main\"\n}\n", "", "route all: is gone: see below where its requests go [safe]\nrequests such as GET */any: pool main -> 404 [breaks]\n1 changes: breaks\n"},
		{"a box moves", `["a2", "a3"]`, `["a3"]`, "pool bulk: members a2, a3 -> a3: its requests go to a3 [needs care]\n1 changes: needs care\n"},
		{"fewer attempts", `path = "/api/bulk/"`, "path = \"/api/bulk/\"\n  attempts = 1", "route bulk: attempts = 1 is new: no more than 1 attempts [needs care]\nrequests such as GET */api/bulk/any: pool bulk -> pool bulk, attempts 1 [needs care]\n1 changes: needs care\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			changed := strings.Replace(text, tc.from, tc.to, 1)
			var got bytes.Buffer
			Diff(before, loadText(t, map[string]string{"main.hcl": changed})).Write(&got)
			if got.String() != tc.want {
				t.Errorf("got:\n%s\nwant:\n%s", got.String(), tc.want)
			}
		})
	}
}

// Format normalizes the layout and preserves comments, heredocs and templates.
func TestFormat(t *testing.T) {
	for _, tc := range []struct{ name, in, want string }{
		{"columns", "a \"x\" {\nb=1\n  long_name  =   2 # why\n}\n", "a \"x\" {\n  b         = 1\n  long_name = 2 # why\n}\n"},
		{"blank lines", "\n\n\na {\n\n\n  b = 1\n\n\n\n  c = 2\n\n}\n\n\n\nd {}\n\n\n", "a {\n  b = 1\n\n  c = 2\n}\n\nd {}\n"},
		{"comments", "# first\n\n\n# second\na {} // third\n/* fourth */\n", "# first\n\n# second\na {} // third\n/* fourth */\n"},
		{"carriage returns", "a {\r\n  b = 1\r\n}\r\n", "a {\n  b = 1\n}\n"},
		{"no end of line", "a {}", "a {}\n"},
		{"nothing", "\n\n", ""},
		{"here-document", "a {\n  b = <<E\n\n\n  kept  \n\nE\n}\n", "a {\n  b = <<E\n\n\n  kept  \n\nE\n}\n"},
		{"template", "a {\n  b = \"x${ local.y }z\"\n}\n", "a {\n  b = \"x${local.y}z\"\n}\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := Format([]byte(tc.in), "f.hcl")
			if err != nil || string(got) != tc.want {
				t.Errorf("%v\n%q\nwant\n%q", err, got, tc.want)
			}
		})
	}
	if _, err := Format([]byte("a {"), "f.hcl"); err == nil || !strings.Contains(err.Error(), "f.hcl:1:3") {
		t.Errorf("a file that can't be read: %v", err)
	}
}

// All configuration files in the repository are in canonical layout.
func TestDeployFilesAreFormatted(t *testing.T) {
	paths, err := filepath.Glob("../deploy/*.hcl")
	if err != nil {
		t.Fatal(err)
	}
	examples, err := filepath.Glob("../deploy/examples/*/*.hcl")
	if err != nil {
		t.Fatal(err)
	}
	paths = append(paths, examples...)
	for _, path := range append(paths, "testdata/base.hcl") {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if out, err := Format(data, path); err != nil || !bytes.Equal(out, data) {
			t.Errorf("%s is not in the usual form: %v", path, err)
		}
	}
	if len(paths) < 4 {
		t.Errorf("only %d files", len(paths))
	}
}

// BenchmarkCheck measures Load with 100 to 100,000 routes.
func BenchmarkCheck(b *testing.B) {
	base, err := os.ReadFile("testdata/base.hcl")
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		var text strings.Builder
		text.Write(base)
		text.WriteString("\npool \"main\" {\n  members = [\"a*\"]\n}\n")
		for i := range n {
			fmt.Fprintf(&text, "route \"t%d\" {\n  host     = \"h%d.example\"\n  path     = \"/service%d/\"\n  deadline = \"2s\"\n}\n", i, i%50, i/50)
		}
		m := fstest.MapFS{"main.hcl": {Data: []byte(text.String())}}
		b.Run(fmt.Sprintf("routes-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, r := Load([]Root{{FS: m, Name: "main.hcl"}}, nil); len(r.Diagnostics) > 0 {
					b.Fatal(r.Diagnostics[0])
				}
			}
		})
	}
}
