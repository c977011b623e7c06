package caller

import (
	"slices"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
)

// maxPlaceWaits limits how often a request waits for a connection, 25 ms each: calls have objectives of 120 ms
// and more, and a late refusal costs callers more than an early one.
const maxPlaceWaits = 2

// connectable returns the candidates to which a connection is idle or may be opened, or all of them if
// there are none that are not excluded: the request then waits for a connection.
func (q *request) connectable(candidates []balancer.Candidate, excluded []string) []balancer.Candidate {
	q.alternatives = len(candidates)
	p := q.View.Layout().Pool(q.service)
	if p == nil || p.MaxConnections == 0 {
		return candidates
	}
	out := slices.DeleteFunc(slices.Clone(candidates), func(c balancer.Candidate) bool {
		return !q.Upstream.MayConnect(upstream.Target{ID: c.ID, Born: c.Born, Address: c.Address}, !q.route.Retryable())
	})
	if !slices.ContainsFunc(out, func(c balancer.Candidate) bool { return !slices.Contains(excluded, c.ID) }) {
		return candidates
	}
	return out
}

// lacksConnection reports whether nothing was sent since there was no connection to use. The request then goes
// to another upstream, or to the same one if it is the only one.
func (e *exchange) lacksConnection(err error) bool {
	switch {
	case errors.Is(err, upstream.ErrClosedUnused):
		e.metrics.Resets.Add(1)
	case errors.Is(err, upstream.ErrNoPlace):
		e.metrics.Unconnected.Add(1)
		e.placeWaits++
	default:
		return false
	}
	e.unconnected = true
	e.request.unconnected++
	e.placeAgain = e.alternatives == 1
	return true
}
