// Package soak runs instances as processes under load, injects random faults from outside
// (signals, loopback proxies, deleted data directories), and checks what callers and upstreams
// observe. A seed determines the schedule of faults, but not the timing within the processes.
package soak

import (
	"context"
	"crypto/sha256"
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
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Names in the configuration document of a soak test.
const (
	Host        = "soak.example"
	OncePath    = "/once/"
	ReadPath    = "/read/"
	StreamPath  = "/stream/"
	DeskService = "desk"
	PoolService = "pool"
	Account     = "steady"
	APIKey      = "steady-key"
	// ChangingAccount has the API key of the document.
	ChangingAccount = "changing"
	// RouteTimeout is the time limit of a request on every route.
	RouteTimeout = 4 * time.Second
)

// Time limits that the user documentation promises.
const (
	// GracePeriod limits the graceful shutdown of an instance.
	GracePeriod = 8 * time.Second
	// RevocationDelay limits how long a revoked API key still works.
	RevocationDelay = 5 * time.Second
	// PropagationDelay is the time after which an applied document is in force everywhere.
	PropagationDelay = 2 * time.Second
	// reconnectTime is the time after a disturbance in which instances may still be out of contact.
	reconnectTime = 3 * time.Second
	// recoveryTime is the time after the last fault in which all instances become ready.
	recoveryTime = 12 * time.Second
	// latencyTolerance is how much later than its time limit a response may arrive.
	latencyTolerance = 500 * time.Millisecond
)

// Sizes and phases of a run.
const (
	// controlInstances have a data directory and form the control group, the others have none.
	controlInstances = 3
	poolUpstreams    = 4
	// Phases with faults and planned work alternate with phases of planned work only.
	faultPhase = 6 * time.Second
	quietPhase = 12 * time.Second
)

// ErrChecksFailed means that a check failed; the report lists the violations.
var ErrChecksFailed = errors.New("promises were broken")

// Settings holds the settings of one instance.
type Settings struct {
	Name, IP, Zone string
	// SeedAddresses are the IP addresses of the control instances.
	SeedAddresses []string
	// InitialStart is set only when the whole deployment starts for the first time.
	InitialStart bool
	// Losses is how many control instances may be lost at the same time, or 0 if the settings don't say.
	Losses int
	// DataDirectory is empty unless the instance is a control instance.
	DataDirectory string
	// GracePeriod limits the graceful shutdown, RevocationDelay how long a revoked API key works.
	GracePeriod, RevocationDelay time.Duration
}

// Document is a configuration document. Besides the fixed part, each version has a route and
// an API key of its own, which replace those of the version before.
type Document struct {
	Version   int
	AddedPath string
	APIKey    string
	// ExtraRoutes is the number of further routes, which make the document larger.
	ExtraRoutes int
	// Routes, Services and Accounts come on top of those that all documents have.
	Routes   []Route
	Services []string
	Accounts []ClientAccount
	// Truncated cuts the end of the document off.
	Truncated bool
}

// Route is a route of idempotent requests.
type Route struct {
	Host, Path string
	Shares     []Share
	Timeout    time.Duration
	Public     bool
}

// Share is a service with its weight in a route.
type Share struct {
	Service string
	Weight  int
}

// ClientAccount is a client account with its API keys.
type ClientAccount struct {
	Name string
	Keys []string
}

// ExtraPath returns the path of one of the extra routes. The paths hardly compress, so that the size
// of a document counts where instances pass it on.
func (d *Document) ExtraPath(i int) string {
	name := fmt.Sprintf("extra-%d-%d", d.Version, i)
	return fmt.Sprintf("/%s-%x/", name, sha256.Sum256([]byte(name)))
}

// Announcement is what an upstream announces to an instance.
type Announcement struct {
	ID, Service, Address, Zone string
	Slots                      int
	// Incarnation is the start time of the upstream. Sequence increases with each announcement
	// of an incarnation.
	Incarnation            time.Time
	Sequence               uint64
	Draining, Deregistered bool
}

// Dialect implements the protocol and the settings of the instances.
type Dialect interface {
	// Protocol returns the header names.
	Protocol() *upstream.Protocol
	// EnvironmentVariable returns the variable that names the settings file, as NAME=VALUE.
	EnvironmentVariable(path string) string
	// SettingsFile returns the content of the settings file of an instance.
	SettingsFile(s Settings) []byte
	// FrontendAddress returns the address, IP:PORT, at which an instance accepts requests of callers.
	FrontendAddress(ip string) string
	// ReadinessURL returns the URL at which an instance answers with status 200 once it is ready.
	ReadinessURL(ip string) string
	// ReplaceRequest returns the request to an instance that replaces the configuration document.
	ReplaceRequest(ip string, d Document) (*http.Request, error)
	// ReadRequest returns the request to an instance that reads the configuration document.
	ReadRequest(ip string) (*http.Request, error)
	// AnnounceRequest returns the request by which an upstream announces itself to an instance.
	AnnounceRequest(ip string, a Announcement) (*http.Request, error)
	// EvacuationRequest returns the request to an instance that begins or ends the evacuation of a zone.
	EvacuationRequest(ip, zone string, begin bool) (*http.Request, error)
	// DrainDelay is how long an upstream may still get requests after an instance has
	// acknowledged that it drains or leaves.
	DrainDelay() time.Duration
}

// Size is the size of a run.
type Size struct {
	Instances     int
	DeskUpstreams int
	Callers       int
	// Slots is the number of requests that an upstream announces to run at once, and BrittleRoom the least
	// number that it runs while it is brittle.
	Slots, BrittleRoom int
}

// DefaultSize is the size of a run on a machine with few cores.
var DefaultSize = Size{Instances: 5, DeskUpstreams: 3, Callers: 12, Slots: 16, BrittleRoom: 2}

// maxInstances bounds the instances, each of which has its own address and process.
const maxInstances = 200

// Check checks that the size can be run.
func (s Size) Check() error {
	switch {
	case s.Instances < controlInstances+2 || s.Instances > maxInstances:
		return errors.Newf("expected %d to %d instances, found %d", controlInstances+2, maxInstances, s.Instances)
	case s.DeskUpstreams < 2 || s.Callers < 1 || s.Slots < 1 || s.BrittleRoom < 1:
		return errors.New("expected at least 2 upstreams, and at least 1 caller, slot and request at a brittle upstream")
	}
	return nil
}

// Options configures a run.
type Options struct {
	Dialect   Dialect
	Binary    string // absolute path of wisteriakeel
	Directory string // for settings, data directories and logs
	Seed      uint64
	Size      Size
	// Faults are the names of the faults and the planned work that are injected; all if empty.
	Faults []string
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	Timer         timer.Service
	Out           io.Writer
}

// Soak is the state of one run.
type Soak struct {
	options       Options
	directory     string
	launcher      *cluster.Launcher
	recorder      *recorder
	client        *http.Client
	instances     []*instance
	seedAddresses []string
	group         *group.Group

	mu              sync.Mutex
	random          *rand.Rand // for draws outside the fault schedule
	upstreams       []*simulatedUpstream
	running         map[*simulatedUpstream]struct{} // including those that drain or have left
	partition       *partition                      // nil without one
	brittle         map[string]*brittleTime         // by service, while its upstreams are brittle
	documents       []acknowledgedDocument
	documentPending bool // a document was sent and is not acknowledged yet
	evacuation      evacuation
	evacuating      atomic.Bool
}

// acknowledgedDocument is a document with the time of its acknowledgement.
type acknowledgedDocument struct {
	Document
	at timer.Instant
}

// Run runs the soak test with one seed and prints a report. It returns ErrChecksFailed if a
// check failed.
func Run(ctx context.Context, o Options) (err error) {
	s := &Soak{
		options: o, directory: o.Directory, recorder: newRecorder(o.Timer), client: &http.Client{},
		random: rand.New(rand.NewPCG(o.Seed, 7)), group: group.New(ctx), running: map[*simulatedUpstream]struct{}{}, brittle: map[string]*brittleTime{},
	}
	s.launcher = cluster.NewLauncher(s.directory)
	defer func() { err = errors.CombineErrors(err, s.launcher.Close()) }()
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	in, err := newInjector(s)
	if err != nil {
		return err
	}
	if err := in.run(ctx); err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	s.checkRecovery(ctx)
	return s.report()
}

// randomInt returns a random number below n.
func (s *Soak) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// start starts the instances, the upstreams and the callers, in this order.
func (s *Soak) start(ctx context.Context) error {
	// Each process has its own loopback address, so that all can use the same ports.
	block := fmt.Sprintf("127.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)
	for i := range s.options.Size.Instances {
		n := &instance{soak: s, name: fmt.Sprint("gateway-", i+1), ip: fmt.Sprintf("%s.%d", block, 10+i), zone: zones[i%len(zones)]}
		if i < controlInstances {
			n.dataDirectory = filepath.Join(s.directory, n.name+".disk")
			s.seedAddresses = append(s.seedAddresses, n.ip)
		}
		s.instances = append(s.instances, n)
	}
	for _, n := range s.instances {
		if err := n.start(true); err != nil {
			return err
		}
	}
	if !s.applyDocument(ctx, s.nextDocument()) {
		return errors.New("the initial configuration document was not acknowledged")
	}
	for i := range s.options.Size.DeskUpstreams + poolUpstreams {
		service := DeskService
		if i >= s.options.Size.DeskUpstreams {
			service = PoolService
		}
		u, err := s.startUpstream(fmt.Sprint(service, "-", i+1), service, zones[i%len(zones)], s.options.Seed+uint64(i))
		if err != nil {
			return err
		}
		s.upstreams = append(s.upstreams, u)
	}
	for _, n := range s.instances {
		if !s.awaitReady(ctx, n, recoveryTime) {
			return errors.Newf("%s did not become ready", n.name)
		}
	}
	_ = timer.Sleep(ctx, s.options.Timer, 2*announceInterval) // until all instances know the upstreams
	for i := range s.options.Size.Callers {
		c := &caller{soak: s, number: i, random: rand.New(rand.NewPCG(s.options.Seed, uint64(100+i)))}
		s.group.Go("caller", c.run)
	}
	return nil
}

// stop stops the callers and the upstreams.
func (s *Soak) stop() {
	_ = s.group.Stop()
	s.mu.Lock()
	list := s.upstreams
	s.mu.Unlock()
	for _, u := range list {
		u.crash()
	}
}

// awaitReady polls the readiness check of an instance until it succeeds or the limit has passed.
func (s *Soak) awaitReady(ctx context.Context, n *instance, limit time.Duration) bool {
	end := s.options.Timer.Now().Add(limit)
	for s.options.Timer.Now() < end && ctx.Err() == nil {
		q, err := http.NewRequest(http.MethodGet, s.options.Dialect.ReadinessURL(n.ip), nil)
		if err != nil {
			return false
		}
		if status, _, err := s.sendUnchecked(ctx, q, time.Second); err == nil && status == http.StatusOK {
			return true
		}
		_ = timer.Sleep(ctx, s.options.Timer, 50*time.Millisecond)
	}
	return false
}

// nextDocument returns the successor of the last acknowledged document.
func (s *Soak) nextDocument() Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := 1
	if n := len(s.documents); n > 0 {
		v = s.documents[n-1].Version + 1
	}
	return Document{Version: v, AddedPath: fmt.Sprintf("/added-%d/", v), APIKey: fmt.Sprint("key-", v)}
}

// applyDocument sends a document to random instances until one acknowledges it. It returns
// false if none does, or if the document is rejected.
func (s *Soak) applyDocument(ctx context.Context, d Document) bool {
	s.mu.Lock()
	s.documentPending = true
	s.mu.Unlock()
	for range 100 {
		n := s.instances[s.randomInt(len(s.instances))]
		q, err := s.options.Dialect.ReplaceRequest(n.ip, d)
		if err != nil {
			s.recorder.violation("document: %v", err)
			return false
		}
		status, body, err := s.sendUnchecked(ctx, q, time.Second)
		switch {
		case err == nil && status == http.StatusOK:
			s.mu.Lock()
			s.documents = append(s.documents, acknowledgedDocument{d, s.options.Timer.Now()})
			s.documentPending = false
			s.mu.Unlock()
			s.recorder.count("documents")
			return true
		case err == nil && status >= 400 && status < 500:
			s.recorder.violation("document %d is refused by %s: %d %s", d.Version, n.name, status, body)
			return false
		}
		if timer.Sleep(ctx, s.options.Timer, 100*time.Millisecond) != nil {
			return false
		}
	}
	return false
}

// documentsAt returns the document that is in force on all instances, and the newest one whose
// API key must no longer work. Either may be empty.
func (s *Soak) documentsAt(now timer.Instant) (current, revoked Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.documents)
	if last := s.documents[n-1]; !s.documentPending && last.at.Add(PropagationDelay) < now {
		current = last.Document
	}
	for i := n - 1; i > 0; i-- {
		if s.documents[i].at.Add(RevocationDelay) < now {
			return current, s.documents[i-1].Document
		}
	}
	return current, revoked
}

// routeInForce reports whether the document in force at the start of a request has the route.
func (s *Soak) routeInForce(path string, begin timer.Instant) bool {
	current, _ := s.documentsAt(begin)
	return current.AddedPath == path
}

// checkRecovery checks that after the last fault all instances become ready, callers get
// responses, and all instances have the newest document.
func (s *Soak) checkRecovery(ctx context.Context) {
	end := s.options.Timer.Now().Add(recoveryTime)
	for _, n := range s.instances {
		if !s.awaitReady(ctx, n, max(end.Sub(s.options.Timer.Now()), time.Second)) {
			s.recorder.violation("%s is not ready %s after the last fault", n.name, recoveryTime)
		}
	}
	_ = timer.Sleep(ctx, s.options.Timer, max(end.Sub(s.options.Timer.Now()), 0))
	before := s.countOf("answered")
	_ = timer.Sleep(ctx, s.options.Timer, 2*time.Second)
	if s.countOf("answered") < before+s.options.Size.Callers {
		s.recorder.violation("callers get hardly any answers after the last fault")
	}
	s.mu.Lock()
	newest := s.documents[len(s.documents)-1]
	s.mu.Unlock()
	want := regexp.MustCompile(fmt.Sprintf(`"version":\s*%d[,}\s]`, newest.Version))
	for _, n := range s.instances {
		q, err := s.options.Dialect.ReadRequest(n.ip)
		if err != nil {
			s.recorder.violation("document: %v", err)
			return
		}
		status, body, err := s.sendUnchecked(ctx, q, 2*time.Second)
		if err != nil || status != http.StatusOK || !want.Match(body) {
			s.recorder.violation("%s reads the document back as %d %.80s %v, expected version %d", n.name, status, body, err, newest.Version)
		}
	}
}

// countOf returns one of the recorded counts.
func (s *Soak) countOf(name string) int {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return s.recorder.counts[name]
}

// report prints the counts and the violations, and returns an error if a check failed.
func (s *Soak) report() error {
	r := s.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("soak seed %d:", s.options.Seed)
	for _, n := range slices.Sorted(maps.Keys(r.counts)) {
		line += fmt.Sprintf(" %s %d,", n, r.counts[n])
	}
	_, _ = fmt.Fprintln(s.options.Out, strings.TrimSuffix(line, ","))
	for _, v := range r.violations {
		_, _ = fmt.Fprintln(s.options.Out, "broken at", v)
	}
	if r.counts["broken"] > 0 {
		return errors.Wrapf(ErrChecksFailed, "seed %d", s.options.Seed)
	}
	if r.counts["answered"] == 0 {
		return errors.Newf("seed %d: no request was answered, so the run checked nothing", s.options.Seed)
	}
	return nil
}
