package caller

import (
	"sync"
	"testing"
	"time"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// revokingVersion is a version of the test layout without the key of the account hill.
const revokingVersion = 2

// Versions of the test layout without client accounts: no key is accepted, or none is needed.
const (
	closedVersion    = 30
	anonymousVersion = 31
)

// warmupVersion is a version of the test layout in which cold upstreams of the service desk are limited.
const warmupVersion = 9

// Guards against a request that is sent although its permission ran out after its admission,
// because the process was paused or an upstream took long to refuse it.
func TestPermissionIsCheckedBeforeEachDispatch(t *testing.T) {
	for _, c := range []struct {
		name string
		// during is called while the first upstream holds the request.
		during func(f *fixture)
		path   string
		status int
		sent   int
	}{
		{"nothing changes", func(*fixture) {}, "/look/1", 200, 2},
		{"lease ends", func(f *fixture) { f.clock.Advance(4 * time.Second) }, "/look/1", 503, 1},
		{"lease ends, public route", func(f *fixture) { f.clock.Advance(4 * time.Second) }, "/open/1", 503, 1},
		{"key is withdrawn", func(f *fixture) { f.NoErr(f.view.ApplyLayout(revokingVersion, nil)) }, "/look/1", 503, 1},
		{"other layout with the key", func(f *fixture) { f.NoErr(f.view.ApplyLayout(revokingVersion+1, nil)) }, "/look/1", 200, 2},
		{"newer layout does not arrive", func(f *fixture) {
			f.view.ApplySync(&wire.SyncReply{Term: 1, Layout: &wire.Layout{Version: revokingVersion}}, f.clock.Now())
			f.clock.Advance(time.Second)
		}, "/open/1", 503, 1},
		{"a part of the prompt is quarantined", func(f *fixture) {
			f.view.ApplySync(&wire.SyncReply{Term: 1, QuarantinedParts: []string{"b"}}, f.clock.Now())
		}, "/look/1", 503, 1},
		{"the request's own part is quarantined", func(f *fixture) {
			f.view.ApplySync(&wire.SyncReply{Term: 1, QuarantinedParts: []string{"own"}}, f.clock.Now())
		}, "/look/1", 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f *fixture
			var mu sync.Mutex
			requests := 0
			handle := func(e *upstreamtest.Exchange) bool {
				mu.Lock()
				requests++
				first := requests == 1
				mu.Unlock()
				if !first {
					return respondSigned(e, "ok")
				}
				c.during(f)
				return respond(e, 503, "", "Refused: 1")
			}
			f = newFixture(t, []*upstreamtest.Server{startUpstream(t, handle), startUpstream(t, handle)}, nil)
			r := f.do("GET", c.path, "", "Prompt", "a:1,b:2,own:3")
			f.Equal(r.status, c.status)
			f.Equal(requests, c.sent)
			f.True(c.status == 200 || r.header.Get("Retry-After") != "")
		})
	}
}

// Guards against requests and rejections that rest on a layout which may have been replaced: an
// instance that has not heard from a leader for the length of its lease can tell neither an added
// route from an unknown one nor a removed route or key from one in force.
func TestUnconfirmedLayout(t *testing.T) {
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })
	f := newFixture(t, []*upstreamtest.Server{u}, nil)
	paths := []struct {
		name, path, key string
		status          int
	}{
		{"public route", "/open/1", "Token k1", 200},
		{"route with a key", "/look/1", "Token k1", 200},
		{"unknown route", "/added/1", "Token k1", 404},
		{"unknown key", "/look/1", "Token k2", 401},
		{"no key", "/look/1", "", 401},
	}
	for _, c := range paths {
		f.Equal(f.do("GET", c.path, "", "Authorization", c.key).status, c.status)
	}
	f.clock.Advance(4 * time.Second)
	for _, c := range paths {
		r := f.do("GET", c.path, "", "Authorization", c.key)
		f.Equal(r.status, 503)
		f.True(r.header.Get("Retry-After") != "")
	}
}

// Guards against a layout without client accounts that opens the routes which need a key.
func TestLayoutWithoutAccounts(t *testing.T) {
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool { return respondSigned(e, "ok") })
	f := newFixture(t, []*upstreamtest.Server{u}, nil)
	for _, c := range []struct {
		version   layout.Version
		path, key string
		status    int
	}{
		{closedVersion, "/look/1", "Token k1", 401},
		{closedVersion, "/look/1", "Token never", 401},
		{closedVersion, "/look/1", "Token ", 401},
		{closedVersion, "/look/1", "", 401},
		{closedVersion, "/open/1", "", 200},
		{anonymousVersion, "/look/1", "Token k1", 200},
		{anonymousVersion, "/look/1", "", 200},
	} {
		f.NoErr(f.view.ApplyLayout(c.version, nil))
		f.Equal(f.do("GET", c.path, "", "Authorization", c.key).status, c.status)
	}
}

// Guards against a request without a key that is sent after keys have become necessary.
func TestKeysBecomeNecessary(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
	}{{"/look/1", 503}, {"/open/1", 200}} {
		var f *fixture
		handle := func(e *upstreamtest.Exchange) bool {
			if f.view.Layout().RequiresKey() {
				return respondSigned(e, "ok")
			}
			f.NoErr(f.view.ApplyLayout(anonymousVersion+1, nil))
			return respond(e, 503, "", "Refused: 1")
		}
		f = newFixture(t, []*upstreamtest.Server{startUpstream(t, handle), startUpstream(t, handle)}, nil)
		f.NoErr(f.view.ApplyLayout(anonymousVersion, nil))
		f.Equal(f.do("GET", c.path, "", "Authorization", "").status, c.status)
	}
}
