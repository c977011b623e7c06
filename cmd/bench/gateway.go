package main

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/bench/outage"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/platform"
)

func init() {
	register(command{
		name: "gateway", short: "Run an instance of the platform on a network with injected faults",
		factory: func(out io.Writer) flags.Commander { return &gatewayCommand{out: out} },
	})
}

// gatewayCommand runs an instance as the command of the same name of wisteriakeel does.
type gatewayCommand struct{ out io.Writer }

// Execute runs the instance until SIGTERM.
func (c *gatewayCommand) Execute([]string) error {
	n, err := outage.NewNetwork(timer.NewSystem())
	if err != nil {
		return err
	}
	clock, err := outage.NewClock()
	if err != nil {
		return err
	}
	files, retention, err := outage.Storage(timer.NewSystem())
	if err != nil {
		return err
	}
	g := group.New(context.Background())
	defer func() { _ = g.Stop() }()
	g.Go("network", n.Run)
	g.Go("clock", clock.Run)
	return platform.RunGateway(c.out, platform.Host{DialPeer: n.Dial, Files: files, Retention: retention, Timer: clock})
}
