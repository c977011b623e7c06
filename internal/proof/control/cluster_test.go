// Package control proves that every accepted configuration is in force at all entries
// within seconds and is never reverted.
package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/control/server"
	client "wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// propagationLimit is the longest time until an accepted change must be in force.
const propagationLimit = 3 * time.Second

// testCluster is a control group with entries and operators, connected by an in-memory
// network. It runs in a bubble of testing/synctest, so its time is simulated and does not
// depend on the load of the machine.
type testCluster struct {
	t          *testing.T
	seed       uint64
	random     *rand.Rand // used only by the goroutine that injects faults
	network    *network
	clock      timer.Service
	compaction replica.Compaction
	addresses  []string
	instances  map[string]*instance
	entries    map[string]*entry
	driver     *operator     // makes the changes that a fault needs at a certain moment
	group      *group.Group  // goroutines of the operators
	done       chan struct{} // closed to stop the operators
	stopOnce   sync.Once
	// maxOperatorPause limits the random pause between two changes of an operator.
	maxOperatorPause time.Duration

	mu               sync.Mutex
	revisionInForce  uint64             // the highest revision that was reported in force
	pendingRevisions []revisionDeadline // ordered by deadline
	dueRevision      uint64             // the highest revision that was accepted longer ago than propagationLimit
	history          history
	lastSeed         uint64
}

// revisionDeadline is the time from which a revision must be in force.
type revisionDeadline struct {
	deadline timer.Instant
	revision uint64
}

// instance is a control instance. Its group is nil while it is stopped.
type instance struct {
	fileSystem *faulty.FileSystem
	clock      *clock
	group      *group.Group
}

func newTestCluster(t *testing.T, seed uint64) *testCluster {
	tc := &testCluster{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), network: newNetwork(seed), clock: timer.NewSystem(),
		addresses: []string{"c1", "c2", "c3"}, instances: map[string]*instance{}, entries: map[string]*entry{},
		group: group.New(context.Background()), done: make(chan struct{}), lastSeed: seed << 32, maxOperatorPause: 200 * time.Millisecond,
	}
	for i, a := range tc.addresses {
		tc.instances[a] = &instance{fileSystem: faulty.New(seed*10 + uint64(i))}
	}
	tc.driver = tc.newOperator("driver")
	t.Cleanup(tc.stop)
	return tc
}

// startAll starts all instances and three entries, and waits until the entries hold leases.
func (tc *testCluster) startAll() {
	for _, a := range tc.addresses {
		tc.startInstance(a)
	}
	for _, n := range []string{"e1", "e2", "e3"} {
		tc.startEntry(n)
	}
	tc.waitFor("leases of all entries", func() bool {
		for _, e := range tc.entries {
			if !e.client.HoldsLease() {
				return false
			}
		}
		return true
	})
}

// waitFor waits for a condition and fails the test after at least a minute of simulated
// time. The limit is long because faults may last.
func (tc *testCluster) waitFor(what string, condition func() bool) {
	tc.t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		tc.sleep(10 * time.Millisecond)
	}
	tc.t.Fatalf("timed out after a minute waiting for: %s", what)
}

func (tc *testCluster) sleep(d time.Duration) { _ = timer.Sleep(context.Background(), tc.clock, d) }

// randomDuration returns a random duration of at least lower and less than upper.
func (tc *testCluster) randomDuration(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(tc.random.Int64N(int64(upper-lower)))
}

// newRandom returns a random source with a seed of its own.
func (tc *testCluster) newRandom() *rand.Rand {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.lastSeed++
	return rand.New(rand.NewPCG(tc.lastSeed, 3))
}

func (tc *testCluster) startInstance(address string) {
	tc.t.Helper()
	i := tc.instances[address]
	if i.group != nil {
		return
	}
	i.clock = &clock{System: timer.NewSystem()}
	s, err := server.New(server.Options{
		Instance: address, DataDirectory: "disk/data", Address: address, ControlAddresses: tc.addresses, DataGroups: 1, PeerToken: "peer",
		Timer: i.clock, Random: tc.newRandom(), FileSystem: i.fileSystem.Process(), Dial: tc.network.dialer(address),
		Listen: tc.network.listen, Compaction: tc.compaction,
	})
	if err != nil {
		tc.t.Fatal(err)
	}
	i.group = group.New(context.Background())
	i.group.Go("server", s.Run)
}

// kill stops instances at the same time, without flushing their file systems.
func (tc *testCluster) kill(addresses ...string) {
	for _, a := range addresses {
		tc.instances[a].fileSystem.Crash()
		tc.network.closeConnections(a)
	}
	for _, a := range addresses {
		i := tc.instances[a]
		if i.group != nil {
			tc.thaw(a)
			_ = i.group.Stop() // may fail because its file system has crashed
			tc.network.closeConnections(a)
			i.group = nil
		}
	}
}

// wipeDisk replaces the disk of a killed instance with an empty one.
func (tc *testCluster) wipeDisk(address string) {
	tc.instances[address].fileSystem = faulty.New(tc.random.Uint64())
}

// freeze suspends a process: first its network, and shortly after its clock, so that
// messages to it are in transit.
func (tc *testCluster) freeze(name string) {
	tc.network.setFrozen(name, true)
	tc.sleep(tc.randomDuration(time.Millisecond, 150*time.Millisecond))
	tc.clockOf(name).freeze()
}

// thaw resumes a process. An entry uses its configuration before it receives anything new.
// Either the delayed messages or the delayed timers come first, at random.
func (tc *testCluster) thaw(name string) {
	if e := tc.entries[name]; e != nil {
		e.useConfig()
	}
	if tc.random.IntN(2) == 0 {
		tc.clockOf(name).thaw()
	}
	tc.network.setFrozen(name, false)
	synctest.Wait()
	tc.clockOf(name).thaw()
}

// clockOf returns the clock of an entry or a control instance.
func (tc *testCluster) clockOf(name string) *clock {
	if e := tc.entries[name]; e != nil {
		return e.clock
	}
	return tc.instances[name].clock
}

// setPartition starts or ends a partition between the processes of a side and all others.
func (tc *testCluster) setPartition(dropped bool, side ...string) {
	for _, o := range tc.processNames() {
		for _, s := range side {
			if !slices.Contains(side, o) {
				tc.network.setDropped(s, o, dropped)
				tc.network.setDropped(o, s, dropped)
			}
		}
	}
}

// processNames returns the names of all instances, entries and operators.
func (tc *testCluster) processNames() []string {
	names := append(slices.Clone(tc.addresses), "op1", "op2", "op3", "driver")
	for n := range tc.entries {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// leader returns the leader of group 0 and its two followers in random order.
func (tc *testCluster) leader() (leader string, followers []string) {
	tc.t.Helper()
	tc.waitFor("a known leader", func() bool {
		r, err := tc.driver.status()
		if err != nil || len(r.Groups) == 0 {
			return false
		}
		leader = r.Groups[0].Leader
		return slices.Contains(tc.addresses, leader)
	})
	for _, a := range tc.addresses {
		if a != leader {
			followers = append(followers, a)
		}
	}
	tc.random.Shuffle(2, func(i, j int) { followers[i], followers[j] = followers[j], followers[i] })
	return leader, followers
}

// newOperator returns an operator, whose client makes calls and holds no lease.
func (tc *testCluster) newOperator(name string) *operator {
	c, err := client.New(client.Options{
		Addresses: tc.addresses, PeerToken: "peer", DataGroups: 1, Instance: &wire.Instance{Name: name}, Epoch: 1,
		Timer: tc.clock, Random: tc.newRandom(), Dial: tc.network.dialer(name),
	})
	if err != nil {
		tc.t.Fatal(err)
	}
	return &operator{cluster: tc, client: c, random: tc.newRandom()}
}

// entry is an entry that uses its configuration continually.
type entry struct {
	cluster *testCluster
	name    string
	clock   *clock
	client  *client.Client
	group   *group.Group

	mu           sync.Mutex
	lastRevision uint64 // revision of the configuration used last
}

// startEntry starts an entry. A running entry is stopped and replaced by a new process.
func (tc *testCluster) startEntry(name string) {
	if e := tc.entries[name]; e != nil {
		tc.stopEntry(name)
	}
	e := &entry{cluster: tc, name: name, clock: &clock{System: timer.NewSystem()}, group: group.New(context.Background())}
	r := tc.newRandom()
	c, err := client.New(client.Options{
		Addresses: tc.addresses, PeerToken: "peer", DataGroups: 1, Instance: &wire.Instance{Name: name}, Epoch: r.Uint64(),
		Timer: e.clock, Random: r, Dial: tc.network.dialer(name),
	})
	if err != nil {
		tc.t.Fatal(err)
	}
	e.client = c
	tc.entries[name] = e
	e.group.Go("client", c.Run)
	e.group.Go("actions", e.useConfigUntilStopped)
}

// stopEntry stops an entry. A frozen entry is thawed, so that its goroutines can end.
func (tc *testCluster) stopEntry(name string) {
	e := tc.entries[name]
	tc.network.closeConnections(name)
	e.clock.thaw()
	tc.network.setFrozen(name, false)
	if err := e.group.Stop(); err != nil {
		tc.t.Error(err)
	}
	delete(tc.entries, name)
}

func (e *entry) useConfigUntilStopped(ctx context.Context) error {
	for timer.Sleep(ctx, e.clock, 20*time.Millisecond) == nil {
		e.useConfig()
	}
	return nil
}

// useConfig uses the leased configuration, as an entry does for a request, and checks that
// it is not older than what must be in force or what the entry has used before.
func (e *entry) useConfig() {
	tc := e.cluster
	least, reason := tc.minRevision()
	c := e.client.LeasedConfig()
	if c == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := uint64(c.Revision)
	if r < least {
		tc.t.Errorf("%s uses revision %d under a lease, but revision %d %s", e.name, r, least, reason)
	}
	if r < e.lastRevision {
		tc.t.Errorf("%s uses revision %d after revision %d", e.name, r, e.lastRevision)
	}
	if r == e.lastRevision {
		return
	}
	e.lastRevision = r
	for s, d := range c.Documents {
		tc.history.addObservation(observation{entry: e.name, revision: r, service: string(s), text: string(d.Models[0].Name)})
	}
}

// minRevision returns the oldest revision that entries may use now, and the reason.
func (tc *testCluster) minRevision() (revision uint64, reason string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for len(tc.pendingRevisions) > 0 && !tc.clock.Now().Before(tc.pendingRevisions[0].deadline) {
		tc.dueRevision = max(tc.dueRevision, tc.pendingRevisions[0].revision)
		tc.pendingRevisions = tc.pendingRevisions[1:]
	}
	if tc.dueRevision > tc.revisionInForce {
		return tc.dueRevision, fmt.Sprintf("was accepted more than %s ago", propagationLimit)
	}
	return tc.revisionInForce, "was reported in force"
}

// recordAccepted records an accepted change and when it must be in force.
func (tc *testCluster) recordAccepted(r *wire.ApplyReply) {
	tc.mu.Lock()
	tc.pendingRevisions = append(tc.pendingRevisions, revisionDeadline{deadline: tc.clock.Now().Add(propagationLimit), revision: r.Revision})
	if r.Inforce {
		tc.revisionInForce = max(tc.revisionInForce, r.Revision)
	}
	tc.mu.Unlock()
	if r.Inforce && time.Duration(r.Elapsed)*time.Millisecond > propagationLimit {
		tc.t.Errorf("revision %d was in force %d ms after its commit", r.Revision, r.Elapsed)
	}
}
