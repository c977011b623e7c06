package main

import (
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/bench/demo"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func init() {
	register(command{
		name: "demo", short: "Run the whole path as processes, with failures, and check it",
		factory: func(out io.Writer) flags.Commander { return &demoCommand{out: out} },
	})
}

type demoCommand struct {
	out    io.Writer
	Binary string   `long:"binary" default:"bin/wisteriakeel" description:"path of wisteriakeel"`
	Kill   []string `long:"kill" default:"entry" default:"control" choice:"entry" choice:"control" choice:"upstream" choice:"all" description:"what is killed on the way"`
	Seed   uint64   `long:"seed" default:"1" description:"seed of the callers"`
	Keep   bool     `long:"keep" description:"keep the directory of a passed run"`
}

// Execute runs the demonstration with this program as the simulated upstreams.
func (c *demoCommand) Execute([]string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	return demo.Run(ctx, demo.Options{
		Binary: c.Binary, BenchBinary: self, Kill: c.Kill, Seed: c.Seed, Keep: c.Keep,
		Out: c.out, Timer: timer.NewSystem(),
	})
}
