// Package settings parses and checks the settings file of an instance, and reports
// all its problems at once.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
)

// Problem is a problem of the settings file.
type Problem = problem.Problem

// Error lists all problems of the settings file.
type Error = problem.Error

// Role is a role that an instance runs.
type Role string

// Roles of an instance.
const (
	// RoleControl stores a replica of the control state on disk.
	RoleControl Role = "control"
	// RoleEntry handles the requests of callers.
	RoleEntry Role = "entry"
)

// Exporter is the destination of trace spans.
type Exporter string

// Exporters of trace spans.
const (
	ExporterOff  Exporter = "off"
	ExporterOTLP Exporter = "otlp"
	ExporterFile Exporter = "file"
)

// Milliseconds is a duration in a file or message, in milliseconds.
type Milliseconds uint32

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Settings is the content of a settings file, with defaults filled in and relative
// paths resolved against the directory of the file.
type Settings struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Roles    []Role `json:"roles"`
	// DataDirectory is the data directory of a control instance.
	DataDirectory string `json:"folder"`
	Listen        Listen `json:"listen"`
	// ControlAddresses lists the peer addresses of all control instances, including
	// this one if it has role control.
	ControlAddresses []string `json:"control"`
	// DataGroups is the number of data groups; it can't change once the control group
	// is formed.
	DataGroups uint32 `json:"groups"`
	// SecretsFile is the path of the secrets file.
	SecretsFile string `json:"secrets"`
	Log         Log    `json:"log"`
	Trace       Trace  `json:"trace"`
	// RatingURL is the URL of the service that rates answers; empty means none.
	RatingURL string   `json:"rating"`
	Limits    Limits   `json:"limits"`
	Timeouts  Timeouts `json:"timeouts"`
}

// Listen holds the addresses that the instance listens on.
type Listen struct {
	HTTP string `json:"http"`
	// Peer is the address for other instances; only control instances have it.
	Peer string `json:"peer"`
}

// Log configures logging.
type Log struct {
	Level string `json:"level"`
}

// Trace configures the export of trace spans.
type Trace struct {
	Exporter Exporter `json:"exporter"`
	// Target is the collector's URL, http://IP:PORT, for otlp and a path for file.
	Target string `json:"target"`
}

// Limits limits the requests that the instance handles at once, and their size.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes uint32 `json:"body"`
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes uint32 `json:"header"`
	// MaxConcurrentRequests limits the running requests of an account in each queue, if the
	// service's document sets no limit for the account. A plain service has one queue, and
	// each model of an engine service has its own.
	MaxConcurrentRequests uint32 `json:"parallel"`
	// MaxQueuedPerAccount limits the waiting requests of an account in each queue. The
	// service's document can set a lower limit for the account.
	MaxQueuedPerAccount uint32 `json:"queue"`
	// MaxQueuedTotal limits the waiting requests of all accounts together in each queue.
	MaxQueuedTotal uint32 `json:"total"`
	// MaxOpenRequests limits the open requests of each account, and so the connections
	// that it uses at once.
	MaxOpenRequests uint32 `json:"connections"`
	// MemoryBytes is what the process may take, and MaxClients the number of connections of clients. 0 derives
	// them; see Memory and Clients.
	MemoryBytes uint64 `json:"memory"`
	MaxClients  uint32 `json:"clients"`
}

const (
	// defaultMemoryBytes is what an instance takes at most unless bodies may be larger than by default.
	defaultMemoryBytes = 256 << 20
	// bodiesInMemory is how many bodies of the largest size fit into the memory of an instance. A chat request
	// takes five times its body, and requests a quarter of the memory.
	bodiesInMemory = 32
)

// Memory returns what the process may take, in bytes.
func (l *Limits) Memory() uint64 {
	if l.MemoryBytes > 0 {
		return l.MemoryBytes
	}
	return max(defaultMemoryBytes, bodiesInMemory*uint64(l.MaxBodyBytes))
}

// Clients returns the number of connections of clients at most, for a process that may open a number of descriptors; 0
// if that is not known.
func (l *Limits) Clients(descriptors uint64) int {
	if l.MaxClients > 0 {
		return int(l.MaxClients)
	}
	return memory.DefaultConnections(float64(l.Memory()>>20), float64(descriptors))
}

// Timeouts limits how long the instance waits.
type Timeouts struct {
	// RequestHeader is the maximum time that a caller may take to send a request header.
	RequestHeader Milliseconds `json:"header"`
	// EventGap is the maximum time between two events of an upstream's stream.
	EventGap Milliseconds `json:"token"`
	// MaxRequest is the maximum duration of a request, even if its caller asks for a
	// longer timeout.
	MaxRequest Milliseconds `json:"call"`
	// EntryListLifetime is how long callers may use a list of entries.
	EntryListLifetime Milliseconds `json:"lifetime"`
	// IdleConnection is how long an idle connection stays open.
	IdleConnection Milliseconds `json:"idle"`
}

// HasRole reports whether the instance runs the role.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// defaults returns the default settings; settings without a default are zero. A
// request may last 300 s, as 4,096 tokens at 55 ms each take 225 s.
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

// Load reads and checks the settings file at path. An error about its content is an
// *Error that lists every problem.
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

// Parse parses and checks the text of the settings file with the given name.
// Relative paths in it are resolved against the directory of the file.
func Parse(name string, text []byte) (*Settings, error) {
	s := defaults()
	l := problem.NewList(name)
	if l.Decode(text, s) {
		c := &checker{List: l, file: name}
		c.checkSettings(s)
	}
	if err := l.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// isAddress reports whether text is an IP address and port that others can connect to.
func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
