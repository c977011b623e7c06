package main

import (
	"context"
	"io"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/platform/dialect"
)

func init() {
	register(command{
		name: "soak", short: "Run instances as processes with random faults and check what callers see",
		factory: func(out io.Writer) flags.Commander { return &soakCommand{out: out} },
	})
}

type soakCommand struct {
	out       io.Writer
	Binary    string        `long:"binary" default:"bin/wisteriakeel" description:"path of wisteriakeel"`
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     int           `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Length    time.Duration `long:"length" default:"36s" description:"how long faults come with each seed"`
	Faults    []string      `long:"fault" description:"name of a fault or of planned work to inject, once for each; default: all"`
	Instances int           `long:"instances" default:"5" description:"number of instances, three of them with a disk"`
	Upstreams int           `long:"upstreams" default:"3" description:"number of upstreams of the plain service"`
	Callers   int           `long:"callers" default:"12" description:"number of callers"`
	Slots     int           `long:"slots" default:"16" description:"slots that an upstream announces"`
	Room      int           `long:"brittle-room" default:"2" description:"least number of requests that a brittle upstream runs"`
	Folder    string        `long:"folder" description:"where settings, disks and logs are kept; default: a temporary directory"`
}

// Execute runs the seeds one after the other. It keeps the directories of failed seeds and prints their paths.
func (c *soakCommand) Execute([]string) error {
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	size := soak.Size{Instances: c.Instances, DeskUpstreams: c.Upstreams, Callers: c.Callers, Slots: c.Slots, BrittleRoom: c.Room}
	if err := size.Check(); err != nil {
		return err
	}
	runs := &seedRuns{name: "soak", first: c.Seed, count: c.Seeds, folder: c.Folder, out: c.out}
	return runs.run(func(ctx context.Context, seed uint64, directory string) error {
		return soak.Run(ctx, soak.Options{
			Dialect: dialect.Dialect{}, Binary: binary, Directory: directory, Seed: seed, Size: size, Faults: c.Faults, FaultDuration: c.Length,
			Timer: timer.NewSystem(), Out: c.out,
		})
	})
}
