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
			return &drainCommand{remote: remote{out: out}}
		},
	})
}

type drainCommand struct {
	remote
	Off  bool `long:"off" description:"end the drain"`
	Args struct {
		Instance string `positional-arg-name:"INSTANCE"`
	} `positional-args:"true" required:"true"`
}

// Execute begins or ends the drain.
func (c *drainCommand) Execute([]string) error {
	a, err := c.call(request{
		method: http.MethodPost,
		path:   fmt.Sprintf("/v1/operator/drain/%s?off=%t", segment(c.Args.Instance), c.Off),
	})
	switch {
	case err != nil:
		return err
	case c.JSON:
		return c.print(strings.TrimSpace(string(a.body)))
	case c.Off:
		return c.print(c.Args.Instance + ": drain ended")
	}
	return c.print(c.Args.Instance + ": draining")
}
