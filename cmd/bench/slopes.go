package main

import (
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/bench/slopes"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func init() {
	register(command{
		name: "slopes", short: "Measure the use per request, renewal, change and upstream",
		factory: func(out io.Writer) flags.Commander { return &slopesCommand{out: out} },
	})
}

type slopesCommand struct {
	out    io.Writer
	Binary string `long:"binary" default:"bin/wisteriakeel" description:"path of wisteriakeel"`
	Quick  bool   `long:"quick" description:"measure fewer settings, in less than 30 seconds"`
}

// Execute measures the usage and prints it as a table.
func (c *slopesCommand) Execute([]string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	return slopes.Run(ctx, slopes.Options{
		Binary: c.Binary, BenchBinary: self, Quick: c.Quick, Out: c.out, Timer: timer.NewSystem(),
	})
}
