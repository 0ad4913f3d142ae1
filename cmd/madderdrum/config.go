//go:build !platform

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/hexops/gotextdiff"
	"github.com/hexops/gotextdiff/myers"
	"github.com/hexops/gotextdiff/span"

	"example.org/madderdrum/config"
)

// exitStatus is an error that ends the program with this exit code and prints nothing.
type exitStatus int

func (s exitStatus) Error() string { return fmt.Sprintf("exit code %d", int(s)) }

// ExitCode returns the exit code of the program.
func (s exitStatus) ExitCode() int { return int(s) }

// The exit codes of check, fmt and diff.
const (
	exitDiffers  exitStatus = 1 // also: the configuration has errors
	exitUnusable exitStatus = 2 // the check could not be made, for instance because a file can't be read
)

// checkCommand reports all errors and warnings of a configuration.
type checkCommand struct {
	configFiles
	JSON bool `name:"json" help:"For editors and CI: one JSON object."`
}

// Help returns the detailed help text of `madderdrum check`.
func (checkCommand) Help() string {
	return `Reads the files with all that they include and tells every mistake at once, with its
line and with what to write instead. Exit code 0: sound, perhaps with warnings;
1: errors; 2: a file can't be read.`
}

// Run executes `madderdrum check`.
func (c *checkCommand) Run() error {
	cfg, report, err := config.LoadFiles(c.Files, c.Var)
	if err != nil {
		fmt.Fprintln(os.Stderr, "madderdrum:", err)
		return exitUnusable
	}
	if report.Err() == nil {
		checkPlugins(cfg, report)
	}
	errs, warnings := report.Count()
	if c.JSON {
		out := struct {
			Errors      int                 `json:"errors"`
			Warnings    int                 `json:"warnings"`
			Left        int                 `json:"left,omitempty"`
			Diagnostics []config.Diagnostic `json:"diagnostics"`
		}{errs, warnings, report.Omitted, report.Diagnostics}
		if out.Diagnostics == nil {
			out.Diagnostics = []config.Diagnostic{}
		}
		if err := writeJSON(os.Stdout, out); err != nil {
			return err
		}
	} else {
		report.Write(os.Stdout)
		switch {
		case errs+report.Omitted > 0:
			fmt.Printf("%d errors, %d warnings\n", errs+report.Omitted, warnings)
		default:
			f := cfg.Fleet
			fmt.Printf("sound: %d files, %d limiters, %d boxes, %d pools, %d routes, %d classes, %d plans; %d warnings\n",
				len(cfg.Files), len(f.Limiters), len(f.Boxes), len(cfg.Pools), len(cfg.Routes), len(f.Classes), len(f.Plans), warnings)
		}
	}
	if errs > 0 {
		return exitDiffers
	}
	return nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("writing JSON: %w", err)
	}
	return nil
}

// fmtCommand formats configuration files canonically.
type fmtCommand struct {
	Files []string `arg:"" optional:"" help:"Files; standard input if left out."`
	Write bool     `short:"w" help:"Write the files instead of standard output, and name those that change."`
	Diff  bool     `short:"d" help:"Show what would change; exit code 1 if anything."`
}

// Help returns the detailed help text of `madderdrum fmt`.
func (fmtCommand) Help() string {
	return `Sets blanks, columns and blank lines; comments and the meaning stay, which is checked
for each file before it is written. Exit code 1: with -d, something would change; 2: a
file can't be read as HCL, and is left as it is.`
}

// Run executes `madderdrum fmt`.
func (c *fmtCommand) Run() error {
	if len(c.Files) == 0 {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
		return c.formatFile("standard input", data)
	}
	var end error
	for _, path := range c.Files {
		data, err := os.ReadFile(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, "madderdrum:", err)
			end = exitUnusable
			continue
		}
		if err := c.formatFile(path, data); err != nil && end != exitUnusable {
			end = err
		}
	}
	return end
}

// formatFile formats the contents of one file and prints, compares or writes the result.
func (c *fmtCommand) formatFile(path string, data []byte) error {
	out, err := config.Format(data, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	same := bytes.Equal(data, out)
	switch {
	case c.Diff:
		if same {
			return nil
		}
		edits := myers.ComputeEdits(span.URIFromPath(path), string(data), string(out))
		fmt.Print(gotextdiff.ToUnified(path, path+" (formatted)", string(data), edits))
		return exitDiffers
	case c.Write:
		if same || len(c.Files) == 0 {
			return nil
		}
		if err := replaceFile(path, out); err != nil {
			return err
		}
		fmt.Println(path)
	default:
		os.Stdout.Write(out)
	}
	return nil
}

// replaceFile writes a temporary file in the same directory and renames it over the old one,
// so that neither a reader nor a full disk leaves a partially written file.
func replaceFile(path string, data []byte) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	f, err := os.CreateTemp(dirOf(path), ".fmt-")
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer os.Remove(f.Name()) // no effect after the rename
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(info.Mode().Perm()), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func dirOf(path string) string {
	if i := strings.LastIndexByte(path, os.PathSeparator); i >= 0 {
		return path[:i+1]
	}
	return "."
}

// diffCommand prints the semantic differences of two configurations.
type diffCommand struct {
	Before string            `arg:"" help:"Configuration file as it is now."`
	After  string            `arg:"" help:"Configuration file as it will be."`
	Var    map[string]string `placeholder:"NAME=VALUE" help:"Set a variable in both."`
	JSON   bool              `name:"json" help:"One JSON object."`
}

// Help returns the detailed help text of `madderdrum diff`.
func (diffCommand) Help() string {
	return `Compares what two configurations mean, not how they are written: layout, comments,
order, includes, variables, policies and spellings of units don't matter. Each change is
told with what it does, as safe, needs care or breaks, and whether it needs a restart;
for routes, which requests fare otherwise, with an example of each.
Exit code 0: they mean the same; 1: they differ; 2: one of them has errors.`
}

// Run executes `madderdrum diff`.
func (c *diffCommand) Run() error {
	var both [2]*config.Config
	for i, path := range []string{c.Before, c.After} {
		files := configFiles{Files: []string{path}, Var: c.Var}
		var err error
		if both[i], err = files.load(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUnusable
		}
	}
	d := config.Diff(both[0], both[1])
	if c.JSON {
		out := struct {
			Differs bool         `json:"differs"`
			Grade   config.Grade `json:"grade"`
			Restart bool         `json:"restart"`
			*config.Difference
		}{!d.Empty(), d.Grade(), d.Restart(), d}
		if err := writeJSON(os.Stdout, out); err != nil {
			return err
		}
	} else {
		d.Write(os.Stdout)
	}
	if !d.Empty() {
		return exitDiffers
	}
	return nil
}
