package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// script plays the faults of one seed. Faults overlap within a storm; between two
// storms there is planned work only, so that bounds which hold without faults are
// checked too.
type script struct {
	*Soak
	random *rand.Rand
	faults sync.WaitGroup
	names  int // upstreams that were started in place of others
}

// fault is one disturbance.
type fault struct {
	name   string
	weight int
	// planned faults are work that callers must not notice.
	planned bool
	play    func(c *script, ctx context.Context, r *rand.Rand)
}

var faults = []fault{
	{"kill", 3, false, (*script).kill},
	{"wipe", 1, false, (*script).wipe},
	{"pause", 3, false, (*script).pause},
	{"herd", 1, false, (*script).herd},
	{"proxy", 4, false, (*script).proxy},
	{"crash", 3, false, (*script).crash},
	{"grey", 2, false, (*script).grey},
	{"terminate", 2, true, (*script).terminate},
	{"drain", 2, true, (*script).drain},
	{"document", 4, true, (*script).change},
}

func newScript(s *Soak) *script {
	return &script{Soak: s, random: rand.New(rand.NewPCG(s.options.Seed, 3))}
}

// play runs the schedule and waits for the end of all faults.
func (c *script) play(ctx context.Context) error {
	start := c.options.Timer.Now()
	for ctx.Err() == nil && c.options.Timer.Now() < start.Add(c.options.FaultDuration) {
		passed := c.options.Timer.Now().Sub(start) % (storm + quiet)
		f := c.choose(passed >= storm)
		p := &playing{script: c, fault: f, random: rand.New(rand.NewPCG(c.random.Uint64(), 4))}
		c.ledger.count(f.name)
		c.faults.Add(1)
		go p.run(ctx)
		gap := time.Duration(100+c.random.IntN(900)) * time.Millisecond
		if passed >= storm {
			gap += time.Second
		}
		_ = timer.Sleep(ctx, c.options.Timer, gap)
		for _, n := range c.nodes {
			if n.alone() {
				c.ledger.broken("%s has ended by itself: %v", n.name, n.current().Err())
			}
		}
	}
	c.faults.Wait()
	return ctx.Err()
}

// choose draws the next fault.
func (c *script) choose(planned bool) fault {
	var lots []fault
	for _, f := range faults {
		if f.planned || !planned {
			lots = append(lots, slices.Repeat([]fault{f}, f.weight)...)
		}
	}
	return lots[c.random.IntN(len(lots))]
}

// playing is one fault that lasts.
type playing struct {
	*script
	fault  fault
	random *rand.Rand
}

func (p *playing) run(ctx context.Context) {
	defer p.faults.Done()
	p.fault.play(p.script, ctx, p.random)
}

// node reserves an instance, at most one of the core at a time. Nil means that none is free.
func (c *script) node(r *rand.Rand, core bool) *node {
	limit := len(c.nodes)
	if core {
		limit = cores
	}
	n := c.nodes[r.IntN(limit)]
	if n.folder != "" {
		for _, o := range c.nodes[:cores] {
			if o != n {
				o.mu.Lock()
				busy := o.busy
				o.mu.Unlock()
				if busy {
					return nil
				}
			}
		}
	}
	if !n.take() {
		return nil
	}
	return n
}

// again starts a node and notes it if that fails.
func (c *script) again(n *node) {
	if err := n.start(false); err != nil {
		c.ledger.broken("%v", err)
	}
	n.release()
}

func (c *script) wait(ctx context.Context, r *rand.Rand, least, most time.Duration) {
	_ = timer.Sleep(ctx, c.options.Timer, least+time.Duration(r.Int64N(int64(most-least))))
}

// disturb marks a span in which bounds that hold without faults are not checked.
func (c *script) disturb() func() { return c.ledger.begin(false) }

func (c *script) kill(ctx context.Context, r *rand.Rand) {
	if n := c.node(r, false); n != nil {
		defer c.disturb()()
		n.kill()
		c.wait(ctx, r, 0, 2*time.Second)
		c.again(n)
	}
}

// wipe kills an instance of the core and loses its disk.
func (c *script) wipe(ctx context.Context, r *rand.Rand) {
	if n := c.node(r, true); n != nil {
		defer c.disturb()()
		n.kill()
		if err := os.RemoveAll(n.folder); err != nil {
			c.ledger.broken("wipe: %v", err)
		}
		c.wait(ctx, r, 0, time.Second)
		c.again(n)
		// Another loss before this replica has caught up is more than one at once.
		for _, o := range c.nodes[:cores] {
			if o.take() {
				defer o.release()
			}
		}
		c.wait(ctx, r, contact, contact+time.Second)
	}
}

func (c *script) pause(ctx context.Context, r *rand.Rand) {
	if n := c.node(r, false); n != nil {
		defer c.disturb()()
		defer n.release()
		p := n.current()
		p.Signal(syscall.SIGSTOP)
		c.wait(ctx, r, 100*time.Millisecond, 3*time.Second)
		p.Signal(syscall.SIGCONT)
	}
}

// herd kills all instances that are free at the same moment.
func (c *script) herd(ctx context.Context, r *rand.Rand) {
	defer c.disturb()()
	var taken []*node
	for _, n := range c.nodes {
		if n.take() {
			taken = append(taken, n)
		}
	}
	for _, n := range taken {
		n.current().Kill()
	}
	for _, n := range taken {
		n.kill()
	}
	c.wait(ctx, r, 0, time.Second)
	for _, n := range taken {
		c.again(n)
	}
}

func (c *script) upstream(r *rand.Rand) *upstreamNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstreams[r.IntN(len(c.upstreams))]
}

func (c *script) proxy(ctx context.Context, r *rand.Rand) {
	u, m := c.upstream(r), mode(1+r.IntN(len(modes)-1))
	c.ledger.count(modes[m])
	defer c.disturb()()
	u.proxy.set(m)
	c.wait(ctx, r, 200*time.Millisecond, 3*time.Second)
	u.proxy.set(pass)
}

func (c *script) grey(ctx context.Context, r *rand.Rand) {
	defer c.disturb()()
	u := c.upstream(r)
	u.grey.Store(int32(20 + r.IntN(80)))
	c.wait(ctx, r, time.Second, 4*time.Second)
	u.grey.Store(0)
}

// crash ends an upstream and starts another in its place, sometimes under its name.
func (c *script) crash(ctx context.Context, r *rand.Rand) {
	defer c.disturb()()
	u := c.remove(r)
	if u == nil {
		return
	}
	u.crash()
	c.wait(ctx, r, 0, 2*time.Second)
	c.replaceUpstream(u, r.IntN(3) == 0)
}

// drain replaces an upstream as planned.
func (c *script) drain(ctx context.Context, r *rand.Rand) {
	u := c.remove(r)
	if u == nil {
		return
	}
	c.replaceUpstream(u, false)
	u.leave()
	d := c.options.Dialect.DrainDelay()
	c.wait(ctx, r, d+time.Second, d+3*time.Second)
	u.mu.Lock()
	u.left = true
	u.mu.Unlock()
	c.wait(ctx, r, 2*beat, 4*beat)
	u.crash()
}

// remove takes an upstream out of the list, or returns nil if too few would be left.
func (c *script) remove(r *rand.Rand) *upstreamNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := r.IntN(len(c.upstreams))
	u := c.upstreams[i]
	same := 0
	for _, o := range c.upstreams {
		if o.service == u.service {
			same++
		}
	}
	if same < 3 {
		return nil
	}
	c.upstreams = slices.Delete(c.upstreams, i, i+1)
	return u
}

func (c *script) replaceUpstream(u *upstreamNode, sameName bool) {
	c.mu.Lock()
	c.names++
	name := u.id
	if !sameName {
		name = fmt.Sprint(u.service, "-", 100+c.names)
	}
	seed := c.options.Seed + uint64(100+c.names)
	c.mu.Unlock()
	n, err := c.startUpstream(name, u.service, u.zone, seed)
	if err != nil {
		c.ledger.broken("upstream: %v", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams = append(c.upstreams, n)
}

// terminate stops and starts an instance as planned.
func (c *script) terminate(ctx context.Context, r *rand.Rand) {
	if n := c.node(r, false); n != nil {
		defer c.ledger.begin(true)()
		if err := n.terminate(c.options.Timer); err != nil {
			c.ledger.broken("%s: %v", n.name, err)
		}
		c.wait(ctx, r, 0, time.Second)
		c.again(n)
	}
}

// change puts the next document in force; one change at a time is on its way.
func (c *script) change(ctx context.Context, _ *rand.Rand) {
	c.mu.Lock()
	busy := c.pending
	c.mu.Unlock()
	if !busy && !c.replace(ctx, c.next()) && ctx.Err() == nil {
		c.ledger.broken("a document is not acknowledged")
	}
}
