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

// cluster is a set of control instances that only form.
type cluster struct {
	formations map[string]*formation
	members    map[string][]*wire.Founder
	down       map[string]bool
	groups     map[string]uint32
	replica    *fakeReplica
}

func newCluster(addresses ...string) *cluster {
	c := &cluster{
		formations: map[string]*formation{}, members: map[string][]*wire.Founder{}, down: map[string]bool{},
		groups: map[string]uint32{}, replica: &fakeReplica{fakeNode: fakeNode{leading: true}},
	}
	for _, a := range addresses {
		c.start(a, "id-"+a, addresses)
	}
	return c
}

// start adds an instance with an empty disk.
func (c *cluster) start(address, identity string, addresses []string) *formation {
	m := timer.NewManual()
	delete(c.members, address)
	f := &formation{
		timer: m, random: rand.New(rand.NewPCG(1, 1)), log: zap.NewNop(), identity: identity,
		address: address, addresses: addresses, groups: 0, identify: c.identify, join: c.join, voting: map[uint32]bool{},
	}
	f.establish = func(members []*wire.Founder) error { c.members[address] = members; return nil }
	f.applied = func() []uint64 { return []uint64{c.replica.applied} }
	f.joined = func() error { c.members[address] = []*wire.Founder{}; return nil }
	c.formations[address] = f
	return f
}

func (c *cluster) identify(_ context.Context, address string) (*wire.IdentifyReply, error) {
	if c.down[address] {
		return nil, errors.New("no answer")
	}
	members, formed := c.members[address]
	return &wire.IdentifyReply{Identity: c.formations[address].identity, Formed: formed, Members: members, Groups: c.groups[address]}, nil
}

func (c *cluster) join(ctx context.Context, address string, r *wire.JoinRequest) (*wire.JoinReply, error) {
	if c.down[address] || address != "a" {
		return &wire.JoinReply{}, nil
	}
	m := &membership{timer: timer.NewManual(), log: zap.NewNop(), addresses: []string{"a", "b", "c"}, nodes: []Replica{c.replica}}
	return m.join(ctx, r), nil
}

// fakeReplica keeps a list of members and logs how it changes.
type fakeReplica struct {
	fakeNode
	members []*wire.Replicator
	commit  uint64
	applied uint64 // by the joining replica
	log     []string
}

func (f *fakeReplica) Status() *wire.GroupStatus {
	return &wire.GroupStatus{Commit: f.commit, Replicas: f.members}
}

func (f *fakeReplica) note(what, identity string) {
	f.commit++
	f.log = append(f.log, fmt.Sprint(what, " ", identity))
	f.applied = f.commit
}

func (f *fakeReplica) AddLearner(_ context.Context, identity, address string) error {
	f.note("learn", identity)
	f.members = append(f.members, &wire.Replicator{Identity: identity, Address: address})
	return nil
}

func (f *fakeReplica) PromoteLearner(_ context.Context, identity string) error {
	f.note("promote", identity)
	for _, m := range f.members {
		m.Voter = m.Voter || m.Identity == identity
	}
	return nil
}

func (f *fakeReplica) RemoveMember(_ context.Context, identity string) error {
	f.note("remove", identity)
	f.members = slices.DeleteFunc(f.members, func(m *wire.Replicator) bool { return m.Identity == identity })
	return nil
}

// Guards against a group that is formed without all instances, by two of them, or
// with different first members.
func TestFirstFormation(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newCluster("a", "b", "c")
	step := func(a string) bool {
		done, err := c.formations[a].step(ctx)
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
	is.True(step("c")) // learns the members from b
	for _, a := range []string{"b", "c"} {
		is.Equal(len(c.members[a]), 3)
		for i, m := range c.members[a] {
			is.Equal(m.Identity, c.members["a"][i].Identity)
		}
	}
}

// Guards against an instance that uses another number of groups.
func TestGroupsDiffer(t *testing.T) {
	is := is.New(t)
	c := newCluster("a", "b")
	c.groups["b"] = 7
	_, err := c.formations["a"].step(context.Background())
	is.True(err != nil)
}

// Guards against a lost disk that rejoins as a voter before it caught up, beside
// its former identity, or that forms a second group.
func TestLostDiskRejoins(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newCluster("a", "b", "c")
	for _, a := range []string{"a", "b", "c"} {
		done, err := c.formations[a].step(ctx)
		is.NoErr(err)
		is.True(done)
		c.replica.members = append(c.replica.members, &wire.Replicator{Identity: "id-" + a, Address: a, Voter: true})
	}
	f := c.start("b", "new", []string{"a", "b", "c"})
	done, err := f.step(ctx)
	is.NoErr(err)
	is.Equal(done, false)
	is.Equal(c.replica.log, []string{"learn new"})
	c.replica.commit = 1000
	for range 3 {
		done, err = f.step(ctx)
		is.NoErr(err)
		is.Equal(done, false) // behind
	}
	is.Equal(c.replica.log, []string{"learn new"})
	c.replica.applied = 1000
	for n := 0; !done; n++ {
		is.True(n < 5)
		done, err = f.step(ctx)
		is.NoErr(err)
	}
	is.Equal(c.replica.log, []string{"learn new", "remove id-b", "promote new"})
	is.Equal(len(c.replica.members), 3)
}
