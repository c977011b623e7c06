package terminal

import (
	"io"
	"strconv"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		name:  "history",
		short: "List the revisions of a document",
		long:  "Lists the accepted revisions of a service's document with their operator and change id.",
		factory: func(out io.Writer) flags.Commander {
			return &historyCommand{remoteCommand: remoteCommand{out: out}}
		},
	})
}

type historyCommand struct {
	remoteCommand
	Limit uint32 `long:"limit" value-name:"N" default:"20" description:"number of revisions to list"`
	Args  struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"true" required:"true"`
}

// Execute prints one row for each accepted revision.
func (c *historyCommand) Execute([]string) error {
	path := "/v1/operator/documents/" + escapeSegment(c.Args.Service) + "/history?limit=" + strconv.FormatUint(uint64(c.Limit), 10)
	return c.get(path, c.printTable)
}

func (c *historyCommand) printTable(body []byte) error {
	var h struct {
		Documents []documentInfo `json:"documents"`
	}
	if err := decode(body, &h); err != nil {
		return err
	}
	t := newTable(c.out, "REVISION", "ACCEPTED", "OPERATOR", "CHANGE", "DIGEST")
	for _, d := range h.Documents {
		t.row(d.Revision, formatTime(d.Instant), d.Operator, d.Change, d.Digest)
	}
	return t.flush()
}
