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

// Guards against a client that uses a lease for longer than the leader granted it.
func TestLeaseExpires(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual()
	tc := newTestCluster(t, m)
	c := tc.client(is, "e1")
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

// Guards against a lapse that goes unnoticed because the lease is renewed before anybody looks.
func TestLeasePeriod(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual()
	c := newTestCluster(t, m).client(is, "e1")
	is.Equal(c.LeasePeriod(), uint64(0))
	reply := &wire.RenewReply{Revision: 5, Term: 2, Lease: 2000, Full: true}
	for _, s := range []struct {
		sentAfter, answeredAfter time.Duration
		period                   uint64
	}{
		{0, 0, 1},
		{time.Second, 500 * time.Millisecond, 1},
		{1499 * time.Millisecond, 0, 1},
		{2 * time.Second, 0, 2},
		{1900 * time.Millisecond, 200 * time.Millisecond, 3},
	} {
		m.Advance(s.sentAfter)
		sent := m.Now()
		m.Advance(s.answeredAfter)
		is.NoErr(c.applyReply(reply, sent))
		is.True(c.HoldsLease())
		is.Equal(c.LeasePeriod(), s.period)
	}
}

// Guards against a reply that replaces the configuration by an older one, or comes from a
// former leader, and against a lease from such a reply.
func TestRejectsOutdatedReplies(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual()
	c := newTestCluster(t, m).client(is, "e1")
	is.True(c.applyReply(&wire.RenewReply{Revision: 3, Term: 2, Lease: 2000}, 0) != nil) // changes without a full state
	is.NoErr(c.applyReply(&wire.RenewReply{Revision: 5, Term: 2, Lease: 2000, Full: true, Documents: []*wire.Document{{Service: "pool", Text: documentText(5)}}}, 0))
	m.Advance(time.Second)
	for _, r := range []*wire.RenewReply{
		{Revision: 4, Term: 2, Lease: 2000, Full: true},
		{Revision: 6, Term: 1, Lease: 2000, Full: true},
		{Revision: 6, Term: 2, Lease: 2000, Documents: []*wire.Document{{Service: "pool", Text: []byte("{")}}},
	} {
		is.True(c.applyReply(r, m.Now()) != nil)
		is.Equal(c.Config().Revision, document.Revision(5))
		is.Equal(c.Config().Documents["pool"].Models[0].Name, document.Model("m5"))
	}
	updated := c.Updated()
	is.NoErr(c.applyReply(&wire.RenewReply{Revision: 6, Term: 2, Lease: 2000, Upstreams: []*wire.Upstream{{Name: "w1"}}}, 0))
	<-updated
	is.Equal(len(c.Config().Documents), 1)
	is.Equal(len(c.Config().Upstreams), 1)
	is.Equal(c.LeasedConfig(), c.Config())
	m.Advance(time.Second)
	is.Equal(c.LeasedConfig(), nil) // the lease starts at instant zero, when the renewal was sent
}

// Guards against a deadlock: the tally source takes a lock under which it also asks the
// client for entries and loads.
func TestTallySourceIsCalledWithoutLock(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, timer.NewManual()).client(is, "e1")
	asked := false
	c.SetTallySource(func() []*wire.Tally {
		asked = c.mu.TryLock()
		if asked {
			c.mu.Unlock()
		}
		return nil
	})
	c.renewRequest()
	is.True(asked)
}

// Guards against more than one success among concurrent changes of the same base revision.
func TestConcurrentAppliesOneWins(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, timer.NewSystem())
	c := tc.client(is, "e1")
	results := make([]error, 8)
	var g errgroup.Group
	for i := range results {
		g.Go(func() error {
			_, results[i] = c.Apply(context.Background(), &wire.ApplyRequest{Service: "pool", Text: documentText(i)})
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
	is.Equal(tc.config.Revision(), uint64(1))
}

// Guards against a change that is reported in force before the entry has it, and against
// one that reaches the entry only at the end of a long poll.
func TestApplyWaitsInForce(t *testing.T) {
	is := is.New(t)
	tc, m, c := newRunningClient(t, is)
	updated := c.Updated()
	at := m.Now()
	r, err := c.Apply(context.Background(), &wire.ApplyRequest{Service: "pool", Text: documentText(1), Wait: 3000})
	is.NoErr(err)
	is.True(r.Inforce)
	<-updated
	is.Equal(c.Config().Revision, document.Revision(r.Revision))
	is.Equal(m.Now(), at) // no timer had to fire
	is.Equal(tc.config.Revision(), r.Revision)
}

// Guards against a call that had an effect and is reported as unavailable, and against an
// effect that a retry makes a second time. The replies of committed commands are lost.
func TestLostReplies(t *testing.T) {
	is := is.New(t)
	tc, m, c := newRunningClient(t, is)
	for _, g := range tc.groups {
		g.setUnknownOutcomes(1)
	}
	var open *wire.ClaimReply
	var charge *wire.ChargeReply
	var apply *wire.ApplyReply
	var g errgroup.Group
	ctx := context.Background()
	g.Go(func() (err error) {
		apply, err = c.Apply(ctx, &wire.ApplyRequest{Service: "pool", Change: "x", Text: documentText(1)})
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
	tc.until(t, m, func() bool { return len(done) == 1 })
	is.NoErr(<-done)
	is.True(apply.Repeated)
	is.Equal(apply.Revision, uint64(1))
	is.True(open.Won)
	is.True(charge != nil)
	l, err := c.Ledger(ctx, &wire.LedgerRequest{Limit: 10})
	is.NoErr(err)
	is.Equal(l.Totals[0].Amount, uint64(7))

	tc.groups[0].setUnknownOutcomes(1 << 30)
	short, cancel := timer.WithTimeout(ctx, m, 200*time.Millisecond)
	defer cancel()
	go func() {
		_, err := c.Apply(short, &wire.ApplyRequest{Service: "pool", Base: 1, Text: documentText(2)})
		done <- err
	}()
	tc.until(t, m, func() bool { return len(done) == 1 })
	is.True(errors.Is(<-done, ErrOutcomeUnknown))
}

// Guards against calls and renewals that keep using a former leader that has gone silent.
func TestFollowsLeader(t *testing.T) {
	is := is.New(t)
	tc, m, c := newRunningClient(t, is)
	tc.setSilent("a", true)
	for _, g := range tc.groups {
		g.elect("b")
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Pin(context.Background(), &wire.PinRequest{Account: "acme", Service: "pool", Session: "s", Model: "m", Version: "v"})
		done <- err
	}()
	tc.until(t, m, func() bool { return len(done) == 1 })
	is.NoErr(<-done)
	m.Advance(server.LeaseDuration)
	tc.until(t, m, c.HoldsLease)
}

// Guards against an unknown outcome that is reported although no instance leads and the call
// had no effect.
func TestUnavailable(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, timer.NewSystem())
	for _, g := range tc.groups {
		g.elect("")
	}
	c := tc.client(is, "e1")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Charge(ctx, &wire.ChargeRequest{Account: "acme", Request: "r"})
	is.True(errors.Is(err, ErrUnavailable))
	is.Equal(errors.Is(err, ErrOutcomeUnknown), false)
}

// Guards against a new connection per call, and against a cancelled call that makes other
// calls search for the leader again.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, timer.NewSystem())
	c := tc.client(is, "e1")
	ctx := context.Background()
	for i := range 200 {
		_, err := c.Charge(ctx, &wire.ChargeRequest{Account: "acme", Request: string(documentText(i))})
		is.NoErr(err)
	}
	is.True(tc.dials <= 8)
	before := tc.dials
	gone, cancel := context.WithCancel(ctx)
	cancel()
	_, err := c.Show(gone, &wire.ShowRequest{})
	is.True(errors.Is(err, ErrUnavailable))
	_, err = c.Show(ctx, &wire.ShowRequest{})
	is.NoErr(err)
	is.True(tc.dials <= before+1)
}
