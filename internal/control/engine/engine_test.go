package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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

const pool = `{"service":"pool","kind":"engine","models":[{"name":"small","price":{"input":1,"output":2},
"versions":[{"name":"1","state":"%s"},{"name":"2","state":"active"},{"name":"3","state":"active"},{"name":"4","state":"candidate"}]}],
"accounts":[{"name":"hill","models":["small"],"weight":1,"limit":{}}]}`

// bench is orders over a group of one replica; it is its own node and sender.
type bench struct {
	*Dispatcher
	clock  *timer.Manual
	config *state.Config
	budget *weights.Budget
	term   replica.Term
	left   time.Duration
	lost   int // how many proposals have an unknown outcome
	slow   time.Duration
	err    error
	sent   []string
}

func newBench() *bench {
	b := &bench{clock: timer.NewManual(), config: state.NewConfig(), budget: &weights.Budget{}, term: 1, left: replica.LeaseDuration}
	b.Dispatcher = New(Options{Node: b, Config: b.config, Sender: sender{b}, LoadLimiter: b.budget, Timer: b.clock})
	return b
}

func (b *bench) LeaseRemaining() (replica.Term, time.Duration) { return b.term, b.left }

func (b *bench) Propose(_ context.Context, command []byte) ([]byte, error) {
	out := b.config.Apply(0, command)
	b.left -= b.slow
	if b.lost > 0 {
		b.lost--
		return nil, replica.ErrOutcomeUnknown
	}
	return out, nil
}

type sender struct{ *bench }

func (s sender) Send(_ context.Context, address string, o Order, permit func() error) error {
	if err := permit(); err != nil {
		return err
	}
	s.sent = append(s.sent, fmt.Sprintf("%s %s %s@%s %d", address, o.Kind, o.Model, o.Version, o.Token))
	return s.err
}

func (b *bench) command(is *is.I, c *wire.Command) {
	text, err := proto.Marshal(c)
	is.NoErr(err)
	b.config.Apply(0, text)
}

func (b *bench) apply(is *is.I, base uint64, first string) {
	b.command(is, &wire.Command{Body: &wire.Command_Apply{Apply: &wire.ApplyRequest{
		Service: "pool", Base: base, Text: fmt.Appendf(nil, pool, first),
	}}})
}

func (b *bench) announce(is *is.I, name, version string, incarnation uint64, features ...string) {
	b.command(is, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceRequest{Upstream: &wire.Upstream{
		Name: name, Incarnation: incarnation, Address: name, Service: "pool", Model: "small", Version: version, Features: features,
	}}}})
}

// take lets time pass in steps and returns what was sent.
func (b *bench) take(d time.Duration) string {
	for range d / pace {
		b.clock.Advance(pace)
		if b.Ready() {
			b.step(context.Background())
		}
	}
	out := strings.Join(b.sent, ", ")
	b.sent = nil
	return out
}

// Guards against an order before the lease of a former leader has run out, or one that may
// arrive after the own lease.
func TestLease(t *testing.T) {
	is := is.New(t)
	b := newBench()
	send := func() error { return b.Send(context.Background(), "a", Order{Kind: KindLoad}) }
	is.True(!b.Ready())
	b.clock.Advance(NewLeaderDelay - 1)
	is.True(errors.Is(send(), ErrNoLease))
	b.clock.Advance(1)
	for _, c := range []struct {
		term replica.Term
		left time.Duration
		slow time.Duration
		sent int
	}{
		{1, replica.LeaseDuration, 0, 1},
		{1, MaxDeliveryTime, 0, 1},
		{1, MaxDeliveryTime + 1, 0, 2},
		{1, MaxDeliveryTime + 1, 1, 2}, // the token took long
		{1, 0, 0, 2},
		{3, replica.LeaseDuration, 0, 2}, // led by another meanwhile
	} {
		b.term, b.left, b.slow = c.term, c.left, c.slow
		before := len(b.sent)
		is.Equal(send() == nil, c.sent > before)
		is.Equal(len(b.sent), c.sent)
	}
}

// Guards against an unknown outcome that uses up a second token.
func TestTokenOnce(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.Ready()
	b.clock.Advance(NewLeaderDelay)
	for range 2 {
		b.lost = 1
		is.NoErr(b.Send(context.Background(), "a", Order{Kind: KindUnload, Model: "m", Version: "1"}))
	}
	is.Equal(strings.Join(b.sent, ", "), "a unload m@1 1, a unload m@1 2")
}

// Guards against an engine that keeps a withdrawn version, one that is sent loads that it
// does not need or cannot do, and loads beyond what the weight store is granted.
func TestPlan(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.apply(is, 0, "active")
	b.announce(is, "a", "1", 1, "resume", FeatureLoad)
	b.announce(is, "b", "1", 1, FeatureLoad)
	b.announce(is, "c", "1", 1, "resume")
	b.announce(is, "d", "2", 1, FeatureLoad)
	b.budget.Grant(1)
	is.Equal(b.take(2*time.Second), "")
	b.apply(is, 1, "withdrawn")
	is.Equal(b.take(time.Second), "a load small@3 1")
	b.budget.Grant(9)
	is.Equal(b.take(time.Second), "b load small@3 2") // one at a time for a
	b.announce(is, "a", "3", 2, FeatureLoad)
	is.Equal(b.take(patience), "b load small@3 3")
	b.announce(is, "b", "1", 2, FeatureLoad) // restarted before it had loaded
	is.Equal(b.take(time.Second), "b load small@3 4")
	b.term = 2 // a new leader does not know what was sent
	is.Equal(b.take(time.Second), "b load small@3 5")
	is.Equal(b.budget.Admitted()[0], "small@3")
}

// Guards against an upstream that accepts no order and keeps others from theirs, and
// against loads faster than one a second.
func TestTurns(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.options.LoadLimiter = &budget{timer: b.clock}
	b.err = errors.New("refused")
	b.apply(is, 0, "withdrawn")
	for _, n := range []string{"a", "b", "c"} {
		b.announce(is, n, "1", 1, FeatureLoad)
	}
	b.Ready()
	b.clock.Advance(NewLeaderDelay)
	is.Equal(b.take(6*time.Second), "a load small@3 1, b load small@3 2, c load small@3 3, "+
		"a load small@3 4, b load small@3 5, c load small@3 6")
}

// Guards against an order that is written without permission, and against refusals that
// are taken for acceptance.
func TestHTTP(t *testing.T) {
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
		o := Order{ID: "1-1", Kind: KindLoad, Model: "small", Version: "2", Token: 7}
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
