package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/document"
	"wisteriakeel.example/wisteriakeel/internal/entry/control"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/control"
)

const (
	usualCharges = 1000
	maxCharges   = 10_000
	// pollInterval is the time between two looks of a watch at the status. At 12,000
	// upstreams a status is some megabytes, so all watches of an instance share one.
	pollInterval = 250 * time.Millisecond
	// statusTimeout is less than an election may take, so that a watch tells of it.
	statusTimeout = time.Second
	// writeTimeout ends a watch whose connection takes nothing any more.
	writeTimeout = 10 * time.Second
	// silence is the number of polls after which a comment keeps the stream open.
	silence = 20
)

// reading maps the error of a request that changes nothing: whatever happened to
// it, it may be sent again.
func reading(err error) error {
	f := asFault(err)
	if f.Outcome == outcomeUnknown {
		f.status, f.Code, f.Outcome = http.StatusServiceUnavailable, "unavailable", outcomeNotRun
	}
	return f
}

func (s *Server) status(ctx context.Context, w http.ResponseWriter, _ call) error {
	r, err := s.Control.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return reading(err)
	}
	value, err := EncodeReply(r)
	if err != nil {
		return err
	}
	return answer(w, http.StatusOK, value)
}

// ledger sends totals and charges of the services that the credential lists.
func (s *Server) ledger(ctx context.Context, w http.ResponseWriter, c call) error {
	limit, err := c.number("limit", usualCharges, maxCharges)
	if err != nil {
		return err
	}
	r, err := s.Control.Ledger(ctx, &wire.LedgerRequest{Account: c.URL.Query().Get("account"), Limit: uint32(limit)})
	if err != nil {
		return reading(err)
	}
	seen := &wire.LedgerReply{
		Totals: slices.DeleteFunc(slices.Clone(r.Totals), func(t *wire.Total) bool {
			return !c.operator.Allows(document.Service(t.Service))
		}),
		Charges: slices.DeleteFunc(slices.Clone(r.Charges), func(x *wire.ChargeRequest) bool {
			return !c.operator.Allows(document.Service(x.Service))
		}),
	}
	value, err := EncodeReply(seen)
	if err != nil {
		return err
	}
	return answer(w, http.StatusOK, value)
}

// drain takes an instance out of service, or with off=true back into it.
func (s *Server) drain(ctx context.Context, w http.ResponseWriter, c call) error {
	off := c.URL.Query().Get("off")
	if off != "" && off != "true" && off != "false" {
		return refusal(http.StatusBadRequest, "off", "off must be true or false")
	}
	r := &wire.DrainRequest{Instance: c.PathValue("instance"), Off: off == "true"}
	if _, err := s.Control.Drain(ctx, r); err != nil {
		return err
	}
	s.Log.Info("drain", zap.String("drained", r.Instance), zap.Bool("off", r.Off), zap.String("operator", c.operator.Name))
	return answer(w, http.StatusOK, map[string]any{"instance": r.Instance, "draining": !r.Off})
}

// liftWait bounds the wait in milliseconds until all entries know of a lift.
const liftWait = 3000

// quarantine ends the quarantine of a request.
func (s *Server) quarantine(ctx context.Context, w http.ResponseWriter, c call) error {
	if c.URL.Query().Get("off") != "true" {
		return refusal(http.StatusBadRequest, "off", "off must be true: requests get into quarantine by crashes only")
	}
	name := c.PathValue("fingerprint")
	_, err := s.Control.Suspect(ctx, &wire.SuspectRequest{
		Move: wire.Move_MOVE_LIFT, Suspects: []*wire.Suspect{{Fingerprint: name}}, Wait: liftWait,
	})
	if err != nil {
		return err
	}
	s.Log.Info("quarantine lifted", zap.String("fingerprint", name), zap.String("operator", c.operator.Name))
	return answer(w, http.StatusOK, map[string]any{"fingerprint": name, "quarantined": false})
}

// watch sends an event whenever the accepted revision or the one in force changes.
func (s *Server) watch(ctx context.Context, w http.ResponseWriter, _ call) error {
	select {
	case s.watches <- struct{}{}:
		defer func() { <-s.watches }()
	default:
		return errors.Wrapf(control.ErrUnavailable, "%d watches are open", maxWatches)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	v := &watcher{server: s, writer: w, control: http.NewResponseController(w)}
	v.loop(ctx)
	return nil
}

// snapshot is the status that all watches share, so that their number does not
// add to what the leader has to answer.
type snapshot struct {
	mu    sync.Mutex
	event string
	at    timer.Instant
}

// event returns the event that tells the status, less than one interval old.
func (s *Server) event(ctx context.Context) string {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	now := s.Timer.Now()
	if s.shared.event != "" && now.Sub(s.shared.at) < pollInterval*3/4 {
		return s.shared.event
	}
	ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), s.Timer, statusTimeout)
	defer cancel()
	s.shared.event, s.shared.at = "event: unavailable\ndata: {}\n\n", now
	if r, err := s.Control.Status(ctx, &wire.StatusRequest{}); err == nil {
		s.shared.event = fmt.Sprintf("event: revision\ndata: {\"revision\":%d,\"inforce\":%d}\n\n", r.Revision, r.Inforce)
	}
	return s.shared.event
}

// watcher is one open watch.
type watcher struct {
	server  *Server
	writer  http.ResponseWriter
	control *http.ResponseController
	last    string
	quiet   int
}

func (v *watcher) loop(ctx context.Context) {
	ticks := v.server.Timer.Subscribe(pollInterval)
	defer ticks.Stop()
	for v.send(v.server.event(ctx)) == nil {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		case <-v.server.done:
			return
		}
	}
}

// send writes the event if it is new, or a comment after a long silence.
func (v *watcher) send(event string) error {
	if event == v.last {
		if v.quiet++; v.quiet < silence {
			return nil
		}
		event = ": open\n\n"
	} else {
		v.last = event
	}
	v.quiet = 0
	// A writer without deadlines, as in tests, is written to without one.
	_ = v.control.SetWriteDeadline(v.server.Timer.Wall().Add(writeTimeout))
	if _, err := fmt.Fprint(v.writer, event); err != nil {
		return err
	}
	return v.control.Flush()
}
