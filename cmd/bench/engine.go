package main

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/bench/announce"
	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/bench/weights"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func init() {
	register(command{
		name: "engine", short: "Run a simulated model engine",
		factory: func(io.Writer) flags.Commander { return &engineCommand{} },
	})
}

type engineCommand struct {
	upstreamFlags
	Model   string        `long:"model" required:"true" description:"model that the engine holds"`
	Version string        `long:"version" required:"true" description:"version that the engine holds"`
	Slots   int           `long:"slots" default:"8" description:"size of the batch"`
	Queue   int           `long:"queue" default:"32" description:"sequences that may wait for the batch"`
	Base    time.Duration `long:"base" default:"5ms" description:"time of a step"`
	Each    time.Duration `long:"each" default:"500us" description:"time that each sequence adds to a step"`
	Prefill time.Duration `long:"prefill" default:"50us" description:"time per uncached prompt token"`
	Cache   int           `long:"cache" default:"4096" description:"blocks of the prefix cache"`
	Fencing bool          `long:"fencing" description:"refuse orders with an old fencing token"`
	Loading time.Duration `long:"loading" description:"accept load orders and take this long for each, besides the fetch"`
	Weights string        `long:"weights" description:"URL of the weight store"`
}

// Execute runs the engine until a signal arrives.
func (c *engineCommand) Execute([]string) error {
	t := timer.NewSystem()
	o := engine.Options{
		Model: c.Model, Version: c.Version, Slots: c.Slots, QueueCapacity: c.Queue,
		BaseStepTime: c.Base, StepTimePerSequence: c.Each, PrefillTimePerToken: c.Prefill, CacheBlocks: c.Cache, Fencing: c.Fencing, LoadDuration: c.Loading, Timer: t,
	}
	if c.Weights != "" {
		o.Store = weights.Client{BaseURL: c.Weights}
	}
	e := engine.New(o)
	mux := http.NewServeMux()
	e.Register(mux)
	announced := announce.Announcement{Model: c.Model, Version: c.Version, Fencing: c.Fencing, Features: engine.Features()}
	if c.Loading > 0 {
		announced.Features = append(announced.Features, "load")
	}
	c.loadedModel = e.LoadedModel
	return c.serve(announce.Host{Handler: mux, Worker: e.Run, Timer: t}, &e.Runs, announced, e.Load)
}

// splitAddresses returns the addresses in comma-separated lists.
func splitAddresses(lists []string) (all []string) {
	for _, l := range lists {
		for _, a := range strings.Split(l, ",") {
			if a != "" {
				all = append(all, a)
			}
		}
	}
	return all
}
