package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"flamingohall.example/core/health"
	"flamingohall.example/core/work"
)

const (
	// refusalPause is the wait before a refused task is offered again: the loads that made it go there are renewed by
	// then.
	refusalPause = 15 * time.Millisecond
	// startPatience is how long an offer may wait at one worker beyond twice the expected wait. Then the best worker is
	// looked for again.
	startPatience = 40 * time.Millisecond
	// runStep is added to the run number after a worker knew a later one.
	runStep = 16
)

// Dispatcher holds the jobs of one entry. It is not safe for concurrent use.
type Dispatcher struct {
	limits  Limits
	zone    string
	workers map[string]*worker
	// order holds the workers by id, so that decisions do not depend on the order of a map.
	order   []*worker
	jobs    map[string]*job
	tasks   map[string]*task
	waiting []*task
	learned map[string]*estimate
	random  *rand.Rand
	judge   *health.Judge
	effects Effects
	// records holds the workers that wait for an end to be recorded.
	records map[work.RunID][]string
	past    past
	// askNumber is that of the last Ask.
	askNumber uint64
	// rightUntil is until when stored jobs may be run; hasRight is false while they are stopped.
	rightUntil time.Duration
	hasRight   bool
	// isCutOff is true from the loss of the right until control answers again.
	isCutOff bool
	// candidates is used within one decision.
	candidates []*worker
	// epoch turns spans into times for the judge.
	epoch time.Time
}

// New returns a dispatcher without workers, for an entry in a data centre. Entries with different seeds spread their tasks
// differently.
func New(limits Limits, dataCentre string, seed uint64) *Dispatcher {
	return &Dispatcher{
		limits: limits, zone: dataCentre, random: rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // Not a secret.
		workers: map[string]*worker{}, jobs: map[string]*job{},
		tasks: map[string]*task{}, records: map[work.RunID][]string{},
		past: past{jobs: map[string]pastJob{}}, learned: map[string]*estimate{}, judge: health.NewJudge(), epoch: time.Unix(0, 0),
	}
}

// Effects returns what is to be done since the last call. Advance is to be called first.
func (d *Dispatcher) Effects() Effects {
	for _, w := range d.order {
		if frame := &w.frame; frame.Echo != 0 || len(frame.Offers)+len(frame.Stops)+len(frame.CancelledJobs)+len(frame.Confirmed) > 0 {
			d.effects.Frames = append(d.effects.Frames, Frame{Worker: w.id, ToSidecar: *frame})
			w.frame = work.ToSidecar{}
		}
	}
	effects := d.effects
	d.effects = Effects{}
	return effects
}

// Jobs returns the number of jobs under way.
func (d *Dispatcher) Jobs() int {
	return len(d.jobs)
}

// Workers returns the number of workers that take tasks.
func (d *Dispatcher) Workers() int {
	count := 0
	for _, w := range d.order {
		if w.isUp && w.isAttached && w.load.Accepts {
			count++
		}
	}
	return count
}

// Pending returns how many of a queue's jobs whose callers wait have not begun.
func (d *Dispatcher) Pending(queue string) int {
	count := 0
	for _, j := range d.jobs {
		if j.Queue.Name == queue && !j.IsStored && !slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state >= started }) {
			count++
		}
	}
	return count
}

// HasUnstored reports whether a job whose caller waits is under way here.
func (d *Dispatcher) HasUnstored(id string) bool {
	j := d.jobs[id]
	return j != nil && !j.IsStored
}

// Opened begins a session with a worker's sidecar.
func (d *Dispatcher) Opened(now time.Duration, id, dataCentre string) {
	w := d.workers[id]
	if w == nil {
		w = &worker{id: id, speed: 1}
		d.workers[id] = w
		d.order = append(d.order, w)
		slices.SortFunc(d.order, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	}
	w.isUp, w.sequence, w.pending, w.answeredAt = true, 0, nil, now
	w.frame, w.load, w.sameZone = work.ToSidecar{}, work.Load{}, dataCentre == d.zone
	d.note(Note{Kind: SessionEstablished, Worker: id})
}

// Attached tells whether a session has a connection at present. Without one its worker gets no offers.
func (d *Dispatcher) Attached(now time.Duration, id string, isAttached bool) {
	if w := d.workers[id]; w != nil {
		w.isAttached, w.loadAt = isAttached, now
	}
}

// Closed ends a session. What was offered there may run on until the grant has ended.
func (d *Dispatcher) Closed(now time.Duration, id string) {
	w := d.workers[id]
	if w == nil || !w.isUp {
		return
	}
	w.isUp = false
	lost := 0
	for _, t := range d.tasksAt(id) {
		t.state, t.overAt = uncertain, w.answeredAt+d.limits.Grant
		d.waiting = append(d.waiting, t)
		lost++
	}
	d.note(Note{Kind: SessionLost, Worker: id, Age: now - w.answeredAt})
}

// Removed forgets a worker that is not registered any more.
func (d *Dispatcher) Removed(now time.Duration, id string) {
	d.Closed(now, id)
	delete(d.workers, id)
	d.order = slices.DeleteFunc(d.order, func(w *worker) bool { return w.id == id })
	d.judge.Forget(id)
}

func (d *Dispatcher) tasksAt(id string) []*task {
	var found []*task
	for _, t := range d.tasks {
		if t.worker == id && (t.state == offered || t.state == started) {
			found = append(found, t)
		}
	}
	slices.SortFunc(found, func(a, b *task) int { return cmp.Compare(a.name, b.name) })
	return found
}

// Take handles one frame of a sidecar.
func (d *Dispatcher) Take(now time.Duration, id string, frame *work.ToEntry) {
	w := d.workers[id]
	if w == nil || !w.isUp {
		return
	}
	if frame.Worker != nil {
		if frame.Worker.Incarnation != w.Incarnation {
			w.speed = 1
		}
		w.Worker = *frame.Worker
	}
	if frame.Load != nil {
		w.takeLoad(now, *frame.Load)
	}
	for _, which := range frame.Started {
		if t := d.taskAt(id, which); t != nil && t.state == offered {
			t.state, t.startedAt = started, now
			t.job.trace.Waited = max(t.job.trace.Waited, now-t.job.arrivedAt)
		}
	}
	for i := range frame.Ended {
		d.ended(now, w, &frame.Ended[i])
	}
	for _, behind := range frame.SlowRuns {
		d.behind(now, w, behind)
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

func (d *Dispatcher) taskAt(id string, which work.RunID) *task {
	t := d.tasks[which.Task]
	if t == nil || t.run != which.Run || t.worker != id {
		return nil
	}
	return t
}

func (d *Dispatcher) note(n Note) {
	d.effects.Notes = append(d.effects.Notes, n)
}

// Advance does what is due at a time: it gives hopeless jobs up and offers what waits.
func (d *Dispatcher) Advance(now time.Duration) {
	for _, change := range d.judge.Advance(d.epoch.Add(now)) {
		d.judged(change)
	}
	d.checkRight(now)
	d.endHopeless(now)
	d.offerWaiting(now)
}

// endHopeless gives up the jobs whose callers have left or that can't end in time.
func (d *Dispatcher) endHopeless(now time.Duration) {
	for _, j := range d.sortedJobs() {
		if j.deadline != 0 && now >= j.deadline {
			d.abandon(now, j, GivenUp, DeadlinePassed)
		}
	}
}

func (d *Dispatcher) sortedJobs() []*job {
	all := make([]*job, 0, len(d.jobs))
	for _, j := range d.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// offerWaiting offers the tasks that wait, those whose jobs are due first before others.
func (d *Dispatcher) offerWaiting(now time.Duration) {
	d.waiting = slices.DeleteFunc(d.waiting, func(t *task) bool { return !t.needsOffer() || d.jobs[t.job.ID] != t.job })
	slices.SortStableFunc(d.waiting, func(a, b *task) int { return cmp.Compare(a.job.objective, b.job.objective) })
	d.waiting = slices.DeleteFunc(d.waiting, func(t *task) bool {
		if t.state == uncertain && now >= t.overAt {
			d.over(t)
		}
		return t.state == waiting && now >= t.retryAt && (d.hasRight || !t.job.IsStored) && d.offer(now, t)
	})
}

// over handles a task whose run is over for certain. The end of a stored one may have been told to another entry.
func (d *Dispatcher) over(t *task) {
	if t.job.IsStored {
		d.ask(t)
		return
	}
	t.state = waiting
	t.job.stepOf(t).perWorker[t.worker]--
}

func (t *task) needsOffer() bool {
	return t.state == waiting || t.state == uncertain
}

// offer sends a task to the best worker and reports whether there was one.
func (d *Dispatcher) offer(now time.Duration, t *task) bool {
	chosen := d.choose(now, t)
	w := chosen.worker
	if w == nil {
		return false
	}
	progress := t.job.stepOf(t)
	expected := progress.expected
	w.sequence++
	t.run++
	t.state, t.worker, t.offeredAt, t.loadAge = offered, w.id, now, now-w.loadAt
	t.job.trace.Offers++
	if progress.perWorker == nil {
		progress.perWorker = map[string]int{}
	}
	progress.perWorker[w.id]++
	w.pending = append(w.pending, pendingOffer{sequence: w.sequence, needs: t.step.Needs, expected: expected})
	w.frame.Offers = append(w.frame.Offers, work.Offer{
		RunID: t.id(), Sequence: w.sequence, Spec: t.job.Spec, Needs: t.step.Needs, ExpectedMS: expected.Milliseconds(),
		StartWithinMS: t.startWithin(now, chosen.wait).Milliseconds(), SlackMS: t.rank(now).Milliseconds(), Checkpoint: t.checkpoint,
		IsStored: t.job.IsStored,
	})
	return true
}

// startWithin returns how long an offer may wait at its worker.
func (t *task) startWithin(now, expected time.Duration) time.Duration {
	patience := startPatience + 2*expected
	if t.job.deadline == 0 {
		return patience
	}
	return min(patience, t.job.deadline-now)
}

// priorityStep is how much later than its slack says a task may start for each level of priority below the first.
const priorityStep = 80 * time.Millisecond

// rank returns the slack by which the task stands in queues. It answers overload, in which an order by slack alone makes
// short urgent jobs wait for longer ones that have waited before.
func (t *task) rank(now time.Duration) time.Duration {
	return t.slack(now) + t.job.Queue.rankOffset()
}

func (q *Queue) rankOffset() time.Duration {
	return time.Duration(q.Priority) * priorityStep
}

// slack returns how much later than now the task may start for its job to end in time.
func (t *task) slack(now time.Duration) time.Duration {
	return t.job.objective - now - t.job.stepOf(t).expected
}
