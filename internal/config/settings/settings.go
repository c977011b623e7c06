// Package settings reads the settings file of an instance and reports every
// problem of it at once.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
)

// Problem is one fault of the settings file.
type Problem = problem.Problem

// Error lists all problems of the settings file.
type Error = problem.Error

// Role names a part that an instance runs.
type Role string

// The roles.
const (
	// RoleControl holds a replica of the control state on its disk.
	RoleControl Role = "control"
	// RoleEntry serves callers.
	RoleEntry Role = "entry"
)

// Exporter names where spans go.
type Exporter string

// The exporters.
const (
	ExporterOff  Exporter = "off"
	ExporterOTLP Exporter = "otlp"
	ExporterFile Exporter = "file"
)

// Milliseconds is a duration in a file or message.
type Milliseconds uint32

// Duration returns the duration in the unit of package time.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Settings is the content of a settings file, with defaults filled in and paths
// made relative to the working directory.
type Settings struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Roles    []Role `json:"roles"`
	// Folder is the data directory of a control instance.
	Folder string `json:"folder"`
	Listen Listen `json:"listen"`
	// Control lists the peer addresses of all control instances.
	Control []string `json:"control"`
	// Groups is the number of data groups; it is fixed once the control group is formed.
	Groups uint32 `json:"groups"`
	// Secrets is the path of the secrets file.
	Secrets string `json:"secrets"`
	Log     Log    `json:"log"`
	Trace   Trace  `json:"trace"`
	// Rating is the address of the service that rates answers, empty for none.
	Rating   string   `json:"rating"`
	Limits   Limits   `json:"limits"`
	Timeouts Timeouts `json:"timeouts"`
}

// Listen holds the addresses that the instance listens on.
type Listen struct {
	HTTP string `json:"http"`
	// Peer is the address for other instances; control instances only.
	Peer string `json:"peer"`
}

// Log sets up the log.
type Log struct {
	Level string `json:"level"`
}

// Trace sets up the export of spans.
type Trace struct {
	Exporter Exporter `json:"exporter"`
	// Target is the collector's http://IP:PORT for otlp, a path for file.
	Target string `json:"target"`
}

// Limits bounds what the instance holds at once.
type Limits struct {
	// Body is the most bytes of a request body.
	Body uint32 `json:"body"`
	// Header is the most bytes of a request header.
	Header uint32 `json:"header"`
	// Parallel is the most requests in progress for each account whose document sets no limit.
	Parallel uint32 `json:"parallel"`
	// Queue is the most queued requests for each account whose document sets no limit.
	Queue uint32 `json:"queue"`
	// Total is the most queued requests of all accounts.
	Total uint32 `json:"total"`
	// Connections is the most open connections for each account.
	Connections uint32 `json:"connections"`
}

// Timeouts bounds how long the instance waits.
type Timeouts struct {
	// Header is the longest time a caller may take to send a request header.
	Header Milliseconds `json:"header"`
	// Token is the longest silence within the stream of an upstream.
	Token Milliseconds `json:"token"`
	// Call is the longest time of a call, whatever timeout its caller names.
	Call Milliseconds `json:"call"`
	// Lifetime is how long callers may use a list of entries.
	Lifetime Milliseconds `json:"lifetime"`
	// Idle is how long an unused connection stays open.
	Idle Milliseconds `json:"idle"`
}

// Has tells whether the instance runs that role.
func (s *Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }

// defaults returns settings with everything set that has a default. The limits,
// the header timeout, the lifetime and the idle timeout are those of the design
// page. A call may last 300 s, as 4,096 tokens at 55 ms each take 225 s.
func defaults() *Settings {
	return &Settings{
		Groups: 4,
		Log:    Log{Level: "info"},
		Trace:  Trace{Exporter: ExporterOff},
		Limits: Limits{
			Body: 8 << 20, Header: 64 << 10, Parallel: 256,
			Queue: 1024, Total: 8192, Connections: 256,
		},
		Timeouts: Timeouts{Header: 5000, Token: 10000, Call: 300000, Lifetime: 5000, Idle: 5000},
	}
}

// Load reads the settings file at path. An error about its content is an *Error.
func Load(path string) (s *Settings, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "load settings")
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads the text of the settings file of that name. Relative paths in it
// are taken from the folder of the file.
func Parse(name string, text []byte) (*Settings, error) {
	s := defaults()
	l := problem.NewList(name)
	if l.Decode(text, s) {
		c := &checker{List: l, name: name}
		c.settings(s)
	}
	if err := l.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// address tells whether text is an IP address with a port that others can connect to.
func address(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
