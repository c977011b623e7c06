package terminal

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wisteriakeel.example/wisteriakeel/internal/config/secret"
	"wisteriakeel.example/wisteriakeel/internal/config/settings"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/plugin"
	"wisteriakeel.example/wisteriakeel/internal/kernel/role"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	"wisteriakeel.example/wisteriakeel/internal/observe/trace"
)

const (
	// flushTimeout bounds the export of the last spans at the end of the process.
	flushTimeout = 2 * time.Second
	// spreadTimeout is the bound on a drain being known to every entry.
	spreadTimeout = 3 * time.Second
)

func init() {
	register(command{
		name:  "serve",
		short: "Run an instance",
		long:  "Runs the roles that the settings file names until SIGTERM or SIGINT, then stops gracefully. A second signal ends the process at once.",
		factory: func(_ io.Writer) flags.Commander {
			return &serveCommand{log: os.Stderr}
		},
	})
}

// serveCommand runs an instance.
type serveCommand struct {
	Config string `short:"c" long:"config" required:"true" value-name:"FILE" description:"settings file"`

	log io.Writer
}

// Execute runs the instance until it is told to stop.
func (c *serveCommand) Execute([]string) (err error) {
	s, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	book, err := secret.Load(s.SecretsFile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Restores the default action of the signals, so that a second one ends the process.
	context.AfterFunc(ctx, stop)
	return serve(ctx, s, book, c.log)
}

// serve runs the instance until the context is done or a part fails.
func serve(ctx context.Context, s *settings.Settings, book *secret.Credentials, out io.Writer) (err error) {
	log, level, err := journal.New(out, s.Log.Level)
	if err != nil {
		return err
	}
	spans, err := trace.New(ctx, s, log)
	if err != nil {
		return err
	}
	p := newProcess(ctx, s, book, log.Named(s.Instance), level)
	defer func() {
		if err != nil {
			p.log.Error("ended", zap.Error(err))
		}
		limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		err = errors.CombineErrors(err, spans.Stop(limit))
	}()
	return p.run()
}

// process owns the HTTP listener and the group that the roles run in.
type process struct {
	settings *settings.Settings
	secrets  *secret.Credentials
	log      *zap.Logger
	mux      *http.ServeMux
	group    *group.Group
	registry *plugin.Registry[role.SetupFunc]
	ctx      context.Context
	cancel   context.CancelFunc
	// limit bounds the time from the stop to the end of the last request. No
	// request may outlast the longest call after the last list of entries that
	// names this instance has run out.
	limit time.Duration

	mu     sync.Mutex
	drains []func(ctx context.Context) error
}

func newProcess(ctx context.Context, s *settings.Settings, book *secret.Credentials, log *zap.Logger, level zap.AtomicLevel) *process {
	p := &process{settings: s, secrets: book, log: log, mux: http.NewServeMux(), registry: role.Registry}
	p.limit = s.Timeouts.MaxRequest.Duration() + s.Timeouts.EntryListLifetime.Duration() + spreadTimeout + flushTimeout
	p.ctx, p.cancel = context.WithCancel(ctx)
	p.group = group.New(p.ctx)
	p.mux.Handle("/debug/vars", p.guard(expvar.Handler()))
	p.mux.Handle("/debug/level", p.guard(level))
	return p
}

// run sets up the roles, serves HTTP and returns once everything has ended.
func (p *process) run() (err error) {
	defer p.cancel()
	listener, err := net.Listen("tcp", p.settings.Listen.HTTP)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if err = p.roles(); err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(listener.Close(), p.group.Stop()))
	}
	w := &web{process: p, listener: listener, server: p.server()}
	p.group.Go("accept", w.loop)
	p.group.Go("http", w.run)
	p.log.Info("serving", zap.String("http", p.settings.Listen.HTTP))
	err = p.group.Wait()
	p.log.Info("stopped")
	return err
}

// roles sets up control before entry, so that the entry stops first and can
// still reach the control state of its own process while it ends.
func (p *process) roles() (err error) {
	e := role.Env{
		Settings: p.settings, Secrets: p.secrets, Log: p.log, Timer: timer.NewBootClock(),
		Mux: p.mux, Group: p.group, OnDrain: p.addDrain, Stop: p.cancel,
	}
	for _, r := range []settings.Role{settings.RoleControl, settings.RoleEntry} {
		if !slices.Contains(p.settings.Roles, r) {
			continue
		}
		runner, err := p.registry.Lookup(string(r))
		if err != nil {
			return err
		}
		if err = runner(p.ctx, e); err != nil {
			return errors.Wrapf(err, "role %s", r)
		}
	}
	return nil
}

func (p *process) addDrain(f func(ctx context.Context) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drains = append(p.drains, f)
}

func (p *process) server() *http.Server {
	return &http.Server{
		Handler:           p.mux,
		ReadHeaderTimeout: p.settings.Timeouts.RequestHeader.Duration(),
		IdleTimeout:       p.settings.Timeouts.IdleConnection.Duration(),
		MaxHeaderBytes:    int(p.settings.Limits.MaxHeaderBytes),
		ErrorLog:          zap.NewStdLog(p.log.WithOptions(zap.IncreaseLevel(zapcore.WarnLevel))),
	}
}

// guard lets only operators through.
func (p *process) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if _, ok := p.secrets.Operator(token); !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.Header().Set("Wisteriakeel-Outcome", "not run")
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = io.WriteString(w, `{"error":{"message":"an operator credential is needed","type":"authentication_error","code":"credential","outcome":"not run","retry":0}}`)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// web is the HTTP listener; its members are the first to stop.
type web struct {
	*process
	listener net.Listener
	server   *http.Server
}

// loop accepts connections until run shuts the server down.
func (w *web) loop(context.Context) error {
	if err := w.server.Serve(w.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// run waits for the stop, lets the roles drain and waits for the requests in progress.
func (w *web) run(ctx context.Context) error {
	<-ctx.Done()
	w.log.Info("stopping")
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.limit)
	defer cancel()
	w.drain(limit)
	if err := w.server.Shutdown(limit); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "wait for requests in progress"), w.server.Close())
	}
	return nil
}

func (w *web) drain(ctx context.Context) {
	w.mu.Lock()
	drains := slices.Clone(w.drains)
	w.mu.Unlock()
	for _, f := range drains {
		if err := f(ctx); err != nil {
			w.log.Warn("drain", zap.Error(err))
		}
	}
}
