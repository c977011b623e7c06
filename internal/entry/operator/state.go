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
	defaultLedgerLimit = 1000
	maxLedgerLimit     = 10_000
	// pollInterval is the time between two status polls of a watch. With 12,000
	// upstreams, a status has several megabytes, so all watches of an instance share it.
	pollInterval = 250 * time.Millisecond
	// statusTimeout is shorter than an election may take, so that a watch reports the
	// election as unavailability.
	statusTimeout = time.Second
	// writeTimeout ends a watch whose client has stopped reading.
	writeTimeout = 10 * time.Second
	// keepAlivePolls is the number of polls without a new event after which a watch
	// sends a comment to keep its connection open.
	keepAlivePolls = 20
)

// readOnlyError converts the error of a read-only request. If the outcome is unknown,
// it is reported as not run, because such a request can be retried safely.
func readOnlyError(err error) error {
	f := toAPIError(err)
	if f.Outcome == outcomeUnknown {
		f.status, f.Code, f.Outcome = http.StatusServiceUnavailable, "unavailable", outcomeNotRun
	}
	return f
}

// status sends the status of the control service.
func (s *Server) status(ctx context.Context, w http.ResponseWriter, _ operatorRequest) error {
	r, err := s.Control.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return readOnlyError(err)
	}
	value, err := EncodeReply(r)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, value)
}

// ledger sends the totals and charges of the services that the operator may access.
func (s *Server) ledger(ctx context.Context, w http.ResponseWriter, q operatorRequest) error {
	limit, err := q.queryNumber("limit", defaultLedgerLimit, maxLedgerLimit)
	if err != nil {
		return err
	}
	r, err := s.Control.Ledger(ctx, &wire.LedgerRequest{Account: q.URL.Query().Get("account"), Limit: uint32(limit)})
	if err != nil {
		return readOnlyError(err)
	}
	visible := &wire.LedgerReply{
		Totals: slices.DeleteFunc(slices.Clone(r.Totals), func(t *wire.Total) bool {
			return !q.operator.Allows(document.Service(t.Service))
		}),
		Charges: slices.DeleteFunc(slices.Clone(r.Charges), func(x *wire.ChargeRequest) bool {
			return !q.operator.Allows(document.Service(x.Service))
		}),
	}
	value, err := EncodeReply(visible)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, value)
}

// drain starts to drain an instance or, with off=true, ends the drain.
func (s *Server) drain(ctx context.Context, w http.ResponseWriter, q operatorRequest) error {
	off := q.URL.Query().Get("off")
	if off != "" && off != "true" && off != "false" {
		return notRunError(http.StatusBadRequest, "off", "off must be true or false")
	}
	r := &wire.DrainRequest{Instance: q.PathValue("instance"), Off: off == "true"}
	if _, err := s.Control.Drain(ctx, r); err != nil {
		return err
	}
	s.Log.Info("drain", zap.String("drained", r.Instance), zap.Bool("off", r.Off), zap.String("operator", q.operator.Name))
	return writeJSON(w, http.StatusOK, map[string]any{"instance": r.Instance, "draining": !r.Off})
}

// liftWaitMillis limits the wait until all entries know that a quarantine was lifted.
const liftWaitMillis = 3000

// quarantine lifts the quarantine of a request.
func (s *Server) quarantine(ctx context.Context, w http.ResponseWriter, q operatorRequest) error {
	if q.URL.Query().Get("off") != "true" {
		return notRunError(http.StatusBadRequest, "off", "off must be true: requests get into quarantine by crashes only")
	}
	name := q.PathValue("fingerprint")
	_, err := s.Control.Suspect(ctx, &wire.SuspectRequest{
		Move: wire.Move_MOVE_LIFT, Suspects: []*wire.Suspect{{Fingerprint: name}}, Wait: liftWaitMillis,
	})
	if err != nil {
		return err
	}
	s.Log.Info("quarantine lifted", zap.String("fingerprint", name), zap.String("operator", q.operator.Name))
	return writeJSON(w, http.StatusOK, map[string]any{"fingerprint": name, "quarantined": false})
}

// watch sends an event whenever the accepted revision or the revision in force changes.
func (s *Server) watch(ctx context.Context, w http.ResponseWriter, _ operatorRequest) error {
	select {
	case s.watches <- struct{}{}:
		defer func() { <-s.watches }()
	default:
		return errors.Wrapf(control.ErrUnavailable, "%d watches are open", maxWatches)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	wt := &watcher{server: s, writer: w, control: http.NewResponseController(w)}
	wt.run(ctx)
	return nil
}

// cachedStatus is the status event that all watches share, so that the load on the
// leader does not grow with their number.
type cachedStatus struct {
	mu        sync.Mutex
	event     string
	fetchedAt timer.Instant
}

// statusEvent returns the event with the current status. It may be cached, but is
// less than one poll interval old.
func (s *Server) statusEvent(ctx context.Context) string {
	s.statusCache.mu.Lock()
	defer s.statusCache.mu.Unlock()
	now := s.Timer.Now()
	if s.statusCache.event != "" && now.Sub(s.statusCache.fetchedAt) < pollInterval*3/4 {
		return s.statusCache.event
	}
	ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), s.Timer, statusTimeout)
	defer cancel()
	s.statusCache.event, s.statusCache.fetchedAt = "event: unavailable\ndata: {}\n\n", now
	if r, err := s.Control.Status(ctx, &wire.StatusRequest{}); err == nil {
		s.statusCache.event = fmt.Sprintf("event: revision\ndata: {\"revision\":%d,\"inforce\":%d}\n\n", r.Revision, r.Inforce)
	}
	return s.statusCache.event
}

// watcher is one open watch.
type watcher struct {
	server         *Server
	writer         http.ResponseWriter
	control        *http.ResponseController
	lastEvent      string
	unchangedPolls int
}

// run sends events until the client leaves, a write fails or watches are closed.
func (wt *watcher) run(ctx context.Context) {
	ticks := wt.server.Timer.Subscribe(pollInterval)
	defer ticks.Stop()
	for wt.send(wt.server.statusEvent(ctx)) == nil {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		case <-wt.server.done:
			return
		}
	}
}

// send writes the event if it differs from the last one, or a comment if no event was
// sent for keepAlivePolls polls.
func (wt *watcher) send(event string) error {
	if event == wt.lastEvent {
		if wt.unchangedPolls++; wt.unchangedPolls < keepAlivePolls {
			return nil
		}
		event = ": open\n\n"
	} else {
		wt.lastEvent = event
	}
	wt.unchangedPolls = 0
	// The error means that the writer does not support deadlines, as in tests.
	_ = wt.control.SetWriteDeadline(wt.server.Timer.Wall().Add(writeTimeout))
	if _, err := fmt.Fprint(wt.writer, event); err != nil {
		return err
	}
	return wt.control.Flush()
}
