package operator

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/secret"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	documentText  = `{"service":"desk","kind":"plain","calls":[{"method":"GET","path":"/a","repeat":true}],"accounts":[]}`
	operatorToken = "desk-team-token-01"
)

// fakeControl is a control service with one document.
type fakeControl struct {
	mu       sync.Mutex
	document *wire.Document
	err      error
}

func (f *fakeControl) Apply(_ context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.err != nil:
		return nil, f.err
	case f.document.GetChange() == r.Change:
		return &wire.ApplyReply{Revision: f.document.Revision, Repeated: true}, nil
	case f.document.GetRevision() != r.Base:
		return nil, errors.Wrap(control.ErrConflict, "apply")
	}
	f.document = &wire.Document{Service: r.Service, Revision: r.Base + 7, Text: r.Text, Change: r.Change, Operator: r.Operator}
	return &wire.ApplyReply{Revision: f.document.Revision, Inforce: r.Wait > 0, Elapsed: 12}, nil
}

func (f *fakeControl) Show(context.Context, *wire.ShowRequest) (*wire.ShowReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document == nil {
		return nil, control.ErrNotFound
	}
	return &wire.ShowReply{Documents: []*wire.Document{f.document}}, f.err
}

func (f *fakeControl) History(context.Context, *wire.HistoryRequest) (*wire.HistoryReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &wire.HistoryReply{Documents: []*wire.Document{f.document}}, f.err
}

func (f *fakeControl) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &wire.StatusReply{
		Fault: &wire.Fault{}, Revision: f.document.GetRevision(),
		Groups: []*wire.GroupStatus{{Term: 1 << 60, Replicas: []*wire.Replicator{{Match: 9}}}},
	}, f.err
}

func (f *fakeControl) Ledger(context.Context, *wire.LedgerRequest) (*wire.LedgerReply, error) {
	return &wire.LedgerReply{Totals: []*wire.Total{{Service: "desk", Amount: 1 << 60}, {Service: "pool"}}}, f.err
}

func (f *fakeControl) Drain(context.Context, *wire.DrainRequest) (*wire.DrainReply, error) {
	return &wire.DrainReply{}, f.err
}

func (f *fakeControl) Suspect(context.Context, *wire.SuspectRequest) (*wire.SuspectReply, error) {
	return &wire.SuspectReply{}, f.err
}

// newTestServer starts a server whose operator may access the service "desk" only.
func newTestServer(t *testing.T) (*fakeControl, *Server, *httptest.Server) {
	t.Helper()
	credentials, err := secret.Parse("s", []byte(`{"accounts":[{"name":"hill","token":"hill-account-token"}],
		"operators":[{"name":"desk-team","token":"`+operatorToken+`","services":["desk"]}],"peer":"peer-token-000001"}`))
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeControl{}
	s := New(Options{Control: f, Credentials: credentials, Timer: timer.NewSystem(), Log: zap.NewNop(), Random: rand.New(rand.NewPCG(1, 2))})
	mux := http.NewServeMux()
	s.Register(mux)
	h := httptest.NewServer(mux)
	t.Cleanup(h.Close)
	return f, s, h
}

// step is one request of an operator and the expected response.
type step struct {
	name    string
	request string // method and path
	headers string // lines of NAME: VALUE; they replace default headers of the same name
	body    string
	err     error // the error that the control service returns
	status  int
	outcome string
	has     string // a part of the response body
}

// do sends the request and returns the response and its body.
func (s step) do(t *testing.T, h *httptest.Server) (*http.Response, string) {
	t.Helper()
	method, path, _ := strings.Cut(s.request, " ")
	r, err := http.NewRequest(method, h.URL+path, strings.NewReader(s.body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	for line := range strings.Lines(s.headers) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		r.Header.Set(name, value)
	}
	a, err := h.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a, string(b)
}

// Guards against errors with the wrong status or outcome, a second revision for a
// resent change, and 64-bit numbers sent as strings.
func TestOperatorRequests(t *testing.T) {
	const put, changeHeaders = "PUT /v1/operator/documents/desk", "If-Match: \"0\"\nWisteriakeel-Change: c1\nWisteriakeel-Wait: 500"
	f, _, h := newTestServer(t)
	steps := []step{
		{"no credential", put, "Authorization: none", documentText, nil, 401, "not run", `"type":"authentication_error","code":"credential"`},
		{"account credential", put, "Authorization: Bearer hill-account-token", documentText, nil, 401, "not run", ""},
		{"other service", "PUT /v1/operator/documents/pool", changeHeaders, documentText, nil, 403, "not run", `"type":"permission_error","code":"permission"`},
		{"no base", put, "Wisteriakeel-Change: c1", documentText, nil, 428, "not run", "If-Match"},
		{"no change id", put, "If-Match: 0", documentText, nil, 400, "not run", "Wisteriakeel-Change"},
		{"long wait", put, changeHeaders + "00", documentText, nil, 400, "not run", "Wisteriakeel-Wait"},
		{"bad document", put, changeHeaders, `{"service":"desk","kind":"plane","color":1}`, nil, 422, "not run", `"found":"an unknown field"},{"file":"desk","field":"kind","expected":"engine or plain","found":"\"plane\""}]`},
		{"wrong document", put, changeHeaders, strings.Replace(documentText, "desk", "pool", 1), nil, 422, "not run", `"field":"service","expected":"desk"`},
		{"large document", put, changeHeaders, strings.Repeat(" ", 1<<20+1), nil, 413, "not run", ""},
		{"missing", "GET /v1/operator/documents/desk", "", "", nil, 404, "not run", ""},
		{"no leader", put, changeHeaders, documentText, control.ErrUnavailable, 503, "not run", `"retry":`},
		{"lost answer", put, changeHeaders, documentText, control.ErrOutcomeUnknown, 504, "unknown", `"retry":`},
		{"full", put, changeHeaders, documentText, control.ErrStorageFull, 507, "not run", `"code":"full"`},
		{"accepted", put, changeHeaders, documentText, nil, 200, "", `{"service":"desk","revision":7,"repeated":false,"inforce":true,"elapsed":12}`},
		{"resent", put, changeHeaders, documentText, nil, 200, "", `"revision":7,"repeated":true`},
		{"conflict", put, "If-Match: \"3\"\nWisteriakeel-Change: c2", documentText, nil, 409, "not run", `"revision":7`},
		{"show", "GET /v1/operator/documents/desk", "", "", nil, 200, "", documentText},
		{"show, no leader", "GET /v1/operator/documents/desk", "", "", control.ErrOutcomeUnknown, 503, "not run", ""},
		{"history", "GET /v1/operator/documents/desk/history?limit=5", "", "", nil, 200, "", `"operator":"desk-team","change":"c1","instant":0,"document":{"service":"desk"`},
		{"history limit", "GET /v1/operator/documents/desk/history?limit=many", "", "", nil, 400, "not run", ""},
		{"status", "GET /v1/operator/status", "", "", nil, 200, "", `"term":1152921504606846976`},
		{"ledger", "GET /v1/operator/ledger", "", "", nil, 200, "", `{"charges":[],"totals":[{"account":"","amount":1152921504606846976,"cost":0,"input":0,"output":0,"requests":0,"service":"desk"}]}`},
		{"drain", "POST /v1/operator/drain/e1", "", "", nil, 200, "", `{"draining":true,"instance":"e1"}`},
		{"drain off", "POST /v1/operator/drain/e1?off=true", "", "", nil, 200, "", `"draining":false`},
		{"lift", "POST /v1/operator/quarantine/00ab?off=true", "", "", nil, 200, "", `{"fingerprint":"00ab","quarantined":false}`},
		{"quarantine set by an operator", "POST /v1/operator/quarantine/00ab", "", "", nil, 400, "not run", `"code":"off"`},
		{"not in quarantine", "POST /v1/operator/quarantine/00ab?off=true", "", "", control.ErrNotFound, 404, "not run", ""},
	}
	for _, c := range steps {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f.err = c.err
			r, body := c.do(t, h)
			is.Equal(r.StatusCode, c.status)
			is.Equal(r.Header.Get("Wisteriakeel-Outcome"), c.outcome)
			is.True(strings.Contains(body, c.has)) // the body contains c.has
			is.True(!strings.Contains(body, `"fault"`))
			is.Equal(r.Header.Get("Retry-After") != "", strings.Contains(body, `"type":"control_error"`))
			is.Equal(r.Header.Get("Retry-After") == "", c.status == 200 || strings.Contains(body, `"retry":0`))
			is.True(json.Valid([]byte(body)))
		})
	}
}

// Guards against a watch that misses a change or blocks the shutdown of the process.
func TestWatch(t *testing.T) {
	is := is.New(t)
	f, s, h := newTestServer(t)
	r, err := http.NewRequest(http.MethodGet, h.URL+"/v1/operator/watch", nil)
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	a, err := h.Client().Do(r)
	is.NoErr(err)
	defer a.Body.Close()
	lines := bufio.NewScanner(a.Body)
	nextEvent := func() string {
		for lines.Scan() {
			if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
				return data
			}
		}
		return "end"
	}
	is.Equal(nextEvent(), `{"revision":0,"inforce":0}`)
	_, err = f.Apply(context.Background(), &wire.ApplyRequest{Base: 0, Change: "c"})
	is.NoErr(err)
	is.Equal(nextEvent(), `{"revision":7,"inforce":0}`)
	is.NoErr(s.CloseWatches(context.Background()))
	is.Equal(nextEvent(), "end")
}

// Guards against a connection that stalls in the middle of a document and blocks its
// handler, and with it a shutdown, forever.
func TestStalledBody(t *testing.T) {
	is := is.New(t)
	_, _, h := newTestServer(t)
	c, err := net.Dial("tcp", h.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(c, "PUT /v1/operator/documents/desk HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+operatorToken+
		"\r\nIf-Match: 0\r\nWisteriakeel-Change: c\r\nWisteriakeel-Timeout: 50\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer r.Body.Close()
	is.Equal(r.StatusCode, http.StatusBadRequest)
	is.Equal(r.Header.Get("Wisteriakeel-Outcome"), "not run")
}
