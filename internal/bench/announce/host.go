package announce

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Host runs one simulated service in a process: its HTTP server, its worker and its
// announcer.
type Host struct {
	Listener net.Listener
	Handler  http.Handler
	// Announcer is nil for a service that is not announced.
	Announcer *Announcer
	// Worker runs beside the HTTP server and is stopped last; it may be nil.
	Worker func(ctx context.Context) error
	// GracePeriod is how long requests are accepted after deregistration, because entries
	// learn of it with a delay.
	GracePeriod time.Duration
	Timer       timer.Service

	server *http.Server
}

// Run serves until the context is done. It then deregisters, waits for the grace
// period, and returns once running requests are finished.
func (h *Host) Run(ctx context.Context) error {
	h.server = &http.Server{Handler: h.Handler, ReadHeaderTimeout: 5 * time.Second}
	g := group.New(ctx)
	// The group stops its members in reverse order: the announcer first, the worker last.
	if h.Worker != nil {
		g.Go("work", h.Worker)
	}
	g.Go("http", h.serve)
	g.Go("drain", h.shutdown)
	if h.Announcer != nil {
		g.Go("announce", h.announce)
	}
	return g.Wait()
}

func (h *Host) serve(context.Context) error {
	if err := h.server.Serve(h.Listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutdown waits until the context is done, then shuts the server down gracefully.
func (h *Host) shutdown(ctx context.Context) error {
	<-ctx.Done()
	// A stalled request must not keep the process alive forever.
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
	defer cancel()
	if err := h.server.Shutdown(shutdownCtx); err != nil {
		return h.server.Close()
	}
	return nil
}

// announce announces the service until the context is done, then deregisters it and waits for
// the grace period, in which the server still accepts requests.
func (h *Host) announce(ctx context.Context) error {
	_ = h.Announcer.Run(ctx)
	deregisterCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
	defer cancel()
	if err := h.Announcer.Deregister(deregisterCtx); err != nil {
		// The registration then expires with its lease.
		h.Announcer.options.Log.Sugar().Warnw("deregistration failed", "error", err)
	}
	return timer.Sleep(context.WithoutCancel(ctx), h.Timer, h.GracePeriod)
}
