//go:build !platform

package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"example.org/madderdrum/durable"
	"example.org/madderdrum/internal/memory"
	"example.org/madderdrum/internal/node"
	"example.org/madderdrum/limiter"
)

// stateCommand groups the commands that read the saved state in the folder of a memory block.
type stateCommand struct {
	Show   stateShow   `cmd:"" help:"Summarize what limiters would resume from, and how far it is trusted now."`
	Verify stateVerify `cmd:"" help:"Check every file of a folder; exit code 1 if one is damaged."`
	Export stateExport `cmd:"" help:"Write everything that is remembered as JSON."`
}

// stateFolder is the folder argument of the state commands.
type stateFolder struct {
	Folder string `arg:"" help:"The folder of a memory block, or one limiter's folder in it. A running limiter is not disturbed." type:"path"`
}

type stateShow struct {
	stateFolder
	Config []string `help:"Configuration files, by which boxes and pools have their names." placeholder:"FILE" type:"path"`
}

// Run executes `madderdrum state show`.
func (c *stateShow) Run() error {
	views, err := memory.Inspect(c.Folder)
	if err != nil {
		return err
	}
	names := map[uint64]string{0: "that has no name"}
	if len(c.Config) > 0 {
		cfg, err := (&configFiles{Files: c.Config}).load()
		if err != nil {
			return err
		}
		for _, b := range cfg.Fleet.Boxes {
			names[node.ServerID(b.Name)] = b.Name
		}
		for _, p := range poolNames(cfg) {
			names[node.PoolID(p)] = p
		}
	}
	for i := range views {
		if i > 0 {
			fmt.Println()
		}
		if err := showState(os.Stdout, &views[i], names); err != nil {
			return err
		}
	}
	return nil
}

func showState(w io.Writer, v *memory.View, names map[uint64]string) error {
	name := func(id uint64) string { return cmp.Or(names[id], fmt.Sprintf("%016x", id)) }
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "folder\t%s\n", v.Folder)
	if v.Memory == nil {
		fmt.Fprintf(t, "resumes\tnothing: a limiter would start fresh\n")
		for _, note := range v.Found.Notes {
			fmt.Fprintf(t, "ignored\t%s\n", note)
		}
		return t.Flush()
	}
	s, m := v.Found.Stamp, v.Trusted
	fmt.Fprintf(t, "limiter\t%s\n", s.Owner)
	fmt.Fprintf(t, "snapshot\tgeneration %d, written %s, %s old\n", s.Generation, time.UnixMilli(s.WallMs).Format(time.RFC3339), v.Found.Age.Round(time.Second))
	for _, f := range v.Listing.Files {
		if !f.Snapshot && f.Stamp.Generation == s.Generation {
			fmt.Fprintf(t, "log\t%d records, %s\n", f.Records, f.End)
		}
	}
	for _, note := range v.Found.Notes {
		fmt.Fprintf(t, "ignored\t%s\n", note)
	}
	fmt.Fprintf(t, "quotas\t%s\n", describeQuotas(v))
	for k, name := range v.Classes {
		if k < len(m.Usual) && m.Usual[k].Votes > 0 {
			fmt.Fprintf(t, "deadline of %s\t%.0f ms\n", name, m.Usual[k].Ms)
		}
	}
	for _, p := range m.Pools {
		var work []string
		for k, x := range p.Work {
			if x.Seen > 0 && k < len(v.Classes) {
				work = append(work, fmt.Sprintf("%s %.0f ms", v.Classes[k], x.Ms))
			}
		}
		fmt.Fprintf(t, "pool %s\twork: %s; refused of late %.0f%%\n", name(p.ID), strings.Join(work, ", "), 100*p.Pressure)
	}
	unhealthy := v.UnhealthyBoxes()
	fmt.Fprintf(t, "boxes\t%d, %d of them with something amiss\n", len(m.Boxes), len(unhealthy))
	for i := range unhealthy {
		fmt.Fprintf(t, "box %s\t%s\n", name(unhealthy[i].ID), describeProblems(&unhealthy[i], v.Classes))
	}
	return t.Flush()
}

// describeQuotas describes the account quotas that a successor process would resume.
func describeQuotas(v *memory.View) string {
	h := v.Trusted.Handover
	switch {
	case h == nil && v.Found.CopiedOrRebooted:
		return "fresh: the files are copies, or the machine has started anew"
	case h == nil:
		return "fresh: another limiter resumed from them, or a file is missing"
	case h.HeadMs == 0:
		return fmt.Sprintf("%d accounts, handed over %.1f s ago; once", len(h.Accounts), h.DownMs/1000)
	}
	return fmt.Sprintf("%d accounts with a headroom for %.1f s, if the limiter is killed; once", len(h.Accounts), h.HeadMs/1000)
}

func describeProblems(b *limiter.BoxMemory, classes []string) string {
	var all []string
	if b.Down {
		all = append(all, "down")
	}
	if b.BackMs > 0 {
		all = append(all, fmt.Sprintf("back for %.1f s, warming up", b.BackMs/1000))
	}
	if x := b.Slowness(); x >= 1.5 {
		all = append(all, fmt.Sprintf("%.1f times as slow as usual", x))
	}
	for k, e := range b.Ills {
		switch {
		case k >= len(classes):
		case e.LeftMs > 0:
			all = append(all, fmt.Sprintf("%s kept off for %.1f s", classes[k], e.LeftMs/1000))
		case e.Failures > 0:
			all = append(all, fmt.Sprintf("%s failed lately", classes[k]))
		}
	}
	return strings.Join(all, ", ")
}

type stateVerify struct{ stateFolder }

// errDamaged makes `state verify` exit with code 1 after it has listed the damaged files.
var errDamaged = errors.New("a file is damaged; limiters ignore it")

// Run executes `madderdrum state verify`.
func (c *stateVerify) Run() error {
	views, err := memory.Inspect(c.Folder)
	if err != nil {
		return err
	}
	bad := false
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for i := range views {
		v := &views[i]
		for _, f := range v.Listing.Files {
			verdict := "sound"
			switch {
			case errors.Is(f.Err, durable.ErrVersion):
				verdict = "not read: " + f.Err.Error()
			case f.Err != nil:
				verdict = f.Err.Error()
			case f.End == durable.EndTruncated:
				verdict = "sound up to its last whole record; cut off there, or being written"
			}
			fmt.Fprintf(t, "%s/%s\t%d records\t%s\n", v.Folder, f.Name, f.Records, verdict)
		}
		for _, name := range v.Listing.UnknownFiles {
			fmt.Fprintf(t, "%s/%s\t\tnot a file of ours; limiters leave it alone\n", v.Folder, name)
		}
		if v.Err != nil {
			fmt.Fprintf(t, "%s\t\t%v\n", v.Folder, v.Err)
		}
		bad = bad || v.Check() != nil
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if bad {
		return errDamaged
	}
	return nil
}

type stateExport struct{ stateFolder }

// exportedState is the JSON export of one limiter's memory. Times are in ms before Written unless
// their names say otherwise.
type exportedState struct {
	Limiter    string          `json:"limiter"`
	Generation uint64          `json:"generation"`
	Written    time.Time       `json:"written"`
	AgeMs      int64           `json:"age_ms"`
	Classes    []string        `json:"classes"`
	Memory     *limiter.Memory `json:"memory"`
	Notes      []string        `json:"notes,omitempty"`
}

// Run executes `madderdrum state export`.
func (c *stateExport) Run() error {
	views, err := memory.Inspect(c.Folder)
	if err != nil {
		return err
	}
	all := []exportedState{}
	for i := range views {
		v := &views[i]
		if v.Memory == nil {
			return fmt.Errorf("%s: no usable snapshot; see madderdrum state verify", v.Folder)
		}
		s := v.Found.Stamp
		all = append(all, exportedState{s.Owner, s.Generation, time.UnixMilli(s.WallMs), v.Found.Age.Milliseconds(), v.Classes, v.Memory, v.Found.Notes})
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	if err := out.Encode(all); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}
