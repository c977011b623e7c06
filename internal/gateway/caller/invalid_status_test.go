package caller

import (
	"fmt"
	"net/http"
	"testing"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

// Guards against a status that is none of HTTP's and is passed on, or read over so that the body of its
// response becomes the response.
func TestInvalidStatus(t *testing.T) {
	const nested = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nConfidence: 99\r\nContent-Length: 1\r\n\r\nx"
	for _, status := range []int{0, 99, 101, 600, 999} {
		for _, kind := range []layout.Kind{layout.NonIdempotent, layout.Idempotent, layout.Stream} {
			t.Run(fmt.Sprintf("%03d/%v", status, kind), func(t *testing.T) {
				u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
					e.Write(fmt.Sprintf("HTTP/1.1 %03d x\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", status, len(nested), nested))
					return false
				})
				f := newFixture(t, nil, []*upstreamtest.Server{u})
				f.addSizedRoute(layout.Route{Kind: kind, MaxAttempts: 2})
				r := f.do("POST", "/sized/1", "body", "Model", "*")
				f.NoErr(r.err)
				f.Equal(r.status, http.StatusBadGateway)
			})
		}
	}
}
