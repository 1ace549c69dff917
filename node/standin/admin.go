package standin

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/events"
	"flamingohall.example/node/settings"
)

// maxBehaviourBytes bounds a request to BehaviourPath.
const maxBehaviourBytes = 64 << 10

// Counts are the numbers of task events since the start of the stand-in.
type Counts struct {
	Starts    int64 `json:"starts"`
	Running   int64 `json:"running"`
	Done      int64 `json:"done"`
	Failed    int64 `json:"failed"`
	Cancelled int64 `json:"cancelled"`
	Refused   int64 `json:"refused"`
}

type counters struct {
	starts, running, done, failed, cancelled, refused atomic.Int64
}

// enter takes a slot and reports whether one was free.
func (c *counters) enter(slots int) bool {
	if c.running.Add(1) > int64(slots) {
		c.running.Add(-1)
		c.refused.Add(1)
		return false
	}
	c.starts.Add(1)
	return true
}

func (c *counters) leave() {
	c.running.Add(-1)
}

// Counts returns the current counts.
func (t *Target) Counts() Counts {
	c := &t.counts
	return Counts{
		Starts: c.starts.Load(), Running: c.running.Load(), Done: c.done.Load(),
		Failed: c.failed.Load(), Cancelled: c.cancelled.Load(), Refused: c.refused.Load(),
	}
}

// SetBehaviour changes the behaviour; address and ledger are not changed. Its error is a *fault.Error.
func (t *Target) SetBehaviour(options settings.StandIn) error {
	current := t.options.Load()
	options.Listen = current.Listen
	options.Ledger = current.Ledger
	if err := check(options); err != nil {
		return err
	}
	t.options.Store(&options)
	events.StandInBehaviour.Log(t.logger, "address", t.Addr(), "slots", options.Slots, "runMS", options.RunMS)
	return nil
}

func (t *Target) serveCounts(out http.ResponseWriter, _ *http.Request) {
	out.Header().Set("Content-Type", "application/json")
	writeJSON(out, t.Counts())
}

func (t *Target) serveBehaviour(out http.ResponseWriter, in *http.Request) {
	options := *t.options.Load()
	decoder := json.NewDecoder(http.MaxBytesReader(out, in.Body, maxBehaviourBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&options); err != nil {
		http.Error(out, "behaviour: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := t.SetBehaviour(options); err != nil {
		http.Error(out, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	writeJSON(out, t.options.Load())
}

// check applies the checks of a settings file to the options.
func check(options settings.StandIn) error {
	node := settings.Node{ID: "stand-in", DataCentre: "any", Listen: options.Listen}
	text, err := json.Marshal(settings.File{Node: node, StandIn: &options})
	if err != nil {
		return fault.New(fault.Internal, "report this as a bug", "behaviour: %v", err)
	}
	if _, err := settings.Parse("behaviour", text); err != nil {
		return fault.New(fault.Invalid, "correct each of these", "%v", err)
	}
	return nil
}

// writeJSON sends a value. An error means that the caller has disconnected, and is ignored.
func writeJSON(out http.ResponseWriter, value any) {
	_ = json.NewEncoder(out).Encode(value)
}
