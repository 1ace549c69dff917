package losses

import (
	"bytes"
	"encoding/json"
	"time"
)

// Numbers of the events that are read; docs/EVENTS.md describes them.
const (
	eventProcessStarting = 1001
	eventJobEnded        = 2301
	eventOfferDeclined   = 2302
	eventRequestRefused  = 2309
	eventOfferRefused    = 3205
	eventWorkerChanged   = 3207
)

// messageDropped is the text of the line that a process writes after it has dropped lines.
const messageDropped = "log lines dropped"

// record holds the fields of the log lines that are read.
type record struct {
	Event   int       `json:"event"`
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Version string    `json:"version"`
	Task    string    `json:"task"`
	Run     uint32    `json:"run"`
	State   string    `json:"state"`

	Job      string `json:"job"`
	Queue    string `json:"queue"`
	Result   string `json:"result"`
	Cause    string `json:"cause"`
	Worker   string `json:"worker"`
	Tasks    int64  `json:"tasks"`
	Offers   int64  `json:"offers"`
	Failures int64  `json:"failures"`

	TookMS          int64 `json:"took_ms"`
	ObjectiveMS     int64 `json:"objective_ms"`
	PredictedWaitMS int64 `json:"predicted_wait_ms"`
	HeldMS          int64 `json:"held_ms"`
	// ExpectedMS is nil in the logs of builds that don't write the stages of a job.
	ExpectedMS     *int64 `json:"expected_ms"`
	TargetMS       int64  `json:"target_ms"`
	MilliCores     int64  `json:"millicores"`
	OfferedMS      int64  `json:"offered_ms"`
	ReofferedMS    int64  `json:"reoffered_ms"`
	QueuedMS       int64  `json:"queued_ms"`
	RunMS          int64  `json:"run_ms"`
	FreeMilliCores int64  `json:"free_millicores"`
	PoolMilliCores int64  `json:"pool_millicores"`
}

// parse parses a log line. Text before the JSON object, as some log collectors add it, is ignored.
func parse(text []byte) (record, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return record{}, false
	}
	var parsed record
	if json.Unmarshal(text[begin:], &parsed) != nil || parsed.Time.IsZero() {
		return record{}, false
	}
	return parsed, true
}

// job is the end of one job.
type job struct {
	id, node, queue, worker string
	arrived                 time.Time
	took, target            time.Duration
	// lateCause is the cause if the job turns out to be late.
	lateCause         string
	tasks, milliCores int64
	objective         time.Duration
	expected, run     time.Duration
	outcome           Outcome
	cause             string
}

// coreSeconds returns the work of the job, by the run time of its slowest task or, if it didn't complete, by its estimate.
func (j *job) coreSeconds() float64 {
	length := j.expected
	if j.outcome.isCompleted() {
		length = j.run
	}
	return float64(j.tasks*j.milliCores) / 1000 * length.Seconds()
}

// Outcome is how a job ended for its caller.
type Outcome string

// Outcomes of jobs. Left jobs are those whose callers cancelled them or closed the connection; they count as served by nobody.
const (
	InTime  Outcome = "in time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	GivenUp Outcome = "given up"
	Failed  Outcome = "failed"
	Left    Outcome = "left"
)

func (o Outcome) isCompleted() bool {
	return o == InTime || o == Late
}

// newJob converts the line of a job that has ended.
func newJob(r *record) job {
	took := milliseconds(r.TookMS)
	ended := job{
		id: r.Job, node: r.Node, queue: r.Queue, worker: r.Worker, arrived: r.Time.Add(-took),
		tasks: r.Tasks, milliCores: r.MilliCores, objective: milliseconds(r.ObjectiveMS), run: milliseconds(r.RunMS),
		took: took, target: milliseconds(r.TargetMS),
	}
	if r.ExpectedMS != nil {
		ended.expected = milliseconds(*r.ExpectedMS)
	}
	ended.outcome, ended.cause = r.verdict()
	ended.lateCause = "late: " + r.lateCause()
	return ended
}

// judge decides again whether a completed job was in time, with the run time that was measured in place of the one that the entry
// expected. speed is that of the worker; the objective is the one on a worker of speed 1.
func (j *job) judge(speed float64) {
	if !j.outcome.isCompleted() || j.expected <= 0 || j.run <= 0 {
		return
	}
	scale := float64(j.run) * speed / float64(j.expected)
	j.objective = j.target + time.Duration(float64(j.objective-j.target)*scale)
	j.outcome, j.cause = InTime, ""
	if j.took > j.objective {
		j.outcome, j.cause = Late, j.lateCause
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// verdict returns how a job ended, and the first cause if it wasn't served in time.
func (r *record) verdict() (Outcome, string) {
	switch r.Result {
	case "completed":
		if r.TookMS <= r.ObjectiveMS {
			return InTime, ""
		}
		return Late, "late: " + r.lateCause()
	case "refused":
		return Refused, "refused: " + r.refusedCause()
	case "cancelled":
		return Left, "cancelled by its caller"
	case "failed":
		return Failed, "failed: " + r.Cause
	}
	if r.Cause == "caller gone" {
		return Left, "caller gone"
	}
	if r.Offers == 0 {
		return GivenUp, "given up: never offered"
	}
	return GivenUp, "given up: " + r.Cause
}

// minHeldMS is the time from which a job counts as held for the start of its entry.
const minHeldMS = 20

func (r *record) refusedCause() string {
	switch {
	case r.Cause != "overloaded":
		return r.Cause
	case r.HeldMS >= minHeldMS:
		return "held for the start of the entry"
	case r.PredictedWaitMS > 0 && r.FreeMilliCores >= r.Tasks*r.MilliCores && r.MilliCores > 0:
		return "predicted wait, while enough capacity was free in pieces"
	case r.PredictedWaitMS > 0:
		return "predicted wait, no capacity free"
	}
	return "overloaded"
}

// lateCause names the stage that took the largest part of the time beyond the expected run time.
func (r *record) lateCause() string {
	if r.ExpectedMS == nil {
		return "stages not logged"
	}
	causes := []struct {
		name string
		ms   int64
	}{
		{"held for the start of the entry", r.HeldMS},
		{"a run failed", r.failedMS()},
		{"waited at the entry", r.OfferedMS - r.HeldMS},
		{"offers refused and made again", r.ReofferedMS - r.failedMS()},
		{"waited at the worker", r.QueuedMS},
		{"ran on a slow worker", r.RunMS - *r.ExpectedMS},
	}
	worst := causes[0]
	for _, c := range causes[1:] {
		if c.ms > worst.ms {
			worst = c
		}
	}
	return worst.name
}

// failedMS returns the time until the last offer if a run of the job has failed before.
func (r *record) failedMS() int64 {
	if r.Failures > 0 {
		return r.ReofferedMS
	}
	return 0
}
