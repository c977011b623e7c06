package caller

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/gateway/modelselect"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstreamtest"
)

// Guards against escalations that leave no attempt for a failure of an upstream, and against confidences
// and sizes that are read wrongly.
func TestModelsAsked(t *testing.T) {
	for _, c := range []struct {
		name        string
		attempts    int
		usage       string
		confidences string // of small, middle and large
		models      string
	}{
		{"two attempts", 2, "2368,120", "45 20 90", "small middle"},
		{"three attempts", 3, "2368,120", "45 20 90", "small middle"},
		{"four attempts", 4, "2368,120", "45 20 90", "small middle large"},
		{"four attempts, middle model suffices", 4, "2368,120", "45 80 90", "small middle"},
		{"confidence with a fraction", 3, "2368,120", "20.5 20 90", "small large"},
		{"confidence not a number", 3, "2368,120", "low 20 90", "small"},
		{"long answer", 3, "826, 500.0", "60 90 90", "small middle"},
		{"short answer to a long prompt", 3, "20000,60", "20 90 90", "small"},
		{"size not stated", 3, "", "20 90 90", "small large"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			var models []string
			confidences := strings.Fields(c.confidences)
			u := startUpstream(t, func(e *upstreamtest.Exchange) bool {
				mu.Lock()
				defer mu.Unlock()
				model := e.Request.Header.Get("Model")
				models = append(models, model)
				index := map[string]int{"small": 0, "middle": 1, "large": 2}[model]
				return respond(e, 200, model, "Signature: s", "Confidence: "+confidences[index])
			})
			f := newFixture(t, nil, []*upstreamtest.Server{u})
			f.addSizedRoute(layout.Route{Kind: layout.Idempotent, MaxAttempts: c.attempts, Models: []layout.Model{"small", "middle", "large"}})
			r := f.do("POST", "/sized/1", "body", "Model", "*", "Usage", c.usage)
			f.Equal(strings.Join(models, " "), c.models)
			f.Equal(r.body, models[len(models)-1])
		})
	}
}

// Guards against sizes that overflow, and against malformed ones that are trusted.
func TestParseUsage(t *testing.T) {
	for _, c := range []struct {
		text string
		want modelselect.Usage
		ok   bool
	}{
		{"826,48", modelselect.Usage{In: 826, MaxOut: 48}, true},
		{" 826.0 , 48.4", modelselect.Usage{In: 826, MaxOut: 48}, true},
		{"0,1", modelselect.Usage{In: 0, MaxOut: 1}, true},
		{"1e300,Inf", modelselect.Usage{In: modelselect.MaxTokens, MaxOut: modelselect.MaxTokens}, true},
		{"", modelselect.DefaultUsage, false},
		{"826", modelselect.DefaultUsage, false},
		{"826,0", modelselect.DefaultUsage, false},
		{"-1,48", modelselect.DefaultUsage, false},
		{"NaN,48", modelselect.DefaultUsage, false},
		{"826,48,2", modelselect.DefaultUsage, false},
	} {
		is := is.New(t)
		got, ok := parseUsage(c.text)
		is.Equal(ok, c.ok)
		is.Equal(got, c.want)
	}
}

// Guards against relaying part of the small model's response before the request escalates
// to the large model, and against replacing a model that the caller names itself.
func TestEscalation(t *testing.T) {
	var mu sync.Mutex
	var models []string
	handle := func(e *upstreamtest.Exchange) bool {
		model := e.Request.Header.Get("Model")
		mu.Lock()
		models = append(models, model)
		mu.Unlock()
		confidence := map[string]string{"small": "20", "large": "30"}[model]
		writeEvents(e, "Confidence: "+confidence+"\r\n", "id: 1\ndata: "+model+"\n\n")
		e.Write(lastChunk)
		return true
	}
	f := newFixture(t, nil, []*upstreamtest.Server{startUpstream(t, handle), startUpstream(t, handle)})
	r := f.do("POST", "/draft/1", "body", "Model", "*")
	f.NoErr(r.err)
	f.Equal(r.body, "id: 1\ndata: large\n\n")
	f.Equal(models, []string{"small", "large"})
	f.Equal(f.do("POST", "/draft/1", "body", "Model", "own").body, "id: 1\ndata: own\n\n")
}
