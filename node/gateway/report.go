package gateway

import (
	"sync/atomic"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/node/events"
	"flamingohall.example/node/metrics"
)

// counters are the values behind the published metrics.
type counters struct {
	completed atomic.Int64
	failed    atomic.Int64
	refused   atomic.Int64
	givenUp   atomic.Int64
	cancelled atomic.Int64
	inTime    atomic.Int64
	offers    atomic.Int64
	malformed atomic.Int64
	// drained is the number of workers that operators have drained.
	drained atomic.Int64
	// tasksGivenUp counts tasks that are not started again because workers ended under them, containments how often a queue
	// was contained.
	tasksGivenUp atomic.Int64
	containments atomic.Int64
	// took is the time from a job's arrival to its answer, waited the time until its last task began. Both cover completed
	// jobs only. expected is the predicted wait of every job.
	took     metrics.Histogram
	waited   metrics.Histogram
	expected metrics.Histogram
	// storeTook is the time until a job was stored, recordTook the time until a batch of ends was recorded.
	storeTook  metrics.Histogram
	recordTook metrics.Histogram
	// answeredBefore counts submissions that got the answer of an earlier one, answersShared and answersLearned the answers
	// sent to and received from other entries.
	answeredBefore atomic.Int64
	answersShared  atomic.Int64
	answersLearned atomic.Int64
	renewalsFailed atomic.Int64
	recordsFailed  atomic.Int64
}

func (c *counters) recordAnswer(answer *dispatch.Answer) {
	if answer.Cause == dispatch.AnsweredBefore {
		c.answeredBefore.Add(1)
		return
	}
	c.offers.Add(int64(answer.Trace.Offers))
	c.expected.Observe(answer.Trace.PredictedWait)
	switch answer.Result {
	case dispatch.Completed:
		c.completed.Add(1)
		c.took.Observe(answer.Trace.Took)
		c.waited.Observe(answer.Trace.Waited)
		if answer.Trace.Took <= answer.Trace.Objective {
			c.inTime.Add(1)
		}
	case dispatch.JobFailed:
		c.failed.Add(1)
	case dispatch.Refused:
		c.refused.Add(1)
	case dispatch.GivenUp:
		c.givenUp.Add(1)
	case dispatch.JobCancelled:
		c.cancelled.Add(1)
	}
}

// countByQueue counts an answer for its queue, so that operators can compare how the queues are served.
func (g *Gateway) countByQueue(answer *dispatch.Answer) {
	if g.options.Metrics == nil || answer.Cause == dispatch.AnsweredBefore {
		return
	}
	name := "other"
	switch {
	case answer.Result == dispatch.Refused:
		name = "refused"
	case answer.Result == dispatch.Completed && answer.Trace.Took <= answer.Trace.Objective:
		name = "in_time"
	case answer.Result == dispatch.Completed:
		name = "late"
	}
	g.options.Metrics.Sub("queues", answer.Queue).Add(name, 1)
}

func (g *Gateway) publishGauges() {
	role := g.options.Metrics
	if role == nil {
		return
	}
	for name, counter := range map[string]*atomic.Int64{
		"jobs_completed": &g.counters.completed, "jobs_failed": &g.counters.failed, "jobs_refused": &g.counters.refused,
		"jobs_given_up": &g.counters.givenUp, "jobs_cancelled": &g.counters.cancelled,
		"jobs_in_time": &g.counters.inTime, "offers": &g.counters.offers, "malformed_frames": &g.counters.malformed,
		"tasks_given_up": &g.counters.tasksGivenUp, "containments": &g.counters.containments,
		"jobs": &g.jobs, "keeps_failed": &g.counters.renewalsFailed, "records_failed": &g.counters.recordsFailed,
		"jobs_answered_before": &g.counters.answeredBefore, "answers_shared": &g.counters.answersShared, "answers_learned": &g.counters.answersLearned,
	} {
		role.Gauge(name, func() any { return counter.Load() })
	}
	role.Gauge("drained_workers", func() any { return g.counters.drained.Load() })
	role.Gauge("evacuated_data_centres", func() any {
		if view := g.follower.View(); view != nil {
			return len(view.Evacuated)
		}
		return 0
	})
	role.Histogram("job_took", &g.counters.took)
	role.Histogram("job_waited", &g.counters.waited)
	role.Histogram("job_expected_wait", &g.counters.expected)
	role.Histogram("store_took", &g.counters.storeTook)
	role.Histogram("record_took", &g.counters.recordTook)
}

// logAnswer logs the final answer to a job, with one line per answer.
func (g *Gateway) logAnswer(answer *dispatch.Answer) {
	trace := &answer.Trace
	events.JobEnded.Log(g.options.Logger, "request", answer.Request, "job", answer.Job, "queue", answer.Queue, "result", answer.Result.String(),
		"cause", answer.Cause.String(), "tasks", trace.Tasks, "offers", trace.Offers, "failures", trace.Failures,
		"waited_ms", trace.Waited.Milliseconds(), "took_ms", trace.Took.Milliseconds(),
		"objective_ms", trace.Objective.Milliseconds(), "predicted_wait_ms", trace.PredictedWait.Milliseconds(),
		"worker", trace.Worker, "held_ms", trace.Held.Milliseconds(), "expected_ms", trace.Expected.Milliseconds(), "target_ms", trace.Target.Milliseconds(), "millicores", trace.MilliCores,
		"offered_ms", trace.Slowest.Offered.Milliseconds(), "reoffered_ms", trace.Slowest.Reoffered.Milliseconds(),
		"queued_ms", trace.Slowest.Queued.Milliseconds(), "run_ms", trace.Slowest.Run.Milliseconds(),
		"free_millicores", trace.FreeMilliCores, "pool_millicores", trace.PoolMilliCores)
}

// log logs a decision of the dispatcher.
func (g *Gateway) log(note dispatch.Note) {
	logger := g.options.Logger
	age := note.Age.Milliseconds()
	switch note.Kind {
	case dispatch.OfferRejected:
		events.OfferDeclined.Log(logger, "task", note.Task, "run", note.Run, "worker", note.Worker,
			"reason", note.Reason, "load_age_ms", age)
	case dispatch.RunUnsuccessful:
		events.RunUnsuccessful.Log(logger, "task", note.Task, "run", note.Run, "worker", note.Worker,
			"outcome", note.Reason, "cause", note.Cause, "load_age_ms", age)
	case dispatch.RunMoved:
		events.RunMoved.Log(logger, "task", note.Task, "run", note.Run, "worker", note.Worker,
			"remaining", note.Reason, "load_age_ms", age)
	case dispatch.SessionLost:
		events.SessionLost.Log(logger, "worker", note.Worker, "silence_ms", age)
	case dispatch.SessionEstablished:
		events.SessionEstablished.Log(logger, "worker", note.Worker)
	case dispatch.WorkerEjected:
		events.WorkerEjected.Log(logger, "worker", note.Worker)
	case dispatch.WorkerOnProbation:
		events.WorkerOnProbation.Log(logger, "worker", note.Worker)
	case dispatch.WorkerReadmitted:
		events.WorkerReadmitted.Log(logger, "worker", note.Worker)
	case dispatch.SheddingBegan:
		events.SheddingBegan.Log(logger, "pool", note.Reason, "wait_ms", age)
	case dispatch.SheddingEnded:
		events.SheddingEnded.Log(logger, "pool", note.Reason, "refused", note.Count)
	default:
		g.logStored(note)
		g.logCrash(note)
	}
}

// logStored logs a decision about stored jobs and their leases.
func (g *Gateway) logStored(note dispatch.Note) {
	logger := g.options.Logger
	age := note.Age.Milliseconds()
	switch note.Kind {
	case dispatch.JobLeaseLost:
		events.JobLeaseLost.Log(logger, "holder", *g.holder.Load(), "silence_ms", age)
	case dispatch.JobLeaseAcquired:
		events.JobLeaseAcquired.Log(logger, "holder", *g.holder.Load(), "age_ms", age)
	case dispatch.JobTakenOver:
		events.StoredJobTakenOver.Log(logger, "job", note.Task, "epoch", note.Run)
	case dispatch.AssignmentIgnored:
		events.AssignmentIgnored.Log(logger, "job", note.Task, "epoch", note.Run, "assigned_epoch", note.Count)
	case dispatch.JobReleased:
		events.StoredJobDropped.Log(logger, "job", note.Task)
	}
}

// logCrash logs a decision that follows from crashes of workers.
func (g *Gateway) logCrash(note dispatch.Note) {
	logger := g.options.Logger
	switch note.Kind {
	case dispatch.TaskGivenUp:
		g.counters.tasksGivenUp.Add(1)
		events.TaskGivenUp.Log(logger, "task", note.Task, "run", note.Run, "worker", note.Worker, "crashes", note.Count)
	case dispatch.CrashRecorded:
		events.CrashRecorded.Log(logger, "task", note.Task, "run", note.Run, "worker", note.Worker, "incarnation", note.Reason)
	case dispatch.QueueContained:
		g.counters.containments.Add(1)
		events.QueueContained.Log(logger, "queue", note.Reason, "task", note.Task, "workers", note.Count)
	case dispatch.QueueReleased:
		events.QueueReleased.Log(logger, "queue", note.Reason)
	}
}
