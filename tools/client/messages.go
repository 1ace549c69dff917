package client

// Names of the counters that processes publish. Those that are exported are published by all roles.
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

// Roles whose counters are read.
const (
	roleEntry   = "entry"
	roleSidecar = "sidecar"
)

// Messages holds message counts summed over the processes of a system, each message counted once.
type Messages struct {
	// TasksStarted counts task starts at targets, as counted by the sidecars.
	TasksStarted int64 `json:"tasks_started"`
	// RunsSent counts the run requests sent by entries; one request may carry many tasks.
	RunsSent int64  `json:"runs_sent"`
	Wasted   Wasted `json:"wasted"`
	// ControlMessages and ControlBytes are sums over all roles. Each end of a connection counts separately.
	ControlMessages int64 `json:"control_messages"`
	ControlBytes    int64 `json:"control_bytes"`
}

// Wasted counts by kind the messages between entries and sidecars that a better decision would have avoided.
type Wasted struct {
	// Refusal counts requests that a sidecar rejected.
	Refusal int64 `json:"refusal"`
	// Status counts queries about tasks that are known to run, including repeated run requests for them.
	Status int64 `json:"status"`
	Seal   int64 `json:"seal"`
	// Hedge counts hedged copies of tasks that finished second.
	Hedge  int64 `json:"hedge"`
	Cancel int64 `json:"cancel"`
	// Resubmission counts submissions of jobs that were already known.
	Resubmission int64 `json:"resubmission"`
}

// WastedKind is a kind of wasted message with its count.
type WastedKind struct {
	Name  string
	Count int64
}

// Kinds returns the counts by kind in a fixed order.
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

// Total returns the sum of all kinds.
func (w Wasted) Total() int64 {
	var total int64
	for _, kind := range w.Kinds() {
		total += kind.Count
	}
	return total
}

// WastedPerTask returns the wasted messages per started task; 0 if no task was started.
func (m Messages) WastedPerTask() float64 {
	return perTask(m.Wasted.Total(), m.TasksStarted)
}

// RunsPerTask returns the run requests per started task; 0 if no task was started.
func (m Messages) RunsPerTask() float64 {
	return perTask(m.RunsSent, m.TasksStarted)
}

func perTask(count, tasks int64) float64 {
	if tasks == 0 {
		return 0
	}
	return float64(count) / float64(tasks)
}

// Since returns the increase of the counts since an earlier reading.
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

// sums holds sums of counters by role and name.
type sums map[string]map[string]int64

// MessagesOf sums the counters of processes. Some kinds are counted twice, by the entry that sends the message and by the
// sidecar that receives it. The larger count is used, since a lost message is counted by its sender only. For refusals the
// sidecars' count is used, which is of requests; the entries count refused tasks.
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
