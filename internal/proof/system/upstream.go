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

// Upstream is one simulated engine or plain service.
type Upstream struct {
	*FaultInjector
	Name    string
	Address string
	// Faults switches faults on; Runs counts runs per request or idempotency key.
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
	p := plain.New(plain.Options{Service: PlainService, Timer: s.clock(), Crash: u.crash})
	u.Faults, u.Runs = &p.Faults, &p.Runs
	u.serve(p, announce.Options{Announcement: announce.Announcement{Service: PlainService}, Load: p.Load})
	return u
}

func (s *System) startEngine(i int) *Upstream {
	s.test.Helper()
	model := []string{"draft", "large"}[i%2]
	version := s.options.EngineVersions[i/2%len(s.options.EngineVersions)]
	u := &Upstream{Name: fmt.Sprint("engine-", i+1), system: s}
	e := engine.New(engine.Options{
		Service: EngineService, Model: model, Version: version, QueueCapacity: 16, BaseStepTime: s.options.TokenInterval, Timer: s.clock(), Crash: u.crash,
	})
	u.Faults, u.Runs = &e.Faults, &e.Runs
	s.group.Go(u.Name+" batch", e.Run)
	u.serve(e, announce.Options{
		Announcement: announce.Announcement{Service: EngineService, Model: model, Version: version, Features: s.options.EngineFeatures}, Load: e.Load,
	})
	return u
}

func (s *System) clock() *clock { return newClock(newGate(s.ended)) }

// serve opens the address and announces it.
func (u *Upstream) serve(handler interface{ Register(mux *http.ServeMux) }, o announce.Options) {
	s := u.system
	s.test.Helper()
	u.FaultInjector = newGate(s.ended)
	var err error
	u.listener, err = u.listen("127.0.0.1:0")
	s.must(err)
	u.Address = u.listener.Addr().String()
	mux := http.NewServeMux()
	handler.Register(mux)
	u.server = &http.Server{Handler: u.hooked(s.options.WrapUpstream(u.Name, mux)), ReadHeaderTimeout: 5 * time.Second}
	o.Announcement.Name, o.Announcement.Address, o.Announcement.Zone = u.Name, u.Address, "concord"
	o.Token, o.Timer = UpstreamToken, newClock(u.FaultInjector)
	for _, e := range s.Entries {
		o.Entries = append(o.Entries, e.Address)
	}
	u.announcer = announce.New(o)
	u.ctx, u.cancel = context.WithCancel(context.Background())
	s.group.Go(u.Name, u.run)
	s.group.Go(u.Name+" http", u.loop)
}

// run announces until the upstream is killed; it never leaves by itself.
func (u *Upstream) run(context.Context) error {
	_ = u.announcer.Run(u.ctx)
	return nil
}

// loop serves HTTP until the server is closed.
func (u *Upstream) loop(context.Context) error {
	_ = u.server.Serve(u.listener)
	return nil
}

// hooked shows the run of each request to the hook.
func (u *Upstream) hooked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := HookPoint{Instance: u.Name, Step: StepRun, Key: r.Header.Get("Idempotency-Key")}
		u.system.options.Hook(p)
		next.ServeHTTP(w, r)
		p.Completed = true
		u.system.options.Hook(p)
	})
}

// Kill ends the upstream with all its connections.
func (u *Upstream) Kill() {
	u.kill()
	u.cancel()
	_ = u.server.Close()
}

// crash is the end of the process in the middle of a request.
func (u *Upstream) crash() {
	u.Kill()
	panic(http.ErrAbortHandler)
}

// RunCount returns how often the plain services ran the call with the key.
func (s *System) RunCount(key string) int {
	n := 0
	for _, u := range s.PlainServices {
		n += u.Runs.Counts().ByID[key]
	}
	return n
}
