package caller

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

// upstreamFailed handles an error response of the upstream. The response is kept and not
// relayed if the request may still go to another upstream.
func (e *exchange) upstreamFailed() action {
	e.outcome = balancer.Failed
	body, err := e.response.ReadAll()
	if err != nil {
		return e.interrupted(err)
	}
	e.failureStatus, e.failureHeader, e.failureBody = e.response.Status, e.response.Header, body
	e.log("upstream failed", zap.String("upstream", e.target.ID), zap.Int("status", e.failureStatus))
	transient := e.failureStatus >= 500 || statesNotRun(e.failureStatus)
	if e.responseStarted || (transient && e.route.Retryable()) {
		body.AllowEviction()
		return actionRetryExecuted
	}
	defer body.Close()
	e.relayFailure()
	return actionDone
}

// relayFailure relays the kept error response to the caller. The upstream has run the request, or may have: a
// status that states the opposite is replaced.
func (e *exchange) relayFailure() {
	if statesNotRun(e.failureStatus) {
		e.failRequest(http.StatusBadGateway, "the upstream failed with status "+strconv.Itoa(e.failureStatus))
		return
	}
	e.writeResponse(e.failureStatus, e.failureHeader, e.failureBody)
}

// relayBuffered reads the whole response before it relays it.
func (e *exchange) relayBuffered() action {
	body, err := e.response.ReadAll()
	if err != nil {
		return e.interrupted(err)
	}
	defer body.Close()
	e.outcome = balancer.Succeeded
	e.writeResponse(e.response.Status, e.response.Header, body)
	return actionDone
}

// closeFailure gives back the memory of an error response that is not relayed.
func (e *exchange) closeFailure() {
	if e != nil {
		e.failureBody.Close()
	}
}

// writeResponse writes a complete response of an upstream to the caller.
func (q *request) writeResponse(status int, header http.Header, body *upstream.Body) {
	if n := body.Size(); n >= minHeldResponse {
		if err := q.memory.Reserve(memory.Response, memory.Bytes(n)); err != nil {
			q.failRequest(http.StatusBadGateway, "memory is short")
			return
		}
	}
	q.copyHeader(header)
	q.writer.Header().Set("Content-Length", strconv.Itoa(body.Size()))
	q.writer.WriteHeader(status)
	q.markResponseStarted()
	q.metrics.Responses.Add(1)
	if err := q.writeBody(body); err != nil {
		q.log("client disconnected during the response", journal.Error(err))
	}
}

// markResponseStarted records the time of the first byte to the caller.
func (q *request) markResponseStarted() {
	q.responseStarted = true
	q.memory.SetPhase(memory.Writing)
	q.timeToFirstByte = q.Timer.Now().Sub(q.arrived)
	q.metrics.TimeToFirstByte.record(q.timeToFirstByte)
}

// copyHeader copies the response headers that are relayed to the caller.
func (q *request) copyHeader(header http.Header) {
	out := q.writer.Header()
	for name, values := range upstream.ResponseHeaders(header) {
		out[name] = values
	}
}

// relayStream relays events as they arrive.
func (e *exchange) relayStream() action {
	flusher, _ := e.writer.(http.Flusher)
	events := upstream.NewEventReader(e.response)
	firstID, firstAt := int64(-1), timer.Instant(0)
	for resumed := e.responseStarted; ; {
		b, id, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return e.interrupted(err)
		}
		if resumed && id >= 0 {
			if upstream.FirstID(b) <= e.lastEventID {
				return e.interrupted(errors.Wrap(upstream.ErrResponseMismatch, "stream is not resumed after the last event"))
			}
			resumed = false
		}
		// The headers are sent with the first event. If the upstream fails before it, the
		// request can go to another upstream without the caller noticing.
		if !e.responseStarted && (len(b) > 0 || err != nil) {
			e.copyHeader(e.response.Header)
			e.writer.WriteHeader(e.response.Status)
			e.markResponseStarted()
		}
		if len(b) > 0 {
			if _, writeErr := e.writer.Write(b); writeErr != nil {
				e.log("client disconnected during the response", zap.Int64("position", e.lastEventID), journal.Error(writeErr))
				return actionDone
			}
			if id >= 0 {
				e.lastEventID = id
			}
			flusher.Flush()
			if len(e.body) > 1 {
				e.memory.Progress()
			}
			switch {
			case firstAt == 0:
				firstID, firstAt = e.lastEventID, e.Timer.Now()
			case firstID >= 0 && e.lastEventID >= firstID+eventGapSample:
				e.recordEventGap(e.lastEventID-firstID, firstAt)
				firstID = -1
			}
		}
		if err != nil {
			e.outcome = balancer.Succeeded
			e.metrics.Responses.Add(1)
			return actionDone
		}
	}
}
