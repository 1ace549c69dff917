package control

import (
	"context"
	"time"

	"flamingohall.example/core/registry"
	"flamingohall.example/core/state"
	"flamingohall.example/node/events"
)

// Timing of the leaseWatch.
const (
	watchPeriod = time.Second
	// maxWatchGap is the gap between two rounds from which the leaseWatch concludes that it was frozen, and restarts
	// all leases.
	maxWatchGap = 3 * time.Second
	tickPeriod  = 10 * time.Second
)

// leaseWatch declares silent nodes lost and advances the state's clock while this VM is the leader.
type leaseWatch struct {
	role *Role
	// leading and watchedAt, the time of the last round, determine when leases have to restart.
	leading   bool
	watchedAt time.Time
	// since is the earliest time from which the silence of a process counts, by registry number.
	since map[uint64]time.Time
	// tickIndex is the index of the last tick seen applied, tickedAt the time when it was seen.
	tickIndex uint64
	tickedAt  time.Time
}

// run executes the leaseWatch until ctx ends.
func (w *leaseWatch) run(ctx context.Context) {
	every(ctx, watchPeriod, func() { w.watch(ctx, time.Now()) })
}

func (w *leaseWatch) watch(ctx context.Context, now time.Time) {
	frozen := now.Sub(w.watchedAt) > maxWatchGap
	w.watchedAt = now
	var nodes []registry.Node
	w.role.machine.read(func(s *state.State) { nodes = s.Registry.Nodes() })
	w.role.presence.forget(numbersOf(nodes))
	leads := w.role.group.Status().IsLeader
	if !leads {
		w.leading = false
		return
	}
	if !w.leading || frozen {
		w.restartLeases(now)
	}
	w.proposeLosses(ctx, nodes, now)
	w.tick(ctx, now)
}

// restartLeases restarts all leases at now.
func (w *leaseWatch) restartLeases(now time.Time) {
	w.leading = true
	w.since = map[uint64]time.Time{}
	w.tickedAt = now
	events.LeaseWatchStarted.Log(w.role.logger, "lease", w.role.lease.String())
}

func (w *leaseWatch) proposeLosses(ctx context.Context, nodes []registry.Node, now time.Time) {
	since := make(map[uint64]time.Time, len(nodes))
	for _, node := range nodes {
		from, known := w.since[node.Number]
		if !known {
			from = now
		}
		since[node.Number] = from
		if seen, found := w.role.presence.last(node.Number); found && seen.at.After(from) {
			from = seen.at
		}
		if now.Sub(from) > w.role.lease {
			w.proposeLoss(ctx, node, now.Sub(from))
		}
	}
	w.since = since
}

// proposeLoss proposes in the background to declare a node lost. The next round retries if that fails.
func (w *leaseWatch) proposeLoss(ctx context.Context, node registry.Node, silence time.Duration) {
	loss := state.Loss{Process: state.Process{ID: node.ID, Incarnation: node.Incarnation}, ChangedAt: node.ChangedAt}
	w.role.background.Go(func() {
		_, result, err := w.role.proposer.propose(ctx, state.Step{Lose: &loss})
		if err == nil && result.Accepted {
			events.NodeLost.Log(w.role.logger, "id", node.ID, "incarnation", node.Incarnation, "silence", silence.String())
		}
	})
}

// tick proposes to advance the state's clock by the time since the last tick was seen applied. That is never more than
// the time that has passed since that tick.
func (w *leaseWatch) tick(ctx context.Context, now time.Time) {
	var applied uint64
	w.role.machine.read(func(s *state.State) { applied = s.TickIndex })
	if applied != w.tickIndex {
		w.tickIndex = applied
		w.tickedAt = now
		return
	}
	elapsed := now.Sub(w.tickedAt)
	if elapsed < tickPeriod {
		return
	}
	tick := state.Tick{Since: applied, ElapsedMS: elapsed.Milliseconds()}
	// If the proposal fails, a later round proposes a tick for the time since the last one applied.
	w.role.background.Go(func() { _, _, _ = w.role.proposer.propose(ctx, state.Step{Tick: &tick}) })
}

func numbersOf(nodes []registry.Node) map[uint64]bool {
	numbers := make(map[uint64]bool, len(nodes))
	for _, node := range nodes {
		numbers[node.Number] = true
	}
	return numbers
}
