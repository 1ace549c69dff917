package agent

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/runner"
	"flamingohall.example/node/events"
	"flamingohall.example/node/metrics"
)

// mediumShare and largeShare are the least shares of the worker of the sizes by which waits are published. Reservations are
// made for a part of the medium tasks and for all large ones.
const (
	mediumShare = 1.0 / 16
	largeShare  = 1.0 / 4
)

// reservationCounters are the values behind the metrics of the worker's queue.
type reservationCounters struct {
	made, kept, givenUp, backfills atomic.Int64
	idle                           atomic.Int64
	// waited are the waits before the start of small, medium and large tasks.
	waitedSmall, waitedMedium, waitedLarge metrics.Histogram
}

func (c *reservationCounters) publish(role *metrics.Role) {
	role.Gauge("reservations_made", func() any { return c.made.Load() })
	role.Gauge("reservations_kept", func() any { return c.kept.Load() })
	role.Gauge("reservations_given_up", func() any { return c.givenUp.Load() })
	role.Gauge("backfilled_starts", func() any { return c.backfills.Load() })
	role.Gauge("idle_reserved_ms", func() any { return time.Duration(c.idle.Load()).Milliseconds() })
	role.Histogram("queue_wait_small", &c.waitedSmall)
	role.Histogram("queue_wait_medium", &c.waitedMedium)
	role.Histogram("queue_wait_large", &c.waitedLarge)
}

// add counts the starts and the idle time of one call of Runner.Advance.
func (c *reservationCounters) add(effects *runner.Effects) {
	c.idle.Add(int64(effects.IdleReserved))
	for _, wait := range effects.Waits {
		if wait.IsBackfill {
			c.backfills.Add(1)
		}
		switch {
		case wait.Share >= largeShare:
			c.waitedLarge.Observe(wait.Waited)
		case wait.Share >= mediumShare:
			c.waitedMedium.Observe(wait.Waited)
		default:
			c.waitedSmall.Observe(wait.Waited)
		}
	}
}

// log counts and logs a change of the worker's reservation.
func (c *reservationCounters) log(logger logr.Logger, note *runner.Note) {
	waited := note.Waited.Milliseconds()
	switch note.Kind {
	case runner.ReservationMade:
		c.made.Add(1)
		events.ReservationMade.Log(logger, "task", note.Task, "expected_ms", waited)
	case runner.ReservationKept:
		c.kept.Add(1)
		events.ReservationKept.Log(logger, "task", note.Task, "held_ms", waited)
	case runner.ReservationGivenUp:
		c.givenUp.Add(1)
		events.ReservationGivenUp.Log(logger, "task", note.Task, "held_ms", waited, "reason", note.Reason)
	}
}
