package settings

import (
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"wisteriakeel.example/wisteriakeel/internal/config/problem"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
)

// Descriptions of the expected value in problems.
const (
	expectedName    = "1 to 64 letters, digits, dots, dashes or underscores"
	expectedAddress = "an IP address and port, as in 127.0.0.1:8080"
	expectedURL     = "http:// with an IP address and port"
)

// maxControlInstances limits the control instances, since each additional one slows
// every commit.
const maxControlInstances = 9

// The range of limits.memory, in bytes. The process itself takes about 40 MB.
const (
	minMemoryBytes = 128 << 20
	maxMemoryBytes = 1 << 40
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// checker checks decoded settings and adds their problems to the list.
type checker struct {
	*problem.List
	file string
}

func (c *checker) checkSettings(s *Settings) {
	c.checkName("instance", s.Instance)
	c.checkName("zone", s.Zone)
	c.checkName("region", s.Region)
	c.checkRoles(s)
	c.checkAddresses(s)
	c.checkRange("groups", uint64(s.DataGroups), 1, 64)
	if s.SecretsFile == "" {
		c.Add("secrets", "the path of the secrets file", "nothing")
	}
	c.checkObservability(s)
	if s.RatingURL != "" && !isURL(s.RatingURL) {
		c.Add("rating", expectedURL, problem.Quote(s.RatingURL))
	}
	c.checkLimits(&s.Limits)
	c.checkTimeouts(&s.Timeouts)
	s.SecretsFile = c.resolvePath(s.SecretsFile)
	s.DataDirectory = c.resolvePath(s.DataDirectory)
}

func (c *checker) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		c.Add(field, expectedName, problem.Quote(value))
	}
}

func (c *checker) checkRoles(s *Settings) {
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
		c.requireEmpty("folder", s.DataDirectory)
		c.requireEmpty("listen.peer", s.Listen.Peer)
		return
	}
	if s.DataDirectory == "" {
		c.Add("folder", "a data directory for role control", "nothing")
	}
	if !isAddress(s.Listen.Peer) {
		c.Add("listen.peer", expectedAddress, problem.Quote(s.Listen.Peer))
	} else if !slices.Contains(s.ControlAddresses, s.Listen.Peer) {
		c.Add("listen.peer", "an address listed in control", problem.Quote(s.Listen.Peer))
	}
}

// requireEmpty adds a problem if a field is set that has no effect without role control.
func (c *checker) requireEmpty(field, value string) {
	if value != "" {
		c.Add(field, "nothing without role control", problem.Quote(value))
	}
}

func (c *checker) checkAddresses(s *Settings) {
	if !isAddress(s.Listen.HTTP) {
		c.Add("listen.http", expectedAddress, problem.Quote(s.Listen.HTTP))
	} else if s.Listen.HTTP == s.Listen.Peer {
		c.Add("listen.peer", "another address than listen.http", problem.Quote(s.Listen.Peer))
	}
	if len(s.ControlAddresses) == 0 || len(s.ControlAddresses) > maxControlInstances {
		c.Add("control", "1 to "+strconv.Itoa(maxControlInstances)+" addresses", strconv.Itoa(len(s.ControlAddresses)))
	}
	for i, a := range s.ControlAddresses {
		if !isAddress(a) {
			c.Add(problem.At("control", i), expectedAddress, problem.Quote(a))
		}
		if slices.Contains(s.ControlAddresses[:i], a) {
			c.Add(problem.At("control", i), "each address once", problem.Quote(a))
		}
	}
}

func (c *checker) checkObservability(s *Settings) {
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
		if !isURL(t.Target) {
			c.Add("trace.target", expectedURL, problem.Quote(t.Target))
		}
	case ExporterFile:
		if t.Target == "" {
			c.Add("trace.target", "the path of a file", "nothing")
		}
		t.Target = c.resolvePath(t.Target)
	default:
		c.Add("trace.exporter", "one of off, otlp, file", problem.Quote(string(t.Exporter)))
	}
}

// checkLimits checks the sizes, in bytes, and the numbers of requests.
func (c *checker) checkLimits(l *Limits) {
	c.checkRange("limits.body", uint64(l.MaxBodyBytes), 1<<10, 256<<20)
	c.checkRange("limits.header", uint64(l.MaxHeaderBytes), 1<<10, 1<<20)
	c.checkRange("limits.parallel", uint64(l.MaxConcurrentRequests), 1, 65536)
	c.checkRange("limits.queue", uint64(l.MaxQueuedPerAccount), 1, 65536)
	c.checkRange("limits.total", uint64(l.MaxQueuedTotal), 1, 1<<20)
	c.checkRange("limits.connections", uint64(l.MaxOpenRequests), 1, 65536)
	if l.MemoryBytes > 0 {
		c.checkRange("limits.memory", l.MemoryBytes, max(minMemoryBytes, bodiesInMemory*uint64(l.MaxBodyBytes)), maxMemoryBytes)
	}
	if l.MaxClients > 0 {
		c.checkRange("limits.clients", uint64(l.MaxClients), memory.MinConnections, 1<<20)
	}
}

// checkTimeouts checks the timeouts, in milliseconds.
func (c *checker) checkTimeouts(t *Timeouts) {
	c.checkRange("timeouts.header", uint64(t.RequestHeader), 100, 60000)
	c.checkRange("timeouts.token", uint64(t.EventGap), 100, 600000)
	c.checkRange("timeouts.call", uint64(t.MaxRequest), 100, 3600000)
	c.checkRange("timeouts.lifetime", uint64(t.EntryListLifetime), 100, 600000)
	c.checkRange("timeouts.idle", uint64(t.IdleConnection), 100, 600000)
}

func (c *checker) checkRange(field string, value, low, high uint64) {
	if value < low || value > high {
		c.Add(field, "a number from "+strconv.FormatUint(low, 10)+" to "+strconv.FormatUint(high, 10),
			strconv.FormatUint(value, 10))
	}
}

// resolvePath resolves a relative path against the directory of the settings file.
func (c *checker) resolvePath(p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(c.file), p)
}

// isURL reports whether text is "http://" followed by an IP address and port, without a path.
func isURL(text string) bool {
	rest, ok := strings.CutPrefix(text, "http://")
	return ok && isAddress(rest)
}
