package main

import (
	"debug/elf"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// deployValue returns the value of a key in the deploy file.
func deployValue(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("deploy/balancer.toml names no %s", key)
	}
	return string(m[1])
}

// TestPlatformProgramIsDynamic checks two requirements of the platform, which preloads a library into each
// limiter: the program is linked dynamically against the C library, and the command in run replaces its
// shell by exec.
func TestPlatformProgramIsDynamic(t *testing.T) {
	if run := deployValue(t, "run"); !strings.HasPrefix(run, "exec ") || strings.ContainsAny(run, "&|;") {
		t.Errorf("run is %q: it must be a single command that starts with exec", run)
	}
	build := deployValue(t, "build")
	at := strings.Index(build, "CGO_ENABLED=1 go build ")
	if at < 0 {
		t.Fatalf("build is %q: it must set CGO_ENABLED=1", build)
	}
	bin := filepath.Join(t.TempDir(), "madderdrum")
	line := strings.NewReplacer("-o bin/", "-o "+bin, "./cmd/...", "./cmd/madderdrum").Replace(build[at:])
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	f, err := elf.Open(bin)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("the program needs %v (%v): want the C library", libs, err)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program names no dynamic loader")
	}
}

// refusedCalls lists functions whose system calls the platform rejects with ENOSYS. Some only lead to them
// if both sides are sockets or files: io.Copy and ReadFrom then use splice or sendfile.
var refusedCalls = map[string][]string{
	"os":      {"StartProcess"},
	"syscall": {"ForkExec", "StartProcess", "Exec", "Splice", "Sendfile"},
	"io":      {"Copy", "CopyN", "CopyBuffer"},
	"net":     {"DialUnix", "ListenUnix", "ListenUnixgram"},
}

// TestPlatformProgramAsksForNothingRefused checks in the sources of this module that the platform's limiter
// starts no other program, opens no Unix socket and uses neither splice nor sendfile: io.Copy only copies
// to io.Discard, which reads without splice, and os/exec is not linked.
func TestPlatformProgramAsksForNothingRefused(t *testing.T) {
	list := exec.Command("go", "list", "-deps", "-tags", "platform", "-f",
		`{{.ImportPath}} {{if .Module}}{{if .Module.Main}}{{$d := .Dir}}{{range .GoFiles}}{{$d}}/{{.}} {{end}}{{end}}{{end}}`, ".")
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	files := 0
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		if fields[0] == "os/exec" {
			t.Error("os/exec is linked into the platform's limiter")
		}
		for _, path := range fields[1:] {
			files++
			checkRefused(t, path)
		}
	}
	if files < 20 {
		t.Errorf("only %d files were checked", files)
	}
}

func checkRefused(t *testing.T, path string) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if s, _ := strconv.Unquote(lit.Value); s == "unix" || s == "unixgram" || s == "unixpacket" {
				t.Errorf("%v: a Unix socket", fset.Position(n.Pos()))
			}
		}
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		sel, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if sel.Sel.Name == "ReadFrom" {
			t.Errorf("%v: ReadFrom of a connection may splice", fset.Position(n.Pos()))
		}
		if x, ok := sel.X.(*ast.Ident); ok && slices.Contains(refusedCalls[x.Name], sel.Sel.Name) {
			if to, ok := call.Args[0].(*ast.SelectorExpr); !ok || to.Sel.Name != "Discard" {
				t.Errorf("%v: %s.%s", fset.Position(n.Pos()), x.Name, sel.Sel.Name)
			}
		}
		return true
	})
}

// TestLogLevel checks that NODE_LOG is a known level or empty, and that anything else is an error.
func TestLogLevel(t *testing.T) {
	for text, ok := range map[string]bool{"": true, "debug": true, "WARN": true, "loud": false} {
		if _, err := logLevel(func(string) string { return text }); (err == nil) != ok {
			t.Errorf("NODE_LOG=%q: %v", text, err)
		}
	}
}
