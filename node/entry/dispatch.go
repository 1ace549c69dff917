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
	// groupBelow is the share of busy slots up to which tasks of one job share one Run: then nothing waits for the
	// slot that a group's first task frees.
	groupBelow = 0.5
	// maxSkipped bounds the jobs that a pass sets aside since their claims name no target with room.
	maxSkipped = 16
	// maxAddresses bounds the remembered addresses of targets that have gone.
	maxAddresses = 4096
)

// pendingRun is a Run that a pass has decided on.
type pendingRun struct {
	record *record
	effect job.Effect
}

// enqueue puts a job with waiting tasks into the queue of its pool.
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

// dispatch places waiting tasks in each pool where something changed.
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
		w := queue.Next(l.isAtBound)
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
		// This job may not use the targets that have room; others may.
		l.extendClaim(r, now)
		queue.Remove(w)
		skipped = append(skipped, w)
	}
	for _, w := range skipped {
		if w.Job.IsWaiting() {
			queue.Push(w)
		}
	}
	l.sendPending(now, queue.Len() == 0 && l.board.Utilisation(now, pool) <= groupBelow)
}

// placeNext places one task of a job and reports whether there was room.
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

// pick returns a target for a task. One that was tried before goes to another target where there is one.
func (l *loop) pick(now time.Time, r *record, index int) *placement.TargetState {
	request := placement.Request{
		Pool: r.accepted.entry.Pool, Slots: r.accepted.entry.Slots, Repeatable: r.accepted.isRepeatable(),
		Allowed: r.candidates, Avoid: r.job.Task(index).Target,
	}
	if l.board.Targets(request.Pool) == 1 {
		request.Avoid = ""
	}
	return l.board.Pick(now, request)
}

// isRetry reports whether the next task was tried before, so that one target won't do for it.
func (r *record) isRetry() bool {
	index := r.job.NextWaiting(r.cursor)
	return index >= 0 && r.job.Task(index).Target != ""
}

func (l *loop) place(now time.Time, r *record, state *placement.TargetState, index int) {
	target := state.Name()
	l.board.Started(target, r.accepted.entry.Slots)
	l.quotas.Started(r.accepted.Owner)
	for _, effect := range r.job.Step(now, job.Place{Target: target, Indexes: []int{index}}) {
		if effect.Kind == job.EffectRun {
			l.pending = append(l.pending, pendingRun{record: r, effect: effect})
			continue
		}
		l.carryOut(r, now, effect)
	}
	l.watchSlow(now, r, index)
}

// sendRun sends a Run that no pass has made: an attachment to attempts that were sent before.
func (l *loop) sendRun(r *record, now time.Time, effect job.Effect) {
	go l.callRun(l.newCall(r, now, effect))
}

// sendPending sends the Runs of a pass; with grouping, one for each job and target.
func (l *loop) sendPending(now time.Time, isGrouped bool) {
	pending := l.pending
	if isGrouped && len(pending) > 1 {
		pending = group(pending)
	}
	for _, p := range pending {
		l.sendRun(p.record, now, p.effect)
	}
	l.pending = l.pending[:0]
}

// group joins the Runs of the same job and target.
func group(pending []pendingRun) []pendingRun {
	type key struct {
		record *record
		target job.Target
	}
	at := map[key]int{}
	var grouped []pendingRun
	for _, p := range pending {
		k := key{p.record, p.effect.Target}
		if i, known := at[k]; known {
			grouped[i].effect.Refs = append(grouped[i].effect.Refs, p.effect.Refs...)
			continue
		}
		at[k] = len(grouped)
		grouped = append(grouped, p)
	}
	return grouped
}

// isAtBound reports whether an owner has reached this entry's part of its quota of tasks in progress.
func (l *loop) isAtBound(owner string) bool {
	bound := admission.EntryShare(l.bounds[owner], l.entries)
	return bound > 0 && l.quotas.Running(owner) >= bound
}

// viewChanged brings a new view of catalogue and nodes.
type viewChanged struct{ view *controlclient.View }

func (m viewChanged) apply(l *loop, now time.Time) {
	var targets []placement.Target
	inUse := map[string]bool{}
	l.entries = 0
	l.bounds = map[string]int{}
	for _, owner := range m.view.Catalogue.Owners {
		l.bounds[owner.Name] = owner.Running
	}
	for _, node := range m.view.Nodes {
		inUse[node.GetAddress()] = true
		if node.GetRole() == rpc.Role_ROLE_ENTRY && !node.GetLeaving() {
			l.entries++
		}
		if node.GetRole() != rpc.Role_ROLE_SIDECAR {
			continue
		}
		target := targetOf(node)
		targets = append(targets, target)
		l.remember(target)
	}
	l.entries = max(1, l.entries)
	lost := l.board.Update(targets)
	l.entry.links.RetainOnly(inUse)
	for _, gone := range lost {
		l.judge.Forget(gone.Target.ID)
		events.TargetLost.Log(l.entry.logger, "target", gone.Target.ID, "replaced", gone.Replaced)
	}
	if len(lost) > 0 {
		l.tellLost(now, lost)
	}
	for pool := range l.queues {
		l.dirty[pool] = true
	}
}

func (l *loop) remember(target placement.Target) {
	if len(l.addresses) > maxAddresses {
		l.addresses = map[job.Target]string{}
	}
	l.addresses[job.Target{ID: target.ID, Incarnation: target.Incarnation}] = target.Address
}

// tellLost tells every job in progress of the targets that have gone.
func (l *loop) tellLost(now time.Time, lost []placement.LostTarget) {
	for _, r := range l.store.byID {
		if r.isAnswered() || r.job == nil {
			continue
		}
		for _, gone := range lost {
			l.step(r, now, job.TargetLost{Target: gone.Target, Replaced: gone.Replaced})
		}
	}
}
