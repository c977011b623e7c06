package server

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/control/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// bench is a service over groups of one replica each.
type bench struct {
	*Service
	clock *clock
	nodes []*fakeNode
}

// clock counts the long polls that wait.
type clock struct {
	*timer.Manual
	parked atomic.Int64
}

func (c *clock) AfterFunc(d time.Duration, f func()) func() {
	stop := c.Manual.AfterFunc(d, f)
	if d == MaxPollWait {
		c.parked.Add(1)
	}
	return stop
}

func newBench() *bench {
	clock := &clock{Manual: timer.NewManual()}
	c, d := state.NewConfig(), state.NewData(clock.Now)
	b := &bench{clock: clock, nodes: []*fakeNode{
		{apply: c.Apply, term: 1, leading: true}, {apply: d.Apply, term: 1, leading: true},
	}}
	b.Service = NewService(ServiceOptions{
		Timer: clock, Log: zap.NewNop(), Address: "self", Config: c, Data: []*state.Data{d},
		Nodes: []Node{b.nodes[0], b.nodes[1]},
	})
	_ = b.check(context.Background())
	return b
}

// settle lets the leases of a former leader expire.
func (b *bench) settle() { b.clock.Advance(LeaseDuration) }

func (b *bench) renew(is *is.I, name string, applied uint64, heard ...*wire.Heard) *wire.RenewReply {
	r, err := b.Renew(context.Background(), &wire.RenewRequest{Instance: &wire.Instance{Name: name}, Applied: applied, Heard: heard})
	is.NoErr(err)
	return r
}

func (b *bench) put(is *is.I, base uint64, text string, wait time.Duration) *wire.ApplyReply {
	r, err := b.Apply(context.Background(), &wire.ApplyRequest{
		Service: "pool", Base: base, Text: []byte(text), Wait: uint32(wait.Milliseconds()),
	})
	is.NoErr(err)
	return r
}

// Guards against a text that is committed though it is not valid, and against a resend
// that is refused because the rules became stricter after the change was accepted.
func TestValidationComesBeforeProposal(t *testing.T) {
	is := is.New(t)
	b := newBench()
	strict := func(_ string, text []byte) error {
		if string(text) == "one" {
			return errors.New("text is bad")
		}
		return nil
	}
	b.validate = strict
	is.Equal(b.put(is, 0, "one", 0).Fault.GetCode(), wire.Code_CODE_INVALID)
	is.Equal(b.config.Revision(), uint64(0))
	b.validate = nil
	is.Equal(b.put(is, 0, "one", 0).Revision, uint64(1))
	is.Equal(b.put(is, 1, "two", 0).Revision, uint64(2))
	b.validate = strict
	reads := b.nodes[0].reads
	again := b.put(is, 0, "one", 0)
	is.Equal(again.Fault, nil)
	is.True(again.Repeated)
	is.Equal(again.Revision, uint64(1))
	is.Equal(b.nodes[0].reads, reads+1) // the receipts of a former leader count as well
	is.Equal(b.put(is, 2, "one", 0).Fault.GetCode(), wire.Code_CODE_INVALID)
	is.Equal(b.put(is, 2, "three", 0).Revision, uint64(3))
}

// Guards against a change that is called in force while an entry may still work
// on the one before it.
func TestInforceWaitsForLeases(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.settle()
	is.True(b.put(is, 0, "one", 0).Inforce) // no entry at all
	b.renew(is, "e1", 0)
	b.renew(is, "e2", 0)
	is.Equal(b.put(is, 1, "two", 0).Inforce, false)
	is.Equal(b.renew(is, "e1", 1).Revision, uint64(2))
	b.renew(is, "e1", 2)
	b.clock.Advance(LeaseDuration - 1)
	reached, _ := b.table.inforce(2)
	is.Equal(reached, uint64(1)) // e2 has not renewed, but its lease holds
	b.clock.Advance(1)
	reached, _ = b.table.inforce(2)
	is.Equal(reached, uint64(2))
}

// Guards against an entry whose answers get lost and that holds back a change
// beyond the lease it had: each answer carries the change with the lease.
func TestLostAnswersDoNotHoldBack(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.settle()
	b.put(is, 0, "one", 0)
	b.renew(is, "e1", 1)
	b.put(is, 1, "two", 0)
	for range 4 {
		b.clock.Advance(LeaseDuration / 4)
		b.renew(is, "e1", 1)
	}
	reached, _ := b.table.inforce(2)
	is.Equal(reached, uint64(2))
}

// Guards against a new leader that does not wait for the leases of the former one.
func TestElectionDelaysInforce(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.settle()
	b.nodes[0].set(true, 2, "")
	is.Equal(b.put(is, 0, "one", 0).Inforce, false)
	b.clock.Advance(LeaseDuration - 1)
	is.Equal(b.put(is, 0, "one", 0).Inforce, false)
	b.clock.Advance(1)
	r := b.put(is, 0, "one", 0)
	is.True(r.Inforce && r.Repeated)
}

// Guards against a lease that is granted without a valid leader lease, or on a
// state that no majority confirmed in this term.
func TestLeaseNeedsLeadership(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.renew(is, "e1", 1)
	is.Equal(b.nodes[0].reads, 1)
	b.renew(is, "e1", 1)
	is.Equal(b.nodes[0].reads, 1)
	b.nodes[0].set(false, 1, "self")
	is.Equal(b.renew(is, "e1", 1).Fault.GetCode(), wire.Code_CODE_UNAVAILABLE)
	b.nodes[0].set(false, 2, "other")
	r := b.renew(is, "e1", 1)
	is.Equal(r.Fault.GetCode(), wire.Code_CODE_REDIRECT)
	is.Equal(r.Fault.Leader, "other")
	is.Equal(r.Lease, uint32(0))
	b.nodes[0].set(true, 3, "self")
	b.nodes[0].err = replica.ErrOutcomeUnknown
	is.Equal(b.renew(is, "e1", 1).Fault.GetCode(), wire.Code_CODE_UNAVAILABLE)
}

// Guards against a lease granted after leadership was lost during the long poll.
func TestLeadershipLostWhileParked(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.settle()
	soft := b.renew(is, "e1", 0).Soft
	p := b.park(&wire.RenewRequest{Instance: &wire.Instance{Name: "e1"}, Soft: soft})
	b.nodes[0].set(false, 1, "other")
	b.clock.Advance(MaxPollWait)
	is.Equal((<-p.done).Fault.GetCode(), wire.Code_CODE_REDIRECT)
}

// Guards against a change that reaches entries only when their long poll ends.
func TestChangeEndsPoll(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.settle()
	soft := b.renew(is, "e1", 0).Soft
	for _, act := range []func(){
		func() { b.put(is, 0, "one", 0) },
		func() { _, _ = b.Drain(context.Background(), &wire.DrainRequest{Instance: "e1"}) },
	} {
		p := b.park(&wire.RenewRequest{Instance: &wire.Instance{Name: "e1"}, Soft: soft, Applied: b.config.Revision()})
		act()
		r := <-p.done
		is.Equal(r.Revision, b.config.Revision())
		soft = r.Soft
	}
	is.True(b.renew(is, "e2", 1).Entries[0].Draining)
	st, err := b.Status(context.Background(), &wire.StatusRequest{})
	is.NoErr(err)
	is.True(st.Leases[0].Instance.Draining)
}

// poll is a renewal in progress.
type poll struct {
	service *Service
	request *wire.RenewRequest
	done    chan *wire.RenewReply
}

func (p *poll) run() {
	r, _ := p.service.Renew(context.Background(), p.request)
	p.done <- r
}

// park begins a renewal and returns once it is on the books and waits.
func (b *bench) park(r *wire.RenewRequest) *poll {
	before := b.clock.parked.Load()
	r.Wait = uint32(MaxPollWait.Milliseconds())
	p := &poll{service: b.Service, request: r, done: make(chan *wire.RenewReply, 1)}
	go p.run()
	for b.clock.parked.Load() == before {
		time.Sleep(time.Millisecond)
	}
	return p
}

// Guards against an upstream that is kept though nobody hears it, or ended though
// it was heard, or ended because nobody listened.
func TestSilentUpstreams(t *testing.T) {
	is := is.New(t)
	b := newBench()
	ctx := context.Background()
	for _, n := range []string{"w1", "w2"} {
		_, err := b.Announce(ctx, &wire.AnnounceRequest{Upstream: &wire.Upstream{Name: n, Incarnation: 1, Lease: 3000}})
		is.NoErr(err)
	}
	tick := func(heard ...*wire.Heard) {
		b.clock.Advance(time.Second)
		if heard != nil {
			b.renew(is, "e1", 1, heard...)
		}
		is.NoErr(b.check(ctx))
	}
	for range 10 {
		tick()
	}
	is.Equal(len(b.config.Upstreams()), 2) // no entry listens
	for range 5 {
		tick(&wire.Heard{Name: "w1", Incarnation: 1, Load: &wire.Load{Running: 3, Sequence: 2}})
	}
	is.Equal(len(b.config.Upstreams()), 1)
	is.Equal(b.config.Upstreams()[0].Name, "w1")
	r := b.renew(is, "e2", 0)
	is.Equal(r.Loads[0].Load.Running, uint32(3))
}

// Guards against counters that are lost with the entry that sent them.
func TestTalliesOutliveEntries(t *testing.T) {
	is := is.New(t)
	b := newBench()
	ctx := context.Background()
	for _, n := range []string{"e1", "e2"} {
		_, err := b.Renew(ctx, &wire.RenewRequest{Instance: &wire.Instance{Name: n}, Tallies: []*wire.Tally{
			{Account: "acme", Requests: 5, Refusals: 1, Waits: []uint64{1, 2}},
		}})
		is.NoErr(err)
	}
	b.settle()
	is.NoErr(b.check(ctx))
	r := b.renew(is, "e3", 0)
	is.Equal(len(r.Entries), 1)
	is.Equal(r.Tallies[0].Requests, uint64(10))
	is.Equal(r.Tallies[0].Waits, []uint64{2, 4})
}

// Guards against an instance whose number of data groups is not the one that the
// control group was formed with: it would look for keys in the wrong group.
func TestGroupsAreFixed(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.Equal(b.config.Groups(), uint32(1))
	b.data = append(b.data, b.data[0])
	is.True(b.check(context.Background()) != nil)
}

// Guards against a refusal that is told as an unknown outcome: the client would send
// the change again until its deadline.
func TestRefusedProposalsAreTold(t *testing.T) {
	for _, c := range []struct {
		err  error
		code wire.Code
	}{
		{replica.ErrBusy, wire.Code_CODE_UNAVAILABLE},
		{replica.ErrStorageFull, wire.Code_CODE_FULL},
		{replica.ErrTooLarge, wire.Code_CODE_INVALID},
		{replica.ErrOutcomeUnknown, wire.Code_CODE_UNKNOWN},
		{replica.ErrStopped, wire.Code_CODE_UNKNOWN},
	} {
		is.New(t).Equal((&Service{}).explain(0, c.err).Code, c.code)
	}
}
