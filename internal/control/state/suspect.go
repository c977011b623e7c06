package state

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	// crashConfirmWindow is how long a broken connection can still be confirmed as a
	// crash. It is three times the default lease of an upstream, so that the registration
	// of a crashed upstream expires within it.
	crashConfirmWindow = 15 * time.Second
	// maxTrialDuration ends a trial whose end was never reported although its entry
	// instance is alive. It is the longest time limit that an entry instance sets for a request.
	maxTrialDuration = 10 * time.Minute
	// crashLimit is the number of crashes after which a request is quarantined: no
	// upstream gets it any more.
	crashLimit = 2
)

// updateSuspicions applies one move to each request that the command names. A request
// is identified by its fingerprint. One that was in flight when an upstream crashed is
// suspected; it may run on one other upstream as a trial and is quarantined if that
// one crashes too.
func (c *Config) updateSuspicions(r *wire.SuspectRequest) *wire.SuspectReply {
	reply := &wire.SuspectReply{}
	for _, s := range r.Suspects {
		if s.GetFingerprint() == "" {
			return &wire.SuspectReply{Fault: fault(wire.Code_CODE_INVALID, "fingerprint is empty")}
		}
		p := c.suspicions[s.Fingerprint]
		if r.Move == wire.Move_MOVE_LIFT && !p.GetQuarantined() {
			return &wire.SuspectReply{Fault: fault(wire.Code_CODE_MISSING, "request "+s.Fingerprint+" is not quarantined")}
		}
		standing := wire.Standing_STANDING_FREE
		switch r.Move {
		case wire.Move_MOVE_BREAK, wire.Move_MOVE_CRASH:
			standing = c.recordCrash(s, r)
		case wire.Move_MOVE_TRIAL:
			if p != nil {
				standing = c.requestTrial(p, r)
				reply.Trial = p.Trial
			}
		case wire.Move_MOVE_END:
			seenNonce(p, r)
			c.endTrial(p, r)
		case wire.Move_MOVE_CLEAR, wire.Move_MOVE_LIFT:
			c.clear(p, r)
		}
		reply.Standings = append(reply.Standings, standing)
	}
	reply.Revision = c.revision
	return reply
}

// recordCrash records that the request was in flight when the upstream crashed or the
// connection to it broke, and ends its trial there.
func (c *Config) recordCrash(s *wire.Suspect, r *wire.SuspectRequest) wire.Standing {
	p := c.suspicions[s.Fingerprint]
	if p == nil {
		p = &wire.Suspicion{Fingerprint: s.Fingerprint, Account: s.Account}
		c.suspicions[s.Fingerprint] = p
	}
	confirmed := r.Move == wire.Move_MOVE_CRASH || c.incarnationEnded(r.Upstream, r.Incarnation)
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
	c.updateQuarantine(p)
	if p.Quarantined {
		return wire.Standing_STANDING_QUARANTINED
	}
	return wire.Standing_STANDING_SUSPECTED
}

// incarnationEnded reports whether the incarnation was replaced or its lease expired.
func (c *Config) incarnationEnded(name string, incarnation uint64) bool {
	r := c.registry[name]
	return r != nil && (r.Upstream.Incarnation > incarnation || r.Upstream.Left && !r.Final)
}

// updateQuarantine quarantines a request with crashLimit confirmed crashes and
// publishes the changed record to the entry instances.
func (c *Config) updateQuarantine(p *wire.Suspicion) {
	n := 0
	for _, k := range p.Crashes {
		if k.Confirmed {
			n++
		}
	}
	p.Quarantined = p.Quarantined || n >= crashLimit
	c.bumpRevision(p)
}

// bumpRevision starts a new revision with the changed record, so that deltas include it.
func (c *Config) bumpRevision(p *wire.Suspicion) {
	c.revision++
	p.Revision, p.Instant = c.revision, c.instant
	c.recordChange(change{revision: c.revision, fingerprint: p.Fingerprint})
}

// requestTrial grants a trial if no other trial of the request is running and no other
// suspect is on trial at the upstream, so that the next crash identifies its cause.
// Crashes that are not confirmed yet count too, so that a third upstream is never put at risk.
func (c *Config) requestTrial(p *wire.Suspicion, r *wire.SuspectRequest) wire.Standing {
	switch {
	case p.Quarantined:
		return wire.Standing_STANDING_QUARANTINED
	case p.Trial != nil && matchesTrial(p.Trial, r) && p.Trial.Upstream == r.Upstream:
		return wire.Standing_STANDING_GRANTED
	case seenNonce(p, r):
		return wire.Standing_STANDING_OCCUPIED
	case p.Trial != nil || len(p.Crashes) >= crashLimit:
		return wire.Standing_STANDING_WAIT
	}
	for _, o := range c.suspicions {
		if o.Trial != nil && o.Trial.Upstream == r.Upstream || crashedOn(o, r) {
			return wire.Standing_STANDING_OCCUPIED
		}
	}
	p.Trial = &wire.Trial{Upstream: r.Upstream, Incarnation: r.Incarnation, Owner: r.Owner, Epoch: r.Epoch, Nonce: r.Nonce, Instant: c.instant}
	p.Instant = c.instant
	return wire.Standing_STANDING_GRANTED
}

// seenNonce reports whether a request of the same process with this nonce or a higher
// one was processed before, and records the nonce if not. A request for a trial with such
// a nonce is a duplicate, or it was delivered after the message that ends its trial. It
// must not be granted a trial, since nobody would end it.
func seenNonce(p *wire.Suspicion, r *wire.SuspectRequest) bool {
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

// crashedOn reports whether p has a confirmed crash of the upstream incarnation that
// the request names. The incarnation is down: a trial there would show nothing and
// could count as a second crash.
func crashedOn(p *wire.Suspicion, r *wire.SuspectRequest) bool {
	return slices.ContainsFunc(p.Crashes, func(k *wire.Crash) bool {
		return k.Confirmed && k.Upstream == r.Upstream && k.Incarnation == r.Incarnation
	})
}

// matchesTrial reports whether the request belongs to the run that the trial was granted to.
func matchesTrial(t *wire.Trial, r *wire.SuspectRequest) bool {
	return t.Owner == r.Owner && t.Epoch == r.Epoch && t.Nonce == r.Nonce
}

// endTrial ends the trial that the request belongs to. A request without an upstream
// was made by the leader for an entry instance that is gone: its trial may have crashed
// the upstream, so it counts as a broken connection.
func (c *Config) endTrial(p *wire.Suspicion, r *wire.SuspectRequest) {
	if p == nil || p.Trial == nil || !matchesTrial(p.Trial, r) {
		return
	}
	t := p.Trial
	p.Trial = nil
	if r.Upstream == "" {
		p.Crashes = append(p.Crashes, &wire.Crash{Upstream: t.Upstream, Incarnation: t.Incarnation, Instant: c.instant, Confirmed: c.incarnationEnded(t.Upstream, t.Incarnation)})
		c.updateQuarantine(p)
	}
}

// clear removes the record of a request. Entry instances may clear suspected
// requests only; operators may lift a quarantine too.
func (c *Config) clear(p *wire.Suspicion, r *wire.SuspectRequest) {
	if p == nil || p.Quarantined && r.Move != wire.Move_MOVE_LIFT {
		return
	}
	c.removeSuspicion(p)
}

func (c *Config) removeSuspicion(p *wire.Suspicion) {
	delete(c.suspicions, p.Fingerprint)
	c.revision++
	c.recordChange(change{revision: c.revision, fingerprint: p.Fingerprint})
}

// confirmCrashes marks the broken connections to incarnations up to the given one as
// crashes. A trial there was running at the time of the crash, even if its entry
// instance is gone.
func (c *Config) confirmCrashes(name string, incarnation uint64) {
	for _, p := range c.sortedSuspicions() {
		changed := false
		if t := p.Trial; t != nil && t.Upstream == name && t.Incarnation <= incarnation {
			p.Crashes = append(p.Crashes, &wire.Crash{Upstream: name, Incarnation: t.Incarnation, Confirmed: true, Instant: c.instant})
			p.Trial, changed = nil, true
		}
		for _, k := range p.Crashes {
			if k.Upstream == name && k.Incarnation <= incarnation && !k.Confirmed {
				k.Confirmed, changed = true, true
			}
		}
		if changed {
			c.updateQuarantine(p)
		}
	}
}

// expireSuspicions ends overdue trials and removes broken connections that were not
// confirmed as crashes in time, empty records, and records past their retention.
func (c *Config) expireSuspicions() {
	for _, p := range c.sortedSuspicions() {
		if p.Trial != nil && c.instant-p.Trial.Instant > maxTrialDuration.Milliseconds() {
			p.Trial = nil
		}
		before := len(p.Crashes)
		p.Crashes = slices.DeleteFunc(p.Crashes, func(k *wire.Crash) bool {
			return !k.Confirmed && c.instant-k.Instant > crashConfirmWindow.Milliseconds()
		})
		switch {
		case len(p.Crashes) == 0 && p.Trial == nil, p.Instant < retentionCutoff(c.instant):
			c.removeSuspicion(p)
		case len(p.Crashes) != before:
			c.bumpRevision(p)
		}
	}
}

// sortedSuspicions lists the records by fingerprint, so that all replicas process them
// in the same order.
func (c *Config) sortedSuspicions() []*wire.Suspicion {
	if len(c.suspicions) == 0 {
		return nil
	}
	out := make([]*wire.Suspicion, 0, len(c.suspicions))
	for _, p := range c.suspicions {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *wire.Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (c *Config) cloneSuspicions() []*wire.Suspicion {
	out := c.sortedSuspicions()
	for i := range out {
		out[i] = proto.CloneOf(out[i])
	}
	return out
}

// suspicion returns a copy of the record, or a record marked as removed if there is none.
func (c *Config) suspicion(fingerprint string) *wire.Suspicion {
	if p := c.suspicions[fingerprint]; p != nil {
		return proto.CloneOf(p)
	}
	return &wire.Suspicion{Fingerprint: fingerprint, Removed: true}
}

// Suspicions returns the suspected and quarantined requests.
func (c *Config) Suspicions() []*wire.Suspicion {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.cloneSuspicions()
}
