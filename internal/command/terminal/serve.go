package terminal

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
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
	"wisteriakeel.example/wisteriakeel/internal/gateway/httpserver"
	"wisteriakeel.example/wisteriakeel/internal/gateway/memory"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/plugin"
	"wisteriakeel.example/wisteriakeel/internal/kernel/role"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
	"wisteriakeel.example/wisteriakeel/internal/observe/journal"
	"wisteriakeel.example/wisteriakeel/internal/observe/trace"
)

const (
	// spanFlushTimeout limits the export of the remaining spans when the process ends.
	spanFlushTimeout = 2 * time.Second
	// drainPropagationDelay is the longest time until all entries know that an instance
	// is draining.
	drainPropagationDelay = 3 * time.Second
	// softMemoryLimitRatio is the share of the memory from which the garbage collector runs more often.
	softMemoryLimitRatio = 0.6
	// heldShare is the part of the memory, 1 in heldShare, that is held for clients.
	heldShare = 4
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

// Execute runs the instance until it receives SIGTERM or SIGINT.
func (c *serveCommand) Execute([]string) (err error) {
	s, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	credentials, err := secret.Load(s.SecretsFile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	debug.SetMemoryLimit(int64(softMemoryLimitRatio * float64(s.Limits.Memory())))
	// After the first signal, restore the default action, so that a second one ends the process.
	context.AfterFunc(ctx, stop)
	return serve(ctx, s, credentials, c.log)
}

// serve runs the instance until the context is done or a component fails.
func serve(ctx context.Context, s *settings.Settings, credentials *secret.Credentials, out io.Writer) (err error) {
	log, level, err := journal.New(out, s.Log.Level)
	if err != nil {
		return err
	}
	tracing, err := trace.New(ctx, s, log)
	if err != nil {
		return err
	}
	p := newProcess(ctx, s, credentials, log.Named(s.Instance), level)
	defer func() {
		if err != nil {
			p.log.Error("ended", zap.Error(err))
		}
		flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spanFlushTimeout)
		defer cancel()
		err = errors.CombineErrors(err, tracing.Stop(flushCtx))
	}()
	return p.run()
}

// process holds the HTTP handlers of an instance and the group in which its roles run.
type process struct {
	settings    *settings.Settings
	credentials *secret.Credentials
	log         *zap.Logger
	mux         *http.ServeMux
	group       *group.Group
	registry    *plugin.Registry[role.SetupFunc] // tests replace it
	ctx         context.Context
	cancel      context.CancelFunc // begins the shutdown
	// shutdownTimeout limits the time from the beginning of the shutdown to the end of the
	// last request. Callers may still send requests until the last list of entries that
	// names this instance has expired, and the last of them may take the longest call.
	shutdownTimeout time.Duration

	mu         sync.Mutex
	drainFuncs []func(ctx context.Context) error
}

// newProcess returns a process with the debug handlers; run sets up the roles.
func newProcess(ctx context.Context, s *settings.Settings, credentials *secret.Credentials, log *zap.Logger, level zap.AtomicLevel) *process {
	p := &process{settings: s, credentials: credentials, log: log, mux: http.NewServeMux(), registry: role.Registry}
	p.shutdownTimeout = s.Timeouts.MaxRequest.Duration() + s.Timeouts.EntryListLifetime.Duration() + drainPropagationDelay + spanFlushTimeout
	p.ctx, p.cancel = context.WithCancel(ctx)
	p.group = group.New(p.ctx)
	p.mux.Handle("/debug/vars", p.requireOperator(expvar.Handler()))
	p.mux.Handle("/debug/level", p.requireOperator(level))
	return p
}

// run sets up the roles, serves HTTP and returns once the shutdown is complete.
func (p *process) run() (err error) {
	defer p.cancel()
	listener, err := net.Listen("tcp", p.settings.Listen.HTTP)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if err = p.setUpRoles(); err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(listener.Close(), p.group.Stop()))
	}
	server := p.newHTTPServer()
	h := &httpServer{process: p, listener: httpserver.Accounted(server, listener, p.newBudget()), server: server}
	p.group.Go("accept", h.accept)
	p.group.Go("http", h.awaitShutdown)
	p.log.Info("serving", zap.String("http", p.settings.Listen.HTTP))
	err = p.group.Wait()
	p.log.Info("stopped")
	return err
}

// setUpRoles sets up the control role before the entry role. Goroutines stop in reverse
// order, so the entry can still reach the control state of its own process while it stops.
func (p *process) setUpRoles() (err error) {
	e := role.Env{
		Settings: p.settings, Credentials: p.credentials, Log: p.log, Timer: timer.NewBootClock(),
		Mux: p.mux, Group: p.group, OnDrain: p.onDrain, Stop: p.cancel,
	}
	for _, r := range []settings.Role{settings.RoleControl, settings.RoleEntry} {
		if !slices.Contains(p.settings.Roles, r) {
			continue
		}
		setUp, err := p.registry.Lookup(string(r))
		if err != nil {
			return err
		}
		if err = setUp(p.ctx, e); err != nil {
			return errors.Wrapf(err, "role %s", r)
		}
	}
	return nil
}

// onDrain is passed to the roles as role.Env.OnDrain.
func (p *process) onDrain(f func(ctx context.Context) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainFuncs = append(p.drainFuncs, f)
}

func (p *process) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           p.mux,
		ReadHeaderTimeout: p.settings.Timeouts.RequestHeader.Duration(),
		IdleTimeout:       p.settings.Timeouts.IdleConnection.Duration(),
		MaxHeaderBytes:    int(p.settings.Limits.MaxHeaderBytes),
		ErrorLog:          zap.NewStdLog(p.log.WithOptions(zap.IncreaseLevel(zapcore.WarnLevel))),
	}
}

// newBudget returns the account of the memory and the connections of clients.
func (p *process) newBudget() *memory.Budget {
	limits := &p.settings.Limits
	b := memory.New(memory.Options{
		Limit: memory.Bytes(limits.Memory() / heldShare), Connections: limits.Clients(memory.AvailableDescriptors()),
		Timer: timer.NewBootClock(), Log: p.log.Named("memory"),
	})
	b.Publish()
	return b
}

// requireOperator passes only requests with an operator's credential to h.
func (p *process) requireOperator(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if _, ok := p.credentials.Operator(token); !ok {
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

// httpServer serves HTTP. Its goroutines are started last in the group and so stop first.
type httpServer struct {
	*process
	listener net.Listener
	server   *http.Server
}

// accept accepts connections until awaitShutdown shuts the server down.
func (h *httpServer) accept(context.Context) error {
	if err := h.server.Serve(h.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// awaitShutdown waits until the group stops. It then drains the roles, closes the listener
// and waits for the requests in progress.
func (h *httpServer) awaitShutdown(ctx context.Context) error {
	<-ctx.Done()
	h.log.Info("stopping")
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.shutdownTimeout)
	defer cancel()
	h.drain(shutdownCtx)
	if err := h.server.Shutdown(shutdownCtx); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "wait for requests in progress"), h.server.Close())
	}
	return nil
}

// drain calls the functions registered by OnDrain. An error is only logged, since the
// shutdown goes on all the same.
func (h *httpServer) drain(ctx context.Context) {
	h.mu.Lock()
	drainFuncs := slices.Clone(h.drainFuncs)
	h.mu.Unlock()
	for _, f := range drainFuncs {
		if err := f(ctx); err != nil {
			h.log.Warn("failed to drain", zap.Error(err))
		}
	}
}
