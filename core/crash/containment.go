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
	// disturbedAt is when a member last ended or came back.
	disturbedAt time.Duration
	// period is how long it lasts after disturbedAt.
	period time.Duration
	// share of the pool's workers that the queue may use.
	share float64
	// ranMS is how long the task had run for which the queue is contained, when it ended its worker.
	ranMS int64
}

type release struct {
	at     time.Duration
	period time.Duration
}

// ended is the end of a worker under runs.
type ended struct {
	worker string
	at     time.Duration
	runs   []work.CrashedRun
	// hasReturned is true once the worker was back.
	hasReturned bool
}

// leadUp is how long before the beginning of a containment the crashes count that led to it.
const leadUp = 5 * time.Second

// disturb notes the end or the return of a worker, and reports whether it is a member of a containment.
func (p *pool) disturb(now time.Duration, worker string) bool {
	isMember := false
	p.chooseMembers()
	for queue, members := range p.members {
		if c := p.contained[queue]; c != nil && members[worker] {
			c.disturbedAt, isMember = now, true
		}
	}
	return isMember
}

// returned notes that a worker is back.
func (p *pool) returned(now time.Duration, worker string) {
	for i := range p.crashed {
		if e := &p.crashed[i]; e.worker == worker && !e.hasReturned {
			e.hasReturned = true
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

// contain contains the queue of a task that has ended its workers.
func (p *pool) contain(now time.Duration, limits Limits, found culprit) Change {
	queue, period := found.queue, limits.Containment
	if last, wasContained := p.released[queue]; wasContained && now-last.at < limits.MaxContainment {
		period = min(2*last.period, limits.MaxContainment)
	}
	share := p.share(queue)
	p.contained[queue] = &containment{since: now, disturbedAt: now, period: period, share: share, ranMS: found.ranMS}
	p.isStale = true
	return Change{Pool: p.name, Queue: queue, IsContained: true, Share: share, Task: found.task}
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

// size returns how many workers of a pool a contained queue may use.
func (p *pool) size(queue string, workers int) int {
	return min(workers, max(1, int(math.Ceil(p.contained[queue].share*float64(workers)))))
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
	for name := range p.contained {
		p.members[name] = p.choose(name)
	}
}

// choose returns the members of a containment: first the workers that the queue has ended already, so that it does not end
// others as well while they are down.
func (p *pool) choose(queue string) map[string]bool {
	c := p.contained[queue]
	endedByQueue := map[string]bool{}
	for _, e := range p.crashed {
		if e.at >= c.since-leadUp && slices.ContainsFunc(e.runs, func(r work.CrashedRun) bool { return r.Queue == queue }) {
			endedByQueue[e.worker] = true
		}
	}
	ranked := slices.Clone(p.known)
	slices.SortFunc(ranked, func(a, b string) int {
		if endedByQueue[a] != endedByQueue[b] {
			if endedByQueue[a] {
				return -1
			}
			return 1
		}
		return CompareRank(queue, a, b)
	})
	members := map[string]bool{}
	for _, worker := range ranked[:p.size(queue, len(ranked))] {
		members[worker] = true
	}
	return members
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
