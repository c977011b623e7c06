// Package layout holds the configuration of a whole deployment: which requests
// go to which service, under which bounds, and who may send them.
package layout

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Version orders layouts; the highest is in force.
type Version uint64

// Service names a group of upstreams that serve the same requests.
type Service string

// Account names a client account.
type Account string

// Model names a model of an engine.
type Model string

// Kind tells what may be repeated.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by events and run at most once unless they may be resumed.
	Stream
)

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service Service
	Weight  int
}

// Route selects requests by host and path and says how they are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time from the arrival of a request to its last byte.
	Timeout time.Duration
	// LatencyObjective is the time to the first byte within which an answer is on time.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between two events of an answer that is on time; 0 if none is given.
	EventGapObjective time.Duration
	// Priority is the rank of the requests, 0 for the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// SessionAffinity requests share parts of their prompts.
	SessionAffinity bool
	// Resumable allows a stream to go on at another upstream.
	Resumable bool
	// Models are the models that may serve the requests, smallest first; empty if the caller names one.
	Models []Model
}

// Retryable tells whether a request of the route may be sent to a second upstream after it may have run.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable) }

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// KVCacheTokens is the memory of one engine.
	KVCacheTokens int
	// Costs holds the price of a thousand generated tokens by model.
	Costs map[Model]float64
}

// Pool describes the upstreams of one service.
type Pool struct {
	Name Service
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Client is a client account and its keys.
type Client struct {
	Name Account
	Keys []string
	// Priority takes precedence over that of the route if it is not negative.
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time to send a header, Idle that between two requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Layout is one complete configuration. It is not changed after Prepare.
type Layout struct {
	Version Version
	Routes  []*Route
	Pools   []*Pool
	Limits  Limits
	Clients []*Client

	hosts map[string][]*Route
	pools map[Service]*Pool
	keys  map[string]*Client
}

// ErrInvalid marks every error of Prepare.
var ErrInvalid = errors.New("invalid layout")

// Prepare checks the layout and builds its lookups.
func (l *Layout) Prepare() (err error) {
	defer func() {
		if err != nil {
			err = errors.Mark(errors.Wrapf(err, "layout %d", l.Version), ErrInvalid)
		}
	}()
	l.pools = make(map[Service]*Pool, len(l.Pools))
	for _, p := range l.Pools {
		if p.Name == "" || l.pools[p.Name] != nil {
			return errors.Newf("service %q has no name or stands twice", p.Name)
		}
		l.pools[p.Name] = p
	}
	if err := l.prepareRoutes(); err != nil {
		return err
	}
	return l.prepareKeys()
}

func (l *Layout) prepareRoutes() error {
	l.hosts = map[string][]*Route{}
	for _, r := range l.Routes {
		if err := l.checkRoute(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		l.hosts[r.Host] = append(l.hosts[r.Host], r)
	}
	for host, routes := range l.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
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
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Newf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.New("timeout is not positive")
	case len(r.Shares) == 0:
		return errors.New("no service")
	}
	total := 0
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

func (l *Layout) prepareKeys() error {
	l.keys = map[string]*Client{}
	for _, c := range l.Clients {
		if c.Name == "" {
			return errors.New("client account without a name")
		}
		for _, k := range c.Keys {
			if l.keys[k] != nil && l.keys[k] != c {
				return errors.Newf("client accounts %s and %s share a key", l.keys[k].Name, c.Name)
			}
			l.keys[k] = c
		}
	}
	return nil
}

// Match returns the route of a request: the longest prefix of the path among the
// routes of the host, or nil.
func (l *Layout) Match(host, path string) *Route {
	for _, r := range l.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns a service, or nil.
func (l *Layout) Pool(s Service) *Pool { return l.pools[s] }

// RequiresKey tells whether requests must carry a key.
func (l *Layout) RequiresKey() bool { return len(l.Clients) > 0 }

// Client returns the client account of a key, or nil.
func (l *Layout) Client(key string) *Client { return l.keys[key] }

// PickService chooses a service of the route; point is from 0 to 1.
func (r *Route) PickService(point float64) Service {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := int(point * float64(total))
	for _, s := range r.Shares {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
