package placement

import (
	"math/rand/v2"
	"time"

	"flamingohall.example/core/fault"
)

// Policy picks one of the targets that fit, or nil.
type Policy interface {
	Pick(now time.Time, targets []*TargetState, fits func(*TargetState) bool, random *rand.Rand) *TargetState
	// UsesReports is false for a policy that considers only this entry's own attempts.
	UsesReports() bool
}

// Names of the policies.
const (
	PolicyTwoChoices = "two_choices"
	PolicyLeast      = "least"
	PolicyOwn        = "own"
	PolicyRandom     = "random"
	PolicyRoundRobin = "round_robin"
)

// NewPolicy returns the policy with the given name.
func NewPolicy(name string) (Policy, error) {
	switch name {
	case PolicyTwoChoices:
		return twoChoices{}, nil
	case PolicyLeast:
		return leastLoaded{}, nil
	case PolicyOwn:
		return ownLoad{}, nil
	case PolicyRandom:
		return randomChoice{}, nil
	case PolicyRoundRobin:
		return &roundRobin{}, nil
	}
	return nil, fault.New(fault.Invalid, "use two_choices, least, own, random or round_robin", "policy %q is not known", name)
}

// twoChoices picks the less loaded of two random targets that fit.
type twoChoices struct{}

func (twoChoices) UsesReports() bool { return true }

func (twoChoices) Pick(now time.Time, targets []*TargetState, fits func(*TargetState) bool, random *rand.Rand) *TargetState {
	first, at := scan(targets, fits, random)
	if first == nil {
		return nil
	}
	second := next(targets, fits, at, random)
	if second != nil && second.share(now) < first.share(now) {
		return second
	}
	return first
}

// probes is how many targets are drawn at random before the list is searched.
const probes = 4

// scan returns a target that fits and its position: by a few random probes, then by a search from a random position.
func scan(targets []*TargetState, fits func(*TargetState) bool, random *rand.Rand) (*TargetState, int) {
	if len(targets) == 0 {
		return nil, 0
	}
	for range probes {
		at := random.IntN(len(targets))
		if fits(targets[at]) {
			return targets[at], at
		}
	}
	start := random.IntN(len(targets))
	for i := range targets {
		at := (start + i) % len(targets)
		if fits(targets[at]) {
			return targets[at], at
		}
	}
	return nil, 0
}

// next returns another target that fits, or nil if a few random probes find none.
func next(targets []*TargetState, fits func(*TargetState) bool, taken int, random *rand.Rand) *TargetState {
	for range probes {
		at := random.IntN(len(targets))
		if at != taken && fits(targets[at]) {
			return targets[at]
		}
	}
	return nil
}

// leastScanned is how many targets one pick of leastLoaded examines. If none of them fits, it goes on to the first that
// does.
const leastScanned = 32

// leastLoaded picks the least loaded target, or the least loaded of a random range where there are many. It also
// considers the reported load of other entries.
type leastLoaded struct{}

func (leastLoaded) UsesReports() bool { return true }

func (leastLoaded) Pick(now time.Time, targets []*TargetState, fits func(*TargetState) bool, random *rand.Rand) *TargetState {
	if len(targets) == 0 {
		return nil
	}
	var best *TargetState
	least := 0.0
	start := random.IntN(len(targets))
	for i := range targets {
		if i >= leastScanned && best != nil {
			break
		}
		s := targets[(start+i)%len(targets)]
		if !fits(s) {
			continue
		}
		if share := s.share(now); best == nil || share < least {
			best, least = s, share
		}
	}
	return best
}

// ownLoad picks the target with the fewest attempts of this entry.
type ownLoad struct{}

func (ownLoad) UsesReports() bool { return false }

func (ownLoad) Pick(_ time.Time, targets []*TargetState, fits func(*TargetState) bool, random *rand.Rand) *TargetState {
	if len(targets) == 0 {
		return nil
	}
	var best *TargetState
	start := random.IntN(len(targets))
	for i := range targets {
		s := targets[(start+i)%len(targets)]
		if fits(s) && (best == nil || s.own*best.Slots < best.own*s.Slots) {
			best = s
		}
	}
	return best
}

// randomChoice picks any target that fits.
type randomChoice struct{}

func (randomChoice) UsesReports() bool { return false }

func (randomChoice) Pick(_ time.Time, targets []*TargetState, fits func(*TargetState) bool, random *rand.Rand) *TargetState {
	found, _ := scan(targets, fits, random)
	return found
}

// roundRobin picks the next target in turn that fits.
type roundRobin struct {
	turn int
}

func (*roundRobin) UsesReports() bool { return false }

func (r *roundRobin) Pick(_ time.Time, targets []*TargetState, fits func(*TargetState) bool, _ *rand.Rand) *TargetState {
	for range targets {
		r.turn++
		if s := targets[r.turn%len(targets)]; fits(s) {
			return s
		}
	}
	return nil
}
