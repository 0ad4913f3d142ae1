package replay

import (
	"context"
	"fmt"
	"time"

	"example.org/madderdrum/internal/loopback"
	"example.org/madderdrum/internal/policies"
	"example.org/madderdrum/internal/world"
)

// PlaySockets plays a plan in real time on loopback sockets, against limiters that are
// processes of the given program, started as the platform starts it.
func PlaySockets(ctx context.Context, p *Plan, program string, seed uint64, series bool, progress func(done float64)) (*Run, error) {
	source, err := p.Source(seed)
	if err != nil {
		return nil, err
	}
	defer source.Close()
	o := loopback.Options{Fleet: p.Options.Fleet, Seed: seed, Source: source, Faults: p.Faults, Program: program}
	if series {
		o.Sample = sampleInterval(p.Length)
	}
	if progress != nil {
		last := time.Duration(0)
		o.Watch = func(now time.Duration, _ world.Action) {
			if now > last+time.Second/2 {
				last = now
				progress(min(1, float64(now)/float64(p.Length)))
			}
		}
	}
	res, err := loopback.Play(ctx, o)
	if err == nil {
		err = source.Err()
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, fmt.Errorf("replaying on sockets with seed %d: %w", seed, err)
	}
	run := newRun(p.Options.Fleet, res.World, res.Judge, res.Length, o.Sample, series)
	run.Driver, run.Policy, run.Seed = "sockets", policies.Names()[0], seed
	c := res.Counts
	run.Traffic = Traffic{c.Attempts, c.CrossRoomAttempts, c.Connects, c.Probes, c.Messages, res.World.Events(), 0, 0}
	run.CPU = &CPU{LateMs: round(float64(res.Late)/float64(time.Millisecond), 3), Unstarted: res.Unstarted}
	var all time.Duration
	for i, spent := range res.CPU {
		all += spent
		run.CPU.Seconds = append(run.CPU.Seconds, round(spent.Seconds(), 3))
		run.CPU.MemoryMB = append(run.CPU.MemoryMB, round(float64(res.Memory[i])/(1<<20), 1))
	}
	run.CPU.PerAskUs = round(float64(all.Microseconds())/float64(max(1, run.Total.Asked+run.Total.Retries)), 1)
	return run, nil
}
