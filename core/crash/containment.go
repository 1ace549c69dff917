package crash

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"flamingohall.example/core/work"
)

// pool holds the containments of the queues that share a pool of workers.
type pool struct {
	name      string
	contained map[string]*containment
	// released holds the last containment of queues that are no longer contained.
	released map[string]release
	// demand is the decaying amount of work submitted to each queue, at demandAt.
	demand   map[string]float64
	demandAt time.Duration
	// crashed are recent crashes of the pool's workers. downtime is the shortest time after which one of them was back, 0 if that
	// is not known.
	crashed  []ended
	downtime time.Duration
	// members caches the members of each containment, chosen from the workers in known. isStale is true if they have to be chosen
	// anew.
	members map[string]map[string]bool
	known   []string
	isStale bool
}

// containment is the state of a contained queue.
type containment struct {
	since time.Duration
	// disturbedAt is when a worker last ended under tasks that explain it, or came back from such an end.
	disturbedAt time.Duration
	// period is how long it lasts after disturbedAt.
	period time.Duration
	// share of the pool's workers that the queue may use.
	share float64
	// ranMS is how long the task had run for which the queue is contained, when it ended its worker.
	ranMS int64
	// incarnation is the worker's whose end led to it.
	incarnation string
}

type release struct {
	at     time.Duration
	period time.Duration
}

// ended is the end of a worker under runs.
type ended struct {
	worker      string
	incarnation string
	at          time.Duration
	runs        []work.CrashedRun
	// hasReturned is true once the worker was back.
	hasReturned bool
}

// leadUp is how long before the beginning of a containment the crashes count that led to it.
const leadUp = 5 * time.Second

// disturb notes the end or the return of a worker that had ended under runs. It prolongs the containments that explain the end. A
// member may also end by itself, or under a task of another queue; a queue that is contained by mistake must not stay so for that.
func (p *pool) disturb(now time.Duration, runs []work.CrashedRun) {
	for queue, c := range p.contained {
		if c.explains(queue, runs) {
			c.disturbedAt = now
		}
	}
}

// isMember reports whether a worker is a member of any containment.
func (p *pool) isMember(worker string) bool {
	p.chooseMembers()
	for _, members := range p.members {
		if members[worker] {
			return true
		}
	}
	return false
}

// acquit releases the queues that were contained by mistake: another contained queue explains every crash that they do, and at
// least one that they don't.
func (p *pool) acquit() []Change {
	var changes []Change
	for _, queue := range slices.Sorted(maps.Keys(p.contained)) {
		for _, other := range slices.Sorted(maps.Keys(p.contained)) {
			if queue != other && p.explainsMore(other, queue) {
				delete(p.contained, queue)
				p.isStale = true
				changes = append(changes, Change{Pool: p.name, Queue: queue})
				break
			}
		}
	}
	return changes
}

// explainsMore reports whether a contained queue explains all crashes that another one explains, and at least one more.
func (p *pool) explainsMore(queue, than string) bool {
	c, other := p.contained[queue], p.contained[than]
	hasMore := false
	for i := range p.crashed {
		e := &p.crashed[i]
		if e.at < other.since-leadUp {
			continue
		}
		byThis, byOther := c.explains(queue, e.runs), other.explains(than, e.runs)
		if byOther && !byThis {
			return false
		}
		hasMore = hasMore || byThis && !byOther
	}
	return hasMore
}

// returned notes that a worker is back.
func (p *pool) returned(now time.Duration, worker string) {
	for i := range p.crashed {
		if e := &p.crashed[i]; e.worker == worker && !e.hasReturned {
			e.hasReturned, p.isStale = true, true
			p.disturb(now, e.runs)
			if down := now - e.at; p.downtime == 0 || down < p.downtime {
				p.downtime = down
			}
		}
	}
}

// nextReturn returns when the first of the workers that have ended and are not back may be expected, 0 if that is not known.
func (p *pool) nextReturn(workers map[string]bool) time.Duration {
	var next time.Duration
	for i := range p.crashed {
		if e := &p.crashed[i]; workers[e.worker] && !e.hasReturned && p.downtime > 0 && (next == 0 || e.at+p.downtime < next) {
			next = e.at + p.downtime
		}
	}
	return next
}

// suspects returns the tasks of contained queues that have probably ended a worker: tasks of one queue that end their workers
// fail at about the same point of their work, while those beside them are of any age. If nothing of another job was at the
// worker, its tasks are suspects at any age.
func (p *pool) suspects(c *work.Crash) map[string]bool {
	suspects := map[string]bool{}
	for i := range c.Runs {
		run := &c.Runs[i]
		if contained := p.contained[run.Queue]; contained != nil && run.WasStarted && (c.IsOfOneJob() || isSimilar(contained.ranMS, run.RanMS)) {
			suspects[run.Task] = true
		}
	}
	return suspects
}

// unexplained returns the recent crashes in which no task of a contained queue is a suspect.
func (p *pool) unexplained(now time.Duration) []ended {
	return slices.DeleteFunc(slices.Clone(p.crashed), func(e ended) bool {
		return now-e.at > leadUp || len(p.suspects(&work.Crash{Runs: e.runs})) > 0
	})
}

// findOther looks for a culprit of a queue that is not contained, in the last crash and the unexplained ones before it. If a
// contained queue may explain the last crash, too, the culprit must have been at the worker of an earlier one.
func (p *pool) findOther(now time.Duration, isExplained bool) (culprit, bool) {
	crashes := p.unexplained(now)
	if isExplained {
		crashes = append(crashes, p.crashed[len(p.crashed)-1])
	}
	found, isFound := findCulprit(crashes)
	if !isFound || p.contained[found.queue] != nil || isExplained && !hasRepeated(crashes) {
		return culprit{}, false
	}
	return found, true
}

// contain contains the queue of a task that has ended its workers.
func (p *pool) contain(now time.Duration, limits Limits, found culprit, incarnation string) Change {
	queue, period := found.queue, limits.Containment
	if last, wasContained := p.released[queue]; wasContained && now-last.at < limits.MaxContainment {
		period = min(2*last.period, limits.MaxContainment)
	}
	share := p.share(queue)
	p.contained[queue] = &containment{since: now, disturbedAt: now, period: period, share: share, ranMS: found.ranMS, incarnation: incarnation}
	p.isStale = true
	return Change{Pool: p.name, Queue: queue, IsContained: true, Share: share, Task: found.task}
}

// withdraw forgets the end of a worker that has answered again, and releases the queue that was contained for it.
func (p *pool) withdraw(incarnation string) []Change {
	var changes []Change
	p.crashed = slices.DeleteFunc(p.crashed, func(e ended) bool { return e.incarnation == incarnation })
	p.isStale = true
	for _, queue := range slices.Sorted(maps.Keys(p.contained)) {
		if p.contained[queue].incarnation == incarnation {
			delete(p.contained, queue)
			changes = append(changes, Change{Pool: p.name, Queue: queue})
		}
	}
	return changes
}

func (p *pool) advance(now time.Duration, limits Limits) []Change {
	var changes []Change
	for _, queue := range slices.Sorted(maps.Keys(p.contained)) {
		if c := p.contained[queue]; now >= c.disturbedAt+c.period {
			delete(p.contained, queue)
			p.released[queue], p.isStale = release{at: now, period: c.period}, true
			changes = append(changes, Change{Pool: p.name, Queue: queue})
		}
	}
	p.crashed = slices.DeleteFunc(p.crashed, func(e ended) bool { return now-e.at > limits.Retention })
	return changes
}

func (p *pool) demanded(now, period time.Duration, queue string, amount float64) {
	if elapsed := now - p.demandAt; elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(period))
		for name := range p.demand {
			p.demand[name] *= decay
		}
		p.demandAt = now
	}
	p.demand[queue] += amount
}

// share returns the queue's share of the work submitted lately.
func (p *pool) share(queue string) float64 {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.demand)) {
		total += p.demand[name]
	}
	if total == 0 {
		return 1
	}
	return p.demand[queue] / total
}

// maxContainedShare is the largest share of a pool's workers that all contained queues together may use. Their workers are down
// most of the time, so queues with more than half of the work would leave too little to the others. An entry sees only its own
// part of the work, and its estimate of a large share may be far too high.
const maxContainedShare = 0.5

// size returns how many workers of a pool a contained queue may use. It is rounded down, so that the other queues have at least
// their share.
func (p *pool) size(queue string, workers int) int {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.contained)) {
		total += p.contained[name].share
	}
	share := p.contained[queue].share * min(1, maxContainedShare/max(total, maxContainedShare))
	return min(workers, max(1, int(share*float64(workers))))
}

// Allowance says which workers a queue may use. The zero value allows all.
type Allowance struct {
	// only holds the workers of a contained queue; nil for others. except holds the members of all containments.
	only   map[string]bool
	except map[string]map[string]bool
}

// Allows reports whether the queue may use a worker.
func (a *Allowance) Allows(worker string) bool {
	if a.only != nil {
		return a.only[worker]
	}
	for _, members := range a.except {
		if members[worker] {
			return false
		}
	}
	return true
}

// Size returns the number of workers of a contained queue.
func (a *Allowance) Size() int {
	return len(a.only)
}

// IsContained reports whether the queue is contained.
func (a *Allowance) IsContained() bool {
	return a.only != nil
}

func (p *pool) allowance(queue string, workers []string) Allowance {
	if !slices.Equal(p.known, workers) {
		p.known, p.isStale = slices.Clone(workers), true
	}
	p.chooseMembers()
	if members, isContained := p.members[queue]; isContained {
		return Allowance{only: members}
	}
	return Allowance{except: p.members}
}

func (p *pool) chooseMembers() {
	if !p.isStale {
		return
	}
	p.members, p.isStale = map[string]map[string]bool{}, false
	// A worker that ended for another reason is of no use to any queue. As a member or as one of the others it would only be
	// counted in place of one that is up.
	workers := slices.DeleteFunc(slices.Clone(p.known), p.isDownByItself)
	taken := map[string]bool{}
	for _, queue := range slices.Sorted(maps.Keys(p.contained)) {
		p.members[queue] = p.choose(queue, workers, taken)
		maps.Copy(taken, p.members[queue])
	}
}

// isDownByItself reports whether a worker has ended, but not under a task of a contained queue, and is not back.
func (p *pool) isDownByItself(worker string) bool {
	return slices.ContainsFunc(p.crashed, func(e ended) bool {
		return e.worker == worker && !e.hasReturned && len(p.suspects(&work.Crash{Runs: e.runs})) == 0
	})
}

// choose returns the members of a containment: first the workers that are down because of the queue, then those that it has ended
// before, so that it does not end others as well. Workers of another containment come last.
func (p *pool) choose(queue string, workers []string, taken map[string]bool) map[string]bool {
	const down, endedBefore, unaffected, ofAnother = 0, 1, 2, 3
	c := p.contained[queue]
	class := map[string]int{}
	for _, worker := range workers {
		class[worker] = unaffected
		if taken[worker] {
			class[worker] = ofAnother
		}
	}
	for i := range p.crashed {
		e := &p.crashed[i]
		if e.at < c.since-leadUp || taken[e.worker] || !c.explains(queue, e.runs) {
			continue
		}
		if e.hasReturned {
			class[e.worker] = min(class[e.worker], endedBefore)
		} else {
			class[e.worker] = down
		}
	}
	ranked := slices.Clone(workers)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(class[a], class[b]), CompareRank(queue, a, b))
	})
	members := map[string]bool{}
	for _, worker := range ranked[:p.size(queue, len(ranked))] {
		members[worker] = true
	}
	return members
}

// explains reports whether a task of the queue had run for as long at a worker as the task for which the queue is contained.
func (c *containment) explains(queue string, runs []work.CrashedRun) bool {
	return slices.ContainsFunc(runs, func(r work.CrashedRun) bool {
		return r.Queue == queue && r.WasStarted && isSimilar(c.ranMS, r.RanMS)
	})
}

// CompareRank orders workers differently for each queue or other key, and equally at all entries.
func CompareRank(key, a, b string) int {
	return cmp.Or(cmp.Compare(rank(key, a), rank(key, b)), cmp.Compare(a, b))
}

func rank(key, worker string) uint64 {
	sum := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = sum.Write([]byte(key))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(worker))
	return sum.Sum64()
}
