package job

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// world is a small system in memory: entries that share a claim, targets behind gates, and a network that loses,
// delays, doubles and reorders what it carries.
type world struct {
	t          *rapid.T
	now        time.Time
	repeatable bool
	tasks      int
	deadline   time.Time
	// skew is how much earlier than the entries the targets see the deadline.
	skew    time.Duration
	claim   claimState
	entries []*entryState
	targets []*targetState
	calls   []*callState
	starts  map[int]int
	off     safeguards
}

// safeguards are switched off to show that the check would notice.
type safeguards struct {
	// seal: a silent target counts as sealed.
	seal bool
	// takeover: the targets of an earlier holder are not sealed.
	takeover bool
	// replaced: a replaced process counts as having started nothing.
	replaced bool
}

type claimState struct {
	epoch   uint64
	holder  int
	targets []Target
	stored  bool
}

type entryState struct {
	job     *Job
	alive   bool
	answers int
}

// targetState is a target and its gate; a restart forgets everything.
type targetState struct {
	id          string
	incarnation int
	tasks       map[int]*gateTask
	fence       uint64
}

type gateTask struct {
	attempt int
	outcome Outcome
	cause   Cause
	started bool
	sealed  bool
}

// callState is one call between an entry and a target, or control.
type callState struct {
	kind   EffectKind
	entry  int
	target Target
	epoch  uint64
	refs   []Ref
	// delivered is set once the callee has seen it; it may see it again until gone.
	delivered bool
	reports   []Report
	status    string
	// ended is set once the caller has its answer or has given up.
	ended bool
	gone  bool
}

const worldTargets = 3

func newWorld(t *rapid.T, repeatable bool) *world {
	w := &world{t: t, now: time.Unix(0, 0), repeatable: repeatable, starts: map[int]int{}}
	w.tasks = rapid.IntRange(1, 4).Draw(t, "tasks")
	w.deadline = w.now.Add(2 * time.Second)
	w.skew = time.Duration(rapid.IntRange(0, 2000).Draw(t, "skew")) * time.Millisecond
	for i := range worldTargets {
		w.targets = append(w.targets, &targetState{id: fmt.Sprint("t", i), tasks: map[int]*gateTask{}})
	}
	w.addEntry()
	return w
}

func (w *world) addEntry() {
	spec := Spec{
		ID: "job", Repeatable: w.repeatable, Attempts: 2, Deadline: w.deadline,
		SealMargin: 200 * time.Millisecond, FinishGrace: 500 * time.Millisecond, Tasks: make([]TaskSpec, w.tasks),
	}
	e := &entryState{job: New(spec), alive: true}
	w.entries = append(w.entries, e)
	w.step(len(w.entries)-1, Begin{})
}

func (g *targetState) name() Target {
	return Target{ID: g.id, Incarnation: fmt.Sprint(g.incarnation)}
}

func (w *world) target(id string) *targetState {
	return w.targets[slices.IndexFunc(w.targets, func(g *targetState) bool { return g.id == id })]
}

// step applies an event and puts the calls that follow onto the network.
func (w *world) step(entry int, event Event) {
	e := w.entries[entry]
	if !e.alive {
		return
	}
	w.t.Logf("%v entry %d: %T%+v", w.now.Sub(time.Unix(0, 0)), entry, event, event)
	for _, effect := range e.job.Step(w.now, event) {
		w.t.Logf("  -> effect %+v", effect)
		switch effect.Kind {
		case EffectClaim, EffectRun, EffectStatus, EffectSeal, EffectCancel, EffectFinish:
			w.calls = append(w.calls, &callState{
				kind: effect.Kind, entry: entry, target: effect.Target, epoch: e.job.Epoch(),
				refs: slices.Clone(effect.Refs),
			})
		case EffectAnswer:
			e.answers++
		}
	}
}

// act does one random thing.
func (w *world) act() {
	switch rapid.IntRange(0, 13).Draw(w.t, "act") {
	case 0, 1, 2:
		w.place()
	case 3, 4, 5:
		w.deliver()
	case 6, 7, 8:
		w.reply()
	case 9, 10:
		w.finishTask()
	case 11:
		w.disturb()
	default:
		w.advance(rapid.IntRange(1, 150).Draw(w.t, "ms"))
	}
}

func (w *world) disturb() {
	switch rapid.IntRange(0, 6).Draw(w.t, "disturb") {
	case 0:
		w.silence()
	case 1:
		w.lose()
	case 2:
		w.restartTarget()
	case 3:
		w.step(w.drawEntry(), Cancel{Reason: "asked for"})
	case 4:
		w.killEntry()
	case 5:
		w.step(w.drawEntry(), GiveUp{Reason: "too late"})
	case 6:
		w.step(w.drawEntry(), TargetLost{Target: w.drawTarget().name()})
	}
}

func (w *world) drawEntry() int { return rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry") }

func (w *world) drawTarget() *targetState {
	return w.targets[rapid.IntRange(0, len(w.targets)-1).Draw(w.t, "target")]
}

func (w *world) place() {
	e := w.drawEntry()
	j := w.entries[e].job
	index := rapid.IntRange(0, w.tasks-1).Draw(w.t, "task")
	isHedge := w.repeatable && rapid.Bool().Draw(w.t, "hedge")
	if !j.IsWaiting() && !isHedge {
		return
	}
	if next := j.NextWaiting(index); next >= 0 && !isHedge {
		index = next
	}
	w.step(e, Place{Target: w.drawTarget().name(), Indexes: []int{index}})
}

func (w *world) drawCall(fits func(c *callState) bool) *callState {
	var found []*callState
	for _, c := range w.calls {
		if !c.gone && fits(c) {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(w.t, "call")]
}

// deliver lets the callee see a call, perhaps not for the first time and perhaps after its caller has given up.
func (w *world) deliver() {
	if c := w.drawCall(func(*callState) bool { return true }); c != nil {
		w.deliverCall(c)
	}
}

func (w *world) deliverCall(c *callState) {
	w.t.Logf("deliver %+v", *c)
	c.delivered = true
	switch c.kind {
	case EffectClaim:
		c.status = w.controlClaim(c)
	case EffectFinish:
		c.status = w.controlFinish(c)
	default:
		c.reports = w.target(c.target.ID).handle(w, c)
	}
}

func (w *world) controlClaim(c *callState) string {
	switch {
	case w.claim.stored:
		return "finished"
	case w.claim.epoch == 0:
		w.claim = claimState{epoch: 1, holder: c.entry}
		for _, g := range w.targets {
			w.claim.targets = append(w.claim.targets, g.name())
		}
		return "granted"
	case w.claim.holder == c.entry && c.status == "taken over":
		return c.status
	case w.claim.holder == c.entry:
		return "granted"
	case w.entries[w.claim.holder].alive:
		return "held"
	}
	w.claim.epoch++
	w.claim.holder = c.entry
	return "taken over"
}

func (w *world) controlFinish(c *callState) string {
	if c.epoch != w.claim.epoch {
		return "fenced"
	}
	w.claim.stored = true
	return "finished"
}

// reply hands an answer to its caller.
func (w *world) reply() {
	if c := w.drawCall(func(c *callState) bool { return c.delivered && !c.ended }); c != nil {
		w.replyCall(c)
	}
}

func (w *world) replyCall(c *callState) {
	c.ended = true
	asked := slices.Clone(c.refs)
	switch c.kind {
	case EffectClaim:
		w.replyClaim(c)
	case EffectFinish:
		if c.status == "fenced" {
			w.step(c.entry, FinishFenced{})
		} else {
			w.step(c.entry, Finished{})
		}
	case EffectRun:
		c.reports = w.target(c.target.ID).handle(w, c)
		w.step(c.entry, RunAnswered{Target: c.target, Asked: asked, Reports: c.reports})
	case EffectStatus:
		w.step(c.entry, StatusAnswered{Target: c.target, Asked: asked, Reports: c.reports})
	case EffectSeal:
		w.step(c.entry, SealAnswered{Target: c.target, Asked: asked, Reports: c.reports})
	}
}

func (w *world) replyClaim(c *callState) {
	switch c.status {
	case "granted":
		w.step(c.entry, ClaimGranted{Epoch: w.claim.epoch})
	case "taken over":
		if w.claim.holder == c.entry {
			earlier := w.claim.targets
			if w.off.takeover {
				earlier = nil
			}
			w.step(c.entry, ClaimGranted{Epoch: w.claim.epoch, Earlier: earlier})
		}
	case "finished":
		w.entries[c.entry].alive = false
	case "held":
		c.delivered, c.ended = false, false
	}
}

// silence ends a call without an answer; its request may still arrive later.
func (w *world) silence() {
	if c := w.drawCall(func(c *callState) bool { return !c.ended }); c != nil {
		w.silenceCall(c)
	}
}

func (w *world) silenceCall(c *callState) {
	switch c.kind {
	case EffectRun:
		c.ended = true
		w.step(c.entry, RunUnanswered{Target: c.target, Asked: c.refs})
	case EffectStatus:
		c.ended = true
		w.step(c.entry, StatusUnanswered{Target: c.target, Asked: c.refs})
	case EffectSeal:
		c.ended = true
		if w.off.seal {
			w.step(c.entry, SealAnswered{Target: c.target, Asked: c.refs, Reports: sealedAll(c.refs)})
			return
		}
		w.step(c.entry, SealUnanswered{Target: c.target, Asked: c.refs})
	}
}

func sealedAll(refs []Ref) []Report {
	var reports []Report
	for _, ref := range refs {
		reports = append(reports, Report{Ref: ref, Outcome: NotRun, Cause: CauseSealed})
	}
	return reports
}

// lose drops a call for good.
func (w *world) lose() {
	if c := w.drawCall(func(c *callState) bool { return c.kind != EffectClaim }); c != nil {
		c.gone = true
		if !c.ended {
			w.silenceCall(c)
		}
	}
}

func (w *world) restartTarget() {
	g := w.drawTarget()
	lost := g.name()
	g.incarnation++
	g.tasks = map[int]*gateTask{}
	g.fence = 0
	for i := range w.entries {
		if w.off.replaced {
			w.freeAll(i, lost)
			continue
		}
		w.step(i, TargetLost{Target: lost, Replaced: true})
	}
}

// killEntry ends an entry and starts another one, to which the caller resubmits.
func (w *world) killEntry() {
	if len(w.entries) >= 3 {
		return
	}
	if rapid.Bool().Draw(w.t, "dies") {
		w.entries[w.drawEntry()].alive = false
	}
	w.addEntry()
}

// freeAll reports every attempt at a target as not run.
func (w *world) freeAll(entry int, target Target) {
	var refs []Ref
	for i := range w.tasks {
		for attempt := range 10 {
			refs = append(refs, Ref{Index: i, Attempt: attempt})
		}
	}
	w.step(entry, RunAnswered{Target: target, Asked: refs, Reports: sealedAll(refs)})
}

func (w *world) finishTask() {
	g := w.drawTarget()
	var running []int
	for i, task := range g.tasks {
		if task.outcome == Running {
			running = append(running, i)
		}
	}
	if len(running) == 0 {
		return
	}
	slices.Sort(running)
	index := running[rapid.IntRange(0, len(running)-1).Draw(w.t, "running")]
	task := g.tasks[index]
	task.outcome = Done
	if rapid.IntRange(0, 5).Draw(w.t, "fails") == 0 {
		task.outcome = Failed
		task.cause = rapid.SampledFrom([]Cause{CauseTask, CauseTarget}).Draw(w.t, "cause")
	}
}

func (w *world) advance(ms int) {
	w.now = w.now.Add(time.Duration(ms) * time.Millisecond)
	for i, e := range w.entries {
		if wake := e.job.Wake(); !wake.IsZero() && !wake.After(w.now) {
			w.step(i, Tick{})
		}
	}
}
