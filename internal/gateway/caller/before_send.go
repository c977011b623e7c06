package caller

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
)

// errQuarantined means that the request or a part of its prompt is in quarantine.
var errQuarantined = errors.New("the request or a part of its prompt is in quarantine")

// errPermissionExpired means that the request may no longer be sent to an upstream.
var errPermissionExpired = errors.New("permission to send the request has expired")

// errPermitExpired means that the permit to send the request to an upstream with a limit has expired.
var errPermitExpired = errors.New("permit for an upstream with a limit has expired")

// errUpstreamLeft means that the upstream drains or has left since it was selected.
var errUpstreamLeft = errors.New("upstream takes no more requests")

// errEvacuated means that the zone of the upstream has been evacuated since it was selected.
var errEvacuated = errors.New("the availability zone of the upstream is evacuated")

// errUpstreamClosed means that the upstream wants no requests for a time that began after it was selected.
var errUpstreamClosed = errors.New("upstream wants no requests now")

// errNoPermit means that the upstream has stated a limit, or become cold, since it was selected.
var errNoPermit = errors.New("no permit for an upstream with a limit")

// errNoLease means that the upstream is brittle and the request has no valid lease of a slot.
var errNoLease = errors.New("no lease of a slot of a brittle upstream")

// errNotAdmitted lists the errors of beforeSend, which say nothing about the upstream.
var errNotAdmitted = []error{
	errTimeout, errStopping, errPermissionExpired, errQuarantined, errUpstreamLeft, errEvacuated, errUpstreamClosed, errNoPermit, errPermitExpired, errNoLease,
}

// beforeSend checks right before the first byte whatever may have changed since the request was
// admitted and its upstream selected, and tells the upstream the time that is left. The request may have
// waited for a connection, or the process may have been paused.
func (e *exchange) beforeSend() error {
	remaining := e.remaining()
	if remaining <= 0 {
		return errTimeout
	}
	e.request.sent.Store(true)
	e.memory.SetPhase(memory.Running)
	if e.finishing.Load() {
		return errStopping
	}
	if err := e.checkPermission(); err != nil {
		return err
	}
	if err := e.checkTarget(); err != nil {
		return err
	}
	e.upstreamHeader.Set(e.Protocol.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	return nil
}

// checkPermission checks that the request may run at all.
func (e *exchange) checkPermission() error {
	if !e.layoutAndKeyValid() || e.View.LayoutOutdated() {
		e.permissionExpired = true
		return errPermissionExpired
	}
	if e.isQuarantined() {
		e.quarantined = true
		return errQuarantined
	}
	return nil
}

// checkTarget checks whether the zone of the upstream is evacuated, and what the upstream has stated: that it
// leaves, wants no requests for some time or limits them.
func (e *exchange) checkTarget() error {
	if e.View.Evacuated(e.target.Zone) {
		e.placeAgain = true
		e.metrics.Evacuated.Add(1)
		return errEvacuated
	}
	if _, ok := e.View.UpstreamAddress(e.target.ID, e.target.Born); !ok {
		e.placeAgain = true
		return errUpstreamLeft
	}
	if e.Balancer.Closed(e.target.ID, e.target.Born) > 0 {
		e.placeAgain = true
		return errUpstreamClosed
	}
	cold := e.View.Cold(e.target.ID, e.target.Born)
	if cold && !e.permit.Cold() || !e.permit.Limited() && e.View.RateLimited(e.target.ID, e.target.Born) {
		e.placeAgain = true
		return errNoPermit
	}
	if !e.permit.Valid(e.Timer.Now()) {
		return errPermitExpired
	}
	if err := e.checkLease(); err != nil {
		return err
	}
	if cold {
		e.metrics.ColdRequests.Add(1)
	}
	return nil
}

// layoutAndKeyValid reports whether the current layout is confirmed and the key of the request is still valid
// in it, or the request still needs none.
func (q *request) layoutAndKeyValid() bool {
	current := q.View.Layout()
	if !q.View.LayoutConfirmed(current) {
		return false
	}
	if q.client == nil {
		return q.route.Public || !current.RequiresKey()
	}
	holder := current.Client(q.key)
	return holder != nil && holder.Name == q.client.Name
}
