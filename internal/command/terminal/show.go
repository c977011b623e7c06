package terminal

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

func init() {
	register(command{
		name:  "show",
		short: "Print the document of a service",
		long:  "Prints the text of a document as it was accepted. With --json it stands in the field document, beside its revision, digest, operator and change id.",
		factory: func(out io.Writer) flags.Commander {
			return &showCommand{remoteCommand: remoteCommand{out: out}}
		},
	})
}

type showCommand struct {
	remoteCommand
	Revision uint64 `long:"revision" value-name:"REV" description:"revision to print instead of the current one"`
	Args     struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"true" required:"true"`
}

// documentInfo is a revision of a document, as show prints it with --json and as the
// history lists it.
type documentInfo struct {
	Service  string          `json:"service"`
	Revision uint64          `json:"revision"`
	Digest   string          `json:"digest"`
	Operator string          `json:"operator"`
	Change   string          `json:"change"`
	Instant  int64           `json:"instant"` // time of acceptance in Unix milliseconds
	Document json.RawMessage `json:"document"`
}

// Execute prints the text of the document, or with --json a documentInfo.
func (c *showCommand) Execute([]string) (err error) {
	path := "/v1/operator/documents/" + escapeSegment(c.Args.Service)
	if c.Revision > 0 {
		path += "?revision=" + strconv.FormatUint(c.Revision, 10)
	}
	a, err := c.call(request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if !c.JSON {
		return c.printLine(strings.TrimSpace(string(a.body)))
	}
	d := documentInfo{
		Service: c.Args.Service, Digest: a.header.Get("Wisteriakeel-Digest"), Operator: a.header.Get("Wisteriakeel-Operator"),
		Change: a.header.Get("Wisteriakeel-Change"), Document: a.body,
	}
	if d.Revision, err = strconv.ParseUint(strings.Trim(a.header.Get("ETag"), `"`), 10, 64); err != nil {
		return errors.Wrap(err, "the answer names no revision")
	}
	if d.Instant, err = strconv.ParseInt(a.header.Get("Wisteriakeel-Instant"), 10, 64); err != nil {
		return errors.Wrap(err, "the answer names no instant")
	}
	text, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "print the document")
	}
	return c.printLine(string(text))
}
