package caller

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// countSince returns how many requests arrived at an upstream in a span of time.
func countSince(l *limitingUpstream, from, to time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.arrived {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// announcingUpstream records requests and responds with additional header lines.
type announcingUpstream struct {
	limitingUpstream
	status int
	lines  []string
}

func (u *announcingUpstream) handle(e *upstreamtest.Exchange) bool {
	u.mu.Lock()
	u.arrived = append(u.arrived, time.Now())
	status, lines := u.status, u.lines
	u.mu.Unlock()
	if status == http.StatusOK {
		time.Sleep(20 * time.Millisecond) // so that load spreads
		lines = append([]string{"Signature: s"}, lines...)
	}
	return respond(e, status, "ok", lines...)
}

// set changes the responses from now on.
func (u *announcingUpstream) set(status int, lines ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.status, u.lines = status, lines
}

// startAnnouncing starts upstreams that respond with status 200.
func startAnnouncing(t *testing.T, n int) (list []*announcingUpstream, servers []*upstreamtest.Server) {
	t.Helper()
	for range n {
		u := &announcingUpstream{status: http.StatusOK}
		u.server = startUpstream(t, u.handle)
		list, servers = append(list, u), append(servers, u.server)
	}
	return list, servers
}

// Guards against requests to an upstream that said in a response that it leaves, by the instance
// that got the response or another one, while its heartbeats still say that it is ready.
func TestLeavingUpstream(t *testing.T) {
	const drainTime = 2 * time.Second
	for _, c := range []struct {
		name   string
		status int
		lines  []string
		leaves bool
	}{
		{"success", 200, []string{"Leaving: 1"}, true},
		{"error", 500, []string{"Leaving: 1", "Signature: s"}, true},
		{"refusal", 503, []string{"Leaving: 1", "Refused: 1"}, true},
		{"misdirected, of another upstream at the address", 421, []string{"Leaving: 1"}, false},
		{"another value", 200, []string{"Leaving: soon"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			list, servers := startAnnouncing(t, 3)
			first, second := newFixture(t, servers, nil), newFixture(t, servers, nil)
			linkLeader(first, second)
			list[0].set(c.status, c.lines...)
			for i := 0; countSince(&list[0].limitingUpstream, time.Time{}, time.Now()) == 0 && i < 100; i++ {
				first.do("GET", "/look/"+strconv.Itoa(i), "")
			}
			announced := time.Now()
			list[0].set(http.StatusOK) // a later response without the header ends nothing
			g := group.New(context.Background())
			for _, f := range []*fixture{first, second} {
				g.Go("load", lookups(f, 10*time.Millisecond).loop)
			}
			for sequence := uint64(2); time.Since(announced) < drainTime+time.Second; sequence++ {
				second.view.ApplyAnnouncement(&wire.Upstream{
					Id: "desk0", Born: 1, Sequence: sequence, Address: servers[0].Address(), Service: "desk", Version: "v1", Slots: 4,
				})
				time.Sleep(100 * time.Millisecond)
			}
			first.NoErr(g.Stop())
			late := countSince(&list[0].limitingUpstream, announced.Add(drainTime), time.Now())
			first.Equal(late == 0, c.leaves)
			if c.leaves {
				// A later incarnation serves again.
				second.view.ApplyAnnouncement(&wire.Upstream{
					Id: "desk0", Born: 2, Sequence: 1, Address: servers[0].Address(), Service: "desk", Version: "v1", Slots: 4,
				})
				restarted := time.Now()
				for i := 0; countSince(&list[0].limitingUpstream, restarted, time.Now()) == 0; i++ {
					second.True(i < 100)
					second.do("GET", "/look/"+strconv.Itoa(i), "")
				}
			}
		})
	}
}

// Guards against a leave that is lost because the response was to a request of another instance, and against a
// log that an invalid value fills, or that does not show it.
func TestLeaveInResponseToAnotherInstance(t *testing.T) {
	f := newFixture(t, []*upstreamtest.Server{upstreamtest.At("127.0.0.1:1"), upstreamtest.At("127.0.0.1:2")}, nil)
	core, logs := observer.New(zap.InfoLevel)
	f.handler.Log = zap.New(core)
	read := func(id string, born int64, value string) {
		f.handler.ReadResponse(id, born, &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Leaving": {value}}})
	}
	for _, value := range []string{"soon", "0", "soon"} {
		read("desk0", 1, value)
	}
	read("desk0", 2, "soon") // another incarnation
	f.Equal(logs.FilterMessage("upstream states an invalid leave").Len(), 2)
	_, serves := f.view.UpstreamAddress("desk0", 1)
	f.True(serves)
	for range 3 {
		read("desk1", 1, "1")
	}
	read("desk1", 2, "1") // not known
	f.Equal(logs.FilterMessage("upstream leaves").Len(), 1)
	_, serves = f.view.UpstreamAddress("desk1", 1)
	f.True(!serves)
}
