// Package state combines the replicated tables into one state machine: the catalogue, the claims, the registry of nodes
// and the accepted jobs. Commands and results are opaque bytes to the log. The state depends only on the commands.
//
// Retention times are measured by the state's own clock: the leader proposes ticks with the time elapsed on its
// monotonic clock. A machine with a wrong wall clock therefore can't make a claim expire early.
package state

import (
	"github.com/go-faster/errors"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/claim"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/registry"
)

// Command is the content of one log entry: steps that are applied in order.
type Command struct {
	// UnixMS is the proposer's wall clock time in milliseconds since the Unix epoch, for display only.
	UnixMS int64  `cbor:"at"`
	Steps  []Step `cbor:"steps"`
}

// Step is one change of the state. Exactly one field is set.
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
	// Crashes do not change the state of any job, so that replicas of a version that ignores them agree on it.
	Crashes []jobstore.Crash `cbor:"crashes,omitempty"`
	Cancel  *Cancel          `cbor:"cancel,omitempty"`
	Retire  *jobstore.Retire `cbor:"retire,omitempty"`
	// Evacuate starts or ends the evacuation of a data centre.
	Evacuate *registry.EvacuationOrder `cbor:"evacuate,omitempty"`
}

// Process identifies one incarnation of a node.
type Process struct {
	ID          string `cbor:"id"`
	Incarnation string `cbor:"inc"`
}

// Loss removes a node that is considered lost, unless its record changed after the log index ChangedAt.
type Loss struct {
	Process   Process `cbor:"process"`
	ChangedAt uint64  `cbor:"changed"`
}

// Drain starts or ends an operator's drain of a target.
type Drain struct {
	ChangeID string `cbor:"id"`
	Target   string `cbor:"target"`
	Drained  bool   `cbor:"drained"`
}

// Cancel ends an accepted job.
type Cancel struct {
	Job string `cbor:"job"`
}

// MaxTickMS is the maximum time that one tick adds, in milliseconds.
const MaxTickMS = 60_000

// Tick advances the clock by the time elapsed since the tick at log index Since was applied.
type Tick struct {
	Since     uint64 `cbor:"since"`
	ElapsedMS int64  `cbor:"ms"`
}

// Result is the result of one step. Fields that don't apply to the step are zero.
type Result struct {
	// Claim is the result of a claim or a finish; a finish sets only its Status.
	Claim  *claim.Answer     `cbor:"claim,omitempty"`
	Change *catalogue.Answer `cbor:"change,omitempty"`
	// ChangeIDReused means that the change id was used before for a different change.
	ChangeIDReused bool `cbor:"reused,omitempty"`
	// Accepted is false if an announcement came from a process that has ended, a loss was outdated, or a tick did not
	// follow the latest one.
	Accepted bool `cbor:"ok,omitempty"`
	// Found is false if the target of a drain is unknown.
	Found bool `cbor:"found,omitempty"`
	// Jobs holds one answer for a store or a cancel, and one for each end of a run in a record.
	Jobs []jobstore.Answer `cbor:"jobs,omitempty"`
	// Moved is the number of jobs that a retire step assigned to other holders.
	Moved int `cbor:"moved,omitempty"`
	// Evacuation is the result of an evacuation order.
	Evacuation registry.EvacuationStatus `cbor:"evacuation,omitempty"`
	// Pools are those that an evacuation left without workers that get tasks.
	Pools []string `cbor:"pools,omitempty"`
}

// Encode returns the encoded command.
func (c Command) Encode() ([]byte, error) {
	return encode("command", c, initialBufferBytes)
}

// DecodeCommand decodes the output of Encode.
func DecodeCommand(encoded []byte) (Command, error) {
	var command Command
	if len(encoded) > MaxCommandBytes {
		return command, errors.Errorf("command of %d bytes exceeds the limit of %d", len(encoded), MaxCommandBytes)
	}
	err := decode("command", encoded, &command)
	return command, err
}

// DecodeResults decodes the output of Apply, one result for each step.
func DecodeResults(encoded []byte) ([]Result, error) {
	var results []Result
	err := decode("results", encoded, &results)
	return results, err
}
