package terminal

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
)

func init() {
	register(command{
		name:  "apply",
		short: "Change the document of a service",
		long:  "Sends a document to an instance. Without --base the change is based on the revision that is current now.",
		factory: func(out io.Writer) flags.Commander {
			return &applyCommand{remoteCommand: remoteCommand{out: out}}
		},
	})
}

type applyCommand struct {
	remoteCommand
	Base   *uint64 `long:"base" value-name:"REV" description:"revision that the change is based on; 0 creates the document"`
	Wait   uint32  `long:"wait" value-name:"MS" default:"0" description:"time in milliseconds to wait for the change to be in force"`
	Change string  `long:"change" value-name:"ID" description:"change id; give that of an earlier attempt whose outcome is unknown"`
	Args   struct {
		File flags.Filename `positional-arg-name:"FILE" description:"document"`
	} `positional-args:"true" required:"true"`
}

// Execute validates the document, sends it and prints its revision.
func (c *applyCommand) Execute([]string) error {
	text, err := os.ReadFile(string(c.Args.File))
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	d, err := document.Parse(string(c.Args.File), text)
	if err != nil {
		return err
	}
	path := "/v1/operator/documents/" + string(d.Service)
	base, err := c.baseRevision(path)
	if err != nil {
		return err
	}
	if c.Change == "" {
		c.Change = rand.Text()
	}
	a, err := c.call(request{
		method: http.MethodPut, path: path, body: text, serverWait: time.Duration(c.Wait) * time.Millisecond,
		header: map[string]string{
			"If-Match":            `"` + strconv.FormatUint(base, 10) + `"`,
			"Content-Type":        "application/json",
			"Wisteriakeel-Change": c.Change,
			"Wisteriakeel-Wait":   strconv.FormatUint(uint64(c.Wait), 10),
		},
	})
	if err != nil {
		return errors.Wrapf(err, "change %s on base %d", c.Change, base)
	}
	return c.printReply(a.body)
}

// baseRevision returns the revision given by --base, or else the current one, which is 0
// if the service has no document yet.
func (c *applyCommand) baseRevision(path string) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	a, err := c.call(request{method: http.MethodGet, path: path})
	if a != nil && a.status == http.StatusNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	revision, err := strconv.ParseUint(strings.Trim(a.header.Get("ETag"), `"`), 10, 64)
	return revision, errors.Wrap(err, "the answer names no revision")
}

// printReply prints the reply to the change as one line.
func (c *applyCommand) printReply(body []byte) error {
	if c.JSON {
		return c.printLine(strings.TrimSpace(string(body)))
	}
	var a struct {
		Service  string `json:"service"`
		Revision uint64 `json:"revision"`
		Repeated bool   `json:"repeated"`
		InForce  bool   `json:"inforce"`
		Elapsed  uint32 `json:"elapsed"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Wrap(err, "read the answer")
	}
	line := fmt.Sprintf("%s: revision %d accepted", a.Service, a.Revision)
	if a.Repeated {
		line += " before"
	}
	if a.InForce {
		line += fmt.Sprintf(", in force after %d ms", a.Elapsed)
	}
	return c.printLine(line)
}
