package main

import (
	"io"
	"net/http"

	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/bench/rating"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

func init() {
	register(command{
		name: "rating", short: "Run a simulated rating service",
		factory: func(io.Writer) flags.Commander { return &ratingCommand{} },
	})
}

type ratingCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
}

// Execute runs the service until a signal arrives.
func (c *ratingCommand) Execute([]string) error {
	t := timer.NewSystem()
	mux := http.NewServeMux()
	rating.New(t).Register(mux)
	return serve(c.Listen, t, mux)
}
