// Package state composes the replicated aggregates: the catalogue, the claims and the registry of nodes. Commands and
// results are bytes, so that the log carries them unread. The state depends on its commands only.
//
// Retention is measured by a clock of the state's own: the leading replica proposes ticks with the time elapsed on its
// monotonic clock. A machine with a wrong wall clock can therefore not make a claim expire early.
package state

import (
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/claim"
	"flamingohall.example/core/registry"
)

// Command is one record of the log: steps applied in order.
type Command struct {
	// UnixMS is the proposer's wall clock in milliseconds, for display only.
	UnixMS int64  `msgpack:"at"`
	Steps  []Step `msgpack:"steps"`
}

// Step is one change. Exactly one field is set.
type Step struct {
	Claim    *claim.Request    `msgpack:"claim,omitempty"`
	Finish   *claim.Finish     `msgpack:"finish,omitempty"`
	Change   *catalogue.Change `msgpack:"change,omitempty"`
	Announce *registry.Node    `msgpack:"announce,omitempty"`
	Goodbye  *Process          `msgpack:"goodbye,omitempty"`
	Lose     *Loss             `msgpack:"lose,omitempty"`
	Drain    *Drain            `msgpack:"drain,omitempty"`
	Tick     *Tick             `msgpack:"tick,omitempty"`
}

// Process names one incarnation of a node.
type Process struct {
	ID          string `msgpack:"id"`
	Incarnation string `msgpack:"inc"`
}

// Loss gives a node up, unless its record changed after ChangedAt.
type Loss struct {
	Process   Process `msgpack:"process"`
	ChangedAt uint64  `msgpack:"changed"`
}

// Drain sets or lifts an operator's drain.
type Drain struct {
	ChangeID string `msgpack:"id"`
	Target   string `msgpack:"target"`
	Drained  bool   `msgpack:"drained"`
}

// MaxTickMS bounds the time that one tick adds, in milliseconds.
const MaxTickMS = 60_000

// Tick adds the time that passed since the tick at index Since was applied.
type Tick struct {
	Since     uint64 `msgpack:"since"`
	ElapsedMS int64  `msgpack:"ms"`
}

// Result answers one step. Fields that don't belong to the step are zero.
type Result struct {
	// Claim answers a claim; a finish uses its Status only.
	Claim  *claim.Answer     `msgpack:"claim,omitempty"`
	Change *catalogue.Answer `msgpack:"change,omitempty"`
	// ChangeIDReused means that the change id stands for another change.
	ChangeIDReused bool `msgpack:"reused,omitempty"`
	// Accepted is false for an announcement by a process that has ended, or a loss that no longer held.
	Accepted bool `msgpack:"ok,omitempty"`
	// Found is false for a drain of an unknown target.
	Found bool `msgpack:"found,omitempty"`
}

// Encode returns the command's bytes.
func (c Command) Encode() ([]byte, error) {
	encoded, err := msgpack.Marshal(c)
	if err != nil {
		return encoded, errors.Wrap(err, "encode command")
	}
	return encoded, nil
}

// DecodeCommand reads the bytes of Encode.
func DecodeCommand(encoded []byte) (Command, error) {
	var command Command
	err := msgpack.Unmarshal(encoded, &command)
	if err != nil {
		return command, errors.Wrap(err, "decode command")
	}
	return command, nil
}

// DecodeResults reads what Apply returned, one result for each step.
func DecodeResults(encoded []byte) ([]Result, error) {
	var results []Result
	err := msgpack.Unmarshal(encoded, &results)
	if err != nil {
		return results, errors.Wrap(err, "decode results")
	}
	return results, nil
}
