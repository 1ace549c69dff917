package control

import (
	"context"
	"net/http"
	"time"

	"flamingohall.example/node/settings"
)

// Group is the replicated log as this role uses it.
type Group interface {
	Register(mux *http.ServeMux)
	Start(ctx context.Context) error
	Ready() error
	Stop(ctx context.Context) error
	// Propose returns the command's index and result. fault.Unavailable means that it was certainly not committed,
	// fault.Unknown that it may be.
	Propose(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	// Confirm returns once the local machine has applied everything committed before the call.
	Confirm(ctx context.Context) (index uint64, err error)
	ChangeMember(ctx context.Context, member settings.Member, remove bool) error
	Status() Status
}

// Status is what a member knows of its group.
type Status struct {
	Leader        string
	LeaderAddress string
	IsLeader      bool
	Term          uint64
	CommitIndex   uint64
	AppliedIndex  uint64
	Members       []Member
	// ConfirmedAt is when this VM last knew itself in touch with a leader that had a majority.
	ConfirmedAt time.Time
}

// Member is one control VM of a group.
type Member struct {
	settings.Member
	Learner    bool
	MatchIndex uint64
}
