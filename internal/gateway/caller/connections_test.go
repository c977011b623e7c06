package caller

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/gateway/connlimit"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// limitingVersion is the version of the layout in which upstreams of the service desk accept testConnectionLimit
// connections. An instance that has just started may open two then.
const (
	limitingVersion     = 11
	testConnectionLimit = 8
)

func (f *fixture) connectionScope(id string) connlimit.Scope {
	l := f.view.ConnectionLimit(id)
	return connlimit.Scope{Limit: l.Connections, Instance: l.Instance, Instances: l.Instances, Upstream: l.Upstream, Slots: l.Slots}
}

// Guards against a call that may not be repeated and fails since its connection was reset beyond the upstream's
// limit, against more connections than the share, and against a refusal that says that the call may have run.
func TestConnectionLimit(t *testing.T) {
	work := 200 * time.Millisecond // longer than a call waits for a connection
	slow := func(e *upstreamtest.Exchange) bool {
		time.Sleep(work)
		return respondSigned(e, "ok")
	}
	quick := func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") }
	for _, c := range []struct {
		name string
		// accepted is how many connections each upstream accepts.
		accepted []int
		handle   func(e *upstreamtest.Exchange) bool
		together int // calls at a time
		served   int // of four times as many
	}{
		{"one upstream resets", []int{0, 8}, quick, 1, 4},
		{"the only upstream resets", []int{0}, quick, 1, 0},
		{"more calls than connections", []int{8}, slow, 6, 8},
		{"another upstream has places", []int{8, 8, 8}, slow, 6, 24},
	} {
		t.Run(c.name, func(t *testing.T) {
			var upstreams []*upstreamtest.Server
			for _, n := range c.accepted {
				u := startUpstream(t, c.handle)
				u.LimitConnections(n)
				upstreams = append(upstreams, u)
			}
			f := newFixture(t, upstreams, nil)
			f.view.ApplySync(&wire.SyncReply{Term: 1, Cursor: 2, Layout: &wire.Layout{Version: limitingVersion}}, f.clock.Now())
			f.NoErr(f.view.ApplyLayout(limitingVersion, nil))
			var mu sync.Mutex
			statuses := map[int]int{}
			for range 4 {
				var wg sync.WaitGroup
				for range c.together {
					wg.Go(func() {
						r := f.do("POST", "/book/1", "body")
						mu.Lock()
						defer mu.Unlock()
						statuses[r.status]++
						if seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); r.status == 503 && (err != nil || seconds <= 0) {
							t.Error("refused without Retry-After")
						}
					})
				}
				wg.Wait()
			}
			t.Log(statuses)
			f.Equal(statuses[200], c.served)
			f.Equal(statuses[503], 4*c.together-c.served)
			for i, u := range upstreams {
				if _, resets := u.Connections(); c.accepted[i] > 0 {
					f.Equal(resets, 0)
				}
			}
		})
	}
}
