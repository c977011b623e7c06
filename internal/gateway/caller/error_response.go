package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wisteriakeel.example/wisteriakeel/internal/fleet/suspect"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

// errTimeout is the cancellation cause of a context whose request exceeded its time limit.
var errTimeout = errors.New("time limit of the request")

const (
	// retryAfterLeaderChange is used where the condition may be gone soon: a leader election
	// takes about a second.
	retryAfterLeaderChange = 400 * time.Millisecond
	// retryOtherInstance is used where another instance can serve the request at once.
	retryOtherInstance = 20 * time.Millisecond
	// retryAfterOverload gives the upstreams time to drain much of their queues.
	retryAfterOverload = 700 * time.Millisecond
	// retryAfterUnconnected is the time in which a few calls end, each of which has a connection. Calls of
	// plain services take some 30 ms.
	retryAfterUnconnected = 100 * time.Millisecond
	// retryAfterEvacuation bounds what callers resend while no upstream is left outside of evacuated zones.
	// Evacuations last for minutes, but upstreams in other zones may be started meanwhile.
	retryAfterEvacuation = time.Second
	// retryAfterQuarantine is longer than most requests last, since a quarantine has no end of
	// its own.
	retryAfterQuarantine = time.Minute
)

// statesNotRun reports whether a status states that the request has not run and never will. By it callers decide
// whether to repeat a request that may run once. Upstreams state the same by a header of its own only, see
// upstream.Protocol.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// reject answers a request that was not executed and will not be. A positive retryAfter
// is sent with up to 100% jitter, so that rejected callers do not all return at once.
// It always returns false, for use as a return value of the admission checks.
func (q *request) reject(status int, reason string, retryAfter time.Duration) bool {
	return q.rejectUntil(status, reason, retryAfter+time.Duration(q.randomFloat()*float64(retryAfter)))
}

// rejectUntil is reject with a Retry-After that is not spread. 0 sends none.
func (q *request) rejectUntil(status int, reason string, retryAfter time.Duration) bool {
	q.metrics.Rejections.Add(1)
	if retryAfter > 0 {
		q.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	q.log("refused", zap.Int("status", status), zap.String("reason", reason), zap.Duration("retry", retryAfter))
	q.writeError(status, reason, "not run")
	return false
}

// rejectPart answers a request that was not executed because of a part of its prompt. Like reject,
// it returns false.
func (q *request) rejectPart(p suspect.Part) bool {
	q.log("quarantined", zap.String("part", string(p)))
	return q.reject(http.StatusServiceUnavailable, "a part of the prompt crashed several upstreams", retryAfterQuarantine)
}

// isQuarantined reports whether the request is in quarantine itself or because of a part of its prompt.
func (q *request) isQuarantined() bool {
	_, part := q.View.QuarantinedPart(q.sharedParts)
	return part || q.View.Quarantined(q.fingerprint)
}

// rejectQuarantined answers a request that is in quarantine itself or because of a part of its prompt.
// Like reject, it returns false.
func (q *request) rejectQuarantined() bool {
	if q.View.Quarantined(q.fingerprint) {
		q.log("quarantined")
		q.failRequest(http.StatusBadGateway, "request crashed several upstreams and is not run again")
		return false
	}
	p, _ := q.View.QuarantinedPart(q.sharedParts)
	return q.rejectPart(p)
}

// failRequest answers a request that was or may have been executed, without success.
func (q *request) failRequest(status int, reason string) {
	q.metrics.Failures.Add(1)
	q.log("failed", zap.Int("status", status), zap.String("reason", reason))
	q.writeError(status, reason, "unknown")
}

// writeError writes an error response of the gateway itself. Once the request may have run, none states that
// it has not.
func (q *request) writeError(status int, reason, outcome string) {
	h := q.writer.Header()
	if q.executions > 0 {
		outcome = "unknown"
		if statesNotRun(status) {
			status = http.StatusBadGateway
			h.Del("Retry-After")
		}
	}
	h.Set("Content-Type", "application/json")
	if q.id != "" {
		h.Set(q.Protocol.RequestID, q.id)
	}
	body := []byte(`{"error":` + strconv.Quote(reason) + `,"outcome":"` + outcome + `"}`)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.writer.WriteHeader(status)
	if _, err := q.writer.Write(body); err != nil {
		q.Log.Debug("client disconnected before the error response was written", zap.String("request", q.id), journal.Error(err))
	}
}

// log logs a decision about the request, with the fields that identify it.
func (q *request) log(message string, fields ...zap.Field) {
	fields = append(fields, zap.String("request", q.id), zap.Duration("after", q.Timer.Now().Sub(q.arrived)))
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name))
	}
	if q.layout != nil {
		fields = append(fields, zap.Uint64("layout", uint64(q.layout.Version)))
	}
	q.Log.Info(message, fields...)
}

// partList is a list of prompt parts in a log line.
type partList []suspect.Part

// MarshalLogArray adds the parts to a log line.
func (l partList) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, p := range l {
		e.AppendString(string(p))
	}
	return nil
}
