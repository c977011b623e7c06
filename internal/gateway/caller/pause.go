package caller

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/kernel/retryafter"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

// statement is the head of a response in which an upstream may state that it leaves or wants a pause.
type statement struct {
	*Handler
	upstream string
	born     int64
	status   int
	header   http.Header
	log      func(message string, fields ...zap.Field)
}

// statement returns the head of the response.
func (e *exchange) statement() *statement {
	return &statement{e.Handler, e.target.ID, e.target.Born, e.response.Status, e.response.Header, e.log}
}

// ReadResponse reads what an upstream states in a response to a request of another instance, which uses
// a connection of this one.
func (h *Handler) ReadResponse(id string, born int64, r *http.Response) {
	s := &statement{h, id, born, r.StatusCode, r.Header, h.Log.With(zap.Bool("tunnel", true)).Info}
	s.readLeaving()
	s.readPause()
}

// Closed returns how long an upstream wants no requests of this instance; 0 if it takes some.
func (h *Handler) Closed(id string, born int64) time.Duration { return h.Balancer.Closed(id, born) }

// Refusal returns the response to a request of another instance that was not sent to its upstream.
func (h *Handler) Refusal(wait time.Duration) []byte {
	return []byte("HTTP/1.1 503 Service Unavailable\r\n" + h.Protocol.NotExecuted + ": 1\r\nRetry-After: " +
		strconv.FormatFloat(wait.Seconds(), 'f', 3, 64) + "\r\nContent-Length: 0\r\n\r\n")
}

// readPause reads how long an upstream that refused the request, or failed, wants no requests of this
// instance.
func (s *statement) readPause() {
	value := s.header.Get("Retry-After")
	if value == "" || s.status != http.StatusServiceUnavailable {
		return
	}
	d, err := retryafter.Parse(value)
	if err != nil {
		s.log("upstream asks for an invalid pause", zap.String("upstream", s.upstream), zap.String("value", value), journal.Error(err))
	}
	s.metrics.Pauses.Add(1)
	since := s.Balancer.Pause(s.upstream, s.born, d)
	s.log("upstream asks for a pause", zap.String("upstream", s.upstream), zap.Int64("born", s.born), zap.String("value", value),
		zap.Duration("pause", d), zap.Duration("since", since))
}

// awaitPauseEnd waits for the end of a pause. It returns false if the request was refused before, or
// if its time ends earlier or too many others wait.
func (q *request) awaitPauseEnd(wait time.Duration, refused bool) bool {
	q.pauseWait = wait
	defer q.waitingForRoom.Add(-1)
	if q.waitingForRoom.Add(1) > maxWaitingForRoom || refused || wait >= q.remaining()-minRemaining {
		return false
	}
	if timer.Sleep(q.ctx, q.Timer, wait) != nil {
		return false
	}
	q.pauseWait = 0
	return true
}
