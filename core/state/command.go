// Package state composes the replicated aggregates: the catalogue, the claims and the registry of nodes. Commands and
// results are bytes, so that the log carries them unread. The state depends on its commands only.
//
// Retention is measured by a clock of the state's own: the leading replica proposes ticks with the time elapsed on its
// monotonic clock. A machine with a wrong wall clock can therefore not make a claim expire early.
package state

import (
	"github.com/go-faster/errors"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/claim"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/registry"
)

// Command is one record of the log: steps applied in order.
type Command struct {
	// UnixMS is the proposer's wall clock in milliseconds, for display only.
	UnixMS int64  `cbor:"at"`
	Steps  []Step `cbor:"steps"`
}

// Step is one change. Exactly one field is set.
type Step struct {
	Claim    *claim.Request    `cbor:"claim,omitempty"`
	Finish   *claim.Finish     `cbor:"finish,omitempty"`
	Change   *catalogue.Change `cbor:"change,omitempty"`
	Announce *registry.Node    `cbor:"announce,omitempty"`
	Goodbye  *Process          `cbor:"goodbye,omitempty"`
	Lose     *Loss             `cbor:"lose,omitempty"`
	Drain    *Drain            `cbor:"drain,omitempty"`
	Tick     *Tick             `cbor:"tick,omitempty"`
	Store    *jobstore.Store   `cbor:"store,omitempty"`
	Record   []jobstore.RunEnd `cbor:"record,omitempty"`
	Cancel   *Cancel           `cbor:"cancel,omitempty"`
	Retire   *jobstore.Retire  `cbor:"retire,omitempty"`
}

// Process names one incarnation of a node.
type Process struct {
	ID          string `cbor:"id"`
	Incarnation string `cbor:"inc"`
}

// Loss gives a node up, unless its record changed after ChangedAt.
type Loss struct {
	Process   Process `cbor:"process"`
	ChangedAt uint64  `cbor:"changed"`
}

// Drain sets or lifts an operator's drain.
type Drain struct {
	ChangeID string `cbor:"id"`
	Target   string `cbor:"target"`
	Drained  bool   `cbor:"drained"`
}

// Cancel ends an accepted job.
type Cancel struct {
	Job string `cbor:"job"`
}

// MaxTickMS bounds the time that one tick adds, in milliseconds.
const MaxTickMS = 60_000

// Tick adds the time that passed since the tick at index Since was applied.
type Tick struct {
	Since     uint64 `cbor:"since"`
	ElapsedMS int64  `cbor:"ms"`
}

// Result answers one step. Fields that don't belong to the step are zero.
type Result struct {
	// Claim answers a claim; a finish uses its Status only.
	Claim  *claim.Answer     `cbor:"claim,omitempty"`
	Change *catalogue.Answer `cbor:"change,omitempty"`
	// ChangeIDReused means that the change id stands for another change.
	ChangeIDReused bool `cbor:"reused,omitempty"`
	// Accepted is false for an announcement by a process that has ended, or a loss that no longer held.
	Accepted bool `cbor:"ok,omitempty"`
	// Found is false for a drain of an unknown target.
	Found bool `cbor:"found,omitempty"`
	// Jobs answer a store or a cancel with one answer, a record with one for each end.
	Jobs []jobstore.Answer `cbor:"jobs,omitempty"`
	// Moved is how many jobs a retired owner had.
	Moved int `cbor:"moved,omitempty"`
}

// Encode returns the command's bytes.
func (c Command) Encode() ([]byte, error) {
	return encode("command", c, smallEstimate)
}

// DecodeCommand reads the bytes of Encode.
func DecodeCommand(encoded []byte) (Command, error) {
	var command Command
	if len(encoded) > MaxCommandBytes {
		return command, errors.Errorf("command of %d bytes exceeds %d", len(encoded), MaxCommandBytes)
	}
	err := decode("command", encoded, &command)
	return command, err
}

// DecodeResults reads what Apply returned, one result for each step.
func DecodeResults(encoded []byte) ([]Result, error) {
	var results []Result
	err := decode("results", encoded, &results)
	return results, err
}
