package caller

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

// Guards against slowdowns that are made up where the upstream states none, or an impossible one.
func TestParseSlowdown(t *testing.T) {
	for _, c := range []struct {
		fields   []string
		slowdown int
	}{
		{[]string{"1", "0", "16"}, 0},
		{[]string{"1", "0", "16", " 250"}, 250},
		{[]string{"1", "0", "16", "87.6"}, 88},
		{[]string{"1", "0", "16", "-3"}, 0},
		{[]string{"1", "0", "16", "NaN"}, 0},
		{[]string{"1", "0", "16", "1e30"}, 0},
		{[]string{"1", "0", "16", "x"}, 0},
	} {
		is.New(t).Equal(parseSlowdown(c.fields), c.slowdown)
	}
}

// Guards against a work of a request that ignores the model or the cached part, and against one from a size
// that is not a number.
func TestWork(t *testing.T) {
	for _, c := range []struct {
		name          string
		usage         string
		model         layout.Model
		prefix        int // tokens of the shared part
		work          float64
		prefixReading bool
	}{
		{"smallest model", "12000,48", "s", 0, 12000, false},
		{"unknown model", "12000,48", "x", 0, 12000, false},
		{"largest model", "12000.4,48", "l", 0, 12000.4 * 9.99, false},
		{"short shared part", "826,36", "s", 198, 628, false},
		{"long shared part", "12000,48", "s", 9000, 12000, true},
		{"not stated", "", "s", 0, 0, false},
		{"not a number", "NaN,3", "s", 0, 0, false},
		{"negative", "-5,3", "s", 0, 0, false},
		{"impossible", "1e300,3", "s", 0, maxPromptTokens, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, nil, nil)
			r := httptest.NewRequest("POST", "/draft/1", nil)
			r.Header.Set("Usage", c.usage)
			q := &request{Handler: f.handler, httpRequest: r, service: "draft", prefix: balancer.Prefix{Key: 1, Tokens: c.prefix}}
			q.measureWork(&layout.Engine{Costs: map[layout.Model]float64{"s": 0.2, "l": 3}}, c.model)
			is.True(float64(q.work) > 0.99*c.work-0.1 && float64(q.work) < 1.01*c.work+0.1)
			is.Equal(q.prefixReading > 0, c.prefixReading)
			is.True(q.reading > 0)
		})
	}
}

// Guards against requests to engines without their rank in the queue, and against a reported slowdown or a request
// that has ended and is left out of, or kept in, the expected time.
func TestEngineRequest(t *testing.T) {
	is := is.New(t)
	var urgency atomic.Value
	u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
		urgency.Store(e.Request.Header.Get("Urgency"))
		writeEvents(e, "Confidence: 99\r\nLoad: 4,0,16,300\r\n", "id: 1\ndata: a\n\n")
		e.Write(lastChunk)
		return true
	})
	f := newFixture(t, nil, []*upstreamtest.Server{u})
	r := f.do("POST", "/draft/1", "body", "Model", "*", "Usage", "900,40", "Urgency", "7")
	is.NoErr(r.err)
	is.Equal(urgency.Load(), "0")
	_, p, ok := f.handler.Balancer.PickFor([]balancer.Candidate{{ID: "pool0", Slots: 16}}, balancer.Request{Reading: 1}, nil)
	is.True(ok)
	// 3 or 4 requests run, since the one that has ended was one of them. Each adds as much as the delay of one
	// more, times the smoothed slowdown of 1.5.
	is.True(p.Expected > 5*balancer.RunningDelay && p.Expected < 8*balancer.RunningDelay)
}
