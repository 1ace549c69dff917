package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/standin"
)

// Limits of the requests to stand-in targets.
const (
	knobsTimeout  = 5 * time.Second
	maxKnobsBytes = 64 << 10
)

// standIns changes the behaviour of stand-in targets and puts it back.
type standIns struct {
	urls []string
	http *http.Client
	// before holds the behaviour that targets had before the run, by position.
	before map[int]json.RawMessage
}

func newStandIns(urls []string) *standIns {
	return &standIns{urls: urls, http: &http.Client{Timeout: knobsTimeout}, before: map[int]json.RawMessage{}}
}

// prepare notes the behaviour of all targets that the scenario names and makes its setup.
func (s *standIns) prepare(ctx context.Context, scenario *Scenario) error {
	for _, wanted := range scenario.Faults {
		if err := s.note(ctx, wanted.Setup); err != nil {
			return err
		}
	}
	for _, wanted := range scenario.Setup {
		if err := s.note(ctx, wanted); err != nil {
			return err
		}
		for _, position := range wanted.Targets {
			if _, err := s.set(ctx, position, wanted.Behaviour); err != nil {
				return err
			}
		}
	}
	return nil
}

// note keeps the present behaviour of targets unless it is kept already.
func (s *standIns) note(ctx context.Context, wanted Setup) error {
	for _, position := range wanted.Targets {
		if position >= len(s.urls) {
			return fault.New(fault.Invalid, "name more targets with --targets",
				"the scenario changes target %d of %d", position, len(s.urls))
		}
		if s.before[position] != nil {
			continue
		}
		knobs, err := s.set(ctx, position, json.RawMessage("{}"))
		if err != nil {
			return err
		}
		s.before[position] = knobs
	}
	return nil
}

// set changes the behaviour of one target and returns all of it.
func (s *standIns) set(ctx context.Context, position int, behaviour json.RawMessage) (json.RawMessage, error) {
	url := s.urls[position] + standin.BehaviourPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(behaviour))
	if err != nil {
		return nil, fault.New(fault.Malformed, "write addresses as host:port", "target address: %v", err)
	}
	response, err := s.http.Do(request)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "check --targets", "stand-in target: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxKnobsBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Invalid, "mend the scenario's behaviour", "stand-in target %s: HTTP status %d %s %v",
			url, response.StatusCode, bytes.TrimSpace(text), err)
	}
	return text, nil
}

// apply makes each change at its time and reports how it went.
func (s *standIns) apply(ctx context.Context, start time.Time, faults []Fault) []FaultResult {
	results := make([]FaultResult, 0, len(faults))
	for _, wanted := range faults {
		result := FaultResult{AtMS: wanted.AtMS, Targets: wanted.Targets}
		if !sleepUntil(ctx, start.Add(time.Duration(wanted.AtMS)*time.Millisecond)) {
			result.Error = "the run ended before"
			results = append(results, result)
			continue
		}
		for _, position := range wanted.Targets {
			if _, err := s.set(ctx, position, wanted.Behaviour); err != nil {
				result.Error = fmt.Sprintf("target %d: %v", position, err)
			}
		}
		results = append(results, result)
	}
	return results
}

// restore puts the behaviour of all changed targets back.
func (s *standIns) restore(ctx context.Context) error {
	for position, knobs := range s.before {
		if _, err := s.set(ctx, position, knobs); err != nil {
			return err
		}
	}
	return nil
}
