package coordinator

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/registry"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// CommitLeaves commits those of the reported upstreams that drain or have left. An upstream
// gets the acknowledgement of its leave only after that: what the leader knows besides the
// log is lost with its process, possibly before any other instance has heard of it.
func (c *Coordinator) CommitLeaves(ctx context.Context, reported []*wire.Upstream) (err error) {
	if len(c.uncommittedLeaves(reported)) == 0 {
		return nil
	}
	defer func() { err = errors.Wrap(err, "commit leaves") }()
	// One proposal at a time: after a change of leader every instance reports all leaves that
	// it knows, and the first proposal serves all of them.
	select {
	case c.committingLeaves <- struct{}{}:
		defer func() { <-c.committingLeaves }()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	leaves := c.uncommittedLeaves(reported)
	if len(leaves) == 0 {
		return nil
	}
	conflict, err := c.options.Replica.Propose(ctx, &wire.Command{Body: &wire.Command_Leaves{Leaves: &wire.Leaves{Upstreams: leaves}}})
	if err == nil && conflict != "" {
		err = errors.Newf("not carried out: %s", conflict)
	}
	if err != nil {
		return err
	}
	for _, u := range leaves {
		c.options.Log.Info("leave of an upstream committed", zap.String("upstream", u.GetId()), zap.Int64("born", u.GetBorn()),
			zap.Uint64("sequence", u.GetSequence()), zap.Stringer("stage", u.GetStage()))
	}
	return nil
}

// uncommittedLeaves returns the records of those of the upstreams that drain or have left and
// are not committed as such.
func (c *Coordinator) uncommittedLeaves(reported []*wire.Upstream) (out []*wire.Upstream) {
	var committed map[string]*wire.Upstream
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reported {
		u := c.records[r.GetId()]
		if u == nil || !registry.Leaves(u) {
			continue
		}
		if committed == nil {
			committed = map[string]*wire.Upstream{}
			for _, l := range c.options.State.Leaves() {
				committed[l.GetId()] = l
			}
		}
		if !c.leaveCommitted(u, committed[u.GetId()]) {
			out = append(out, u)
		}
	}
	return out
}

// leaveCommitted reports whether the committed record of an upstream says the same about its
// leave as u. A draining upstream announces itself with rising sequence numbers; only the
// first of them counts. c.mu must be held.
func (c *Coordinator) leaveCommitted(u, committed *wire.Upstream) bool {
	switch {
	case committed == nil || committed.GetBorn() != u.GetBorn():
		return committed.GetBorn() > u.GetBorn()
	case committed.GetStage() == wire.Stage_STAGE_LEFT:
		return true
	case u.GetStage() == wire.Stage_STAGE_LEFT || (u.GetLeaving() && !committed.GetLeaving()):
		return false
	}
	return committed.GetSequence() >= c.upstreams[u.GetId()].drainingSince
}

// applyLeaves applies the committed leaves. c.mu must be held.
func (c *Coordinator) applyLeaves() {
	now := c.options.Timer.Now()
	for _, u := range c.options.State.Leaves() {
		if registry.Newer(u, c.records[u.GetId()]) {
			c.applyUpstream(u, now)
		}
	}
}
