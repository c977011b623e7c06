package caller

import (
	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/gateway/httpserver"
)

// errStopping is the cancellation cause of a request that ends because the instance stops.
var errStopping = errors.New("instance is stopping")

// Drain closes each connection after its next response.
func (h *Handler) Drain() { h.draining.Store(true) }

// RejectNew rejects all new requests; their responses say that the request was not executed.
func (h *Handler) RejectNew() { h.rejecting.Store(true) }

// RejectWaiting rejects the requests that wait for their body, for room or a permit at an upstream, or to be sent
// to another one, and lets no request be sent any more. What can't be answered before the instance ends must
// not begin.
func (h *Handler) RejectWaiting() {
	h.finishing.Store(true)
	h.endAll(func(q *request) bool { return !q.sent.Load() })
}

// AnswerAll ends all requests in progress: those whose response has not started get a final answer.
func (h *Handler) AnswerAll() { h.endAll(func(*request) bool { return true }) }

// endAll ends some of the requests in progress.
func (h *Handler) endAll(selected func(q *request) bool) {
	h.progressMu.Lock()
	defer h.progressMu.Unlock()
	for q := range h.inProgress {
		if selected(q) {
			q.end(errStopping)
		}
	}
}

// begin adds a request to those in progress. The returned function must be called at its end.
func (q *request) begin() (done func()) {
	q.running.Add(1)
	q.progressMu.Lock()
	defer q.progressMu.Unlock()
	q.inProgress[q] = struct{}{}
	return func() {
		q.progressMu.Lock()
		defer q.progressMu.Unlock()
		delete(q.inProgress, q)
		q.running.Add(-1)
	}
}

// end cancels the request, and the reading of its body.
func (q *request) end(cause error) {
	q.cancel(cause)
	if q.readingBody.Load() {
		httpserver.StopReading(q.writer)
	}
}
