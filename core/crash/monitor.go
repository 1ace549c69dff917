package crash

import (
	"maps"
	"slices"
	"time"

	"flamingohall.example/core/work"
)

// Limits are the parameters of a monitor.
type Limits struct {
	// Retention is how long crashes under a task are remembered.
	Retention time.Duration
	// Tasks is the most tasks that are remembered.
	Tasks int
	// Containment is how long a queue stays contained after the last crash, or return from one, that its tasks explain. It
	// doubles, up to MaxContainment, each time the queue is contained again within MaxContainment.
	Containment    time.Duration
	MaxContainment time.Duration
	// Calm is how long after such an event the queue's suspects wait: they would probably end another of the few workers that
	// are left to the jobs of the queue.
	Calm time.Duration
	// Contains says whether queues are contained at all.
	Contains bool
	// DemandPeriod is the averaging time of the queues' shares of a pool.
	DemandPeriod time.Duration
}

// DefaultLimits suit workers that are back some seconds after a crash.
var DefaultLimits = Limits{
	Retention: 2 * time.Minute, Tasks: 10_000,
	Containment: 5 * time.Second, MaxContainment: time.Minute, Calm: 2 * time.Second,
	Contains: true, DemandPeriod: 10 * time.Second,
}

// History is what is known of the crashes under a task.
type History struct {
	// Crashes is the number of workers that have ended under the task: the larger of the two counts below, which may be about the same
	// crashes.
	Crashes int
	// WasAlone means that no task of another job was at the worker in the last of these crashes.
	WasAlone bool
	// IsSuspect means that the task has probably ended the worker in the last of these crashes.
	IsSuspect bool
	// IsRepeated means that the task had run for about as long in the last of these crashes as in the one before.
	IsRepeated bool
	// Unconfirmed is the number of these crashes that may have been none: the workers refuse connections, and may answer again.
	Unconfirmed int
	// observed counts the crashes that sidecars have reported, learned those that control has recorded.
	observed, learned int
	ranMS             int64
	at                time.Duration
	// incarnation is the worker's in the last of these crashes.
	incarnation string
}

const (
	// crashesUntilGivenUp is the least number of workers that must have ended under a task before it is given up.
	crashesUntilGivenUp = 2
	// maxCrashes is the most workers that may end under a task that was alone in the last crash.
	maxCrashes = 3
)

// IsGivenUp reports whether the task must not be started again.
func (h History) IsGivenUp() bool {
	return h.Unconfirmed == 0 && h.endsWorkers()
}

// AwaitsConfirmation reports whether the task is given up if its crashes are confirmed. It is not started before that is known.
func (h History) AwaitsConfirmation() bool {
	return h.Unconfirmed > 0 && h.endsWorkers()
}

// endsWorkers reports whether the crashes show that the task ends its workers. A worker may also end by itself while a task is tried
// alone, but hardly at the point of its work at which another one had ended.
func (h History) endsWorkers() bool {
	return h.WasAlone && (h.Crashes >= crashesUntilGivenUp && h.IsRepeated || h.Crashes >= maxCrashes)
}

// MustRunAlone reports whether the task must not run beside tasks of other jobs.
func (h History) MustRunAlone() bool {
	return h.IsSuspect || h.Crashes >= crashesUntilGivenUp
}

// Monitor holds the crashes that one entry knows of. It is not safe for concurrent use.
type Monitor struct {
	limits Limits
	tasks  map[string]History
	// counted holds the incarnations of workers whose end was counted, and when.
	counted map[string]time.Duration
	// suspected holds the incarnations that seem to have ended, and since when.
	suspected map[string]time.Duration
	// unconfirmed holds the crashes that may have been none, by incarnation.
	unconfirmed map[string]unconfirmedCrash
	pools       map[string]*pool
}

// unconfirmedCrash is a crash of a worker that has not been replaced.
type unconfirmedCrash struct {
	at   time.Duration
	runs []work.CrashedRun
}

func (c *unconfirmedCrash) has(task string) bool {
	return slices.ContainsFunc(c.runs, func(r work.CrashedRun) bool { return r.Task == task })
}

// confirmAfter is the time without an answer of a worker after which its crash counts as confirmed. The worker may be lost for good.
const confirmAfter = 10 * time.Second

// NewMonitor returns a monitor that knows of no crash.
func NewMonitor(limits Limits) *Monitor {
	return &Monitor{limits: limits, tasks: map[string]History{}, counted: map[string]time.Duration{}, suspected: map[string]time.Duration{}, unconfirmed: map[string]unconfirmedCrash{}, pools: map[string]*pool{}}
}

// Task returns the crashes under a task.
func (m *Monitor) Task(name string) History {
	known := m.tasks[name]
	for _, c := range m.unconfirmed {
		if c.has(name) {
			known.Unconfirmed++
		}
	}
	return known
}

// Learn sets the number of crashes under a task that control has recorded. A sidecar may have reported the same ones, or may do so later.
func (m *Monitor) Learn(now time.Duration, name string, crashes int) {
	known := m.tasks[name]
	if crashes <= known.learned {
		return
	}
	if known.learned = crashes; crashes > known.Crashes {
		known.Crashes, known.at = crashes, now
	}
	m.tasks[name] = known
}

// Change is the beginning or the end of a containment.
type Change struct {
	Pool, Queue string
	IsContained bool
	// Share is the share of the pool's workers that the queue may use.
	Share float64
	// Task is the one whose crashes led to the containment.
	Task string
}

// Suspect counts the seeming end of a worker towards the containment of queues, which a false suspicion harms little. What is known of
// the tasks changes only with Observe.
func (m *Monitor) Suspect(now time.Duration, poolName, worker string, s *work.Suspicion) []Change {
	if s.IsWithdrawn {
		return m.withdraw(poolName, s.Incarnation)
	}
	if m.knows(s.Incarnation) || len(s.Runs) == 0 || s.AgeMS > maxSuspicionAge.Milliseconds() {
		return nil
	}
	m.forget(now)
	m.suspected[s.Incarnation] = now
	changes := m.blame(now, poolName, worker, &work.Crash{Incarnation: s.Incarnation, Runs: s.Runs})
	return append(changes, m.pool(poolName).acquit()...)
}

// maxSuspicionAge is the age from which a suspicion tells nothing about what happens now. A new session may be told of it.
const maxSuspicionAge = time.Second

// Counts reports whether the end of an incarnation is counted. It isn't any more once it has been withdrawn.
func (m *Monitor) Counts(incarnation string) bool {
	_, isCounted := m.counted[incarnation]
	return isCounted
}

// IsConfirmed reports whether an incarnation has ended for certain, or has been silent for so long that it counts as ended.
func (m *Monitor) IsConfirmed(incarnation string) bool {
	_, isUnconfirmed := m.unconfirmed[incarnation]
	return m.Counts(incarnation) && !isUnconfirmed
}

func (m *Monitor) knows(incarnation string) bool {
	_, isCounted := m.counted[incarnation]
	_, isSuspected := m.suspected[incarnation]
	return isCounted || isSuspected
}

// withdraw undoes what was concluded from the seeming end of a worker that has answered again.
func (m *Monitor) withdraw(poolName, incarnation string) []Change {
	if _, isCounted := m.counted[incarnation]; isCounted {
		maps.DeleteFunc(m.tasks, func(_ string, h History) bool {
			return h.incarnation == incarnation && h.observed == 1 && h.learned == 0
		})
		for name, h := range m.tasks {
			if h.incarnation == incarnation {
				observed := h.observed - 1
				m.tasks[name] = History{Crashes: max(observed, h.learned), observed: observed, learned: h.learned, at: h.at}
			}
		}
	}
	delete(m.suspected, incarnation)
	delete(m.unconfirmed, incarnation)
	delete(m.counted, incarnation)
	if p := m.pools[poolName]; p != nil {
		return p.withdraw(incarnation)
	}
	return nil
}

// Observe counts the end of a worker. A crash that was counted before is at most confirmed.
func (m *Monitor) Observe(now time.Duration, poolName, worker string, c *work.Crash) []Change {
	if _, isCounted := m.counted[c.Incarnation]; isCounted || len(c.Runs) == 0 {
		if !c.IsUnconfirmed {
			delete(m.unconfirmed, c.Incarnation)
		}
		return nil
	}
	m.forget(now)
	m.counted[c.Incarnation] = now
	if c.IsUnconfirmed {
		m.unconfirmed[c.Incarnation] = unconfirmedCrash{at: now, runs: c.Runs}
	}
	p := m.pool(poolName)
	if c.AgeMS > 0 {
		// The report reaches a session that opened after the crash. It tells nothing about what happens now.
		m.count(now-milliseconds(c.AgeMS), c, nil)
		return nil
	}
	var changes []Change
	if _, isSuspected := m.suspected[c.Incarnation]; !isSuspected {
		changes = m.blame(now, poolName, worker, c)
	}
	m.count(now, c, p.suspects(c))
	return append(changes, p.acquit()...)
}

// blame looks for the queue whose tasks have ended a worker.
func (m *Monitor) blame(now time.Duration, poolName, worker string, c *work.Crash) []Change {
	p := m.pool(poolName)
	isMember := p.isMember(worker)
	p.disturb(now, c.Runs)
	p.crashed = append(p.crashed, ended{worker: worker, incarnation: c.Incarnation, at: now, runs: c.Runs})
	p.isStale = true
	suspects := p.suspects(c)
	if !m.limits.Contains || isMember && len(suspects) > 0 {
		return nil
	}
	found, isFound := p.findOther(now, len(suspects) > 0)
	if !isFound {
		return nil
	}
	return []Change{p.contain(now, m.limits, found, c.Incarnation)}
}

// count adds a crash to the histories of its tasks.
func (m *Monitor) count(at time.Duration, c *work.Crash, suspects map[string]bool) {
	wasAlone := c.IsOfOneJob()
	for i := range c.Runs {
		run := &c.Runs[i]
		known := m.tasks[run.Task]
		// The sidecar counts from the number that the offer of the run named, which included those that control had recorded.
		observed := max(known.observed+1, int(run.Crashes))
		m.tasks[run.Task] = History{
			Crashes: max(observed, known.learned), WasAlone: wasAlone, IsSuspect: suspects[run.Task],
			IsRepeated: known.observed > 0 && isSimilar(known.ranMS, run.RanMS), observed: observed, learned: known.learned,
			ranMS: run.RanMS, at: at, incarnation: c.Incarnation,
		}
	}
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// Returned notes that a worker is back after a crash.
func (m *Monitor) Returned(now time.Duration, poolName, worker string) {
	if p := m.pools[poolName]; p != nil {
		p.returned(now, worker)
	}
}

// NextReturn returns when the first of a contained queue's workers may be expected back that have ended, by how long others
// were away; 0 if that is not known.
func (m *Monitor) NextReturn(poolName, queue string) time.Duration {
	p := m.pools[poolName]
	if p == nil {
		return 0
	}
	p.chooseMembers()
	return p.nextReturn(p.members[queue])
}

// forget removes what is older than the retention, and the oldest tasks beyond the limit.
func (m *Monitor) forget(now time.Duration) {
	maps.DeleteFunc(m.counted, func(_ string, at time.Duration) bool { return now-at > m.limits.Retention })
	maps.DeleteFunc(m.suspected, func(_ string, at time.Duration) bool { return now-at > m.limits.Retention })
	maps.DeleteFunc(m.tasks, func(_ string, h History) bool { return now-h.at > m.limits.Retention })
	if excess := len(m.tasks) - m.limits.Tasks; excess > 0 {
		oldest := slices.SortedFunc(maps.Keys(m.tasks), func(a, b string) int { return int(m.tasks[a].at - m.tasks[b].at) })
		for _, name := range oldest[:excess] {
			delete(m.tasks, name)
		}
	}
}

// Advance ends containments that are over.
func (m *Monitor) Advance(now time.Duration) []Change {
	maps.DeleteFunc(m.unconfirmed, func(_ string, c unconfirmedCrash) bool { return now-c.at >= confirmAfter })
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(m.pools)) {
		changes = append(changes, m.pools[name].advance(now, m.limits)...)
	}
	return changes
}

// Demanded counts work that was submitted to a queue, in core-seconds or any other unit that all queues of the pool share.
func (m *Monitor) Demanded(now time.Duration, poolName, queue string, amount float64) {
	m.pool(poolName).demanded(now, m.limits.DemandPeriod, queue, amount)
}

// IsContained reports whether a queue is contained.
func (m *Monitor) IsContained(poolName, queue string) bool {
	p := m.pools[poolName]
	return p != nil && p.contained[queue] != nil
}

// CalmAt returns from when on suspects of a queue may be tried again, if no further worker ends: 0 if it is not contained.
func (m *Monitor) CalmAt(poolName, queue string) time.Duration {
	p := m.pools[poolName]
	if p == nil || p.contained[queue] == nil {
		return 0
	}
	return p.contained[queue].disturbedAt + m.limits.Calm
}

// HasContained reports whether any queue of a pool is contained.
func (m *Monitor) HasContained(poolName string) bool {
	p := m.pools[poolName]
	return p != nil && len(p.contained) > 0
}

// Allowed returns which of a pool's workers a queue may use.
func (m *Monitor) Allowed(poolName, queue string, workers []string) Allowance {
	p := m.pools[poolName]
	if p == nil || len(p.contained) == 0 {
		return Allowance{}
	}
	return p.allowance(queue, workers)
}

func (m *Monitor) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = &pool{name: name, contained: map[string]*containment{}, demand: map[string]float64{}, released: map[string]release{}}
		m.pools[name] = p
	}
	return p
}
