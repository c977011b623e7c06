package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// testCluster is a set of control instances that only run the bootstrap.
type testCluster struct {
	bootstrappers map[string]*bootstrapper
	members       map[string][]*wire.Founder // first members stored by each instance; no key until it is a member
	down          map[string]bool
	dataGroups    map[string]uint32 // numbers of data groups in the replies of the instances
	replica       *fakeReplica
}

func newTestCluster(addresses ...string) *testCluster {
	c := &testCluster{
		bootstrappers: map[string]*bootstrapper{}, members: map[string][]*wire.Founder{}, down: map[string]bool{},
		dataGroups: map[string]uint32{}, replica: &fakeReplica{fakeNode: fakeNode{holdsLease: true}},
	}
	for _, a := range addresses {
		c.start(a, "id-"+a, addresses)
	}
	return c
}

// start adds an instance with an empty data directory. It replaces the one at the address.
func (c *testCluster) start(address, identity string, addresses []string) *bootstrapper {
	m := timer.NewManual()
	delete(c.members, address)
	b := &bootstrapper{
		timer: m, random: rand.New(rand.NewPCG(1, 1)), log: zap.NewNop(), identity: identity,
		address: address, addresses: addresses, dataGroups: 0, identify: c.identify, join: c.join, votingGroups: map[uint32]bool{},
	}
	b.bootstrap = func(members []*wire.Founder) error { c.members[address] = members; return nil }
	b.appliedIndexes = func() []uint64 { return []uint64{c.replica.applied} }
	b.recordJoined = func() error { c.members[address] = []*wire.Founder{}; return nil }
	c.bootstrappers[address] = b
	return b
}

func (c *testCluster) identify(_ context.Context, address string) (*wire.IdentifyReply, error) {
	if c.down[address] {
		return nil, errors.New("no answer")
	}
	members, formed := c.members[address]
	return &wire.IdentifyReply{Identity: c.bootstrappers[address].identity, Formed: formed, Members: members, Groups: c.dataGroups[address]}, nil
}

func (c *testCluster) join(ctx context.Context, address string, r *wire.JoinRequest) (*wire.JoinReply, error) {
	if c.down[address] || address != "a" {
		return &wire.JoinReply{}, nil
	}
	m := &membership{timer: timer.NewManual(), log: zap.NewNop(), addresses: []string{"a", "b", "c"}, nodes: []Replica{c.replica}}
	return m.join(ctx, r), nil
}

// fakeReplica keeps a list of members and records its changes.
type fakeReplica struct {
	fakeNode
	members []*wire.Replicator
	commit  uint64 // commit index of the group
	applied uint64 // applied index of the joining replica
	changes []string
}

func (f *fakeReplica) Status() *wire.GroupStatus {
	return &wire.GroupStatus{Commit: f.commit, Replicas: f.members}
}

func (f *fakeReplica) recordChange(what, identity string) {
	f.commit++
	f.changes = append(f.changes, fmt.Sprint(what, " ", identity))
	f.applied = f.commit
}

func (f *fakeReplica) AddLearner(_ context.Context, identity, address string) error {
	f.recordChange("learn", identity)
	f.members = append(f.members, &wire.Replicator{Identity: identity, Address: address})
	return nil
}

func (f *fakeReplica) PromoteLearner(_ context.Context, identity string) error {
	f.recordChange("promote", identity)
	for _, m := range f.members {
		m.Voter = m.Voter || m.Identity == identity
	}
	return nil
}

func (f *fakeReplica) RemoveMember(_ context.Context, identity string) error {
	f.recordChange("remove", identity)
	f.members = slices.DeleteFunc(f.members, func(m *wire.Replicator) bool { return m.Identity == identity })
	return nil
}

// Guards against a group that is bootstrapped while an instance is unreachable, by two
// instances on their own, or with different first members.
func TestBootstrap(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newTestCluster("a", "b", "c")
	step := func(a string) bool {
		done, err := c.bootstrappers[a].step(ctx)
		is.NoErr(err)
		return done
	}
	c.down["c"] = true
	is.Equal(step("a"), false)
	c.down["c"] = false
	is.Equal(step("b"), false)
	is.Equal(step("c"), false)
	is.True(step("a"))
	is.True(step("b"))
	c.down["a"] = true
	is.True(step("c")) // takes the members from b
	for _, a := range []string{"b", "c"} {
		is.Equal(len(c.members[a]), 3)
		for i, m := range c.members[a] {
			is.Equal(m.Identity, c.members["a"][i].Identity)
		}
	}
}

// Guards against a bootstrap of instances whose settings differ in the number of data groups.
func TestDifferentGroupCount(t *testing.T) {
	is := is.New(t)
	c := newTestCluster("a", "b")
	c.dataGroups["b"] = 7
	_, err := c.bootstrappers["a"].step(context.Background())
	is.True(err != nil)
}

// Guards against an instance that lost its disk and then becomes a voter before it has
// caught up, becomes one while its former identity is still a member, or bootstraps a
// second group.
func TestRejoinAfterLostDisk(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newTestCluster("a", "b", "c")
	for _, a := range []string{"a", "b", "c"} {
		done, err := c.bootstrappers[a].step(ctx)
		is.NoErr(err)
		is.True(done)
		c.replica.members = append(c.replica.members, &wire.Replicator{Identity: "id-" + a, Address: a, Voter: true})
	}
	b := c.start("b", "new", []string{"a", "b", "c"})
	done, err := b.step(ctx)
	is.NoErr(err)
	is.Equal(done, false)
	is.Equal(c.replica.changes, []string{"learn new"})
	c.replica.commit = 1000
	for range 3 {
		done, err = b.step(ctx)
		is.NoErr(err)
		is.Equal(done, false) // the applied index is too far behind
	}
	is.Equal(c.replica.changes, []string{"learn new"})
	c.replica.applied = 1000
	for n := 0; !done; n++ {
		is.True(n < 5)
		done, err = b.step(ctx)
		is.NoErr(err)
	}
	is.Equal(c.replica.changes, []string{"learn new", "remove id-b", "promote new"})
	is.Equal(len(c.replica.members), 3)
}
