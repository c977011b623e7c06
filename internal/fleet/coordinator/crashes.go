package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/suspect"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// recordParts records what a report says of parts of prompts. c.mu must be held.
func (c *Coordinator) recordParts(q *wire.TellRequest, now timer.Instant) {
	for _, k := range q.GetCrashes() {
		parts := make([]suspect.Part, 0, len(k.GetParts()))
		for _, p := range k.GetParts() {
			parts = append(parts, suspect.Part(p))
		}
		c.parts.RecordCrash(suspect.Crash{
			Incarnation: suspect.Incarnation{Upstream: k.GetUpstream(), Born: k.GetBorn()},
			Service:     layout.Service(k.GetService()), Fingerprint: k.GetFingerprint(), Parts: parts,
			Age: time.Duration(k.GetAgeMs()) * time.Millisecond,
		}, now)
	}
	for _, o := range q.GetOutcomes() {
		c.parts.RecordResponses(layout.Service(o.GetService()), int(o.GetGood()))
	}
	for _, p := range q.GetSurvived() {
		c.parts.RecordSurvival(suspect.Part(p), now)
	}
}

// quarantinePart commits the quarantine of a part of prompts if there is a verdict.
func (c *Coordinator) quarantinePart(ctx context.Context) {
	c.mu.Lock()
	var v suspect.Verdict
	ok := c.checkLeadership()
	if ok {
		v, ok = c.parts.Decide(c.options.Timer.Now())
	}
	c.mu.Unlock()
	if !ok {
		return
	}
	_, err := c.options.Replica.Propose(ctx, &wire.Command{Body: &wire.Command_QuarantinePart{QuarantinePart: string(v.Part)}})
	c.options.Log.Warn("prompt part quarantined", zap.String("part", string(v.Part)), zap.Int("crashes", v.Crashes), zap.Int("requests", v.Requests),
		zap.Float64("expected", v.ExpectedResponses), journal.Error(err))
	if err == nil {
		c.mu.Lock()
		c.parts.Quarantined(v.Part)
		c.mu.Unlock()
	}
}

// quarantineRequests commits the quarantine of requests that crashed enough upstreams, where
// that failed when the last crash was reported.
func (c *Coordinator) quarantineRequests(ctx context.Context) {
	c.mu.Lock()
	var due []uint64
	if c.checkLeadership() {
		for f, crashed := range c.crashes {
			if len(crashed) >= quarantineThreshold && !c.options.State.RequestQuarantined(f) {
				due = append(due, f)
			}
		}
	}
	c.mu.Unlock()
	c.quarantine(ctx, due)
}

// quarantine commits the quarantine of requests.
func (c *Coordinator) quarantine(ctx context.Context, fingerprints []uint64) {
	for _, f := range fingerprints {
		_, err := c.options.Replica.Propose(ctx, &wire.Command{Body: &wire.Command_Quarantine{Quarantine: f}})
		c.options.Log.Warn("request quarantined", zap.Uint64("fingerprint", f), journal.Error(err))
	}
}

// asStrings returns parts as they are sent.
func asStrings(parts []suspect.Part) []string {
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, string(p))
	}
	return out
}

// recordCrashes counts crashes and returns the fingerprints of requests that just reached
// the quarantine threshold. c.mu must be held.
func (c *Coordinator) recordCrashes(crashes []*wire.Crash, now timer.Instant) (fingerprints []uint64) {
	for _, k := range crashes {
		crashed := c.crashes[k.GetFingerprint()]
		if crashed == nil {
			crashed = map[string]timer.Instant{}
			c.crashes[k.GetFingerprint()] = crashed
		}
		before := len(crashed)
		crashed[k.GetUpstream()] = now
		if before < quarantineThreshold && len(crashed) >= quarantineThreshold {
			fingerprints = append(fingerprints, k.GetFingerprint())
		}
	}
	return fingerprints
}
