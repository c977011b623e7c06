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
			return &quarantineCommand{remote: remote{out: out}}
		},
	})
}

type quarantineCommand struct {
	remote
	Off  bool `long:"off" description:"lift the quarantine"`
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT"`
	} `positional-args:"true"`
}

// Execute lists the suspicions or lifts a quarantine.
func (c *quarantineCommand) Execute([]string) error {
	if c.Off != (c.Args.Fingerprint != "") {
		return &flags.Error{Type: flags.ErrRequired, Message: "FINGERPRINT and --off are given together or not at all"}
	}
	if !c.Off {
		return c.get("/v1/operator/status", c.show)
	}
	a, err := c.call(request{
		method: http.MethodPost,
		path:   fmt.Sprintf("/v1/operator/quarantine/%s?off=true", segment(c.Args.Fingerprint)),
	})
	switch {
	case err != nil:
		return err
	case c.JSON:
		return c.print(strings.TrimSpace(string(a.body)))
	}
	return c.print(c.Args.Fingerprint + ": quarantine lifted")
}

func (c *quarantineCommand) show(body []byte) error {
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
	if err := read(body, &s); err != nil {
		return err
	}
	t := newTable(c.out, "FINGERPRINT", "ACCOUNT", "QUARANTINED", "UPSTREAMS")
	for _, p := range s.Suspicions {
		var names []string
		for _, k := range p.Crashes {
			if !k.Confirmed {
				k.Upstream += "?"
			}
			names = append(names, k.Upstream)
		}
		t.row(p.Fingerprint, p.Account, p.Quarantined, strings.Join(names, " "))
	}
	return t.end()
}
