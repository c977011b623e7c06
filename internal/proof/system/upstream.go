package system

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/bench/announce"
	"wisteriakeel.example/wisteriakeel/internal/bench/engine"
	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/bench/plain"
)

// Upstream is a simulated engine or plain service.
type Upstream struct {
	*FaultInjector
	Name    string
	Address string
	// Faults holds the injected faults; Runs counts runs per request id or idempotency key.
	Faults *fault.Set
	Runs   *fault.RunCounter

	system    *System
	listener  net.Listener
	server    *http.Server
	announcer *announce.Announcer
	ctx       context.Context
	cancel    context.CancelFunc
}

func (s *System) startPlain(i int) *Upstream {
	s.test.Helper()
	u := &Upstream{Name: fmt.Sprint("plain-", i+1), system: s}
	service := plain.New(plain.Options{Service: PlainService, Timer: s.newFaultFreeClock(), Crash: u.crash})
	u.Faults, u.Runs = &service.Faults, &service.Runs
	u.start(service, announce.Options{Announcement: announce.Announcement{Service: PlainService}, Load: service.Load})
	return u
}

func (s *System) startEngine(i int) *Upstream {
	s.test.Helper()
	model := []string{"draft", "large"}[i%2]
	version := s.options.EngineVersions[i/2%len(s.options.EngineVersions)]
	u := &Upstream{Name: fmt.Sprint("engine-", i+1), system: s}
	e := engine.New(engine.Options{
		Service: EngineService, Model: model, Version: version, QueueCapacity: 16, BaseStepTime: s.options.TokenInterval, Timer: s.newFaultFreeClock(), Crash: u.crash,
	})
	u.Faults, u.Runs = &e.Faults, &e.Runs
	s.group.Go(u.Name+" batch", e.Run)
	u.start(e, announce.Options{
		Announcement: announce.Announcement{Service: EngineService, Model: model, Version: version, Features: s.options.EngineFeatures}, Load: e.Load,
	})
	return u
}

// newFaultFreeClock returns a clock that cannot be frozen, for the simulated work of upstreams.
func (s *System) newFaultFreeClock() *clock { return newClock(newFaultInjector(s.done)) }

// start opens an address, serves the handler on it and announces it to the entries.
func (u *Upstream) start(handler interface{ Register(mux *http.ServeMux) }, o announce.Options) {
	s := u.system
	s.test.Helper()
	u.FaultInjector = newFaultInjector(s.done)
	var err error
	u.listener, err = u.listen("127.0.0.1:0")
	s.requireNoError(err)
	u.Address = u.listener.Addr().String()
	mux := http.NewServeMux()
	handler.Register(mux)
	u.server = &http.Server{Handler: u.withHook(s.options.WrapUpstream(u.Name, mux)), ReadHeaderTimeout: 5 * time.Second}
	o.Announcement.Name, o.Announcement.Address, o.Announcement.Zone = u.Name, u.Address, "concord"
	o.Token, o.Timer = UpstreamToken, newClock(u.FaultInjector)
	for _, e := range s.Entries {
		o.Entries = append(o.Entries, e.Address)
	}
	u.announcer = announce.New(o)
	u.ctx, u.cancel = context.WithCancel(context.Background())
	s.group.Go(u.Name, u.runAnnouncer)
	s.group.Go(u.Name+" http", u.serveHTTP)
}

// runAnnouncer sends heartbeats until the upstream is killed. It returns no error, which
// would stop the other instances.
func (u *Upstream) runAnnouncer(context.Context) error {
	_ = u.announcer.Run(u.ctx)
	return nil
}

// serveHTTP serves requests until the server is closed.
func (u *Upstream) serveHTTP(context.Context) error {
	_ = u.server.Serve(u.listener)
	return nil
}

// withHook calls the hook before and after each request is processed.
func (u *Upstream) withHook(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := HookPoint{Instance: u.Name, Step: StepRun, Key: r.Header.Get("Idempotency-Key")}
		u.system.options.Hook(p)
		next.ServeHTTP(w, r)
		p.Completed = true
		u.system.options.Hook(p)
	})
}

// Kill stops the upstream and closes all its connections.
func (u *Upstream) Kill() {
	u.kill()
	u.cancel()
	_ = u.server.Close()
}

// crash kills the upstream while it processes a request, as a crash of its process would.
func (u *Upstream) crash() {
	u.Kill()
	panic(http.ErrAbortHandler)
}

// RunCount returns how many times the plain services ran the call with the idempotency key.
func (s *System) RunCount(key string) int {
	n := 0
	for _, u := range s.PlainServices {
		n += u.Runs.Counts().ByID[key]
	}
	return n
}
