//go:build !platform

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/internal/planner"
	"example.org/madderdrum/internal/replay"
)

// capacityCommand forecasts demand and computes how many boxes a fleet needs.
type capacityCommand struct {
	Fleet      string        `arg:"" optional:"" help:"Configuration or fleet file (HCL); the built-in fleet of Bluebird Text if left out." type:"path"`
	Trace      []string      `help:"Trace files of what was asked for, in any layout that replay reads; the built-in Friday if left out." placeholder:"FILE"`
	Schema     string        `short:"s" help:"Layout of the files; see replay."`
	Rate       float64       `help:"Scale the record to so many requests a second in the mean, such as 255; as it is if left out."`
	Duplicates string        `default:"refuse" enum:"refuse,keep,drop" help:"What becomes of rows that are there twice: refuse, keep or drop."`
	Reorder    time.Duration `help:"Accept rows that are so much older than those before them, and put them in order."`
	Begins     string        `default:"Mon 00:00" help:"Day and hour of the trace's first arrival, by the local clock."`
	From       time.Duration `help:"Begin so long after the trace's first arrival."`
	For        time.Duration `help:"Take so much of the trace; to its end if left out."`
	Confidence float64       `default:"0.95" help:"Share of the record's bins that the forecast stays above."`
	Goal       float64       `default:"0.97" help:"Share of the worth asked for within quota that is to be served."`
	Boxes      int           `help:"What if there were so many boxes in all, in the rooms' proportion?"`
	Without    string        `help:"What if this room were away?" placeholder:"ROOM"`
	Plan       []string      `help:"What if a plan were another, such as business.rate=9/s? Fields: rate, burst, ceiling_rate, ceiling_burst." placeholder:"PLAN.FIELD=VALUE"`
	Replay     int           `help:"Replay the hour that binds on so many random days with the boxes that the plan asks for, and with one fewer in each room, a room lost." placeholder:"DAYS"`
	JSON       string        `help:"Write the plan as JSON." placeholder:"FILE"`
	HTML       string        `help:"Write the plan as one HTML page with charts." placeholder:"FILE"`
}

// Help returns the detailed help text of `madderdrum capacity`.
func (capacityCommand) Help() string {
	return `Forecasts what is asked for by the hour from a record, and says how many boxes that takes,
what the fleet serves, also without each of its rooms, and what one more box is worth.

  madderdrum capacity                                   the built-in fleet and Friday
  madderdrum capacity prod.hcl --trace week.csv.gz -s MAPPING.hcl --begins "Mon 00:00"
  madderdrum capacity prod.hcl --trace week.csv.gz --without room-a --boxes 16
  madderdrum capacity --replay 100                      is the promise kept?`
}

// Run executes `madderdrum capacity`.
func (c *capacityCommand) Run() error {
	switch {
	case !(c.Goal > 0 && c.Goal <= 1):
		return fmt.Errorf("--goal %g: a share of the worth above 0 and up to 1, such as 0.97", c.Goal)
	case !(c.Confidence > 0 && c.Confidence < 1):
		return fmt.Errorf("--confidence %g: from 0 to 1, such as 0.95", c.Confidence)
	case c.Rate < 0 || c.Rate > 1e9:
		return fmt.Errorf("--rate %g: requests a second, above 0", c.Rate)
	case c.Boxes < 0 || c.Boxes > 1_000_000:
		return fmt.Errorf("--boxes %d: from 1 to 1000000", c.Boxes)
	case c.Replay < 0 || c.Replay > 10_000:
		return fmt.Errorf("--replay %d: from 1 to 10000 days", c.Replay)
	}
	begins, err := parseWeekTime(c.Begins)
	if err != nil {
		return fmt.Errorf("--begins: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	input := replayCommand{Trace: c.Trace, Schema: c.Schema, Fleet: c.Fleet, Rate: "trace", From: c.From, For: c.For, Speed: 1, Seed: 1, Seeds: 1, Duplicates: c.Duplicates, Reorder: c.Reorder, Policy: []string{"limiter"}}
	options, err := input.options()
	if err != nil {
		return err
	}
	if err := applyPlanChanges(options.Fleet, c.Plan); err != nil {
		return fmt.Errorf("--plan: %w", err)
	}
	bar := newProgress()
	plan, err := replay.Prepare(ctx, *options, bar.showRead)
	bar.clear()
	if err != nil {
		return err
	}
	forecast, err := planner.New(plan, planner.Options{Begins: begins, Confidence: c.Confidence, Goal: c.Goal, ExcludedRoom: c.Without, Boxes: c.Boxes, Rate: c.Rate})
	if err != nil {
		return err
	}
	if err := forecast.Text(os.Stdout); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	if c.JSON != "" {
		if err := saveFile(c.JSON, forecast.Write); err != nil {
			return fmt.Errorf("--json: %w", err)
		}
	}
	if c.HTML != "" {
		if err := saveFile(c.HTML, forecast.HTML); err != nil {
			return fmt.Errorf("--html: %w", err)
		}
	}
	if c.Replay == 0 {
		return nil
	}
	need := forecast.Hours[forecast.Binding].BoxesLoss
	for _, boxes := range []int{need, need - len(options.Fleet.Rooms)} {
		if boxes < len(options.Fleet.Rooms) {
			continue
		}
		result, err := forecast.Replay(ctx, options.Fleet, boxes, c.Replay, bar.showPlayed)
		bar.clear()
		if err != nil {
			return err
		}
		fmt.Printf("replayed: %d boxes with a room lost keep the goal within 2%% on %d of %d days; service %.3f in the mean, %.3f at worst\n", result.Boxes, result.Kept, result.Days, result.Mean, result.Worst)
	}
	return nil
}

// parseWeekTime parses a day and hour such as "Fri 08:00" into seconds since Monday 00:00.
func parseWeekTime(text string) (float64, error) {
	names := []string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}
	name, clock, ok := strings.Cut(strings.ToLower(strings.TrimSpace(text)), " ")
	day := slices.Index(names, name)
	at, err := time.Parse("15:04", strings.TrimSpace(clock))
	if !ok || day < 0 || err != nil {
		return 0, fmt.Errorf("%q: write a day and an hour, such as \"Fri 08:00\"", text)
	}
	return float64(day)*86400 + float64(at.Hour())*3600 + float64(at.Minute())*60, nil
}

// applyPlanChanges applies --plan flags of the form PLAN.FIELD=VALUE to the plans of a fleet.
func applyPlanChanges(f *fleet.Fleet, changes []string) error {
	for _, text := range changes {
		left, value, ok := strings.Cut(text, "=")
		name, field, dotted := strings.Cut(left, ".")
		i := slices.IndexFunc(f.Plans, func(p fleet.Plan) bool { return p.Name == name })
		number, err := strconv.ParseFloat(strings.TrimSuffix(value, "/s"), 64)
		switch {
		case !ok || !dotted || err != nil || !(number > 0):
			return fmt.Errorf("%q: write PLAN.FIELD=VALUE, such as business.rate=9/s", text)
		case i < 0:
			return fmt.Errorf("%q: there is no plan %q", text, name)
		}
		p := &f.Plans[i]
		fields := map[string]*float64{"rate": &p.Rate, "burst": &p.Burst, "ceiling_rate": &p.CeilingRate, "ceiling_burst": &p.CeilingBurst}
		if fields[field] == nil {
			return fmt.Errorf("%q: a plan has no %q here; write rate, burst, ceiling_rate or ceiling_burst", text, field)
		}
		*fields[field] = number
	}
	return nil
}

// saveFile creates a file and lets write fill it.
func saveFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
