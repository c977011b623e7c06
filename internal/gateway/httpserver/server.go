// Package httpserver serves HTTP endpoints and shuts down without interrupting requests.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
)

const (
	// headerTimeout and idleTimeout exceed every limit that the configuration may set, since
	// callers may use a connection until just before its limit.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes bounds the header of a request, whatever the configuration says.
	maxHeaderBytes = 256 << 10
)

// Times of a graceful shutdown, since its start.
const (
	// rejectPart is the part of the grace period after which new requests are rejected: callers have had time to
	// fetch a new list of instances, and requests accepted before have time to end.
	rejectPart = 0.35
	// maxRejectAfter together with pollInterval stays below 3 s, since a request accepted later must be
	// answered completely before the shutdown ends, and a stream may take longer than that.
	maxRejectAfter = 2800 * time.Millisecond
	// waitingPart is the part of the grace period after which no request is sent to an upstream any more.
	waitingPart = 5.0 / 6
	// minShutdown is when an instance without requests in progress may exit.
	minShutdown = 4 * time.Second
	// pollInterval is how often the number of requests in progress is checked.
	pollInterval = 100 * time.Millisecond
	// answerReserve is the part of the grace period reserved for the final answers to requests in progress,
	// and exitReserve that for closing connections and for the exit of the process, a quarter at most.
	answerReserve = 200 * time.Millisecond
	exitReserve   = 500 * time.Millisecond
)

// Endpoint is an address and the handler that serves it.
type Endpoint struct {
	Name    string // for logs and errors
	Address string // an endpoint without one is not served
	Handler http.Handler
}

// Drainer is notified of the phases of a graceful shutdown.
type Drainer interface {
	// Drain closes each connection after its next response.
	Drain()
	// RejectNew makes new requests fail without being executed.
	RejectNew()
	// RejectWaiting rejects the requests that were not sent to an upstream yet.
	RejectWaiting()
	// AnswerAll ends all other requests with a final answer, if their response has not started.
	AnswerAll()
	// Running returns the number of requests in progress.
	Running() int64
}

// Options configure a server.
type Options struct {
	Endpoints []Endpoint
	Drainer   Drainer
	// Deregister removes the instance from the list that callers fetch.
	Deregister func()
	// GracePeriod is the time from the start of the shutdown until the process is killed.
	GracePeriod time.Duration
	// Memory accounts for connections and headers; nil if they are not limited. MaxHeaderBytes returns the
	// limit of a header, which maxHeaderBytes bounds.
	Memory         *memory.Budget
	MaxHeaderBytes func() int
	Timer          timer.Service
	Log            *zap.Logger
}

// Server serves a set of endpoints.
type Server struct {
	options   Options
	endpoints []*endpoint
	halfRead  atomic.Int64 // connections on which a part of a header has arrived
}

// endpoint is an endpoint with its open listener.
type endpoint struct {
	Endpoint
	listener net.Listener
	server   *http.Server
}

// New listens on the addresses of the endpoints.
func New(o Options) (s *Server, err error) {
	s = &Server{options: o}
	errorLog := zap.NewStdLog(o.Log.WithOptions(zap.IncreaseLevel(zapcore.WarnLevel)))
	for _, e := range o.Endpoints {
		if e.Address == "" {
			continue
		}
		l, err := net.Listen("tcp", e.Address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen for endpoint %s", e.Name)
		}
		s.endpoints = append(s.endpoints, &endpoint{Endpoint: e, listener: &halfReadListener{l, &s.halfRead, o.Memory, o.MaxHeaderBytes}, server: &http.Server{
			Handler: e.Handler, ConnState: recordState, ConnContext: withConnection, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog, DisableGeneralOptionsHandler: true,
		}})
	}
	return s, nil
}

// Run serves until the context is done and then shuts down gracefully.
func (s *Server) Run(ctx context.Context) error {
	g := group.New(context.WithoutCancel(ctx))
	for _, e := range s.endpoints {
		g.Go(e.Name, e.serve)
	}
	d := &shutdown{Server: s, group: g, requested: ctx}
	g.Go("ending", d.run)
	return g.Wait()
}

func (e *endpoint) serve(context.Context) error {
	if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutdown shuts the server down gracefully once requested is done.
type shutdown struct {
	*Server
	group     *group.Group
	requested context.Context
}

func (d *shutdown) run(ctx context.Context) (err error) {
	select {
	case <-ctx.Done():
	case <-d.requested.Done():
	}
	o := d.options
	start := o.Timer.Now()
	o.Log.Info("stopping", zap.Int64("running", o.Drainer.Running()))
	o.Deregister()
	o.Drainer.Drain()
	phases, end := o.phases(), o.end()
	for {
		elapsed := o.Timer.Now().Sub(start)
		for len(phases) > 0 && elapsed >= phases[0].after {
			phases[0].begin()
			phases = phases[1:]
		}
		if (elapsed >= minShutdown && d.halfRead.Load() == 0 && o.Drainer.Running() == 0) || elapsed >= end {
			break
		}
		if timer.Sleep(ctx, o.Timer, pollInterval) != nil {
			break
		}
	}
	o.Log.Info("closing", zap.Int64("running", o.Drainer.Running()), zap.Duration("after", o.Timer.Now().Sub(start)))
	closeCtx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), o.Timer, (o.GracePeriod-end)/2)
	defer cancel()
	for _, e := range d.endpoints {
		if shutdownErr := e.server.Shutdown(closeCtx); shutdownErr != nil {
			o.Log.Warn("connections were closed with requests in progress", zap.String("site", e.Name), journal.Error(shutdownErr))
			err = errors.CombineErrors(err, e.server.Close())
		}
	}
	// A nil error would end only this member of the group, so stop the others as well.
	stop := &stopper{group: d.group}
	go stop.run()
	return err
}

// phase is a part of the shutdown that begins some time after its start.
type phase struct {
	after time.Duration
	begin func()
}

// end returns when connections are closed, since the start of the shutdown.
func (o *Options) end() time.Duration { return o.GracePeriod - min(exitReserve, o.GracePeriod/4) }

// phases returns the phases of the shutdown in their order.
func (o *Options) phases() []phase {
	part := func(f float64) time.Duration { return time.Duration(f * float64(o.GracePeriod)) }
	answer := o.end() - min(answerReserve, o.GracePeriod/8)
	return []phase{
		{min(maxRejectAfter, part(rejectPart)), o.Drainer.RejectNew},
		{min(answer, part(waitingPart)), o.Drainer.RejectWaiting},
		{answer, o.Drainer.AnswerAll},
	}
}

// stopper stops a group from outside its members, since Stop waits for all of them.
type stopper struct{ group *group.Group }

func (s *stopper) run() { _ = s.group.Stop() }
