package soak

import (
	"fmt"
	"sync"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// requestKind is the kind of a request, by the route that it uses.
type requestKind string

const (
	kindOnce   requestKind = "once"   // must run at most once
	kindRead   requestKind = "read"   // may be retried
	kindStream requestKind = "stream" // has a streamed response
	kindAdded  requestKind = "added"  // uses the route that the current document added
)

// requestState holds what callers and upstreams observed of one request.
type requestState struct {
	kind    requestKind
	runs    int  // how often an upstream began to process it
	refused bool // the caller got a response that says that it was not and will not be run
	revoked bool // its API key must no longer work
}

// maxListedViolations limits the violations listed in the report; all of them are counted.
const maxListedViolations = 20

// recorder records what callers and upstreams observe, and the violations found by the checks.
type recorder struct {
	timer timer.Service
	start timer.Instant

	mu         sync.Mutex
	requests   map[string]*requestState
	violations []string
	counts     map[string]int
	planned    disturbance // planned work that affects time limits, such as the shutdown of an instance
	faults     disturbance // faults, during which time limits that hold without faults are not checked
	partitions disturbance // partitions of instances from upstreams, which may interrupt responses
}

// disturbance tells whether faults, or planned work, are in progress, and when the last ended.
type disturbance struct {
	active  int // number in progress
	lastEnd timer.Instant
}

// overSince reports whether none is in progress and the last ended at least reconnectTime before an instant.
func (s *disturbance) overSince(since timer.Instant) bool {
	return s.active == 0 && s.lastEnd.Add(reconnectTime) <= since
}

func newRecorder(t timer.Service) *recorder {
	return &recorder{timer: t, start: t.Now(), requests: map[string]*requestState{}, counts: map[string]int{}, faults: disturbance{lastEnd: t.Now()}}
}

// violation records a failed check.
func (r *recorder) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violationLocked(format, args...)
}

// violationLocked is like violation, for callers that hold the mutex.
func (r *recorder) violationLocked(format string, args ...any) {
	r.counts["broken"]++
	if len(r.violations) < maxListedViolations {
		r.violations = append(r.violations, fmt.Sprintf("%.2f s: ", r.timer.Now().Sub(r.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// count counts an event for the report.
func (r *recorder) count(name string) { r.countMany(name, 1) }

// countMany counts several events.
func (r *recorder) countMany(name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name] += n
}

// recordSent records a request before its first byte is sent.
func (r *recorder) recordSent(id string, k requestKind, revoked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = &requestState{kind: k, revoked: revoked}
	r.counts["sent"]++
}

// recordRun records that an upstream has begun to process a request, and checks that it may.
func (r *recorder) recordRun(id, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.requests[id]
	if e == nil {
		r.violationLocked("%s runs request %s that nobody sent", upstream, id)
		return
	}
	e.runs++
	switch {
	case e.revoked:
		r.violationLocked("%s runs request %s with a withdrawn key", upstream, id)
	case e.kind == kindOnce && e.runs > 1:
		r.violationLocked("%s runs request %s, which may run once, as run %d", upstream, id, e.runs)
	case e.kind == kindOnce && e.refused:
		r.violationLocked("%s runs request %s after its caller was told that it will not run", upstream, id)
	}
}

// recordRefusal records a response that says that the request was not run, and checks that.
func (r *recorder) recordRefusal(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.requests[id]
	e.refused = true
	r.counts["refused"]++
	if e.kind == kindOnce && e.runs > 0 {
		r.violationLocked("request %s is answered %d and has run", id, status)
	}
}

// beginDisturbance records the start of a fault or of planned work. The returned function
// records the end. Disturbances may overlap.
func (r *recorder) beginDisturbance(planned bool) (end func()) {
	if planned {
		return r.begin(&r.planned)
	}
	return r.begin(&r.faults)
}

// beginPartition records the start of a partition of instances from upstreams. The returned
// function records the end. Such instances keep the time limits that hold without faults.
func (r *recorder) beginPartition() (end func()) { return r.begin(&r.partitions) }

// begin records the start of a disturbance.
func (r *recorder) begin(s *disturbance) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.active++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.active--
		s.lastEnd = r.timer.Now()
	}
}

// undisturbedSince reports whether there has been no fault and no planned work since reconnectTime
// before an instant.
func (r *recorder) undisturbedSince(i timer.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults.overSince(i) && r.planned.overSince(i)
}

// recordLost records a request whose connection ended without a complete response. That is a
// violation if an upstream has begun to process the request and there was no fault and no
// partition: planned work must not interrupt requests in progress.
func (r *recorder) recordLost(id, instanceName string, begin timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["no answer"]++
	if r.requests[id].runs > 0 && r.faults.overSince(begin) && r.partitions.overSince(begin) {
		r.violationLocked("%s ends the connection of request %s, which has run, without a complete answer", instanceName, id)
	}
}
