package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/entry/caller"
	client "wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Entry is an entry. A killed entry can't be started again; RestartEntry replaces it.
type Entry struct {
	*FaultInjector
	Name    string
	Address string
	// Client is the entry's client for the control instances. Its calls bypass the hook
	// and block while the entry is frozen.
	Client *client.Client
	// Handler serves requests of callers.
	Handler *caller.Handler

	system   *System
	listener net.Listener
	server   *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
}

// startEntry starts the entry with index i. Each start uses another address and epoch.
func (s *System) startEntry(i int) *Entry {
	s.test.Helper()
	o := s.options
	e := &Entry{FaultInjector: newFaultInjector(s.done), Name: fmt.Sprint("entry-", i+1), system: s}
	var err error
	e.listener, err = e.listen("127.0.0.1:0")
	s.requireNoError(err)
	e.Address = e.listener.Addr().String()
	s.entryStarts++
	random := rand.New(rand.NewPCG(o.Seed, 99+s.entryStarts))
	self := &wire.Instance{Name: e.Name, Address: e.Address, Zone: "concord", Region: "new-england"}
	epoch := random.Uint64()
	timerService := newClock(e.FaultInjector)
	e.Client, err = client.New(client.Options{
		Addresses: s.controlAddresses, PeerToken: s.secrets.PeerToken(), DataGroups: 1, Instance: self, Epoch: epoch, Timer: timerService,
		Random: rand.New(rand.NewPCG(o.Seed, 199+s.entryStarts)), Log: o.Log.Named(e.Name), Dial: e.dialTCP,
	})
	s.requireNoError(err)
	limits := upstream.DefaultLimits()
	limits.MaxRequestTimeout = o.MaxRequestTimeout
	if o.HeaderTimeout > 0 {
		limits.HeaderTimeout = o.HeaderTimeout
	}
	if o.EventGapTimeout > 0 {
		limits.EventGapTimeout = o.EventGapTimeout
	}
	p := caller.Options{
		Control: &hookedClient{Client: e.Client, entry: e}, Credentials: s.secrets, Timer: timerService, Random: random,
		Log: o.Log.Named(e.Name), Self: self, Epoch: epoch, UpstreamLimits: limits, MaxRequestTimeout: o.MaxRequestTimeout, DefaultTimeout: o.MaxRequestTimeout,
		ClaimTakeoverAge: o.ClaimTakeoverAge, Dial: e.dialUpstream, EntryListLifetime: o.EntryListLifetime, PropagationDelay: o.PropagationDelay,
	}
	if r := s.ratingClient(); r != nil {
		p.Rater = r
	}
	h, err := caller.New(p)
	s.requireNoError(err)
	e.Handler = h
	mux := http.NewServeMux()
	h.Register(mux)
	upstream.NewHandler(e.Client, s.secrets).Register(mux)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	s.group.Go(e.Name, e.run)
	s.group.Go(e.Name+" http", e.serveHTTP)
	return e
}

// run runs the client until the entry's own context ends, so that the entry can be killed alone.
func (e *Entry) run(context.Context) error { return e.Client.Run(e.ctx) }

// serveHTTP serves requests until the server is closed.
func (e *Entry) serveHTTP(context.Context) error {
	_ = e.server.Serve(e.listener)
	return nil
}

// Kill stops the entry at once and closes all its connections. Requests in progress
// make no further steps.
func (e *Entry) Kill() {
	e.kill()
	e.cancel()
	_ = e.server.Close()
}

// Shutdown stops the entry gracefully, as a signal does: it drains the entry and waits
// for requests in progress.
func (e *Entry) Shutdown(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "shutdown of "+e.Name)
		}
	}()
	if err := e.Handler.Drain(ctx); err != nil {
		return err
	}
	err = e.server.Shutdown(ctx)
	e.Kill()
	return err
}

// dialUpstream opens a connection that calls the hook before its first write.
func (e *Entry) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	n, err := e.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := n.(*conn)
	c.beforeFirstWrite = func() { e.system.options.Hook(HookPoint{Instance: e.Name, Step: StepSend}) }
	return c, nil
}

// hookedClient is the control client for the requests of an entry. It calls the hook
// before and after each call.
type hookedClient struct {
	*client.Client
	entry *Entry
}

// claimSteps maps the steps of a claim on the wire to those that the hook gets.
var claimSteps = map[wire.Step]Step{
	wire.Step_STEP_OPEN: StepOpen, wire.Step_STEP_DISPATCH: StepDispatch, wire.Step_STEP_FINISH: StepFinish,
	wire.Step_STEP_ABORT: StepAbort, wire.Step_STEP_READ: StepRead,
}

// callWithHook calls f, and the hook before and after it. It doesn't return once the
// entry is killed.
func (h *hookedClient) callWithHook(p HookPoint, f func() *wire.ClaimReply) {
	p.Instance = h.entry.Name
	h.entry.system.options.Hook(p)
	h.entry.exitIfKilled()
	p.ClaimReply, p.Completed = f(), true
	h.entry.exitIfKilled()
	h.entry.system.options.Hook(p)
	h.entry.exitIfKilled()
}

// Claim makes a step of a claim, with the hook.
func (h *hookedClient) Claim(ctx context.Context, r *wire.ClaimRequest) (reply *wire.ClaimReply, err error) {
	h.callWithHook(HookPoint{Step: claimSteps[r.Step], Key: r.Key}, func() *wire.ClaimReply {
		reply, err = h.Client.Claim(ctx, r)
		return reply
	})
	return reply, err
}

// Pin pins a session, with the hook.
func (h *hookedClient) Pin(ctx context.Context, r *wire.PinRequest) (reply *wire.PinReply, err error) {
	h.callWithHook(HookPoint{Step: StepPin, Key: r.Session}, func() *wire.ClaimReply {
		reply, err = h.Client.Pin(ctx, r)
		return nil
	})
	return reply, err
}

// Charge charges a request, with the hook.
func (h *hookedClient) Charge(ctx context.Context, r *wire.ChargeRequest) (reply *wire.ChargeReply, err error) {
	h.callWithHook(HookPoint{Step: StepCharge, Key: r.Request}, func() *wire.ClaimReply {
		reply, err = h.Client.Charge(ctx, r)
		return nil
	})
	return reply, err
}
