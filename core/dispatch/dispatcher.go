package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"flamingohall.example/core/crash"
	"flamingohall.example/core/health"
	"flamingohall.example/core/work"
)

const (
	// refusalBackoff is the delay before a rejected task is offered again. By then, newer load reports have replaced
	// those that led to the rejected offer.
	refusalBackoff = 15 * time.Millisecond
	// startMargin is how long an offer may wait at one worker beyond twice the expected wait. Then a new worker is
	// chosen.
	startMargin = 40 * time.Millisecond
	// roomMargin is how long an offer may wait at a worker that was expected to have free capacity. Other entries may have
	// used it since the worker's last load report.
	roomMargin = 10 * time.Millisecond
	// maxFullOffers is how many offers of a task in a row are repeated at once after a worker was full.
	maxFullOffers = 4
	// supersededRunStep is added to a task's run number when a worker rejects an offer because it knows a later run.
	supersededRunStep = 16
)

// Dispatcher manages the jobs of one entry. It is not safe for concurrent use.
type Dispatcher struct {
	limits          Limits
	localDataCentre string
	workers         map[string]*worker
	// drained holds the workers that an operator has drained, including those without a session.
	drained map[string]bool
	// sortedWorkers holds the workers ordered by ID, so that decisions do not depend on map iteration order.
	sortedWorkers []*worker
	jobs          map[string]*job
	// jobsByID holds the same jobs, ordered by ID: several passes over all jobs in each Advance need a fixed order.
	jobsByID []*job
	tasks    map[string]*task
	// lateJobs is the number of jobs in progress that are late work.
	lateJobs int
	// noLateOffers holds the pools that were found too busy for late work in this pass over the waiting tasks.
	noLateOffers map[string]bool
	waiting      []*task
	estimates    map[string]*estimate
	random       *rand.Rand
	// entries is the number of entries that use the same workers, this one included.
	entries  int
	detector *health.OutlierDetector
	// crashes is what this entry knows of workers that ended under tasks.
	crashes *crash.Monitor
	// crashedRuns are those of stored tasks whose crashes are not confirmed yet.
	crashedRuns []crashedRun
	effects     Effects
	// records maps each end that waits to be recorded to the workers that reported it.
	records       map[work.RunID][]string
	recentlyEnded recentlyEnded
	answered      answeredJobs
	inProgress    inProgress
	// heldJobs is the number of jobs that are held.
	heldJobs int
	// progressRequestNumber is the number of the last ProgressRequest.
	progressRequestNumber uint64
	// jobLeaseUntil is when the job lease expires; holdsJobLease is false while stored jobs are stopped.
	jobLeaseUntil time.Duration
	holdsJobLease bool
	// isCutOff is true from the loss of the job lease until control answers again.
	isCutOff bool
	// pools holds the state of the pools whose queues share their capacity, by name.
	pools map[string]*sharedPool
	// candidates is scratch space for a single placement decision.
	candidates []*worker
	// epoch converts durations to the absolute times that the outlier detector expects.
	epoch time.Time
}

// New returns a dispatcher without workers, for an entry in the given data centre. Entries with different seeds spread
// their tasks differently.
func New(limits Limits, dataCentre string, seed uint64) *Dispatcher {
	crashLimits := crash.DefaultLimits
	crashLimits.Contains = limits.Policy.Faults.Containment
	return &Dispatcher{
		limits: limits, localDataCentre: dataCentre, entries: 1, random: rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // Not a secret.
		workers: map[string]*worker{}, drained: map[string]bool{}, jobs: map[string]*job{}, pools: map[string]*sharedPool{},
		tasks: map[string]*task{}, noLateOffers: map[string]bool{}, records: map[work.RunID][]string{},
		recentlyEnded: recentlyEnded{jobs: map[string]endedJob{}}, answered: newAnsweredJobs(), inProgress: newInProgress(), estimates: map[string]*estimate{},
		detector: health.NewOutlierDetector(), crashes: crash.NewMonitor(crashLimits), epoch: time.Unix(0, 0),
	}
}

// Effects returns the actions that have accumulated since the last call. Call Advance first.
func (d *Dispatcher) Effects() Effects {
	for _, w := range d.sortedWorkers {
		if frame := &w.frame; frame.Backlog != nil || frame.Echo != 0 || len(frame.Offers)+len(frame.Stops)+len(frame.CancelledJobs)+len(frame.Confirmed) > 0 {
			d.effects.Frames = append(d.effects.Frames, Frame{Worker: w.id, ToSidecar: *frame})
			w.frame = work.ToSidecar{}
		}
	}
	effects := d.effects
	d.effects = Effects{}
	return effects
}

// SetEntries sets the number of entries that use the same workers, this one included.
func (d *Dispatcher) SetEntries(count int) {
	d.entries = max(1, count)
}

// Jobs returns the number of jobs in progress.
func (d *Dispatcher) Jobs() int {
	return len(d.jobs)
}

// Workers returns the number of workers that accept tasks.
func (d *Dispatcher) Workers() int {
	count := 0
	for _, w := range d.sortedWorkers {
		if w.isUp && w.isAttached && w.load.Accepts {
			count++
		}
	}
	return count
}

// BusyWorkers returns the workers that have tasks of this entry.
func (d *Dispatcher) BusyWorkers() map[string]bool {
	busy := map[string]bool{}
	for _, t := range d.tasks {
		if t.state == offered || t.state == started {
			busy[t.run.worker] = true
		}
	}
	return busy
}

// Pending returns how many jobs of a queue have not begun, not counting stored jobs.
func (d *Dispatcher) Pending(queue string) int {
	count := 0
	for _, j := range d.jobs {
		if j.Queue.Name == queue && !j.IsStored && !slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state >= started }) {
			count++
		}
	}
	return count
}

// HasUnstored reports whether the job is in progress here and is not a stored one, so that its caller waits.
func (d *Dispatcher) HasUnstored(id string) bool {
	j := d.jobs[id]
	return j != nil && !j.IsStored
}

// Opened handles the start of a session with a worker's sidecar.
func (d *Dispatcher) Opened(now time.Duration, id, dataCentre string) {
	w := d.workers[id]
	if w == nil {
		w = &worker{id: id, speed: 1}
		d.workers[id] = w
		d.sortedWorkers = append(d.sortedWorkers, w)
		slices.SortFunc(d.sortedWorkers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	}
	w.isUp, w.sequence, w.pending, w.answeredAt, w.overdueSince = true, 0, nil, now, 0
	w.frame, w.load, w.sameDataCentre = work.ToSidecar{}, work.Load{}, dataCentre == d.localDataCentre
	w.reportsAccepting, w.drained = false, d.drained[id]
	d.note(Note{Kind: SessionEstablished, Worker: id})
}

// Attached records whether a session currently has a connection. A worker without one gets no offers.
func (d *Dispatcher) Attached(now time.Duration, id string, isAttached bool) {
	if w := d.workers[id]; w != nil {
		w.isAttached, w.loadAt = isAttached, now
	}
}

// Closed handles the end of a session. Offered tasks may keep running until the grant has expired.
func (d *Dispatcher) Closed(now time.Duration, id string) {
	w := d.workers[id]
	if w == nil || !w.isUp {
		return
	}
	w.isUp = false
	for _, t := range d.tasksAt(id) {
		if t.state != uncertain {
			t.state = uncertain
			d.waiting = append(d.waiting, t)
		}
		t.run.endsBy = w.answeredAt + d.limits.Grant
	}
	d.inProgress.sessionEnded(id, w.answeredAt+d.limits.Grant)
	d.note(Note{Kind: SessionLost, Worker: id, Age: now - w.answeredAt})
}

// overdueTime is how long the end of a grant is known before its session is closed. After a suspension of this process, the
// frames of its sidecars may still wait in its sockets.
const overdueTime = 200 * time.Millisecond

// endGrants closes the sessions with tasks of sidecars that have been unreachable for so long that no offer of this entry runs there any
// more. The connection alone doesn't show that: a VM without power doesn't end it, and a session outlives its connections.
func (d *Dispatcher) endGrants(now time.Duration) {
	var overdue []*worker
	for _, w := range d.sortedWorkers {
		switch {
		case !w.isUp || now < w.answeredAt+d.limits.Grant:
			w.overdueSince = 0
		case w.overdueSince == 0:
			w.overdueSince = now
		case now >= w.overdueSince+overdueTime:
			overdue = append(overdue, w)
		}
	}
	if len(overdue) == 0 {
		return
	}
	// Those without runs, which may stay registered for long, are looked at again only after overdueTime.
	withRuns := d.workersWithRuns()
	for _, w := range overdue {
		if !withRuns[w.id] {
			w.overdueSince = now
			continue
		}
		d.Closed(now, w.id)
		d.effects.Close = append(d.effects.Close, w.id)
	}
}

// workersWithRuns returns the workers whose sessions have runs of this entry, in one pass over the tasks for all of them.
func (d *Dispatcher) workersWithRuns() map[string]bool {
	withRuns := map[string]bool{}
	for _, t := range d.tasks {
		if t.belongsToSession() {
			withRuns[t.run.worker] = true
		}
	}
	d.inProgress.addWorkers(withRuns)
	return withRuns
}

// Removed forgets a worker that is no longer registered.
func (d *Dispatcher) Removed(now time.Duration, id string) {
	d.Closed(now, id)
	delete(d.workers, id)
	d.sortedWorkers = slices.DeleteFunc(d.sortedWorkers, func(w *worker) bool { return w.id == id })
	d.detector.Forget(id)
}

// tasksAt returns the tasks whose runs belong to the worker's session.
func (d *Dispatcher) tasksAt(id string) []*task {
	var atWorker []*task
	for _, t := range d.tasks {
		if t.run.worker == id && t.belongsToSession() {
			atWorker = append(atWorker, t)
		}
	}
	slices.SortFunc(atWorker, func(a, b *task) int { return cmp.Compare(a.name, b.name) })
	return atWorker
}

// belongsToSession reports whether the task has a run that belongs to its worker's session.
func (t *task) belongsToSession() bool {
	return t.state == offered || t.state == started || t.state == uncertain && t.run.endsBy == 0
}

// Take handles one frame from a sidecar.
func (d *Dispatcher) Take(now time.Duration, id string, frame *work.ToEntry) {
	w := d.workers[id]
	if w == nil || !w.isUp {
		return
	}
	if frame.Worker != nil {
		if frame.Worker.Incarnation != w.Incarnation {
			w.speed = 1
			d.crashes.Returned(now, w.Pool, id)
		}
		w.Worker = *frame.Worker
	}
	if frame.Load != nil {
		w.updateLoad(now, *frame.Load)
	}
	for _, runID := range frame.Started {
		if t := d.taskAt(id, runID); t != nil && t.state == offered {
			t.state, t.run.startedAt = started, now
			d.countStart(now, t)
			t.job.trace.Waited = max(t.job.trace.Waited, now-t.job.arrivedAt)
		}
	}
	d.takeCrashes(now, w, frame)
	for i := range frame.Ended {
		d.ended(now, w, &frame.Ended[i])
	}
	for _, overdueRun := range frame.Overdue {
		d.overdueRun(now, w, overdueRun)
	}
	for _, refused := range frame.Refused {
		d.refused(now, w, refused)
	}
	for _, job := range frame.CancelledJobs {
		d.abandon(now, d.jobs[job], JobCancelled, Requested)
	}
	if frame.Probe != 0 {
		w.frame.Echo, w.answeredAt = frame.Probe, now
	}
}

func (d *Dispatcher) taskAt(id string, runID work.RunID) *task {
	t := d.tasks[runID.Task]
	if t == nil || t.run.number != runID.Run || t.run.worker != id {
		return nil
	}
	return t
}

func (d *Dispatcher) note(n Note) {
	d.effects.Notes = append(d.effects.Notes, n)
}

// Advance performs everything that is due at the given time: it abandons jobs whose deadline has passed, and offers
// waiting tasks.
func (d *Dispatcher) Advance(now time.Duration) {
	for _, change := range d.detector.Advance(d.epoch.Add(now)) {
		d.healthChanged(change)
	}
	d.containmentChanged(d.crashes.Advance(now))
	d.recordCrashes()
	d.checkJobLease(now)
	d.endGrants(now)
	d.endExpired(now)
	d.endGivenUp(now)
	d.endHopeless(now)
	d.endHopelessLate(now)
	d.startHeld(now)
	d.offerWaiting(now)
	d.reportBacklogs(now)
	d.noteSheddingEnds(now)
}

// endExpired abandons the jobs whose deadline has passed.
func (d *Dispatcher) endExpired(now time.Duration) {
	for _, j := range d.sortedJobs() {
		if j.deadline != 0 && now >= j.deadline {
			d.abandon(now, j, GivenUp, DeadlinePassed)
		}
	}
}

// sortedJobs returns a copy of the jobs, ordered by ID.
func (d *Dispatcher) sortedJobs() []*job {
	return slices.Clone(d.jobsByID)
}

func compareJobID(j *job, id string) int {
	return cmp.Compare(j.ID, id)
}

// offerWaiting offers the waiting tasks, in the order of their jobs' objectives.
func (d *Dispatcher) offerWaiting(now time.Duration) {
	d.waiting = slices.DeleteFunc(d.waiting, func(t *task) bool { return !t.needsOffer() || d.jobs[t.job.ID] != t.job })
	clear(d.noLateOffers)
	slices.SortStableFunc(d.waiting, func(a, b *task) int { return compareWaiting(now, a, b) })
	d.waiting = slices.DeleteFunc(d.waiting, func(t *task) bool {
		if t.state == uncertain && t.mustHaveEnded(now) {
			d.resolveUncertain(t)
		}
		return t.state == waiting && now >= t.retryAt && (d.holdsJobLease || !t.job.IsStored) && !d.isHeldBack(now, t) && d.offer(now, t)
	})
}

// resolveUncertain handles a task whose run must have ended. For a stored job, the end may have been reported to another
// entry, so that control has to be asked first.
func (d *Dispatcher) resolveUncertain(t *task) {
	if t.job.IsStored {
		d.requestProgress(t)
		return
	}
	t.state = waiting
	t.job.stepOf(t).perWorker[t.run.worker]--
}

// mustHaveEnded reports whether the run of an uncertain task is certainly over.
func (t *task) mustHaveEnded(now time.Duration) bool {
	return t.run.endsBy != 0 && now >= t.run.endsBy
}

func (t *task) needsOffer() bool {
	return t.state == waiting || t.state == uncertain
}

// offer sends a task to the best worker and reports whether there was one.
func (d *Dispatcher) offer(now time.Duration, t *task) bool {
	isExclusive := d.isExclusive(t)
	if t.job.isLateWork && !d.mayOfferLate(t.job.Queue.Pool) {
		return false
	}
	chosen := d.choose(now, t, isExclusive)
	w := chosen.worker
	if w == nil || t.job.isLateWork && chosen.wait > 0 {
		return false
	}
	progress := t.job.stepOf(t)
	expected := progress.expected
	w.sequence++
	t.state, t.run = offered, run{number: t.run.number + 1, worker: w.id, offeredAt: now, loadAge: now - w.loadAt}
	if t.firstOfferedAt == 0 {
		t.firstOfferedAt = now
	}
	t.job.trace.Offers++
	if progress.perWorker == nil {
		progress.perWorker = map[string]int{}
	}
	progress.perWorker[w.id]++
	pending := pendingOffer{sequence: w.sequence, needs: t.step.Needs, expected: expected}
	if isExclusive {
		pending.needs = w.Capacity
	}
	w.pending = append(w.pending, pending)
	w.frame.Offers = append(w.frame.Offers, work.Offer{
		RunID: t.id(), Sequence: w.sequence, Spec: t.job.Spec, Needs: t.step.Needs, ExpectedMS: expected.Milliseconds(),
		StartWithinMS: t.startWithin(now, chosen.wait, isExclusive).Milliseconds(), SlackMS: d.rank(now, t).Milliseconds(), Checkpoint: t.checkpoint,
		IsStored: t.job.IsStored, Queue: t.job.Queue.Name, Crashes: uint32(d.crashes.Task(t.name).Crashes), IsExclusive: isExclusive,
		MayReserve: t.job.Queue.MayReserve,
	})
	if d.limits.Policy.Order.LateYields && (t.job.isLateWork || d.shares(&t.job.Queue)) {
		last := &w.frame.Offers[len(w.frame.Offers)-1]
		last.YieldsWhenLate, last.SpareMS = true, d.spare(now, t, w).Milliseconds()
	}
	return true
}

// startWithin returns how long an offer may wait at its worker.
func (t *task) startWithin(now, expected time.Duration, isExclusive bool) time.Duration {
	limit := startMargin + 2*expected
	switch {
	case isExclusive:
		limit = maxTrialWait
	case expected == 0:
		limit = roomMargin
	}
	if t.job.deadline == 0 {
		return limit
	}
	return min(limit, t.job.deadline-now)
}

// rank returns the slack by which the task is ordered in queues, including its priority. Under overload, ordering by
// slack alone makes short urgent jobs wait for longer ones that arrived before them.
func (d *Dispatcher) rank(now time.Duration, t *task) time.Duration {
	return t.slack(now) + d.rankOffset(&t.job.Queue)
}

// rankOffset returns how much slack the priority of a queue adds to its tasks.
func (d *Dispatcher) rankOffset(queue *Queue) time.Duration {
	return time.Duration(queue.Priority) * d.limits.Policy.Order.PriorityStep()
}

// slack returns how long the task's start may be delayed from now for its job to end in time.
func (t *task) slack(now time.Duration) time.Duration {
	return t.job.objective - now - t.job.stepOf(t).expected
}
