package daemon

import (
	"context"
	"net/http"
)

// role is one duty of the process: an entry, a sidecar, a control VM or a stand-in target.
type role interface {
	// Register mounts the role's services on the process's internal listener.
	Register(mux *http.ServeMux)
	// Start starts the role's loops and returns.
	Start(ctx context.Context) error
	// Ready returns nil when the role can serve.
	Ready() error
	// Stop ends the role without cutting a request in progress. Ready fails from the first moment of it.
	Stop(ctx context.Context) error
}

// namedRole is a role with the name of its settings section.
type namedRole struct {
	name string
	role
}
