package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"wisteriakeel.example/wisteriakeel/internal/bench/weights"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/control/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const documentFormat = `{"service":"pool","kind":"engine","models":[{"name":"small","price":{"input":1,"output":2},
"versions":[{"name":"1","state":"%s"},{"name":"2","state":"active"},{"name":"3","state":"active"},{"name":"4","state":"candidate"}]}],
"accounts":[{"name":"hill","models":["small"],"weight":1,"limit":{}}]}`

// fixture is a dispatcher with a simulated group of one replica. It implements Node itself,
// and sender adapts it to Sender.
type fixture struct {
	*Dispatcher
	clock           *timer.Manual
	config          *state.Config
	budget          *weights.Budget
	term            replica.Term
	leaseRemaining  time.Duration
	unknownOutcomes int           // number of next proposals that end with an unknown outcome
	proposeTime     time.Duration // time that each proposal takes off the lease
	sendErr         error
	sent            []string
}

func newFixture() *fixture {
	f := &fixture{clock: timer.NewManual(), config: state.NewConfig(), budget: &weights.Budget{}, term: 1, leaseRemaining: replica.LeaseDuration}
	f.Dispatcher = New(Options{Node: f, Config: f.config, Sender: sender{f}, LoadLimiter: f.budget, Timer: f.clock})
	return f
}

func (f *fixture) LeaseRemaining() (replica.Term, time.Duration) { return f.term, f.leaseRemaining }

func (f *fixture) Propose(_ context.Context, command []byte) ([]byte, error) {
	out := f.config.Apply(0, command)
	f.leaseRemaining -= f.proposeTime
	if f.unknownOutcomes > 0 {
		f.unknownOutcomes--
		return nil, replica.ErrOutcomeUnknown
	}
	return out, nil
}

// sender records the orders that are sent and returns the error that the test sets.
type sender struct{ *fixture }

func (s sender) Send(_ context.Context, address string, o Order, permit func() error) error {
	if err := permit(); err != nil {
		return err
	}
	s.sent = append(s.sent, fmt.Sprintf("%s %s %s@%s %d", address, o.Kind, o.Model, o.Version, o.FencingToken))
	return s.sendErr
}

func (f *fixture) command(is *is.I, c *wire.Command) {
	text, err := proto.Marshal(c)
	is.NoErr(err)
	f.config.Apply(0, text)
}

func (f *fixture) apply(is *is.I, base uint64, firstState string) {
	f.command(is, &wire.Command{Body: &wire.Command_Apply{Apply: &wire.ApplyRequest{
		Service: "pool", Base: base, Text: fmt.Appendf(nil, documentFormat, firstState),
	}}})
}

func (f *fixture) announce(is *is.I, name, version string, incarnation uint64, features ...string) {
	f.command(is, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{Upstream: &wire.Upstream{
		Name: name, Incarnation: incarnation, Address: name, Service: "pool", Model: "small", Version: version, Features: features,
	}}}})
}

// run advances the clock in steps of planInterval and returns the orders that were sent.
func (f *fixture) run(d time.Duration) string {
	for range d / planInterval {
		f.clock.Advance(planInterval)
		if f.Ready() {
			f.sendNext(context.Background())
		}
	}
	out := strings.Join(f.sent, ", ")
	f.sent = nil
	return out
}

// Guards against an order that is sent before the lease of a former leader has expired, and
// against one that may arrive after the sender's own lease has expired.
func TestLease(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	send := func() error { return f.Send(context.Background(), "a", Order{Kind: KindLoad}) }
	is.True(!f.Ready())
	f.clock.Advance(NewLeaderDelay - 1)
	is.True(errors.Is(send(), ErrNoLease))
	f.clock.Advance(1)
	for _, c := range []struct {
		term           replica.Term
		leaseRemaining time.Duration
		proposeTime    time.Duration
		sent           int
	}{
		{1, replica.LeaseDuration, 0, 1},
		{1, MaxDeliveryTime, 0, 1},
		{1, MaxDeliveryTime + 1, 0, 2},
		{1, MaxDeliveryTime + 1, 1, 2}, // getting the token used up the lease
		{1, 0, 0, 2},
		{3, replica.LeaseDuration, 0, 2}, // another replica was the leader meanwhile
	} {
		f.term, f.leaseRemaining, f.proposeTime = c.term, c.leaseRemaining, c.proposeTime
		before := len(f.sent)
		is.Equal(send() == nil, c.sent > before)
		is.Equal(len(f.sent), c.sent)
	}
}

// Guards against an order that gets a second token when the outcome of the first proposal is
// unknown.
func TestTokenReusedAfterUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Ready()
	f.clock.Advance(NewLeaderDelay)
	for range 2 {
		f.unknownOutcomes = 1
		is.NoErr(f.Send(context.Background(), "a", Order{Kind: KindUnload, Model: "m", Version: "1"}))
	}
	is.Equal(strings.Join(f.sent, ", "), "a unload m@1 1, a unload m@1 2")
}

// Guards against an engine that keeps serving a withdrawn version, load orders to an engine
// that doesn't need or support them, and loads beyond what the load limiter admits.
func TestPlan(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.apply(is, 0, "active")
	f.announce(is, "a", "1", 1, "resume", FeatureLoad)
	f.announce(is, "b", "1", 1, FeatureLoad)
	f.announce(is, "c", "1", 1, "resume")
	f.announce(is, "d", "2", 1, FeatureLoad)
	f.budget.Grant(1)
	is.Equal(f.run(2*time.Second), "")
	f.apply(is, 1, "withdrawn")
	is.Equal(f.run(time.Second), "a load small@3 1")
	f.budget.Grant(9)
	is.Equal(f.run(time.Second), "b load small@3 2") // a already has an order
	f.announce(is, "a", "3", 2, FeatureLoad)
	is.Equal(f.run(loadTimeout), "b load small@3 3")
	f.announce(is, "b", "1", 2, FeatureLoad) // restarted before it had loaded the version
	is.Equal(f.run(time.Second), "b load small@3 4")
	f.term = 2 // a new leader doesn't know which orders were sent
	is.Equal(f.run(time.Second), "b load small@3 5")
	is.Equal(f.budget.Admitted()[0], "small@3")
}

// Guards against an upstream that refuses all orders and so blocks orders to others, and
// against more than one load per second.
func TestRefusalsBlockNoOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.options.LoadLimiter = &intervalLimiter{timer: f.clock}
	f.sendErr = errors.New("refused")
	f.apply(is, 0, "withdrawn")
	for _, name := range []string{"a", "b", "c"} {
		f.announce(is, name, "1", 1, FeatureLoad)
	}
	f.Ready()
	f.clock.Advance(NewLeaderDelay)
	is.Equal(f.run(6*time.Second), "a load small@3 1, b load small@3 2, c load small@3 3, "+
		"a load small@3 4, b load small@3 5, c load small@3 6")
}

// Guards against an order that is written although permit fails, and against refusals and
// redirects that count as acceptance.
func TestHTTPSender(t *testing.T) {
	is := is.New(t)
	var bodies []string
	status := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies = append(bodies, r.Method+" "+r.URL.Path+" "+string(body))
		w.WriteHeader(status)
	}))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	send := func(permit error) error {
		o := Order{ID: "1-1", Kind: KindLoad, Model: "small", Version: "2", FencingToken: 7}
		return HTTPSender{}.Send(t.Context(), address, o, func() error { return permit })
	}
	is.True(errors.Is(send(ErrNoLease), ErrNoLease))
	is.Equal(len(bodies), 0)
	for _, c := range []struct {
		status int
		ok     bool
	}{{http.StatusAccepted, true}, {http.StatusConflict, false}, {http.StatusTemporaryRedirect, false}} {
		status = c.status
		err := send(nil)
		is.Equal(err == nil, c.ok)
		is.Equal(errors.Is(err, ErrStaleToken), c.status == http.StatusConflict)
	}
	is.Equal(len(bodies), 3)
	is.Equal(bodies[0], `POST /v1/orders {"order":"1-1","kind":"load","model":"small","version":"2","token":7}`)
}

// brokenConn is a connection whose reader fails before anything is written.
type brokenConn struct{ net.Conn }

func (brokenConn) Read([]byte) (int, error) { return 0, net.ErrClosed }

// Guards against an order that may not be written and ends with another error than that of
// permit, so that the caller believes that the engine failed.
func TestHTTPSenderReportsDenial(t *testing.T) {
	for _, c := range []struct {
		name string
		dial func(net.Conn) (net.Conn, error)
	}{
		{"connection works", func(c net.Conn) (net.Conn, error) { return c, nil }},
		{"connection closed by the engine", func(c net.Conn) (net.Conn, error) { return brokenConn{c}, nil }},
		{"connection setup fails", func(net.Conn) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client, engine := net.Pipe()
			defer func() { is.NoErr(errors.CombineErrors(client.Close(), engine.Close())) }()
			h := HTTPSender{Dial: func(context.Context, string) (net.Conn, error) { return c.dial(client) }}
			for range 20 {
				err := h.Send(t.Context(), "engine:1", Order{ID: "1-1"}, func() error { return ErrNoLease })
				is.True(errors.Is(err, ErrNoLease))
			}
		})
	}
}
