package sidecar

import (
	"context"
	"time"

	"flamingohall.example/core/target"
	"flamingohall.example/node/events"
)

// Periods between two connection checks of the watcher.
const (
	watchPeriod = time.Second
	// unreachablePeriod applies while the target can't be reached.
	unreachablePeriod = 200 * time.Millisecond
)

// callTarget sends tasks to the target, one at a time.
func (s *Sidecar) callTarget(ctx context.Context) {
	for {
		select {
		case next := <-s.calls:
			s.callOnce(ctx, next)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sidecar) callOnce(ctx context.Context, next call) {
	finished, unreachable := s.client.run(next.ctx, next.start)
	if unreachable {
		s.setReachable(ctx, false)
	}
	s.post(ctx, request{event: finished})
}

// setReachable informs the loop when the target became unreachable or reachable. callOnce calls it before it posts the
// outcome of the call, so that the loop handles the change first.
func (s *Sidecar) setReachable(ctx context.Context, up bool) {
	if s.reachable.Swap(up) == up {
		return
	}
	s.post(ctx, request{event: target.Reach{Up: up}})
	if up {
		events.TargetReachable.Log(s.logger, "target", s.options.TargetURL)
		return
	}
	events.TargetUnreachable.Log(s.logger, "target", s.options.TargetURL)
	select {
	case s.wakeWatcher <- struct{}{}:
	default:
	}
}

// watchTarget opens a connection periodically, unless a recent answer to a task has shown that the target is reachable.
func (s *Sidecar) watchTarget(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if !s.client.answered.Swap(false) || !s.reachable.Load() {
				s.probe(ctx)
			}
		case <-s.wakeWatcher:
		case <-ctx.Done():
			return
		}
		timer.Reset(s.probePeriod())
	}
}

func (s *Sidecar) probe(ctx context.Context) {
	up := s.client.probe(ctx)
	if ctx.Err() == nil {
		s.setReachable(ctx, up)
	}
}

func (s *Sidecar) probePeriod() time.Duration {
	if s.reachable.Load() && s.client.connected.Load() {
		return watchPeriod
	}
	return unreachablePeriod
}
