package bench

import "flamingohall.example/tools/client"

// Result holds the measurements of a run.
type Result struct {
	Scenario string `json:"scenario"`
	// Digest is the SHA-256 of the scenario.
	Digest string `json:"digest"`
	Seed   uint64 `json:"seed"`
	// Command is the command line of the run.
	Command []string `json:"command"`
	// Mode is "entries" or "direct".
	Mode          string `json:"way"`
	StartedUnixMS int64  `json:"started_unix_ms"`
	// MeasuredMS is the time over which measured submissions were sent, in milliseconds.
	MeasuredMS int64         `json:"measured_ms"`
	All        ClassResult   `json:"all"`
	Classes    []ClassResult `json:"classes"`
	Seconds    []Second      `json:"seconds"`
	// Messages are the increases of the processes' counters over the whole run; zeros when no process was named.
	Messages  client.Messages `json:"messages"`
	Callers   Callers         `json:"callers"`
	Nodes     []NodeControl   `json:"nodes"`
	Processes []ProcessCost   `json:"processes"`
	Faults    []FaultResult   `json:"faults"`
	Ledger    *LedgerResult   `json:"ledger,omitempty"`
	Machine   Machine         `json:"machine"`
}

// ClassResult is what the callers of one class observed, without the submissions of the warm-up.
type ClassResult struct {
	Class string `json:"class"`
	Sent  int    `json:"sent"`
	// Endings counts submissions by how they ended: complete, failed, cancelled, refused, expired, unanswered, wrong.
	Endings map[string]int `json:"endings"`
	// TasksDone counts the tasks of complete answers.
	TasksDone int `json:"tasks_done"`
	// TasksPerSecond is TasksDone divided by the measured time.
	TasksPerSecond float64 `json:"tasks_per_second"`
	// ResponseUS and Slowdown are those of complete answers. ResponseUS is in microseconds; Slowdown is the response time
	// divided by the ideal.
	ResponseUS Quantiles `json:"response_us"`
	Slowdown   Quantiles `json:"slowdown"`
	// RefusalUS is the time from the intended send time to a refusal, in microseconds.
	RefusalUS Quantiles `json:"refusal_us"`
	// RefusedWithoutRetryAfter counts refusals without a retry-after time.
	RefusedWithoutRetryAfter int `json:"refused_without_time"`
	// ClaimUS and WaitUS are the times that the entry reported in complete answers, in microseconds.
	ClaimUS Quantiles `json:"claim_us"`
	WaitUS  Quantiles `json:"wait_us"`
	// Samples are the first messages of endings other than complete.
	Samples []string `json:"samples,omitempty"`
}

// Quantiles describe a distribution of measured values.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Second holds the figures of the submissions sent within one second.
type Second struct {
	// At is the number of full seconds since the start.
	At          int     `json:"at"`
	Sent        int     `json:"sent"`
	Complete    int     `json:"complete"`
	Refused     int     `json:"refused"`
	OtherEnding int     `json:"other_ending"`
	SlowdownP50 float64 `json:"slowdown_p50"`
	SlowdownP99 float64 `json:"slowdown_p99"`
}

// Callers counts the messages of the callers, which are not part of Messages.
type Callers struct {
	Submissions   int64 `json:"submissions"`
	Resubmissions int64 `json:"resubmissions"`
	Cancellations int64 `json:"cancellations"`
	// WrongAnswers counts answers that were partial or belonged to another submission, those of the warm-up included.
	WrongAnswers int64 `json:"wrong_answers"`
	// NotSent counts submissions that the bench did not send because too many were outstanding.
	NotSent int64 `json:"not_sent"`
	// SendDelayUS is how late the bench sent submissions, in microseconds.
	SendDelayUS Quantiles `json:"send_delay_us"`
}

// ProcessCost is the resource use of one process over the whole run.
type ProcessCost struct {
	Name string `json:"name"`
	PID  int    `json:"pid,omitempty"`
	// Core is the processor time divided by the elapsed time: 1 is one full core.
	Core float64 `json:"core"`
	// ResidentBytes is the resident memory at the end of the run, PeakBytes its peak since the process started.
	ResidentBytes int64 `json:"resident_bytes"`
	PeakBytes     int64 `json:"peak_bytes"`
}

// NodeControl is the control traffic of one node over the whole run.
type NodeControl struct {
	Role              string  `json:"role"`
	ID                string  `json:"id"`
	BytesPerSecond    float64 `json:"bytes_per_second"`
	MessagesPerSecond float64 `json:"messages_per_second"`
}

// FaultResult is a fault of the scenario and, if it could not be applied, the error.
type FaultResult struct {
	AtMS    int    `json:"at_ms"`
	Targets []int  `json:"targets"`
	Error   string `json:"error,omitempty"`
}

// Machine describes the machine of the run and its load.
type Machine struct {
	Cores int `json:"cores"`
	// LoadBefore and LoadAfter are the one-minute load averages.
	LoadBefore float64 `json:"load_before"`
	LoadAfter  float64 `json:"load_after"`
	// SyncUS is the time of a small synced write during the run, in microseconds.
	SyncUS Quantiles `json:"sync_us"`
}
