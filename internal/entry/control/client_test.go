package control

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/control/server"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Guards against a lease that is held longer than the leader granted it.
func TestLeaseExpires(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual()
	b := newBench(t, m)
	c := b.client(is, "e1")
	is.Equal(c.HoldsLease(), false)
	is.Equal(c.Config(), nil)
	_, err := c.renew(context.Background())
	for ; err != nil; _, err = c.renew(context.Background()) {
		is.Equal(c.HoldsLease(), false)
	}
	is.True(c.HoldsLease())
	m.Advance(server.LeaseDuration - 1)
	is.True(c.HoldsLease())
	m.Advance(1)
	is.Equal(c.HoldsLease(), false)
	is.True(c.Config() != nil)
}

// Guards against an answer that is older than the configuration in force, or of a
// former leader, and against a lease on it.
func TestNeverReverts(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual()
	c := newBench(t, m).client(is, "e1")
	is.True(c.accept(&wire.RenewReply{Revision: 3, Term: 2, Lease: 2000}, 0) != nil) // no full state yet
	is.NoErr(c.accept(&wire.RenewReply{Revision: 5, Term: 2, Lease: 2000, Full: true, Documents: []*wire.Document{{Service: "pool", Text: text(5)}}}, 0))
	m.Advance(time.Second)
	for _, r := range []*wire.RenewReply{
		{Revision: 4, Term: 2, Lease: 2000, Full: true},
		{Revision: 6, Term: 1, Lease: 2000, Full: true},
		{Revision: 6, Term: 2, Lease: 2000, Documents: []*wire.Document{{Service: "pool", Text: []byte("{")}}},
	} {
		is.True(c.accept(r, m.Now()) != nil)
		is.Equal(c.Config().Revision, document.Revision(5))
		is.Equal(c.Config().Documents["pool"].Models[0].Name, document.Model("m5"))
	}
	updated := c.Updated()
	is.NoErr(c.accept(&wire.RenewReply{Revision: 6, Term: 2, Lease: 2000, Upstreams: []*wire.Upstream{{Name: "w1"}}}, 0))
	<-updated
	is.Equal(len(c.Config().Documents), 1)
	is.Equal(len(c.Config().Upstreams), 1)
	is.Equal(c.LeasedConfig(), c.Config())
	m.Advance(time.Second)
	is.Equal(c.LeasedConfig(), nil) // counted from instant zero, not from the answer
}

// Guards against a deadlock: the queue reads its counts under its own lock, under
// which it also asks the client for entries and loads.
func TestCountsAreReadWithoutClientLock(t *testing.T) {
	is := is.New(t)
	c := newBench(t, timer.NewManual()).client(is, "e1")
	asked := false
	c.SetTallySource(func() []*wire.Tally {
		asked = c.mu.TryLock()
		if asked {
			c.mu.Unlock()
		}
		return nil
	})
	c.request()
	is.True(asked)
}

// Guards against several racing changes of one base that succeed together.
func TestRacingAppliesOneWins(t *testing.T) {
	is := is.New(t)
	b := newBench(t, timer.NewSystem())
	c := b.client(is, "e1")
	results := make([]error, 8)
	var g errgroup.Group
	for i := range results {
		g.Go(func() error {
			_, results[i] = c.Apply(context.Background(), &wire.ApplyRequest{Service: "pool", Text: text(i)})
			return nil
		})
	}
	is.NoErr(g.Wait())
	won := 0
	for _, err := range results {
		if err == nil {
			won++
			continue
		}
		is.True(errors.Is(err, ErrConflict))
	}
	is.Equal(won, 1)
	is.Equal(b.config.Revision(), uint64(1))
}

// Guards against a change that is not in force at an entry when it is reported so,
// and against one that needs a whole poll to arrive.
func TestApplyWaitsInforce(t *testing.T) {
	is := is.New(t)
	b, m, c := settled(t, is)
	updated := c.Updated()
	at := m.Now()
	r, err := c.Apply(context.Background(), &wire.ApplyRequest{Service: "pool", Text: text(1), Wait: 3000})
	is.NoErr(err)
	is.True(r.Inforce)
	<-updated
	is.Equal(c.Config().Revision, document.Revision(r.Revision))
	is.Equal(m.Now(), at) // no timer had to fire
	is.Equal(b.config.Revision(), r.Revision)
}

// Guards against an outcome that is reported as unavailable though it took place,
// and against an effect that a repeated attempt makes twice.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	b, m, c := settled(t, is)
	for _, g := range b.groups {
		g.lose(1)
	}
	var open *wire.ClaimReply
	var charge *wire.ChargeReply
	var apply *wire.ApplyReply
	var g errgroup.Group
	ctx := context.Background()
	g.Go(func() (err error) {
		apply, err = c.Apply(ctx, &wire.ApplyRequest{Service: "pool", Change: "x", Text: text(1)})
		return err
	})
	g.Go(func() (err error) {
		if open, err = c.Claim(ctx, &wire.ClaimRequest{Account: "acme", Key: "k", Owner: "e1"}); err != nil {
			return err
		}
		charge, err = c.Charge(ctx, &wire.ChargeRequest{Account: "acme", Request: "r", Service: "pool", Amount: 7})
		return err
	})
	done := make(chan error, 1)
	go func() { done <- g.Wait() }()
	b.until(t, m, func() bool { return len(done) == 1 })
	is.NoErr(<-done)
	is.True(apply.Repeated)
	is.Equal(apply.Revision, uint64(1))
	is.True(open.Won)
	is.True(charge != nil)
	l, err := c.Ledger(ctx, &wire.LedgerRequest{Limit: 10})
	is.NoErr(err)
	is.Equal(l.Totals[0].Amount, uint64(7))

	b.groups[0].lose(1 << 30)
	short, cancel := timer.WithTimeout(ctx, m, 200*time.Millisecond)
	defer cancel()
	go func() {
		_, err := c.Apply(short, &wire.ApplyRequest{Service: "pool", Base: 1, Text: text(2)})
		done <- err
	}()
	b.until(t, m, func() bool { return len(done) == 1 })
	is.True(errors.Is(<-done, ErrOutcomeUnknown))
}

// Guards against calls and renewals that stay with a leader that is gone or silent.
func TestFollowsLeader(t *testing.T) {
	is := is.New(t)
	b, m, c := settled(t, is)
	b.silence("a", true)
	for _, g := range b.groups {
		g.elect("b")
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Pin(context.Background(), &wire.PinRequest{Account: "acme", Service: "pool", Session: "s", Model: "m", Version: "v"})
		done <- err
	}()
	b.until(t, m, func() bool { return len(done) == 1 })
	is.NoErr(<-done)
	m.Advance(server.LeaseDuration)
	b.until(t, m, c.HoldsLease)
}

// Guards against a refusal that counts as unknown though nothing was sent.
func TestUnavailable(t *testing.T) {
	is := is.New(t)
	b := newBench(t, timer.NewSystem())
	for _, g := range b.groups {
		g.elect("")
	}
	c := b.client(is, "e1")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Charge(ctx, &wire.ChargeRequest{Account: "acme", Request: "r"})
	is.True(errors.Is(err, ErrUnavailable))
	is.Equal(errors.Is(err, ErrOutcomeUnknown), false)
}

// Guards against calls that open a connection each, and against a caller that gives
// up and makes the others look for another leader.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	b := newBench(t, timer.NewSystem())
	c := b.client(is, "e1")
	ctx := context.Background()
	for i := range 200 {
		_, err := c.Charge(ctx, &wire.ChargeRequest{Account: "acme", Request: string(text(i))})
		is.NoErr(err)
	}
	is.True(b.dials <= 8)
	before := b.dials
	gone, cancel := context.WithCancel(ctx)
	cancel()
	_, err := c.Show(gone, &wire.ShowRequest{})
	is.True(errors.Is(err, ErrUnavailable))
	_, err = c.Show(ctx, &wire.ShowRequest{})
	is.NoErr(err)
	is.True(b.dials <= before+1)
}
