package caller

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/observe/logging"
)

// errTimeout is the cause of a context that ended at the limit of its request.
var errTimeout = errors.New("time limit of the request")

const (
	// retrySoon is the time after which a refused caller may find the reason gone: a
	// change of the leader takes about a second.
	retrySoon = 400 * time.Millisecond
	// retryElsewhere lets a caller go to another entry at once.
	retryElsewhere = 20 * time.Millisecond
	// retryBusy lets a queue of upstreams shrink by a good part.
	retryBusy = 700 * time.Millisecond
)

// refuse answers a request that did not run and will not. A positive pause is sent
// with jitter, so that refused callers do not return together. It returns false.
func (q *request) refuse(status int, reason string, pause time.Duration) bool {
	q.metrics.Refusals.Add(1)
	h := q.writer.Header()
	if pause > 0 {
		pause += time.Duration(q.point() * float64(pause))
		h.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	q.log("refused", zap.Int("status", status), zap.String("reason", reason), zap.Duration("retry", pause))
	q.respond(status, reason, "not run")
	return false
}

// fail answers a request that ran without success or may have run.
func (q *request) fail(status int, reason string) {
	q.metrics.Failures.Add(1)
	q.log("failed", zap.Int("status", status), zap.String("reason", reason))
	q.respond(status, reason, "unknown")
}

// respond writes an answer of the gateway's own.
func (q *request) respond(status int, reason, outcome string) {
	h := q.writer.Header()
	h.Set("Content-Type", "application/json")
	if q.id != "" {
		h.Set(q.Names.RequestID, q.id)
	}
	body := []byte(`{"error":` + strconv.Quote(reason) + `,"outcome":"` + outcome + `"}`)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.writer.WriteHeader(status)
	if _, err := q.writer.Write(body); err != nil {
		q.Log.Debug("caller left before its answer", zap.String("request", q.id), logging.Error(err))
	}
}

// log writes one line for a decision on the request.
func (q *request) log(what string, fields ...zap.Field) {
	fields = append(fields, zap.String("request", q.id), zap.Duration("after", q.Timer.Now().Sub(q.arrived)))
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name))
	}
	if q.layout != nil {
		fields = append(fields, zap.Uint64("layout", uint64(q.layout.Version)))
	}
	q.Log.Info(what, fields...)
}
