package caller

import (
	"context"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/gateway/retrybudget"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// fingerprintOf returns the fingerprint of a request of the account hill.
func fingerprintOf(f *fixture, method, path, body string) uint64 {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host, r.RequestURI = "h", path
	q := &request{Handler: f.handler, httpRequest: r, client: testLayout().Clients[0], body: memory.Blocks{[]byte(body)}}
	return q.computeFingerprint()
}

// Guards against requests that were placed before an upstream stated a condition, waited for their
// connection and were sent in spite of it.
func TestConditionsAreCheckedBeforeSending(t *testing.T) {
	const requests = 5
	for _, c := range []struct {
		name string
		// during is called while the requests wait for connections.
		during func(f *fixture)
		sent   int
		reason string // of the refusals
	}{
		{"nothing changes", func(*fixture) {}, requests, ""},
		{"pause", func(f *fixture) { f.handler.Balancer.Pause("desk0", 1, 10*time.Second) }, 0, "pause"},
		{"pause of another incarnation", func(f *fixture) { f.handler.Balancer.Pause("desk0", 0, 10*time.Second) }, requests, ""},
		{"brittle and has refused a request", func(f *fixture) {
			f.handler.Balancer.ReportCondition("desk0", true, true)
		}, 0, "full"},
		{"brittle, slots are leased", func(f *fixture) {
			f.view.ApplySync(&wire.SyncReply{Term: 1, LeasesSlots: true}, f.clock.Now())
			f.handler.Balancer.ReportCondition("desk0", true, false)
			f.view.Slots().Fail()
		}, 0, "slots"},
		{"limit", func(f *fixture) { f.view.RecordLimit("desk0", permit.Limit{Born: 1, Rate: 1}) }, 0, "limit"},
		{"becomes cold", func(f *fixture) {
			f.NoErr(f.view.ApplyLayout(warmupVersion, nil))
			address, _ := f.view.UpstreamAddress("desk0", 1)
			f.view.ApplyAnnouncement(&wire.Upstream{Id: "desk0", Born: 1, Sequence: 2, Address: address, Service: "desk", Version: "v1", Slots: 4, Cold: 3000})
			f.view.Permits().Fail()
		}, 0, "cold"},
		{"leave", func(f *fixture) { f.view.RecordLeaving("desk0", 1) }, 0, "upstream"},
		{"zone is evacuated", func(f *fixture) { f.evacuate("") }, 0, "evacuated"},
		{"another zone is evacuated", func(f *fixture) { f.evacuate("b") }, requests, ""},
		{"request is quarantined", func(f *fixture) {
			var list []uint64
			for n := range requests {
				list = append(list, fingerprintOf(f, "GET", "/look/"+strconv.Itoa(n), ""))
			}
			f.view.ApplySync(&wire.SyncReply{Term: 1, Quarantined: list}, f.clock.Now())
		}, 0, "crashed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })
			// Direct connections hang, so that the requests wait for one through another instance.
			f := newFixture(t, []*upstreamtest.Server{upstreamtest.At(partitionedAddress(t, "hang"))}, nil)
			helper := newFixture(t, []*upstreamtest.Server{u}, nil)
			waiting, released := make(chan struct{}, requests), make(chan struct{})
			linkThrough(t, f, helper, func(ctx context.Context, address string) (net.Conn, error) {
				waiting <- struct{}{}
				<-released
				return upstream.Dialer{}.Dial(ctx, address)
			})
			results := make([]result, requests)
			var running sync.WaitGroup
			for n := range requests {
				running.Go(func() { results[n] = f.do("GET", "/look/"+strconv.Itoa(n), "", "Request-Id", "r"+strconv.Itoa(n)) })
			}
			for range requests {
				<-waiting
			}
			c.during(f)
			close(released)
			running.Wait()
			f.Equal(len(u.Requests()), c.sent)
			for _, r := range results {
				f.Equal(r.status == 200, c.sent > 0)
				f.True(strings.Contains(r.body, c.reason) || c.sent > 0)
			}
		})
	}
}

// Guards against a request that is refused, though another upstream has room, because its upstream left before
// the first byte and the budget for retries is spent. Nothing was sent, so that it is no retry.
func TestLeaveBeforeSendingIsNoRetry(t *testing.T) {
	u, other := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") }),
		startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "other") })
	f := newFixture(t, []*upstreamtest.Server{upstreamtest.At(partitionedAddress(t, "hang"))}, nil)
	f.handler.Budget = retrybudget.New(retrybudget.Limits{Window: time.Minute}, f.handler.Timer)
	f.True(f.handler.Budget.AllowRetry("desk", retrybudget.UpstreamFailure, 1)) // the one that is always allowed
	helper := newFixture(t, []*upstreamtest.Server{u, other}, nil)
	waiting, released := make(chan struct{}, 2), make(chan struct{})
	linkThrough(t, f, helper, func(ctx context.Context, address string) (net.Conn, error) {
		waiting <- struct{}{}
		<-released
		return upstream.Dialer{}.Dial(ctx, address)
	})
	var r result
	var running sync.WaitGroup
	running.Go(func() { r = f.do("POST", "/book/1", "") })
	<-waiting
	f.view.ApplyAnnouncement(&wire.Upstream{Id: "desk1", Born: 1, Sequence: 1, Address: other.Address(), Service: "desk", Version: "v1", Slots: 4})
	f.True(f.view.RecordLeaving("desk0", 1))
	close(released)
	running.Wait()
	f.Equal(r.status, 200)
	f.Equal(r.body, "other")
	f.Equal(len(u.Requests()), 0)
}

// Guards against an upstream that asks an instance for a pause and gets requests of other instances
// through it, each of which learns of the pause by a request of its own.
func TestPauseOfUpstreamBehindTunnels(t *testing.T) {
	const instances = 12
	list, servers := startAnnouncing(t, 1)
	helper := newFixture(t, servers, nil)
	var behind []*fixture
	for range instances {
		f := newFixture(t, []*upstreamtest.Server{upstreamtest.At(partitionedAddress(t, "refused"))}, nil)
		linkInstances(t, f, helper)
		behind = append(behind, f)
	}
	list[0].set(503, "Refused: 1", "Retry-After: 3")
	asked := time.Now()
	for i, f := range behind {
		r := f.do("GET", "/look/1", "", "Request-Id", "r"+strconv.Itoa(i))
		f.Equal(r.status, 503)
		f.True(strings.Contains(r.body, "not run"))
		time.Sleep(150 * time.Millisecond)
	}
	helper.True(countSince(&list[0].limitingUpstream, asked.Add(500*time.Millisecond), time.Now()) <= 2)
	list[0].set(200)
	time.Sleep(time.Until(asked.Add(4200 * time.Millisecond)))
	for i, f := range behind {
		f.Equal(f.do("GET", "/look/1", "", "Request-Id", "s"+strconv.Itoa(i)).status, 200)
	}
}
