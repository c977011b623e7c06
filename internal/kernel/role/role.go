// Package role holds the registry of the roles that an instance can run.
package role

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/config/secret"
	"wisteriakeel.example/wisteriakeel/internal/config/settings"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/plugin"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Env holds what the process provides to its roles.
type Env struct {
	Settings    *settings.Settings
	Credentials *secret.Credentials
	Log         *zap.Logger
	Timer       timer.Service
	// Mux handles the HTTP requests of the process. It is served once all roles are set up.
	Mux *http.ServeMux
	// Group runs the goroutines of the role. It stops them in reverse order of their
	// start: first the HTTP listener, then the entry role, then the control role.
	Group *group.Group
	// OnDrain registers a function that is called when the process begins a graceful
	// shutdown, while it still serves HTTP. Once all these functions have returned, the
	// listener closes and requests in progress are completed; only then are the
	// goroutines of Group stopped.
	OnDrain func(f func(ctx context.Context) error)
	// Stop begins a graceful shutdown of the process, as SIGTERM does.
	Stop func()
}

// SetupFunc sets up a role: it registers HTTP handlers, starts goroutines in the group
// and returns. If it returns an error, the process ends. The context is cancelled when
// the process is stopped during the set-up.
type SetupFunc func(ctx context.Context, e Env) error

// Registry holds the set-up functions by the name of their role.
var Registry = plugin.NewRegistry[SetupFunc]("role")
