package entry

import (
	"time"

	"flamingohall.example/core/admission"
	"flamingohall.example/core/job"
	"flamingohall.example/core/placement"
	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/events"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

const (
	// groupBelow is the share of busy slots up to which tasks of one job are sent in one Run: then no other task waits
	// for the slot that a group's first task frees.
	groupBelow = 0.5
	// maxSkipped limits the jobs that a pass skips because no target that they may use has a free slot.
	maxSkipped = 16
	// maxAddresses limits the number of remembered addresses, which include those of lost targets.
	maxAddresses = 4096
)

// pendingRun is a Run that the current placement pass will send.
type pendingRun struct {
	record *record
	effect job.Effect
}

// enqueue adds a job with waiting tasks to the queue of its pool.
func (l *loop) enqueue(r *record) {
	pool := r.accepted.entry.Pool
	r.cursor = 0
	l.queue(pool).Push(r.waiting)
	l.dirty[pool] = true
}

func (l *loop) unqueue(r *record) {
	l.queue(r.accepted.entry.Pool).Remove(r.waiting)
}

func (l *loop) queue(pool string) *placement.Queue {
	queue := l.queues[pool]
	if queue == nil {
		queue = placement.NewQueue(l.entry.file.Entry.Order == settings.OrderArrival)
		l.queues[pool] = queue
	}
	return queue
}

// dispatch places waiting tasks in each pool that changed.
func (l *loop) dispatch(now time.Time) {
	for pool := range l.dirty {
		delete(l.dirty, pool)
		if queue := l.queues[pool]; queue != nil && queue.Len() > 0 {
			l.dispatchPool(now, pool, queue)
		}
	}
}

func (l *loop) dispatchPool(now time.Time, pool string, queue *placement.Queue) {
	var skipped []*placement.Waiting
	for len(skipped) < maxSkipped {
		w := queue.Next(l.isAtQuota)
		if w == nil {
			break
		}
		r := l.store.byID[w.Job.ID()]
		if r == nil || !w.Job.IsWaiting() {
			queue.Remove(w)
			continue
		}
		if l.placeNext(now, queue, r) {
			continue
		}
		if r.candidates == nil && !r.isRetry() {
			break
		}
		// Other jobs may be allowed on targets with free slots that this job may not use.
		l.extendClaim(r, now)
		queue.Remove(w)
		skipped = append(skipped, w)
	}
	for _, w := range skipped {
		if w.Job.IsWaiting() {
			queue.Push(w)
		}
	}
	l.sendPending(now, queue.Len() == 0 && l.loadTable.Utilisation(now, pool) <= groupBelow)
}

// placeNext places one task of a job and reports whether a target had a free slot.
func (l *loop) placeNext(now time.Time, queue *placement.Queue, r *record) bool {
	index := r.job.NextWaiting(r.cursor)
	if index < 0 {
		r.cursor = 0
		index = r.job.NextWaiting(0)
	}
	state := l.pick(now, r, index)
	if state == nil {
		return false
	}
	r.cursor = index + 1
	if !r.isPlaced {
		r.isPlaced = true
		r.waitTime = now.Sub(r.createdAt) - r.claimTime
	}
	l.place(now, r, state, index)
	queue.Served(r.waiting)
	return true
}

// pick returns a target for a task, or nil. A task that was tried before goes to another target if the pool has one.
func (l *loop) pick(now time.Time, r *record, index int) *placement.TargetState {
	request := placement.Request{
		Pool: r.accepted.entry.Pool, Slots: r.accepted.entry.Slots, Repeatable: r.accepted.isRepeatable(),
		Allowed: r.candidates, Avoid: r.job.Task(index).Target,
	}
	if l.loadTable.Targets(request.Pool) == 1 {
		request.Avoid = ""
	}
	return l.loadTable.Pick(now, request)
}

// isRetry reports whether the next task was tried before, so that it avoids the target of its last attempt.
func (r *record) isRetry() bool {
	index := r.job.NextWaiting(r.cursor)
	return index >= 0 && r.job.Task(index).Target != ""
}

func (l *loop) place(now time.Time, r *record, state *placement.TargetState, index int) {
	target := state.Name()
	l.loadTable.Started(target, r.accepted.entry.Slots)
	l.quotas.Started(r.accepted.Owner)
	for _, effect := range r.job.Step(now, job.Place{Target: target, Indexes: []int{index}}) {
		if effect.Kind == job.EffectRun {
			l.pending = append(l.pending, pendingRun{record: r, effect: effect})
			continue
		}
		l.carryOut(r, now, effect)
	}
	l.scheduleHedge(now, r, index)
}

// sendRun sends a Run, for new attempts or to reattach to attempts that were sent before.
func (l *loop) sendRun(r *record, now time.Time, effect job.Effect) {
	go l.callRun(l.newCall(r, now, effect))
}

// sendPending sends the Runs of a placement pass; if grouped, one for each job and target.
func (l *loop) sendPending(now time.Time, isGrouped bool) {
	pending := l.pending
	if isGrouped && len(pending) > 1 {
		pending = groupRuns(pending)
	}
	for _, p := range pending {
		l.sendRun(p.record, now, p.effect)
	}
	l.pending = l.pending[:0]
}

// groupRuns merges the Runs of the same job to the same target.
func groupRuns(pending []pendingRun) []pendingRun {
	type key struct {
		record *record
		target job.Target
	}
	positions := map[key]int{}
	var grouped []pendingRun
	for _, p := range pending {
		k := key{p.record, p.effect.Target}
		if i, known := positions[k]; known {
			grouped[i].effect.Refs = append(grouped[i].effect.Refs, p.effect.Refs...)
			continue
		}
		positions[k] = len(grouped)
		grouped = append(grouped, p)
	}
	return grouped
}

// isAtQuota reports whether an owner has reached this entry's share of its quota of tasks in progress.
func (l *loop) isAtQuota(owner string) bool {
	quota := admission.EntryShare(l.runningQuotas[owner], l.entryCount)
	return quota > 0 && l.quotas.Running(owner) >= quota
}

// viewChanged applies a new view of the catalogue and the nodes.
type viewChanged struct{ view *controlclient.View }

func (m viewChanged) apply(l *loop, now time.Time) {
	var targets []placement.Target
	inUse := map[string]bool{}
	l.entryCount = 0
	l.runningQuotas = map[string]int{}
	for _, owner := range m.view.Catalogue.Owners {
		l.runningQuotas[owner.Name] = owner.Running
	}
	for _, node := range m.view.Nodes {
		inUse[node.GetAddress()] = true
		if node.GetRole() == rpc.Role_ROLE_ENTRY && !node.GetLeaving() {
			l.entryCount++
		}
		if node.GetRole() != rpc.Role_ROLE_SIDECAR {
			continue
		}
		target := targetOf(node)
		targets = append(targets, target)
		l.rememberAddress(target)
	}
	l.entryCount = max(1, l.entryCount)
	lost := l.loadTable.Update(targets)
	l.entry.links.RetainOnly(inUse)
	for _, lostTarget := range lost {
		l.detector.Forget(lostTarget.Target.ID)
		events.TargetLost.Log(l.entry.logger, "target", lostTarget.Target.ID, "replaced", lostTarget.Replaced)
	}
	if len(lost) > 0 {
		l.reportLostTargets(now, lost)
	}
	for pool := range l.queues {
		l.dirty[pool] = true
	}
}

func (l *loop) rememberAddress(target placement.Target) {
	if len(l.addresses) > maxAddresses {
		l.addresses = map[job.Target]string{}
	}
	l.addresses[job.Target{ID: target.ID, Incarnation: target.Incarnation}] = target.Address
}

// reportLostTargets reports the lost targets to every job in progress.
func (l *loop) reportLostTargets(now time.Time, lost []placement.LostTarget) {
	for _, r := range l.store.byID {
		if r.isAnswered() || r.job == nil {
			continue
		}
		for _, lostTarget := range lost {
			l.step(r, now, job.TargetLost{Target: lostTarget.Target, Replaced: lostTarget.Replaced})
		}
	}
}
