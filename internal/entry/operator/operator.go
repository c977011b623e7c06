// Package operator implements the HTTP API for operators. It reads and changes the
// services' configuration documents, shows their history, the status and the
// ledger, drains instances, lifts quarantines and streams changes of the revision.
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

// HTTP headers of requests and responses.
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
	// defaultTimeout limits a request without a timeout header. It covers an election
	// of 2.4 s several times over.
	defaultTimeout = 10 * time.Second
	// maxTimeout limits the timeout that a request may ask for.
	maxTimeout = 60 * time.Second
	// maxWait limits how long a request waits for its change to be in force. A change
	// that can take effect does so within 3 s.
	maxWait = 30 * time.Second
	// responseGrace is the time after a request's deadline in which the response that
	// reports its outcome may still be written.
	responseGrace = time.Second
	// maxWatches limits the number of open watches, each of which occupies a connection.
	maxWatches = 16
)

// Control is the subset of the control client that the operator API uses.
type Control interface {
	Apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error)
	Show(ctx context.Context, r *wire.ShowRequest) (*wire.ShowReply, error)
	History(ctx context.Context, r *wire.HistoryRequest) (*wire.HistoryReply, error)
	Status(ctx context.Context, r *wire.StatusRequest) (*wire.StatusReply, error)
	Ledger(ctx context.Context, r *wire.LedgerRequest) (*wire.LedgerReply, error)
	Drain(ctx context.Context, r *wire.DrainRequest) (*wire.DrainReply, error)
	Suspect(ctx context.Context, r *wire.SuspectRequest) (*wire.SuspectReply, error)
}

// Options are the dependencies of a Server.
type Options struct {
	Control     Control
	Credentials *secret.Credentials
	Timer       timer.Service
	Log         *zap.Logger
	// Random randomizes the retry times in error responses.
	Random *rand.Rand
}

// Server handles the HTTP requests of operators.
type Server struct {
	Options
	// watches holds one element per open watch; its capacity limits them.
	watches chan struct{}
	// done is closed to end all watches.
	done        chan struct{}
	closeOnce   sync.Once
	statusCache cachedStatus

	mu sync.Mutex // guards Random
}

// New returns a server with the given dependencies.
func New(o Options) *Server {
	return &Server{Options: o, watches: make(chan struct{}, maxWatches), done: make(chan struct{})}
}

// Register adds the routes of the operator API to the mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.Handle("PUT /v1/operator/documents/{service}", s.handler("apply", s.withDeadline(s.apply)))
	mux.Handle("GET /v1/operator/documents/{service}", s.handler("show", s.withDeadline(s.show)))
	mux.Handle("GET /v1/operator/documents/{service}/history", s.handler("history", s.withDeadline(s.history)))
	mux.Handle("GET /v1/operator/status", s.handler("status", s.withDeadline(s.status)))
	mux.Handle("GET /v1/operator/ledger", s.handler("ledger", s.withDeadline(s.ledger)))
	mux.Handle("POST /v1/operator/drain/{instance}", s.handler("drain", s.withDeadline(s.drain)))
	mux.Handle("POST /v1/operator/quarantine/{fingerprint}", s.handler("quarantine", s.withDeadline(s.quarantine)))
	mux.Handle("GET /v1/operator/watch", s.handler("watch", s.watch))
}

// CloseWatches ends the open watches, which would otherwise delay a shutdown.
func (s *Server) CloseWatches(context.Context) error {
	s.closeOnce.Do(func() { close(s.done) })
	return nil
}

// operatorRequest is a request of an authenticated operator.
type operatorRequest struct {
	*http.Request
	operator secret.Operator
}

// handlerFunc handles a request. writeError sends the error that it returns.
type handlerFunc func(ctx context.Context, w http.ResponseWriter, q operatorRequest) error

// handler returns an HTTP handler that authenticates the operator, calls h and
// sends its error, if any.
func (s *Server) handler(name string, h handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := otel.Tracer("wisteriakeel").Start(ctx, "operator "+name)
		defer span.End()
		if id := r.Header.Get(headerRequest); id != "" {
			w.Header().Set(headerRequest, id)
		}
		if err := s.serveAuthenticated(ctx, w, r, h); err != nil {
			f := toAPIError(err)
			s.Log.Info("operator request refused", zap.String("request", name), zap.Int("status", f.status), zap.String("reason", f.Message))
			s.writeError(w, f)
		}
	})
}

// serveAuthenticated calls h if the request has a valid operator credential.
func (s *Server) serveAuthenticated(ctx context.Context, w http.ResponseWriter, r *http.Request, h handlerFunc) error {
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	o, ok := s.Credentials.Operator(token)
	if !ok || !bearer {
		w.Header().Set("WWW-Authenticate", "Bearer")
		return notRunError(http.StatusUnauthorized, "credential", "an operator credential is needed")
	}
	return h(ctx, w, operatorRequest{Request: r, operator: o})
}

// withDeadline limits the duration of requests to the value of the header
// Wisteriakeel-Timeout. Without the header, the limit is defaultTimeout plus the time
// that the request waits for its change to be in force.
func (s *Server) withDeadline(h handlerFunc) handlerFunc {
	return func(ctx context.Context, w http.ResponseWriter, q operatorRequest) error {
		timeout, err := q.millisecondsHeader(headerTimeout, maxTimeout)
		if err != nil {
			return err
		}
		wait, err := q.millisecondsHeader(headerWait, maxWait)
		if err != nil {
			return err
		}
		if timeout == 0 {
			timeout = defaultTimeout + wait
		}
		ctx, cancel := timer.WithTimeout(ctx, s.Timer, timeout)
		defer cancel()
		s.setConnectionDeadlines(w, timeout)
		return h(ctx, w, q)
	}
}

// setConnectionDeadlines limits reads and writes of a stalled connection, which the
// context cannot cancel. Writers that do not support deadlines are ignored.
func (s *Server) setConnectionDeadlines(w http.ResponseWriter, timeout time.Duration) {
	rc, deadline := http.NewResponseController(w), s.Timer.Wall().Add(timeout)
	_ = rc.SetReadDeadline(deadline)
	_ = rc.SetWriteDeadline(deadline.Add(responseGrace))
}

// millisecondsHeader parses a header with a number of milliseconds. It returns zero
// if the header is missing.
func (q operatorRequest) millisecondsHeader(header string, maximum time.Duration) (time.Duration, error) {
	text := q.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	d := time.Duration(n) * time.Millisecond
	if err != nil || d > maximum {
		return 0, notRunError(http.StatusBadRequest, "header", header+" must be a number of milliseconds, at most "+
			strconv.FormatInt(maximum.Milliseconds(), 10))
	}
	return d, nil
}

// allowedService returns the service in the path if the operator may access it.
func (q operatorRequest) allowedService() (document.Service, error) {
	name := document.Service(q.PathValue("service"))
	if !q.operator.Allows(name) {
		return "", notRunError(http.StatusForbidden, "permission", "the credential does not list this service")
	}
	return name, nil
}

// queryNumber parses a numeric query parameter. It returns defaultValue if the
// parameter is missing.
func (q operatorRequest) queryNumber(name string, defaultValue, maximum uint64) (uint64, error) {
	text := q.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > maximum {
		return 0, notRunError(http.StatusBadRequest, name, name+" must be a number of at most "+strconv.FormatUint(maximum, 10))
	}
	return n, nil
}

// writeJSON writes a value as a JSON response.
func writeJSON(w http.ResponseWriter, status int, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n')) // a write error means that the client is gone
	return nil
}
