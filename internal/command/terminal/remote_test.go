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

const deskDocument = `{"service":"desk","kind":"plain","calls":[{"method":"GET","path":"/a","repeat":true}],"accounts":[]}`

// scriptedServer sends the given replies in order, the last one repeatedly. It records the
// requests in the form METHOD PATH CHANGE BASE.
type scriptedServer struct {
	mu       sync.Mutex
	replies  []scriptedReply
	requests []string
}

// scriptedReply is one reply. With status 0, the server closes the connection after it has
// read the request.
type scriptedReply struct {
	status  int
	outcome string
	body    string
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.requests = append(s.requests, strings.Join([]string{r.Method, r.URL.RequestURI(), r.Header.Get("Wisteriakeel-Change"), r.Header.Get("If-Match")}, " "))
	reply := s.replies[0]
	if len(s.replies) > 1 {
		s.replies = s.replies[1:]
	}
	s.mu.Unlock()
	if reply.status == 0 {
		panic(http.ErrAbortHandler)
	}
	if reply.outcome != "" {
		w.Header().Set("Wisteriakeel-Outcome", reply.outcome)
	}
	w.Header().Set("ETag", `"7"`)
	w.Header().Set("Wisteriakeel-Instant", "0")
	w.WriteHeader(reply.status)
	_, _ = io.WriteString(w, reply.body)
}

// recorded returns the requests received so far.
func (s *scriptedServer) recorded() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// startScriptedServer starts a server with the replies and returns it and its URL.
func startScriptedServer(t *testing.T, replies ...scriptedReply) (*scriptedServer, string) {
	t.Helper()
	s := &scriptedServer{replies: replies}
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return s, h.URL
}

// writeFiles creates a token file and a document and returns their paths.
func writeFiles(t *testing.T) (token, document string) {
	t.Helper()
	folder := t.TempDir()
	writeFile(t, folder+"/token", operatorToken+"\n")
	writeFile(t, folder+"/desk.json", deskDocument)
	return folder + "/token", folder + "/desk.json"
}

// Guards against exit codes and output that do not match the response of the instance.
func TestExitCodeAndOutput(t *testing.T) {
	token, file := writeFiles(t)
	refusal := func(message, more string) string {
		return `{"error":{"message":"` + message + `","outcome":"not run"` + more + `}}`
	}
	cases := []struct {
		name   string
		args   []string
		reply  scriptedReply
		code   int
		output string // a part of what is printed
	}{
		{"apply", []string{"apply", file, "--base", "3"}, scriptedReply{200, "", `{"service":"desk","revision":8,"inforce":true,"elapsed":9}`}, ExitOK, "desk: revision 8 accepted, in force after 9 ms\n"},
		{"apply json", []string{"apply", file, "--base", "3", "--json"}, scriptedReply{200, "", `{"service":"desk","revision":8}`}, ExitOK, "{\"service\":\"desk\",\"revision\":8}\n"},
		{"conflict", []string{"apply", file, "--base", "3"}, scriptedReply{409, "not run", refusal("changed", `,"revision":9`)}, ExitConflict, "the current revision is 9"},
		{"invalid document", []string{"apply", file, "--base", "3"}, scriptedReply{422, "not run", refusal("bad", `,"problems":[{"file":"desk","field":"kind","expected":"a","found":"b"}]`)}, ExitUsage, "desk: kind: expected a, found b\n"},
		{"forbidden", []string{"show", "desk"}, scriptedReply{403, "not run", refusal("no", "")}, ExitFailed, "no (not run)"},
		{"unavailable", []string{"status", "--timeout", "300"}, scriptedReply{503, "not run", refusal("no leader", "")}, ExitUnavailable, "no leader (not run)"},
		{"outcome unknown", []string{"apply", file, "--base", "3", "--timeout", "300", "--change", "c9"}, scriptedReply{504, "unknown", refusal("late", "")}, ExitUnavailable, "change c9 on base 3: the outcome is unknown"},
		{"path not served", []string{"fairness"}, scriptedReply{404, "", "404 page not found"}, ExitFailed, "status 404"},
		{"show", []string{"show", "desk"}, scriptedReply{200, "", deskDocument}, ExitOK, deskDocument + "\n"},
		{"show json", []string{"show", "desk", "--json"}, scriptedReply{200, "", "{}"}, ExitOK, `{"service":"desk","revision":7,"digest":"","operator":"","change":"","instant":0,"document":{}}`},
		{"history", []string{"history", "desk"}, scriptedReply{200, "", `{"documents":[{"revision":7,"operator":"team","change":"c1","instant":1000}]}`}, ExitOK, "7         1970-01-01T00:00:01Z  team      c1"},
		{"status", []string{"status"}, scriptedReply{200, "", `{"revision":7,"inforce":6,"groups":[{"group":1,"term":2,"commit":9,"replicas":[{"identity":"a","leader":true,"match":8}]}]}`}, ExitOK, "revision 7, in force 6\n"},
		{"ledger", []string{"ledger"}, scriptedReply{200, "", `{"totals":[{"account":"hill","service":"desk","requests":2,"amount":10}]}`}, ExitOK, "hill     desk     2"},
		{"fairness", []string{"fairness"}, scriptedReply{200, "", `{"accounts":[{"account":"hill","requests":100,"waits":[94,1,5],"totals":[{"amount":3},{"amount":4}]}]}`}, ExitOK, "hill     100       0         < 1 ms        < 2 ms       7"},
		{"drain", []string{"drain", "e1"}, scriptedReply{200, "", `{}`}, ExitOK, "e1: draining\n"},
		{"lift quarantine", []string{"quarantine", "00ab", "--off"}, scriptedReply{200, "", `{}`}, ExitOK, "00ab: quarantine lifted\n"},
		{"quarantine", []string{"quarantine"}, scriptedReply{200, "", `{"suspicions":[{"fingerprint":"00ab","account":"hill","quarantined":true,"crashes":[{"upstream":"w1","confirmed":true},{"upstream":"w2"}]}]}`}, ExitOK, "00ab         hill     true         w1 w2?\n"},
		{"fingerprint without --off", []string{"quarantine", "00ab"}, scriptedReply{200, "", `{}`}, ExitUsage, "--off"},
		{"missing argument", []string{"drain"}, scriptedReply{200, "", `{}`}, ExitUsage, "INSTANCE"},
		{"unknown option", []string{"show", "desk", "--fast"}, scriptedReply{200, "", `{}`}, ExitUsage, "fast"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, url := startScriptedServer(t, c.reply)
			var out bytes.Buffer
			is.Equal(Main(append(c.args, "--token-file", token, "--address", url), &out, &out), c.code)
			if !strings.Contains(out.String(), c.output) {
				t.Errorf("%q does not contain %q", out.String(), c.output)
			}
		})
	}
}

// Guards against a change that is made twice because its response was lost and the retry
// carries another change id, and against a command that fails because one of its
// addresses is down.
func TestRetryKeepsChangeID(t *testing.T) {
	is := is.New(t)
	token, file := writeFiles(t)
	down := "http://" + freeAddress(t)
	first, firstURL := startScriptedServer(t, scriptedReply{status: 200, body: "{}"}, scriptedReply{})
	second, secondURL := startScriptedServer(t, scriptedReply{status: 503, outcome: "not run", body: "{}"}, scriptedReply{status: 200, body: `{"service":"desk","revision":8,"repeated":true}`})
	var out bytes.Buffer
	is.Equal(Main([]string{"apply", file, "--token-file", token, "--address", down, "--address", firstURL, "--address", secondURL}, &out, &out), ExitOK)
	is.Equal(out.String(), "desk: revision 8 accepted before\n")
	is.Equal(first.recorded()[0], "GET /v1/operator/documents/desk  ")
	sent := append(first.recorded()[1:], second.recorded()...)
	is.True(len(sent) >= 3) // response lost, refused, accepted
	for _, s := range sent {
		is.Equal(s, sent[0]) // every attempt has the same change id and base
	}
	is.True(strings.HasSuffix(sent[0], ` "7"`))
}

// Guards against a watch that ends when its instance goes away, prints a revision again
// after it has reconnected, or does not end at the revision of --until or when refused.
func TestWatchReconnects(t *testing.T) {
	is := is.New(t)
	token, _ := writeFiles(t)
	event := func(revision, inforce int) string {
		return fmt.Sprintf("event: revision\ndata: {\"revision\":%d,\"inforce\":%d}\n\n", revision, inforce)
	}
	_, firstURL := startScriptedServer(t, scriptedReply{status: 200, body: event(1, 1) + ": open\n\n" + event(2, 1)})
	_, secondURL := startScriptedServer(t, scriptedReply{status: 200, body: event(2, 1) + "event: unavailable\ndata: {}\n\n" + event(2, 2)})
	var out bytes.Buffer
	is.Equal(Main([]string{"watch", "--until", "2", "--token-file", token, "--address", firstURL, "--address", secondURL}, &out, &out), ExitOK)
	is.Equal(out.String(), "revision 1, in force 1\nrevision 2, in force 1\nrevision 2, in force 2\n")
	_, refusingURL := startScriptedServer(t, scriptedReply{status: 403, outcome: "not run", body: `{"error":{"message":"no"}}`})
	is.Equal(Main([]string{"watch", "--token-file", token, "--address", refusingURL}, &out, &out), ExitFailed)
}

// Guards against a file that is mistaken for another kind, and against a check that
// stops at the first invalid file.
func TestCheckReportsAllFiles(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	cases := []struct{ name, text, line string }{
		{"desk.json", deskDocument, "desk.json: document, no problems"},
		{"pool.json", `{"service":"pool","accounts":[]}`, "pool.json: kind: expected engine or plain, found \"\""},
		{"secrets.json", `{"accounts":[{"name":"a","token":"short"}],"peer":"peer-token-000001"}`, "secrets.json: accounts[0].token: expected 16 to 512 characters, found 5"},
		{"settings.json", `{"instance":"a b","secrets":"s"}`, "settings.json: instance: expected 1 to 64 letters"},
		{"other.json", `{"color":1}`, "other.json: file: expected the fields of settings, secrets or a document, found none of them"},
		{"broken.json", `{"service":`, "broken.json: file: expected complete JSON, found the end of the file"},
	}
	args := []string{"check"}
	for _, c := range cases {
		writeFile(t, folder+"/"+c.name, c.text)
		args = append(args, folder+"/"+c.name)
	}
	var out bytes.Buffer
	is.Equal(Main(args, &out, &out), ExitUsage)
	for _, c := range cases {
		if !strings.Contains(out.String(), folder+"/"+c.line) {
			t.Errorf("%q does not contain %q", out.String(), c.line)
		}
	}
	out.Reset()
	is.Equal(Main(args[:2], &out, &out), ExitOK)
}
