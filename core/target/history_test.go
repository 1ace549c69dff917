package target

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// action is one step of a generated history. Kind decides which of the fields are used.
type action struct {
	Kind                       string
	Job, Index, Attempt, Epoch int
	Tasks, Pick, Outcome       int
	Wait                       time.Duration
	Flag, Stale                bool
}

var actions = rapid.Custom(func(t *rapid.T) action {
	return action{
		Kind: rapid.SampledFrom([]string{
			"run", "run", "run", "copy", "copy", "finish", "finish", "finish", "seal", "seal all", "cancel", "cancel all",
			"status", "hold over", "tick", "drain", "reach", "restart",
		}).Draw(t, "kind"),
		Job: rapid.IntRange(0, 3).Draw(t, "job"), Index: rapid.IntRange(0, 3).Draw(t, "index"),
		Attempt: rapid.IntRange(1, 3).Draw(t, "attempt"), Epoch: rapid.IntRange(1, 3).Draw(t, "epoch"),
		Tasks: rapid.IntRange(1, 3).Draw(t, "tasks"), Pick: rapid.IntRange(0, 50).Draw(t, "pick"),
		Outcome: rapid.IntRange(int(Done), int(Unknown)).Draw(t, "outcome"),
		Wait:    time.Duration(rapid.IntRange(0, 40).Draw(t, "wait")) * time.Millisecond,
		Flag:    rapid.Bool().Draw(t, "flag"), Stale: rapid.IntRange(0, 9).Draw(t, "stale") == 0,
	}
})

var histories = rapid.SliceOfN(actions, 20, 80)

// attemptName identifies an attempt, or with attempt 0 the task.
type attemptName struct {
	job            JobID
	index, attempt uint32
}

// simulator runs a history against a target. The requests follow no protocol, so the rules must hold by the gate alone.
// Jobs 0 and 1 are never-repeated.
type simulator struct {
	options       Options
	disabled      disabledSafeguards
	target        *Target
	now           time.Duration
	running       []Start
	sent          []Run
	waiting       map[uint64]bool
	waiter        uint64
	processNumber int
	// accepted counts the starts that the target accepted, by task. neverStarts holds the attempts that were reported as
	// not run, with the epoch under which that was reported.
	accepted    map[attemptName]int
	neverStarts map[attemptName]uint64
	claims      map[JobID]uint64
	// last is the latest answer.
	last    Answer
	failure error
}

func newSimulator(options Options, disabled disabledSafeguards) *simulator {
	s := &simulator{
		options: options, disabled: disabled, accepted: map[attemptName]int{}, neverStarts: map[attemptName]uint64{},
		claims: map[JobID]uint64{},
	}
	s.restart()
	return s
}

// play returns the first rule that a history breaks.
func play(history []action, options Options, disabled disabledSafeguards) error {
	s := newSimulator(options, disabled)
	for _, next := range history {
		s.act(next)
		s.check()
		if s.failure != nil {
			return s.failure
		}
	}
	s.finishAll()
	return s.failure
}

func (s *simulator) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf(format, args...)
	}
}

func (s *simulator) restart() {
	s.processNumber++
	s.options.Incarnation = s.incarnation()
	s.target = New(s.options)
	s.target.disabled = s.disabled
	s.running = nil
	s.waiting = map[uint64]bool{}
}

func (s *simulator) incarnation() string {
	return fmt.Sprintf("process-%d", s.processNumber)
}

// jobID returns the id of job n. It changes after each restart, as a claim made then would name the new incarnation, and
// after every requestsPerJob requests, so that old jobs are evicted.
func (s *simulator) jobID(n int) JobID {
	return JobID{byte(n + 1), byte(s.processNumber), byte(len(s.sent) / requestsPerJob)}
}

const (
	requestsPerJob = 8
	epochsPerJob   = 3
)

// firstEpoch returns the epoch of the job's first claim. Epochs are ordered over all jobs.
func (s *simulator) firstEpoch(id JobID) uint64 {
	if s.claims[id] == 0 {
		s.claims[id] = uint64(epochsPerJob*len(s.claims) + 1)
	}
	return s.claims[id]
}

func neverRepeated(id JobID) bool {
	return id[0] <= 2
}

func (s *simulator) act(next action) {
	s.now += next.Wait
	id := s.jobID(next.Job)
	s.waiter++
	switch next.Kind {
	case "run":
		s.sendRun(s.makeRun(next))
	case "copy":
		if len(s.sent) > 0 {
			s.sendRun(s.sent[next.Pick%len(s.sent)])
		}
	case "finish":
		s.finish(next)
	case "seal", "seal all":
		s.waiting[s.waiter] = true
		s.step(Seal{
			Waiter: s.waiter, Job: id, Incarnation: s.incarnation(), Epoch: s.epoch(id, next), FirstEpoch: s.firstEpoch(id),
			Indexes: []uint32{uint32(next.Index)}, All: next.Kind == "seal all", Attempt: uint32(next.Pick % 3),
		})
	case "cancel", "cancel all":
		s.waiting[s.waiter] = true
		s.step(Cancel{Waiter: s.waiter, Jobs: []CancelledJob{
			{Job: id, Indexes: []uint32{uint32(next.Index)}, All: next.Kind == "cancel all"},
		}})
	case "status":
		s.waiting[s.waiter] = true
		s.step(Status{Waiter: s.waiter, Job: id})
	case "hold over":
		for waiter := range s.waiting {
			s.step(HoldOver{Waiter: waiter})
			break
		}
	case "tick":
		s.step(Tick{})
	case "drain":
		s.step(Drain{Drained: next.Flag && next.Stale})
	case "reach":
		s.step(Reach{Up: !next.Stale})
	case "restart":
		if next.Stale {
			s.restart()
		}
	}
}

func (s *simulator) epoch(id JobID, next action) uint64 {
	return s.firstEpoch(id) + uint64(next.Epoch) - 1
}

func (s *simulator) makeRun(next action) Run {
	id := s.jobID(next.Job)
	run := Run{
		Job: id, Incarnation: s.incarnation(), Epoch: s.epoch(id, next), FirstEpoch: s.firstEpoch(id), Repeatable: !neverRepeated(id),
		Deadline: s.now + time.Duration(next.Pick)*10*time.Millisecond, Slots: 1 + next.Pick%2,
	}
	if run.Repeatable {
		run.Epoch = 0
		run.FirstEpoch = 0
	}
	for i := range next.Tasks {
		run.Tasks = append(run.Tasks, Spec{Index: uint32(next.Index + i), Attempt: uint32(next.Attempt)})
	}
	s.sent = append(s.sent, run)
	return run
}

func (s *simulator) sendRun(run Run) {
	run.Waiter = s.waiter
	s.waiting[run.Waiter] = true
	s.step(run)
}

func (s *simulator) finish(next action) {
	if len(s.running) == 0 {
		return
	}
	at := next.Pick % len(s.running)
	start := s.running[at]
	s.running = append(s.running[:at], s.running[at+1:]...)
	outcome := Outcome(next.Outcome)
	if outcome == Cancelled {
		outcome = Done
	}
	if outcome == NotRun {
		s.accepted[attemptName{start.Job, start.Index, 0}]--
	}
	s.step(Finished{
		Job: start.Job, Index: start.Index, Attempt: start.Attempt, Outcome: outcome, Cause: Cause(next.Tasks), Result: make([]byte, next.Pick),
	})
}

func (s *simulator) step(event Event) {
	effects := append([]Effect(nil), s.target.Step(s.now, event)...)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Start:
			s.started(effect)
		case Answer:
			s.answered(event, effect)
		}
	}
	// An attempt that a step reports as not run must not start in the same step either.
	for _, effect := range effects {
		if answer, ok := effect.(Answer); ok {
			s.recordNotRun(event, answer)
		}
	}
}

func (s *simulator) started(start Start) {
	s.running = append(s.running, start)
	task := attemptName{start.Job, start.Index, 0}
	attempt := attemptName{start.Job, start.Index, start.Attempt}
	s.accepted[task]++
	if epoch, neverStarts := s.neverStarts[attempt]; neverStarts && epoch >= s.target.jobs[start.Job].fence {
		s.fail("attempt %v started after it was reported as not run", attempt)
	}
	if neverRepeated(start.Job) && s.accepted[task] > 1 {
		s.fail("task %v started twice", task)
	}
	if start.Deadline < s.now {
		s.fail("attempt %v started past its deadline", attempt)
	}
}

func (s *simulator) answered(event Event, answer Answer) {
	if !s.waiting[answer.Waiter] {
		s.fail("request %d answered twice", answer.Waiter)
	}
	delete(s.waiting, answer.Waiter)
	s.last = answer
	if run, ok := event.(Run); ok && run.Waiter == answer.Waiter && len(answer.Outcomes) != len(run.Tasks) {
		s.fail("%d outcomes for %d tasks", len(answer.Outcomes), len(run.Tasks))
	}
}

// recordNotRun records the never-repeated attempts that an answer to a Run reports as not run.
func (s *simulator) recordNotRun(event Event, answer Answer) {
	run, ok := event.(Run)
	if !ok || run.Waiter != answer.Waiter || !neverRepeated(run.Job) {
		return
	}
	for _, outcome := range answer.Outcomes {
		if outcome.Outcome != NotRun && outcome.Outcome != Cancelled {
			continue
		}
		name := attemptName{run.Job, outcome.Index, outcome.Attempt}
		s.neverStarts[name] = max(s.neverStarts[name], run.Epoch)
		for _, start := range s.running {
			if name == (attemptName{start.Job, start.Index, start.Attempt}) {
				s.fail("attempt %v runs and was reported as not run", name)
			}
		}
	}
}

// check verifies the invariants that hold after every step.
func (s *simulator) check() {
	load := s.target.Load()
	if s.target.busy > s.options.Slots || s.target.busy < len(s.running) {
		s.fail("%d busy with %d running, %d slots", s.target.busy, len(s.running), s.options.Slots)
	}
	if load.Queued > s.options.Queue {
		s.fail("%d queued", load.Queued)
	}
	s.checkMemory()
	if len(s.target.tombstones.byJob) > s.options.Tombstones {
		s.fail("%d tombstones", len(s.target.tombstones.byJob))
	}
}

// checkMemory compares the counters with a recount.
func (s *simulator) checkMemory() {
	tasks, undelivered, unpacked := 0, 0, 0
	for id, j := range s.target.jobs {
		if j.live == 0 {
			s.fail("job %v has no live tasks and is not packed", id)
		}
		tasks += len(j.tasks)
		unpacked += int(j.bytes)
	}
	for id, at := range s.target.packed {
		head, _ := (&reader{s.target.archives[at.archiveIndex].read(at)}).header()
		if s.target.jobs[id] == nil {
			tasks += head.tasks
			undelivered += head.undelivered
		}
	}
	if tasks != s.target.remembered || unpacked != s.target.unpacked || undelivered > s.target.undelivered {
		s.fail("%d tasks, %d bytes, %d undelivered counted as %d, %d, %d", tasks, unpacked, undelivered,
			s.target.remembered, s.target.unpacked, s.target.undelivered)
	}
	if len(s.target.jobs) == 0 && s.target.bytes() > s.options.OutcomeBytes {
		s.fail("%d bytes remembered", s.target.bytes())
	}
}

// finishAll ends all tasks and verifies that each request has got its answer.
func (s *simulator) finishAll() {
	s.now += time.Hour
	s.step(Tick{})
	for len(s.running) > 0 {
		s.finish(action{Outcome: int(Done)})
	}
	if len(s.waiting) > 0 || len(s.target.waiters) > 0 {
		s.fail("%d requests without an answer", len(s.waiting))
	}
	if !s.target.Idle() {
		s.fail("not idle at the end")
	}
}
