package caller

import (
	"testing"

	"github.com/matryer/is"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
)

// poolWithVersions returns the pool's document with the given versions of the model
// small.
func poolWithVersions(list ...document.VersionSpec) *document.Document {
	d := poolDocument()
	d.Models[0].Versions = list
	return d
}

// Guards against sessions that change version needlessly, stay on a withdrawn version, or
// are moved without a header that tells the caller.
func TestSessionKeepsItsVersion(t *testing.T) {
	const active, retiring, withdrawn = document.StateActive, document.StateRetiring, document.StateWithdrawn
	for _, c := range []struct {
		name    string
		pinned  string
		v1, v2  document.State
		model   string
		status  int
		version string
		moved   string
	}{
		{"new session", "", withdrawn, active, "small", 200, "small@v2", ""},
		{"new session does not get a retiring version", "", retiring, active, "small", 200, "small@v2", ""},
		{"pinned", "v1", active, active, "small", 200, "small@v1", ""},
		{"pinned to a retiring version", "v1", retiring, active, "small", 200, "small@v1", ""},
		{"pinned to the only version, retiring", "v1", retiring, withdrawn, "small", 200, "small@v1", ""},
		{"only a retiring version", "", retiring, withdrawn, "small", 503, "", ""},
		{"pinned to a withdrawn version", "v1", withdrawn, active, "small", 200, "small@v2", "v1"},
		{"pinned to a removed version", "v9", withdrawn, active, "small", 200, "small@v2", "v9"},
		{"pinned, other version named", "v1", active, active, "small@v2", 409, "", ""},
		{"withdrawn, other version named", "v1", withdrawn, active, "small@v2", 200, "small@v2", "v1"},
		{"all withdrawn", "v1", withdrawn, withdrawn, "small", 503, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(poolWithVersions(document.VersionSpec{Name: "v1", State: c.v1}, document.VersionSpec{Name: "v2", State: c.v2}))
			const key = "town/pool/s/small"
			if c.pinned != "" {
				f.pins[key] = c.pinned
			}
			startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", breakAfter: -1})
			startEngine(t, f, "w2", "small", &fakeEngine{version: "v2", breakAfter: -1})
			_, s := newHandler(t, f, nil)
			for i := range 3 {
				resp, _ := send(t, "POST", s.URL+"/v1/chat/completions", chatBody(c.model, false), "Wisteriakeel-Session", "s")
				is.Equal(resp.StatusCode, c.status)
				is.Equal(resp.Header.Get("Wisteriakeel-Model"), c.version)
				if i == 0 {
					is.Equal(resp.Header.Get("Wisteriakeel-Session-Moved"), c.moved)
				} else {
					is.Equal(resp.Header.Get("Wisteriakeel-Session-Moved"), "")
				}
			}
			if c.status == 503 {
				is.Equal(f.pins[key], c.pinned) // a refusal pins nothing
			}
		})
	}
}

// Guards against using a cached pin after another entry moved it, while its version was
// withdrawn for some time and then became active again.
func TestCachedPinIsReadAgainAfterAChange(t *testing.T) {
	is := is.New(t)
	both := func() *document.Document {
		return poolWithVersions(document.VersionSpec{Name: "v1", State: document.StateActive}, document.VersionSpec{Name: "v2", State: document.StateActive})
	}
	f := newFakeControl(both())
	f.pins["town/pool/s/small"] = "v1"
	startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", breakAfter: -1})
	startEngine(t, f, "w2", "small", &fakeEngine{version: "v2", breakAfter: -1})
	_, s := newHandler(t, f, nil)
	model := func() string {
		resp, _ := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false), "Wisteriakeel-Session", "s")
		return resp.Header.Get("Wisteriakeel-Model")
	}
	is.Equal(model(), "small@v1")
	f.pins["town/pool/s/small"] = "v2" // moved elsewhere while v1 was withdrawn
	f.setDocuments(both())
	is.Equal(model(), "small@v2")
}

// Guards against an entry with an outdated document that moves a session off the version
// to which another entry pinned it under a later document.
func TestEntryWithStaleConfigMovesNoPin(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(poolWithVersions(
		document.VersionSpec{Name: "v1", State: document.StateActive},
		document.VersionSpec{Name: "v2", State: document.StateWithdrawn},
	))
	const key = "town/pool/s/small"
	startEngine(t, f, "w1", "small", &fakeEngine{version: "v1", breakAfter: -1})
	f.pins[key], f.pinRevision = "v2", uint64(f.config.Revision)+1
	_, s := newHandler(t, f, nil)
	resp, body := send(t, "POST", s.URL+"/v1/chat/completions", chatBody("small", false), "Wisteriakeel-Session", "s")
	is.Equal(resp.StatusCode, 503)
	is.Equal(string(parseErrorBody(t, body).Outcome), "not run")
	is.Equal(f.pins[key], "v2")
}
