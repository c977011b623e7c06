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

// Host runs one simulated service as a process: its HTTP server, its work and
// its announcements.
type Host struct {
	Listener net.Listener
	Handler  http.Handler
	// Announcer may be nil for a service that does not announce itself.
	Announcer *Announcer
	// Worker is an additional member that ends last; it may be nil.
	Worker func(ctx context.Context) error
	// GracePeriod is how long new work is accepted after the leave was answered, since
	// entries learn of it with a delay.
	GracePeriod time.Duration
	Timer       timer.Service

	server *http.Server
}

// Run serves until the context is done, then leaves the entries, waits for the
// grace period, finishes the requests that run and returns.
func (h *Host) Run(ctx context.Context) error {
	h.server = &http.Server{Handler: h.Handler, ReadHeaderTimeout: 5 * time.Second}
	g := group.New(ctx)
	// The group stops in reverse order, so the registration ends first and the work last.
	if h.Worker != nil {
		g.Go("work", h.Worker)
	}
	g.Go("http", h.serve)
	g.Go("drain", h.drain)
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

func (h *Host) drain(ctx context.Context) error {
	<-ctx.Done()
	// A stalled request must not keep the process alive for ever.
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
	defer cancel()
	if err := h.server.Shutdown(end); err != nil {
		return h.server.Close()
	}
	return nil
}

func (h *Host) announce(ctx context.Context) error {
	_ = h.Announcer.Run(ctx)
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
	defer cancel()
	if err := h.Announcer.Deregister(end); err != nil {
		// The registration then ends with its lease.
		h.Announcer.options.Log.Sugar().Warnw("leave failed", "error", err)
	}
	return timer.Sleep(context.WithoutCancel(ctx), h.Timer, h.GracePeriod)
}
