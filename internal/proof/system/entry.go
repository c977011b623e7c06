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

// Entry is one entry. Killed, it does not come back.
type Entry struct {
	*FaultInjector
	Name    string
	Address string
	// Client is the entry's client of the control instances. It does not pass the
	// hook; don't use it while the entry is frozen.
	Client *client.Client
	// Handler serves the entry's callers.
	Handler *caller.Handler

	system   *System
	listener net.Listener
	server   *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
}

func (s *System) startEntry(i int) *Entry {
	s.test.Helper()
	o := s.options
	e := &Entry{FaultInjector: newGate(s.ended), Name: fmt.Sprint("entry-", i+1), system: s}
	var err error
	e.listener, err = e.listen("127.0.0.1:0")
	s.must(err)
	e.Address = e.listener.Addr().String()
	s.started++
	random := rand.New(rand.NewPCG(o.Seed, 99+s.started))
	self := &wire.Instance{Name: e.Name, Address: e.Address, Zone: "concord", Region: "new-england"}
	epoch := random.Uint64()
	service := newClock(e.FaultInjector)
	e.Client, err = client.New(client.Options{
		Addresses: s.peers, PeerToken: s.secrets.PeerToken(), Groups: 1, Instance: self, Epoch: epoch, Timer: service,
		Random: rand.New(rand.NewPCG(o.Seed, 199+s.started)), Log: o.Log.Named(e.Name), Dial: e.dialTCP,
	})
	s.must(err)
	limits := upstream.DefaultLimits()
	limits.CallTimeout = o.MaxCallTimeout
	if o.HeaderTimeout > 0 {
		limits.HeaderTimeout = o.HeaderTimeout
	}
	if o.TokenTimeout > 0 {
		limits.TokenTimeout = o.TokenTimeout
	}
	p := caller.Options{
		Control: &hooked{Client: e.Client, entry: e}, Credentials: s.secrets, Timer: service, Random: random,
		Log: o.Log.Named(e.Name), Self: self, Epoch: epoch, Upstream: limits, MaxTimeout: o.MaxCallTimeout, DefaultTimeout: o.MaxCallTimeout,
		ClaimTakeoverAge: o.ClaimTakeoverAge, Dial: e.dialUpstream, EntryListLifetime: o.EntryListLifetime, PropagationDelay: o.PropagationDelay,
	}
	if r := s.rater(); r != nil {
		p.Rater = r
	}
	h, err := caller.New(p)
	s.must(err)
	e.Handler = h
	mux := http.NewServeMux()
	h.Register(mux)
	upstream.NewHandler(e.Client, s.secrets).Register(mux)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	s.group.Go(e.Name, e.run)
	s.group.Go(e.Name+" http", e.loop)
	return e
}

// run ends with the entry's own context, so that it can be killed alone.
func (e *Entry) run(context.Context) error { return e.Client.Run(e.ctx) }

// loop serves HTTP until the server is closed.
func (e *Entry) loop(context.Context) error {
	_ = e.server.Serve(e.listener)
	return nil
}

// Kill ends the entry with all its connections at once. Requests in progress go
// no further.
func (e *Entry) Kill() {
	e.kill()
	e.cancel()
	_ = e.server.Close()
}

// Shutdown ends the entry as a signal does: it drains and waits for the requests
// in progress.
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

// dialUpstream opens a connection whose first byte passes the hook.
func (e *Entry) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	n, err := e.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := n.(*conn)
	c.send = func() { e.system.options.Hook(HookPoint{Instance: e.Name, Step: StepSend}) }
	return c, nil
}

// hooked is the control client of an entry's requests.
type hooked struct {
	*client.Client
	entry *Entry
}

var steps = map[wire.Step]Step{
	wire.Step_STEP_OPEN: StepOpen, wire.Step_STEP_DISPATCH: StepDispatch, wire.Step_STEP_FINISH: StepFinish,
	wire.Step_STEP_ABORT: StepAbort, wire.Step_STEP_READ: StepRead,
}

// step makes one call with the hook on both sides.
func (h *hooked) step(p HookPoint, f func() *wire.ClaimReply) {
	p.Instance = h.entry.Name
	h.entry.system.options.Hook(p)
	h.entry.pass()
	p.ClaimReply, p.Completed = f(), true
	h.entry.pass()
	h.entry.system.options.Hook(p)
	h.entry.pass()
}

// Claim passes the hook.
func (h *hooked) Claim(ctx context.Context, r *wire.ClaimRequest) (reply *wire.ClaimReply, err error) {
	h.step(HookPoint{Step: steps[r.Step], Key: r.Key}, func() *wire.ClaimReply {
		reply, err = h.Client.Claim(ctx, r)
		return reply
	})
	return reply, err
}

// Pin passes the hook.
func (h *hooked) Pin(ctx context.Context, r *wire.PinRequest) (reply *wire.PinReply, err error) {
	h.step(HookPoint{Step: StepPin, Key: r.Session}, func() *wire.ClaimReply {
		reply, err = h.Client.Pin(ctx, r)
		return nil
	})
	return reply, err
}

// Charge passes the hook.
func (h *hooked) Charge(ctx context.Context, r *wire.ChargeRequest) (reply *wire.ChargeReply, err error) {
	h.step(HookPoint{Step: StepCharge, Key: r.Request}, func() *wire.ClaimReply {
		reply, err = h.Client.Charge(ctx, r)
		return nil
	})
	return reply, err
}
