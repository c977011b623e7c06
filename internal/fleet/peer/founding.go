package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// firstSeedTime is how long the first seed is waited for before the others are asked without it. Until then
	// it alone decides between instances that start at about the same time.
	firstSeedTime = 2 * time.Second
	// minSeeds is the number of seeds from which on a majority of them permits the bootstrap. Of fewer, the first one
	// does.
	minSeeds = 3
)

// permission is what a seed has granted. A seed has one life in which it may grant: a process that starts again
// knows that the group may exist. So each seed permits at most one instance at a time, and two instances never
// have a majority of the seeds.
type permission struct {
	identity string
	round    uint64
}

// decide answers a request. A request may be delayed past later ones of the same instance: it must neither take a
// permission back that was granted again in a later round, nor make it look like one of an earlier round.
func (p *permission) decide(q *wire.FoundRequest) *wire.FoundReply {
	own := p.identity == q.GetIdentity()
	switch {
	case q.GetRelease():
		if own && p.round == q.GetRound() {
			*p = permission{}
		}
		return &wire.FoundReply{Counted: true}
	case own || p.identity == "":
		p.identity, p.round = q.GetIdentity(), max(p.round, q.GetRound())
		return &wire.FoundReply{Granted: true, Counted: true}
	}
	return &wire.FoundReply{Taken: true, Counted: true}
}

// Founding asks the seeds whether an instance may bootstrap the control group.
type Founding struct {
	seeds []Address
	call  func(ctx context.Context, seed Address, q *wire.FoundRequest) (*wire.FoundReply, error)
	timer timer.Service
	log   *zap.Logger
	since timer.Instant // when the first seed was asked first
	round uint64
}

// NewFounding returns a Founding for these seeds, in the order of the settings.
func (c *Client) NewFounding(seeds []Address) *Founding {
	return &Founding{seeds: seeds, timer: c.options.Timer, log: c.options.Log, call: func(ctx context.Context, seed Address, q *wire.FoundRequest) (*wire.FoundReply, error) {
		return call(ctx, c.connections, seed, classRequest, requestTimeout, func(ctx context.Context, l wire.DRPCFleetClient) (*wire.FoundReply, error) {
			return l.Found(ctx, q)
		})
	}}
}

// Request asks the seeds in their order and reports whether a majority permits the bootstrap. Permissions are
// given back if it does not, so that another instance can get them. It must not be called again after it has
// returned true. Calls must not overlap.
func (f *Founding) Request(ctx context.Context, identity string) bool {
	f.round++
	if f.round == 1 {
		f.since = f.timer.Now()
	}
	needed := 1
	if len(f.seeds) >= minSeeds {
		needed = len(f.seeds)/2 + 1
	}
	granted := 0
	for i, seed := range f.seeds {
		r, err := f.call(ctx, seed, &wire.FoundRequest{Identity: identity, Round: f.round})
		if err != nil {
			f.log.Debug("could not request bootstrap from seed", zap.String("seed", string(seed)), journal.Error(err))
		}
		switch {
		case r.GetGranted() && !r.GetCounted() && i == 0:
			return true // the first seed runs a program before, whose permission is enough
		case r.GetGranted():
			if granted++; granted == needed {
				return true
			}
			continue
		case i == 0 && (needed == 1 || err != nil && f.timer.Now().Sub(f.since) < firstSeedTime),
			err == nil && (r.GetTaken() || !r.GetCounted()):
			f.release(ctx, identity, f.seeds[:i+1])
			return false
		}
	}
	f.release(ctx, identity, f.seeds)
	return false
}

// release gives the permissions of this round back. A seed that did not answer may have granted one.
func (f *Founding) release(ctx context.Context, identity string, seeds []Address) {
	for _, seed := range seeds {
		if _, err := f.call(ctx, seed, &wire.FoundRequest{Identity: identity, Round: f.round, Release: true}); err != nil {
			f.log.Debug("could not give the permission of a seed back", zap.String("seed", string(seed)), journal.Error(err))
		}
	}
}
