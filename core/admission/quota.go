package admission

import "time"

// Quotas tracks how much of their quotas the owners use at one entry. Quotas apply to the whole system; each entry
// enforces an equal share of them.
type Quotas struct {
	owners map[string]*usage
}

type usage struct {
	running int
	tokens  float64
	at      time.Time
	isUsed  bool
}

// NewQuotas returns counters at zero.
func NewQuotas() *Quotas {
	return &Quotas{owners: map[string]*usage{}}
}

// burstTime is the time over which unused starts accumulate.
const burstTime = time.Second

// TakeStarts takes tasks from the owner's starts per second and returns 0, or how long to wait. A job larger than the
// remaining starts is accepted if any are left; the owner's later jobs then wait until the deficit is refilled.
func (q *Quotas) TakeStarts(now time.Time, owner string, tasks int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	u := q.usage(owner)
	burst := perSecond * burstTime.Seconds()
	if !u.isUsed {
		u.isUsed = true
		u.tokens = burst
		u.at = now
	}
	u.tokens = min(burst, u.tokens+perSecond*now.Sub(u.at).Seconds())
	u.at = now
	if u.tokens <= 0 {
		return time.Duration((1 - u.tokens) / perSecond * float64(time.Second))
	}
	u.tokens -= float64(tasks)
	return 0
}

// Started counts one more task in progress.
func (q *Quotas) Started(owner string) { q.usage(owner).running++ }

// Ended counts one task in progress less.
func (q *Quotas) Ended(owner string) {
	u := q.usage(owner)
	u.running = max(0, u.running-1)
}

// Running returns the owner's tasks in progress.
func (q *Quotas) Running(owner string) int { return q.usage(owner).running }

func (q *Quotas) usage(owner string) *usage {
	u := q.owners[owner]
	if u == nil {
		u = &usage{}
		q.owners[owner] = u
	}
	return u
}

// EntryShare returns one entry's share of a quota, at least 1 if there is a quota; 0 means no quota.
func EntryShare(quota, entries int) int {
	if quota <= 0 {
		return 0
	}
	return max(1, quota/max(1, entries))
}
