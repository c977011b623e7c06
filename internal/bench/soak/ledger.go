package soak

import (
	"fmt"
	"sync"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// kind is the kind of a request.
type kind string

const (
	once   kind = "once"
	read   kind = "read"
	stream kind = "stream"
	added  kind = "added"
)

// entry is what is known of one request.
type entry struct {
	kind    kind
	runs    int
	refused bool // the caller was told that it did not and will not run
	revoked bool // its key was withdrawn too long ago
}

// mostBreaks bounds how many broken promises are listed.
const mostBreaks = 20

// ledger keeps what callers and upstreams saw, and which promises were broken.
type ledger struct {
	timer timer.Service
	start timer.Instant

	mu       sync.Mutex
	requests map[string]*entry
	breaks   []string
	counts   map[string]int
	planned  span // planned work that moves bounds, such as the end of an instance
	faults   span
}

// span is when something last went on.
type span struct {
	open int // how many go on
	end  timer.Instant
}

func (s *span) quiet(since timer.Instant) bool { return s.open == 0 && s.end.Add(contact) <= since }

func newLedger(t timer.Service) *ledger {
	return &ledger{timer: t, start: t.Now(), requests: map[string]*entry{}, counts: map[string]int{}, faults: span{end: t.Now()}}
}

// broken notes a broken promise.
func (l *ledger) broken(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brokenLocked(format, args...)
}

func (l *ledger) brokenLocked(format string, args ...any) {
	l.counts["broken"]++
	if len(l.breaks) < mostBreaks {
		l.breaks = append(l.breaks, fmt.Sprintf("%.2f s: ", l.timer.Now().Sub(l.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// count counts an event for the report.
func (l *ledger) count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// sent notes a request before its first byte.
func (l *ledger) sent(id string, k kind, revoked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &entry{kind: k, revoked: revoked}
	l.counts["sent"]++
}

// ran notes that an upstream began to work on a request.
func (l *ledger) ran(id, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	if e == nil {
		l.brokenLocked("%s runs request %s that nobody sent", upstream, id)
		return
	}
	e.runs++
	switch {
	case e.revoked:
		l.brokenLocked("%s runs request %s with a withdrawn key", upstream, id)
	case e.kind == once && e.runs > 1:
		l.brokenLocked("%s runs request %s, which may run once, as run %d", upstream, id, e.runs)
	case e.kind == once && e.refused:
		l.brokenLocked("%s runs request %s after its caller was told that it will not run", upstream, id)
	}
}

// refusedRequest notes an answer that promises that the request does not run.
func (l *ledger) refusedRequest(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	e.refused = true
	l.counts["refused"]++
	if e.kind == once && e.runs > 0 {
		l.brokenLocked("request %s is answered %d and has run", id, status)
	}
}

// begin notes a fault, or planned work that moves bounds; these may overlap. The
// returned function notes its end.
func (l *ledger) begin(planned bool) (end func()) {
	s := &l.faults
	if planned {
		s = &l.planned
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.open++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.open--
		s.end = l.timer.Now()
	}
}

// calmSince tells whether nothing went on from before an instant until now.
func (l *ledger) calmSince(i timer.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.quiet(i) && l.planned.quiet(i)
}

// lost notes a request whose connection ended without a complete answer. Planned work
// is no reason for that once an upstream has begun to work on it.
func (l *ledger) lost(id, node string, begun timer.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["no answer"]++
	if l.requests[id].runs > 0 && l.faults.quiet(begun) {
		l.brokenLocked("%s ends the connection of request %s, which has run, without a complete answer", node, id)
	}
}
