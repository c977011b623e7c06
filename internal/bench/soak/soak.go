// Package soak runs instances as processes, injects faults from outside them by signals,
// loopback proxies and lost disks, and checks what callers and upstreams see meanwhile.
// The schedule of faults follows from a seed; the times at which processes notice them
// do not.
package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// What the document of a soak names.
const (
	Host        = "soak.example"
	OncePath    = "/once/"
	ReadPath    = "/read/"
	StreamPath  = "/stream/"
	DeskService = "desk"
	PoolService = "pool"
	Account     = "steady"
	APIKey      = "steady-key"
	// RouteTimeout is the longest time of a request.
	RouteTimeout = 4 * time.Second
)

// Bounds that the users' pages give.
const (
	grace    = 8 * time.Second
	revoke   = 5 * time.Second
	apply    = 2 * time.Second
	contact  = 3 * time.Second
	recovery = 12 * time.Second
	slack    = 500 * time.Millisecond
)

// Sizes of a run.
const (
	cores   = 3
	others  = 2
	desks   = 3
	pools   = 4
	callers = 12
	// storm and quiet are how long faults come and stay away in turn.
	storm = 6 * time.Second
	quiet = 12 * time.Second
)

// ErrChecksFailed says that a promise was broken; the report names it.
var ErrChecksFailed = errors.New("promises were broken")

// Settings are those of one instance.
type Settings struct {
	Name, IP, Zone string
	SeedAddresses  []string
	// InitialStart is true only when the whole deployment starts for the first time.
	InitialStart                 bool
	DataDirectory                string
	GracePeriod, RevocationDelay time.Duration
}

// Document is a configuration: a fixed part, one route that each version replaces, and
// one key that each version withdraws.
type Document struct {
	Version   int
	AddedPath string
	APIKey    string
}

// Announcement is what an upstream says of itself.
type Announcement struct {
	ID, Service, Address, Zone string
	Incarnation                time.Time
	Sequence                   uint64
	Draining, Deregistered     bool
}

// Dialect is how the programs are spoken to.
type Dialect interface {
	Protocol() *upstream.Protocol
	EnvironmentVariable(path string) string
	SettingsFile(n Settings) []byte
	FrontendAddress(ip string) string
	ReadinessURL(ip string) string
	ReplaceRequest(ip string, d Document) (*http.Request, error)
	ReadRequest(ip string) (*http.Request, error)
	AnnounceRequest(ip string, a Announcement) (*http.Request, error)
	// DrainDelay is how long an upstream may get requests after its end is acknowledged.
	DrainDelay() time.Duration
}

// Options are the parts of a run.
type Options struct {
	Dialect   Dialect
	Binary    string // absolute path of wisteriakeel
	Directory string // where the run keeps settings, disks and logs
	Seed      uint64
	// FaultDuration is how long faults come.
	FaultDuration time.Duration
	Timer         timer.Service
	Out           io.Writer
}

// Soak is one run.
type Soak struct {
	options  Options
	folder   string
	launcher *cluster.Launcher
	ledger   *ledger
	client   *http.Client
	nodes    []*node
	seeds    []string
	group    *group.Group

	mu        sync.Mutex
	random    *rand.Rand // for what does not belong to the schedule
	upstreams []*upstreamNode
	documents []acknowledged
	pending   bool // a document is on its way
}

// acknowledged is a document and when it was acknowledged.
type acknowledged struct {
	Document
	at timer.Instant
}

// Run plays one seed and reports. The folder is kept if a promise was broken.
func Run(ctx context.Context, o Options) (err error) {
	s := &Soak{
		options: o, folder: o.Directory, ledger: newLedger(o.Timer), client: &http.Client{},
		random: rand.New(rand.NewPCG(o.Seed, 7)), group: group.New(ctx),
	}
	s.launcher = cluster.NewLauncher(s.folder)
	defer func() { err = errors.CombineErrors(err, s.launcher.Close()) }()
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	c := newScript(s)
	if err := c.play(ctx); err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	s.settle(ctx)
	return s.report()
}

// draw returns a random number below n.
func (s *Soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// start starts instances, upstreams and callers, in this order.
func (s *Soak) start(ctx context.Context) error {
	zones := []string{"a", "b", "c"}
	// Each process has its own address, so that all may use the ports of the platform.
	block := fmt.Sprintf("127.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)
	for i := range cores + others {
		n := &node{soak: s, name: fmt.Sprint("gateway-", i+1), ip: fmt.Sprintf("%s.%d", block, 10+i), zone: zones[i%len(zones)]}
		if i < cores {
			n.folder = filepath.Join(s.folder, n.name+".disk")
			s.seeds = append(s.seeds, n.ip)
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	if !s.replace(ctx, s.next()) {
		return errors.New("the first document is not acknowledged")
	}
	for i := range desks + pools {
		service := DeskService
		if i >= desks {
			service = PoolService
		}
		u, err := s.startUpstream(fmt.Sprint(service, "-", i+1), service, zones[i%len(zones)], s.options.Seed+uint64(i))
		if err != nil {
			return err
		}
		s.upstreams = append(s.upstreams, u)
	}
	for _, n := range s.nodes {
		if !s.await(ctx, n, recovery) {
			return errors.Newf("%s is not ready", n.name)
		}
	}
	_ = timer.Sleep(ctx, s.options.Timer, 2*beat) // until the upstreams are known
	for i := range callers {
		c := &caller{soak: s, number: i, random: rand.New(rand.NewPCG(s.options.Seed, uint64(100+i)))}
		s.group.Go("caller", c.run)
	}
	return nil
}

func (s *Soak) stop() {
	_ = s.group.Stop()
	s.mu.Lock()
	list := s.upstreams
	s.mu.Unlock()
	for _, u := range list {
		u.crash()
	}
}

// await waits until an instance is ready.
func (s *Soak) await(ctx context.Context, n *node, limit time.Duration) bool {
	end := s.options.Timer.Now().Add(limit)
	for s.options.Timer.Now() < end && ctx.Err() == nil {
		q, err := http.NewRequest(http.MethodGet, s.options.Dialect.ReadinessURL(n.ip), nil)
		if err != nil {
			return false
		}
		if status, _, err := s.ask(ctx, q, time.Second); err == nil && status == http.StatusOK {
			return true
		}
		_ = timer.Sleep(ctx, s.options.Timer, 50*time.Millisecond)
	}
	return false
}

// next returns the document after the newest that was sent.
func (s *Soak) next() Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := 1
	if n := len(s.documents); n > 0 {
		v = s.documents[n-1].Version + 1
	}
	return Document{Version: v, AddedPath: fmt.Sprintf("/added-%d/", v), APIKey: fmt.Sprint("key-", v)}
}

// replace sends a document to one instance after another until it is acknowledged.
func (s *Soak) replace(ctx context.Context, d Document) bool {
	s.mu.Lock()
	s.pending = true
	s.mu.Unlock()
	for range 100 {
		n := s.nodes[s.draw(len(s.nodes))]
		q, err := s.options.Dialect.ReplaceRequest(n.ip, d)
		if err != nil {
			s.ledger.broken("document: %v", err)
			return false
		}
		status, body, err := s.ask(ctx, q, time.Second)
		switch {
		case err == nil && status == http.StatusOK:
			s.mu.Lock()
			s.documents = append(s.documents, acknowledged{d, s.options.Timer.Now()})
			s.pending = false
			s.mu.Unlock()
			s.ledger.count("documents")
			return true
		case err == nil && status >= 400 && status < 500:
			s.ledger.broken("document %d is refused by %s: %d %s", d.Version, n.name, status, body)
			return false
		}
		if timer.Sleep(ctx, s.options.Timer, 100*time.Millisecond) != nil {
			return false
		}
	}
	return false
}

// document returns the document that is in force everywhere, and the newest whose key
// must not work any more. Either may be empty.
func (s *Soak) document(now timer.Instant) (force, former Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.documents)
	if last := s.documents[n-1]; !s.pending && last.at.Add(apply) < now {
		force = last.Document
	}
	for i := n - 1; i > 0; i-- {
		if s.documents[i].at.Add(revoke) < now {
			return force, s.documents[i-1].Document
		}
	}
	return force, former
}

// inForce tells whether the route is still the one in force.
func (s *Soak) inForce(path string, begun timer.Instant) bool {
	force, _ := s.document(begun)
	return force.AddedPath == path
}

// settle checks that all is well again after the last fault.
func (s *Soak) settle(ctx context.Context) {
	end := s.options.Timer.Now().Add(recovery)
	for _, n := range s.nodes {
		if !s.await(ctx, n, max(end.Sub(s.options.Timer.Now()), time.Second)) {
			s.ledger.broken("%s is not ready %s after the last fault", n.name, recovery)
		}
	}
	_ = timer.Sleep(ctx, s.options.Timer, max(end.Sub(s.options.Timer.Now()), 0))
	before := s.total("answered")
	_ = timer.Sleep(ctx, s.options.Timer, 2*time.Second)
	if s.total("answered") < before+callers {
		s.ledger.broken("callers get hardly any answers after the last fault")
	}
	s.mu.Lock()
	newest := s.documents[len(s.documents)-1]
	s.mu.Unlock()
	want := regexp.MustCompile(fmt.Sprintf(`"version":\s*%d[,}\s]`, newest.Version))
	for _, n := range s.nodes {
		q, err := s.options.Dialect.ReadRequest(n.ip)
		if err != nil {
			s.ledger.broken("document: %v", err)
			return
		}
		status, body, err := s.ask(ctx, q, 2*time.Second)
		if err != nil || status != http.StatusOK || !want.Match(body) {
			s.ledger.broken("%s reads the document back as %d %.80s %v, expected version %d", n.name, status, body, err, newest.Version)
		}
	}
}

func (s *Soak) total(name string) int {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return s.ledger.counts[name]
}

// report prints the counts and what was broken.
func (s *Soak) report() error {
	l := s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("soak seed %d:", s.options.Seed)
	for _, n := range slices.Sorted(maps.Keys(l.counts)) {
		line += fmt.Sprintf(" %s %d,", n, l.counts[n])
	}
	_, _ = fmt.Fprintln(s.options.Out, strings.TrimSuffix(line, ","))
	for _, b := range l.breaks {
		_, _ = fmt.Fprintln(s.options.Out, "broken at", b)
	}
	if l.counts["broken"] > 0 {
		return errors.Wrapf(ErrChecksFailed, "seed %d", s.options.Seed)
	}
	if l.counts["answered"] == 0 {
		return errors.Newf("seed %d: nothing was answered, so that nothing is shown", s.options.Seed)
	}
	return nil
}
