// Package httpserver serves callers over HTTP and ends without interrupting them.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/logging"
)

const (
	// headerTimeout and idleTimeout are above every limit that a layout states, since
	// callers may use a connection until just before that limit.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeader bounds a head before the layout is known.
	maxHeader = 256 << 10
)

// Times of a graceful end, from the request to stop.
const (
	// refuseAfter is when callers have had time for a new list of entries. With the pause
	// between two looks it stays below 3 s: a request that is taken later must be answered
	// whole before the end, and a stream may take longer than that.
	refuseAfter = 2800 * time.Millisecond
	// leaveAfter is when an instance without requests may end.
	leaveAfter = 4 * time.Second
	// lookEvery is the pause between two looks at the requests in progress.
	lookEvery = 100 * time.Millisecond
	// margin is left of the grace time for the end of the process itself.
	margin = 500 * time.Millisecond
)

// Endpoint is one address and what is served there.
type Endpoint struct {
	Name    string
	Address string
	Handler http.Handler
}

// Drainer is told how the end of the process goes on.
type Drainer interface {
	// Drain ends connections with their next answer.
	Drain()
	// Refuse refuses new requests.
	Refuse()
	// Running returns the number of requests in progress.
	Running() int64
}

// Options are the parts of a process.
type Options struct {
	Endpoints []Endpoint
	Drainer   Drainer
	// Deregister takes the instance off the list of entries.
	Deregister func()
	// GracePeriod is the time from the request to stop until the process is killed.
	GracePeriod time.Duration
	Timer       timer.Service
	Log         *zap.Logger
}

// Server serves its sites.
type Server struct {
	options Options
	sites   []*site
}

type site struct {
	Endpoint
	listener net.Listener
	server   *http.Server
}

// New opens the addresses.
func New(o Options) (p *Server, err error) {
	p = &Server{options: o}
	errorLog := zap.NewStdLog(o.Log.WithOptions(zap.IncreaseLevel(zapcore.WarnLevel)))
	for _, s := range o.Endpoints {
		if s.Address == "" {
			continue
		}
		l, err := net.Listen("tcp", s.Address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s", s.Name)
		}
		p.sites = append(p.sites, &site{Endpoint: s, listener: l, server: &http.Server{
			Handler: s.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeader, ErrorLog: errorLog,
		}})
	}
	return p, nil
}

// Run serves until the context is done and then ends gracefully.
func (p *Server) Run(ctx context.Context) error {
	g := group.New(context.WithoutCancel(ctx))
	for _, s := range p.sites {
		g.Go(s.Name, s.loop)
	}
	end := &ending{Server: p, group: g, asked: ctx}
	g.Go("ending", end.run)
	return g.Wait()
}

func (s *site) loop(context.Context) error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ending ends the process once it is asked to.
type ending struct {
	*Server
	group *group.Group
	asked context.Context
}

func (e *ending) run(ctx context.Context) (err error) {
	select {
	case <-ctx.Done():
	case <-e.asked.Done():
	}
	o := e.options
	begun := o.Timer.Now()
	o.Log.Info("stopping", zap.Int64("running", o.Drainer.Running()))
	o.Deregister()
	o.Drainer.Drain()
	refusing := false
	for {
		since := o.Timer.Now().Sub(begun)
		if since >= refuseAfter && !refusing {
			refusing = true
			o.Drainer.Refuse()
		}
		if (since >= leaveAfter && o.Drainer.Running() == 0) || since >= o.GracePeriod-margin {
			break
		}
		if timer.Sleep(ctx, o.Timer, lookEvery) != nil {
			break
		}
	}
	o.Log.Info("closing", zap.Int64("running", o.Drainer.Running()), zap.Duration("after", o.Timer.Now().Sub(begun)))
	limit, cancel := timer.WithTimeout(context.WithoutCancel(ctx), o.Timer, margin/2)
	defer cancel()
	for _, s := range e.sites {
		if failure := s.server.Shutdown(limit); failure != nil {
			o.Log.Warn("connections were closed with requests in progress", zap.String("site", s.Name), logging.Error(failure))
			err = errors.CombineErrors(err, s.server.Close())
		}
	}
	// Ends the group: the error is nil unless closing failed.
	stop := &stopper{group: e.group}
	go stop.run()
	return err
}

// stopper stops a group from outside of its members.
type stopper struct{ group *group.Group }

func (s *stopper) run() { _ = s.group.Stop() }
