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
	behaviourTimeout  = 5 * time.Second
	maxBehaviourBytes = 64 << 10
)

// standIns changes the behaviour of stand-in targets and restores it after the run.
type standIns struct {
	urls []string
	http *http.Client
	// original holds the behaviour of targets before the run, by position.
	original map[int]json.RawMessage
}

func newStandIns(urls []string) *standIns {
	return &standIns{urls: urls, http: &http.Client{Timeout: behaviourTimeout}, original: map[int]json.RawMessage{}}
}

// prepare saves the behaviour of all targets that the scenario changes, then applies the scenario's setup.
func (s *standIns) prepare(ctx context.Context, scenario *Scenario) error {
	for _, change := range scenario.Faults {
		if err := s.saveOriginal(ctx, change.Setup); err != nil {
			return err
		}
	}
	for _, change := range scenario.Setup {
		if err := s.saveOriginal(ctx, change); err != nil {
			return err
		}
		for _, position := range change.Targets {
			if _, err := s.set(ctx, position, change.Behaviour); err != nil {
				return err
			}
		}
	}
	return nil
}

// saveOriginal stores the current behaviour of targets unless it is already stored.
func (s *standIns) saveOriginal(ctx context.Context, setup Setup) error {
	for _, position := range setup.Targets {
		if position >= len(s.urls) {
			return fault.New(fault.Invalid, "name more targets with --targets",
				"the scenario changes target %d of %d", position, len(s.urls))
		}
		if s.original[position] != nil {
			continue
		}
		behaviour, err := s.set(ctx, position, json.RawMessage("{}"))
		if err != nil {
			return err
		}
		s.original[position] = behaviour
	}
	return nil
}

// set changes the given fields of a target's behaviour and returns its complete behaviour.
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBehaviourBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Invalid, "correct the behaviour in the scenario", "stand-in target %s: HTTP status %d %s %v",
			url, response.StatusCode, bytes.TrimSpace(text), err)
	}
	return text, nil
}

// apply makes each change at its time and returns which ones failed.
func (s *standIns) apply(ctx context.Context, start time.Time, faults []Fault) []FaultResult {
	results := make([]FaultResult, 0, len(faults))
	for _, change := range faults {
		result := FaultResult{AtMS: change.AtMS, Targets: change.Targets}
		if !sleepUntil(ctx, start.Add(time.Duration(change.AtMS)*time.Millisecond)) {
			result.Error = "the run ended before the fault was due"
			results = append(results, result)
			continue
		}
		for _, position := range change.Targets {
			if _, err := s.set(ctx, position, change.Behaviour); err != nil {
				result.Error = fmt.Sprintf("target %d: %v", position, err)
			}
		}
		results = append(results, result)
	}
	return results
}

// restore gives all changed targets their original behaviour again.
func (s *standIns) restore(ctx context.Context) error {
	for position, behaviour := range s.original {
		if _, err := s.set(ctx, position, behaviour); err != nil {
			return err
		}
	}
	return nil
}
