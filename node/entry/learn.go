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

// Quantiles of run times, as shares.
const (
	low    = 0.1
	median = 0.5
	high   = 0.9
)

const (
	// retryShare and retryBurst are the budget of retries: a share of the successes, and what may be saved up.
	retryShare = 0.2
	retryBurst = 100
	// hedgeShare and hedgeBurst are the budget of hedges.
	hedgeShare = 0.05
	hedgeBurst = 20
	// slowMedians and slowHighs say when a task is slow: this many times the median and the high quantile.
	slowMedians = 2.5
	slowHighs   = 1.25
	// minSlow keeps short tasks from being hedged for the network's delays.
	minSlow = 20 * time.Millisecond
)

// learned is what the loop learns from answers.
type learned struct {
	times   *admission.RunTimes
	retries *admission.Budget
	hedges  *admission.Budget
	quotas  *admission.Quotas
	judge   *health.OutlierDetector
	burn    *burn.Recorder
	slow    slowHeap
	// entries is the number of entries that share the targets; bounds are the owners' quotas of tasks in progress.
	entries int
	bounds  map[string]int
}

func newLearned() learned {
	return learned{
		times:   admission.NewRunTimes(),
		retries: admission.NewBudget(retryShare, retryBurst),
		hedges:  admission.NewBudget(hedgeShare, hedgeBurst),
		quotas:  admission.NewQuotas(),
		judge:   health.NewOutlierDetector(),
		burn:    burn.NewRecorder(),
		entries: 1,
	}
}

// taskTime returns the run time that a share of tasks like the longest of a job stay below.
func (l *loop) taskTime(a *accepted, share float64) time.Duration {
	longest := time.Duration(0)
	for i := range a.Tasks {
		longest = max(longest, a.declared(i))
	}
	return l.times.Quantile(a.Entry, longest, share)
}

// taskCost returns the expected slot time of one task, on the average of a job.
func (l *loop) taskCost(a *accepted) time.Duration {
	sum := time.Duration(0)
	for i := range a.Tasks {
		sum += a.declared(i)
	}
	mean := sum / time.Duration(len(a.Tasks))
	return l.times.Mean(a.Entry, mean) * time.Duration(a.entry.Slots)
}

// observe learns from what targets report.
func (l *loop) observe(m answered, now time.Time) {
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

func (l *loop) observeRun(m answered, report *job.Report, now time.Time) {
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
	if change, changed := l.judge.Observe(now, a.entry.Pool, m.target.ID, a.Entry, isFailed); changed {
		l.judged(change)
	}
}

// declared returns the declared run time of a task.
func (r *record) declared(index int) time.Duration {
	if r.job != nil && index < r.job.Tasks() {
		return r.job.Spec(index).ExpectedRun
	}
	return time.Duration(r.accepted.entry.ExpectedRunMS) * time.Millisecond
}

func (l *loop) judged(change health.Change) {
	l.board.SetEjected(change.Target, change.State != health.Healthy, change.State == health.Probation)
	switch change.State {
	case health.Ejected:
		events.TargetEjected.Log(l.entry.logger, "target", change.Target)
	case health.Probation:
		events.TargetOnProbation.Log(l.entry.logger, "target", change.Target)
	case health.Healthy:
		events.TargetReadmitted.Log(l.entry.logger, "target", change.Target)
	}
}

// review lets ejected targets be tried, and gives up jobs that can't meet their deadline any more.
func (l *loop) review(now time.Time) {
	for _, change := range l.judge.Advance(now) {
		l.judged(change)
	}
	var late []*record
	for _, queue := range l.queues {
		queue.Each(func(w *placement.Waiting) {
			r := l.store.byID[w.Job.ID()]
			if r != nil && !r.isAnswered() && now.Add(l.shortest(r)).After(r.deadline) {
				late = append(late, r)
			}
		})
	}
	for _, r := range late {
		r.retryAfter = max(noTargetRetryAfter, l.taskTime(r.accepted, median))
		// The step may answer the job, and an answered record has nothing queued any more.
		l.unqueue(r)
		l.step(r, now, job.GiveUp{Reason: "no slot came free in time for the deadline to be met"})
	}
	l.flushCancels()
}

// shortest returns the least time that a waiting task is likely to take; 0 until that is learned.
func (l *loop) shortest(r *record) time.Duration {
	if !l.times.IsLearned(r.accepted.Entry) {
		return 0
	}
	declared := time.Duration(r.accepted.entry.ExpectedRunMS) * time.Millisecond
	return l.times.Quantile(r.accepted.Entry, declared, low)
}

// slowTask is a repeatable task that is hedged if it still runs when due.
type slowTask struct {
	due     time.Time
	record  *record
	index   int
	attempt int
}

// slowHeap orders by due.
type slowHeap []slowTask

func (h slowHeap) Len() int           { return len(h) }
func (h slowHeap) Less(i, k int) bool { return h[i].due.Before(h[k].due) }
func (h slowHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push is for container/heap.
func (h *slowHeap) Push(x any) {
	task, _ := x.(slowTask)
	*h = append(*h, task)
}

// Pop is for container/heap.
func (h *slowHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = slowTask{}
	*h = old[:len(old)-1]
	return last
}

// watchSlow notes when a task that was placed counts as slow.
func (l *loop) watchSlow(now time.Time, r *record, index int) {
	a := r.accepted
	attempt := r.job.LoneAttempt(index)
	isWatched := a.isRepeatable() && attempt > 0 && l.times.IsLearned(a.Entry)
	if !isWatched || l.entry.file.Entry.Hedging == settings.Off {
		return
	}
	declared := r.declared(index)
	medians := slowMedians * float64(l.times.Quantile(a.Entry, declared, median))
	highs := slowHighs * float64(l.times.Quantile(a.Entry, declared, high))
	wait := max(minSlow, time.Duration(max(medians, highs)))
	heap.Push(&l.slow, slowTask{due: now.Add(wait), record: r, index: index, attempt: attempt})
}

// hedgeDue starts slow tasks a second time elsewhere, where nothing waits and the budget allows.
func (l *loop) hedgeDue(now time.Time) {
	for len(l.slow) > 0 && !l.slow[0].due.After(now) {
		task, _ := heap.Pop(&l.slow).(slowTask)
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

// measure counts an answered submission for the burn report: good when it ran to its end within the objective.
func (l *loop) measure(r *record, now time.Time) {
	limit := time.Duration(r.accepted.entry.Objective.LatencyMS) * time.Millisecond
	isGood := r.job.RanToEnd() && now.Sub(r.createdAt) <= limit
	l.burn.Record(now, r.accepted.Entry, r.accepted.Owner, isGood)
}

// burnWanted asks for the burn report.
type burnWanted struct {
	doc   catalogue.Document
	reply chan burn.Report
}

func (m burnWanted) apply(l *loop, now time.Time) {
	m.reply <- l.burn.Report(now, burn.Objectives(m.doc))
}

// burnReport returns the report of this entry.
func (l *loop) burnReport(ctx context.Context, doc catalogue.Document) (burn.Report, bool) {
	reply := make(chan burn.Report, 1)
	l.post(burnWanted{doc: doc, reply: reply})
	select {
	case report := <-reply:
		return report, true
	case <-ctx.Done():
	case <-l.life.Done():
	}
	return burn.Report{}, false
}
