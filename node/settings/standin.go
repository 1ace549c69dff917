package settings

// StandIn is the section of a stand-in target: a small HTTP server that behaves as a target would.
type StandIn struct {
	// ID names the target in its results; it defaults to its address.
	ID     string `json:"id"`
	Listen string `json:"listen"`
	Slots  int    `json:"slots"`
	// RunMS is the run time of a task whose payload names none, in milliseconds.
	RunMS int `json:"run_ms"`
	// Ledger is a file to which each start is appended; empty keeps none.
	Ledger string `json:"ledger"`
	// FailEvery makes one task in so many fail with a server error; 0 none, 1 every one.
	FailEvery int `json:"fail_every"`
	// SlowEvery makes one task in so many run SlowFactor times as long; 0 none.
	SlowEvery  int     `json:"slow_every"`
	SlowFactor float64 `json:"slow_factor"`
	// HangEvery makes one task in so many hang until its request is closed; 0 none.
	HangEvery int `json:"hang_every"`
	// DelayUS is added each way, in microseconds, as a network would.
	DelayUS int `json:"delay_us"`
}

const (
	defaultRunMS      = 50
	maxRunMS          = 600_000
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
	c.between("/stand_in/fail_every", s.FailEvery, 0, maxRunMS)
	c.between("/stand_in/slow_every", s.SlowEvery, 0, maxRunMS)
	c.between("/stand_in/hang_every", s.HangEvery, 0, maxRunMS)
	c.between("/stand_in/delay_us", s.DelayUS, 0, maxDelayUS)
	c.require(s.SlowFactor >= 1, "/stand_in/slow_factor", "is below 1", "give a factor of 1 or more")
}
