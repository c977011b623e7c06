// Package entry registers the entry role: an instance with this role serves callers,
// upstreams and operators while it holds a configuration lease.
package entry

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/config/settings"
	"wisteriakeel.example/wisteriakeel/internal/entry/caller"
	"wisteriakeel.example/wisteriakeel/internal/entry/rating"
	"wisteriakeel.example/wisteriakeel/internal/entry/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/random"
	"wisteriakeel.example/wisteriakeel/internal/kernel/role"
	"wisteriakeel.example/wisteriakeel/internal/role/control"
)

func init() {
	role.Registry.Register(string(settings.RoleEntry), setUp)
}

// setUp is the role.SetupFunc of the entry role.
func setUp(_ context.Context, e role.Env) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "entry role")
		}
	}()
	epoch := rand.Uint64()
	c, err := control.NewClient(e, epoch)
	if err != nil {
		return err
	}
	o := callerOptions(e, epoch)
	o.Control = c
	h, err := caller.New(o)
	if err != nil {
		return err
	}
	h.Register(e.Mux)
	u := upstream.NewHandler(c, e.Credentials)
	u.OnLoad = h.ReportLoad
	u.Register(e.Mux)
	control.ServeOperators(e, c)
	e.OnDrain(h.Drain)
	e.Group.Go("lease", c.Run)
	return nil
}

// callerOptions converts the settings to the options of the handler for callers.
func callerOptions(e role.Env, epoch uint64) caller.Options {
	s := e.Settings
	limits := upstream.DefaultLimits()
	limits.EventGapTimeout = s.Timeouts.EventGap.Duration()
	limits.MaxRequestTimeout = s.Timeouts.MaxRequest.Duration()
	limits.MaxBodyBytes = int64(s.Limits.MaxBodyBytes)
	o := caller.Options{
		Credentials: e.Credentials, Timer: e.Timer, Random: random.New(), Log: e.Log.Named("caller"),
		Self: control.DescribeInstance(s), Epoch: epoch, UpstreamLimits: limits,
		MaxQueuedPerAccount: int(s.Limits.MaxQueuedPerAccount), MaxQueuedTotal: int(s.Limits.MaxQueuedTotal), MaxBodyBytes: int64(s.Limits.MaxBodyBytes),
		MaxConcurrentRequests: int(s.Limits.MaxConcurrentRequests), MaxOpenRequests: int(s.Limits.MaxOpenRequests),
		DefaultTimeout: s.Timeouts.MaxRequest.Duration(), MaxRequestTimeout: s.Timeouts.MaxRequest.Duration(),
		EntryListLifetime: s.Timeouts.EntryListLifetime.Duration(),
	}
	if s.RatingURL != "" {
		o.Rater = rating.New(s.RatingURL)
	}
	return o
}
