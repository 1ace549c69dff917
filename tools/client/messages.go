package client

// Names of the counters that all roles publish.
const (
	ControlMessages = "control_messages"
	ControlBytes    = "control_bytes"

	tasksStarted       = "tasks_started"
	runsSent           = "runs_sent"
	wastedRefusal      = "wasted_refusal"
	wastedDuplicate    = "wasted_duplicate"
	wastedSeal         = "wasted_seal"
	wastedHedge        = "wasted_hedge"
	wastedStatus       = "wasted_status"
	wastedCancel       = "wasted_cancel"
	wastedResubmission = "wasted_resubmission"
)

// Roles whose counters are added up.
const (
	roleEntry   = "entry"
	roleSidecar = "sidecar"
)

// Messages are the counters of a system's processes, each message counted once.
type Messages struct {
	// TasksStarted counts starts at targets, as the sidecars count them.
	TasksStarted int64 `json:"tasks_started"`
	// RunsSent counts the requests of entries that start tasks; one may carry many.
	RunsSent int64  `json:"runs_sent"`
	Wasted   Wasted `json:"wasted"`
	// ControlMessages and ControlBytes are sums over all roles; each end of a connection counts its own.
	ControlMessages int64 `json:"control_messages"`
	ControlBytes    int64 `json:"control_bytes"`
}

// Wasted counts the messages between entries and sidecars that a better decision would have spared, by kind.
type Wasted struct {
	// Refusal counts requests that a sidecar refused.
	Refusal int64 `json:"refusal"`
	// Status counts questions for the state of what is known to run, among them repeated requests to run it.
	Status int64 `json:"status"`
	Seal   int64 `json:"seal"`
	// Hedge counts second copies that lost.
	Hedge  int64 `json:"hedge"`
	Cancel int64 `json:"cancel"`
	// Resubmission counts submissions of what was known already.
	Resubmission int64 `json:"resubmission"`
}

// WastedKind is one kind of wasted messages with its count.
type WastedKind struct {
	Name  string
	Count int64
}

// Kinds lists the counts in a fixed order.
func (w Wasted) Kinds() []WastedKind {
	return []WastedKind{
		{"refusal", w.Refusal},
		{"status", w.Status},
		{"seal", w.Seal},
		{"hedge", w.Hedge},
		{"cancel", w.Cancel},
		{"resubmission", w.Resubmission},
	}
}

// Total adds up the kinds.
func (w Wasted) Total() int64 {
	var total int64
	for _, kind := range w.Kinds() {
		total += kind.Count
	}
	return total
}

// WastedPerTask returns the wasted messages over the tasks started; 0 without starts.
func (m Messages) WastedPerTask() float64 {
	return perTask(m.Wasted.Total(), m.TasksStarted)
}

// RunsPerTask returns the runs sent over the tasks started; 0 without starts.
func (m Messages) RunsPerTask() float64 {
	return perTask(m.RunsSent, m.TasksStarted)
}

func perTask(count, tasks int64) float64 {
	if tasks == 0 {
		return 0
	}
	return float64(count) / float64(tasks)
}

// Since returns what the counters grew by after an earlier reading.
func (m Messages) Since(earlier Messages) Messages {
	return Messages{
		TasksStarted: m.TasksStarted - earlier.TasksStarted,
		RunsSent:     m.RunsSent - earlier.RunsSent,
		Wasted: Wasted{
			Refusal:      m.Wasted.Refusal - earlier.Wasted.Refusal,
			Status:       m.Wasted.Status - earlier.Wasted.Status,
			Seal:         m.Wasted.Seal - earlier.Wasted.Seal,
			Hedge:        m.Wasted.Hedge - earlier.Wasted.Hedge,
			Cancel:       m.Wasted.Cancel - earlier.Wasted.Cancel,
			Resubmission: m.Wasted.Resubmission - earlier.Wasted.Resubmission,
		},
		ControlMessages: m.ControlMessages - earlier.ControlMessages,
		ControlBytes:    m.ControlBytes - earlier.ControlBytes,
	}
}

// sums are counters added up by role and name.
type sums map[string]map[string]int64

// MessagesOf adds up the counters of processes. Entries and sidecars both count most kinds, one when it sends and the
// other when it receives: the larger count holds, since a lost message has no receiver.
func MessagesOf(processes []Process) Messages {
	total := sums{}
	for _, process := range processes {
		total.add(process)
	}
	entry, sidecar := total[roleEntry], total[roleSidecar]
	messages := Messages{
		TasksStarted: sidecar[tasksStarted],
		RunsSent:     entry[runsSent],
		Wasted: Wasted{
			Refusal:      sidecar[wastedRefusal],
			Status:       max(entry[wastedStatus], sidecar[wastedStatus]+sidecar[wastedDuplicate]),
			Seal:         max(entry[wastedSeal], sidecar[wastedSeal]),
			Hedge:        entry[wastedHedge],
			Cancel:       max(entry[wastedCancel], sidecar[wastedCancel]),
			Resubmission: entry[wastedResubmission],
		},
	}
	for _, counters := range total {
		messages.ControlMessages += counters[ControlMessages]
		messages.ControlBytes += counters[ControlBytes]
	}
	return messages
}

func (s sums) add(process Process) {
	for role, byNode := range process.Counters {
		if s[role] == nil {
			s[role] = map[string]int64{}
		}
		for _, counters := range byNode {
			for name, value := range counters {
				s[role][name] += value
			}
		}
	}
}
