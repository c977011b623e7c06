// Package operator serves operators over HTTP: documents, their history, status,
// ledger, drains and a watch of revisions.
package operator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/config/secret"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// Headers of requests and answers.
const (
	headerChange   = "Wisteriakeel-Change"
	headerWait     = "Wisteriakeel-Wait"
	headerTimeout  = "Wisteriakeel-Timeout"
	headerOutcome  = "Wisteriakeel-Outcome"
	headerOperator = "Wisteriakeel-Operator"
	headerDigest   = "Wisteriakeel-Digest"
	headerInstant  = "Wisteriakeel-Instant"
	headerRequest  = "X-Request-Id"
)

const (
	// callTimeout is the time a request may take without a header that says
	// otherwise; it covers an election of 2.4 s several times over.
	callTimeout = 10 * time.Second
	// maxTimeout bounds what a caller may ask for.
	maxTimeout = 60 * time.Second
	// maxWait bounds how long a change waits to be in force; the bound of a change
	// that can come into force is 3 s.
	maxWait = 30 * time.Second
	// answerTime is left after the deadline of a request for telling its outcome.
	answerTime = time.Second
	// maxWatches bounds the open watches, each of which holds a connection.
	maxWatches = 16
)

// Control is what operators need of the control service.
type Control interface {
	Apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error)
	Show(ctx context.Context, r *wire.ShowRequest) (*wire.ShowReply, error)
	History(ctx context.Context, r *wire.HistoryRequest) (*wire.HistoryReply, error)
	Status(ctx context.Context, r *wire.StatusRequest) (*wire.StatusReply, error)
	Ledger(ctx context.Context, r *wire.LedgerRequest) (*wire.LedgerReply, error)
	Drain(ctx context.Context, r *wire.DrainRequest) (*wire.DrainReply, error)
	Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error)
}

// Options is what a server needs.
type Options struct {
	Control Control
	Secrets *secret.Credentials
	Timer   timer.Service
	Log     *zap.Logger
	// Random spreads the times after which refused operators come back.
	Random *rand.Rand
}

// Server answers the requests of operators.
type Server struct {
	Options
	watches chan struct{}
	done    chan struct{}
	once    sync.Once
	shared  snapshot

	mu sync.Mutex // guards Random
}

// New returns a server.
func New(o Options) *Server {
	return &Server{Options: o, watches: make(chan struct{}, maxWatches), done: make(chan struct{})}
}

// Register adds the handlers to the mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.Handle("PUT /v1/operator/documents/{service}", s.handler("apply", s.bounded(s.apply)))
	mux.Handle("GET /v1/operator/documents/{service}", s.handler("show", s.bounded(s.show)))
	mux.Handle("GET /v1/operator/documents/{service}/history", s.handler("history", s.bounded(s.history)))
	mux.Handle("GET /v1/operator/status", s.handler("status", s.bounded(s.status)))
	mux.Handle("GET /v1/operator/ledger", s.handler("ledger", s.bounded(s.ledger)))
	mux.Handle("POST /v1/operator/drain/{instance}", s.handler("drain", s.bounded(s.drain)))
	mux.Handle("POST /v1/operator/quarantine/{fingerprint}", s.handler("quarantine", s.bounded(s.quarantine)))
	mux.Handle("GET /v1/operator/watch", s.handler("watch", s.watch))
}

// CloseWatches ends the open watches, which would otherwise hold up a shutdown.
func (s *Server) CloseWatches(context.Context) error {
	s.once.Do(func() { close(s.done) })
	return nil
}

// call is one request of an operator that is known.
type call struct {
	*http.Request
	operator secret.Operator
}

type handle func(ctx context.Context, w http.ResponseWriter, c call) error

// handler authenticates, bounds the time and turns errors into answers.
func (s *Server) handler(name string, h handle) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := otel.Tracer("wisteriakeel").Start(ctx, "operator "+name)
		defer span.End()
		if id := r.Header.Get(headerRequest); id != "" {
			w.Header().Set(headerRequest, id)
		}
		if err := s.serve(ctx, w, r, h); err != nil {
			f := asFault(err)
			s.Log.Info("operator request refused", zap.String("request", name), zap.Int("status", f.status), zap.String("reason", f.Message))
			s.refuse(w, f)
		}
	})
}

func (s *Server) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, h handle) error {
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	o, ok := s.Secrets.Operator(token)
	if !ok || !bearer {
		w.Header().Set("WWW-Authenticate", "Bearer")
		return refusal(http.StatusUnauthorized, "credential", "an operator credential is needed")
	}
	return h(ctx, w, call{Request: r, operator: o})
}

// bounded gives a request its deadline: the header Wisteriakeel-Timeout, or the
// default and the time that a change waits to be in force.
func (s *Server) bounded(h handle) handle {
	return func(ctx context.Context, w http.ResponseWriter, c call) error {
		limit, err := c.milliseconds(headerTimeout, maxTimeout)
		if err != nil {
			return err
		}
		wait, err := c.milliseconds(headerWait, maxWait)
		if err != nil {
			return err
		}
		if limit == 0 {
			limit = callTimeout + wait
		}
		ctx, cancel := timer.WithTimeout(ctx, s.Timer, limit)
		defer cancel()
		s.deadlines(w, limit)
		return h(ctx, w, c)
	}
}

// deadlines ends reads and writes of a connection that stalls, which the context
// does not reach. A writer without deadlines ends with its connection.
func (s *Server) deadlines(w http.ResponseWriter, limit time.Duration) {
	c, end := http.NewResponseController(w), s.Timer.Wall().Add(limit)
	_ = c.SetReadDeadline(end)
	_ = c.SetWriteDeadline(end.Add(answerTime))
}

// milliseconds reads a header; without it the result is zero.
func (c call) milliseconds(header string, most time.Duration) (time.Duration, error) {
	text := c.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	d := time.Duration(n) * time.Millisecond
	if err != nil || d > most {
		return 0, refusal(http.StatusBadRequest, "header", header+" must be a number of milliseconds, at most "+
			strconv.FormatInt(most.Milliseconds(), 10))
	}
	return d, nil
}

// allowed returns the service of the path if the operator may see it.
func (c call) allowed() (document.Service, error) {
	name := document.Service(c.PathValue("service"))
	if !c.operator.Allows(name) {
		return "", refusal(http.StatusForbidden, "permission", "the credential does not list this service")
	}
	return name, nil
}

// number reads a query parameter.
func (c call) number(name string, otherwise, most uint64) (uint64, error) {
	text := c.URL.Query().Get(name)
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > most {
		return 0, refusal(http.StatusBadRequest, name, name+" must be a number of at most "+strconv.FormatUint(most, 10))
	}
	return n, nil
}

// answer writes a value as JSON.
func answer(w http.ResponseWriter, status int, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n')) // a broken connection is the caller's to notice
	return nil
}
