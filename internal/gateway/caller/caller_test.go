package caller

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/fleet/tunnel"
	"wisteriakeel.example/wisteriakeel/internal/fleet/view"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/gateway/retrybudget"
	"wisteriakeel.example/wisteriakeel/internal/gateway/session"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

var testProtocol = &upstream.Protocol{
	RequestID: "Request-Id", Deadline: "Deadline", PromptPrefix: "Prompt", LastEventID: "Last-Event-Id", Signature: "Signature",
	Account: "Account", ExpectedUpstream: "Expected", Load: "Load", RateLimit: "Limit", Brittle: "Brittle", Leaving: "Leaving", NotExecuted: "Refused", Model: "Model",
	Urgency: "Urgency", TokenUsage: "Usage", Confidence: "Confidence", Session: "Session", Authorization: "Authorization",
	AuthScheme: "Token", GatewayOnly: []string{"Hold"}, AutoModel: "*", UrgencyRanks: 10,
}

// fixture is a handler in front of fake upstreams.
type fixture struct {
	testing.TB
	*is.I
	name    string
	view    *view.View
	handler *Handler
	server  *httptest.Server
	// clock is the clock of the view, by which the confirmation of the layout expires.
	clock *timer.Manual
	// tunnels leads to another instance, or is nil; see linkInstances.
	tunnels atomic.Pointer[tunnel.Client]
}

// fixtureDetour reaches upstreams through the instance to which a fixture is linked.
type fixtureDetour struct{ *fixture }

func (d fixtureDetour) Dial(ctx context.Context, id string, born int64) (net.Conn, error) {
	c := d.tunnels.Load()
	if c == nil {
		return nil, errors.New("no other instance")
	}
	return c.Dial(ctx, id, born)
}

// testTimeout is the time limit of all routes but the one for streams.
const testTimeout = time.Second

// testLayout returns a layout with one route of each kind and a public one.
func testLayout() *layout.Layout {
	return &layout.Layout{
		Version: 1, Limits: layout.Limits{MaxBodyBytes: 1 << 20},
		Pools:   []*layout.Pool{{Name: "desk"}, {Name: "pool", Engine: &layout.Engine{Slots: 16, Costs: map[layout.Model]float64{"small": 1, "large": 15}}}},
		Clients: []*layout.Client{{Name: "hill", Keys: []string{"k1"}, Priority: -1}},
		Routes: []*layout.Route{
			{Name: "book", Host: "h", Prefix: "/book/", Kind: layout.NonIdempotent, Timeout: testTimeout, MaxAttempts: 3, Shares: []layout.Share{{Service: "desk", Weight: 1}}},
			{Name: "look", Host: "h", Prefix: "/look/", Kind: layout.Idempotent, Timeout: testTimeout, MaxAttempts: 2, Shares: []layout.Share{{Service: "desk", Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: layout.Idempotent, Timeout: testTimeout, MaxAttempts: 2, Public: true, Shares: []layout.Share{{Service: "desk", Weight: 1}}},
			{
				Name: "draft", Host: "h", Prefix: "/draft/", Kind: layout.Stream, Timeout: 3 * time.Second, MaxAttempts: 3, Resumable: true, SessionAffinity: true,
				Models: []layout.Model{"small", "large"}, Shares: []layout.Share{{Service: "pool", Weight: 1}},
			},
		},
	}
}

// fixtures counts the fixtures, for their names.
var fixtures atomic.Int64

// newFixture starts a handler. The services desk and pool have the given upstreams, in order.
func newFixture(t testing.TB, desk, pool []*upstreamtest.Server) *fixture {
	t.Helper()
	f := &fixture{TB: t, I: is.New(t), name: "instance" + strconv.FormatInt(fixtures.Add(1), 10), clock: timer.NewManual()}
	f.clock.Advance(time.Hour)
	system := timer.NewSystem()
	loadBalancer, sessions := balancer.New("z", system, rand.New(rand.NewPCG(1, 1))), session.New(time.Second, system)
	f.view = view.New(view.Options{
		Name: f.name, OnCondition: loadBalancer.ReportCondition, Sessions: sessions,
		Decode: func(v layout.Version, _ []byte) (*layout.Layout, error) {
			l := testLayout()
			if v == revokingVersion {
				l.Clients[0].Keys = []string{"new"}
			}
			if v == closedVersion {
				l.Clients = nil
			}
			l.Anonymous = v == anonymousVersion
			if v == limitingVersion {
				l.Pools[0].MaxConnections = testConnectionLimit
			}
			if v == warmupVersion {
				l.Pools[0].WarmupRate = 10
			}
			return l, l.Prepare()
		},
		LeaseDuration: 4 * time.Second, MaxLayoutLag: time.Second, Timer: f.clock, ColdBounds: permit.ColdBounds{Enabled: true, Overrun: 1.5, Slack: 5}, Log: zap.NewNop(),
	})
	r := &wire.SyncReply{Term: 1, Cursor: 1, Layout: &wire.Layout{Version: 1}}
	add := func(service string, list []*upstreamtest.Server) {
		for i, u := range list {
			r.Upstreams = append(r.Upstreams, &wire.Upstream{
				Id: service + strconv.Itoa(i), Born: 1, Sequence: 1, Address: u.Address(), Service: service, Version: "v1", Slots: 4,
			})
		}
	}
	add("desk", desk)
	add("pool", pool)
	f.view.ApplySync(r, f.clock.Now())
	f.NoErr(f.view.ApplyLayout(1, nil))
	f.handler = New(Options{
		SeparateHeavy: true, Protocol: testProtocol, View: f.view, Upstream: upstream.New(upstream.Options{Protocol: testProtocol, Detour: fixtureDetour{f}, Scope: f.connectionScope, Timer: system, Log: zap.NewNop()}),
		Balancer: loadBalancer,
		Budget:   retrybudget.New(retrybudget.Limits{RetryRatio: 10, ExtraRetries: 100, Window: time.Second}, system),
		Sessions: sessions, Timer: system, Random: rand.New(rand.NewPCG(1, 2)), Log: zap.NewNop(),
	})
	loadBalancer.Share, loadBalancer.Leased = f.view.SlotShare, f.view.LeasesSlots
	f.server = httptest.NewServer(f.handler)
	t.Cleanup(f.server.Close)
	return f
}

// Guards against a second execution of a non-idempotent request after the first may have
// been executed, and against a response that says that it was not executed.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle func(e *upstreamtest.Exchange) bool
		status int
	}{
		{"reset", func(e *upstreamtest.Exchange) bool { e.Reset(); return false }, 502},
		{"closed", func(*upstreamtest.Exchange) bool { return false }, 502},
		{"short answer", func(e *upstreamtest.Exchange) bool {
			e.Write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhalf")
			return false
		}, 502},
		{"answer without a signature", func(e *upstreamtest.Exchange) bool { return respond(e, 200, "x") }, 502},
		{"error response of the upstream", func(e *upstreamtest.Exchange) bool { return respond(e, 500, "bad", "Signature: s") }, 500},
		{"good", func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") }, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := startUpstream(t, c.handle), startUpstream(t, c.handle)
			f := newFixture(t, []*upstreamtest.Server{a, b}, nil)
			r := f.do("POST", "/book/1", "body")
			f.NoErr(r.err)
			f.Equal(r.status, c.status)
			f.Equal(len(a.Requests())+len(b.Requests()), 1)
		})
	}
}

// Guards against giving up on a request that was not executed: the connection was refused,
// the upstream refused the request, or another upstream listens on the address now.
func TestNotExecutedIsRetried(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle func(e *upstreamtest.Exchange) bool
	}{
		{"full", func(e *upstreamtest.Exchange) bool { return respond(e, 503, "", "Refused: 1") }},
		{"other upstream", func(e *upstreamtest.Exchange) bool {
			e.Write("HTTP/1.1 421 x\r\nInstance: other\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bad, good := startUpstream(t, c.handle), startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })
			gone := startUpstream(t, func(*upstreamtest.Exchange) bool { return false })
			gone.Close()
			f := newFixture(t, []*upstreamtest.Server{gone, bad, good}, nil)
			for range 4 {
				r := f.do("POST", "/book/1", "body")
				f.Equal(r.status, 200)
			}
			f.Equal(len(good.Requests()), 4)
		})
	}
}

// Guards against a rejection that is delayed or has no Retry-After header.
func TestAllUpstreamsRefuse(t *testing.T) {
	full := func(e *upstreamtest.Exchange) bool { return respond(e, 503, "", "Refused: 1") }
	f := newFixture(t, []*upstreamtest.Server{startUpstream(t, full), startUpstream(t, full)}, nil)
	start := time.Now()
	r := f.do("POST", "/book/1", "body")
	f.Equal(r.status, 503)
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	f.NoErr(err)
	f.True(seconds > 0)
	f.True(time.Since(start) < 500*time.Millisecond)
}

// Guards against an idempotent request that fails with its first upstream, and against
// more executions than its route allows.
func TestRetryLimit(t *testing.T) {
	bad := func(e *upstreamtest.Exchange) bool { return respond(e, 500, "bad", "Signature: s") }
	a, b, c := startUpstream(t, bad), startUpstream(t, bad), startUpstream(t, bad)
	f := newFixture(t, []*upstreamtest.Server{a, b, c}, nil)
	r := f.do("GET", "/look/1", "")
	f.Equal(r.status, 500) // the upstream's error response is relayed
	f.Equal(r.header.Get("Signature"), "s")
	f.Equal(len(a.Requests())+len(b.Requests())+len(c.Requests()), 2)
}

// Guards against forwarding the caller's key to an upstream, against gateway headers that a
// caller has forged, and against a changed URI, body or other header.
func TestForwardedRequest(t *testing.T) {
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })
	f := newFixture(t, []*upstreamtest.Server{u}, nil)
	r := f.do("POST", "/book/a%2Fb?x=1&y", "body", "Account", "liar", "Hold", "7", "Deadline", "700", "Expected", "z", "Other", "kept")
	f.Equal(r.status, 200)
	q := u.Requests()[0].Request
	f.Equal(q.RequestURI, "/book/a%2Fb?x=1&y")
	f.Equal(string(u.Requests()[0].Body), "body")
	f.Equal(q.Header.Get("Account"), "hill")
	f.Equal(q.Header.Get("Authorization"), "")
	f.Equal(q.Header.Get("Hold"), "")
	f.Equal(q.Header.Get("Other"), "kept")
	f.Equal(q.Header.Get("Expected"), "desk0")
	deadline, err := strconv.Atoi(q.Header.Get("Deadline"))
	f.NoErr(err)
	f.True(deadline > 300 && deadline <= 700)
}

// Guards against requests that must not reach an upstream, and against wrong status codes for them.
func TestAdmission(t *testing.T) {
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })
	f := newFixture(t, []*upstreamtest.Server{u}, nil)
	for _, c := range []struct {
		name    string
		path    string
		headers []string
		status  int
	}{
		{"no route", "/none/", nil, 404},
		{"prefix without trailing slash", "/look", nil, 404},
		{"unknown key", "/look/1", []string{"Authorization", "Token other"}, 401},
		{"wrong authentication scheme", "/look/1", []string{"Authorization", "Basic k1"}, 401},
		{"public", "/open/1", []string{"Authorization", "Token other"}, 200},
		{"bad deadline", "/look/1", []string{"Deadline", "soon"}, 400},
		{"body too large", "/book/1", nil, 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			body := ""
			if c.status == 413 {
				body = strings.Repeat("x", 1<<20+1)
			}
			is.Equal(f.do("POST", c.path, body, c.headers...).status, c.status)
		})
	}
	f.Equal(len(u.Requests()), 1)
}

// Guards against a resumed stream that loses, repeats or merges events, or changes its headers.
func TestResume(t *testing.T) {
	var mu sync.Mutex
	var positions []string
	handle := func(e *upstreamtest.Exchange) bool {
		mu.Lock()
		positions = append(positions, e.Request.Header.Get("Last-Event-Id"))
		first := len(positions) == 1
		mu.Unlock()
		if first {
			writeEvents(e, "Confidence: 99\r\nMark: first\r\n", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\nda")
			return false
		}
		writeEvents(e, "Confidence: 99\r\nMark: second\r\n", "id: 3\ndata: c\n\n")
		e.Write(lastChunk)
		return true
	}
	f := newFixture(t, nil, []*upstreamtest.Server{startUpstream(t, handle), startUpstream(t, handle)})
	r := f.do("POST", "/draft/1", "body", "Model", "*")
	f.NoErr(r.err)
	f.Equal(r.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	f.Equal(r.header.Get("Mark"), "first")
	f.Equal(positions, []string{"", "2"})
}

// Guards against a truncated stream that looks complete to the caller.
func TestBrokenStreamAbortsConnection(t *testing.T) {
	handle := func(e *upstreamtest.Exchange) bool {
		writeEvents(e, "Confidence: 99\r\n", "id: 1\ndata: a\n\n")
		return false
	}
	f := newFixture(t, nil, []*upstreamtest.Server{startUpstream(t, handle)})
	r := f.do("POST", "/draft/1", "body", "Model", "*")
	f.True(r.err != nil)
	f.Equal(r.body, "id: 1\ndata: a\n\n")
}

// Guards against a stream without event ids that restarts in the middle of a response.
func TestNoResumeWithoutIDs(t *testing.T) {
	handle := func(e *upstreamtest.Exchange) bool {
		writeEvents(e, "Confidence: 99\r\n", "data: a\n\n")
		return false
	}
	a, b := startUpstream(t, handle), startUpstream(t, handle)
	f := newFixture(t, nil, []*upstreamtest.Server{a, b})
	r := f.do("POST", "/draft/1", "body", "Model", "*")
	f.True(r.err != nil)
	f.Equal(r.body, "data: a\n\n")
	f.Equal(len(a.Requests())+len(b.Requests()), 1)
}

// Guards against an upstream request that continues after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	disconnected := make(chan struct{})
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
		var b [1]byte
		if _, err := e.Conn.Read(b[:]); err != nil {
			close(disconnected)
		}
		return false
	})
	f := newFixture(t, []*upstreamtest.Server{u}, nil)
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	f.NoErr(err)
	_, err = io.WriteString(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nAuthorization: Token k1\r\n\r\n")
	f.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	f.NoErr(c.Close())
	select {
	case <-disconnected:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream connection was not closed within half a second")
	}
	f.Equal(len(u.Requests()), 1)
}

// Guards against a request that is held beyond the time limit of its caller.
func TestTimeLimit(t *testing.T) {
	f := newFixture(t, []*upstreamtest.Server{startUpstream(t, func(*upstreamtest.Exchange) bool { time.Sleep(5 * time.Second); return false })}, nil)
	start := time.Now()
	r := f.do("POST", "/book/1", "body", "Deadline", "300")
	f.Equal(r.status, 504)
	f.True(time.Since(start) < 800*time.Millisecond)
}

// Guards against traffic to a version before its roll-out is ordered and after it is rolled
// back, and against traffic to the former version after the roll-out is done.
func TestRolloutVersions(t *testing.T) {
	startVersion := func(version string) *upstreamtest.Server {
		return startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, version) })
	}
	formerVersion, newVersion := startVersion("v1"), startVersion("v2")
	f := newFixture(t, []*upstreamtest.Server{formerVersion}, nil)
	applyReply := func(r *wire.SyncReply) {
		r.Term, r.Cursor = 1, 2
		f.view.ApplySync(r, f.clock.Now())
	}
	versionsServed := func() map[string]bool {
		out := map[string]bool{}
		for range 20 {
			out[f.do("GET", "/look/1", "", "Request-Id", strconv.Itoa(int(time.Now().UnixNano()))).body] = true
		}
		return out
	}
	applyReply(&wire.SyncReply{Upstreams: []*wire.Upstream{{Id: "n", Born: 9, Sequence: 1, Address: newVersion.Address(), Service: "desk", Version: "v2", Slots: 4}}})
	f.Equal(versionsServed(), map[string]bool{"v1": true})
	applyReply(&wire.SyncReply{Rollouts: []*wire.Rollout{{Service: "desk", Target: "v2", Share: 500, Bucket: 80}}})
	f.Equal(versionsServed(), map[string]bool{"v1": true, "v2": true})
	applyReply(&wire.SyncReply{Rollouts: []*wire.Rollout{{Service: "desk", Target: "v2", Phase: wire.Phase_PHASE_BACK}}})
	f.Equal(versionsServed(), map[string]bool{"v1": true})
	applyReply(&wire.SyncReply{Rollouts: []*wire.Rollout{{Service: "desk", Target: "v2", Phase: wire.Phase_PHASE_DONE}}})
	f.Equal(versionsServed(), map[string]bool{"v2": true})
}

// Guards against executing a quarantined request that is repeated with another request id.
func TestQuarantine(t *testing.T) {
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })
	f := newFixture(t, []*upstreamtest.Server{u}, nil)
	q := &request{Handler: f.handler, client: &layout.Client{Name: "hill"}, body: memory.Blocks{[]byte("poison")}}
	q.httpRequest = httptest.NewRequest("POST", "http://h/look/1", nil)
	q.httpRequest.RequestURI = "/look/1"
	f.view.ApplySync(&wire.SyncReply{Term: 1, Quarantined: []uint64{q.computeFingerprint()}}, f.clock.Now())
	f.Equal(f.do("POST", "/look/1", "poison", "Request-Id", "r7").status, 502)
	f.Equal(len(u.Requests()), 0)
	f.Equal(f.do("POST", "/look/1", "other").status, 200)
}

// Guards against an instance that, while it shuts down, drops a request, keeps connections
// open, or accepts new requests after it should reject them.
func TestShutdown(t *testing.T) {
	f := newFixture(t, []*upstreamtest.Server{startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })}, nil)
	f.handler.Drain()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	f.NoErr(err)
	defer func() { f.NoErr(c.Close()) }()
	_, err = io.WriteString(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nAuthorization: Token k1\r\n\r\n")
	f.NoErr(err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	f.NoErr(err)
	f.Equal(r.StatusCode, 200)
	f.True(r.Close)
	f.handler.RejectNew()
	f.Equal(f.do("GET", "/look/1", "").status, 503)
}

// Guards against rejecting requests that arrive just before a starting instance has its first layout.
func TestWaitForFirstLayout(t *testing.T) {
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })
	f := newFixture(t, []*upstreamtest.Server{u}, nil)
	unloaded := view.New(view.Options{
		Decode:        func(layout.Version, []byte) (*layout.Layout, error) { l := testLayout(); return l, l.Prepare() },
		LeaseDuration: time.Hour, Timer: f.clock, Log: zap.NewNop(),
	})
	f.handler.View = unloaded
	time.AfterFunc(100*time.Millisecond, func() {
		unloaded.ApplySync(&wire.SyncReply{Term: 1, Layout: &wire.Layout{Version: 1}, Upstreams: []*wire.Upstream{
			{Id: "desk0", Address: u.Address(), Service: "desk", Version: "v1", Slots: 4},
		}}, f.clock.Now())
		if err := unloaded.ApplyLayout(1, nil); err != nil {
			t.Error(err)
		}
	})
	f.Equal(f.do("GET", "/look/1", "").status, 200)
	f.handler.View = view.New(view.Options{Timer: f.clock, Log: zap.NewNop()})
	f.Equal(f.do("GET", "/look/1", "", "Deadline", "200").status, 503)
}

var _ FleetView = (*view.View)(nil)
