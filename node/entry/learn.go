package entry

import (
	"container/heap"
	"context"
	"time"

	"flamingohall.example/core/admission"
	"flamingohall.example/core/burn"
	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/health"
	"flamingohall.example/core/job"
	"flamingohall.example/core/placement"
	"flamingohall.example/node/events"
	"flamingohall.example/node/settings"
)

// Quantiles of run times, between 0 and 1.
const (
	lowQuantile    = 0.1
	medianQuantile = 0.5
	highQuantile   = 0.9
)

const (
	// retryShare and retryBurst define the retry budget: what each success adds, and the most that may accumulate.
	retryShare = 0.2
	retryBurst = 100
	// hedgeShare and hedgeBurst define the hedge budget in the same way.
	hedgeShare = 0.05
	hedgeBurst = 20
	// A task is slow once it has run for slowMedianFactor times the median run time and slowHighFactor times the high
	// quantile.
	slowMedianFactor = 2.5
	slowHighFactor   = 1.25
	// minHedgeDelay is the minimum time before a task is hedged, so that network delays do not cause hedges of short tasks.
	minHedgeDelay = 20 * time.Millisecond
)

// learnedState is the state of the loop for admission, retries, hedges, ejection and service levels, most of it learned
// from responses of targets.
type learnedState struct {
	times     *admission.RunTimes
	retries   *admission.Budget
	hedges    *admission.Budget
	quotas    *admission.Quotas
	detector  *health.OutlierDetector
	burn      *burn.Recorder
	slowTasks slowHeap
	// entryCount is the number of entries that share the targets; runningQuotas are the owners' quotas of tasks in
	// progress.
	entryCount    int
	runningQuotas map[string]int
}

func newLearnedState() learnedState {
	return learnedState{
		times:      admission.NewRunTimes(),
		retries:    admission.NewBudget(retryShare, retryBurst),
		hedges:     admission.NewBudget(hedgeShare, hedgeBurst),
		quotas:     admission.NewQuotas(),
		detector:   health.NewOutlierDetector(),
		burn:       burn.NewRecorder(),
		entryCount: 1,
	}
}

// taskTime returns the run time that the given share of tasks like the job's longest one does not exceed.
func (l *loop) taskTime(a *accepted, share float64) time.Duration {
	longest := time.Duration(0)
	for i := range a.Tasks {
		longest = max(longest, a.declared(i))
	}
	return l.times.Quantile(a.Entry, longest, share)
}

// taskCost returns the expected slot time of a job's average task.
func (l *loop) taskCost(a *accepted) time.Duration {
	sum := time.Duration(0)
	for i := range a.Tasks {
		sum += a.declared(i)
	}
	mean := sum / time.Duration(len(a.Tasks))
	return l.times.Mean(a.Entry, mean) * time.Duration(a.entry.Slots)
}

// observe updates the learned state with the reports of a target.
func (l *loop) observe(m callResult, now time.Time) {
	for i := range m.reports {
		report := &m.reports[i]
		switch {
		case report.Outcome == job.NotRun:
			l.entry.metrics.Add("wasted_refusal", 1)
		case report.Outcome.Final():
			l.entry.metrics.Add("tasks_started", 1)
			l.observeRun(m, report, now)
		}
	}
}

func (l *loop) observeRun(m callResult, report *job.Report, now time.Time) {
	a := m.record.accepted
	isDone := report.Outcome == job.Done
	if isDone {
		l.retries.Succeeded(1)
		l.hedges.Succeeded(1)
		l.times.Observe(a.Entry, m.record.declared(report.Index), report.Run)
	}
	isFailed := report.Outcome == job.Failed && (report.Cause == job.CauseTarget || report.Cause == job.CauseTask)
	if !isDone && !isFailed || l.entry.file.Entry.Ejection == settings.Off {
		return
	}
	if change, changed := l.detector.Observe(now, a.entry.Pool, m.target.ID, a.Entry, isFailed); changed {
		l.applyHealthChange(change)
	}
}

// declared returns the declared run time of a task.
func (r *record) declared(index int) time.Duration {
	if r.job != nil && index < r.job.Tasks() {
		return r.job.Spec(index).ExpectedRun
	}
	return time.Duration(r.accepted.entry.ExpectedRunMS) * time.Millisecond
}

func (l *loop) applyHealthChange(change health.Change) {
	l.loadTable.SetEjected(change.Target, change.State != health.Healthy, change.State == health.Probation)
	switch change.State {
	case health.Ejected:
		events.TargetEjected.Log(l.entry.logger, "target", change.Target)
	case health.Probation:
		events.TargetOnProbation.Log(l.entry.logger, "target", change.Target)
	case health.Healthy:
		events.TargetReadmitted.Log(l.entry.logger, "target", change.Target)
	}
}

// review puts ejected targets on probation when it is time, and gives up jobs that can no longer meet their deadline.
func (l *loop) review(now time.Time) {
	for _, change := range l.detector.Advance(now) {
		l.applyHealthChange(change)
	}
	var late []*record
	for _, queue := range l.queues {
		queue.Each(func(w *placement.Waiting) {
			r := l.store.byID[w.Job.ID()]
			if r != nil && !r.isAnswered() && now.Add(l.minRunTime(r)).After(r.deadline) {
				late = append(late, r)
			}
		})
	}
	for _, r := range late {
		r.retryAfter = max(noTargetRetryAfter, l.taskTime(r.accepted, medianQuantile))
		// Unqueue first: the step may answer the job, and a kept record no longer has its queue item.
		l.unqueue(r)
		l.step(r, now, job.GiveUp{Reason: "no slot came free in time for the deadline to be met"})
	}
	l.flushCancels()
}

// minRunTime returns a low estimate of the run time of a waiting task; 0 until run times are learned.
func (l *loop) minRunTime(r *record) time.Duration {
	if !l.times.IsLearned(r.accepted.Entry) {
		return 0
	}
	declared := time.Duration(r.accepted.entry.ExpectedRunMS) * time.Millisecond
	return l.times.Quantile(r.accepted.Entry, declared, lowQuantile)
}

// slowTask is a repeatable task that is hedged if it is still running at due.
type slowTask struct {
	due     time.Time
	record  *record
	index   int
	attempt int
}

// slowHeap is a heap of tasks, ordered by due.
type slowHeap []slowTask

func (h slowHeap) Len() int           { return len(h) }
func (h slowHeap) Less(i, k int) bool { return h[i].due.Before(h[k].due) }
func (h slowHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *slowHeap) Push(x any) {
	task, _ := x.(slowTask)
	*h = append(*h, task)
}

// Pop implements heap.Interface.
func (h *slowHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = slowTask{}
	*h = old[:len(old)-1]
	return last
}

// scheduleHedge schedules the hedge of a placed task for the time at which the task counts as slow.
func (l *loop) scheduleHedge(now time.Time, r *record, index int) {
	a := r.accepted
	attempt := r.job.LoneAttempt(index)
	isEligible := a.isRepeatable() && attempt > 0 && l.times.IsLearned(a.Entry)
	if !isEligible || l.entry.file.Entry.Hedging == settings.Off {
		return
	}
	declared := r.declared(index)
	medians := slowMedianFactor * float64(l.times.Quantile(a.Entry, declared, medianQuantile))
	highs := slowHighFactor * float64(l.times.Quantile(a.Entry, declared, highQuantile))
	wait := max(minHedgeDelay, time.Duration(max(medians, highs)))
	heap.Push(&l.slowTasks, slowTask{due: now.Add(wait), record: r, index: index, attempt: attempt})
}

// startDueHedges starts slow tasks a second time at another target, if no task waits in the pool and the budget allows.
func (l *loop) startDueHedges(now time.Time) {
	for len(l.slowTasks) > 0 && !l.slowTasks[0].due.After(now) {
		task, _ := heap.Pop(&l.slowTasks).(slowTask)
		r := task.record
		if r.isAnswered() || r.job.LoneAttempt(task.index) != task.attempt || l.queue(r.accepted.entry.Pool).Len() > 0 {
			continue
		}
		state := l.pick(now, r, task.index)
		if state == nil || state.ID == r.job.Task(task.index).Target || !l.hedges.Take() {
			continue
		}
		l.entry.metrics.Add("wasted_hedge", 1)
		l.place(now, r, state, task.index)
		l.sendPending(now, false)
	}
}

// recordBurn counts an answered submission for the burn report: as good if it ran to its end within the objective.
func (l *loop) recordBurn(r *record, now time.Time) {
	limit := time.Duration(r.accepted.entry.Objective.LatencyMS) * time.Millisecond
	isWithinObjective := r.job.RanToEnd() && now.Sub(r.createdAt) <= limit
	l.burn.Record(now, r.accepted.Entry, r.accepted.Owner, isWithinObjective)
}

// burnRequest requests the burn report.
type burnRequest struct {
	doc   catalogue.Document
	reply chan burn.Report
}

func (m burnRequest) apply(l *loop, now time.Time) {
	m.reply <- l.burn.Report(now, burn.Objectives(m.doc))
}

// burnReport returns the burn report of this entry; false if ctx or the loop ends first.
func (l *loop) burnReport(ctx context.Context, doc catalogue.Document) (burn.Report, bool) {
	reply := make(chan burn.Report, 1)
	l.post(burnRequest{doc: doc, reply: reply})
	select {
	case report := <-reply:
		return report, true
	case <-ctx.Done():
	case <-l.loopCtx.Done():
	}
	return burn.Report{}, false
}
