package terminal

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

const deskText = `{"service":"desk","kind":"plain","calls":[{"method":"GET","path":"/a","repeat":true}],"accounts":[]}`

// script answers requests in turn and records them as METHOD PATH CHANGE BASE.
type script struct {
	mu      sync.Mutex
	answers []answer
	seen    []string
}

// answer is one answer; status 0 breaks the connection after the request arrived.
type answer struct {
	status  int
	outcome string
	body    string
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.seen = append(s.seen, strings.Join([]string{r.Method, r.URL.RequestURI(), r.Header.Get("Wisteriakeel-Change"), r.Header.Get("If-Match")}, " "))
	a := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	s.mu.Unlock()
	if a.status == 0 {
		panic(http.ErrAbortHandler)
	}
	if a.outcome != "" {
		w.Header().Set("Wisteriakeel-Outcome", a.outcome)
	}
	w.Header().Set("ETag", `"7"`)
	w.Header().Set("Wisteriakeel-Instant", "0")
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, a.body)
}

func (s *script) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.seen)
}

func serveScript(t *testing.T, answers ...answer) (*script, string) {
	t.Helper()
	s := &script{answers: answers}
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return s, h.URL
}

func files(t *testing.T) (token, document string) {
	t.Helper()
	folder := t.TempDir()
	write(t, folder+"/token", operatorToken+"\n")
	write(t, folder+"/desk.json", deskText)
	return folder + "/token", folder + "/desk.json"
}

// Guards against exit codes and lines that do not tell what happened.
func TestAnswers(t *testing.T) {
	token, file := files(t)
	refusal := func(message, more string) string {
		return `{"error":{"message":"` + message + `","outcome":"not run"` + more + `}}`
	}
	cases := []struct {
		name string
		args []string
		got  answer
		code int
		line string // a part of what is printed
	}{
		{"apply", []string{"apply", file, "--base", "3"}, answer{200, "", `{"service":"desk","revision":8,"inforce":true,"elapsed":9}`}, ExitOK, "desk: revision 8 accepted, in force after 9 ms\n"},
		{"apply json", []string{"apply", file, "--base", "3", "--json"}, answer{200, "", `{"service":"desk","revision":8}`}, ExitOK, "{\"service\":\"desk\",\"revision\":8}\n"},
		{"conflict", []string{"apply", file, "--base", "3"}, answer{409, "not run", refusal("changed", `,"revision":9`)}, ExitConflict, "the current revision is 9"},
		{"bad document", []string{"apply", file, "--base", "3"}, answer{422, "not run", refusal("bad", `,"problems":[{"file":"desk","field":"kind","expected":"a","found":"b"}]`)}, ExitUsage, "desk: kind: expected a, found b\n"},
		{"forbidden", []string{"show", "desk"}, answer{403, "not run", refusal("no", "")}, ExitFailed, "no (not run)"},
		{"unavailable", []string{"status", "--timeout", "300"}, answer{503, "not run", refusal("no leader", "")}, ExitUnavailable, "no leader (not run)"},
		{"unknown", []string{"apply", file, "--base", "3", "--timeout", "300", "--change", "c9"}, answer{504, "unknown", refusal("late", "")}, ExitUnavailable, "change c9 on base 3: the outcome is unknown"},
		{"not served", []string{"fairness"}, answer{404, "", "404 page not found"}, ExitFailed, "status 404"},
		{"show", []string{"show", "desk"}, answer{200, "", deskText}, ExitOK, deskText + "\n"},
		{"show json", []string{"show", "desk", "--json"}, answer{200, "", "{}"}, ExitOK, `{"service":"desk","revision":7,"digest":"","operator":"","change":"","instant":0,"document":{}}`},
		{"history", []string{"history", "desk"}, answer{200, "", `{"documents":[{"revision":7,"operator":"team","change":"c1","instant":1000}]}`}, ExitOK, "7         1970-01-01T00:00:01Z  team      c1"},
		{"status", []string{"status"}, answer{200, "", `{"revision":7,"inforce":6,"groups":[{"group":1,"term":2,"commit":9,"replicas":[{"identity":"a","leader":true,"match":8}]}]}`}, ExitOK, "revision 7, in force 6\n"},
		{"ledger", []string{"ledger"}, answer{200, "", `{"totals":[{"account":"hill","service":"desk","requests":2,"amount":10}]}`}, ExitOK, "hill     desk     2"},
		{"fairness", []string{"fairness"}, answer{200, "", `{"accounts":[{"account":"hill","requests":100,"waits":[94,1,5],"totals":[{"amount":3},{"amount":4}]}]}`}, ExitOK, "hill     100       0         < 1 ms        < 2 ms       7"},
		{"drain", []string{"drain", "e1"}, answer{200, "", `{}`}, ExitOK, "e1: draining\n"},
		{"lift", []string{"quarantine", "00ab", "--off"}, answer{200, "", `{}`}, ExitOK, "00ab: quarantine lifted\n"},
		{"quarantine", []string{"quarantine"}, answer{200, "", `{"suspicions":[{"fingerprint":"00ab","account":"hill","quarantined":true,"crashes":[{"upstream":"w1","confirmed":true},{"upstream":"w2"}]}]}`}, ExitOK, "00ab         hill     true         w1 w2?\n"},
		{"fingerprint alone", []string{"quarantine", "00ab"}, answer{200, "", `{}`}, ExitUsage, "--off"},
		{"no argument", []string{"drain"}, answer{200, "", `{}`}, ExitUsage, "INSTANCE"},
		{"no such option", []string{"show", "desk", "--fast"}, answer{200, "", `{}`}, ExitUsage, "fast"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, url := serveScript(t, c.got)
			var out bytes.Buffer
			is.Equal(Main(append(c.args, "--token-file", token, "--address", url), &out, &out), c.code)
			if !strings.Contains(out.String(), c.line) {
				t.Errorf("%q does not contain %q", out.String(), c.line)
			}
		})
	}
}

// Guards against a change that is made twice because its answer was lost, and
// against an instance that is down and stops a command.
func TestResend(t *testing.T) {
	is := is.New(t)
	token, file := files(t)
	down := "http://" + free(t)
	first, one := serveScript(t, answer{status: 200, body: "{}"}, answer{})
	second, two := serveScript(t, answer{status: 503, outcome: "not run", body: "{}"}, answer{status: 200, body: `{"service":"desk","revision":8,"repeated":true}`})
	var out bytes.Buffer
	is.Equal(Main([]string{"apply", file, "--token-file", token, "--address", down, "--address", one, "--address", two}, &out, &out), ExitOK)
	is.Equal(out.String(), "desk: revision 8 accepted before\n")
	is.Equal(first.list()[0], "GET /v1/operator/documents/desk  ")
	sent := append(first.list()[1:], second.list()...)
	is.True(len(sent) >= 3) // lost, refused, accepted
	for _, s := range sent {
		is.Equal(s, sent[0]) // the same change id and base
	}
	is.True(strings.HasSuffix(sent[0], ` "7"`))
}

// Guards against a watch that ends with its instance, repeats what was printed
// or never ends.
func TestWatch(t *testing.T) {
	is := is.New(t)
	token, _ := files(t)
	event := func(revision, inforce int) string {
		return fmt.Sprintf("event: revision\ndata: {\"revision\":%d,\"inforce\":%d}\n\n", revision, inforce)
	}
	_, one := serveScript(t, answer{status: 200, body: event(1, 1) + ": open\n\n" + event(2, 1)})
	_, two := serveScript(t, answer{status: 200, body: event(2, 1) + "event: unavailable\ndata: {}\n\n" + event(2, 2)})
	var out bytes.Buffer
	is.Equal(Main([]string{"watch", "--until", "2", "--token-file", token, "--address", one, "--address", two}, &out, &out), ExitOK)
	is.Equal(out.String(), "revision 1, in force 1\nrevision 2, in force 1\nrevision 2, in force 2\n")
	_, three := serveScript(t, answer{status: 403, outcome: "not run", body: `{"error":{"message":"no"}}`})
	is.Equal(Main([]string{"watch", "--token-file", token, "--address", three}, &out, &out), ExitFailed)
}

// Guards against a file that is taken for one of another kind, and against a
// report that stops at the first file.
func TestCheck(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	list := []struct{ name, text, line string }{
		{"desk.json", deskText, "desk.json: document, no problems"},
		{"pool.json", `{"service":"pool","accounts":[]}`, "pool.json: kind: expected engine or plain, found \"\""},
		{"secrets.json", `{"accounts":[{"name":"a","token":"short"}],"peer":"peer-token-000001"}`, "secrets.json: accounts[0].token: expected 16 to 512 characters, found 5"},
		{"settings.json", `{"instance":"a b","secrets":"s"}`, "settings.json: instance: expected 1 to 64 letters"},
		{"other.json", `{"color":1}`, "other.json: file: expected the fields of settings, secrets or a document, found none of them"},
		{"broken.json", `{"service":`, "broken.json: file: expected complete JSON, found the end of the file"},
	}
	args := []string{"check"}
	for _, c := range list {
		write(t, folder+"/"+c.name, c.text)
		args = append(args, folder+"/"+c.name)
	}
	var out bytes.Buffer
	is.Equal(Main(args, &out, &out), ExitUsage)
	for _, c := range list {
		if !strings.Contains(out.String(), folder+"/"+c.line) {
			t.Errorf("%q does not contain %q", out.String(), c.line)
		}
	}
	out.Reset()
	is.Equal(Main(args[:2], &out, &out), ExitOK)
}
