package main

import (
	"io"
	"net/http"

	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/bench/weights"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func init() {
	register(command{
		name: "weights", short: "Run a simulated weight store",
		factory: func(io.Writer) flags.Commander { return &weightsCommand{} },
	})
}

type weightsCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Size   int    `long:"size" default:"8388608" description:"bytes of each version"`
	Rate   int    `long:"rate" default:"67108864" description:"bytes per second for all readers"`
}

// Execute runs the store until a signal arrives.
func (c *weightsCommand) Execute([]string) error {
	t := timer.NewSystem()
	mux := http.NewServeMux()
	weights.New(weights.Options{SizeBytes: c.Size, BytesPerSecond: c.Rate, Timer: t}).Register(mux)
	return serve(c.Listen, t, mux)
}
