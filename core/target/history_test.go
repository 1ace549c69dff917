package target

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// action is one step of a generated history. Its numbers are read as the kind needs them.
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

// attemptName names an attempt, or with attempt 0 the task.
type attemptName struct {
	job            JobID
	index, attempt uint32
}

// player plays a history against a target. Requests follow no protocol at all: the gate must hold by itself. Jobs 0
// and 1 are never-repeated.
type player struct {
	options Options
	off     safeguardsOff
	target  *Target
	now     time.Duration
	running []Start
	sent    []Run
	waiting map[uint64]bool
	waiter  uint64
	life    int
	// accepted counts the starts that the target took, by task; dead holds attempts reported as never to start, with
	// the epoch under which that was said.
	accepted map[attemptName]int
	dead     map[attemptName]uint64
	claims   map[JobID]uint64
	// last is the latest answer.
	last    Answer
	failure error
}

func newPlayer(options Options, off safeguardsOff) *player {
	p := &player{
		options: options, off: off, accepted: map[attemptName]int{}, dead: map[attemptName]uint64{},
		claims: map[JobID]uint64{},
	}
	p.restart()
	return p
}

// play returns the first rule that a history breaks.
func play(history []action, options Options, off safeguardsOff) error {
	p := newPlayer(options, off)
	for _, next := range history {
		p.act(next)
		p.check()
		if p.failure != nil {
			return p.failure
		}
	}
	p.settleAll()
	return p.failure
}

func (p *player) fail(format string, args ...any) {
	if p.failure == nil {
		p.failure = fmt.Errorf(format, args...)
	}
}

func (p *player) restart() {
	p.life++
	p.options.Incarnation = p.incarnation()
	p.target = New(p.options)
	p.target.off = p.off
	p.running = nil
	p.waiting = map[uint64]bool{}
}

func (p *player) incarnation() string {
	return fmt.Sprintf("life-%d", p.life)
}

// jobNumber names jobs anew in each life, as a claim made after a restart would name the new incarnation, and now and
// then, so that old jobs are forgotten.
func (p *player) jobNumber(n int) JobID {
	return JobID{byte(n + 1), byte(p.life), byte(len(p.sent) / requestsPerJob)}
}

const (
	requestsPerJob = 8
	epochsPerJob   = 3
)

// firstEpoch is that of a job's first claim. Epochs are ordered over all jobs.
func (p *player) firstEpoch(id JobID) uint64 {
	if p.claims[id] == 0 {
		p.claims[id] = uint64(epochsPerJob*len(p.claims) + 1)
	}
	return p.claims[id]
}

func neverRepeated(id JobID) bool {
	return id[0] <= 2
}

func (p *player) act(next action) {
	p.now += next.Wait
	id := p.jobNumber(next.Job)
	p.waiter++
	switch next.Kind {
	case "run":
		p.sendRun(p.makeRun(next))
	case "copy":
		if len(p.sent) > 0 {
			p.sendRun(p.sent[next.Pick%len(p.sent)])
		}
	case "finish":
		p.finish(next)
	case "seal", "seal all":
		p.waiting[p.waiter] = true
		p.step(Seal{
			Waiter: p.waiter, Job: id, Incarnation: p.incarnation(), Epoch: p.epoch(id, next), FirstEpoch: p.firstEpoch(id),
			Indexes: []uint32{uint32(next.Index)}, All: next.Kind == "seal all", Attempt: uint32(next.Pick % 3),
		})
	case "cancel", "cancel all":
		p.waiting[p.waiter] = true
		p.step(Cancel{Waiter: p.waiter, Jobs: []CancelledJob{
			{Job: id, Indexes: []uint32{uint32(next.Index)}, All: next.Kind == "cancel all"},
		}})
	case "status":
		p.waiting[p.waiter] = true
		p.step(Status{Waiter: p.waiter, Job: id})
	case "hold over":
		for waiter := range p.waiting {
			p.step(HoldOver{Waiter: waiter})
			break
		}
	case "tick":
		p.step(Tick{})
	case "drain":
		p.step(Drain{Drained: next.Flag && next.Stale})
	case "reach":
		p.step(Reach{Up: !next.Stale})
	case "restart":
		if next.Stale {
			p.restart()
		}
	}
}

func (p *player) epoch(id JobID, next action) uint64 {
	return p.firstEpoch(id) + uint64(next.Epoch) - 1
}

func (p *player) makeRun(next action) Run {
	id := p.jobNumber(next.Job)
	run := Run{
		Job: id, Incarnation: p.incarnation(), Epoch: p.epoch(id, next), FirstEpoch: p.firstEpoch(id), Repeatable: !neverRepeated(id),
		Deadline: p.now + time.Duration(next.Pick)*10*time.Millisecond, Slots: 1 + next.Pick%2,
	}
	if run.Repeatable {
		run.Epoch = 0
		run.FirstEpoch = 0
	}
	for i := range next.Tasks {
		run.Tasks = append(run.Tasks, Spec{Index: uint32(next.Index + i), Attempt: uint32(next.Attempt)})
	}
	p.sent = append(p.sent, run)
	return run
}

func (p *player) sendRun(run Run) {
	run.Waiter = p.waiter
	p.waiting[run.Waiter] = true
	p.step(run)
}

func (p *player) finish(next action) {
	if len(p.running) == 0 {
		return
	}
	at := next.Pick % len(p.running)
	start := p.running[at]
	p.running = append(p.running[:at], p.running[at+1:]...)
	outcome := Outcome(next.Outcome)
	if outcome == Cancelled {
		outcome = Done
	}
	if outcome == NotRun {
		p.accepted[attemptName{start.Job, start.Index, 0}]--
	}
	p.step(Finished{
		Job: start.Job, Index: start.Index, Attempt: start.Attempt, Outcome: outcome, Cause: Cause(next.Tasks), Result: make([]byte, next.Pick),
	})
}

func (p *player) step(event Event) {
	effects := append([]Effect(nil), p.target.Step(p.now, event)...)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Start:
			p.started(effect)
		case Answer:
			p.answered(event, effect)
		}
	}
	// What a step reports as dead must not start in the same step either.
	for _, effect := range effects {
		if answer, is := effect.(Answer); is {
			p.note(event, answer)
		}
	}
}

func (p *player) started(start Start) {
	p.running = append(p.running, start)
	task := attemptName{start.Job, start.Index, 0}
	attempt := attemptName{start.Job, start.Index, start.Attempt}
	p.accepted[task]++
	if epoch, dead := p.dead[attempt]; dead && epoch >= p.target.jobs[start.Job].fence {
		p.fail("attempt %v started after it was reported as not run", attempt)
	}
	if neverRepeated(start.Job) && p.accepted[task] > 1 {
		p.fail("task %v started twice", task)
	}
	if start.Deadline < p.now {
		p.fail("attempt %v started past its deadline", attempt)
	}
}

func (p *player) answered(event Event, answer Answer) {
	if !p.waiting[answer.Waiter] {
		p.fail("request %d answered twice", answer.Waiter)
	}
	delete(p.waiting, answer.Waiter)
	p.last = answer
	if run, is := event.(Run); is && run.Waiter == answer.Waiter && len(answer.Outcomes) != len(run.Tasks) {
		p.fail("%d outcomes for %d tasks", len(answer.Outcomes), len(run.Tasks))
	}
}

// note remembers what an answer to a Run promises of never-repeated attempts.
func (p *player) note(event Event, answer Answer) {
	run, is := event.(Run)
	if !is || run.Waiter != answer.Waiter || !neverRepeated(run.Job) {
		return
	}
	for _, outcome := range answer.Outcomes {
		if outcome.Outcome != NotRun && outcome.Outcome != Cancelled {
			continue
		}
		name := attemptName{run.Job, outcome.Index, outcome.Attempt}
		p.dead[name] = max(p.dead[name], run.Epoch)
		for _, start := range p.running {
			if name == (attemptName{start.Job, start.Index, start.Attempt}) {
				p.fail("attempt %v runs and was reported as not run", name)
			}
		}
	}
}

// check holds after every step.
func (p *player) check() {
	load := p.target.Load()
	if p.target.busy > p.options.Slots || p.target.busy < len(p.running) {
		p.fail("%d busy with %d running, %d slots", p.target.busy, len(p.running), p.options.Slots)
	}
	if load.Queued > p.options.Queue {
		p.fail("%d queued", load.Queued)
	}
	p.checkMemory()
	if len(p.target.tombstones.byJob) > p.options.Tombstones {
		p.fail("%d tombstones", len(p.target.tombstones.byJob))
	}
}

// checkMemory counts what is remembered anew.
func (p *player) checkMemory() {
	tasks, undelivered, unpacked := 0, 0, 0
	for id, j := range p.target.jobs {
		if j.live == 0 {
			p.fail("job %v is at rest and not packed", id)
		}
		tasks += len(j.tasks)
		unpacked += int(j.bytes)
	}
	for id, at := range p.target.packed {
		head, _ := (&reader{p.target.archives[at.list].read(at)}).header()
		if p.target.jobs[id] == nil {
			tasks += head.tasks
			undelivered += head.undelivered
		}
	}
	if tasks != p.target.remembered || unpacked != p.target.unpacked || undelivered > p.target.undelivered {
		p.fail("%d tasks, %d bytes, %d undelivered counted as %d, %d, %d", tasks, unpacked, undelivered,
			p.target.remembered, p.target.unpacked, p.target.undelivered)
	}
	if len(p.target.jobs) == 0 && p.target.bytes() > p.options.OutcomeBytes {
		p.fail("%d bytes remembered", p.target.bytes())
	}
}

// settleAll lets everything end and shows that each request gets its answer.
func (p *player) settleAll() {
	p.now += time.Hour
	p.step(Tick{})
	for len(p.running) > 0 {
		p.finish(action{Outcome: int(Done)})
	}
	if len(p.waiting) > 0 || len(p.target.waiters) > 0 {
		p.fail("%d requests without an answer", len(p.waiting))
	}
	if !p.target.Idle() {
		p.fail("not idle at the end")
	}
}
