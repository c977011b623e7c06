// Package leave proves that an upstream that leaves gets no new work (G8) and that
// a graceful shutdown of an entry interrupts no request (G9).
package leave

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/proof/report"
	"wisteriakeel.example/wisteriakeel/internal/proof/system"
)

// bound is the time after which a leaving upstream gets no new work.
const bound = 3 * time.Second

// leaver is an upstream of the plain service whose announcements the proof sends.
type leaver struct {
	*system.System
	is      *is.I
	address string
	runs    atomic.Int64
}

func begin(t *testing.T, seed uint64) *leaver {
	l := &leaver{is: is.New(t)}
	s := httptest.NewServer(l)
	t.Cleanup(s.Close)
	l.address = strings.TrimPrefix(s.URL, "http://")
	l.System = system.Start(t, system.Options{Seed: seed, Entries: 3})
	return l
}

// ServeHTTP answers a lookup.
func (l *leaver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.runs.Add(1)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", "2")
	_, _ = w.Write([]byte("{}"))
}

// tell sends an announcement or a leave and returns the status.
func (l *leaver) tell(e *system.Entry, path string, incarnation, sequence int) int {
	return l.Send(e, system.Request{
		Path: "/v1/upstreams/" + path, Token: system.UpstreamToken,
		Body: fmt.Sprintf(`{"name":"leaver","incarnation":%d,"sequence":%d,"address":%q,"service":"crewdesk","zone":"concord","lease":60000}`,
			incarnation, sequence, l.address),
	}).Status
}

// depart is a leave that is told; the body of a leave has fewer fields.
func (l *leaver) depart(e *system.Entry, incarnation, sequence int) int {
	return l.Send(e, system.Request{
		Path: "/v1/upstreams/leave", Token: system.UpstreamToken,
		Body: fmt.Sprintf(`{"name":"leaver","incarnation":%d,"sequence":%d}`, incarnation, sequence),
	}).Status
}

// work sends lookups through all entries that live until the function returned is called.
func (l *leaver) work() (stop func()) {
	var ended atomic.Bool
	var w sync.WaitGroup
	for i, e := range l.Entries {
		w.Go(func() {
			for j := 0; !ended.Load() && !e.Killed(); j++ {
				l.Send(e, system.Request{Method: http.MethodGet, Path: fmt.Sprintf("/v1/services/crewdesk/lookups/%d-%d", i, j)})
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() {
		ended.Store(true)
		w.Wait()
	}
}

// joined waits until the upstream has got work.
func (l *leaver) joined() {
	n := l.runs.Load()
	l.WaitFor("work of the joined upstream", func() bool { return l.runs.Load() > n+5 })
}

var departures = []struct {
	fault string
	// after is what happens once the leave of incarnation 7 was answered.
	after func(l *leaver, hearer *system.Entry)
}{
	{"leave", func(*leaver, *system.Entry) {}},
	{"hearing-entry-dies", func(_ *leaver, hearer *system.Entry) { hearer.Kill() }},
	{"config-leader-dies", func(l *leaver, _ *system.Entry) {
		if c := l.Leader(0); c != nil {
			c.Kill()
		}
	}},
	{"late-announcements", func(l *leaver, _ *system.Entry) {
		for _, e := range l.Entries {
			l.is.Equal(l.tell(e, "announce", 7, 4), http.StatusConflict)  // sent before the leave
			l.is.Equal(l.tell(e, "announce", 7, 20), http.StatusConflict) // numbered after it
			l.is.Equal(l.tell(e, "announce", 6, 90), http.StatusConflict) // of an earlier process
		}
	}},
	{"leave-before-join", func(l *leaver, _ *system.Entry) {
		l.is.Equal(l.depart(l.Entries[0], 8, 2), http.StatusOK)
		for _, e := range l.Entries {
			l.is.Equal(l.tell(e, "announce", 8, 1), http.StatusConflict)
			l.is.Equal(l.tell(e, "announce", 8, 3), http.StatusConflict)
		}
	}},
}

// Guards against work for an upstream that has left: because the entry that heard
// the leave kept it to itself, or because a late announcement brings it back.
func TestProofLeave(t *testing.T) {
	t.Parallel()
	for _, k := range departures {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G8", k.fault, 6, func(t *testing.T, seed uint64) {
				l := begin(t, seed)
				hearer := l.Entries[seed%3]
				l.is.Equal(l.tell(l.Entries[(seed+1)%3], "announce", 7, 1), http.StatusOK)
				defer l.work()()
				l.joined()
				l.is.Equal(l.depart(hearer, 7, 10), http.StatusOK)
				k.after(l, hearer)
				time.Sleep(bound)
				n := l.runs.Load()
				time.Sleep(500 * time.Millisecond)
				l.is.Equal(l.runs.Load(), n) // no new work after the bound
				l.is.Equal(l.tell(l.alive(), "announce", 9, 1), http.StatusOK)
				l.joined() // a later process is an upstream again, so that the entries had work to give
			})
		})
	}
}

func (l *leaver) alive() *system.Entry {
	for _, e := range l.Entries {
		if !e.Killed() {
			return e
		}
	}
	return nil
}
