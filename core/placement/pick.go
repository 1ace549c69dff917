package placement

import (
	"sort"
	"time"
)

// Request describes the target that a task needs.
type Request struct {
	Pool string
	// Slots is the number of slots that one task needs.
	Slots      int
	Repeatable bool
	// Allowed restricts the targets; nil allows all.
	Allowed map[string]bool
	// Avoid is a target that must not be picked.
	Avoid string
}

// Pick returns a target with free capacity, or nil. Targets of the entry's own data centre are preferred; work spills to
// other data centres at once, since a network hop costs less than waiting for a slot.
func (t *LoadTable) Pick(now time.Time, request Request) *TargetState {
	pool := t.pools[request.Pool]
	if pool == nil {
		return nil
	}
	if picked := t.pickWithin(now, pool, request, 0); picked != nil || t.lookahead == 0 {
		return picked
	}
	return t.pickWithin(now, pool, request, t.lookahead)
}

func (t *LoadTable) pickWithin(now time.Time, pool *Pool, request Request, beyond int) *TargetState {
	fits := func(s *TargetState) bool { return t.fits(now, s, request, beyond) }
	if picked := t.policy.Pick(now, pool.local, fits, t.random); picked != nil {
		return picked
	}
	return t.policy.Pick(now, pool.remote, fits, t.random)
}

func (t *LoadTable) fits(now time.Time, s *TargetState, request Request, beyond int) bool {
	if !s.IsUsable(now) || s.ID == request.Avoid {
		return false
	}
	if request.Allowed != nil && !request.Allowed[s.ID] {
		return false
	}
	if s.ejected {
		return s.onProbation && request.Repeatable && s.own == 0
	}
	taken := float64(s.own)
	if t.policy.UsesReports() {
		taken = s.Taken(now)
	}
	return taken+float64(request.Slots) <= float64(s.Slots+beyond)+roundingSlack
}

// roundingSlack is the part of a slot up to which aged load reports are ignored.
const roundingSlack = 0.25

// IsUsable reports whether the target accepts new work.
func (s *TargetState) IsUsable(now time.Time) bool {
	return !s.Leaving && !s.Drained && !now.Before(s.suspectUntil)
}

// Candidates returns up to count usable targets of a pool that request.Allowed does not name yet, the least loaded first
// and the entry's own data centre before others: the targets for a new claim.
func (t *LoadTable) Candidates(now time.Time, request Request, count int) []*TargetState {
	pool := t.pools[request.Pool]
	if pool == nil {
		return nil
	}
	targets := t.usable(now, pool.local, request)
	if len(targets) < count {
		targets = append(targets, t.usable(now, pool.remote, request)...)
	}
	return targets[:min(count, len(targets))]
}

// usable returns the usable targets of a list ordered by load, in random order where that is equal.
func (t *LoadTable) usable(now time.Time, list []*TargetState, request Request) []*TargetState {
	var targets []*TargetState
	for _, s := range list {
		isAllowed := request.Allowed != nil && request.Allowed[s.ID]
		if s.IsUsable(now) && !s.ejected && !isAllowed && s.Slots >= request.Slots {
			targets = append(targets, s)
		}
	}
	t.random.Shuffle(len(targets), func(i, k int) { targets[i], targets[k] = targets[k], targets[i] })
	sort.SliceStable(targets, func(i, k int) bool { return targets[i].share(now) < targets[k].share(now) })
	return targets
}

// share returns the estimated part of the slots that is in use.
func (s *TargetState) share(now time.Time) float64 {
	return s.Taken(now) / float64(max(1, s.Slots))
}

func (t *LoadTable) sorted() []*TargetState {
	list := make([]*TargetState, 0, len(t.targets))
	for _, state := range t.targets {
		list = append(list, state)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	return list
}

// Utilisation returns the estimated share of a pool's slots that is in use, between 0 and about 1.
func (t *LoadTable) Utilisation(now time.Time, pool string) float64 {
	p := t.pools[pool]
	if p == nil || p.slots == 0 {
		return 1
	}
	taken := 0.0
	for _, s := range p.local {
		taken += s.Taken(now)
	}
	for _, s := range p.remote {
		taken += s.Taken(now)
	}
	return taken / float64(p.slots)
}
