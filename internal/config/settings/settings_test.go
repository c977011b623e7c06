package settings

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const valid = `{"instance":"lakes-a-1","zone":"lakes-a","region":"great-lakes","roles":["entry","control"],
"folder":"data","listen":{"http":"127.0.0.1:8080","peer":"127.0.0.1:9080"},
"control":["127.0.0.1:9080","127.0.0.1:9081","127.0.0.1:9082"],"secrets":"secrets.json"}`

// Guards against defaults that differ from the documented ones, and against relative
// paths that are resolved against the working directory.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("/etc/wisteriakeel/settings.json", []byte(valid))
	is.NoErr(err)
	is.Equal(s.SecretsFile, "/etc/wisteriakeel/secrets.json")
	is.Equal(s.DataDirectory, "/etc/wisteriakeel/data")
	is.Equal(s.Limits, Limits{MaxBodyBytes: 8 << 20, MaxHeaderBytes: 64 << 10, MaxConcurrentRequests: 256, MaxQueuedPerAccount: 1024, MaxQueuedTotal: 8192, MaxOpenRequests: 256})
	is.Equal(s.Timeouts.RequestHeader.Duration(), 5*time.Second)
	is.Equal(s.DataGroups, uint32(4))
	is.True(s.HasRole(RoleControl))
}

// Guards against invalid settings that are accepted, and against problems that are
// not all reported at once or not with their field.
func TestProblems(t *testing.T) {
	cases := []struct {
		text   string
		fields []string
	}{
		{"", []string{""}},
		{"{", []string{""}},
		{valid + "x", []string{""}},
		{"[]", []string{"", "instance", "zone", "region", "roles", "listen.http", "control", "secrets"}},
		{`{"instance":1,"zone":"z","region":"r","roles":["entry"],"listen":{"http":"localhost:80","port":1},"control":["127.0.0.1:1"],"secrets":"s"}`, []string{"instance", "listen.port", "listen.http"}},
		{`{"instance":"i","instance":"j","zone":"z","region":"r","roles":["entry","entry","cook"],"folder":"f","listen":{"http":"0.0.0.0:80"},"control":["127.0.0.1:1","127.0.0.1:1"],"secrets":"s"}`, []string{"instance", "roles[1]", "roles[2]", "folder", "listen.http", "control[1]"}},
		{`{"instance":"i","zone":"z","region":"r","roles":["control"],"listen":{"http":"127.0.0.1:80","peer":"127.0.0.1:81"},"control":["127.0.0.1:82"],"secrets":"s","groups":0,"log":{"level":"loud"},"trace":{"exporter":"otlp"},"rating":"http://rating:1","limits":{"body":-1,"queue":0},"timeouts":{"idle":99}}`, []string{"limits.body", "folder", "listen.peer", "groups", "log.level", "trace.target", "rating", "limits.queue", "timeouts.idle"}},
		{`{"instance":"i","zone":"z","region":"r","roles":["entry"],"listen":{"http":"127.0.0.1:80"},"control":["127.0.0.1:82"],"secrets":"s","limits":{"memory":134217727,"body":1048576,"clients":15}}`, []string{"limits.memory", "limits.clients"}},
		{`{"instance":"i","zone":"z","region":"r","roles":["entry"],"listen":{"http":"127.0.0.1:80"},"control":["127.0.0.1:82"],"secrets":"s","limits":{"memory":268435455}}`, []string{"limits.memory"}},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("settings.json", []byte(c.text))
			var e *Error
			is.True(errors.As(err, &e))
			var fields []string
			for _, p := range e.Problems {
				is.Equal(p.File, "settings.json")
				is.True(p.Expected != "" && p.Found != "")
				fields = append(fields, p.Field)
			}
			is.Equal(fields, c.fields)
		})
	}
}

// checkRoundTrip guards against a parser that panics, and against settings that change
// or are rejected when they are encoded and parsed again.
func checkRoundTrip(t interface{ Fatalf(string, ...any) }, text []byte) {
	s, err := Parse("/settings.json", text)
	if err != nil {
		return
	}
	encoded, _ := json.Marshal(s)
	again, err := Parse("/settings.json", encoded)
	if err != nil {
		t.Fatalf("encoded settings rejected: %v", err)
	}
	if second, _ := json.Marshal(again); string(second) != string(encoded) {
		t.Fatalf("settings changed in a round trip: %s became %s", encoded, second)
	}
}

// Looks for a text that fails checkRoundTrip.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"limits":{"body":1e3},"roles":[[{}]]}`))
	f.Fuzz(func(t *testing.T, text []byte) { checkRoundTrip(t, text) })
}

// Guards against the failures named at checkRoundTrip, for valid settings with a few random edits.
func TestParseProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		text := []byte(valid)
		for range rapid.IntRange(0, 4).Draw(r, "edits") {
			at := rapid.IntRange(0, len(text)-1).Draw(r, "at")
			text[at] = rapid.SampledFrom([]byte(`{}[]",:0123456789ae.- `)).Draw(r, "byte")
		}
		checkRoundTrip(r, text)
	})
}

// Guards against a memory that has no room for the bodies that the settings allow, and against more connections
// than it, or the process, has room for.
func TestMemory(t *testing.T) {
	for _, c := range []struct {
		name                string
		limits              Limits
		descriptors, memory uint64
		clients             int
	}{
		{"default", defaults().Limits, 0, 256 << 20, 2048},
		{"few descriptors", defaults().Limits, 1024, 256 << 20, 341},
		{"very few descriptors", defaults().Limits, 10, 256 << 20, 16},
		{"small bodies", Limits{MaxBodyBytes: 1 << 10}, 0, 256 << 20, 2048},
		{"large bodies", Limits{MaxBodyBytes: 64 << 20}, 0, 2 << 30, 16384},
		{"given", Limits{MaxBodyBytes: 1 << 20, MemoryBytes: 128 << 20, MaxClients: 100}, 30, 128 << 20, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.limits.Memory(), c.memory)
			is.Equal(c.limits.Clients(c.descriptors), c.clients)
		})
	}
}
