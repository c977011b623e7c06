package caller

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

// Guards against a response that states that a request has not run although an upstream has run it, in any way
// in which responses reach callers. Callers would repeat a request that may run once.
func TestStatedOutcome(t *testing.T) {
	const events = "Confidence: 99\r\nContent-Type: text/event-stream\r\n"
	refuse := func(e *upstreamtest.Exchange) bool { return respond(e, 503, "", "Refused: 1") }
	for _, status := range []int{400, 404, 408, 409, 429, 500, 502, 503, 504} {
		fail := func(e *upstreamtest.Exchange) bool {
			return respond(e, status, "bad", "Signature: s", "Retry-After: 0.01", "Content-Type: text/plain")
		}
		for _, way := range []struct {
			name string
			// handle are what the upstreams do with the first, the second and every further request that one gets.
			handle [3]func(e *upstreamtest.Exchange) bool
			ran    int // first request that runs
		}{
			{"at once", [3]func(e *upstreamtest.Exchange) bool{fail, fail, fail}, 1},
			{"after a refusal", [3]func(e *upstreamtest.Exchange) bool{refuse, fail, fail}, 2},
			{"before refusals", [3]func(e *upstreamtest.Exchange) bool{fail, refuse, refuse}, 1},
			{"before a broken connection", [3]func(e *upstreamtest.Exchange) bool{fail, func(*upstreamtest.Exchange) bool { return false }, refuse}, 1},
			{"after a broken connection", [3]func(e *upstreamtest.Exchange) bool{func(*upstreamtest.Exchange) bool { return false }, fail, refuse}, 1},
			{"after a response with a low confidence", [3]func(e *upstreamtest.Exchange) bool{
				func(e *upstreamtest.Exchange) bool { return respond(e, 200, "x", "Signature: s", "Confidence: 5") }, fail, fail,
			}, 1},
			{"refusals after a response with a low confidence", [3]func(e *upstreamtest.Exchange) bool{
				func(e *upstreamtest.Exchange) bool { return respond(e, 200, "x", "Signature: s", "Confidence: 5") }, refuse, refuse,
			}, 1},
			{"without a length", [3]func(e *upstreamtest.Exchange) bool{func(e *upstreamtest.Exchange) bool {
				e.Write(fmt.Sprintf("HTTP/1.1 %d x\r\nRequest-Id: r1\r\nSignature: s\r\n\r\nbad", status))
				return false
			}, fail, fail}, 1},
			{"cut body", [3]func(e *upstreamtest.Exchange) bool{func(e *upstreamtest.Exchange) bool {
				e.Write(fmt.Sprintf("HTTP/1.1 %d x\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 9\r\n\r\nbad", status))
				return false
			}, refuse, refuse}, 1},
			{"stream before its first event", [3]func(e *upstreamtest.Exchange) bool{func(e *upstreamtest.Exchange) bool {
				writeEvents(e, events)
				return false
			}, fail, refuse}, 1},
			{"resumed stream", [3]func(e *upstreamtest.Exchange) bool{func(e *upstreamtest.Exchange) bool {
				writeEvents(e, events, "id: 1\ndata: a\n\n")
				return false
			}, fail, refuse}, 1},
			{"refusals only", [3]func(e *upstreamtest.Exchange) bool{refuse, refuse, refuse}, 1 << 20},
		} {
			for _, kind := range routeKinds {
				for _, tunnelled := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d %s/%s, tunnel %v", status, way.name, kind.name, tunnelled), func(t *testing.T) {
						var requests atomic.Int32
						handle := func(e *upstreamtest.Exchange) bool { return way.handle[min(requests.Add(1), 3)-1](e) }
						var servers, unreachable []*upstreamtest.Server
						for range 3 {
							servers, unreachable = append(servers, startUpstream(t, handle)), append(unreachable, upstreamtest.At(partitionedAddress(t, "refused")))
						}
						f := newFixture(t, nil, servers)
						if tunnelled {
							sound := f
							sound.addSizedRoute(kind.route)
							f = newFixture(t, nil, unreachable)
							linkInstances(t, f, sound)
						}
						f.addSizedRoute(kind.route)
						f.checkStatedOutcome(f.do("POST", "/sized/1", "body", "Model", "*"), int(requests.Load()) >= way.ran)
					})
				}
			}
		}
	}
}

// checkStatedOutcome checks what a response says about the execution of its request.
func (f *fixture) checkStatedOutcome(r result, ran bool) {
	f.TB.Helper()
	own := strings.Contains(r.body, `"outcome"`)
	switch {
	case r.err != nil || r.status < 300:
	case ran:
		f.True(r.status != 408 && r.status != 421 && r.status != 429 && r.status != 503)
		f.True(!own || strings.Contains(r.body, `"outcome":"unknown"`))
	default:
		f.Equal(r.status, 503)
		f.True(strings.Contains(r.body, `"outcome":"not run"`))
	}
}
