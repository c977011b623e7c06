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
			return &showCommand{remote: remote{out: out}}
		},
	})
}

type showCommand struct {
	remote
	Revision uint64 `long:"revision" value-name:"REV" description:"revision to print instead of the current one"`
	Args     struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"true" required:"true"`
}

// shown is what show prints with --json.
type shown struct {
	Service  string          `json:"service"`
	Revision uint64          `json:"revision"`
	Digest   string          `json:"digest"`
	Operator string          `json:"operator"`
	Change   string          `json:"change"`
	Instant  int64           `json:"instant"`
	Document json.RawMessage `json:"document"`
}

// Execute prints the document.
func (c *showCommand) Execute([]string) (err error) {
	path := "/v1/operator/documents/" + segment(c.Args.Service)
	if c.Revision > 0 {
		path += "?revision=" + strconv.FormatUint(c.Revision, 10)
	}
	a, err := c.call(request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if !c.JSON {
		return c.print(strings.TrimSpace(string(a.body)))
	}
	s := shown{
		Service: c.Args.Service, Digest: a.header.Get("Wisteriakeel-Digest"), Operator: a.header.Get("Wisteriakeel-Operator"),
		Change: a.header.Get("Wisteriakeel-Change"), Document: a.body,
	}
	if s.Revision, err = strconv.ParseUint(strings.Trim(a.header.Get("ETag"), `"`), 10, 64); err != nil {
		return errors.Wrap(err, "the answer names no revision")
	}
	if s.Instant, err = strconv.ParseInt(a.header.Get("Wisteriakeel-Instant"), 10, 64); err != nil {
		return errors.Wrap(err, "the answer names no instant")
	}
	text, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "print the document")
	}
	return c.print(string(text))
}
