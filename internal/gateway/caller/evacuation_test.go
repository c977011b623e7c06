package caller

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

// evacuate evacuates zones at the instance, instead of those before.
func (f *fixture) evacuate(zones ...string) {
	e := &wire.Evacuations{Revision: uint64(1 + len(zones))}
	for _, z := range zones {
		e.Zones = append(e.Zones, &wire.Evacuation{Zone: z, Active: true, Revision: e.Revision})
	}
	f.view.ApplySync(&wire.SyncReply{Term: 1, Evacuations: e}, f.clock.Now())
}

// Guards against requests to upstreams of evacuated zones, by any way to send them: the first attempt, a
// retry, a resumed stream and the request for a larger model. Answers from a zone whose evacuation
// begins meanwhile must reach the caller.
func TestEvacuation(t *testing.T) {
	refuse := func(e *upstreamtest.Exchange) bool { return respond(e, 503, "", "Refused: 1") }
	breakOff := func(e *upstreamtest.Exchange) bool {
		writeEvents(e, "Confidence: 99\r\n", "id: 1\ndata: a\n\n")
		return false
	}
	answer := func(confidence string) func(e *upstreamtest.Exchange) bool {
		return func(e *upstreamtest.Exchange) bool {
			writeEvents(e, "Confidence: "+confidence+"\r\n", "id: 2\ndata: b\n\n")
			e.Write(lastChunk)
			return true
		}
	}
	for _, c := range []struct {
		name   string
		before string // zones that are evacuated before the request
		// during is evacuated when the first upstream has got the request: "other" or "all" zones.
		during  string
		respond func(e *upstreamtest.Exchange) bool // of the first upstream that gets the request
		sent    int                                 // requests that reach upstreams
		status  int
		reason  string
		broken  bool // the caller sees a truncated response
	}{
		{"no zone", "", "", answer("99"), 1, 200, "", false},
		{"one zone", "a", "", answer("99"), 1, 200, "", false},
		{"all zones", "a b", "", answer("99"), 0, 503, "evacuated", false},
		{"retry without evacuation", "", "", refuse, 2, 200, "", false},
		{"retry", "", "other", refuse, 1, 503, "", false},
		{"retry, all zones", "", "all", refuse, 1, 503, "evacuated", false},
		{"resumed without evacuation", "", "", breakOff, 2, 200, "", false},
		{"resumed", "", "other", breakOff, 1, 200, "", true},
		{"larger model", "", "other", answer("1"), 2, 200, "", false},
		{"larger model, no upstream left", "", "all", answer("1"), 1, 200, "", false},
		{"answer of an evacuated zone", "", "all", answer("99"), 1, 200, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var f *fixture
			var requests atomic.Int64
			var evacuated sync.Map
			handle := func(zone string) func(e *upstreamtest.Exchange) bool {
				return func(e *upstreamtest.Exchange) bool {
					if _, ok := evacuated.Load(zone); ok && c.during == "other" {
						t.Error("a request was sent to evacuated zone " + zone)
					}
					if requests.Add(1) > 1 {
						return answer("99")(e)
					}
					zones := map[string][]string{"other": {map[string]string{"a": "b", "b": "a"}[zone]}, "all": {"a", "b"}}[c.during]
					for _, z := range zones {
						evacuated.Store(z, true)
					}
					if len(zones) > 0 {
						f.evacuate(zones...)
					}
					return c.respond(e)
				}
			}
			servers := []*upstreamtest.Server{startUpstream(t, handle("a")), startUpstream(t, handle("b"))}
			f = newFixture(t, nil, servers)
			for i, u := range servers {
				f.view.ApplyAnnouncement(&wire.Upstream{
					Id: "pool" + strconv.Itoa(i), Born: 1, Sequence: 2, Address: u.Address(), Service: "pool", Version: "v1", Slots: 4, Zone: string(rune('a' + i)),
				})
			}
			if c.before != "" {
				f.evacuate(strings.Fields(c.before)...)
			}
			r := f.do("POST", "/draft/1", "body", "Model", "*")
			f.Equal(r.err != nil, c.broken)
			f.Equal(r.status, c.status)
			f.Equal(int(requests.Load()), c.sent)
			f.True(strings.Contains(r.body, c.reason))
			f.True(c.reason == "" || r.header.Get("Retry-After") != "")
		})
	}
}

// Guards against connections to upstreams of an evacuated zone that check whether they have crashed.
func TestNoCrashProbeInEvacuatedZone(t *testing.T) {
	f := newFixture(t, nil, nil)
	p := &crashProbe{Handler: f.handler, crash: &wire.Crash{Upstream: "gone"}, target: upstream.Target{ID: "gone", Address: partitionedAddress(t, "refused")}, zone: "a"}
	crashes := func() int { return len(f.view.TakeReport().GetCrashes()) }
	f.evacuate("a")
	p.run()
	f.Equal(crashes(), 0)
	f.evacuate()
	p.run()
	f.Equal(crashes(), 1)
}
