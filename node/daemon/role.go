package daemon

import (
	"context"
	"net/http"
)

// role is one function of the process: entry, sidecar, control VM or stand-in target.
type role interface {
	// Register adds the role's services to the process's internal listener.
	Register(mux *http.ServeMux)
	// Start starts the role's goroutines and returns.
	Start(ctx context.Context) error
	// Ready returns nil when the role can serve.
	Ready() error
	// Stop stops the role without interrupting requests in progress. Ready fails as soon as Stop is called.
	Stop(ctx context.Context) error
}

// namedRole is a role with the name of its settings section.
type namedRole struct {
	name string
	role
}
