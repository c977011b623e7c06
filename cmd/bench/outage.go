package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/bench/outage"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/platform/dialect"
)

func init() {
	register(command{
		name: "outage", short: "Run instances on a network that loses bytes, play outages and check reads and changes",
		factory: func(out io.Writer) flags.Commander { return &outageCommand{out: out} },
	})
}

type outageCommand struct {
	out       io.Writer
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     int           `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Rounds    int           `long:"rounds" default:"11" description:"number of outages with each seed"`
	Outages   []string      `long:"outage" description:"name of an outage, once for each, in the order to play; default: all, shuffled"`
	Grown     bool          `long:"grown" description:"eight instances with a disk, two of which may be lost, instead of three and one"`
	Instances int           `long:"instances" description:"number of instances; default: 9, or 69 with --grown"`
	Sync      time.Duration `long:"sync" description:"time of a sync: 0.5 to 1 times as long, 1 in 20 three times; default: that of the disk"`
	SyncAfter time.Duration `long:"sync-after" description:"how long after the start of a run syncs become slow"`
	Binary    string        `long:"binary" description:"program of an earlier release to run, on plain loopback; default: this program"`
	Folder    string        `long:"folder" description:"where settings, disks and logs are kept; default: a temporary directory"`
}

// Execute runs the seeds one after the other. It keeps the directories of failed seeds and prints their paths.
func (c *outageCommand) Execute([]string) error {
	binary, err := os.Executable()
	if c.Binary != "" {
		binary, err = filepath.Abs(c.Binary)
	}
	if err != nil {
		return err
	}
	size := outage.Small
	if c.Grown {
		size = outage.Grown
	}
	if c.Instances > 0 {
		size.Instances = c.Instances
	}
	runs := &seedRuns{name: "outage", first: c.Seed, count: c.Seeds, folder: c.Folder, out: c.out}
	return runs.run(func(ctx context.Context, seed uint64, directory string) error {
		_, _ = fmt.Fprintf(c.out, "seed %d: %d instances, %d with a disk, syncs of %s after %s, outages %s\n", seed, size.Instances, size.Disks, c.Sync, c.SyncAfter, strings.Join(c.Outages, " "))
		return outage.Run(ctx, outage.Options{
			Dialect: dialect.Dialect{}, Binary: binary, Plain: c.Binary != "", Directory: directory, Seed: seed, Size: size, Patterns: c.Outages, Rounds: c.Rounds,
			Syncs: outage.SlowSyncs{Time: c.Sync, From: c.SyncAfter},
			Timer: timer.NewSystem(), Out: c.out,
		})
	})
}
