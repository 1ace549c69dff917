package settings

// StandIn is the section of a stand-in target: a small HTTP server that behaves like a target.
type StandIn struct {
	// ID is the name of the target in its results; it defaults to its address.
	ID     string `json:"id"`
	Listen string `json:"listen"`
	Slots  int    `json:"slots"`
	// RunMS is the run time of a task whose payload sets none, in milliseconds.
	RunMS int `json:"run_ms"`
	// Ledger is a file to which each task start is appended; empty disables it.
	Ledger string `json:"ledger"`
	// FailEvery makes every n-th task fail with a server error: 1 all tasks, 0 none.
	FailEvery int `json:"fail_every"`
	// SlowEvery makes every n-th task run SlowFactor times as long; 0 none.
	SlowEvery  int     `json:"slow_every"`
	SlowFactor float64 `json:"slow_factor"`
	// HangEvery makes every n-th task hang until its request is closed; 0 none.
	HangEvery int `json:"hang_every"`
	// DelayUS is the delay added before and after each task, in microseconds, to simulate a network.
	DelayUS int `json:"delay_us"`
}

const (
	defaultRunMS = 50
	maxRunMS     = 600_000
	// maxEvery bounds the numbers of tasks between two that fail, are slow or hang.
	maxEvery          = 1_000_000
	defaultSlowFactor = 10
	maxDelayUS        = 1_000_000
)

func (s *StandIn) fillDefaults() {
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.RunMS, defaultRunMS)
	setDefault(&s.SlowFactor, defaultSlowFactor)
}

func (s *StandIn) check(c *checker) {
	c.address("/stand_in/listen", s.Listen)
	c.between("/stand_in/slots", s.Slots, 1, maxSlots)
	c.between("/stand_in/run_ms", s.RunMS, 0, maxRunMS)
	c.between("/stand_in/fail_every", s.FailEvery, 0, maxEvery)
	c.between("/stand_in/slow_every", s.SlowEvery, 0, maxEvery)
	c.between("/stand_in/hang_every", s.HangEvery, 0, maxEvery)
	c.between("/stand_in/delay_us", s.DelayUS, 0, maxDelayUS)
	c.require(s.SlowFactor >= 1, "/stand_in/slow_factor", "is below 1", "give a factor of 1 or more")
}
