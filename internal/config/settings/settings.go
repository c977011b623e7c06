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
	// DataDirectory is the data directory of a control instance.
	DataDirectory string `json:"folder"`
	Listen        Listen `json:"listen"`
	// ControlAddresses lists the peer addresses of all control instances.
	ControlAddresses []string `json:"control"`
	// DataGroups is the number of data groups; it is fixed once the control group is formed.
	DataGroups uint32 `json:"groups"`
	// SecretsFile is the path of the secrets file.
	SecretsFile string `json:"secrets"`
	Log         Log    `json:"log"`
	Trace       Trace  `json:"trace"`
	// RatingURL is the address of the service that rates answers, empty for none.
	RatingURL string   `json:"rating"`
	Limits    Limits   `json:"limits"`
	Timeouts  Timeouts `json:"timeouts"`
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
	// MaxBodyBytes is the most bytes of a request body.
	MaxBodyBytes uint32 `json:"body"`
	// MaxHeaderBytes is the most bytes of a request header.
	MaxHeaderBytes uint32 `json:"header"`
	// MaxConcurrentRequests is the most requests in progress for each account whose document sets no limit.
	MaxConcurrentRequests uint32 `json:"parallel"`
	// MaxQueuedPerAccount is the most queued requests for each account whose document sets no limit.
	MaxQueuedPerAccount uint32 `json:"queue"`
	// MaxQueuedTotal is the most queued requests of all accounts.
	MaxQueuedTotal uint32 `json:"total"`
	// MaxOpenRequests is the most open connections for each account.
	MaxOpenRequests uint32 `json:"connections"`
}

// Timeouts bounds how long the instance waits.
type Timeouts struct {
	// RequestHeader is the longest time a caller may take to send a request header.
	RequestHeader Milliseconds `json:"header"`
	// EventGap is the longest silence within the stream of an upstream.
	EventGap Milliseconds `json:"token"`
	// MaxRequest is the longest time of a call, whatever timeout its caller names.
	MaxRequest Milliseconds `json:"call"`
	// EntryListLifetime is how long callers may use a list of entries.
	EntryListLifetime Milliseconds `json:"lifetime"`
	// IdleConnection is how long an unused connection stays open.
	IdleConnection Milliseconds `json:"idle"`
}

// HasRole tells whether the instance runs that role.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// defaults returns settings with everything set that has a default. The limits,
// the header timeout, the lifetime and the idle timeout are those of the design
// page. A call may last 300 s, as 4,096 tokens at 55 ms each take 225 s.
func defaults() *Settings {
	return &Settings{
		DataGroups: 4,
		Log:        Log{Level: "info"},
		Trace:      Trace{Exporter: ExporterOff},
		Limits: Limits{
			MaxBodyBytes: 8 << 20, MaxHeaderBytes: 64 << 10, MaxConcurrentRequests: 256,
			MaxQueuedPerAccount: 1024, MaxQueuedTotal: 8192, MaxOpenRequests: 256,
		},
		Timeouts: Timeouts{RequestHeader: 5000, EventGap: 10000, MaxRequest: 300000, EntryListLifetime: 5000, IdleConnection: 5000},
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
