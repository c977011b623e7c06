package coordinator

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// leaveStep is a record that an instance reports, and whether it has to be committed.
type leaveStep struct {
	stage     wire.Stage
	born      int64
	sequence  uint64
	leaving   bool
	committed bool
}

// Guards against a leave that is acknowledged without being committed, and against a commit
// for each announcement of an upstream that drains.
func TestCommittedLeaves(t *testing.T) {
	const ready, draining, left = wire.Stage_STAGE_READY, wire.Stage_STAGE_DRAINING, wire.Stage_STAGE_LEFT
	for _, c := range []struct {
		name  string
		steps []leaveStep
	}{
		{"ready upstreams are not committed", []leaveStep{{ready, 5, 1, false, false}, {ready, 5, 2, false, false}}},
		{"draining once", []leaveStep{{ready, 5, 1, false, false}, {draining, 5, 2, false, true}, {draining, 5, 3, false, false}, {draining, 5, 4, false, false}}},
		{"drains, then leaves", []leaveStep{{draining, 5, 2, false, true}, {left, 5, 3, false, true}, {left, 5, 3, false, false}}},
		{"leaves without a sequence number", []leaveStep{{draining, 5, 2, false, true}, {left, 5, 0, false, true}}},
		{"leaves unknown", []leaveStep{{left, 5, 1, false, true}, {ready, 5, 2, false, false}}},
		{"drains again", []leaveStep{{draining, 5, 2, false, true}, {ready, 5, 3, false, false}, {draining, 5, 4, false, true}, {draining, 5, 5, false, false}}},
		{"states in a response that it leaves", []leaveStep{{draining, 5, 2, false, true}, {draining, 5, 2, true, true}, {draining, 5, 3, true, false}}},
		{"next incarnation", []leaveStep{{left, 5, 1, false, true}, {ready, 6, 1, false, false}, {draining, 6, 2, false, true}}},
		{"former incarnation", []leaveStep{{left, 6, 1, false, true}, {left, 5, 9, false, false}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			for _, s := range c.steps {
				u := &wire.Upstream{Id: "x", Born: s.born, Sequence: s.sequence, Address: "1", Stage: s.stage, Leaving: s.leaving}
				_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{Upstreams: []*wire.Upstream{u}})
				is.True(ok)
				before := f.replica.commands
				is.NoErr(f.coordinator.CommitLeaves(context.Background(), []*wire.Upstream{u}))
				is.Equal(f.replica.commands-before == 1, s.committed)
			}
		})
	}
}

// Guards against a leave that counts as committed after its proposal failed.
func TestLeaveNotCommitted(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	u := []*wire.Upstream{{Id: "x", Born: 5, Sequence: 3, Address: "1", Stage: wire.Stage_STAGE_LEFT}}
	_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{Upstreams: u})
	is.True(ok)
	f.replica.err = errors.New("no majority")
	is.True(f.coordinator.CommitLeaves(context.Background(), u) != nil)
	is.True(f.coordinator.CommitLeaves(context.Background(), u) != nil)
	f.replica.err = nil
	is.NoErr(f.coordinator.CommitLeaves(context.Background(), u))
	is.Equal(len(f.replica.state.Leaves()), 1)
}

// Guards against a new leader that has not heard of a committed leave: it must tell the
// instances, and no older announcement may bring the upstream back.
func TestNewLeaderKnowsCommittedLeaves(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.propose(is, &wire.Command{Body: &wire.Command_Leaves{Leaves: &wire.Leaves{Upstreams: []*wire.Upstream{
		{Id: "x", Born: 5, Sequence: 3, Address: "1", Service: "s", Stage: wire.Stage_STAGE_LEFT},
	}}}})
	f.replica.term = 2
	f.sync(is, "a")
	_, ok := f.coordinator.ApplyReport(context.Background(), &wire.TellRequest{
		Upstreams: []*wire.Upstream{{Id: "x", Born: 5, Sequence: 9, Address: "1", Service: "s"}},
		Beats:     []*wire.Beat{{Id: "x", Born: 5, Sequence: 10}},
	})
	is.True(ok)
	r := f.sync(is, "b")
	is.Equal(len(r.Upstreams), 1)
	is.Equal(r.Upstreams[0].Stage, wire.Stage_STAGE_LEFT)

	// A replica may apply an entry of the former leader after it has become the leader.
	f.propose(is, &wire.Command{Body: &wire.Command_Leaves{Leaves: &wire.Leaves{Upstreams: []*wire.Upstream{
		{Id: "y", Born: 5, Sequence: 3, Address: "2", Service: "s", Stage: wire.Stage_STAGE_DRAINING},
	}}}})
	is.Equal(len(f.sync(is, "b").Upstreams), 2)
}
