package settings

import (
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
)

const (
	wantName    = "1 to 64 letters, digits, dots, dashes or underscores"
	wantAddress = "an IP address and port, as in 127.0.0.1:8080"
	wantURL     = "http:// with an IP address and port"
)

// maxControl bounds the control instances; each further one slows every commit.
const maxControl = 9

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// checker adds what is wrong with decoded settings to the list.
type checker struct {
	*problem.List
	name string
}

func (c *checker) settings(s *Settings) {
	c.named("instance", s.Instance)
	c.named("zone", s.Zone)
	c.named("region", s.Region)
	c.roles(s)
	c.addresses(s)
	c.between("groups", uint64(s.DataGroups), 1, 64)
	if s.SecretsFile == "" {
		c.Add("secrets", "the path of the secrets file", "nothing")
	}
	c.observe(s)
	if s.RatingURL != "" && !url(s.RatingURL) {
		c.Add("rating", wantURL, problem.Quote(s.RatingURL))
	}
	c.limits(&s.Limits)
	c.timeouts(&s.Timeouts)
	s.SecretsFile = c.path(s.SecretsFile)
	s.DataDirectory = c.path(s.DataDirectory)
}

func (c *checker) named(field, value string) {
	if !namePattern.MatchString(value) {
		c.Add(field, wantName, problem.Quote(value))
	}
}

func (c *checker) roles(s *Settings) {
	if len(s.Roles) == 0 {
		c.Add("roles", "entry, control or both", "nothing")
	}
	for i, r := range s.Roles {
		if r != RoleControl && r != RoleEntry {
			c.Add(problem.At("roles", i), "entry or control", problem.Quote(string(r)))
		}
		if slices.Contains(s.Roles[:i], r) {
			c.Add(problem.At("roles", i), "each role once", problem.Quote(string(r)))
		}
	}
	if !s.HasRole(RoleControl) {
		c.absent("folder", s.DataDirectory)
		c.absent("listen.peer", s.Listen.Peer)
		return
	}
	if s.DataDirectory == "" {
		c.Add("folder", "a data directory for role control", "nothing")
	}
	if !address(s.Listen.Peer) {
		c.Add("listen.peer", wantAddress, problem.Quote(s.Listen.Peer))
	} else if !slices.Contains(s.ControlAddresses, s.Listen.Peer) {
		c.Add("listen.peer", "an address listed in control", problem.Quote(s.Listen.Peer))
	}
}

// absent refuses a field that has no effect without role control.
func (c *checker) absent(field, value string) {
	if value != "" {
		c.Add(field, "nothing without role control", problem.Quote(value))
	}
}

func (c *checker) addresses(s *Settings) {
	if !address(s.Listen.HTTP) {
		c.Add("listen.http", wantAddress, problem.Quote(s.Listen.HTTP))
	} else if s.Listen.HTTP == s.Listen.Peer {
		c.Add("listen.peer", "another address than listen.http", problem.Quote(s.Listen.Peer))
	}
	if len(s.ControlAddresses) == 0 || len(s.ControlAddresses) > maxControl {
		c.Add("control", "1 to "+strconv.Itoa(maxControl)+" addresses", strconv.Itoa(len(s.ControlAddresses)))
	}
	for i, a := range s.ControlAddresses {
		if !address(a) {
			c.Add(problem.At("control", i), wantAddress, problem.Quote(a))
		}
		if slices.Contains(s.ControlAddresses[:i], a) {
			c.Add(problem.At("control", i), "each address once", problem.Quote(a))
		}
	}
}

func (c *checker) observe(s *Settings) {
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, s.Log.Level) {
		c.Add("log.level", "one of "+strings.Join(levels, ", "), problem.Quote(s.Log.Level))
	}
	switch t := &s.Trace; t.Exporter {
	case ExporterOff:
		if t.Target != "" {
			c.Add("trace.target", "nothing with exporter off", problem.Quote(t.Target))
		}
	case ExporterOTLP:
		if !url(t.Target) {
			c.Add("trace.target", wantURL, problem.Quote(t.Target))
		}
	case ExporterFile:
		if t.Target == "" {
			c.Add("trace.target", "the path of a file", "nothing")
		}
		t.Target = c.path(t.Target)
	default:
		c.Add("trace.exporter", "one of off, otlp, file", problem.Quote(string(t.Exporter)))
	}
}

func (c *checker) limits(l *Limits) {
	c.between("limits.body", uint64(l.MaxBodyBytes), 1<<10, 256<<20)
	c.between("limits.header", uint64(l.MaxHeaderBytes), 1<<10, 1<<20)
	c.between("limits.parallel", uint64(l.MaxConcurrentRequests), 1, 65536)
	c.between("limits.queue", uint64(l.MaxQueuedPerAccount), 1, 65536)
	c.between("limits.total", uint64(l.MaxQueuedTotal), 1, 1<<20)
	c.between("limits.connections", uint64(l.MaxOpenRequests), 1, 65536)
}

func (c *checker) timeouts(t *Timeouts) {
	c.between("timeouts.header", uint64(t.RequestHeader), 100, 60000)
	c.between("timeouts.token", uint64(t.EventGap), 100, 600000)
	c.between("timeouts.call", uint64(t.MaxRequest), 100, 3600000)
	c.between("timeouts.lifetime", uint64(t.EntryListLifetime), 100, 600000)
	c.between("timeouts.idle", uint64(t.IdleConnection), 100, 600000)
}

func (c *checker) between(field string, value, least, most uint64) {
	if value < least || value > most {
		c.Add(field, "a number from "+strconv.FormatUint(least, 10)+" to "+strconv.FormatUint(most, 10),
			strconv.FormatUint(value, 10))
	}
}

// path resolves a path of the file from the folder of the file.
func (c *checker) path(p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(c.name), p)
}

func url(text string) bool {
	rest, ok := strings.CutPrefix(text, "http://")
	return ok && address(rest)
}
