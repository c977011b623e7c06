package caller

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/canary"
	"wisteriakeel.example/wisteriakeel/internal/gateway/modelselect"
	"wisteriakeel.example/wisteriakeel/internal/gateway/retrybudget"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/logging"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// maxTries bounds the upstreams that are asked for one request; refusals and failed
	// connections do not count as attempts.
	maxTries = 6
	// leastLeft is the time below which sending a request again is of no use.
	leastLeft = 60 * time.Millisecond
)

// verdict says how a request goes on after an exchange.
type verdict int

const (
	// done: the caller has its answer, or has left.
	done verdict = iota
	// again: the request did not run and may go to another upstream.
	again
	// repeat: the request may have run and may go to another upstream if it may be repeated.
	repeat
	// climb: the answer was dropped, since a larger model should give it.
	climb
)

// exchange is one dispatch of a request.
type exchange struct {
	*request
	target  balancer.Candidate
	sent    timer.Instant
	result  balancer.Outcome
	replied bool // the head of the answer has arrived
	// pressure is the mean load per slot of the candidates.
	pressure float64
	answer   *upstream.Response
	// failure is an answer that was held back and may be passed on if there is no better one.
	status int
	header http.Header
	body   []byte
}

// serve offers the request to upstreams until the caller has an answer.
func (q *request) serve() {
	var excluded []string
	var held *exchange
	full := 0
	for try := 0; ; try++ {
		e, ok := q.next(excluded)
		if !ok {
			q.giveUp(held, full > 0)
			return
		}
		v := e.run()
		e.finish()
		if v == done {
			e.account(try)
			return
		}
		if v != again {
			q.ran++
		}
		if v == climb {
			continue
		}
		excluded = append(excluded, e.target.ID)
		if e.status > 0 {
			held = e
		}
		if e.result == balancer.Refused {
			full++
		}
		if !q.mayRepeat(v, e, try) {
			q.giveUp(held, full > 0)
			return
		}
		q.log("sent again", zap.String("upstream", e.target.ID), zap.Int("ran", q.ran), zap.Int("full", full), zap.Int64("position", q.position))
		q.metrics.Repeats.Add(1)
		if q.began {
			q.metrics.Resumes.Add(1)
		}
	}
}

// mayRepeat tells whether the request may go to another upstream.
func (q *request) mayRepeat(v verdict, e *exchange, try int) bool {
	switch {
	case q.ctx.Err() != nil || q.left() < leastLeft || try+1 >= maxTries:
		return false
	case v == repeat && !q.route.Retryable():
		return false
	case q.began && q.position < 0:
		// Without an id, nothing tells where the answer would go on.
		return false
	case q.ran >= max(q.route.MaxAttempts, 1):
		return false
	case e.result == balancer.Unreachable:
		return true
	}
	return q.Budget.AllowRetry(string(q.service), retrybudget.UpstreamFailure, q.View.InstanceCount())
}

// giveUp answers a request for which no upstream is left.
func (q *request) giveUp(held *exchange, full bool) {
	switch {
	case q.request.Context().Err() != nil:
		q.log("caller left", zap.Int("ran", q.ran))
	case q.began:
		q.log("answer broken off", zap.Int64("position", q.position))
		// The connection ends without the end of the body, so that the answer does not look whole.
		panic(http.ErrAbortHandler)
	case held != nil:
		q.log("failure of the upstream passed on", zap.Int("status", held.status), zap.String("upstream", held.target.ID))
		q.pass(held.status, held.header, held.body)
	case q.ran > 0 && q.left() < leastLeft:
		q.fail(http.StatusGatewayTimeout, "no answer within the time limit")
	case q.ran > 0:
		q.fail(http.StatusBadGateway, "the upstream did not answer")
	case q.left() < leastLeft:
		q.refuse(http.StatusServiceUnavailable, "time limit passed before an upstream took the request", 0)
	case full:
		q.refuse(http.StatusServiceUnavailable, "all upstreams are full", retryBusy)
	default:
		q.refuse(http.StatusServiceUnavailable, "no upstream", retrySoon)
	}
}

// next chooses the upstream of the next dispatch.
func (q *request) next(excluded []string) (e *exchange, ok bool) {
	candidates, trial := q.candidates()
	var target balancer.Candidate
	if trial {
		target, ok = q.Chooser.PickForCanary(candidates, excluded)
	}
	if !ok {
		target, ok = q.Chooser.Pick(candidates, q.key, excluded)
	}
	if !ok {
		return nil, false
	}
	e = &exchange{request: q, target: target}
	if q.sized() {
		e.pressure = q.Chooser.Utilization(candidates)
		q.forward.Set(q.Names.Model, string(q.route.Models[q.size]))
	}
	return e, true
}

// sized tells whether the gateway chooses the model.
func (q *request) sized() bool {
	return string(q.model) == q.Names.AutoModel && len(q.route.Models) > 0
}

// spare tells whether the request may run once more after the present exchange.
func (e *exchange) spare() bool { return e.ran+1 < max(e.route.MaxAttempts, 1) }

// climbs tells whether the answer should come from a larger model instead. Nothing of it
// has been passed on.
func (e *exchange) climbs() bool {
	if !e.sized() || e.began || e.left() < leastLeft || !e.spare() {
		return false
	}
	c := modelselect.Unreported
	if n, err := strconv.Atoi(e.answer.Header.Get(e.Names.Confidence)); err == nil {
		c = modelselect.Confidence(n)
	}
	next, ok := modelselect.Escalate(e.size, len(e.route.Models), c, e.pressure)
	if !ok || !e.Budget.AllowRetry(string(e.service), retrybudget.LowConfidence, e.View.InstanceCount()) {
		return false
	}
	e.log("larger model", zap.Int("size", next), zap.Int("confidence", int(c)), zap.Float64("pressure", e.pressure),
		zap.String("upstream", e.target.ID))
	e.size = next
	e.metrics.Climbs.Add(1)
	return true
}

// call builds the message to the upstream.
func (e *exchange) call() *upstream.Request {
	h := e.forward
	h.Set(e.Names.Deadline, strconv.FormatInt(max(e.left().Milliseconds(), 1), 10))
	h.Set(e.Names.ExpectedUpstream, e.target.ID)
	if e.client != nil {
		h.Set(e.Names.Account, string(e.client.Name))
	}
	if e.route.SessionAffinity {
		h.Set(e.Names.Urgency, strconv.Itoa(min(1+e.Names.UrgencyPerPriority*e.priority, 9)))
	}
	if e.began && e.position >= 0 {
		h.Set(e.Names.LastEventID, strconv.FormatInt(e.position, 10))
	}
	return &upstream.Request{
		ID: e.id, Method: e.request.request.Method, URI: e.request.request.RequestURI, Host: e.request.request.Host,
		Header: h, Body: e.request.body, NewConnection: e.route.Kind == layout.NonIdempotent,
	}
}

// run makes one exchange.
func (e *exchange) run() (v verdict) {
	e.sent = e.Timer.Now()
	e.result = balancer.Inconclusive
	e.Chooser.RequestSent(e.target.ID)
	var err error
	e.answer, err = e.Upstream.Send(e.ctx, e.target.Address, e.call())
	if err != nil {
		return e.broken(err)
	}
	e.replied = true
	e.Chooser.ResponseStarted(e.target.ID)
	e.time()
	e.load()
	if e.answer.Header.Get(e.Names.NotExecuted) != "" || e.answer.Status == http.StatusMisdirectedRequest {
		return e.refused()
	}
	if e.answer.Status >= 300 || e.answer.Status < 200 {
		return e.failed()
	}
	if e.answer.Header.Get(e.Names.Signature) == "" || e.answer.Header.Get("Content-Encoding") != "" {
		return e.broken(errors.Wrap(upstream.ErrResponseMismatch, "answer without a signature"))
	}
	if e.climbs() {
		e.result = balancer.Succeeded
		return climb
	}
	if e.route.Kind == layout.Stream && e.answer.ContentLength < 0 {
		return e.stream()
	}
	return e.whole()
}

// finish records the result of the exchange.
func (e *exchange) finish() {
	if e.answer != nil {
		e.answer.Close()
	}
	e.Chooser.RequestDone(e.target.ID, e.result, e.replied)
	o := &wire.Outcome{Service: string(e.service), Version: e.target.Version, Route: e.route.Name}
	switch e.result {
	case balancer.Succeeded:
		o.Good = 1
	case balancer.Failed, balancer.Interrupted:
		o.Bad = 1
	default:
		return
	}
	e.View.RecordOutcome(o)
}

// account logs the end of a request that an upstream answered.
func (e *exchange) account(tries int) {
	e.metrics.Whole.record(e.Timer.Now().Sub(e.arrived))
	fields := []zap.Field{
		zap.String("upstream", e.target.ID), zap.String("version", e.target.Version), zap.Int("status", e.answer.Status),
		zap.Int("tries", tries+1), zap.Duration("first", e.first), zap.Bool("complete", e.result != balancer.Inconclusive),
	}
	if e.sized() {
		fields = append(fields, zap.String("model", string(e.route.Models[e.size])), zap.Float64("pressure", e.pressure))
	}
	e.log("answered", fields...)
}

// time counts the time to the first byte of the version that answers. It is counted
// now, since the answers of a slow version end long after those of a fast one.
func (e *exchange) time() { e.sample(e.route.Name, e.Timer.Now().Sub(e.sent)) }

// paceEvents is the number of events after which the pause between them is counted, for
// a version that begins as fast as another and goes on slowly.
const paceEvents = 4

// pace counts the pause between the first events of a stream.
func (e *exchange) pace(events int64, since timer.Instant) {
	e.sample(e.route.Name+canary.EventGapSuffix, e.Timer.Now().Sub(since)/time.Duration(events))
}

func (e *exchange) sample(kind string, d time.Duration) {
	l := math.Log(max(d.Seconds(), 1e-4))
	e.View.RecordOutcome(&wire.Outcome{
		Service: string(e.service), Version: e.target.Version, Route: kind, Times: 1, Logs: l, Squares: l * l,
	})
}

// load reads what the upstream says of its load.
func (e *exchange) load() {
	fields := strings.Split(e.answer.Header.Get(e.Names.Load), ",")
	if len(fields) < 2 {
		return
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, failure := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err != nil || failure != nil || running < 0 || waiting < 0 {
		return
	}
	e.Chooser.ReportLoad(e.target.ID, running, waiting)
	e.View.RecordLoad(&wire.Load{Id: e.target.ID, Running: uint32(running), Waiting: uint32(waiting)})
}

// broken handles an exchange without a usable answer.
func (e *exchange) broken(err error) verdict {
	cause := context.Cause(e.ctx)
	e.log("exchange broke off", zap.String("upstream", e.target.ID), zap.String("address", e.target.Address), logging.Error(err), logging.NamedError("cause", cause))
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		if cause == nil {
			e.result = balancer.Unreachable
		}
		return again
	case cause != nil:
		if errors.Is(cause, errTimeout) {
			e.result = balancer.Interrupted
		}
		return repeat
	}
	e.result = balancer.Interrupted
	if !errors.Is(err, upstream.ErrResponseMismatch) {
		p := &prober{Handler: e.Handler, crash: &wire.Crash{Fingerprint: e.fingerprint, Upstream: e.target.ID}, address: e.target.Address}
		go p.run()
	}
	return repeat
}

// refused handles an answer that says that the request did not run.
func (e *exchange) refused() verdict {
	e.result = balancer.Refused
	if e.answer.Status == http.StatusMisdirectedRequest {
		// Another upstream holds the address.
		e.result = balancer.Unreachable
	}
	e.drainAnswer()
	e.log("upstream refused", zap.String("upstream", e.target.ID), zap.Int("status", e.answer.Status))
	return again
}

// drainAnswer reads an answer that is not passed on, so that its connection can be kept.
func (e *exchange) drainAnswer() {
	if _, err := e.answer.ReadAll(); err != nil {
		e.Log.Debug("refusal not read to its end", logging.Error(err))
	}
}

// failed handles an answer of the upstream that is no success. It is held back while
// the request may still go to another upstream.
func (e *exchange) failed() verdict {
	e.result = balancer.Failed
	body, err := e.answer.ReadAll()
	if err != nil {
		return e.broken(err)
	}
	e.status, e.header, e.body = e.answer.Status, e.answer.Header, body
	e.log("upstream failed", zap.String("upstream", e.target.ID), zap.Int("status", e.status))
	if e.began || (e.status >= 500 && e.route.Retryable()) {
		return repeat
	}
	e.pass(e.status, e.header, body)
	return done
}

// whole passes on an answer that is read to its end first.
func (e *exchange) whole() verdict {
	body, err := e.answer.ReadAll()
	if err != nil {
		return e.broken(err)
	}
	if e.began {
		// A resumed stream must go on as a stream.
		return e.broken(errors.Wrap(upstream.ErrResponseMismatch, "answer to a resumed stream is no stream"))
	}
	e.result = balancer.Succeeded
	e.pass(e.answer.Status, e.answer.Header, body)
	return done
}

// pass writes an answer of an upstream.
func (q *request) pass(status int, header http.Header, body []byte) {
	q.head(header)
	q.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	q.writer.WriteHeader(status)
	q.begin()
	q.metrics.Answers.Add(1)
	if _, err := q.writer.Write(body); err != nil {
		q.log("caller left during its answer", logging.Error(err))
	}
}

// begin notes that the caller gets the first byte.
func (q *request) begin() {
	q.began = true
	q.first = q.Timer.Now().Sub(q.arrived)
	q.metrics.First.record(q.first)
}

// head copies the head of an answer.
func (q *request) head(header http.Header) {
	own := q.writer.Header()
	for name, values := range upstream.ResponseHeaders(header) {
		own[name] = values
	}
}

// stream passes on events as they arrive.
func (e *exchange) stream() verdict {
	flusher, _ := e.writer.(http.Flusher)
	events := upstream.NewEventReader(e.answer)
	start, begun := int64(-1), timer.Instant(0)
	for {
		b, last, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return e.broken(err)
		}
		// The head waits for the first event, so that an upstream that breaks off before
		// it can be replaced by another without a trace.
		if !e.began && (len(b) > 0 || err != nil) {
			e.head(e.answer.Header)
			e.writer.WriteHeader(e.answer.Status)
			e.begin()
		}
		if len(b) > 0 {
			if _, failure := e.writer.Write(b); failure != nil {
				e.log("caller left during its answer", zap.Int64("position", e.position), logging.Error(failure))
				return done
			}
			if last >= 0 {
				e.position = last
			}
			flusher.Flush()
			switch {
			case begun == 0:
				start, begun = e.position, e.Timer.Now()
			case start >= 0 && e.position >= start+paceEvents:
				e.pace(e.position-start, begun)
				start = -1
			}
		}
		if err != nil {
			e.result = balancer.Succeeded
			e.metrics.Answers.Add(1)
			return done
		}
	}
}
