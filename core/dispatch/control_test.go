package dispatch_test

import (
	"fmt"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/work"
)

// Durations of the simulated control; they match those of the packages control and gateway.
const (
	renewPeriod   = 200 * time.Millisecond
	holderTimeout = 3300 * time.Millisecond
	maxReportAge  = time.Second
	syncedWrite   = 9 * time.Millisecond
	callTimeout   = 400 * time.Millisecond
	storeTimeout  = 1400 * time.Millisecond
)

// fakeControl stores jobs as the control VMs do together. It answers nothing while it is unavailable.
type fakeControl struct {
	simulation       *simulation
	table            *jobstore.Table
	index            uint64
	heard            map[string]time.Duration
	unavailableUntil time.Duration
	silenceTimeout   time.Duration
	bodies           map[string]dispatch.Submission
}

// newFakeControl returns the control of a simulation in which entries store jobs.
func newFakeControl(sim *simulation, silenceTimeout time.Duration) *fakeControl {
	c := &fakeControl{
		simulation: sim, table: jobstore.NewTable(jobstore.DefaultLimits), heard: map[string]time.Duration{},
		silenceTimeout: silenceTimeout,
		bodies:         map[string]dispatch.Submission{},
	}
	c.watch()
	return c
}

func (c *fakeControl) watch() {
	sim := c.simulation
	if sim.now < c.unavailableUntil {
		// A new leader starts counting the silence of the holders from the beginning.
		for holder := range c.heard {
			c.heard[holder] = c.unavailableUntil
		}
	} else {
		var fresh []string
		for _, n := range sim.entries {
			if at, known := c.heard[n.holder]; known && sim.now-at < maxReportAge {
				fresh = append(fresh, n.holder)
			}
		}
		for _, holder := range c.table.Holders() {
			if sim.now-c.heard[holder] > c.silenceTimeout && len(fresh) > 0 {
				c.index++
				c.table.Retire(jobstore.Retire{Holder: holder, Successors: fresh}, c.index)
			}
		}
	}
	sim.after(100*time.Millisecond, c.watch)
}

// call sends a request of an entry's process to control and the answer back, each after a delay. While control is
// unreachable there is no answer; a frozen entry gets the answer once it continues.
func (c *fakeControl) call(entry int, write time.Duration, handle func() (answer func())) {
	sim := c.simulation
	n := sim.entries[entry]
	incarnation := n.incarnation
	sim.after(sim.delay(), func() {
		if sim.now < c.unavailableUntil || sim.now < n.cutOffUntil {
			return
		}
		sim.after(write, func() {
			c.index++
			answer := handle()
			sim.after(sim.delay(), func() { sim.whenResponsive(entry, incarnation, answer) })
		})
	})
}

// whenResponsive runs a function at an entry's process: later if the process is frozen, and never if it has ended.
func (sim *simulation) whenResponsive(entry, incarnation int, do func()) {
	n := sim.entries[entry]
	switch {
	case n.incarnation != incarnation || !n.alive:
	case sim.now < n.frozenUntil:
		sim.after(n.frozenUntil-sim.now, func() { sim.whenResponsive(entry, incarnation, do) })
	default:
		do()
		sim.pumpEntry(entry)
	}
}

// renewLease renews an entry's job lease periodically.
func (c *fakeControl) renewLease(entry, incarnation int) {
	sim := c.simulation
	n := sim.entries[entry]
	if n.incarnation != incarnation || !n.alive {
		return
	}
	if sim.now >= n.frozenUntil {
		sentAt, holder, known := sim.now, n.holder, n.known
		check, isFullCheck := n.core.StoredBefore(sim.now-2*time.Second), !n.core.HoldsJobLease(sim.now)
		if isFullCheck {
			check = n.core.StoredBefore(sim.now)
		}
		c.call(entry, 0, func() func() {
			c.heard[holder] = sim.now
			if c.table.IsRetired(holder) {
				return func() { c.rename(entry, holder) }
			}
			return c.renewalAnswer(entry, holder, known, sentAt, check, isFullCheck)
		})
	}
	sim.after(renewPeriod, func() { c.renewLease(entry, incarnation) })
}

func (c *fakeControl) rename(entry int, lost string) {
	n := c.simulation.entries[entry]
	if n.holder != lost {
		return
	}
	n.core.ReleaseAll(c.simulation.now)
	n.holder, n.known = lost+"'", 0
}

// renewalAnswer returns what an entry does with the answer to its renewal.
func (c *fakeControl) renewalAnswer(entry int, holder string, known uint64, sentAt time.Duration, check []string, isFullCheck bool) func() {
	n := c.simulation.entries[entry]
	var assigned []dispatch.Submission
	// Jobs that the entry stored itself are among them: the answer to its call may have been lost.
	for _, j := range c.table.HeldBy(holder, known) {
		s := c.bodies[j.ID]
		s.Epoch, s.Progress = j.Epoch, progressOf(j)
		assigned = append(assigned, s)
	}
	var released []string
	for _, id := range check {
		if j := c.table.Find(id); j == nil || j.State != jobstore.Open || j.Holder != holder {
			released = append(released, id)
		}
	}
	index := c.index
	return func() {
		if n.holder != holder {
			return
		}
		if isFullCheck || n.core.HoldsJobLease(c.simulation.now) {
			n.core.JobLeaseRenewed(c.simulation.now, sentAt)
		}
		n.known = index
		for _, s := range assigned {
			n.core.Accept(c.simulation.now, s)
		}
		for _, id := range released {
			n.core.Release(c.simulation.now, id)
		}
	}
}

// store sends a job to control until it is stored or its caller has left.
func (c *fakeControl) store(entry int, s dispatch.Submission) {
	c.storeUntil(c.simulation.now+storeTimeout, entry, s)
}

func (c *fakeControl) storeUntil(callerLeaves time.Duration, entry int, s dispatch.Submission) {
	sim := c.simulation
	n := sim.entries[entry]
	incarnation, isAnswered := n.incarnation, false
	holder, sentAt := n.holder, sim.now
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
				c.storeUntil(callerLeaves, entry, s)
			case answer.Holder == holder && answer.State == jobstore.Open && n.holder == holder:
				// A job that isn't taken is assigned with the next renewal.
				n.core.StoreAnswered(sim.now, s, dispatch.StoreAnswer{IsNew: answer.Result == jobstore.Stored, SentAt: sentAt})
			}
		}
	})
	sim.after(callTimeout, func() {
		if !isAnswered && sim.now < callerLeaves {
			sim.whenResponsive(entry, incarnation, func() { c.storeUntil(callerLeaves, entry, s) })
		}
	})
}

// record has an end recorded. In a simulation without control no jobs are stored, and the ends that sidecars found at
// their workers when they started need no record.
func (sim *simulation) record(entry int, record dispatch.Record) {
	if sim.control != nil {
		sim.control.record(entry, record)
		return
	}
	incarnation := sim.entries[entry].incarnation
	sim.after(2*sim.delay(), func() {
		sim.whenResponsive(entry, incarnation, func() {
			sim.entries[entry].core.Recorded(sim.now, record.RunID, dispatch.StoredUnknown)
		})
	})
}

// record sends an end to control until it is recorded.
func (c *fakeControl) record(entry int, record dispatch.Record) {
	sim := c.simulation
	incarnation, isAnswered := sim.entries[entry].incarnation, false
	c.call(entry, syncedWrite, func() func() {
		if record.IsCrash {
			c.table.RecordCrash(jobstore.Crash{Task: record.Task, Run: record.Run})
			return func() { isAnswered = true }
		}
		answer := c.table.Record(jobstore.RunEnd{Task: record.Task, Run: record.Run, IsFailure: record.IsFailure}, 0)
		return func() {
			isAnswered = true
			sim.entries[entry].core.Recorded(sim.now, record.RunID, dispatch.StoredState(answer.State))
		}
	})
	sim.after(callTimeout, func() {
		if !isAnswered {
			sim.whenResponsive(entry, incarnation, func() { c.record(entry, record) })
		}
	})
}

func progressOf(j *jobstore.Job) []dispatch.TaskProgress {
	var progress []dispatch.TaskProgress
	for step, count := range j.Steps {
		for index := range count {
			p := j.Progress(step, int(index))
			progress = append(progress, dispatch.TaskProgress{Step: step, Index: int(index), IsDone: p.IsDone, Failures: len(p.FailedRuns), FailedRuns: p.FailedRuns, Crashes: p.Crashes})
		}
	}
	return progress
}

// ask handles a progress request: it sends the entry what is recorded of the job.
func (c *fakeControl) ask(entry int, ask dispatch.ProgressRequest) {
	sim := c.simulation
	incarnation, isAnswered := sim.entries[entry].incarnation, false
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
			sim.entries[entry].core.ProgressReported(sim.now, ask, state, progress)
		}
	})
	sim.after(callTimeout, func() {
		if !isAnswered {
			sim.whenResponsive(entry, incarnation, func() { c.ask(entry, ask) })
		}
	})
}

// doneEnd is the end of a task that a worker has reported as done.
type doneEnd struct {
	worker      *fakeWorker
	incarnation int
	number      uint64
}

// noteRepeatedStart notes, when a run starts, the reported ends of the same task that are done. If such an end is or
// will be confirmed, and the lease has not lapsed in between, the task was done twice.
func (sim *simulation) noteRepeatedStart(runID work.RunID) {
	for _, other := range sim.workers {
		for _, end := range other.ends {
			if end.Task == runID.Task && end.Outcome == work.Done {
				sim.startedAgain = append(sim.startedAgain, startedAgain{
					at: sim.now, task: runID.Task, run: runID.Run,
					end: doneEnd{worker: other, incarnation: other.incarnation, number: end.Number},
				})
			}
		}
	}
}

// startedAgain is a run that started after another run of the task was done.
type startedAgain struct {
	at   time.Duration
	task string
	run  uint32
	end  doneEnd
}

func (sim *simulation) repeatedRuns() []string {
	var problems []string
	for _, again := range sim.startedAgain {
		if again.end.worker.confirmed[confirmedEnd{incarnation: again.end.incarnation, number: again.end.number}] {
			problems = append(problems, fmt.Sprintf("%v: task %s (run %d) starts though w%d had reported it done",
				again.at, again.task, again.run, again.end.worker.index))
		}
	}
	return problems
}
