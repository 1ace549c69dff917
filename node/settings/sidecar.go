package settings

import "net/url"

// Sidecar is the section of the role that runs beside a target.
type Sidecar struct {
	// Target is the target's name, unique among the nodes of the system. It defaults to the node's id, or to
	// "<id>-target" in a process that is an entry too.
	Target string `json:"target"`
	// TargetURL is the base URL of the target, reached over HTTP.
	TargetURL string `json:"target_url"`
	// Worker is the machine that the target runs on; it defaults to the node's id.
	Worker string `json:"worker"`
	Rack   string `json:"rack"`
	// Pool is the pool that the target belongs to; catalogue entries select targets by pool.
	Pool  string `json:"pool"`
	Slots int    `json:"slots"`
	// Queue bounds the tasks that wait in the sidecar for a free slot.
	Queue        int     `json:"queue"`
	Cores        float64 `json:"cores"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
	// OutcomeMemoryMB bounds the memory for outcomes kept for repeated requests, in MiB.
	OutcomeMemoryMB int `json:"outcome_memory_mb"`
	// TraceFolder is the folder for a recording of the inputs and decisions of the sidecar, for replay. Empty disables
	// recording.
	TraceFolder string `json:"trace_folder"`
}

const (
	defaultSlots           = 8
	maxSlots               = 4096
	defaultQueue           = 8
	maxQueue               = 100_000
	defaultOutcomeMemoryMB = 4
	maxOutcomeMemoryMB     = 1024
)

func (s *Sidecar) fillDefaults(node Node, isEntry bool) {
	if isEntry {
		setDefault(&s.Target, node.ID+"-target")
	}
	setDefault(&s.Target, node.ID)
	setDefault(&s.Worker, node.ID)
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.Queue, defaultQueue)
	setDefault(&s.OutcomeMemoryMB, defaultOutcomeMemoryMB)
}

func (s *Sidecar) check(c *checker) {
	parsed, err := url.Parse(s.TargetURL)
	ok := err == nil && parsed.Scheme == "http" && parsed.Host != ""
	c.require(ok, "/sidecar/target_url", "is not an http URL", "write it like http://127.0.0.1:9000")
	c.require(s.Pool != "", "/sidecar/pool", "is missing", "name the pool that catalogue entries use")
	c.between("/sidecar/slots", s.Slots, 1, maxSlots)
	c.between("/sidecar/queue", s.Queue, 0, maxQueue)
	c.between("/sidecar/outcome_memory_mb", s.OutcomeMemoryMB, 1, maxOutcomeMemoryMB)
	c.require(s.Cores >= 0 && s.MemoryMB >= 0 && s.Accelerators >= 0, "/sidecar",
		"has a negative size", "give sizes of 0 or more")
}
