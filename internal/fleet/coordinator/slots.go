package coordinator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// SlotSession is the exchange of wants for leases with one process of an instance.
type SlotSession struct {
	coordinator *Coordinator
	holder      slot.Holder
	period      uint64 // of leadership

	// The rest is guarded by the mutex of the coordinator.
	answers []*wire.SlotAnswer
	due     bool // a reply is due, even without answers
	closed  bool
	ready   chan struct{} // has a value if TakeReply returns something
}

// OpenSlots begins a session with the first message of an instance. ok is false if this instance does
// not lead.
func (c *Coordinator) OpenSlots(q *wire.SlotRequest) (s *SlotSession, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checkLeadership() {
		return nil, false
	}
	now := c.options.Timer.Now()
	s = &SlotSession{
		coordinator: c, holder: slot.Holder{Instance: q.GetInstance(), Epoch: q.GetEpoch()}, period: c.period, ready: make(chan struct{}, 1),
	}
	if old := c.sessions[q.GetInstance()]; old != nil {
		old.end()
		c.slots.Leave(old.holder, old.holder != s.holder, now)
	}
	c.sessions[q.GetInstance()] = s
	var held []slot.Held
	for _, o := range q.GetHeld() {
		held = append(held, slot.Held{ID: slot.LeaseID(o.GetId()), Upstream: slotUpstream(o.GetUpstream()), Until: until(o.GetRemaining(), now)})
	}
	c.slots.Adopt(s.holder, held, now)
	if len(held) > 0 {
		c.options.Log.Info("slots in use reported", zap.String("instance", q.GetInstance()), zap.Int("count", len(held)))
	}
	c.applySlots(s, q, now)
	return s, true
}

// until returns the end of a time in milliseconds that begins now.
func until(remaining uint32, now timer.Instant) timer.Instant {
	return now.Add(time.Duration(remaining) * time.Millisecond)
}

// slotUpstream returns an upstream from its message.
func slotUpstream(u *wire.SlotUpstream) slot.Upstream {
	return slot.Upstream{ID: u.GetId(), Born: u.GetBorn()}
}

// Apply applies a message. ok is false if the session has ended or this instance does not lead any more.
func (s *SlotSession) Apply(q *wire.SlotRequest) (ok bool) {
	c := s.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.closed || !c.checkLeadership() || c.period != s.period {
		return false
	}
	c.applySlots(s, q, c.options.Timer.Now())
	return true
}

// applySlots applies returned leases and wants. c.mu must be held.
func (c *Coordinator) applySlots(s *SlotSession, q *wire.SlotRequest, now timer.Instant) {
	for _, o := range q.GetReturns() {
		if o.GetUse() == wire.SlotUse_SLOT_USE_REFUSED {
			u, leased := c.slots.Upstream(slot.LeaseID(o.GetLease()))
			c.options.Log.Info("upstream refused a request with a slot", zap.String("upstream", u.ID), zap.Int("leased", leased), zap.String("instance", s.holder.Instance))
		}
		c.answerWants(c.slots.Return(slot.LeaseID(o.GetLease()), slot.Use(o.GetUse()), now))
	}
	for _, n := range q.GetWithdrawn() {
		c.slots.Withdraw(s.holder, n)
	}
	for _, o := range q.GetWants() {
		w := &slot.Want{
			Holder: s.holder, Number: o.GetNumber(), Until: until(o.GetRemaining(), now),
			Patience: min(time.Duration(o.GetPatience())*time.Millisecond, slot.MaxPatience),
		}
		for _, u := range o.GetUpstreams() {
			w.Upstreams = append(w.Upstreams, slotUpstream(u))
		}
		if len(w.Upstreams) > 0 {
			c.answerWants(c.slots.Ask(w, now))
		}
	}
	if len(q.GetWants()) > 0 {
		s.due = true
		s.signal()
	}
}

// answerWants queues answers for their instances. c.mu must be held.
func (c *Coordinator) answerWants(answers []slot.Answer) {
	for len(answers) > 0 {
		a := answers[0]
		answers = answers[1:]
		s := c.sessions[a.Want.Holder.Instance]
		if s == nil || s.holder != a.Want.Holder {
			answers = append(answers, c.slots.Return(a.Lease, slot.Unused, c.options.Timer.Now())...)
			continue
		}
		m := &wire.SlotAnswer{Number: a.Want.Number, Wait: uint32(a.Wait.Milliseconds())}
		if a.Lease != 0 {
			m.Lease = &wire.SlotLease{Id: uint64(a.Lease), Upstream: &wire.SlotUpstream{Id: a.Upstream.ID, Born: a.Upstream.Born}}
		}
		s.answers = append(s.answers, m)
		s.signal()
	}
}

// signal makes Ready deliver a value unless one is already waiting there.
func (s *SlotSession) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// end ends the session. The mutex of the coordinator must be held.
func (s *SlotSession) end() {
	s.closed = true
	s.signal()
}

// Ready returns a channel that receives a value when TakeReply has something to send, or when the session has
// ended.
func (s *SlotSession) Ready() <-chan struct{} { return s.ready }

// TakeReply returns the next reply, nil if there is none, and whether the session goes on.
func (s *SlotSession) TakeReply() (r *wire.SlotReply, open bool) {
	c := s.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.closed {
		return nil, false
	}
	if !s.due && len(s.answers) == 0 {
		return nil, true
	}
	r = &wire.SlotReply{Guide: &wire.Guide{Served: true}, Answers: s.answers}
	s.answers, s.due = nil, false
	return r, true
}

// Close ends the session because its connection has ended.
func (s *SlotSession) Close() {
	c := s.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.closed {
		return
	}
	s.end()
	if c.sessions[s.holder.Instance] == s {
		delete(c.sessions, s.holder.Instance)
		c.slots.Leave(s.holder, true, c.options.Timer.Now())
	}
}

// resetSlots begins a period without leases. c.mu must be held.
func (c *Coordinator) resetSlots() {
	for _, s := range c.sessions {
		s.end()
	}
	c.sessions = map[string]*SlotSession{}
	c.slots = slot.NewLender(slot.Options{
		Upstream: c.slotInfo, NewID: c.options.Random, OpenAt: c.options.Timer.Now().Add(slot.TakeoverDelay),
	})
}

// slotInfo returns what an upstream states. The slots that are the fixed shares of instances that lease none
// may not be leased. c.mu must be held.
func (c *Coordinator) slotInfo(u slot.Upstream) (info slot.Info, ok bool) {
	r := c.records[u.ID]
	if r == nil || r.GetBorn() != u.Born || r.GetStage() == wire.Stage_STAGE_LEFT {
		return info, false
	}
	slots := max(int(r.GetSlots()), 1)
	info.Slots = slots - c.fixedShares(u.ID, slots)
	if o := c.conditions[u.ID]; o != nil {
		info.Tolerated = int(o.record.GetTolerated())
	}
	return info, true
}

// fixedShares returns how many slots of an upstream the instances use that do not lease them. c.mu must be held.
func (c *Coordinator) fixedShares(upstream string, slots int) (sum int) {
	fixed := false
	for _, i := range c.instances {
		fixed = fixed || !i.record.GetGone() && !i.record.GetLeasesSlots()
	}
	if !fixed {
		return 0
	}
	var names []string
	for name, i := range c.instances {
		if !i.record.GetGone() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for index, name := range names {
		if !c.instances[name].record.GetLeasesSlots() {
			sum += slot.Share(upstream, slots, index, len(names))
		}
	}
	return sum
}
