package dispatch_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/runner"
	"flamingohall.example/core/work"
)

// world plays entries, sidecars and workers in one goroutine on one clock: messages are delayed, connections break,
// processes end, orders to workers get no answer and are carried out late.
type world struct {
	t      rapid.TB
	random *rand.Rand
	// arrivals draws what comes from outside, so that the same comes whatever is decided.
	arrivals *rand.Rand
	now      time.Duration
	queue    eventQueue
	sequence int
	entries  []*entryNode
	sidecars []*sidecarNode
	workers  []*fakeWorker
	answers  map[string][]dispatch.Answer
	// late is the share of orders that get no answer and are carried out seconds later.
	late float64
	// ranAt remembers when each task's last run began.
	ranAt    map[string]time.Duration
	overlaps []string
	limits   limits
	// cuts holds until when an entry and a sidecar can't reach each other.
	cuts map[[2]int]time.Duration
	// control keeps stored jobs; nil in worlds without any.
	control      *fakeControl
	startedAgain []startedAgain
}

// limits are the times that both sides rely on. Tests set them wrong to show what they are for.
type limits struct {
	entry   dispatch.Limits
	sidecar runner.Limits
}

var defaultLimits = limits{entry: dispatch.DefaultLimits, sidecar: runner.DefaultLimits}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// entryNode is one entry process.
type entryNode struct {
	core  *dispatch.Dispatcher
	life  int
	alive bool
	// frozen until.
	frozenUntil time.Duration
	// holder is the name under which the process stores jobs, known the index of control's last answer; until cutOffUntil
	// it does not reach control.
	holder      string
	known       uint64
	cutOffUntil time.Duration
}

// sidecarNode is one sidecar process.
type sidecarNode struct {
	core        *runner.Runner
	life        int
	alive       bool
	frozenUntil time.Duration
	sessions    map[runner.Session]*link
	next        runner.Session
	worker      *fakeWorker
}

// link is a session between an entry and a sidecar.
type link struct {
	entry   int
	sidecar int
	life    [2]int
	session runner.Session
	isOpen  bool
	cutTill time.Duration
	// lastDown and lastUp keep the order of messages.
	lastDown, lastUp time.Duration
}

func newWorld(t rapid.TB, seed uint64, limits limits, entries, workers int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), answers: map[string][]dispatch.Answer{},
		ranAt: map[string]time.Duration{}, limits: limits,
		cuts: map[[2]int]time.Duration{},
	}
	for i := range workers {
		one := &fakeWorker{world: w, index: i, up: true, rate: 0.98 + 0.02*w.random.Float64(), runs: map[string]*fakeRun{}, confirmed: map[confirmedEnd]bool{}}
		one.begin()
		w.workers = append(w.workers, one)
		w.sidecars = append(w.sidecars, &sidecarNode{worker: one})
		w.startSidecar(i)
	}
	for i := range entries {
		w.entries = append(w.entries, &entryNode{})
		w.startEntry(i)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + d, sequence: w.sequence, do: do})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	w.now = until
}

func (w *world) delay() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int64N(int64(2*time.Millisecond)))
}

func (w *world) startEntry(i int) {
	n := w.entries[i]
	n.life++
	n.alive = true
	n.core = dispatch.New(w.limits.entry, "a", uint64(i))
	life := n.life
	for s := range w.sidecars {
		w.connect(i, s, life)
	}
	w.tickEntry(i, life)
	if w.control != nil {
		n.holder, n.known = fmt.Sprintf("e%d.%d", i, life), 0
		w.control.keep(i, life)
	}
}

func (w *world) tickEntry(i, life int) {
	n := w.entries[i]
	if n.life != life || !n.alive {
		return
	}
	if w.now >= n.frozenUntil {
		w.pumpEntry(i)
	}
	w.after(2*time.Millisecond, func() { w.tickEntry(i, life) })
}

func (w *world) startSidecar(i int) {
	n := w.sidecars[i]
	n.life++
	n.alive = true
	n.core = runner.New(w.limits.sidecar, uint64(1000*n.life))
	n.sessions = map[runner.Session]*link{}
	w.tickSidecar(i, n.life)
	w.beat(i, n.life)
}

func (w *world) tickSidecar(i, life int) {
	n := w.sidecars[i]
	if n.life != life || !n.alive {
		return
	}
	if w.now >= n.frozenUntil {
		w.pumpSidecar(i)
	}
	w.after(2*time.Millisecond, func() { w.tickSidecar(i, life) })
}

func (w *world) beat(i, life int) {
	n := w.sidecars[i]
	if n.life != life || !n.alive {
		return
	}
	if n.worker.up {
		n.core.Announced(w.now, runner.Announcement{Worker: n.worker.record(), Born: int64(n.worker.life)})
	}
	w.after(300*time.Millisecond, func() { w.beat(i, life) })
}

// connect opens a session after a while, and again whenever it has ended.
func (w *world) connect(entry, sidecar, life int) {
	w.after(w.delay()+100*time.Millisecond, func() {
		e, s := w.entries[entry], w.sidecars[sidecar]
		if e.life != life || !e.alive {
			return
		}
		if !s.alive || w.now < s.frozenUntil || w.now < e.frozenUntil || w.now < w.cuts[[2]int{entry, sidecar}] {
			w.connect(entry, sidecar, life)
			return
		}
		s.next++
		l := &link{entry: entry, sidecar: sidecar, life: [2]int{life, s.life}, session: s.next, isOpen: true}
		s.sessions[l.session] = l
		s.core.Open(w.now, l.session, work.Hello{Entry: fmt.Sprintf("e%d.%d", entry, life)})
		e.core.Opened(w.now, name(sidecar), "a")
		e.core.Attached(w.now, name(sidecar), true)
	})
}

func name(sidecar int) string { return fmt.Sprintf("s%d", sidecar) }

// broken ends a session at both sides that live.
func (w *world) broken(l *link) {
	w.endedAtSidecar(l)
	w.endedAtEntry(l)
}

// endedAtSidecar ends a session at its sidecar.
func (w *world) endedAtSidecar(l *link) {
	s := w.sidecars[l.sidecar]
	if s.life != l.life[1] || s.sessions[l.session] == nil {
		return
	}
	delete(s.sessions, l.session)
	if s.alive {
		s.core.Closed(w.now, l.session)
	}
}

// endedAtEntry ends a session at its entry, which then opens another one.
func (w *world) endedAtEntry(l *link) {
	if !l.isOpen {
		return
	}
	l.isOpen = false
	e := w.entries[l.entry]
	if e.life == l.life[0] && e.alive {
		e.core.Closed(w.now, name(l.sidecar))
		w.connect(l.entry, l.sidecar, l.life[0])
	}
}

func (w *world) linkOf(entry, sidecar int) *link {
	sessions := w.sidecars[sidecar].sessions
	for _, id := range slices.Sorted(maps.Keys(sessions)) {
		if l := sessions[id]; l.entry == entry && l.isOpen && l.life[0] == w.entries[entry].life {
			return l
		}
	}
	return nil
}

func (w *world) pumpEntry(i int) {
	n := w.entries[i]
	n.core.Advance(w.now)
	effects := n.core.Effects()
	w.traceEntry(i, &effects)
	for _, frame := range effects.Frames {
		var sidecar int
		_, _ = fmt.Sscanf(frame.Worker, "s%d", &sidecar)
		l := w.linkOf(i, sidecar)
		if l == nil {
			continue
		}
		message := frame.ToSidecar
		w.deliver(l, &l.lastDown, func() bool {
			s := w.sidecars[sidecar]
			if s.life != l.life[1] || !s.alive {
				return true
			}
			if w.now < s.frozenUntil {
				return false
			}
			s.core.Take(w.now, l.session, &message)
			w.pumpSidecar(sidecar)
			return true
		})
	}
	for _, record := range effects.Records {
		w.record(i, record)
	}
	for _, ask := range effects.ProgressRequests {
		w.control.ask(i, ask)
	}
	for _, answer := range effects.Answers {
		w.answers[answer.Job] = append(w.answers[answer.Job], answer)
		if answer.Result == dispatch.Refused && answer.Trace.Offers > 0 {
			w.t.Fatalf("job %s is refused after %d offers", answer.Job, answer.Trace.Offers)
		}
	}
}

// deliver hands a message over in order; during a cut it is held up, and it waits for a frozen receiver.
func (w *world) deliver(l *link, last *time.Duration, hand func() bool) {
	at := max(w.now+w.delay(), *last, l.cutTill)
	*last = at
	var try func()
	try = func() {
		if l.isOpen && !hand() {
			w.after(20*time.Millisecond, try)
		}
	}
	w.after(at-w.now, try)
}

func (w *world) pumpSidecar(i int) {
	n := w.sidecars[i]
	n.core.Advance(w.now)
	effects := n.core.Effects()
	w.traceSidecar(i, &effects)
	for _, frame := range effects.Frames {
		l := n.sessions[frame.Session]
		if l == nil {
			continue
		}
		message := frame.ToEntry
		w.deliver(l, &l.lastUp, func() bool {
			e := w.entries[l.entry]
			if e.life != l.life[0] || !e.alive {
				return true
			}
			if w.now < e.frozenUntil {
				return false
			}
			e.core.Take(w.now, name(i), &message)
			w.pumpEntry(l.entry)
			return true
		})
	}
	life := n.life
	reply := func(to func()) {
		w.after(time.Millisecond/2, func() {
			if n.life == life && n.alive && w.now >= n.frozenUntil {
				to()
				w.pumpSidecar(i)
			}
		})
	}
	for _, start := range effects.Starts {
		w.order(func() runner.Answer { return n.worker.start(&start) }, runner.StartTimeout, reply, func(a runner.Answer) {
			n.core.Started(w.now, start.RunID, a, n.worker.reading(a))
		})
	}
	for _, stop := range effects.Stops {
		w.order(func() runner.Answer { return n.worker.stop(&stop) }, runner.StopTimeout, reply, func(a runner.Answer) {
			n.core.Stopped(w.now, stop.RunID, a, n.worker.reading(a))
		})
	}
	if effects.Hold != nil {
		w.hold(n, *effects.Hold, reply)
	}
	for _, id := range effects.Close {
		if l := n.sessions[id]; l != nil {
			w.endedAtSidecar(l)
			w.after(max(w.delay(), l.cutTill-w.now), func() { w.endedAtEntry(l) })
		}
	}
}

// order carries an order out now, or late and without an answer.
func (w *world) order(
	carryOut func() runner.Answer, timeout time.Duration, reply func(func()), done func(runner.Answer),
) {
	if w.random.Float64() < w.late {
		w.after(2*time.Second+time.Duration(w.random.Int64N(int64(4*time.Second))), func() { carryOut() })
		w.after(timeout, func() { reply(func() { done(runner.NoAnswer) }) })
		return
	}
	w.after(time.Millisecond/2, func() {
		answer := carryOut()
		reply(func() { done(answer) })
	})
}

// hold answers when something ends, or after the time that the order allows.
func (w *world) hold(n *sidecarNode, hold runner.Hold, reply func(func())) {
	worker := n.worker
	accepted := worker.hold(&hold)
	began := len(worker.ends)
	var poll func()
	poll = func() {
		if accepted == runner.Accepted && len(worker.ends) == began && hold.Wait > 0 {
			hold.Wait -= 2 * time.Millisecond
			w.after(2*time.Millisecond, poll)
			return
		}
		report := worker.report(accepted)
		report.Number = hold.Number
		reply(func() { n.core.Reported(w.now, report) })
	}
	poll()
}

// submit hands a job in and checks later that it was answered.
func (w *world) submit(entry int, id string, tasks int, expected, patience time.Duration) {
	n := w.entries[entry]
	if !n.alive || w.now < n.frozenUntil {
		return
	}
	n.core.Submit(w.now, dispatch.Submission{
		ID: id, Timeout: patience,
		Queue: dispatch.Queue{Name: "q", Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond},
		Steps: []dispatch.Step{{Count: tasks, Needs: work.Needs{MilliCores: 3000, MemoryMB: 64}, Expected: expected}},
	})
	w.pumpEntry(entry)
}

// fakeWorker behaves as runner's documentation expects of a worker.
type fakeWorker struct {
	world *world
	index int
	up    bool
	life  int
	rate  float64
	born  time.Duration
	lease float64 // on the worker's clock, in ms
	fence uint64
	runs  map[string]*fakeRun
	ends  []runner.ListedEnd
	// endedRuns holds the highest run of each task that was stopped or has ended.
	endedRuns map[string]uint32
	// lapses counts how often the lease has lapsed; endedIn holds the count at each of the ends.
	lapses  int
	endedIn []int
	// confirmed holds the ends that may be forgotten, by life and number: true if the lease has not lapsed since the end.
	confirmed map[confirmedEnd]bool
}

// confirmedEnd names an end of one life of a worker.
type confirmedEnd struct {
	life   int
	number uint64
}

type fakeRun struct {
	run     uint32
	startAt time.Duration
	length  time.Duration
}

func (f *fakeWorker) begin() {
	f.life++
	f.born = f.world.now
	f.fence, f.lease = 0, 0
	f.runs, f.ends, f.endedIn, f.endedRuns = map[string]*fakeRun{}, nil, nil, map[string]uint32{}
}

func (f *fakeWorker) record() work.Worker {
	return work.Worker{
		Incarnation: fmt.Sprintf("w%d@%d", f.index, f.life), Pool: "p",
		Capacity: work.Needs{MilliCores: 32000, MemoryMB: 65536},
	}
}

func (f *fakeWorker) clock() float64 {
	return 1000 + float64(f.world.now-f.born)/float64(time.Millisecond)*f.rate
}

func (f *fakeWorker) reading(answer runner.Answer) runner.Reading {
	if answer == runner.NoAnswer || answer == runner.ConnectionRefused {
		return runner.Reading{}
	}
	return runner.Reading{ClockMS: int64(f.clock())}
}

// settle ends what has lapsed.
func (f *fakeWorker) settle() {
	if len(f.runs) > 0 && f.clock() > f.lease {
		for _, task := range slices.Sorted(maps.Keys(f.runs)) {
			f.end(task, f.runs[task].run, work.Lost)
		}
	}
}

func (f *fakeWorker) end(task string, run uint32, outcome work.Outcome) {
	delete(f.runs, task)
	f.world.trace(task, "w%d ends run %d: %v", f.index, run, outcome)
	f.endedRuns[task] = max(f.endedRuns[task], run)
	f.endedIn = append(f.endedIn, f.lapses)
	f.ends = append(f.ends, runner.ListedEnd{
		RunID: work.RunID{Task: task, Run: run}, Number: uint64(len(f.ends) + 1), Outcome: outcome,
	})
}

func (f *fakeWorker) admit(order *runner.Order) runner.Answer {
	switch {
	case !f.up:
		return runner.ConnectionRefused
	case order.Incarnation != f.record().Incarnation:
		return runner.WrongIncarnation
	case order.Fence < f.fence:
		return runner.Fenced
	}
	f.fence = order.Fence
	f.settle()
	if f.clock() > f.lease {
		f.lapses++
	}
	if order.LeaseUntilMS > 0 {
		f.lease = max(f.lease, min(float64(order.LeaseUntilMS), f.clock()+1000))
	}
	return runner.Accepted
}

func (f *fakeWorker) start(order *runner.Start) runner.Answer {
	if answer := f.admit(&order.Order); answer != runner.Accepted {
		return answer
	}
	if known := f.runs[order.Task]; known != nil {
		if known.run == order.Run {
			return runner.Accepted
		}
		return runner.Outrun
	}
	if order.Run <= f.endedRuns[order.Task] {
		return runner.Outrun
	}
	if float64(order.LeaseUntilMS) < f.clock() {
		return runner.LeasePassed
	}
	if len(f.runs) >= 10 {
		return runner.NoRoom
	}
	f.world.begins(f, order.RunID)
	one := &fakeRun{run: order.Run, startAt: f.world.now, length: f.world.lengthOf(order.Spec)}
	f.runs[order.Task] = one
	life := f.life
	f.watch(order.Task, one, life)
	return runner.Accepted
}

// lengthOf returns the run time that a spec names, or a drawn one.
func (w *world) lengthOf(spec string) time.Duration {
	if named, err := time.ParseDuration(spec); err == nil {
		return named
	}
	return w.runLength()
}

// runLength draws how long a run takes: one in five much longer than its caller has said.
func (w *world) runLength() time.Duration {
	if w.random.IntN(5) == 0 {
		return time.Second + time.Duration(w.random.Int64N(int64(1500*time.Millisecond)))
	}
	return 40*time.Millisecond + time.Duration(w.random.Int64N(int64(800*time.Millisecond)))
}

// watch ends the run when its work is done or its lease has lapsed.
func (f *fakeWorker) watch(task string, one *fakeRun, life int) {
	f.world.after(5*time.Millisecond, func() {
		if f.life != life || f.runs[task] != one {
			return
		}
		f.settle()
		if f.runs[task] != one {
			return
		}
		if f.world.now-one.startAt >= one.length {
			f.end(task, one.run, work.Done)
			return
		}
		f.watch(task, one, life)
	})
}

func (f *fakeWorker) stop(order *runner.Stop) runner.Answer {
	if answer := f.admit(&order.Order); answer != runner.Accepted {
		return answer
	}
	if known := f.runs[order.Task]; known != nil && known.run <= order.Run {
		f.end(order.Task, known.run, work.Stopped)
	}
	f.endedRuns[order.Task] = max(f.endedRuns[order.Task], order.Run)
	return runner.Accepted
}

func (f *fakeWorker) hold(order *runner.Hold) runner.Answer {
	answer := f.admit(&order.Order)
	if answer == runner.Accepted {
		for n := order.Confirmed; n > 0; n-- {
			end := confirmedEnd{life: f.life, number: n}
			if _, known := f.confirmed[end]; known {
				break
			}
			f.confirmed[end] = f.endedIn[n-1] == f.lapses
		}
	}
	return answer
}

func (f *fakeWorker) report(answer runner.Answer) *runner.Report {
	report := &runner.Report{Answer: answer, Reading: f.reading(answer)}
	if answer != runner.Accepted {
		return report
	}
	for _, task := range slices.Sorted(maps.Keys(f.runs)) {
		one := f.runs[task]
		report.Running = append(report.Running, runner.Listed{
			RunID:   work.RunID{Task: task, Run: one.run},
			Percent: float64(100 * (f.world.now - one.startAt) / one.length),
		})
	}
	report.Ended = append(report.Ended, f.ends...)
	return report
}

// begins checks the rule that matters most: no two runs of a task at a time.
func (w *world) begins(at *fakeWorker, which work.RunID) {
	for _, other := range w.workers {
		other.settle()
		if known := other.runs[which.Task]; known != nil && other.up {
			w.overlaps = append(w.overlaps, fmt.Sprintf("%v: task %s runs on w%d (run %d) and starts on w%d (run %d)",
				w.now, which.Task, other.index, known.run, at.index, which.Run))
		}
	}
	w.ranAt[which.Task] = w.now
	if w.control != nil {
		w.notesDone(which)
	}
}

// crash ends a worker; another life begins later.
func (f *fakeWorker) crash(down time.Duration) {
	if !f.up {
		return
	}
	f.up = false
	f.runs = map[string]*fakeRun{}
	f.world.after(down, func() {
		f.up = true
		f.begin()
	})
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }
