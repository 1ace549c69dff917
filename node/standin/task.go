package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"flamingohall.example/node/settings"
)

// Headers between a sidecar and its target.
const (
	// HeaderAttempt contains the number of the attempt.
	HeaderAttempt = "Flamingohall-Attempt"
	// HeaderEntry contains the name of the catalogue entry.
	HeaderEntry = "Flamingohall-Entry"
	// HeaderNotStarted has the value "true" in the answer to a task that was refused and not started.
	HeaderNotStarted = "Flamingohall-Not-Started"
)

// Payload is the payload of a task for a stand-in.
type Payload struct {
	// RunMS is the run time in milliseconds; nil means the configured one.
	RunMS *int `json:"run_ms,omitempty"`
	// Fail is one of the Fail constants.
	Fail string          `json:"fail,omitempty"`
	Echo json.RawMessage `json:"echo,omitempty"`
}

// Values of Payload.Fail.
const (
	FailNone   = ""
	FailTask   = "task"
	FailTarget = "target"
	FailHang   = "hang"
)

// Result is the answer body of a successful task.
type Result struct {
	Echo   json.RawMessage `json:"echo"`
	Target string          `json:"target"`
	// Start is the number of this start, counted from 1 since the start of the stand-in.
	Start int64 `json:"start"`
}

// LedgerLine is the record of one task start.
type LedgerLine struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	UnixUS  int64  `json:"unix_us"`
}

func (t *Target) serveTask(out http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, maxPayloadBytes))
	if err != nil {
		http.Error(out, "payload: "+err.Error(), http.StatusBadRequest)
		return
	}
	options := t.options.Load()
	pause(in.Context(), delay(options))
	defer pause(in.Context(), delay(options))
	if !t.counts.enter(options.Slots) {
		out.Header().Set(HeaderNotStarted, "true")
		http.Error(out, "no free slot", http.StatusServiceUnavailable)
		return
	}
	answer := t.run(in, options, body)
	// The slot must be free before the caller receives the answer and sends the next task.
	t.counts.leave()
	answer.write(out)
}

// answer is the HTTP answer to a task. Status 0 means that the request was closed and no answer is sent.
type answer struct {
	status int
	text   string
	result Result
}

func (a answer) write(out http.ResponseWriter) {
	switch a.status {
	case 0:
	case http.StatusOK:
		out.Header().Set("Content-Type", "application/json")
		writeJSON(out, a.result)
	default:
		http.Error(out, a.text, a.status)
	}
}

func (t *Target) run(in *http.Request, options *settings.StandIn, body []byte) answer {
	number := t.started.Add(1)
	if err := t.record(in); err != nil {
		return answer{status: http.StatusInternalServerError, text: "ledger: " + err.Error()}
	}
	payload, err := decodePayload(body)
	if err != nil {
		t.counts.failed.Add(1)
		return answer{status: http.StatusBadRequest, text: "payload: " + err.Error()}
	}
	if !pause(in.Context(), runTime(options, payload, number)) {
		t.counts.cancelled.Add(1)
		return answer{}
	}
	switch failure(options, payload, number) {
	case FailTask:
		t.counts.failed.Add(1)
		return answer{status: http.StatusUnprocessableEntity, text: "the task asked to fail"}
	case FailTarget:
		t.counts.failed.Add(1)
		return answer{status: http.StatusInternalServerError, text: "the target fails"}
	case FailHang:
		<-in.Context().Done()
		t.counts.cancelled.Add(1)
		return answer{}
	}
	t.counts.done.Add(1)
	id := options.ID
	if id == "" {
		id = t.Addr()
	}
	return answer{status: http.StatusOK, result: Result{Echo: payload.Echo, Target: id, Start: number}}
}

// record appends one line to the ledger in a single write.
func (t *Target) record(in *http.Request) error {
	t.ledgerMutex.Lock()
	defer t.ledgerMutex.Unlock()
	if t.ledger == nil {
		return nil
	}
	attempt, err := strconv.ParseUint(in.Header.Get(HeaderAttempt), 10, 32)
	if err != nil {
		attempt = 0
	}
	line, err := json.Marshal(LedgerLine{
		Task: in.PathValue("task"), Attempt: uint32(attempt), UnixUS: time.Now().UnixMicro(),
	})
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if _, err := t.ledger.Write(append(line, '\n')); err != nil {
		return errors.Wrap(err, "append")
	}
	return nil
}

func decodePayload(body []byte) (Payload, error) {
	var payload Payload
	if len(bytes.TrimSpace(body)) == 0 {
		return payload, nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return Payload{Echo: body}, nil
	}
	err := json.Unmarshal(body, &payload)
	return payload, err
}

func runTime(options *settings.StandIn, payload Payload, number int64) time.Duration {
	run := time.Duration(options.RunMS) * time.Millisecond
	if payload.RunMS != nil {
		run = time.Duration(*payload.RunMS) * time.Millisecond
	}
	if every(options.SlowEvery, number) {
		run = time.Duration(float64(run) * options.SlowFactor)
	}
	return run
}

func failure(options *settings.StandIn, payload Payload, number int64) string {
	switch {
	case payload.Fail != FailNone:
		return payload.Fail
	case every(options.HangEvery, number):
		return FailHang
	case every(options.FailEvery, number):
		return FailTarget
	default:
		return FailNone
	}
}

func every(period int, number int64) bool {
	return period > 0 && number%int64(period) == 0
}

func delay(options *settings.StandIn) time.Duration {
	return time.Duration(options.DelayUS) * time.Microsecond
}

// pause waits and reports whether the whole time passed before ctx ended.
func pause(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
