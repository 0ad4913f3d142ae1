//go:build !platform

package main

import (
	"bytes"
	"context"
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"text/template"

	"example.org/madderdrum"
	"example.org/madderdrum/plugin"
)

//go:embed scaffold/*.tmpl
var scaffold embed.FS

// pluginNewCommand creates the source folder of a new plug-in from the scaffold.
type pluginNewCommand struct {
	Dir string `arg:"" help:"Folder to be made; its name is the plug-in's." type:"path"`
}

// Help returns the detailed help text of `madderdrum plugin new`.
func (pluginNewCommand) Help() string {
	return `Makes a folder with a rule in Go, its test, requests to try it on, the block for the
limiter's configuration, and the kit that it is built with. It needs the Go tool chain
and nothing else:

  madderdrum plugin new friday
  cd friday && go test . && madderdrum plugin build . && madderdrum plugin test friday.wasm -r requests.jsonl`
}

var pluginName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,63}$`)

// Run executes `madderdrum plugin new`.
func (c *pluginNewCommand) Run() error {
	name := filepath.Base(c.Dir)
	if !pluginName.MatchString(name) {
		return fmt.Errorf("%s: %q can't be a plug-in's name; use small letters, digits and dashes, a letter first", c.Dir, name)
	}
	if err := os.Mkdir(c.Dir, 0o755); err != nil {
		if errors.Is(err, fs.ErrExist) {
			return fmt.Errorf("%s is there already; nothing was written", c.Dir)
		}
		return fmt.Errorf("new plug-in: %w", err)
	}
	files := map[string][]byte{
		"go.mod": []byte("module " + name + "\n\ngo " + madderdrum.GoVersion + "\n\nrequire example.org/madderdrum v0.0.0\n\n" +
			"// The kit, as this version of madderdrum has it.\nreplace example.org/madderdrum => ./kit\n"),
		"kit/go.mod": []byte("module example.org/madderdrum\n\ngo " + madderdrum.GoVersion + "\n"),
		".gitignore": []byte("*.wasm\n"),
	}
	templates, err := template.ParseFS(scaffold, "scaffold/*.tmpl")
	if err != nil {
		return fmt.Errorf("new plug-in: %w", err)
	}
	for _, t := range templates.Templates() {
		var b bytes.Buffer
		if err := t.Execute(&b, struct{ Name string }{name}); err != nil {
			return fmt.Errorf("new plug-in: %w", err)
		}
		files[strings.TrimSuffix(t.Name(), ".tmpl")] = b.Bytes()
	}
	err = fs.WalkDir(madderdrum.Kit, ".", func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files["kit/"+path], err = fs.ReadFile(madderdrum.Kit, path)
		return err
	})
	if err != nil {
		return fmt.Errorf("new plug-in: %w", err)
	}
	for path, data := range files {
		path = filepath.Join(c.Dir, filepath.FromSlash(path))
		err := os.MkdirAll(filepath.Dir(path), 0o755)
		if err == nil {
			err = os.WriteFile(path, data, 0o644)
		}
		if err != nil {
			return fmt.Errorf("new plug-in: %w", err)
		}
	}
	fmt.Printf("made %s: the rule is in main.go, its test in main_test.go\nbuild it: madderdrum plugin build %s\n", c.Dir, c.Dir)
	return nil
}

// pluginBuildCommand compiles a plug-in written in Go to WebAssembly and checks its ABI.
type pluginBuildCommand struct {
	Dir string `arg:"" default:"." help:"Folder of the plug-in's package main." type:"path"`
	Out string `short:"o" help:"The module; NAME.wasm in that folder if left out." placeholder:"FILE" type:"path"`
}

// Help returns the detailed help text of `madderdrum plugin build`.
func (pluginBuildCommand) Help() string {
	return `Builds a plug-in in Go with the Go tool chain (GOOS=wasip1, a reactor module), and
tells whether it fits the ABI. A module in another language needs only what
docs/plugins-abi.md says; see plugin inspect.`
}

// Run executes `madderdrum plugin build`.
func (c *pluginBuildCommand) Run() error {
	if info, err := os.Stat(c.Dir); err != nil || !info.IsDir() {
		return fmt.Errorf("plugin build %s: not a folder with a plug-in's package main", c.Dir)
	}
	if c.Out == "" {
		c.Out = filepath.Join(c.Dir, filepath.Base(c.Dir)+".wasm")
	}
	build := exec.Command("go", "build", "-buildmode=c-shared", "-trimpath", "-ldflags=-s -w", "-o", c.Out, ".")
	build.Dir = c.Dir
	build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm", "GOWORK=off")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		return fmt.Errorf("plugin build %s: go build: %w", c.Dir, err)
	}
	data, err := os.ReadFile(c.Out)
	if err != nil {
		return fmt.Errorf("plugin build: %w", err)
	}
	r, err := plugin.Inspect(context.Background(), data)
	if err == nil {
		err = r.Problem
	}
	if err != nil {
		return fmt.Errorf("%s was built, but as a plug-in it %w", c.Out, err)
	}
	fmt.Printf("%s: %d KiB, memory of an instance from %d KiB on; it fits the ABI\n", c.Out, r.Bytes>>10, r.MinMemory>>10)
	return nil
}
