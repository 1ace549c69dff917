package state

import (
	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/claim"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/registry"
)

// State is the replicated state at one log index. It is not safe for concurrent use.
type State struct {
	Catalogue *catalogue.Store
	Claims    *claim.Table
	Registry  *registry.Registry
	Jobs      *jobstore.Table
	// Index is the log index of the last command applied.
	Index uint64
	// CatalogueIndex and RegistryIndex are the log indexes of the last changes of the catalogue and the registry that
	// followers have to receive.
	CatalogueIndex uint64
	RegistryIndex  uint64
	// ClockMS is the sum of the ticks in milliseconds. It measures retention times and never runs faster than real time.
	ClockMS int64
	// TickIndex is the log index of the last accepted tick.
	TickIndex uint64
}

// New returns an empty state at index 0.
func New() *State {
	return &State{
		Catalogue: catalogue.NewStore(), Claims: claim.NewTable(claim.DefaultLimits), Registry: registry.New(),
		Jobs: jobstore.NewTable(jobstore.DefaultLimits),
	}
}

// Apply applies the command at a log index and returns the encoded results. A command that can't be decoded has no
// effect except on Index and returns an error, on every replica alike.
func (s *State) Apply(index uint64, encoded []byte) ([]byte, error) {
	s.Index = index
	command, err := DecodeCommand(encoded)
	if err != nil {
		return nil, err
	}
	results := make([]Result, 0, len(command.Steps))
	for _, step := range command.Steps {
		results = append(results, s.step(step, command.UnixMS))
	}
	return encode("results", results, initialBufferBytes)
}

func (s *State) step(step Step, unixMS int64) Result {
	switch {
	case step.Claim != nil:
		answer := s.Claims.Claim(*step.Claim, s.Index, s.ClockMS, s.Registry.Live)
		return Result{Claim: &answer}
	case step.Finish != nil:
		return Result{Claim: &claim.Answer{Status: s.Claims.Finish(*step.Finish, s.ClockMS)}}
	case step.Change != nil:
		return s.change(*step.Change, unixMS)
	case step.Announce != nil:
		return s.announce(*step.Announce)
	case step.Goodbye != nil:
		s.Registry.Goodbye(step.Goodbye.ID, step.Goodbye.Incarnation, s.Index)
		s.RegistryIndex = s.Index
		return Result{Accepted: true}
	case step.Lose != nil:
		return s.lose(*step.Lose)
	case step.Tick != nil:
		return s.tick(*step.Tick)
	case step.Drain != nil:
		found := s.Registry.Drain(step.Drain.ChangeID, step.Drain.Target, step.Drain.Drained, s.Index)
		s.RegistryIndex = s.Index
		return Result{Found: found}
	case step.Evacuate != nil:
		return s.evacuate(*step.Evacuate, unixMS)
	}
	return s.jobStep(step)
}

// jobStep applies a step that concerns accepted jobs.
func (s *State) jobStep(step Step) Result {
	switch {
	case step.Store != nil:
		return Result{Jobs: []jobstore.Answer{s.Jobs.Store(*step.Store, s.Index)}}
	case step.Record != nil:
		var answers []jobstore.Answer
		for _, end := range step.Record {
			answers = append(answers, s.Jobs.Record(end, s.ClockMS))
		}
		return Result{Jobs: answers}
	case step.Crashes != nil:
		var answers []jobstore.Answer
		for _, crash := range step.Crashes {
			answers = append(answers, s.Jobs.RecordCrash(crash))
		}
		return Result{Jobs: answers}
	case step.Cancel != nil:
		return Result{Jobs: []jobstore.Answer{s.Jobs.Cancel(step.Cancel.Job, s.ClockMS)}}
	case step.Retire != nil:
		return Result{Moved: s.Jobs.Retire(*step.Retire, s.Index)}
	}
	return Result{}
}

func (s *State) change(change catalogue.Change, unixMS int64) Result {
	before := s.Catalogue.Current().Number
	answer, err := s.Catalogue.Apply(change, unixMS)
	if err != nil {
		return Result{ChangeIDReused: true}
	}
	if s.Catalogue.Current().Number != before {
		s.CatalogueIndex = s.Index
	}
	return Result{Change: &answer}
}

// tick advances the clock. A tick is accepted only if it follows the last accepted one, so that two proposers can't add
// the same time twice.
func (s *State) tick(tick Tick) Result {
	if tick.Since != s.TickIndex || tick.ElapsedMS < 0 {
		return Result{}
	}
	s.ClockMS += min(tick.ElapsedMS, MaxTickMS)
	s.Jobs.Expire(s.ClockMS)
	s.TickIndex = s.Index
	return Result{Accepted: true}
}

func (s *State) announce(node registry.Node) Result {
	differs := s.Registry.Differs(node)
	accepted := s.Registry.Announce(node, s.Index)
	if differs && accepted {
		s.RegistryIndex = s.Index
	}
	return Result{Accepted: accepted}
}

func (s *State) evacuate(order registry.EvacuationOrder, unixMS int64) Result {
	result := Result{Evacuation: s.Registry.Evacuate(order, s.Index, unixMS)}
	if result.Evacuation == registry.OrderApplied {
		s.RegistryIndex = s.Index
	}
	if order.Evacuated && result.Evacuation != registry.OrderSuperseded {
		result.Pools = s.Registry.PoolsWithoutWorkers(order.DataCentre)
	}
	return result
}

func (s *State) lose(loss Loss) Result {
	lost := s.Registry.RemoveLost(loss.Process.ID, loss.Process.Incarnation, loss.ChangedAt, s.Index)
	if lost {
		s.RegistryIndex = s.Index
	}
	return Result{Accepted: lost}
}
