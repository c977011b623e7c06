package terminal

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		name:  "drain",
		short: "Take an instance out of service",
		long:  "Takes an instance off the list of entries. It finishes what it has accepted. With --off it comes back.",
		factory: func(out io.Writer) flags.Commander {
			return &drainCommand{remoteCommand: remoteCommand{out: out}}
		},
	})
}

type drainCommand struct {
	remoteCommand
	Off  bool `long:"off" description:"end the drain"`
	Args struct {
		Instance string `positional-arg-name:"INSTANCE"`
	} `positional-args:"true" required:"true"`
}

// Execute drains the instance or, with --off, returns it to service.
func (c *drainCommand) Execute([]string) error {
	a, err := c.call(request{
		method: http.MethodPost,
		path:   fmt.Sprintf("/v1/operator/drain/%s?off=%t", escapeSegment(c.Args.Instance), c.Off),
	})
	switch {
	case err != nil:
		return err
	case c.JSON:
		return c.printLine(strings.TrimSpace(string(a.body)))
	case c.Off:
		return c.printLine(c.Args.Instance + ": drain ended")
	}
	return c.printLine(c.Args.Instance + ": draining")
}
