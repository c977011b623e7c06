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

// propagationDelay is the time after a leave until no entry sends the upstream new work.
const propagationDelay = 3 * time.Second

// departingUpstream is an upstream of the plain service and the system it belongs to. Its
// announcements and leave requests are sent by the proof.
type departingUpstream struct {
	*system.System
	is      *is.I
	address string
	runs    atomic.Int64
}

// newDepartingUpstream starts the upstream and a system that does not know it yet.
func newDepartingUpstream(t *testing.T, seed uint64) *departingUpstream {
	d := &departingUpstream{is: is.New(t)}
	server := httptest.NewServer(d)
	t.Cleanup(server.Close)
	d.address = strings.TrimPrefix(server.URL, "http://")
	d.System = system.Start(t, system.Options{Seed: seed, Entries: 3})
	return d
}

// ServeHTTP counts and answers a lookup.
func (d *departingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.runs.Add(1)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", "2")
	_, _ = w.Write([]byte("{}"))
}

// sendAnnouncement sends an announcement to an entry and returns the status.
func (d *departingUpstream) sendAnnouncement(e *system.Entry, path string, incarnation, sequence int) int {
	return d.Send(e, system.Request{
		Path: "/v1/upstreams/" + path, Token: system.UpstreamToken,
		Body: fmt.Sprintf(`{"name":"leaver","incarnation":%d,"sequence":%d,"address":%q,"service":"crewdesk","zone":"concord","lease":60000}`,
			incarnation, sequence, d.address),
	}).Status
}

// sendLeave sends a leave request to an entry and returns the status.
func (d *departingUpstream) sendLeave(e *system.Entry, incarnation, sequence int) int {
	return d.Send(e, system.Request{
		Path: "/v1/upstreams/leave", Token: system.UpstreamToken,
		Body: fmt.Sprintf(`{"name":"leaver","incarnation":%d,"sequence":%d}`, incarnation, sequence),
	}).Status
}

// startLookups sends lookups through all live entries until stop is called.
func (d *departingUpstream) startLookups() (stop func()) {
	var ended atomic.Bool
	var wg sync.WaitGroup
	for i, e := range d.Entries {
		wg.Go(func() {
			for j := 0; !ended.Load() && !e.Killed(); j++ {
				d.Send(e, system.Request{Method: http.MethodGet, Path: fmt.Sprintf("/v1/services/crewdesk/lookups/%d-%d", i, j)})
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() {
		ended.Store(true)
		wg.Wait()
	}
}

// waitForWork waits until the upstream has received more lookups.
func (d *departingUpstream) waitForWork() {
	n := d.runs.Load()
	d.WaitFor("lookups at the announced upstream", func() bool { return d.runs.Load() > n+5 })
}

// leaveFaults lists what happens after the leave of the upstream.
var leaveFaults = []struct {
	fault string
	// inject is called once the notified entry has answered the leave of incarnation 7.
	inject func(d *departingUpstream, notified *system.Entry)
}{
	{"leave", func(*departingUpstream, *system.Entry) {}},
	{"hearing-entry-dies", func(_ *departingUpstream, notified *system.Entry) { notified.Kill() }},
	{"config-leader-dies", func(d *departingUpstream, _ *system.Entry) {
		if c := d.Leader(0); c != nil {
			c.Kill()
		}
	}},
	{"late-announcements", func(d *departingUpstream, _ *system.Entry) {
		for _, e := range d.Entries {
			d.is.Equal(d.sendAnnouncement(e, "announce", 7, 4), http.StatusConflict)  // sent before the leave
			d.is.Equal(d.sendAnnouncement(e, "announce", 7, 20), http.StatusConflict) // sequence number after that of the leave
			d.is.Equal(d.sendAnnouncement(e, "announce", 6, 90), http.StatusConflict) // of an earlier incarnation
		}
	}},
	{"leave-before-join", func(d *departingUpstream, _ *system.Entry) {
		d.is.Equal(d.sendLeave(d.Entries[0], 8, 2), http.StatusOK)
		for _, e := range d.Entries {
			d.is.Equal(d.sendAnnouncement(e, "announce", 8, 1), http.StatusConflict)
			d.is.Equal(d.sendAnnouncement(e, "announce", 8, 3), http.StatusConflict)
		}
	}},
}

// Guards against new work for an upstream that has left, because the leave did not reach
// all entries or because a late announcement registers the upstream again.
func TestProofLeave(t *testing.T) {
	t.Parallel()
	for _, k := range leaveFaults {
		t.Run(k.fault, func(t *testing.T) {
			t.Parallel()
			report.Run(t, "G8", k.fault, 6, func(t *testing.T, seed uint64) {
				d := newDepartingUpstream(t, seed)
				notified := d.Entries[seed%3]
				d.is.Equal(d.sendAnnouncement(d.Entries[(seed+1)%3], "announce", 7, 1), http.StatusOK)
				defer d.startLookups()()
				d.waitForWork()
				d.is.Equal(d.sendLeave(notified, 7, 10), http.StatusOK)
				k.inject(d, notified)
				time.Sleep(propagationDelay)
				n := d.runs.Load()
				time.Sleep(500 * time.Millisecond)
				d.is.Equal(d.runs.Load(), n) // no new work after the propagation delay
				d.is.Equal(d.sendAnnouncement(d.firstLiveEntry(), "announce", 9, 1), http.StatusOK)
				d.waitForWork() // a later incarnation gets work, so the entries did send lookups meanwhile
			})
		})
	}
}

// firstLiveEntry returns the first entry that was not killed.
func (d *departingUpstream) firstLiveEntry() *system.Entry {
	for _, e := range d.Entries {
		if !e.Killed() {
			return e
		}
	}
	return nil
}
