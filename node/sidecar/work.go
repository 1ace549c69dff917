package sidecar

import (
	"context"
	"time"

	"flamingohall.example/core/target"
	"flamingohall.example/node/events"
)

// Periods of the watcher.
const (
	watchPeriod = time.Second
	// awayPeriod is the period while the target can't be reached.
	awayPeriod = 200 * time.Millisecond
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
	finished, away := s.client.run(next.ctx, next.start)
	if away {
		s.setReachable(ctx, false)
	}
	s.post(ctx, request{event: finished})
}

// setReachable tells the loop when the target went away or came back. The loop hears of it before it hears how the
// call ended that found it out.
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
	case s.refused <- struct{}{}:
	default:
	}
}

// watchTarget opens a connection now and then, unless answers to tasks have shown that the target is there.
func (s *Sidecar) watchTarget(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if !s.client.answered.Swap(false) || !s.reachable.Load() {
				s.probe(ctx)
			}
		case <-s.refused:
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
	if s.reachable.Load() && s.client.seen.Load() {
		return watchPeriod
	}
	return awayPeriod
}
