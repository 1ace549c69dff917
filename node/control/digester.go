package control

import (
	"context"
	"time"

	"flamingohall.example/core/state"
	"flamingohall.example/node/events"
	"flamingohall.example/node/rpc"
)

// Timing of digests.
const (
	digestPeriod  = time.Second
	digestTimeout = 800 * time.Millisecond
)

// Digest merges a digest of the nodes that another control VM has heard from.
func (r *Role) Digest(_ context.Context, request *rpc.DigestRequest) (*rpc.DigestResponse, error) {
	r.presence.merge(request, time.Now())
	r.metrics.Add("digests_received", 1)
	return &rpc.DigestResponse{Leader: r.group.Status().Leader}, nil
}

// digester reports to the leader which nodes this VM has heard from.
type digester struct {
	role *Role
	// leader is the id of the leader at the last report.
	leader string
}

// run is the digester's duty.
func (d *digester) run(ctx context.Context) {
	every(ctx, digestPeriod, func() { d.report(ctx) })
}

// report sends the observations since the last acknowledged digest, or all of them if the leader has changed.
func (d *digester) report(ctx context.Context) {
	role := d.role
	status := role.group.Status()
	if status.Leader != d.leader {
		d.leader = status.Leader
		role.presence.markAllUnreported()
	}
	if status.Leader == "" || (status.LeaderAddress == "" && !status.IsLeader) {
		return
	}
	var revision uint64
	role.machine.read(func(s *state.State) { revision = s.Catalogue.Current().Number })
	request, numbers := role.presence.digest(role.id, revision, time.Now())
	if status.IsLeader || len(numbers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	client := rpc.NewControlProtobufClient("http://"+status.LeaderAddress, role.http)
	if _, err := client.Digest(ctx, request); err != nil {
		role.presence.restore(numbers)
		role.http.CloseIdleConnections()
		events.DigestFailed.LogError(role.logger, err, "leader", status.Leader)
	}
}

// every calls duty once per period until ctx ends.
func every(ctx context.Context, period time.Duration, duty func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			duty()
		}
	}
}
