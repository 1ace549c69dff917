package entry

import (
	"time"

	"flamingohall.example/core/job"
	"flamingohall.example/node/events"
	"flamingohall.example/node/link"
	"flamingohall.example/node/rpc"
)

// Durations of calls to sidecars.
const (
	// minHold and holdFactor set how long a sidecar may hold a Run: for holdFactor times the expected run time and at least
	// minHold, but not beyond the job's deadline.
	minHold    = 400 * time.Millisecond
	holdFactor = 4
	// answerSlack is how long after the hold a response may arrive before the call counts as unanswered.
	answerSlack = 200 * time.Millisecond
	// statusTimeout limits Status, Seal and Cancel calls.
	statusTimeout = 500 * time.Millisecond
	// callBackoff is the pause before a call that ended at once is repeated.
	callBackoff = 20 * time.Millisecond
	// sealBackoff is the pause between Seal calls to a target that does not answer.
	sealBackoff = 100 * time.Millisecond
)

// call holds what a goroutine needs to carry out an effect. The goroutine may use nothing else that the loop owns.
type call struct {
	record   *record
	accepted *accepted
	effect   job.Effect
	epoch    uint64
	// firstEpoch is the epoch of the job's first claim.
	firstEpoch uint64
	address    string
	// replaced is true if the target now runs under another incarnation.
	replaced bool
	hold     time.Duration
}

// newCall returns the call for an effect, with the address and the incarnation of its target looked up.
func (l *loop) newCall(r *record, now time.Time, effect job.Effect) call {
	c := call{
		record: r, accepted: r.accepted, effect: effect, epoch: r.job.Epoch(), firstEpoch: r.firstEpoch,
		address: l.addresses[effect.Target],
	}
	if state, known := l.loadTable.Target(effect.Target.ID); known {
		c.replaced = state.Incarnation != effect.Target.Incarnation
	}
	expected := time.Duration(0)
	for _, ref := range effect.Refs {
		declared := r.job.Spec(ref.Index).ExpectedRun
		expected = max(expected, l.times.Quantile(r.accepted.Entry, declared, highQuantile))
	}
	c.hold = min(max(minHold, holdFactor*expected), max(0, r.job.Deadline().Sub(now)))
	return c
}

// callResult passes the event that a call caused, and the load reported with it, to the loop.
type callResult struct {
	record *record
	event  job.Event
	target job.Target
	load   *rpc.Load
	// suspect is true if the target could not be reached.
	suspect bool
	reports []job.Report
}

func (m callResult) apply(l *loop, now time.Time) {
	if m.load != nil {
		l.loadTable.Report(now, m.target.ID, loadOf(m.load, m.target.Incarnation))
	}
	if m.suspect {
		l.loadTable.Suspect(m.target, now.Add(suspectPeriod))
	}
	l.observe(m, now)
	l.step(m.record, now, m.event)
	l.dirty[m.record.accepted.entry.Pool] = true
}

func (l *loop) callRun(c call) {
	target, refs := c.effect.Target, c.effect.Refs
	l.entry.metrics.Add("runs_sent", 1)
	if c.effect.Reattach {
		l.entry.metrics.Add("wasted_status", 1)
	}
	started := time.Now()
	client := l.entry.links.Sidecar(c.address)
	response, err := link.Call(l.loopCtx, c.hold+answerSlack, client.Run, c.runRequest(l.entry.file.Node.ID))
	if err != nil {
		l.runFailed(c, err, time.Since(started))
		return
	}
	reports := reportsOf(response.GetOutcomes())
	if time.Since(started) < callBackoff && !anyFinal(reports) {
		sleep(l.loopCtx, callBackoff)
	}
	l.post(callResult{
		record: c.record, target: target, load: response.GetLoad(), reports: reports,
		event: job.RunAnswered{
			Target: target, Incarnation: response.GetIncarnation(), Asked: refs, Reports: reports,
		},
	})
}

func (l *loop) runFailed(c call, err error, took time.Duration) {
	target, refs := c.effect.Target, c.effect.Refs
	if link.IsNotSent(err) && !c.effect.Reattach {
		reports := notSentReports(refs, err)
		l.post(callResult{
			record: c.record, target: target, suspect: true, reports: reports,
			event: job.RunAnswered{Target: target, Asked: refs, Reports: reports},
		})
		return
	}
	if took < callBackoff {
		sleep(l.loopCtx, callBackoff)
	}
	l.post(callResult{record: c.record, target: target, event: job.RunUnanswered{Target: target, Asked: refs}})
}

// notSentReports reports attempts as not run because no connection to the target could be made.
func notSentReports(refs []job.Ref, err error) []job.Report {
	reports := make([]job.Report, len(refs))
	for i, ref := range refs {
		reports[i] = job.Report{Ref: ref, Outcome: job.NotRun, Cause: job.CauseTarget, Reason: err.Error()}
	}
	return reports
}

func anyFinal(reports []job.Report) bool {
	for i := range reports {
		if reports[i].Outcome.Final() {
			return true
		}
	}
	return false
}

func (c call) runRequest(entryID string) *rpc.RunRequest {
	a := c.accepted
	request := &rpc.RunRequest{
		EntryId: entryID, Incarnation: c.effect.Target.Incarnation, JobId: a.id, Epoch: c.epoch,
		FirstEpoch: c.firstEpoch,
		Repeatable: a.isRepeatable(), Owner: a.Owner, CatalogueEntry: a.Entry,
		DeadlineMs: time.Until(c.record.deadline).Milliseconds(), HoldMs: c.hold.Milliseconds(),
		Slots: uint32(a.entry.Slots), Tasks: make([]*rpc.TaskSpec, len(c.effect.Refs)),
	}
	if request.Repeatable {
		request.Incarnation = ""
	}
	for i, ref := range c.effect.Refs {
		task := a.Tasks[ref.Index]
		request.Tasks[i] = &rpc.TaskSpec{
			Index: uint32(ref.Index), Attempt: uint32(ref.Attempt), Payload: task.Payload,
			ExpectedRunMs: uint32(task.ExpectedRunMS),
		}
	}
	return request
}

// callStatus asks for the state of attempts over a fresh connection. A response shows that the old connection was at
// fault, not the target.
func (l *loop) callStatus(c call) {
	target, refs := c.effect.Target, c.effect.Refs
	l.entry.metrics.Add("wasted_status", 1)
	if c.replaced {
		l.post(callResult{record: c.record, event: job.TargetLost{Target: target, Replaced: true}, target: target})
		return
	}
	request := &rpc.StatusRequest{JobId: c.accepted.id, Indexes: indexesOf(refs)}
	response, err := link.Call(l.loopCtx, statusTimeout, l.entry.links.Fresh(c.address).Status, request)
	if err != nil {
		events.TargetSuspected.LogError(l.entry.logger, err, "target", target.ID)
		l.post(callResult{
			record: c.record, target: target, suspect: true,
			event: job.StatusUnanswered{Target: target, Asked: refs},
		})
		return
	}
	events.ConnectionUnresponsive.Log(l.entry.logger, "target", target.ID)
	l.entry.links.Retire(c.address)
	if response.GetIncarnation() != target.Incarnation {
		l.post(callResult{record: c.record, event: job.TargetLost{Target: target, Replaced: true}, target: target})
		return
	}
	reports := reportsOf(response.GetOutcomes())
	l.post(callResult{
		record: c.record, target: target, load: response.GetLoad(), reports: reports,
		event: job.StatusAnswered{Target: target, Asked: refs, Reports: reports},
	})
}

// callSeal fences attempts over a fresh connection. Refs without attempt numbers seal the whole job, as in a takeover.
func (l *loop) callSeal(c call) {
	target, refs := c.effect.Target, c.effect.Refs
	l.entry.metrics.Add("wasted_seal", 1)
	if c.replaced {
		l.post(callResult{record: c.record, event: job.TargetLost{Target: target, Replaced: true}, target: target})
		return
	}
	request := &rpc.SealRequest{
		JobId: c.accepted.id, Epoch: c.epoch, Indexes: indexesOf(refs), Incarnation: target.Incarnation,
		All: refs[0].Attempt == 0, Attempt: commonAttempt(refs), FirstEpoch: c.firstEpoch,
	}
	response, err := link.Call(l.loopCtx, statusTimeout, l.entry.links.Fresh(c.address).Seal, request)
	if err != nil {
		sleep(l.loopCtx, sealBackoff)
		l.post(callResult{
			record: c.record, target: target, suspect: true,
			event: job.SealUnanswered{Target: target, Asked: refs},
		})
		return
	}
	reports := reportsOf(response.GetOutcomes())
	l.post(callResult{
		record: c.record, target: target, load: response.GetLoad(), reports: reports,
		event: job.SealAnswered{Target: target, Asked: refs, Reports: reports},
	})
}

// commonAttempt returns the attempt number that all refs share, or 0.
func commonAttempt(refs []job.Ref) uint32 {
	for _, ref := range refs {
		if ref.Attempt != refs[0].Attempt {
			return 0
		}
	}
	return uint32(refs[0].Attempt)
}

// cancelBatch collects the cancellations for one target, so that at most one Cancel call to it is in flight.
type cancelBatch struct {
	jobs       map[string]*rpc.CancelledJob
	isInFlight bool
}

func (l *loop) addCancel(r *record, effect job.Effect) {
	batch := l.cancels[effect.Target]
	if batch == nil {
		batch = &cancelBatch{jobs: map[string]*rpc.CancelledJob{}}
		l.cancels[effect.Target] = batch
	}
	id := r.accepted.id
	cancelled := batch.jobs[id]
	if cancelled == nil {
		cancelled = &rpc.CancelledJob{JobId: id}
		batch.jobs[id] = cancelled
	}
	cancelled.Indexes = append(cancelled.Indexes, indexesOf(effect.Refs)...)
}

// flushCancels sends the collected cancellations to each target that has no Cancel call in flight.
func (l *loop) flushCancels() {
	for target, batch := range l.cancels {
		if batch.isInFlight {
			continue
		}
		if len(batch.jobs) == 0 {
			delete(l.cancels, target)
			continue
		}
		request := &rpc.CancelRequest{}
		for _, cancelled := range batch.jobs {
			request.Jobs = append(request.Jobs, cancelled)
		}
		batch.jobs = map[string]*rpc.CancelledJob{}
		batch.isInFlight = true
		go l.callCancel(target, l.addresses[target], request)
	}
}

// repeat adds cancellations whose call failed to the next batch.
func (b *cancelBatch) repeat(failed []*rpc.CancelledJob) {
	for _, cancelled := range failed {
		if later := b.jobs[cancelled.GetJobId()]; later != nil {
			cancelled.Indexes = append(cancelled.Indexes, later.Indexes...)
		}
		b.jobs[cancelled.GetJobId()] = cancelled
	}
}

func (l *loop) callCancel(target job.Target, address string, request *rpc.CancelRequest) {
	l.entry.metrics.Add("wasted_cancel", 1)
	response, err := link.Call(l.loopCtx, statusTimeout, l.entry.links.Sidecar(address).Cancel, request)
	m := cancelResult{target: target}
	if err == nil {
		m.load = response.GetLoad()
	} else {
		m.failed = request.Jobs
		sleep(l.loopCtx, callBackoff)
	}
	l.post(m)
}

// cancelResult ends a Cancel call, after which the next batch for the target may be sent.
type cancelResult struct {
	target job.Target
	load   *rpc.Load
	// failed holds the cancellations of a call without an answer. They are repeated while the target is registered.
	failed []*rpc.CancelledJob
}

func (m cancelResult) apply(l *loop, now time.Time) {
	if batch := l.cancels[m.target]; batch != nil {
		batch.isInFlight = false
		if state, known := l.loadTable.Target(m.target.ID); known && state.Incarnation == m.target.Incarnation {
			batch.repeat(m.failed)
		}
	}
	if m.load != nil {
		l.loadTable.Report(now, m.target.ID, loadOf(m.load, m.target.Incarnation))
	}
}
