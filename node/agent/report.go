package agent

import (
	"sync/atomic"

	"flamingohall.example/core/runner"
	"flamingohall.example/node/events"
	"flamingohall.example/node/metrics"
)

// counters are the values behind the published metrics.
type counters struct {
	starts    atomic.Int64
	stops     atomic.Int64
	holds     atomic.Int64
	malformed atomic.Int64
	// workerEnds counts how often the worker has ended under runs.
	workerEnds atomic.Int64
	// startTook and stopTook are the times that the worker took to answer a start and a stop.
	startTook metrics.Histogram
	stopTook  metrics.Histogram

	reservations reservationCounters
}

func (a *Agent) publishGauges() {
	role := a.options.Metrics
	if role == nil {
		return
	}
	role.Gauge("starts", func() any { return a.counters.starts.Load() })
	role.Gauge("stops", func() any { return a.counters.stops.Load() })
	role.Gauge("worker_ends", func() any { return a.counters.workerEnds.Load() })
	role.Gauge("holds", func() any { return a.counters.holds.Load() })
	role.Histogram("start_answer", &a.counters.startTook)
	role.Histogram("stop_answer", &a.counters.stopTook)
	role.Gauge("drained", func() any {
		if a.drained.Load() {
			return 1
		}
		return 0
	})
	role.Gauge("evacuated_data_centres", func() any {
		if view := a.follower.View(); view != nil {
			return len(view.Evacuated)
		}
		return 0
	})
	a.counters.reservations.publish(role)
	role.Gauge("malformed_frames", func() any { return a.counters.malformed.Load() })
}

// log logs a decision of the runner.
func (a *Agent) log(note runner.Note) {
	logger := a.options.Logger
	age := note.Age.Milliseconds()
	switch note.Kind {
	case runner.RunRevoked:
		events.RunRevoked.Log(logger, "task", note.Task, "run", note.Run, "entry", a.entryName(note.Session), "age_ms", age)
	case runner.RunUnknown:
		events.RunUnknown.Log(logger, "task", note.Task, "run", note.Run, "age_ms", age)
	case runner.RunLost:
		events.RunLost.Log(logger, append([]any{
			"task", note.Task, "run", note.Run, "entry", a.entryName(note.Session),
			"reason", note.Reason, "ran_ms", note.Ran.Milliseconds(), "age_ms", age,
		}, evidence(&note)...)...)
	case runner.RunStalled:
		events.RunStalled.Log(logger, "task", note.Task, "run", note.Run, "entry", a.entryName(note.Session), "age_ms", age)
	case runner.OfferRefused:
		events.OfferRefused.Log(logger, "task", note.Task, "run", note.Run, "entry", a.entryName(note.Session),
			"reason", note.Reason, "age_ms", age)
	case runner.GrantEnded:
		events.GrantEnded.Log(logger, "entry", note.Reason, "age_ms", age)
	case runner.WorkerChanged:
		events.WorkerChanged.Log(logger, "state", note.Reason, "incarnation", note.Evidence.Incarnation,
			"millicores", note.MilliCores, "age_ms", age, "error", note.Evidence.Failure)
	case runner.AnnouncementIgnored:
		events.AnnouncementIgnored.Log(logger, "incarnation", note.Reason, "known", note.Evidence.Incarnation, "age_ms", age)
	case runner.OtherIncarnationAnswered:
		events.OtherIncarnationAnswered.Log(logger, "answered_by", note.Reason, "known", note.Evidence.Incarnation, "fence", note.Fence,
			"listed", len(note.Tasks), "tasks", note.Tasks, "hold", note.Evidence.Hold, "age_ms", age)
	case runner.ConnectionsRefused:
		events.ConnectionsRefused.Log(logger, append([]any{"age_ms", age}, evidence(&note)...)...)
	case runner.ConnectionsAccepted:
		events.ConnectionsAccepted.Log(logger, append([]any{"age_ms", age}, evidence(&note)...)...)
	case runner.WorkerSuspected:
		events.WorkerSuspected.Log(logger, append([]any{"tasks", note.Tasks, "age_ms", age}, evidence(&note)...)...)
	case runner.WorkerEnded:
		a.counters.workerEnds.Add(1)
		events.WorkerEnded.Log(logger, append([]any{"reason", note.Reason, "runs", len(note.Tasks), "tasks", note.Tasks, "age_ms", age}, evidence(&note)...)...)
	case runner.ReservationMade, runner.ReservationKept, runner.ReservationGivenUp:
		a.counters.reservations.log(logger, &note)
	}
}

// evidence returns the fields that tell apart a worker that has ended, one that refuses connections and goes on with its runs, and
// one that has started again.
func evidence(note *runner.Note) []any {
	known := &note.Evidence
	return []any{
		"incarnation", known.Incarnation, "hold", known.Hold, "answered_hold", known.AnsweredHold, "open_holds", known.OpenHolds,
		"refused_ms", known.RefusedFor.Milliseconds(), "lease_left_ms", known.LeaseLeft.Milliseconds(),
		"known_runs", known.Runs, "listed", known.Listed, "error", known.Failure,
	}
}
