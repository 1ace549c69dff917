package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"flamingohall.example/core/job"
)

// Target is a target as control records it.
type Target struct {
	ID          string
	Incarnation string
	Address     string
	DataCentre  string
	Rack        string
	Pool        string
	Slots       int
	Leaving     bool
	Drained     bool
}

// Load is a sidecar's own count, carried on an answer.
type Load struct {
	Incarnation string
	Slots       int
	Busy        int
	Queued      int
	Leaving     bool
	// Sequence grows with each answer of an incarnation; an older one changes nothing.
	Sequence uint64
}

// loadHalfLife is how long it takes until a report of other entries' tasks counts half.
const loadHalfLife = 200 * time.Millisecond

// TargetState is what the board knows of one target.
type TargetState struct {
	Target
	// own counts slots taken by this entry's attempts.
	own int
	// others is the number of slots and queue places that other entries took at reportedAt.
	others       float64
	reportedAt   time.Time
	sequence     uint64
	suspectUntil time.Time
	ejected      bool
	trial        bool
}

// LoadTable is an entry's scoreboard of targets. It is not safe for concurrent use.
type LoadTable struct {
	dataCentre string
	policy     Policy
	// lookahead is how many slots beyond a target's own may be filled when no target has a free one.
	lookahead int
	random    *rand.Rand
	targets   map[string]*TargetState
	pools     map[string]*Pool
}

// Pool holds the targets that serve the same entries, the nearest first.
type Pool struct {
	local  []*TargetState
	remote []*TargetState
	slots  int
	widest int
}

// Options are the parameters of a Board.
type Options struct {
	DataCentre string
	Policy     Policy
	Lookahead  int
	Seed       uint64
}

// NewLoadTable returns an empty board.
func NewLoadTable(options Options) *LoadTable {
	return &LoadTable{
		dataCentre: options.DataCentre, policy: options.Policy, lookahead: options.Lookahead,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)), //nolint:gosec // Placement needs no secrecy.
		targets: map[string]*TargetState{}, pools: map[string]*Pool{},
	}
}

// LostTarget is a target that has gone.
type LostTarget struct {
	Target job.Target
	// Replaced is true when a new process has its place.
	Replaced bool
}

// Update takes a whole view of the targets and returns those that were lost.
func (b *LoadTable) Update(targets []Target) []LostTarget {
	var lost []LostTarget
	seen := make(map[string]bool, len(targets))
	for _, target := range targets {
		seen[target.ID] = true
		state, known := b.targets[target.ID]
		if known && state.Incarnation != target.Incarnation {
			lost = append(lost, LostTarget{Target: state.Name(), Replaced: true})
			known = false
		}
		if !known {
			b.targets[target.ID] = &TargetState{Target: target}
			continue
		}
		leaving := state.Leaving || target.Leaving
		state.Target = target
		state.Leaving = leaving
	}
	for id, state := range b.targets {
		if !seen[id] {
			lost = append(lost, LostTarget{Target: state.Name()})
			delete(b.targets, id)
		}
	}
	b.group()
	return lost
}

// group rebuilds the pools.
func (b *LoadTable) group() {
	b.pools = map[string]*Pool{}
	for _, state := range b.sorted() {
		pool := b.pools[state.Pool]
		if pool == nil {
			pool = &Pool{}
			b.pools[state.Pool] = pool
		}
		pool.add(state, state.DataCentre == b.dataCentre)
	}
}

func (p *Pool) add(state *TargetState, isLocal bool) {
	p.slots += state.Slots
	p.widest = max(p.widest, state.Slots)
	if isLocal {
		p.local = append(p.local, state)
		return
	}
	p.remote = append(p.remote, state)
}

// Slots returns the slots of a pool's targets.
func (b *LoadTable) Slots(pool string) int {
	if p := b.pools[pool]; p != nil {
		return p.slots
	}
	return 0
}

// LargestTarget returns the slots of a pool's largest target.
func (b *LoadTable) LargestTarget(pool string) int {
	if p := b.pools[pool]; p != nil {
		return p.widest
	}
	return 0
}

// Target returns what is known of a target.
func (b *LoadTable) Target(id string) (*TargetState, bool) {
	state, known := b.targets[id]
	return state, known
}

// Name returns the target with its incarnation.
func (s *TargetState) Name() job.Target {
	return job.Target{ID: s.ID, Incarnation: s.Incarnation}
}

// Report takes a sidecar's load in. Answers that were overtaken by a later one change nothing.
func (b *LoadTable) Report(now time.Time, id string, load Load) {
	state, known := b.targets[id]
	if !known || state.Incarnation != load.Incarnation || load.Sequence <= state.sequence {
		return
	}
	state.sequence = load.Sequence
	state.reportedAt = now
	state.others = math.Max(0, float64(load.Busy+load.Queued-state.own))
	state.Leaving = state.Leaving || load.Leaving
	if load.Slots > 0 && load.Slots != state.Slots {
		state.Slots = load.Slots
		b.group()
	}
}

// Started counts an attempt of this entry.
func (b *LoadTable) Started(target job.Target, slots int) {
	if state := b.current(target); state != nil {
		state.own += slots
	}
}

// Ended counts the end of an attempt of this entry.
func (b *LoadTable) Ended(target job.Target, slots int) {
	if state := b.current(target); state != nil {
		state.own = max(0, state.own-slots)
	}
}

func (b *LoadTable) current(target job.Target) *TargetState {
	state, known := b.targets[target.ID]
	if !known || state.Incarnation != target.Incarnation {
		return nil
	}
	return state
}

// Suspect keeps new work from a target that could not be reached, until a time.
func (b *LoadTable) Suspect(target job.Target, until time.Time) {
	if state := b.current(target); state != nil {
		state.suspectUntil = until
	}
}

// SetEjected sets a target aside, or lets it back. On trial it gets one repeatable task at a time.
func (b *LoadTable) SetEjected(id string, ejected, trial bool) {
	if state, known := b.targets[id]; known {
		state.ejected = ejected
		state.trial = trial
	}
}

// Taken returns the slots thought taken at a target.
func (s *TargetState) Taken(now time.Time) float64 {
	if s.others == 0 {
		return float64(s.own)
	}
	age := float64(now.Sub(s.reportedAt)) / float64(loadHalfLife)
	return float64(s.own) + s.others*math.Exp2(-age)
}

// Own returns the slots taken by this entry.
func (s *TargetState) Own() int { return s.own }

// Targets returns the number of a pool's targets.
func (b *LoadTable) Targets(pool string) int {
	if p := b.pools[pool]; p != nil {
		return len(p.local) + len(p.remote)
	}
	return 0
}
