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
		name:  "quarantine",
		short: "List or lift the quarantine of requests",
		long:  "Without a fingerprint, lists the requests that crashed upstreams. With a fingerprint and --off, lifts the quarantine of that request.",
		factory: func(out io.Writer) flags.Commander {
			return &quarantineCommand{remoteCommand: remoteCommand{out: out}}
		},
	})
}

type quarantineCommand struct {
	remoteCommand
	Off  bool `long:"off" description:"lift the quarantine"`
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT"`
	} `positional-args:"true"`
}

// Execute lists the requests suspected of crashing upstreams, or lifts a quarantine.
func (c *quarantineCommand) Execute([]string) error {
	if c.Off != (c.Args.Fingerprint != "") {
		return &flags.Error{Type: flags.ErrRequired, Message: "FINGERPRINT and --off are given together or not at all"}
	}
	if !c.Off {
		return c.get("/v1/operator/status", c.printTable)
	}
	a, err := c.call(request{
		method: http.MethodPost,
		path:   fmt.Sprintf("/v1/operator/quarantine/%s?off=true", escapeSegment(c.Args.Fingerprint)),
	})
	switch {
	case err != nil:
		return err
	case c.JSON:
		return c.printLine(strings.TrimSpace(string(a.body)))
	}
	return c.printLine(c.Args.Fingerprint + ": quarantine lifted")
}

func (c *quarantineCommand) printTable(body []byte) error {
	var s struct {
		Suspicions []struct {
			Fingerprint string `json:"fingerprint"`
			Account     string `json:"account"`
			Quarantined bool   `json:"quarantined"`
			Crashes     []struct {
				Upstream  string `json:"upstream"`
				Confirmed bool   `json:"confirmed"`
			} `json:"crashes"`
		} `json:"suspicions"`
	}
	if err := decode(body, &s); err != nil {
		return err
	}
	t := newTable(c.out, "FINGERPRINT", "ACCOUNT", "QUARANTINED", "UPSTREAMS")
	for _, r := range s.Suspicions {
		var upstreams []string
		for _, crash := range r.Crashes {
			if !crash.Confirmed {
				crash.Upstream += "?"
			}
			upstreams = append(upstreams, crash.Upstream)
		}
		t.row(r.Fingerprint, r.Account, r.Quarantined, strings.Join(upstreams, " "))
	}
	return t.flush()
}
