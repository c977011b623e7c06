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

// testService is a Service whose groups have one replica each.
type testService struct {
	*Service
	clock *pollClock
	nodes []*fakeNode
}

// pollClock is a manual clock that counts the long polls that have started to wait.
type pollClock struct {
	*timer.Manual
	waitingPolls atomic.Int64
}

func (c *pollClock) AfterFunc(d time.Duration, f func()) func() {
	stop := c.Manual.AfterFunc(d, f)
	if d == MaxPollWait {
		c.waitingPolls.Add(1)
	}
	return stop
}

func newTestService() *testService {
	clock := &pollClock{Manual: timer.NewManual()}
	c, d := state.NewConfig(), state.NewData(clock.Now)
	s := &testService{clock: clock, nodes: []*fakeNode{
		{apply: c.Apply, term: 1, holdsLease: true}, {apply: d.Apply, term: 1, holdsLease: true},
	}}
	s.Service = NewService(ServiceOptions{
		Timer: clock, Log: zap.NewNop(), Address: "self", Config: c, Data: []*state.Data{d},
		Nodes: []Node{s.nodes[0], s.nodes[1]},
	})
	_ = s.check(context.Background())
	return s
}

// expireFormerLeases advances the clock until the leases of a former leader have expired.
func (s *testService) expireFormerLeases() { s.clock.Advance(LeaseDuration) }

func (s *testService) renew(is *is.I, name string, applied uint64, heard ...*wire.Heard) *wire.RenewReply {
	r, err := s.Renew(context.Background(), &wire.RenewRequest{Instance: &wire.Instance{Name: name}, Applied: applied, Heard: heard})
	is.NoErr(err)
	return r
}

func (s *testService) apply(is *is.I, base uint64, text string, wait time.Duration) *wire.ApplyReply {
	r, err := s.Apply(context.Background(), &wire.ApplyRequest{
		Service: "pool", Base: base, Text: []byte(text), Wait: uint32(wait.Milliseconds()),
	})
	is.NoErr(err)
	return r
}

// Guards against a commit of an invalid document, and against a retry that is rejected
// because the validation became stricter after the change was accepted.
func TestValidateBeforePropose(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	strict := func(_ string, text []byte) error {
		if string(text) == "one" {
			return errors.New("text is bad")
		}
		return nil
	}
	s.validate = strict
	is.Equal(s.apply(is, 0, "one", 0).Fault.GetCode(), wire.Code_CODE_INVALID)
	is.Equal(s.config.Revision(), uint64(0))
	s.validate = nil
	is.Equal(s.apply(is, 0, "one", 0).Revision, uint64(1))
	is.Equal(s.apply(is, 1, "two", 0).Revision, uint64(2))
	s.validate = strict
	reads := s.nodes[0].reads
	again := s.apply(is, 0, "one", 0)
	is.Equal(again.Fault, nil)
	is.True(again.Repeated)
	is.Equal(again.Revision, uint64(1))
	is.Equal(s.nodes[0].reads, reads+1) // a read barrier makes the receipts of former leaders visible
	is.Equal(s.apply(is, 2, "one", 0).Fault.GetCode(), wire.Code_CODE_INVALID)
	is.Equal(s.apply(is, 2, "three", 0).Revision, uint64(3))
}

// Guards against a change that is reported in force while an entry with a valid lease may
// still use the revision before it.
func TestInForceWaitsForLeases(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.expireFormerLeases()
	is.True(s.apply(is, 0, "one", 0).Inforce) // no entry at all
	s.renew(is, "e1", 0)
	s.renew(is, "e2", 0)
	is.Equal(s.apply(is, 1, "two", 0).Inforce, false)
	is.Equal(s.renew(is, "e1", 1).Revision, uint64(2))
	s.renew(is, "e1", 2)
	s.clock.Advance(LeaseDuration - 1)
	reached, _ := s.soft.revisionInForce(2)
	is.Equal(reached, uint64(1)) // e2 has not renewed, but its lease is still valid
	s.clock.Advance(1)
	reached, _ = s.soft.revisionInForce(2)
	is.Equal(reached, uint64(2))
}

// Guards against an entry that delays a change for longer than its former lease because
// the replies to its renewals are lost. Each reply carries the change with the lease.
func TestLostRepliesDoNotDelayInForce(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.expireFormerLeases()
	s.apply(is, 0, "one", 0)
	s.renew(is, "e1", 1)
	s.apply(is, 1, "two", 0)
	for range 4 {
		s.clock.Advance(LeaseDuration / 4)
		s.renew(is, "e1", 1)
	}
	reached, _ := s.soft.revisionInForce(2)
	is.Equal(reached, uint64(2))
}

// Guards against a new leader that reports a change in force before the leases granted by
// the former leader have expired.
func TestElectionDelaysInForce(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.expireFormerLeases()
	s.nodes[0].set(true, 2, "")
	is.Equal(s.apply(is, 0, "one", 0).Inforce, false)
	s.clock.Advance(LeaseDuration - 1)
	is.Equal(s.apply(is, 0, "one", 0).Inforce, false)
	s.clock.Advance(1)
	r := s.apply(is, 0, "one", 0)
	is.True(r.Inforce && r.Repeated)
}

// Guards against a lease that is granted without a valid leader lease, or for a state that
// no majority has confirmed in this term.
func TestLeaseNeedsLeadership(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.renew(is, "e1", 1)
	is.Equal(s.nodes[0].reads, 1)
	s.renew(is, "e1", 1)
	is.Equal(s.nodes[0].reads, 1)
	s.nodes[0].set(false, 1, "self")
	is.Equal(s.renew(is, "e1", 1).Fault.GetCode(), wire.Code_CODE_UNAVAILABLE)
	s.nodes[0].set(false, 2, "other")
	r := s.renew(is, "e1", 1)
	is.Equal(r.Fault.GetCode(), wire.Code_CODE_REDIRECT)
	is.Equal(r.Fault.Leader, "other")
	is.Equal(r.Lease, uint32(0))
	s.nodes[0].set(true, 3, "self")
	s.nodes[0].err = replica.ErrOutcomeUnknown
	is.Equal(s.renew(is, "e1", 1).Fault.GetCode(), wire.Code_CODE_UNAVAILABLE)
}

// Guards against a lease that is granted although leadership was lost during the long poll.
func TestLeadershipLostDuringPoll(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.expireFormerLeases()
	soft := s.renew(is, "e1", 0).Soft
	p := s.startPoll(&wire.RenewRequest{Instance: &wire.Instance{Name: "e1"}, Soft: soft})
	s.nodes[0].set(false, 1, "other")
	s.clock.Advance(MaxPollWait)
	is.Equal((<-p.done).Fault.GetCode(), wire.Code_CODE_REDIRECT)
}

// Guards against a change that reaches entries only at the end of their long poll.
func TestChangeEndsPoll(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.expireFormerLeases()
	soft := s.renew(is, "e1", 0).Soft
	for _, act := range []func(){
		func() { s.apply(is, 0, "one", 0) },
		func() { _, _ = s.Drain(context.Background(), &wire.DrainRequest{Instance: "e1"}) },
	} {
		p := s.startPoll(&wire.RenewRequest{Instance: &wire.Instance{Name: "e1"}, Soft: soft, Applied: s.config.Revision()})
		act()
		r := <-p.done
		is.Equal(r.Revision, s.config.Revision())
		soft = r.Soft
	}
	is.True(s.renew(is, "e2", 1).Entries[0].Draining)
	st, err := s.Status(context.Background(), &wire.StatusRequest{})
	is.NoErr(err)
	is.True(st.Leases[0].Instance.Draining)
}

// poll is a renewal that waits in a long poll.
type poll struct {
	service *Service
	request *wire.RenewRequest
	done    chan *wire.RenewReply
}

func (p *poll) run() {
	r, _ := p.service.Renew(context.Background(), p.request)
	p.done <- r
}

// startPoll starts a renewal and returns once it is recorded and waits.
func (s *testService) startPoll(r *wire.RenewRequest) *poll {
	before := s.clock.waitingPolls.Load()
	r.Wait = uint32(MaxPollWait.Milliseconds())
	p := &poll{service: s.Service, request: r, done: make(chan *wire.RenewReply, 1)}
	go p.run()
	for s.clock.waitingPolls.Load() == before {
		time.Sleep(time.Millisecond)
	}
	return p
}

// Guards against a silent upstream that stays registered, an upstream that is deregistered
// although an entry heard from it, and one that is deregistered while no entry has a lease.
func TestSilentUpstreams(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	ctx := context.Background()
	for _, n := range []string{"w1", "w2"} {
		_, err := s.Announce(ctx, &wire.AnnounceRequest{Upstream: &wire.Upstream{Name: n, Incarnation: 1, Lease: 3000}})
		is.NoErr(err)
	}
	tick := func(heard ...*wire.Heard) {
		s.clock.Advance(time.Second)
		if heard != nil {
			s.renew(is, "e1", 1, heard...)
		}
		is.NoErr(s.check(ctx))
	}
	for range 10 {
		tick()
	}
	is.Equal(len(s.config.Upstreams()), 2) // no entry could have heard from them
	for range 5 {
		tick(&wire.Heard{Name: "w1", Incarnation: 1, Load: &wire.Load{Running: 3, Sequence: 2}})
	}
	is.Equal(len(s.config.Upstreams()), 1)
	is.Equal(s.config.Upstreams()[0].Name, "w1")
	r := s.renew(is, "e2", 0)
	is.Equal(r.Loads[0].Load.Running, uint32(3))
}

// Guards against counters that are lost when the lease of the entry that sent them expires.
func TestTalliesOfExpiredEntries(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	ctx := context.Background()
	for _, n := range []string{"e1", "e2"} {
		_, err := s.Renew(ctx, &wire.RenewRequest{Instance: &wire.Instance{Name: n}, Tallies: []*wire.Tally{
			{Account: "acme", Requests: 5, Refusals: 1, Waits: []uint64{1, 2}},
		}})
		is.NoErr(err)
	}
	s.expireFormerLeases()
	is.NoErr(s.check(ctx))
	r := s.renew(is, "e3", 0)
	is.Equal(len(r.Entries), 1)
	is.Equal(r.Tallies[0].Requests, uint64(10))
	is.Equal(r.Tallies[0].Waits, []uint64{2, 4})
}

// Guards against an instance with another number of data groups than the control group was
// bootstrapped with. It would look for keys in the wrong group.
func TestGroupCountMismatch(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	is.Equal(s.config.DataGroups(), uint32(1))
	s.data = append(s.data, s.data[0])
	is.True(s.check(context.Background()) != nil)
}

// Guards against a rejected proposal that is reported as an unknown outcome. The client
// would retry it until its deadline.
func TestFaultOfRejectedProposal(t *testing.T) {
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
		is.New(t).Equal((&Service{}).faultOf(0, c.err).Code, c.code)
	}
}
