package document

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const engine = `{"service":"wisteria-pool","kind":"engine",
"models":[{"name":"draft","price":{"input":1,"output":2},"versions":[{"name":"v1","state":"active"},{"name":"v2","state":"candidate"}]},
{"name":"large","price":{"input":10,"output":20},"versions":[{"name":"v1","state":"active"}]}],
"cascades":[{"name":"auto","steps":["draft","large"],"quality":0.8}],
"accounts":[{"name":"hill","models":["auto","draft@v1"],"weight":1,"limit":{}}],
"rollouts":[{"model":"draft","from":"v1","to":"v2","stages":[{"share":5,"hold":60},{"share":100,"hold":0}],"tolerance":0.02}]}`

const plain = `{"service":"visit-desk","kind":"plain","calls":[{"method":"POST","path":"/visits","repeat":false,"price":5},
{"method":"GET","path":"/visits/","repeat":true}],"accounts":[{"name":"hill","calls":["/visits","/visits/open"],"weight":2,"limit":{"parallel":4}}]}`

// Guards against inconsistent documents that are accepted, and against problems
// that are not all reported at once.
func TestProblems(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		fields string
	}{
		{"engine", engine, ""},
		{"plain", plain, ""},
		{"empty", "", "file"},
		{"null", "null", "file service kind"},
		{"unknown field", strings.Replace(engine, `"quality":0.8`, `"quality":0.8,"qualty":1`, 1), "cascades[0].qualty"},
		{"field name in another case", strings.Replace(engine, `"kind"`, `"Kind"`, 1), "Kind kind"},
		{"unknown or repeated step", strings.Replace(engine, `["draft","large"]`, `["draft","draft","tiny"]`, 1), "cascades[0].steps[1] cascades[0].steps[2]"},
		{"unknown or repeated permission", strings.Replace(engine, `"draft@v1"`, `"draft@v3","auto@v1","tiny","auto"`, 1), "accounts[0].models[1] accounts[0].models[2] accounts[0].models[3] accounts[0].models[4]"},
		{"no permission", strings.Replace(engine, `["auto","draft@v1"]`, `[]`, 1), "accounts[0]"},
		{"weight of zero", strings.Replace(engine, `"weight":1`, `"weight":0`, 1), "accounts[0].weight"},
		{"duplicate model", strings.ReplaceAll(engine, `"large"`, `"draft"`), "models[1].name cascades[0].steps[1]"},
		{"cascade with the name of a model", strings.Replace(engine, `"auto"`, `"large"`, 1), "cascades[0].name accounts[0].models[0]"},
		{"unknown state", strings.Replace(engine, `"candidate"`, `"ready"`, 1), "models[0].versions[1].state rollouts[0].to"},
		{"withdrawn version in a roll-out", strings.Replace(engine, `"candidate"`, `"withdrawn"`, 1), ""},
		{"wrong state and unknown version in a roll-out", strings.Replace(engine, `"from":"v1","to":"v2"`, `"from":"v2","to":"v9"`, 1), "rollouts[0].from rollouts[0].to"},
		{"share above 100", strings.Replace(engine, `"share":100`, `"share":101`, 1), "rollouts[0].stages[1].share"},
		{"share that does not grow", strings.Replace(engine, `"share":100`, `"share":5`, 1), "rollouts[0].stages[1].share"},
		{"no stage", strings.Replace(engine, `[{"share":5,"hold":60},{"share":100,"hold":0}]`, `[]`, 1), "rollouts[0].stages"},
		{"price above the maximum", strings.Replace(engine, `"output":2}`, `"output":2000000000000}`, 1), "models[0].price.output"},
		{"negative price", strings.Replace(engine, `"output":2}`, `"output":-2}`, 1), "models[0].price.output"},
		{"quality above 1", strings.Replace(engine, `0.8`, `1.8`, 1), "cascades[0].quality"},
		{"calls of an engine", strings.Replace(engine, `"accounts"`, `"calls":[{"method":"GET","path":"/a","repeat":true}],"accounts"`, 1), "calls"},
		{"models of a plain service", strings.Replace(plain, `"calls":["/visits","/visits/open"]`, `"models":["draft"]`, 1), "accounts[0].models[0]"},
		{"unknown method and invalid path", strings.Replace(plain, `"POST","path":"/visits"`, `"LOAD","path":"/a/../b"`, 1), "calls[0].method calls[0].path accounts[0].calls[0]"},
		{"duplicate call", strings.Replace(plain, `"GET","path":"/visits/"`, `"POST","path":"/visits"`, 1), "calls[1] accounts[0].calls[1]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("pool.json", []byte(c.text))
			if c.fields == "" {
				is.NoErr(err)
				return
			}
			var e *Error
			is.True(errors.As(err, &e))
			var fields []string
			for _, p := range e.Problems {
				is.True(strings.HasPrefix(p.String(), "pool.json: "))
				fields = append(fields, strings.Fields(strings.TrimPrefix(p.String(), "pool.json: "))[0])
			}
			is.Equal(strings.ReplaceAll(strings.Join(fields, " "), ":", ""), c.fields)
		})
	}
}

// checkRoundTrip guards against a parser that panics, and against a document that
// changes or is rejected when it is formatted and parsed again.
func checkRoundTrip(t interface{ Fatalf(string, ...any) }, text []byte) {
	d, err := Parse("d.json", text)
	if err != nil {
		return
	}
	formatted := Format(d)
	again, err := Parse("d.json", formatted)
	if err != nil {
		t.Fatalf("formatted document rejected: %v\n%s", err, formatted)
	}
	if second := Format(again); string(second) != string(formatted) {
		t.Fatalf("document changed in a round trip:\n%s\n%s", formatted, second)
	}
}

// Looks for a text that fails checkRoundTrip.
func FuzzParse(f *testing.F) {
	f.Add([]byte(engine))
	f.Add([]byte(plain))
	f.Add([]byte(`{"accounts":[[[{"a":}`))
	f.Fuzz(func(t *testing.T, text []byte) { checkRoundTrip(t, text) })
}

// Guards against the failures named at checkRoundTrip, for valid documents with a few random edits.
func TestParseProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		text := []byte(rapid.SampledFrom([]string{engine, plain}).Draw(r, "base"))
		for range rapid.IntRange(0, 3).Draw(r, "edits") {
			from := rapid.IntRange(0, len(text)-1).Draw(r, "from")
			to := min(len(text), from+rapid.IntRange(0, 8).Draw(r, "length"))
			part := rapid.SampledFrom([]string{"", "0", "9", "-0", `"v1"`, `"draft"`, "null", "[]", "{}", ",", "e9", "\x80"}).Draw(r, "part")
			text = append(text[:from:from], append([]byte(part), text[to:]...)...)
		}
		checkRoundTrip(r, text)
	})
}
