package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/config/problem"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/observe/metric"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

// The default and maximum lengths of a history.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// applyResponse is the response to an accepted change of a document. Elapsed is the time
// in milliseconds from the commit until the change was in force.
type applyResponse struct {
	Service  document.Service `json:"service"`
	Revision uint64           `json:"revision"`
	Repeated bool             `json:"repeated"`
	InForce  bool             `json:"inforce"`
	Elapsed  uint32           `json:"elapsed"`
}

// apply applies a change of a document.
func (s *Server) apply(ctx context.Context, w http.ResponseWriter, q operatorRequest) error {
	service, err := q.allowedService()
	if err != nil {
		return err
	}
	r, err := s.parseApply(w, q, service)
	if err != nil {
		return err
	}
	a, err := s.Control.Apply(ctx, r)
	if err != nil {
		metric.Int("operator.refused").Add(1)
		return s.withCurrentRevision(ctx, service, a, err)
	}
	metric.Int("operator.accepted").Add(1)
	s.Log.Info("document accepted", zap.String("service", r.Service), zap.Uint64("revision", a.Revision),
		zap.String("operator", r.Operator), zap.String("change", r.Change), zap.Bool("repeated", a.Repeated))
	w.Header().Set("ETag", formatETag(a.Revision))
	return writeJSON(w, http.StatusOK, applyResponse{service, a.Revision, a.Repeated, a.Inforce, a.Elapsed})
}

// parseApply parses and validates the request for a change of a document.
func (s *Server) parseApply(w http.ResponseWriter, q operatorRequest, service document.Service) (*wire.ApplyRequest, error) {
	base, err := parseETag(q.Header.Get("If-Match"))
	if err != nil {
		return nil, err
	}
	id := q.Header.Get(headerChange)
	if !changeIDPattern.MatchString(id) {
		return nil, notRunError(http.StatusBadRequest, "change", headerChange+" must hold 1 to 64 letters, digits, dots, dashes or underscores")
	}
	wait, err := q.millisecondsHeader(headerWait, maxWait)
	if err != nil {
		return nil, err
	}
	held := memory.FromContext(q.Context())
	text, err := held.ReadWhole(memory.Call, http.MaxBytesReader(w, q.Body, problem.MaxFileBytes), q.ContentLength, problem.MaxFileBytes)
	if err != nil {
		var large *http.MaxBytesError
		if errors.Is(err, memory.ErrShort) {
			return nil, err
		}
		if errors.As(err, &large) || errors.Is(err, memory.ErrTooLong) {
			return nil, notRunError(http.StatusRequestEntityTooLarge, "large", "a document may have at most "+strconv.Itoa(problem.MaxFileBytes)+" bytes")
		}
		return nil, notRunError(http.StatusBadRequest, "body", "the document was not received completely")
	}
	if err := reserveDecoded(held, text); err != nil {
		return nil, err
	}
	if err = validateDocument(service, text); err != nil {
		return nil, err
	}
	return &wire.ApplyRequest{
		Service: string(service), Base: base, Change: id, Text: text,
		Operator: q.operator.Name, Wait: uint32(wait.Milliseconds()),
	}, nil
}

// reserveDecoded accounts for what a document takes once it is decoded.
func reserveDecoded(held *memory.Connection, text []byte) error {
	n := memory.DecodedBytes(text)
	err := held.ReserveDecoded(memory.Call, text, n)
	if errors.Is(err, memory.ErrNeverFits) {
		return notRunError(http.StatusRequestEntityTooLarge, "large", "the document takes about "+strconv.FormatInt(int64(n), 10)+
			" bytes once it is decoded, more than the instance holds for clients")
	}
	return err
}

// validateDocument rejects a document that has problems or belongs to another service.
func validateDocument(service document.Service, text []byte) error {
	err := document.Validate(string(service), text)
	if err == nil {
		return nil
	}
	f := notRunError(http.StatusUnprocessableEntity, "document", "the document has problems")
	var e *problem.Error
	if errors.As(err, &e) {
		f.Problems = e.Problems
	}
	return f
}

// withCurrentRevision adds the document's current revision to the error of a change
// whose base revision is outdated. Other errors are returned unchanged.
func (s *Server) withCurrentRevision(ctx context.Context, service document.Service, a *wire.ApplyReply, err error) error {
	if !errors.Is(err, control.ErrConflict) {
		return err
	}
	f := toAPIError(err)
	if f.Revision = a.GetFault().GetRevision(); f.Revision == 0 {
		if r, err := s.Control.Show(ctx, &wire.ShowRequest{Service: string(service)}); err == nil && len(r.Documents) > 0 {
			f.Revision = r.Documents[0].Revision
		}
	}
	return f
}

// parseETag parses an entity tag such as "12". "0" stands for a document that does
// not exist yet.
func parseETag(text string) (uint64, error) {
	if text == "" {
		return 0, notRunError(http.StatusPreconditionRequired, "base", `If-Match must hold the base revision, as in "12"; "0" creates the document`)
	}
	n, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, notRunError(http.StatusBadRequest, "base", `If-Match must hold one revision, as in "12"`)
	}
	return n, nil
}

func formatETag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// show sends the text of a document as it was accepted, and its metadata in headers.
func (s *Server) show(ctx context.Context, w http.ResponseWriter, q operatorRequest) error {
	service, err := q.allowedService()
	if err != nil {
		return err
	}
	number, err := q.queryNumber("revision", 0, 1<<63)
	if err != nil {
		return err
	}
	r, err := s.Control.Show(ctx, &wire.ShowRequest{Service: string(service), Revision: number})
	if err != nil {
		return readOnlyError(err)
	}
	if len(r.Documents) == 0 {
		return notRunError(http.StatusNotFound, "missing", "there is no such document")
	}
	d := r.Documents[0]
	h := w.Header()
	h.Set("ETag", formatETag(d.Revision))
	h.Set(headerChange, d.Change)
	h.Set(headerOperator, d.Operator)
	h.Set(headerDigest, d.Digest)
	h.Set(headerInstant, strconv.FormatInt(d.Instant, 10))
	h.Set("Content-Type", "application/json")
	_, _ = w.Write(d.Text)
	return nil
}

// documentVersion is one element of a document's history.
type documentVersion struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	Operator string `json:"operator"`
	Change   string `json:"change"`
	// Instant is the leader's wall clock time in milliseconds since the Unix epoch.
	Instant  int64           `json:"instant"`
	Document json.RawMessage `json:"document,omitempty"`
}

// history lists the versions of a document.
func (s *Server) history(ctx context.Context, w http.ResponseWriter, q operatorRequest) error {
	service, err := q.allowedService()
	if err != nil {
		return err
	}
	limit, err := q.queryNumber("limit", defaultHistoryLimit, maxHistoryLimit)
	if err != nil {
		return err
	}
	r, err := s.Control.History(ctx, &wire.HistoryRequest{Service: string(service), Limit: uint32(limit)})
	if err != nil {
		return readOnlyError(err)
	}
	list := make([]documentVersion, 0, len(r.Documents))
	for _, d := range r.Documents {
		list = append(list, documentVersion{d.Revision, d.Digest, d.Operator, d.Change, d.Instant, d.Text})
	}
	return writeJSON(w, http.StatusOK, map[string]any{"service": service, "documents": list})
}
