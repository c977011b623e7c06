package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Replays of a leader, instances and brittle upstreams.
const (
	replayDuration = 12 * time.Second
	contactTime    = 3 * time.Second // from then on falls count and requests are expected to be served
	fallDuration   = 2 * time.Second
	allowedFalls   = 2 // and a tenth of the upstreams
	patience       = 150 * time.Millisecond
	timeLimit      = 1500 * time.Millisecond
	work           = 60 * time.Millisecond
	leaseSilence   = 1600 * time.Millisecond // after which the leader counts an instance as gone
)

// replay is a deployment before brittle upstreams.
type replay struct {
	instances, upstreams, slots int
	room, tolerated             int           // requests that may wait, and be refused in a second
	memory                      int           // requests that an upstream has memory for; 0: as many as slots
	delay                       time.Duration // one way
	load                        float64       // against what fits
	together                    bool          // all instances get their requests at the same moment
	// abandon is the part of the requests whose callers leave halfway; keep is the part of those that their
	// upstream runs to the end all the same.
	abandon, keep float64
	// freeze, kill and cut are the part of the instances that, each at its own moment, stand still for two
	// seconds, are killed and started again, or lose the leader for two seconds.
	freeze, kill, cut float64
	leaders           int // leaders after the first one, at equal intervals

	clock  *timer.Manual
	random *rand.Rand
	lender *Lender
	leader int // number of the leader
	nodes  []*node
	ups    map[Upstream]*brittle
	list   []Upstream

	sent, served, falls int
	most                int // requests at an upstream at the same moment, those that wait included
}

// node is an instance.
type node struct {
	*replay
	name      Holder
	frozen    timer.Instant // stands still until then
	cut       timer.Instant // reaches no leader until then
	held      map[LeaseID]Held
	waiting   map[uint64]*request
	number    uint64
	listening int // number of the leader that it talks to
}

// request is a request of a caller.
type request struct {
	*node
	asked timer.Instant
	again bool // has come back after a refusal
	gone  bool // its process was killed
}

// brittle is an upstream.
type brittle struct {
	*replay
	running, waiting int
	queue            []func()
	refused          []timer.Instant
	down             timer.Instant
	life             int
}

// after runs f after a delay of the network.
func (r *replay) after(f func()) {
	r.clock.AfterFunc(r.delay/2+time.Duration(r.random.Int64N(int64(r.delay))), f)
}

// counts reports whether now counts for the checks.
func (r *replay) counts() bool {
	now := time.Duration(r.clock.Now()) - time.Hour
	return now >= contactTime && now < replayDuration-2*timeLimit
}

// reach calls f at the leader that the node talks to, unless there is another one by then.
func (n *node) reach(f func(l *Lender) []Answer) {
	leader := n.listening
	if n.clock.Now().Before(n.cut) {
		return
	}
	n.after(func() {
		if leader == n.leader {
			n.deliver(f(n.lender))
		}
	})
}

// deliver sends answers of the leader to their nodes.
func (r *replay) deliver(answers []Answer) {
	for _, a := range answers {
		for _, n := range r.nodes {
			if n.name == a.Want.Holder && !r.clock.Now().Before(n.cut) {
				leader := r.leader
				r.after(func() { n.receive(a, leader) })
			}
		}
	}
}

// receive handles an answer, once the node runs.
func (n *node) receive(a Answer, leader int) {
	if now := n.clock.Now(); now.Before(n.frozen) {
		n.clock.AfterFunc(n.frozen.Sub(now), func() { n.receive(a, leader) })
		return
	}
	q := n.waiting[a.Want.Number]
	delete(n.waiting, a.Want.Number)
	switch {
	case a.Lease == 0 && q != nil && !q.again:
		// The caller comes back, as late as it is told to.
		q.again = true
		n.clock.AfterFunc(a.Wait+time.Duration(n.random.Int64N(int64(a.Wait)+1)), func() { n.ask(q) })
	case a.Lease == 0 || leader != n.listening || n.name != a.Want.Holder:
	case q == nil || !n.clock.Now().Before(q.asked.Add(patience+Lifetime)):
		n.reach(func(l *Lender) []Answer { return l.Return(a.Lease, Unused, n.clock.Now()) })
	default:
		n.held[a.Lease] = Held{ID: a.Lease, Upstream: a.Upstream, Until: q.asked.Add(timeLimit)}
		q.run(a)
	}
}

// arrive begins a request.
func (n *node) arrive() {
	if n.counts() && !n.clock.Now().Before(n.frozen) && !n.clock.Now().Before(n.cut) {
		n.sent++
	}
	if n.clock.Now().Before(n.frozen) {
		return
	}
	n.ask(&request{node: n})
}

// ask asks the leader for a slot.
func (n *node) ask(q *request) {
	n.number++
	q.asked = n.clock.Now()
	n.waiting[n.number] = q
	w := &Want{Holder: n.name, Number: n.number, Patience: patience}
	for _, i := range n.random.Perm(len(n.list))[:min(8, len(n.list))] {
		w.Upstreams = append(w.Upstreams, n.list[i])
	}
	n.reach(func(l *Lender) []Answer {
		w.Until = n.clock.Now().Add(timeLimit)
		return l.Ask(w, n.clock.Now())
	})
	n.clock.AfterFunc(patience, func() {
		if n.waiting[w.Number] == q {
			delete(n.waiting, w.Number)
			n.reach(func(l *Lender) []Answer { l.Withdraw(w.Holder, w.Number); return nil })
		}
	})
}

// run sends the request to the upstream.
func (q *request) run(a Answer) {
	u, n := q.ups[a.Upstream], q.node
	done := false
	finish := func(use Use) {
		if done || q.gone {
			return
		}
		done = true
		if now := n.clock.Now(); now.Before(n.frozen) {
			n.clock.AfterFunc(n.frozen.Sub(now), func() { n.giveBack(a.Lease, use) })
			return
		}
		n.giveBack(a.Lease, use)
	}
	drop := n.random.Float64() >= n.keep
	abandoned := n.random.Float64() < n.abandon
	n.after(func() {
		cancel := u.arrive(func(status Use) {
			n.after(func() {
				if status == Ended && !done && !q.gone && n.counts() {
					n.served++
				}
				finish(status)
			})
		})
		if abandoned {
			n.clock.AfterFunc(work/2, func() {
				if !done {
					finish(Abandoned)
					if drop {
						cancel()
					}
					if n.counts() {
						n.sent--
					}
				}
			})
		}
	})
}

// giveBack returns a lease.
func (n *node) giveBack(id LeaseID, use Use) {
	delete(n.held, id)
	n.reach(func(l *Lender) []Answer { return l.Return(id, use, n.clock.Now()) })
}

// arrive handles a request and calls respond with its end. cancel drops it.
func (u *brittle) arrive(respond func(Use)) (cancel func()) {
	now := u.clock.Now()
	if now.Before(u.down) {
		respond(Unused)
		return func() {}
	}
	memory := u.slots
	if u.memory > 0 {
		memory = u.memory
	}
	if u.running+u.waiting >= memory+u.room {
		u.refuse(now)
		respond(Refused)
		return func() {}
	}
	life, ended := u.life, false
	var start func()
	end := func() {
		if life != u.life || ended {
			return
		}
		ended = true
		u.running--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			u.waiting--
			next()
		}
	}
	start = func() {
		u.running++
		u.clock.AfterFunc(work, func() {
			if life == u.life && !ended {
				end()
				respond(Ended)
			}
		})
	}
	u.most = max(u.most, u.running+u.waiting+1)
	if u.running >= memory {
		u.waiting++
		u.queue = append(u.queue, start)
		return func() {}
	}
	start()
	return end
}

// refuse counts a refusal and lets the upstream fall if there are too many.
func (u *brittle) refuse(now timer.Instant) {
	u.refused = append(u.refused, now)
	n := 0
	for _, at := range u.refused {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if n <= u.tolerated {
		return
	}
	if u.counts() {
		u.falls++
	}
	u.down, u.refused, u.running, u.waiting, u.queue = now.Add(fallDuration), nil, 0, 0, nil
	u.life++
}

// lead begins the time of a leader, to which the nodes report what they hold.
func (r *replay) lead() {
	r.leader++
	id := r.random
	r.lender = NewLender(Options{
		Upstream: func(Upstream) (Info, bool) { return Info{r.slots, r.tolerated}, true }, NewID: id.Uint64, OpenAt: r.clock.Now().Add(TakeoverDelay),
	})
	for _, n := range r.nodes {
		r.after(n.report)
	}
}

// report tells a new leader what the node holds, once it runs and reaches the leader.
func (n *node) report() {
	now := n.clock.Now()
	if blocked := max(n.frozen, n.cut); now.Before(blocked) {
		n.clock.AfterFunc(blocked.Sub(now), n.report)
		return
	}
	n.listening = n.leader
	var held []Held
	for _, h := range n.held {
		held = append(held, h)
	}
	n.reach(func(l *Lender) []Answer { l.Adopt(n.name, held, n.clock.Now()); return nil })
}

// kill ends the process and starts another one.
func (n *node) kill() {
	old := n.name
	n.reach(func(l *Lender) []Answer { l.Leave(old, true, n.clock.Now()); return nil })
	n.name.Epoch++
	for _, q := range n.waiting {
		q.gone = true
	}
	n.held, n.waiting = map[LeaseID]Held{}, map[uint64]*request{}
}

// disturb lets a part of the nodes have a fault, each at its own moment.
func (r *replay) disturb(part float64, fault func(n *node)) {
	for _, n := range r.nodes {
		if r.random.Float64() < part {
			r.clock.AfterFunc(contactTime+time.Duration(r.random.Int64N(int64(replayDuration/2))), func() { fault(n) })
		}
	}
}

// play plays the deployment.
func (r *replay) play(seed uint64) {
	r.clock, r.random, r.ups = timer.NewManual(), rand.New(rand.NewPCG(seed, 1)), map[Upstream]*brittle{}
	r.clock.Advance(time.Hour)
	for i := range r.upstreams {
		u := Upstream{ID: fmt.Sprint("u", i), Born: 1}
		r.ups[u], r.list = &brittle{replay: r}, append(r.list, u)
	}
	for i := range r.instances {
		r.nodes = append(r.nodes, &node{replay: r, name: Holder{Instance: fmt.Sprint("n", i)}, held: map[LeaseID]Held{}, waiting: map[uint64]*request{}})
	}
	r.lead()
	for i := range r.leaders {
		r.clock.AfterFunc(replayDuration*time.Duration(i+1)/time.Duration(r.leaders+1), r.lead)
	}
	r.disturb(r.freeze, func(n *node) { n.frozen = r.clock.Now().Add(2 * time.Second) })
	r.disturb(r.kill, (*node).kill)
	r.disturb(r.cut, func(n *node) { n.cut = r.clock.Now().Add(2 * time.Second) })
	places := r.slots
	if r.memory > 0 {
		places = r.memory
	}
	rate := r.load * float64(r.upstreams*places) / work.Seconds()
	interval := time.Duration(float64(r.instances) / rate * float64(time.Second))
	for i, n := range r.nodes {
		first := time.Duration(0)
		if !r.together {
			first = interval * time.Duration(i) / time.Duration(r.instances)
		}
		var next func()
		next = func() {
			r.clock.AfterFunc(interval, next)
			n.arrive()
		}
		r.clock.AfterFunc(first, next)
	}
	for range int(replayDuration / (100 * time.Millisecond)) {
		r.clock.Advance(100 * time.Millisecond)
		r.deliver(r.lender.Advance(r.clock.Now()))
	}
}

// fits returns how many of the requests in the time that counts could be served: each takes a slot for its work
// and for four ways between instance, leader and upstream, and a new leader begins after TakeoverDelay.
func (r *replay) fits() float64 {
	places := r.slots
	if r.memory > 0 {
		places = r.memory
	}
	open := replayDuration - contactTime - 2*timeLimit - time.Duration(r.leaders)*TakeoverDelay
	return min(float64(r.sent), float64(r.upstreams*places)*open.Seconds()/(work+4*r.delay).Seconds())
}

// Guards against instances that together have more requests at a brittle upstream than it has slots, and
// against slots that stay free while requests are refused, whatever happens to instances and leaders.
func TestReplay(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *replay)
		served float64 // part of what fits
		over   bool    // requests that nobody counts may be at the upstreams too
	}{
		{"4 instances", func(r *replay) { r.instances = 4 }, 0.95, false},
		{"12 instances", func(r *replay) { r.instances = 12 }, 0.95, false},
		{"69 instances", func(r *replay) { r.instances = 69 }, 0.95, false},
		{"69 instances, double", func(r *replay) { r.instances, r.load = 69, 2 }, 0.95, false},
		{"69 instances, double, nothing may wait", func(r *replay) { r.instances, r.load, r.room, r.tolerated = 69, 2, 0, 0 }, 0.95, false},
		{"69 instances, a tenth together", func(r *replay) { r.instances, r.load, r.together = 69, 0.1, true }, 0.95, false},
		{"69 instances, far away", func(r *replay) { r.instances, r.delay = 69, 20*time.Millisecond }, 0.9, false},
		{"69 instances, memory for half of the slots", func(r *replay) { r.instances, r.memory, r.load = 69, 3, 0.8 }, 0.7, false},
		{"69 instances, memory for half of the slots, nothing may wait", func(r *replay) { r.instances, r.memory, r.room, r.load = 69, 3, 0, 0.8 }, 0.7, false},
		{"5 instances, memory for a quarter of the slots", func(r *replay) { r.instances, r.slots, r.memory, r.room, r.tolerated, r.load = 5, 16, 4, 0, 5, 0.6 }, 0.7, false},
		{"69 instances, callers leave", func(r *replay) { r.instances, r.abandon, r.keep, r.load = 69, 0.3, 0.3, 0.7 }, 0.95, true},
		{"69 instances, some freeze", func(r *replay) { r.instances, r.freeze, r.load = 69, 0.5, 0.8 }, 0.95, false},
		{"69 instances, some are killed", func(r *replay) { r.instances, r.kill, r.load = 69, 0.5, 0.8 }, 0.95, true},
		{"69 instances, some are cut off", func(r *replay) { r.instances, r.cut, r.load = 69, 0.5, 0.8 }, 0.95, false},
		{"69 instances, other leaders", func(r *replay) { r.instances, r.leaders, r.load = 69, 3, 2 }, 0.9, false},
		{"69 instances, everything", func(r *replay) {
			r.instances, r.leaders, r.load, r.freeze, r.kill, r.cut, r.abandon, r.keep = 69, 2, 0.7, 0.3, 0.3, 0.3, 0.1, 0.3
		}, 0.8, true},
		{"200 instances", func(r *replay) { r.instances = 200 }, 0.95, false},
		{"200 instances, a tenth together", func(r *replay) { r.instances, r.load, r.together = 200, 0.1, true }, 0.95, false},
		{"840 instances", func(r *replay) { r.instances, r.load = 840, 0.8 }, 0.95, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(2) {
				r := &replay{upstreams: 6, slots: 6, room: 2, tolerated: 3, delay: 2 * time.Millisecond, load: 0.5}
				c.change(r)
				r.play(seed)
				t.Logf("%d falls, at most %d at once, served %d of %d, %.2f of what fits", r.falls, r.most, r.served, r.sent, float64(r.served)/r.fits())
				is.True(r.falls <= allowedFalls+r.upstreams/10)
				is.True(c.over || r.most <= r.slots)
				is.True(float64(r.served) >= c.served*r.fits())
			}
		})
	}
}
