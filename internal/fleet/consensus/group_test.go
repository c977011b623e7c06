package consensus

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"wisteriakeel.example/wisteriakeel/internal/control/disk/faulty"
	"wisteriakeel.example/wisteriakeel/internal/control/replica"
	"wisteriakeel.example/wisteriakeel/internal/fleet/state"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
	replicawire "wisteriakeel.example/wisteriakeel/internal/wire/replica"
)

const (
	// pollInterval is how often a simulated instance polls the leader, and pollTimeout how long
	// it counts as in contact after a poll.
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 1600 * time.Millisecond
	// retransmission is the first interval after which a sender tries again what was lost.
	// It doubles with each loss.
	retransmission = 200 * time.Millisecond
)

// core simulates the instances with disks of a deployment: their replicas, which talk over
// connections that a cut makes silent, and their polls.
type core struct {
	t        *testing.T
	random   *rand.Rand
	log      *zap.Logger
	machines []*machine
	stop     context.CancelFunc
	ended    sync.WaitGroup
	voters   int // Options.Voters of the replicas

	mu  sync.Mutex
	cut map[[2]int]bool // what the first machine sends to the second is lost
}

// machine is one machine of the core. Its fields are guarded by the mutex of core.
type machine struct {
	core    *core
	index   int
	files   *faulty.FileSystem
	process *process // nil while the machine is down
	starts  int      // number of starts and kills
	mute    bool     // its instance doesn't poll
	// stopping is true from the begin of a planned end.
	stopping bool
}

// process is one run of an instance.
type process struct {
	machine *machine
	replica *Replica
	state   *state.State
	server  *drpcserver.Server
	ctx     context.Context
	cancel  context.CancelFunc
	ended   sync.WaitGroup
	polls   map[int]poll // the last poll of each machine in a term, guarded by the mutex of core
	term    uint64
}

type poll struct {
	identity replica.Identity
	at       time.Time
	stopping bool
}

func newCore(t *testing.T, seed uint64, size int) *core {
	c := newStoppedCore(t, seed, size)
	for _, m := range c.machines {
		m.start(true)
	}
	return c
}

// newStoppedCore returns a core whose machines are down and have empty disks.
func newStoppedCore(t *testing.T, seed uint64, size int) *core {
	ctx, cancel := context.WithCancel(context.Background())
	c := &core{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), log: zaptest.NewLogger(t), cut: map[[2]int]bool{}, stop: cancel,
	}
	for i := range size {
		c.machines = append(c.machines, &machine{core: c, index: i, files: faulty.New(c.random.Uint64())})
	}
	c.ended.Go(func() { c.loop(ctx) })
	t.Cleanup(func() {
		cancel()
		c.heal()
		for _, m := range c.machines {
			m.kill()
		}
		c.ended.Wait()
	})
	return c
}

func peerAddress(index int) string { return strconv.Itoa(index) }

// loop lets the instances poll.
func (c *core) loop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		l, term := c.leader()
		if l == nil {
			continue
		}
		c.mu.Lock()
		if l.term != term {
			l.term, l.polls = term, map[int]poll{}
		}
		for _, m := range c.machines {
			if m.process != nil && !m.mute && !c.isCut(m.index, l.machine.index) {
				l.polls[m.index] = poll{m.process.replica.identity, time.Now(), m.stopping}
			}
		}
		c.mu.Unlock()
	}
}

// isCut reports whether messages between two machines get lost in one of the directions.
func (c *core) isCut(a, b int) bool { return c.cut[[2]int{a, b}] || c.cut[[2]int{b, a}] }

// leader returns the process that holds the lease and its term, or nil.
func (c *core) leader() (p *process, term uint64) {
	for _, m := range c.machines {
		c.mu.Lock()
		q := m.process
		c.mu.Unlock()
		if q == nil {
			continue
		}
		if t, ok := q.replica.HoldsLease(); ok {
			return q, t
		}
	}
	return nil, 0
}

// live returns the replicas that have polled a process lately.
func (p *process) live() map[replica.Identity]replica.Address {
	c := p.machine.core
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[replica.Identity]replica.Address{}
	for i, poll := range p.polls {
		if time.Since(poll.at) < pollTimeout {
			out[poll.identity] = replica.Address(peerAddress(i))
		}
	}
	return out
}

// stopping returns the replicas that have said in a poll that their process stops.
func (p *process) stopping() map[replica.Identity]bool {
	c := p.machine.core
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[replica.Identity]bool{}
	for _, poll := range p.polls {
		if poll.stopping {
			out[poll.identity] = true
		}
	}
	return out
}

// start starts the process and waits until its replica answers.
func (m *machine) start(found bool) { <-m.boot(found) }

// boot starts the process. Its replica answers once the returned channel is closed, unless the
// process is killed before.
func (m *machine) boot(found bool) (done <-chan struct{}) {
	c := m.core
	c.mu.Lock()
	m.starts++
	start, files, seed := m.starts, m.files.Process(), c.random.Uint64()
	c.mu.Unlock()
	ended := make(chan struct{})
	c.ended.Go(func() {
		defer close(ended)
		p, err := m.open(found, files, seed)
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case m.starts != start:
			if err == nil {
				p.cancel()
			}
		case err != nil:
			c.t.Errorf("%+v", err)
		default:
			m.process = p
		}
		if err == nil {
			p.ended.Go(func() { m.checkEnd(start, p.replica.Run(p.ctx)) })
			c.ended.Go(p.ended.Wait)
		}
	})
	return ended
}

// checkEnd fails the test if a replica has ended although its process was not killed.
func (m *machine) checkEnd(start int, err error) {
	m.core.mu.Lock()
	defer m.core.mu.Unlock()
	if m.starts == start {
		m.core.t.Errorf("replica %d has ended by itself: %+v", m.index, err)
	}
}

// open opens the disk and returns a process that doesn't run yet.
func (m *machine) open(found bool, files *faulty.Process, seed uint64) (p *process, err error) {
	c := m.core
	p = &process{machine: m, state: state.New(), polls: map[int]poll{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.replica, err = New(Options{
		DataDirectory: "data", Address: peerAddress(m.index), PeerToken: "t", State: p.state, Timer: timer.NewSystem(),
		Random: rand.New(rand.NewPCG(seed, 3)), Log: c.log.Named(peerAddress(m.index)), Files: files,
		Dial: p.dial, AllowBootstrap: found, Voters: c.voters, LiveReplicas: p.live, StoppingReplicas: p.stopping,
		RequestBootstrap: func(context.Context, string) bool {
			time.Sleep(time.Millisecond) // a round trip, within which the replica starts to run
			return m.index == 0
		},
	})
	if err != nil {
		p.cancel()
		return nil, err
	}
	mux := drpcmux.New()
	p.server = drpcserver.New(mux)
	return p, replicawire.DRPCRegisterReplica(mux, p.replica.Server())
}

// kill ends the process, if there is one. What it has not synced is lost.
func (m *machine) kill() {
	m.core.mu.Lock()
	p := m.process
	m.process = nil
	m.starts++
	m.core.mu.Unlock()
	m.files.Crash()
	if p == nil {
		return
	}
	p.cancel()
	p.ended.Wait()
}

// wipe kills the process and replaces the disk by an empty one.
func (m *machine) wipe() {
	m.kill()
	m.files = faulty.New(m.core.random.Uint64())
}

// dial connects to another machine. While one of the directions is cut, it tries again after
// the intervals of TCP.
func (p *process) dial(ctx context.Context, to string) (net.Conn, error) {
	index, err := strconv.Atoi(to)
	if err != nil {
		return nil, err
	}
	c, from := p.machine.core, p.machine.index
	for pause := time.Second; ; pause *= 2 {
		c.mu.Lock()
		cut, q := c.isCut(from, index), c.machines[index].process
		c.mu.Unlock()
		switch {
		case !cut && q == nil:
			return nil, errors.New("connection refused")
		case !cut:
			return c.connect(p, q), nil
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// connect returns the end of p of a new connection to q.
func (c *core) connect(p, q *process) net.Conn {
	near, a := net.Pipe()
	b, far := net.Pipe()
	c.ended.Go(func() { _ = q.server.ServeOne(q.ctx, far) })
	c.forward(a, b, p.machine.index, q.machine.index)
	c.forward(b, a, q.machine.index, p.machine.index)
	return near
}

// forward passes what one end sends to the other. What is lost in a cut is sent again.
func (c *core) forward(from, to net.Conn, sender, receiver int) {
	queue := make(chan []byte, 4096)
	c.ended.Go(func() {
		defer close(queue)
		for {
			b := make([]byte, 64<<10)
			n, err := from.Read(b)
			if err != nil {
				return
			}
			queue <- b[:n]
		}
	})
	c.ended.Go(func() {
		defer func() { _ = from.Close() }()
		defer func() { _ = to.Close() }()
		for b := range queue {
			c.pass(sender, receiver)
			if _, err := to.Write(b); err != nil {
				return
			}
		}
		c.pass(sender, receiver) // the end of the connection is a packet as well
	})
}

// pass waits until a packet gets through.
func (c *core) pass(sender, receiver int) {
	for pause := retransmission; ; pause *= 2 {
		time.Sleep(200 * time.Microsecond)
		c.mu.Lock()
		lost := c.cut[[2]int{sender, receiver}]
		c.mu.Unlock()
		if !lost {
			return
		}
		time.Sleep(pause)
	}
}

// cutOff cuts machines off from all others, in the directions given.
func (c *core) cutOff(machines []int, in, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range machines {
		for o := range c.machines {
			if slices.Contains(machines, o) {
				continue
			}
			c.cut[[2]int{o, i}], c.cut[[2]int{i, o}] = in, out
		}
	}
}

func (c *core) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.cut)
}

// commit commits a change and reads it back. It returns false if there is no leader that does
// so in time.
func (c *core) commit(version uint64) bool {
	l, _ := c.leader()
	if l == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := l.replica.Propose(ctx, &wire.Command{Body: &wire.Command_Layout{Layout: &wire.Layout{Version: version, Text: make([]byte, 1<<10)}}})
	return err == nil && l.replica.ReadBarrier(ctx) == nil
}

// settled reports whether all machines are members and the number of voters is as large as it
// gets.
func (c *core) settled() bool {
	l, _ := c.leader()
	if l == nil {
		return false
	}
	members := l.replica.Members()
	for _, m := range c.machines {
		if !slices.ContainsFunc(members, func(o replica.Member) bool { return o.Identity == m.process.replica.identity }) {
			return false
		}
	}
	return len(members) == len(c.machines) && countVoters(members) == largestOdd(min(MaxVoters, len(c.machines)))
}

// await returns how long it takes until a condition holds. It fails the test after the limit.
func (c *core) await(what string, limit time.Duration, condition func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against a voter that is replaced although it acknowledges what the leader sends, only
// because its instance doesn't poll. One that is really lost must still be replaced.
func TestVoterThatDoesNotPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCore(t, 1, 4)
		c.await("four members", 20*time.Second, c.settled)
		l, _ := c.leader()
		members := l.replica.Members()
		at := slices.IndexFunc(members, func(m replica.Member) bool { return m.Voter && m.Identity != l.replica.identity })
		index, err := strconv.Atoi(string(members[at].Address))
		is.NoErr(err)
		c.mu.Lock()
		c.machines[index].mute = true
		c.mu.Unlock()
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(l.replica.Members(), members)
		}
		c.machines[index].kill()
		c.await("replacement of the lost voter", 5*time.Second, func() bool {
			return !slices.ContainsFunc(l.replica.Members(), func(m replica.Member) bool { return m.Voter && m.Address == members[at].Address })
		})
	})
}
