package placement

import (
	"sort"
	"time"
)

// Request asks for a target.
type Request struct {
	Pool string
	// Slots is what one task needs.
	Slots      int
	Repeatable bool
	// Allowed limits the targets; nil allows all.
	Allowed map[string]bool
	// Avoid names a target that won't do.
	Avoid string
}

// Pick returns a target with room, or nil. Targets of the entry's own data centre come first; the work spills to
// others at once, since a hop costs less than waiting for a slot.
func (b *LoadTable) Pick(now time.Time, request Request) *TargetState {
	pool := b.pools[request.Pool]
	if pool == nil {
		return nil
	}
	if found := b.pickWithin(now, pool, request, 0); found != nil || b.lookahead == 0 {
		return found
	}
	return b.pickWithin(now, pool, request, b.lookahead)
}

func (b *LoadTable) pickWithin(now time.Time, pool *Pool, request Request, beyond int) *TargetState {
	fits := func(s *TargetState) bool { return b.fits(now, s, request, beyond) }
	if found := b.policy.Pick(now, pool.local, fits, b.random); found != nil {
		return found
	}
	return b.policy.Pick(now, pool.remote, fits, b.random)
}

func (b *LoadTable) fits(now time.Time, s *TargetState, request Request, beyond int) bool {
	if !s.IsUsable(now) || s.ID == request.Avoid {
		return false
	}
	if request.Allowed != nil && !request.Allowed[s.ID] {
		return false
	}
	if s.ejected {
		return s.trial && request.Repeatable && s.own == 0
	}
	taken := float64(s.own)
	if b.policy.UsesReports() {
		taken = s.Taken(now)
	}
	return taken+float64(request.Slots) <= float64(s.Slots+beyond)+roundingSlack
}

// roundingSlack lets a report that has faded to a small part of a slot count as none.
const roundingSlack = 0.25

// IsUsable reports whether the target takes new work at all.
func (s *TargetState) IsUsable(now time.Time) bool {
	return !s.Leaving && !s.Drained && !now.Before(s.suspectUntil)
}

// Candidates returns up to count usable targets of a pool, those with the most room first: the targets that a claim
// names.
func (b *LoadTable) Candidates(now time.Time, request Request, count int) []*TargetState {
	pool := b.pools[request.Pool]
	if pool == nil {
		return nil
	}
	found := b.usable(now, pool.local, request)
	if len(found) < count {
		found = append(found, b.usable(now, pool.remote, request)...)
	}
	return found[:min(count, len(found))]
}

// usable returns the usable targets of a list in order of their room, in random order where that is equal.
func (b *LoadTable) usable(now time.Time, list []*TargetState, request Request) []*TargetState {
	var found []*TargetState
	for _, s := range list {
		isNamed := request.Allowed != nil && request.Allowed[s.ID]
		if s.IsUsable(now) && !s.ejected && !isNamed && s.Slots >= request.Slots {
			found = append(found, s)
		}
	}
	b.random.Shuffle(len(found), func(i, k int) { found[i], found[k] = found[k], found[i] })
	sort.SliceStable(found, func(i, k int) bool { return found[i].share(now) < found[k].share(now) })
	return found
}

// share returns the part of the slots that is taken.
func (s *TargetState) share(now time.Time) float64 {
	return s.Taken(now) / float64(max(1, s.Slots))
}

func (b *LoadTable) sorted() []*TargetState {
	list := make([]*TargetState, 0, len(b.targets))
	for _, state := range b.targets {
		list = append(list, state)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	return list
}

// Utilisation returns the share of a pool's slots that is thought taken, between 0 and about 1.
func (b *LoadTable) Utilisation(now time.Time, pool string) float64 {
	p := b.pools[pool]
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
