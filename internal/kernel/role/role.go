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

// Env is what the process gives to its roles.
type Env struct {
	Settings *settings.Settings
	Secrets  *secret.Credentials
	Log      *zap.Logger
	Timer    timer.Service
	// Mux is served once every role has been set up.
	Mux *http.ServeMux
	// Group takes the goroutines of the role. It stops the latest started
	// first: the HTTP listener, then the entry, then the control role.
	Group *group.Group
	// OnDrain registers a function that is called when the process is asked to
	// stop, while it still serves HTTP; the listener closes once all have
	// returned. Requests in progress are then waited for, and only after that
	// the members of Group are stopped.
	OnDrain func(f func(ctx context.Context) error)
	// Stop asks the process to stop as a signal does.
	Stop func()
}

// SetupFunc sets up a role: it registers handlers, starts members in the group and
// returns. An error ends the process. The context ends when the set-up must be
// given up.
type SetupFunc func(ctx context.Context, e Env) error

// Registry holds the runners by the name of the role.
var Registry = plugin.NewRegistry[SetupFunc]("role")
