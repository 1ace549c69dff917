package job

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// simulation is a system in memory: entries that share a claim, targets with gates, and a network that loses, delays,
// duplicates and reorders messages.
type simulation struct {
	t          *rapid.T
	now        time.Time
	repeatable bool
	tasks      int
	deadline   time.Time
	// skew is how much earlier the deadline passes at the targets than at the entries.
	skew    time.Duration
	claim   claimState
	entries []*entryState
	targets []*targetState
	calls   []*callState
	starts  map[int]int
	// losses are the replaced targets that an entry has not heard of.
	losses   []loss
	disabled safeguards
}

// loss is a replaced target, and the entry that has not heard of it.
type loss struct {
	entry  int
	target Target
}

// safeguards selects the safeguards to disable, which shows that the check detects their absence.
type safeguards struct {
	// seal: a target that does not answer a Seal counts as sealed.
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

// targetState is a target with its gate. A restart clears its state.
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

// callState is one call of an entry to a target or to control.
type callState struct {
	kind   EffectKind
	entry  int
	target Target
	epoch  uint64
	refs   []Ref
	// delivered is set once the callee has received the call. It may receive it again until the call is dropped.
	delivered bool
	// receiver is the incarnation of the target that received the call first: the answer comes on its connection.
	receiver string
	reports  []Report
	status   string
	// ended is set once the caller has its answer or has timed out.
	ended   bool
	dropped bool
}

const simulatedTargets = 3

func newSimulation(t *rapid.T, repeatable bool) *simulation {
	w := &simulation{t: t, now: time.Unix(0, 0), repeatable: repeatable, starts: map[int]int{}}
	w.tasks = rapid.IntRange(1, 4).Draw(t, "tasks")
	w.deadline = w.now.Add(2 * time.Second)
	w.skew = time.Duration(rapid.IntRange(0, 2000).Draw(t, "skew")) * time.Millisecond
	for i := range simulatedTargets {
		w.targets = append(w.targets, &targetState{id: fmt.Sprint("t", i), tasks: map[int]*gateTask{}})
	}
	w.addEntry()
	return w
}

func (w *simulation) addEntry() {
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

func (w *simulation) target(id string) *targetState {
	return w.targets[slices.IndexFunc(w.targets, func(g *targetState) bool { return g.id == id })]
}

// step applies an event and puts the resulting calls on the network.
func (w *simulation) step(entry int, event Event) {
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

// randomAction carries out one random action.
func (w *simulation) randomAction() {
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
		w.injectFault()
	default:
		w.advance(rapid.IntRange(1, 150).Draw(w.t, "ms"))
	}
}

func (w *simulation) injectFault() {
	switch rapid.IntRange(0, 7).Draw(w.t, "disturb") {
	case 0:
		w.timeOutAnyCall()
	case 1:
		w.dropCall()
	case 2:
		w.restartTarget()
	case 3:
		w.step(w.drawEntry(), Cancel{Reason: "asked for"})
	case 4:
		w.replaceEntry()
	case 5:
		w.step(w.drawEntry(), GiveUp{Reason: "too late"})
	case 6:
		w.step(w.drawEntry(), TargetLost{Target: w.drawTarget().name()})
	case 7:
		w.reportLosses()
	}
}

func (w *simulation) drawEntry() int { return rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry") }

func (w *simulation) drawTarget() *targetState {
	return w.targets[rapid.IntRange(0, len(w.targets)-1).Draw(w.t, "target")]
}

func (w *simulation) place() {
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

func (w *simulation) drawCall(fits func(c *callState) bool) *callState {
	var found []*callState
	for _, c := range w.calls {
		if !c.dropped && fits(c) {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(w.t, "call")]
}

// deliver delivers a call. It may have been delivered before, and its caller may have timed out.
func (w *simulation) deliver() {
	if c := w.drawCall(func(*callState) bool { return true }); c != nil {
		w.deliverCall(c)
	}
}

func (w *simulation) deliverCall(c *callState) {
	w.t.Logf("deliver %+v", *c)
	if !c.delivered && c.target.ID != "" {
		c.receiver = w.target(c.target.ID).name().Incarnation
	}
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

func (w *simulation) controlClaim(c *callState) string {
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

func (w *simulation) controlFinish(c *callState) string {
	if c.epoch != w.claim.epoch {
		return "fenced"
	}
	w.claim.stored = true
	return "finished"
}

// reply delivers an answer to its caller.
func (w *simulation) reply() {
	if c := w.drawCall(func(c *callState) bool { return c.delivered && !c.ended }); c != nil {
		w.replyCall(c)
	}
}

func (w *simulation) replyCall(c *callState) {
	if c.target.ID != "" && c.receiver != w.target(c.target.ID).name().Incarnation {
		// The connection ended with the process.
		w.timeOutCall(c)
		return
	}
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
		w.step(c.entry, RunAnswered{Target: c.target, Incarnation: c.receiver, Asked: asked, Reports: c.reports})
	case EffectStatus:
		w.step(c.entry, StatusAnswered{Target: c.target, Asked: asked, Reports: c.reports})
	case EffectSeal:
		w.step(c.entry, SealAnswered{Target: c.target, Asked: asked, Reports: c.reports})
	}
}

func (w *simulation) replyClaim(c *callState) {
	switch c.status {
	case "granted":
		w.step(c.entry, ClaimGranted{Epoch: w.claim.epoch})
	case "taken over":
		if w.claim.holder == c.entry {
			earlier := w.claim.targets
			if w.disabled.takeover {
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

// timeOutAnyCall ends a call without an answer. Its request may still arrive later.
func (w *simulation) timeOutAnyCall() {
	if c := w.drawCall(func(c *callState) bool { return !c.ended }); c != nil {
		w.timeOutCall(c)
	}
}

func (w *simulation) timeOutCall(c *callState) {
	switch c.kind {
	case EffectRun:
		c.ended = true
		w.step(c.entry, RunUnanswered{Target: c.target, Asked: c.refs})
	case EffectStatus:
		c.ended = true
		w.step(c.entry, StatusUnanswered{Target: c.target, Asked: c.refs})
	case EffectCancel:
		c.ended = true
	case EffectSeal:
		c.ended = true
		if w.disabled.seal {
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

// dropCall drops a call for good.
func (w *simulation) dropCall() {
	if c := w.drawCall(func(c *callState) bool { return c.kind != EffectClaim }); c != nil {
		c.dropped = true
		if !c.ended {
			w.timeOutCall(c)
		}
	}
}

func (w *simulation) restartTarget() {
	g := w.drawTarget()
	lost := g.name()
	g.incarnation++
	g.tasks = map[int]*gateTask{}
	g.fence = 0
	for i := range w.entries {
		w.losses = append(w.losses, loss{entry: i, target: lost})
	}
	if rapid.Bool().Draw(w.t, "heard at once") {
		w.reportLosses()
	}
}

// reportLosses tells the entries which targets were replaced.
func (w *simulation) reportLosses() {
	for _, l := range w.losses {
		if w.disabled.replaced {
			w.reportAllNotRun(l.entry, l.target)
			continue
		}
		w.step(l.entry, TargetLost{Target: l.target, Replaced: true})
	}
	w.losses = nil
}

// replaceEntry starts another entry, to which the caller resubmits. An entry may die before that.
func (w *simulation) replaceEntry() {
	if len(w.entries) >= 3 {
		return
	}
	if rapid.Bool().Draw(w.t, "dies") {
		w.entries[w.drawEntry()].alive = false
	}
	w.addEntry()
}

// reportAllNotRun reports every attempt at a target as not run.
func (w *simulation) reportAllNotRun(entry int, target Target) {
	for attempt := 1; attempt < 10; attempt++ {
		var refs []Ref
		for i := range w.tasks {
			refs = append(refs, Ref{Index: i, Attempt: attempt})
		}
		// One event for each attempt number: an answer reports on the latest attempt that it was asked for.
		w.step(entry, RunAnswered{Target: target, Asked: refs, Reports: sealedAll(refs)})
	}
}

func (w *simulation) finishTask() {
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

func (w *simulation) advance(ms int) {
	w.now = w.now.Add(time.Duration(ms) * time.Millisecond)
	for i, e := range w.entries {
		if wake := e.job.NextTick(); !wake.IsZero() && !wake.After(w.now) {
			w.step(i, Tick{})
		}
	}
}
