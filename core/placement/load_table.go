package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"flamingohall.example/core/job"
)

// Target is a target as recorded by control.
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

// Load is the load that a sidecar reports with an answer.
type Load struct {
	Incarnation string
	Slots       int
	Busy        int
	Queued      int
	Leaving     bool
	// Sequence increases with each answer of an incarnation; reports with a lower one are ignored.
	Sequence uint64
}

// loadHalfLife is the time after which the load that other entries put on a target counts half.
const loadHalfLife = 200 * time.Millisecond

// TargetState is what the load table knows about one target.
type TargetState struct {
	Target
	// own is the number of slots that this entry's attempts use.
	own int
	// others is the number of slots and queue places that other entries used at reportedAt.
	others       float64
	reportedAt   time.Time
	sequence     uint64
	suspectUntil time.Time
	ejected      bool
	onProbation  bool
}

// LoadTable is an entry's table of targets and their load. It is not safe for concurrent use.
type LoadTable struct {
	dataCentre string
	policy     Policy
	// lookahead is how many slots beyond its own a target may be given when no target has a free one.
	lookahead int
	random    *rand.Rand
	targets   map[string]*TargetState
	pools     map[string]*Pool
}

// Pool holds the targets that serve the same catalogue entries, split into those of the entry's own data centre and the
// others.
type Pool struct {
	local   []*TargetState
	remote  []*TargetState
	slots   int
	largest int
}

// Options are the parameters of a LoadTable.
type Options struct {
	DataCentre string
	Policy     Policy
	Lookahead  int
	Seed       uint64
}

// NewLoadTable returns an empty load table.
func NewLoadTable(options Options) *LoadTable {
	return &LoadTable{
		dataCentre: options.DataCentre, policy: options.Policy, lookahead: options.Lookahead,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)), //nolint:gosec // Placement needs no secrecy.
		targets: map[string]*TargetState{}, pools: map[string]*Pool{},
	}
}

// LostTarget is a target, or an incarnation of one, that no longer exists.
type LostTarget struct {
	Target job.Target
	// Replaced is true when a new incarnation has replaced it.
	Replaced bool
}

// Update replaces the list of targets and returns the targets that were lost.
func (t *LoadTable) Update(targets []Target) []LostTarget {
	var lost []LostTarget
	seen := make(map[string]bool, len(targets))
	for _, target := range targets {
		seen[target.ID] = true
		state, known := t.targets[target.ID]
		if known && state.Incarnation != target.Incarnation {
			lost = append(lost, LostTarget{Target: state.Name(), Replaced: true})
			known = false
		}
		if !known {
			t.targets[target.ID] = &TargetState{Target: target}
			continue
		}
		leaving := state.Leaving || target.Leaving
		state.Target = target
		state.Leaving = leaving
	}
	for id, state := range t.targets {
		if !seen[id] {
			lost = append(lost, LostTarget{Target: state.Name()})
			delete(t.targets, id)
		}
	}
	t.rebuildPools()
	return lost
}

// rebuildPools groups the targets by pool.
func (t *LoadTable) rebuildPools() {
	t.pools = map[string]*Pool{}
	for _, state := range t.sorted() {
		pool := t.pools[state.Pool]
		if pool == nil {
			pool = &Pool{}
			t.pools[state.Pool] = pool
		}
		pool.add(state, state.DataCentre == t.dataCentre)
	}
}

func (p *Pool) add(state *TargetState, isLocal bool) {
	p.slots += state.Slots
	p.largest = max(p.largest, state.Slots)
	if isLocal {
		p.local = append(p.local, state)
		return
	}
	p.remote = append(p.remote, state)
}

// Slots returns the total slots of a pool's targets.
func (t *LoadTable) Slots(pool string) int {
	if p := t.pools[pool]; p != nil {
		return p.slots
	}
	return 0
}

// LargestTarget returns the number of slots of a pool's largest target.
func (t *LoadTable) LargestTarget(pool string) int {
	if p := t.pools[pool]; p != nil {
		return p.largest
	}
	return 0
}

// Target returns the state of a target.
func (t *LoadTable) Target(id string) (*TargetState, bool) {
	state, known := t.targets[id]
	return state, known
}

// Name returns the target with its incarnation.
func (s *TargetState) Name() job.Target {
	return job.Target{ID: s.ID, Incarnation: s.Incarnation}
}

// Report applies a sidecar's load. A report of another incarnation, or one that a later report has overtaken, is
// ignored.
func (t *LoadTable) Report(now time.Time, id string, load Load) {
	state, known := t.targets[id]
	if !known || state.Incarnation != load.Incarnation || load.Sequence <= state.sequence {
		return
	}
	state.sequence = load.Sequence
	state.reportedAt = now
	state.others = math.Max(0, float64(load.Busy+load.Queued-state.own))
	state.Leaving = state.Leaving || load.Leaving
	if load.Slots > 0 && load.Slots != state.Slots {
		state.Slots = load.Slots
		t.rebuildPools()
	}
}

// Started counts an attempt of this entry.
func (t *LoadTable) Started(target job.Target, slots int) {
	if state := t.current(target); state != nil {
		state.own += slots
	}
}

// Ended counts the end of an attempt of this entry.
func (t *LoadTable) Ended(target job.Target, slots int) {
	if state := t.current(target); state != nil {
		state.own = max(0, state.own-slots)
	}
}

func (t *LoadTable) current(target job.Target) *TargetState {
	state, known := t.targets[target.ID]
	if !known || state.Incarnation != target.Incarnation {
		return nil
	}
	return state
}

// Suspect keeps new work from a target that could not be reached, until the given time.
func (t *LoadTable) Suspect(target job.Target, until time.Time) {
	if state := t.current(target); state != nil {
		state.suspectUntil = until
	}
}

// SetEjected ejects a target or readmits it. On probation, an ejected target gets one repeatable task at a time.
func (t *LoadTable) SetEjected(id string, ejected, onProbation bool) {
	if state, known := t.targets[id]; known {
		state.ejected = ejected
		state.onProbation = onProbation
	}
}

// Taken returns the estimated number of slots in use at a target.
func (s *TargetState) Taken(now time.Time) float64 {
	if s.others == 0 {
		return float64(s.own)
	}
	age := float64(now.Sub(s.reportedAt)) / float64(loadHalfLife)
	return float64(s.own) + s.others*math.Exp2(-age)
}

// Own returns the number of slots that this entry uses.
func (s *TargetState) Own() int { return s.own }

// Targets returns the number of a pool's targets.
func (t *LoadTable) Targets(pool string) int {
	if p := t.pools[pool]; p != nil {
		return len(p.local) + len(p.remote)
	}
	return 0
}
