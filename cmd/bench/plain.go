package main

import (
	"io"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/bench/announce"
	"wisteriakeel.example/wisteriakeel/internal/bench/plain"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func init() {
	register(command{
		name: "plain", short: "Run a simulated plain service",
		factory: func(io.Writer) flags.Commander { return &plainCommand{} },
	})
}

type plainCommand struct {
	upstreamFlags
	Slots int           `long:"slots" default:"64" description:"calls that may run at once"`
	Work  time.Duration `long:"work" default:"5ms" description:"time of a call"`
}

// Execute runs the service until a signal arrives.
func (c *plainCommand) Execute([]string) error {
	t := timer.NewSystem()
	s := plain.New(plain.Options{Slots: c.Slots, CallDuration: c.Work, Timer: t})
	mux := http.NewServeMux()
	s.Register(mux)
	return c.serve(announce.Host{Handler: mux, Timer: t}, &s.Runs, announce.Announcement{}, s.Load)
}
