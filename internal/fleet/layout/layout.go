// Package layout defines the routing configuration of a deployment: routes, services,
// limits and client accounts.
package layout

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Version orders layouts. Instances use the layout with the highest version.
type Version uint64

// Service is the name of a group of upstreams that serve the same requests.
type Service string

// Account is the name of a client account.
type Account string

// Model is the name of a model that an engine serves.
type Model string

// Kind says whether requests may run more than once.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a stream of events. They run at most once unless the
	// route is resumable.
	Stream
)

// Share is the weight with which a route sends requests to one service.
type Share struct {
	Service Service
	Weight  float64
}

// Route matches requests by host and path prefix and says how they are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the limit for the time from the arrival of a request to the last byte of
	// its response.
	Timeout time.Duration
	// LatencyObjective is the time to the first byte within which a response is on time.
	LatencyObjective time.Duration
	// EventGapObjective is the longest gap between two events of a stream that is on time, or
	// 0 if the route has no such objective.
	EventGapObjective time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts limits the number of upstreams to which one request is sent.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// SessionAffinity is set for requests that share prompt prefixes and are therefore best
	// sent to the same upstream.
	SessionAffinity bool
	// Resumable allows a stream to continue on another upstream.
	Resumable bool
	// Models lists the models that may serve the requests, smallest first. It is empty if the
	// caller names the model.
	Models []Model
}

// Retryable reports whether a request may be sent to a second upstream even if the first
// one may have run it.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable) }

// Engine describes the inference engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at the same time.
	Slots int
	// KVCacheTokens is the capacity of one engine's KV cache.
	KVCacheTokens int
	// Costs is the price of a thousand generated tokens by model.
	Costs map[Model]float64
}

// Pool describes the upstreams of one service.
type Pool struct {
	Name Service
	// MaxConnections limits the connections of all callers to one upstream.
	MaxConnections int
	// ColdStart is how long an upstream is cold after a start during traffic, and WarmupRate the
	// requests a second that it takes meanwhile; 0 if the service states no limit.
	ColdStart  time.Duration
	WarmupRate float64
	// Engine is nil for a service without inference engines.
	Engine *Engine
}

// Client is a client account with its API keys.
type Client struct {
	Name Account
	Keys []string
	// Priority overrides the priority of the route unless it is negative.
	Priority int
}

// Limits bounds what a caller may send on a connection.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is the limit for the time to send a header, IdleTimeout for the time
	// between two requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Layout is a complete routing configuration. It is immutable after Prepare or
// PrepareCommitted.
type Layout struct {
	Version Version
	Routes  []*Route
	Pools   []*Pool
	Limits  Limits
	Clients []*Client
	// Anonymous is set if requests need no API key. Otherwise, without any client account, only
	// public routes serve requests.
	Anonymous bool

	// Lookup tables, built by Prepare. The routes of a host, in its canonical spelling, are sorted
	// by length of prefix, longest first.
	hosts map[string][]*Route
	pools map[Service]*Pool
	keys  map[string]*Client
}

// ErrInvalid marks every error of Prepare.
var ErrInvalid = errors.New("invalid layout")

// Prepare validates the layout and builds its lookup tables.
func (l *Layout) Prepare() (err error) {
	defer func() {
		if err != nil {
			err = errors.Mark(errors.Wrapf(err, "layout %d", l.Version), ErrInvalid)
		}
	}()
	l.PrepareCommitted()
	if len(l.pools) < len(l.Pools) {
		return errors.New("a service stands twice")
	}
	if l.pools[""] != nil {
		return errors.New("service without a name")
	}
	if err := l.checkRoutes(); err != nil {
		return err
	}
	return l.checkKeys()
}

// PrepareCommitted builds the lookup tables of a layout that was validated before it was committed.
// That may have been done by a build with fewer checks, and a layout that is in force must not be
// refused later: of two routes or accounts that exclude each other, the first one counts.
func (l *Layout) PrepareCommitted() {
	l.pools = make(map[Service]*Pool, len(l.Pools))
	for _, p := range l.Pools {
		if l.pools[p.Name] == nil {
			l.pools[p.Name] = p
		}
	}
	l.hosts = map[string][]*Route{}
	for _, r := range l.Routes {
		host := canonicalHost(r.Host)
		l.hosts[host] = append(l.hosts[host], r)
	}
	for _, routes := range l.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	l.keys = map[string]*Client{}
	for _, c := range l.Clients {
		for _, k := range c.Keys {
			if l.keys[k] == nil {
				l.keys[k] = c
			}
		}
	}
}

func (l *Layout) checkRoutes() error {
	for _, r := range l.Routes {
		if err := l.checkRoute(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
	}
	for host, routes := range l.hosts {
		seen := map[string]bool{}
		for _, r := range routes {
			if seen[r.Prefix] {
				return errors.Newf("host %s has prefix %s twice", host, r.Prefix)
			}
			seen[r.Prefix] = true
		}
	}
	return nil
}

func (l *Layout) checkRoute(r *Route) error {
	switch {
	case canonicalHost(r.Host) == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Newf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.New("timeout is not positive")
	case len(r.Shares) == 0:
		return errors.New("no service")
	}
	total := 0.0
	for _, s := range r.Shares {
		if l.pools[s.Service] == nil {
			return errors.Newf("service %q is not known", s.Service)
		}
		if s.Weight < 0 {
			return errors.Newf("weight of service %q is negative", s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.New("weights add up to 0")
	}
	return nil
}

// checkKeys checks the client accounts.
func (l *Layout) checkKeys() error {
	for _, c := range l.Clients {
		if c.Name == "" {
			return errors.New("client account without a name")
		}
		for _, k := range c.Keys {
			if l.keys[k] != c {
				return errors.Newf("client accounts %s and %s share a key", l.keys[k].Name, c.Name)
			}
		}
	}
	return nil
}

// canonicalHost returns a host name in the spelling in which names are compared. Case and the dot
// of the root at the end make no difference (RFC 9110, section 4.2.3; RFC 1034, section 3.1). A port
// is kept.
func canonicalHost(host string) string {
	name, port := splitPort(host)
	return strings.ToLower(strings.TrimSuffix(name, ".")) + port
}

// splitPort splits a host into the name, without the brackets of an IPv6 address, and the port with
// its colon, if there is one.
func splitPort(host string) (name, port string) {
	if address, rest, ok := strings.Cut(host, "]"); ok && strings.HasPrefix(address, "[") {
		return address[1:], rest
	}
	if i := strings.IndexByte(host, ':'); i >= 0 && strings.Count(host, ":") == 1 {
		return host[:i], host[i:]
	}
	return host, ""
}

// Match returns the route of the host with the longest prefix of the path, or nil. Routes whose host
// names the port of the request go before those without one.
func (l *Layout) Match(host, path string) *Route {
	name, port := splitPort(host)
	if r := l.matchPath(canonicalHost(host), path); r != nil || port == "" {
		return r
	}
	return l.matchPath(canonicalHost(name), path)
}

// matchPath returns the route of a host in its canonical spelling with the longest prefix of the
// path, or nil.
func (l *Layout) matchPath(host, path string) *Route {
	for _, r := range l.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns the upstream pool of a service, or nil.
func (l *Layout) Pool(s Service) *Pool { return l.pools[s] }

// RequiresKey reports whether requests need an API key, unless their route is public.
func (l *Layout) RequiresKey() bool { return !l.Anonymous }

// Client returns the client account of an API key, or nil.
func (l *Layout) Client(key string) *Client { return l.keys[key] }

// PickService selects a service by weight. fraction is a number from 0 to 1 that callers
// draw at random.
func (r *Route) PickService(fraction float64) Service {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := fraction * total
	for _, s := range r.Shares {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
