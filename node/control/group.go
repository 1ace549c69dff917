package control

import (
	"context"
	"net/http"

	"github.com/go-logr/logr"

	"flamingohall.example/node/metrics"
	"flamingohall.example/node/replica"
	"flamingohall.example/node/settings"
)

// Group is the replicated log as this role uses it.
type Group interface {
	Register(mux *http.ServeMux)
	Start(ctx context.Context) error
	Ready() error
	Stop(ctx context.Context) error
	// Propose commits a command and returns its index and result. The error is fault.Unavailable if the command was
	// certainly not committed, fault.Unknown if it may have been.
	Propose(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	// Confirm returns once the local machine has applied everything committed before the call.
	Confirm(ctx context.Context) (index uint64, err error)
	ChangeMember(ctx context.Context, member settings.Member, remove bool) error
	Status() Status
	// SetSeeds replaces the addresses through which this VM finds the group.
	SetSeeds(addresses []string)
}

// Status is a member's view of its group.
type Status = replica.Status

// Member is one control VM of a group.
type Member = replica.Member

// openReplica opens the replicated log in the role's data folder. The error is a *fault.Error of kind Storage
// or Invalid.
func openReplica(file *settings.File, logger logr.Logger, m *machine) (Group, error) {
	return replica.New(replica.Options{
		ID: file.Node.ID, Address: file.Node.Advertise, DataCentre: file.Node.DataCentre,
		DataFolder: file.Control.DataFolder, InitialMembers: file.Control.InitialMembers,
		Seeds: file.Control.Seeds, Voters: file.Control.Voters,
		SnapshotEvery: file.Control.SnapshotEvery, Machine: m, Logger: logger, Metrics: metrics.NewRole("replica", file.Node.ID),
	})
}
