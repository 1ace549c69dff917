package dispatch_test

import (
	"fmt"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/work"
)

// Times of the control that the world plays, those of package control and package gateway.
const (
	keepPeriod     = 200 * time.Millisecond
	holderPatience = 3300 * time.Millisecond
	holderFresh    = time.Second
	syncedWrite    = 9 * time.Millisecond
	callTimeout    = 400 * time.Millisecond
)

// fakeControl keeps jobs as the control VMs do together, and answers nothing while it is away.
type fakeControl struct {
	world     *world
	table     *jobstore.Table
	index     uint64
	heard     map[string]time.Duration
	awayUntil time.Duration
	patience  time.Duration
	bodies    map[string]dispatch.Submission
}

// storedWorld is a world with control, in which entries store jobs.
func storedWorld(w *world, patience time.Duration) *fakeControl {
	c := &fakeControl{
		world: w, table: jobstore.NewTable(jobstore.DefaultLimits), heard: map[string]time.Duration{}, patience: patience,
		bodies: map[string]dispatch.Submission{},
	}
	c.watch()
	return c
}

func (c *fakeControl) watch() {
	w := c.world
	if w.now < c.awayUntil {
		// A leader that comes begins to count anew.
		for holder := range c.heard {
			c.heard[holder] = c.awayUntil
		}
	} else {
		var fresh []string
		for _, n := range w.entries {
			if at, known := c.heard[n.holder]; known && w.now-at < holderFresh {
				fresh = append(fresh, n.holder)
			}
		}
		for _, holder := range c.table.Holders() {
			if w.now-c.heard[holder] > c.patience && len(fresh) > 0 {
				c.index++
				c.table.Retire(jobstore.Retire{Holder: holder, Successors: fresh}, c.index)
			}
		}
	}
	w.after(100*time.Millisecond, c.watch)
}

// call brings a request of an entry's process to control and the answer back, each after a while. Without an answer, and
// while the entry is frozen, nothing comes back.
func (c *fakeControl) call(entry int, write time.Duration, ask func() (answer func())) {
	w := c.world
	n := w.entries[entry]
	life := n.life
	w.after(w.delay(), func() {
		if w.now < c.awayUntil || w.now < n.cutOffUntil {
			return
		}
		w.after(write, func() {
			c.index++
			answer := ask()
			w.after(w.delay(), func() { w.whenAwake(entry, life, answer) })
		})
	})
}

// whenAwake does something at an entry's process, later if it is frozen, and never if it has ended.
func (w *world) whenAwake(entry, life int, do func()) {
	n := w.entries[entry]
	switch {
	case n.life != life || !n.alive:
	case w.now < n.frozenUntil:
		w.after(n.frozenUntil-w.now, func() { w.whenAwake(entry, life, do) })
	default:
		do()
		w.pumpEntry(entry)
	}
}

// keep renews an entry's right again and again.
func (c *fakeControl) keep(entry, life int) {
	w := c.world
	n := w.entries[entry]
	if n.life != life || !n.alive {
		return
	}
	if w.now >= n.frozenUntil {
		sentAt, holder, known := w.now, n.holder, n.known
		check := n.core.StoredBefore(w.now - 2*time.Second)
		c.call(entry, 0, func() func() {
			c.heard[holder] = w.now
			if c.table.IsRetired(holder) {
				return func() { c.rename(entry, holder) }
			}
			return c.told(entry, holder, known, sentAt, check)
		})
	}
	w.after(keepPeriod, func() { c.keep(entry, life) })
}

func (c *fakeControl) rename(entry int, lost string) {
	n := c.world.entries[entry]
	if n.holder != lost {
		return
	}
	n.core.ReleaseAll(c.world.now)
	n.holder, n.known = lost+"'", 0
}

// told returns what an entry does with the answer to its call.
func (c *fakeControl) told(entry int, holder string, known uint64, sentAt time.Duration, check []string) func() {
	n := c.world.entries[entry]
	var given []dispatch.Submission
	for _, j := range c.table.HeldBy(holder, known) {
		if j.Epoch == 1 && known != 0 {
			continue
		}
		s := c.bodies[j.ID]
		s.Epoch, s.Progress = j.Epoch, progressOf(j)
		given = append(given, s)
	}
	var over []string
	for _, id := range check {
		if j := c.table.Find(id); j == nil || j.State != jobstore.Open || j.Holder != holder {
			over = append(over, id)
		}
	}
	index := c.index
	return func() {
		if n.holder != holder {
			return
		}
		n.core.JobLeaseRenewed(c.world.now, sentAt)
		n.known = index
		for _, s := range given {
			n.core.Accept(c.world.now, s)
		}
		for _, id := range over {
			n.core.Release(c.world.now, id)
		}
	}
}

// store brings a job to control until it is stored, as long as the entry's process lives.
func (c *fakeControl) store(entry int, s dispatch.Submission) {
	w := c.world
	n := w.entries[entry]
	life, isAnswered := n.life, false
	holder := n.holder
	var steps []uint32
	for _, step := range s.Steps {
		steps = append(steps, uint32(step.Count))
	}
	c.call(entry, syncedWrite, func() func() {
		answer := c.table.Store(jobstore.Store{
			Job: s.ID, Queue: s.Queue.Name, Holder: holder, Body: []byte(s.Spec), Steps: steps, Attempts: 3,
		}, c.index)
		if answer.Result == jobstore.Stored {
			c.bodies[s.ID] = s
		}
		return func() {
			isAnswered = true
			switch {
			case answer.Result == jobstore.HolderRetired:
				c.rename(entry, holder)
				c.store(entry, s)
			case answer.Holder == holder && answer.State == jobstore.Open && n.holder == holder:
				s.Epoch = 1
				n.core.Accept(w.now, s)
			}
		}
	})
	w.after(callTimeout, func() {
		if !isAnswered {
			w.whenAwake(entry, life, func() { c.store(entry, s) })
		}
	})
}

// record has an end recorded. A world without control keeps no jobs: nobody needs the ends that sidecars found at their
// workers when they started.
func (w *world) record(entry int, record dispatch.Record) {
	if w.control != nil {
		w.control.record(entry, record)
		return
	}
	life := w.entries[entry].life
	w.after(2*w.delay(), func() {
		w.whenAwake(entry, life, func() {
			w.entries[entry].core.Recorded(w.now, record.RunID, dispatch.StoredUnknown)
		})
	})
}

// record brings an end to control until it is recorded.
func (c *fakeControl) record(entry int, record dispatch.Record) {
	w := c.world
	life, isAnswered := w.entries[entry].life, false
	c.call(entry, syncedWrite, func() func() {
		answer := c.table.Record(jobstore.End{Task: record.Task, Run: record.Run, IsFailure: record.IsFailure}, 0)
		return func() {
			isAnswered = true
			w.entries[entry].core.Recorded(w.now, record.RunID, dispatch.StoredState(answer.State))
		}
	})
	w.after(callTimeout, func() {
		if !isAnswered {
			w.whenAwake(entry, life, func() { c.record(entry, record) })
		}
	})
}

func progressOf(j *jobstore.Job) []dispatch.TaskProgress {
	var progress []dispatch.TaskProgress
	for step, count := range j.Steps {
		for index := range count {
			p := j.Progress(step, int(index))
			progress = append(progress, dispatch.TaskProgress{Step: step, Index: int(index), IsDone: p.IsDone, Failures: p.Failures})
		}
	}
	return progress
}

// ask tells an entry what is recorded of a job.
func (c *fakeControl) ask(entry int, ask dispatch.ProgressRequest) {
	w := c.world
	life, isAnswered := w.entries[entry].life, false
	c.call(entry, 0, func() func() {
		state, progress := dispatch.StoredUnknown, []dispatch.TaskProgress(nil)
		if j := c.table.Find(ask.Job); j != nil {
			state = dispatch.StoredState(j.State)
			if j.State == jobstore.Open {
				progress = progressOf(j)
			}
		}
		return func() {
			isAnswered = true
			w.entries[entry].core.ProgressReported(w.now, ask, state, progress)
		}
	})
	w.after(callTimeout, func() {
		if !isAnswered {
			w.whenAwake(entry, life, func() { c.ask(entry, ask) })
		}
	})
}

// doneEnd is an end of a task that a worker has listed as done.
type doneEnd struct {
	worker *fakeWorker
	life   int
	number uint64
}

// notesDone remembers, as a run begins, the ends of the task that are listed as done. Confirmed, then or later, without a
// lapse of the lease between, they make the run a second one.
func (w *world) notesDone(which work.RunID) {
	for _, other := range w.workers {
		for _, end := range other.ends {
			if end.Task == which.Task && end.Outcome == work.Done {
				w.startedAgain = append(w.startedAgain, startedAgain{
					at: w.now, task: which.Task, run: which.Run,
					end: doneEnd{worker: other, life: other.life, number: end.Number},
				})
			}
		}
	}
}

// startedAgain is a run that began after another one of the task was done.
type startedAgain struct {
	at   time.Duration
	task string
	run  uint32
	end  doneEnd
}

func (w *world) doubled() []string {
	var problems []string
	for _, again := range w.startedAgain {
		if again.end.worker.confirmed[confirmedEnd{life: again.end.life, number: again.end.number}] {
			problems = append(problems, fmt.Sprintf("%v: task %s (run %d) starts though w%d had told that it is done",
				again.at, again.task, again.run, again.end.worker.index))
		}
	}
	return problems
}
