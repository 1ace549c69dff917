package control

import (
	"github.com/go-logr/logr"

	"flamingohall.example/node/metrics"
	"flamingohall.example/node/replica"
	"flamingohall.example/node/settings"
)

// New returns the control role over the replicated log in the settings' data folder. Its errors are *fault.Error of
// kind Storage when the folder can't be used.
func New(file *settings.File, logger logr.Logger) (*Role, error) {
	return newRole(file, logger, func(m *machine) (Group, error) { return openGroup(file, logger, m) })
}

func openGroup(file *settings.File, logger logr.Logger, m *machine) (Group, error) {
	group, err := replica.New(replica.Options{
		ID: file.Node.ID, Address: file.Node.Advertise, DataCentre: file.Node.DataCentre,
		DataFolder: file.Control.DataFolder, InitialMembers: file.Control.InitialMembers,
		SnapshotEvery: file.Control.SnapshotEvery, Machine: m, Logger: logger,
		Metrics: metrics.NewRole("replica", file.Node.ID),
	})
	if err != nil {
		return nil, err
	}
	return replicated{group}, nil
}

// replicated is a replica.Group as this role uses it.
type replicated struct {
	*replica.Group
}

// Status translates the group's status.
func (g replicated) Status() Status {
	found := g.Group.Status()
	status := Status{
		Leader: found.Leader, LeaderAddress: found.LeaderAddress, IsLeader: found.IsLeader, Term: found.Term,
		CommitIndex: found.CommitIndex, AppliedIndex: found.AppliedIndex, ConfirmedAt: found.ConfirmedAt,
	}
	for _, member := range found.Members {
		status.Members = append(status.Members, Member(member))
	}
	return status
}
