package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/fleet/layout"
	"wisteriakeel.example/wisteriakeel/internal/fleet/permit"
	"wisteriakeel.example/wisteriakeel/internal/fleet/slot"
	"wisteriakeel.example/wisteriakeel/internal/fleet/tunnel"
	"wisteriakeel.example/wisteriakeel/internal/gateway/balancer"
	"wisteriakeel.example/wisteriakeel/internal/gateway/canary"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/gateway/retrybudget"
	"wisteriakeel.example/wisteriakeel/internal/gateway/upstream"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	wire "wisteriakeel.example/wisteriakeel/internal/wire/fleet"
)

const (
	// maxDispatches limits the upstreams tried for one request. The route's limit does not
	// bound them, since refusals and failed connections do not count as attempts.
	maxDispatches = 6
	// minRemaining is the remaining time below which a retry is not worth sending.
	minRemaining = 60 * time.Millisecond
	// startDuration is how long after the begin of its response a request may still be what
	// crashes its upstream. Requests that crash upstreams do so at the begin; most of those that
	// run beside them have streamed for longer.
	startDuration = time.Second
	// maxReportedParts limits the parts of a prompt that a report of a crash names, the most
	// specific ones.
	maxReportedParts = 32
)

// action is what to do with a request after an exchange.
type action int

const (
	// actionDone: the caller has received a response or has disconnected.
	actionDone action = iota
	// actionRetryNotExecuted: the request was not executed and may go to another upstream.
	actionRetryNotExecuted
	// actionRetryExecuted: the request may have been executed and may go to another upstream
	// only if it may run again.
	actionRetryExecuted
	// actionEscalate: the response was discarded, and the request goes to a larger model.
	actionEscalate
)

// exchange is one dispatch of a request to an upstream.
type exchange struct {
	*request
	target         balancer.Candidate
	candidates     []balancer.Candidate // among which the target was selected
	permit         permit.Permit        // to send the request to the target
	lease          slot.Lease           // of a slot of the target
	notSent        bool                 // nothing was sent to the target
	limited        bool                 // the target had stated a limit when it was selected
	brittle        bool                 // the target was brittle when it was selected
	sentAt         timer.Instant
	outcome        balancer.Outcome
	headerReceived bool // status line and headers
	headerAt       timer.Instant
	load           canary.LoadClass // of the upstream when it responded
	slotWait       time.Duration    // of the request for a slot of the upstream, if its model is selected here
	resumed        bool             // the exchange goes on with a response that has begun
	readingSent    float64          // to the target, if it has not read it yet; see balancer.Request
	response       *upstream.Response
	// An error response of the upstream, relayed if no other upstream does better.
	failureStatus int
	failureHeader http.Header
	failureBody   *upstream.Body
	// placeAgain is true if nothing was sent because the upstream had closed since it was selected.
	placeAgain bool
	// unconnected is true if nothing was sent since the instance had no connection to use, or the upstream ended
	// a new one. That is no failure of either.
	unconnected bool
}

// dispatch sends the request to one upstream after another until the caller has a response.
func (q *request) dispatch() {
	var excluded []string
	var failed *exchange
	defer func() { failed.closeFailure() }()
	refusals := 0
	for dispatched := 0; ; dispatched++ {
		e, ok := q.nextExchange(excluded)
		if !ok {
			q.giveUp(failed, refusals > 0)
			return
		}
		a := e.run()
		e.recordOutcome(a == actionEscalate)
		if a == actionDone {
			e.logAnswered(dispatched)
			return
		}
		q.sent.Store(false)
		if !q.responseStarted {
			q.memory.SetPhase(memory.Reading)
		}
		if a != actionRetryNotExecuted {
			q.executions++
		}
		if a == actionEscalate {
			continue
		}
		if e.failureStatus > 0 {
			failed.closeFailure()
			failed = e
		}
		if e.outcome == balancer.Refused {
			refusals++
		}
		if !q.canRetry(e, dispatched) {
			q.giveUp(failed, refusals > 0)
			return
		}
		if e.placeAgain {
			q.log("placed again", zap.String("upstream", e.target.ID))
			continue
		}
		excluded = append(excluded, e.target.ID)
		q.log("sent again", zap.String("upstream", e.target.ID), zap.Int("ran", q.executions), zap.Int("full", refusals), zap.Int64("position", q.lastEventID))
		q.metrics.Retries.Add(1)
		if q.responseStarted {
			q.metrics.Resumes.Add(1)
		}
	}
}

// mayRunAgain reports whether the request may be sent to an upstream once more after it has run,
// or may have run, the given number of times. Every way to send a request again asks this: a retry,
// the resumption of a stream and the escalation to a larger model.
func (q *request) mayRunAgain(executions int) bool {
	return executions == 0 || (q.route.Retryable() && executions < max(q.route.MaxAttempts, 1))
}

// canRetry reports whether the request may go to another upstream after e. dispatched is
// the number of dispatches before e. It may spend retry budget.
func (q *request) canRetry(e *exchange, dispatched int) bool {
	switch {
	case q.ctx.Err() != nil || q.remaining() < minRemaining || dispatched+1 >= maxDispatches || q.permissionExpired || q.quarantined || q.finishing.Load():
		return false
	case !q.mayRunAgain(q.executions) || q.placeWaits >= maxPlaceWaits:
		return false
	case q.responseStarted && q.lastEventID < 0:
		// Without an event id, another upstream cannot resume the stream.
		return false
	case e.outcome == balancer.Unreachable || e.placeAgain || e.unconnected:
		return true
	}
	return q.Budget.AllowRetry(string(q.service), retrybudget.UpstreamFailure, q.View.InstanceCount())
}

// giveUp answers a request that is not retried. failed is the last exchange with an error
// response of an upstream, and refused tells whether an upstream refused the request.
func (q *request) giveUp(failed *exchange, refused bool) {
	left := q.httpRequest.Context().Err() != nil
	if left {
		q.log("caller left", zap.Int("ran", q.executions))
	}
	switch {
	case left && q.responseStarted:
		panic(http.ErrAbortHandler)
	// The caller may have closed only its sending side. Without a response, net/http would write an
	// empty one with status 200.
	case left && q.executions > 0:
		q.writeError(http.StatusBadGateway, "the caller closed its connection", "unknown")
	case left:
		q.writeError(http.StatusServiceUnavailable, "the caller closed its connection", "not run")
	case q.responseStarted:
		q.log("answer broken off", zap.Int64("position", q.lastEventID))
		// Abort the connection, so that the truncated body does not look complete.
		panic(http.ErrAbortHandler)
	case failed != nil && failed.failureBody.Claim():
		q.log("failure of the upstream passed on", zap.Int("status", failed.failureStatus), zap.String("upstream", failed.target.ID))
		failed.relayFailure()
	case errors.Is(context.Cause(q.ctx), memory.ErrShort) && q.executions > 0:
		q.failRequest(http.StatusBadGateway, "memory is short")
	case errors.Is(context.Cause(q.ctx), memory.ErrShort):
		q.rejectMemory()
	case q.finishing.Load() && q.executions > 0:
		q.failRequest(http.StatusBadGateway, "the instance stops before the upstream has answered")
	case q.finishing.Load():
		q.reject(http.StatusServiceUnavailable, "instance is stopping", retryOtherInstance)
	case q.executions > 0 && q.remaining() < minRemaining:
		q.failRequest(http.StatusGatewayTimeout, "no answer within the time limit")
	case q.executions > 0:
		q.failRequest(http.StatusBadGateway, "the upstream did not answer")
	case q.quarantined:
		q.rejectQuarantined()
	case q.permissionExpired:
		q.reject(http.StatusServiceUnavailable, "configuration or key changed before an upstream took the request", retryAfterLeaderChange)
	case q.remaining() < minRemaining:
		q.reject(http.StatusServiceUnavailable, "time limit passed before an upstream took the request", 0)
	case q.onlyEvacuated:
		q.metrics.Evacuated.Add(1)
		q.reject(http.StatusServiceUnavailable, "all upstreams are in evacuated availability zones", retryAfterEvacuation)
	case q.permitWait > 0 && len(q.cold) > 0:
		q.reject(http.StatusServiceUnavailable, "cold upstreams take no more requests now", max(q.permitWait, minPermitRetry))
	case q.permitWait > 0:
		q.reject(http.StatusServiceUnavailable, "upstreams limit their requests", max(q.permitWait, minPermitRetry))
	case q.leaseWait > 0:
		q.reject(http.StatusServiceUnavailable, "all slots of brittle upstreams are in use", max(q.leaseWait, minPermitRetry))
	case q.pauseWait > 0:
		q.reject(http.StatusServiceUnavailable, "all upstreams asked for a pause", q.pauseWait)
	case q.unconnected > 0 && !refused:
		q.reject(http.StatusServiceUnavailable, "no connection to an upstream is free", retryAfterUnconnected)
	case refused || q.noRoom:
		q.reject(http.StatusServiceUnavailable, "all upstreams are full", retryAfterOverload)
	default:
		q.reject(http.StatusServiceUnavailable, "no upstream", retryAfterLeaderChange)
	}
}

// nextExchange selects an upstream that is not excluded. It returns false if there is none.
func (q *request) nextExchange(excluded []string) (e *exchange, ok bool) {
	candidates, isCanary := q.candidates()
	candidates = q.connectable(candidates, excluded)
	q.selectModel(candidates)
	q.prepare(candidates)
	q.leaseWait = 0
	for lost := 0; ; lost++ {
		target, p, found := q.pickPermitted(candidates, isCanary, excluded)
		if found {
			var l slot.Lease
			if target, p, l, found = q.leaseSlot(target, p, candidates, isCanary, excluded); !found {
				return nil, false
			}
			if q.Balancer.TryRequest(target) {
				return q.newExchange(target, p, l, candidates), true
			}
			q.View.ReturnSlot(l, slot.Unused)
		}
		// If another request has just filled or closed the selected upstream, choose again at once.
		if (!found || lost >= maxDispatches) && !q.awaitRoom(candidates, excluded) {
			return nil, false
		}
	}
}

// newExchange returns the dispatch of the request to one of the candidates.
func (q *request) newExchange(target balancer.Candidate, p permit.Permit, l slot.Lease, candidates []balancer.Candidate) *exchange {
	if q.Balancer.PauseOver(target) {
		q.log("pause of an upstream is over", zap.String("upstream", target.ID))
	}
	e := &exchange{
		request: q, target: target, candidates: candidates, permit: p, lease: l,
		limited: q.View.RateLimited(target.ID, target.Born), brittle: q.Balancer.Brittle(target.ID),
	}
	e.resumed = q.responseStarted
	e.beginReading()
	return e
}

// buildRequest builds the request to the upstream.
func (e *exchange) buildRequest() *upstream.Request {
	h := e.upstreamHeader
	h.Set(e.Protocol.ExpectedUpstream, e.target.ID)
	if e.client != nil {
		h.Set(e.Protocol.Account, string(e.client.Name))
	}
	if e.route.SessionAffinity {
		h.Set(e.Protocol.Urgency, strconv.Itoa(e.urgency()))
	}
	if e.responseStarted && e.lastEventID >= 0 {
		h.Set(e.Protocol.LastEventID, strconv.FormatInt(e.lastEventID, 10))
	}
	r := &upstream.Request{
		ID: e.id, Method: e.request.httpRequest.Method, URI: e.request.httpRequest.RequestURI, Host: e.request.httpRequest.Host,
		Header: h, Body: e.request.body, NewConnection: !e.route.Retryable(),
		BeforeSend: e.beforeSend, OnLateResponse: e.readLateResponse,
	}
	if _, limited := e.View.ColdBudget(e.service); limited {
		r.OnBroken = e.connectionBroke
	}
	return r
}

// upstreamTarget returns the upstream that the request is sent to.
func (e *exchange) upstreamTarget() upstream.Target {
	return upstream.Target{ID: e.target.ID, Born: e.target.Born, Address: e.target.Address}
}

// run sends the request and handles the response.
func (e *exchange) run() (v action) {
	e.sentAt = e.Timer.Now()
	e.outcome = balancer.Inconclusive
	var err error
	e.response, err = e.Upstream.Send(e.ctx, e.upstreamTarget(), e.buildRequest())
	if err != nil {
		return e.interrupted(err)
	}
	e.headerReceived, e.headerAt = true, e.Timer.Now()
	e.Balancer.ResponseStarted(e.target.ID)
	e.endReading()
	e.readLoad()
	e.readLimit()
	e.readCondition()
	s := e.statement()
	s.readLeaving()
	s.readPause()
	e.recordFirstByte()
	if e.response.Header.Get(e.Protocol.NotExecuted) != "" || e.response.Status == http.StatusMisdirectedRequest {
		return e.notExecuted()
	}
	if e.response.Status >= 300 || e.response.Status < 200 {
		return e.upstreamFailed()
	}
	if e.response.Header.Get(e.Protocol.Signature) == "" || e.response.Header.Get("Content-Encoding") != "" {
		return e.interrupted(errors.Wrap(upstream.ErrResponseMismatch, "response has no signature"))
	}
	if e.responseStarted && !e.response.IsEventStream() {
		return e.interrupted(errors.Wrap(upstream.ErrResponseMismatch, "response to a resumed stream is not a stream"))
	}
	if e.escalate() {
		e.outcome = balancer.Succeeded
		return actionEscalate
	}
	if e.route.Kind == layout.Stream && (e.response.ContentLength < 0 || e.response.IsEventStream()) {
		return e.relayStream()
	}
	return e.relayBuffered()
}

// readLoad reads the load header of the response: running and waiting requests, slots, and how long work
// takes where the upstream shares its machine.
func (e *exchange) readLoad() {
	fields := strings.Split(e.response.Header.Get(e.Protocol.Load), ",")
	if len(fields) < 2 {
		return
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, waitingErr := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err != nil || waitingErr != nil || running < 0 || waiting < 0 {
		return
	}
	e.load = canary.ClassifyLoad(running)
	e.Balancer.ReportLoad(e.target.ID, running, waiting)
	slowdown := parseSlowdown(fields)
	e.Balancer.ReportSlowdown(e.target.ID, slowdown)
	e.View.RecordLoad(&wire.Load{Id: e.target.ID, Running: uint32(running), Waiting: uint32(waiting), Slowdown: uint32(slowdown)})
}

// interrupted handles an exchange without a usable response.
func (e *exchange) interrupted(err error) action {
	cause := context.Cause(e.ctx)
	e.log("exchange broke off", zap.String("upstream", e.target.ID), zap.String("address", e.target.Address), journal.Error(err), journal.NamedError("cause", cause),
		zap.Duration("sent", e.Timer.Now().Sub(e.sentAt)), zap.Duration("streamed", e.streamedFor()), zap.Array("parts", partList(e.sharedParts)))
	var closed *tunnel.ClosedError
	switch {
	case errors.As(err, &closed) && cause == nil:
		// The instances that could pass the request on must not.
		e.Balancer.Pause(e.target.ID, e.target.Born, closed.Wait)
		e.placeAgain, e.notSent = true, true
		return actionRetryNotExecuted
	case errors.Is(err, upstream.ErrNotSent):
		e.notSent = true
		if cause == nil && e.lacksConnection(err) {
			return actionRetryNotExecuted
		}
		if cause == nil && !errors.IsAny(err, errNotAdmitted...) {
			e.outcome = balancer.Unreachable
			if errors.Is(err, syscall.ECONNREFUSED) {
				e.View.SuspectRestart(e.target.ID, e.target.Born)
			}
		}
		return actionRetryNotExecuted
	case cause != nil:
		if errors.Is(cause, errTimeout) {
			e.outcome = balancer.Interrupted
		}
		return actionRetryExecuted
	}
	if !e.Upstream.Partitioned() { // else the fault may be on this side
		e.outcome = balancer.Interrupted
	}
	if !errors.IsAny(err, upstream.ErrResponseMismatch, upstream.ErrInvalidStatus) {
		e.connectionBroke()
		p := &crashProbe{Handler: e.Handler, crash: e.crash(), target: e.upstreamTarget(), zone: e.target.Zone}
		go p.run()
	}
	return actionRetryExecuted
}

// notExecuted handles a response that says that the upstream did not execute the request.
func (e *exchange) notExecuted() action {
	e.outcome = balancer.Refused
	if e.response.Status == http.StatusMisdirectedRequest {
		// Another upstream listens on the address now.
		e.outcome = balancer.Unreachable
	}
	e.discardBody()
	e.log("upstream refused", zap.String("upstream", e.target.ID), zap.Int("status", e.response.Status),
		zap.Int("own", e.Balancer.Inflight(e.target.ID)), zap.String("load", e.response.Header.Get(e.Protocol.Load)))
	return actionRetryNotExecuted
}

// discardBody reads a short body that is not relayed to its end, so that its connection can be reused.
func (e *exchange) discardBody() {
	if err := e.response.Discard(); err != nil {
		e.Log.Debug("cannot read the body of a refusal", journal.Error(err))
	}
}
