package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/config/problem"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// The limits of lists.
const (
	usualHistory = 20
	maxHistory   = 1000
)

var changePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// applied is the answer to an accepted change.
type applied struct {
	Service  document.Service `json:"service"`
	Revision uint64           `json:"revision"`
	Repeated bool             `json:"repeated"`
	InForce  bool             `json:"inforce"`
	Elapsed  uint32           `json:"elapsed"`
}

// apply makes a change of a document.
func (s *Server) apply(ctx context.Context, w http.ResponseWriter, c call) error {
	service, err := c.allowed()
	if err != nil {
		return err
	}
	r, err := s.change(w, c, service)
	if err != nil {
		return err
	}
	a, err := s.Control.Apply(ctx, r)
	if err != nil {
		metric.Int("operator.refused").Add(1)
		return s.conflict(ctx, service, a, err)
	}
	metric.Int("operator.accepted").Add(1)
	s.Log.Info("document accepted", zap.String("service", r.Service), zap.Uint64("revision", a.Revision),
		zap.String("operator", r.Operator), zap.String("change", r.Change), zap.Bool("repeated", a.Repeated))
	w.Header().Set("ETag", tag(a.Revision))
	return answer(w, http.StatusOK, applied{service, a.Revision, a.Repeated, a.Inforce, a.Elapsed})
}

// change reads the request for a change and refuses a malformed one.
func (s *Server) change(w http.ResponseWriter, c call, service document.Service) (*wire.ApplyRequest, error) {
	base, err := revision(c.Header.Get("If-Match"))
	if err != nil {
		return nil, err
	}
	id := c.Header.Get(headerChange)
	if !changePattern.MatchString(id) {
		return nil, refusal(http.StatusBadRequest, "change", headerChange+" must hold 1 to 64 letters, digits, dots, dashes or underscores")
	}
	wait, err := c.milliseconds(headerWait, maxWait)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, c.Body, problem.MaxFileBytes))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, refusal(http.StatusRequestEntityTooLarge, "large", "a document may have at most "+strconv.Itoa(problem.MaxFileBytes)+" bytes")
		}
		return nil, refusal(http.StatusBadRequest, "body", "the document was not received completely")
	}
	if err = check(service, text); err != nil {
		return nil, err
	}
	return &wire.ApplyRequest{
		Service: string(service), Base: base, Change: id, Text: text,
		Operator: c.operator.Name, Wait: uint32(wait.Milliseconds()),
	}, nil
}

// check refuses a document with problems or of another service.
func check(service document.Service, text []byte) error {
	err := document.Validate(string(service), text)
	if err == nil {
		return nil
	}
	f := refusal(http.StatusUnprocessableEntity, "document", "the document has problems")
	var e *problem.Error
	if errors.As(err, &e) {
		f.Problems = e.Problems
	}
	return f
}

// conflict adds the current revision to the error of a change that came too late.
func (s *Server) conflict(ctx context.Context, service document.Service, a *wire.ApplyReply, err error) error {
	if !errors.Is(err, control.ErrConflict) {
		return err
	}
	f := asFault(err)
	if f.Revision = a.GetFault().GetRevision(); f.Revision == 0 {
		if r, err := s.Control.Show(ctx, &wire.ShowRequest{Service: string(service)}); err == nil && len(r.Documents) > 0 {
			f.Revision = r.Documents[0].Revision
		}
	}
	return f
}

// revision reads an entity tag such as "12"; "0" stands for a document that does not exist yet.
func revision(text string) (uint64, error) {
	if text == "" {
		return 0, refusal(http.StatusPreconditionRequired, "base", `If-Match must hold the base revision, as in "12"; "0" creates the document`)
	}
	n, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, refusal(http.StatusBadRequest, "base", `If-Match must hold one revision, as in "12"`)
	}
	return n, nil
}

func tag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// show sends the text of a document as it was accepted; what is known about it
// stands in headers.
func (s *Server) show(ctx context.Context, w http.ResponseWriter, c call) error {
	service, err := c.allowed()
	if err != nil {
		return err
	}
	number, err := c.number("revision", 0, 1<<63)
	if err != nil {
		return err
	}
	r, err := s.Control.Show(ctx, &wire.ShowRequest{Service: string(service), Revision: number})
	if err != nil {
		return reading(err)
	}
	if len(r.Documents) == 0 {
		return refusal(http.StatusNotFound, "missing", "there is no such document")
	}
	d := r.Documents[0]
	h := w.Header()
	h.Set("ETag", tag(d.Revision))
	h.Set(headerChange, d.Change)
	h.Set(headerOperator, d.Operator)
	h.Set(headerDigest, d.Digest)
	h.Set(headerInstant, strconv.FormatInt(d.Instant, 10))
	h.Set("Content-Type", "application/json")
	_, _ = w.Write(d.Text)
	return nil
}

// version is one element of a history.
type version struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	Operator string `json:"operator"`
	Change   string `json:"change"`
	// Instant is the leader's wall clock in milliseconds since 1970.
	Instant  int64           `json:"instant"`
	Document json.RawMessage `json:"document,omitempty"`
}

// history lists the versions of a document.
func (s *Server) history(ctx context.Context, w http.ResponseWriter, c call) error {
	service, err := c.allowed()
	if err != nil {
		return err
	}
	limit, err := c.number("limit", usualHistory, maxHistory)
	if err != nil {
		return err
	}
	r, err := s.Control.History(ctx, &wire.HistoryRequest{Service: string(service), Limit: uint32(limit)})
	if err != nil {
		return reading(err)
	}
	list := make([]version, 0, len(r.Documents))
	for _, d := range r.Documents {
		list = append(list, version{d.Revision, d.Digest, d.Operator, d.Change, d.Instant, d.Text})
	}
	return answer(w, http.StatusOK, map[string]any{"service": service, "documents": list})
}
