package state

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// breakWindow is how long a broken connection may turn out to be a crash. It is
	// three default leases, so that the end of the registration falls into it.
	breakWindow = 15 * time.Second
	// trialLimit ends a trial whose end was never reported although its entry lives. It
	// is the longest time that an entry gives a request.
	trialLimit = 10 * time.Minute
	// crashLimit is the number of crashes after which no upstream gets a request.
	crashLimit = 2
)

// suspect makes one move for each named request.
func (c *Config) suspect(r *wire.SuspectRequest) *wire.SuspectReply {
	reply := &wire.SuspectReply{}
	for _, s := range r.Suspects {
		if s.GetFingerprint() == "" {
			return &wire.SuspectReply{Fault: fault(wire.Code_CODE_INVALID, "fingerprint is empty")}
		}
		p := c.suspects[s.Fingerprint]
		if r.Move == wire.Move_MOVE_LIFT && !p.GetQuarantined() {
			return &wire.SuspectReply{Fault: fault(wire.Code_CODE_MISSING, "request "+s.Fingerprint+" is not quarantined")}
		}
		standing := wire.Standing_STANDING_FREE
		switch r.Move {
		case wire.Move_MOVE_BREAK, wire.Move_MOVE_CRASH:
			standing = c.strike(s, r)
		case wire.Move_MOVE_TRIAL:
			if p != nil {
				standing = c.try(p, r)
				reply.Trial = p.Trial
			}
		case wire.Move_MOVE_END:
			overtaken(p, r)
			c.endTrial(p, r)
		case wire.Move_MOVE_CLEAR, wire.Move_MOVE_LIFT:
			c.clear(p, r)
		}
		reply.Standings = append(reply.Standings, standing)
	}
	reply.Revision = c.revision
	return reply
}

// strike records that the request was in flight when its connection to the
// upstream broke, and ends its trial there.
func (c *Config) strike(s *wire.Suspect, r *wire.SuspectRequest) wire.Standing {
	p := c.suspects[s.Fingerprint]
	if p == nil {
		p = &wire.Suspicion{Fingerprint: s.Fingerprint, Account: s.Account}
		c.suspects[s.Fingerprint] = p
	}
	confirmed := r.Move == wire.Move_MOVE_CRASH || c.ended(r.Upstream, r.Incarnation)
	i := slices.IndexFunc(p.Crashes, func(k *wire.Crash) bool {
		return k.Upstream == r.Upstream && k.Incarnation == r.Incarnation
	})
	if i < 0 {
		i = len(p.Crashes)
		p.Crashes = append(p.Crashes, &wire.Crash{Upstream: r.Upstream, Incarnation: r.Incarnation, Instant: c.instant})
	}
	p.Crashes[i].Confirmed = p.Crashes[i].Confirmed || confirmed
	if p.Trial != nil && p.Trial.Upstream == r.Upstream && p.Trial.Incarnation == r.Incarnation {
		p.Trial = nil
	}
	c.judge(p)
	if p.Quarantined {
		return wire.Standing_STANDING_QUARANTINED
	}
	return wire.Standing_STANDING_SUSPECTED
}

// ended tells whether the incarnation was replaced or unheard for its lease.
func (c *Config) ended(name string, incarnation uint64) bool {
	r := c.registry[name]
	return r != nil && (r.Upstream.Incarnation > incarnation || r.Upstream.Left && !r.Final)
}

// judge quarantines a request that ran at two crashes and tells the entries.
func (c *Config) judge(p *wire.Suspicion) {
	n := 0
	for _, k := range p.Crashes {
		if k.Confirmed {
			n++
		}
	}
	p.Quarantined = p.Quarantined || n >= crashLimit
	c.touch(p)
}

func (c *Config) touch(p *wire.Suspicion) {
	c.revision++
	p.Revision, p.Instant = c.revision, c.instant
	c.note(change{revision: c.revision, suspect: p.Fingerprint})
}

// try permits one run at a time, and on an upstream where no other suspect is
// tried, so that the next crash tells the suspects apart. A crash that is not
// confirmed yet counts: a third upstream is never put at risk.
func (c *Config) try(p *wire.Suspicion, r *wire.SuspectRequest) wire.Standing {
	switch {
	case p.Quarantined:
		return wire.Standing_STANDING_QUARANTINED
	case p.Trial != nil && mine(p.Trial, r) && p.Trial.Upstream == r.Upstream:
		return wire.Standing_STANDING_GRANTED
	case overtaken(p, r):
		return wire.Standing_STANDING_OCCUPIED
	case p.Trial != nil || len(p.Crashes) >= crashLimit:
		return wire.Standing_STANDING_WAIT
	}
	for _, o := range c.suspects {
		if o.Trial != nil && o.Trial.Upstream == r.Upstream || crashedAt(o, r) {
			return wire.Standing_STANDING_OCCUPIED
		}
	}
	p.Trial = &wire.Trial{Upstream: r.Upstream, Incarnation: r.Incarnation, Owner: r.Owner, Epoch: r.Epoch, Nonce: r.Nonce, Instant: c.instant}
	p.Instant = c.instant
	return wire.Standing_STANDING_GRANTED
}

// overtaken tells whether a request of the same process with this nonce or a later
// one was answered or ended before. It is a copy that a client sent twice or that its
// own end overtook: nobody would end a trial granted to it. The nonce is recorded.
func overtaken(p *wire.Suspicion, r *wire.SuspectRequest) bool {
	if p == nil {
		return false
	}
	i := slices.IndexFunc(p.Asked, func(a *wire.Asked) bool { return a.Owner == r.Owner })
	if i < 0 {
		i = len(p.Asked)
		p.Asked = append(p.Asked, &wire.Asked{Owner: r.Owner})
	}
	a := p.Asked[i]
	if a.Epoch == r.Epoch && r.Nonce <= a.Nonce {
		return true
	}
	a.Epoch, a.Nonce = r.Epoch, r.Nonce
	return false
}

// crashedAt tells whether the upstream of the request is known to be down. A trial
// there would show nothing and could count as a second crash.
func crashedAt(p *wire.Suspicion, r *wire.SuspectRequest) bool {
	return slices.ContainsFunc(p.Crashes, func(k *wire.Crash) bool {
		return k.Confirmed && k.Upstream == r.Upstream && k.Incarnation == r.Incarnation
	})
}

// mine tells whether the request names the run of the trial.
func mine(t *wire.Trial, r *wire.SuspectRequest) bool {
	return t.Owner == r.Owner && t.Epoch == r.Epoch && t.Nonce == r.Nonce
}

// endTrial ends a trial of the owner. The trial of an entry that is gone may
// have crashed its upstream, so that it counts as a broken connection.
func (c *Config) endTrial(p *wire.Suspicion, r *wire.SuspectRequest) {
	if p == nil || p.Trial == nil || !mine(p.Trial, r) {
		return
	}
	t := p.Trial
	p.Trial = nil
	if r.Upstream == "" {
		p.Crashes = append(p.Crashes, &wire.Crash{Upstream: t.Upstream, Incarnation: t.Incarnation, Instant: c.instant, Confirmed: c.ended(t.Upstream, t.Incarnation)})
		c.judge(p)
	}
}

// clear removes the record. An entry may clear a suspect only, an operator
// anything.
func (c *Config) clear(p *wire.Suspicion, r *wire.SuspectRequest) {
	if p == nil || p.Quarantined && r.Move != wire.Move_MOVE_LIFT {
		return
	}
	c.remove(p)
}

func (c *Config) remove(p *wire.Suspicion) {
	delete(c.suspects, p.Fingerprint)
	c.revision++
	c.note(change{revision: c.revision, suspect: p.Fingerprint})
}

// crashed confirms the broken connections to incarnations up to the given one.
// A trial that was running there ran at the crash, also if its entry is gone.
func (c *Config) crashed(name string, incarnation uint64) {
	for _, p := range c.sorted() {
		hit := false
		if t := p.Trial; t != nil && t.Upstream == name && t.Incarnation <= incarnation {
			p.Crashes = append(p.Crashes, &wire.Crash{Upstream: name, Incarnation: t.Incarnation, Confirmed: true, Instant: c.instant})
			p.Trial, hit = nil, true
		}
		for _, k := range p.Crashes {
			if k.Upstream == name && k.Incarnation <= incarnation && !k.Confirmed {
				k.Confirmed, hit = true, true
			}
		}
		if hit {
			c.judge(p)
		}
	}
}

// expireSuspicions drops broken connections that were no crash, and records past
// their retention.
func (c *Config) expireSuspicions() {
	for _, p := range c.sorted() {
		if p.Trial != nil && c.instant-p.Trial.Instant > trialLimit.Milliseconds() {
			p.Trial = nil
		}
		old := len(p.Crashes)
		p.Crashes = slices.DeleteFunc(p.Crashes, func(k *wire.Crash) bool {
			return !k.Confirmed && c.instant-k.Instant > breakWindow.Milliseconds()
		})
		switch {
		case len(p.Crashes) == 0 && p.Trial == nil, p.Instant < horizon(c.instant):
			c.remove(p)
		case len(p.Crashes) != old:
			c.touch(p)
		}
	}
}

// sorted lists the records in an order that is the same on all replicas.
func (c *Config) sorted() []*wire.Suspicion {
	if len(c.suspects) == 0 {
		return nil
	}
	out := make([]*wire.Suspicion, 0, len(c.suspects))
	for _, p := range c.suspects {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *wire.Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (c *Config) sortedSuspicions() []*wire.Suspicion {
	out := c.sorted()
	for i := range out {
		out[i] = proto.CloneOf(out[i])
	}
	return out
}

// suspicion returns a copy of the record, or one that tells its end.
func (c *Config) suspicion(fingerprint string) *wire.Suspicion {
	if p := c.suspects[fingerprint]; p != nil {
		return proto.CloneOf(p)
	}
	return &wire.Suspicion{Fingerprint: fingerprint, Removed: true}
}

// Suspicions lists the suspected and quarantined requests.
func (c *Config) Suspicions() []*wire.Suspicion {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.sortedSuspicions()
}
