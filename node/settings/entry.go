package settings

import "flamingohall.example/core/placement"

// Entry is the section of the role that serves callers.
type Entry struct {
	// CallersListen is the host:port of the callers' HTTP API.
	CallersListen string `json:"callers_listen"`
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxWaiting bounds the number of tasks of all owners that wait for a slot.
	MaxWaiting int `json:"max_waiting"`
	// AnswerMemoryMB bounds the memory for final answers kept for resubmissions, in MiB.
	AnswerMemoryMB int `json:"answer_memory_mb"`
	// Policy is how a target is chosen: "two_choices", "least", "own", "random" or "round_robin".
	Policy string `json:"policy"`
	// Lookahead is how many slots beyond a target's own this entry may fill when no target has a free slot.
	Lookahead int `json:"lookahead"`
	// Order is the order in which waiting jobs are served: "fair" or "arrival".
	Order string `json:"order"`
	// Hedging starts slow repeatable tasks a second time on another target: "on" or "off".
	Hedging string `json:"hedging"`
	// Ejection stops sending work to targets that fail tasks that succeed on other targets: "on" or "off".
	Ejection string `json:"ejection"`
}

// Values of Order, Hedging and Ejection.
const (
	OrderFair    = "fair"
	OrderArrival = "arrival"
	On           = "on"
	Off          = "off"
)

const (
	defaultMaxBodyBytes   = 8 << 20
	maxMaxBodyBytes       = 64 << 20
	defaultMaxWaiting     = 50_000
	maxMaxWaiting         = 1_000_000
	defaultAnswerMemoryMB = 32
	maxAnswerMemoryMB     = 4096
	maxLookahead          = 64
)

func (e *Entry) fillDefaults() {
	setDefault(&e.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&e.MaxWaiting, defaultMaxWaiting)
	setDefault(&e.AnswerMemoryMB, defaultAnswerMemoryMB)
	setDefault(&e.Policy, placement.PolicyLeast)
	setDefault(&e.Order, OrderFair)
	setDefault(&e.Hedging, Off)
	setDefault(&e.Ejection, On)
}

func (e *Entry) check(c *checker) {
	c.address("/entry/callers_listen", e.CallersListen)
	c.between("/entry/max_body_bytes", e.MaxBodyBytes, 1, maxMaxBodyBytes)
	c.between("/entry/max_waiting", e.MaxWaiting, 1, maxMaxWaiting)
	c.between("/entry/answer_memory_mb", e.AnswerMemoryMB, 1, maxAnswerMemoryMB)
	c.oneOf("/entry/policy", e.Policy, placement.PolicyTwoChoices, placement.PolicyLeast, placement.PolicyOwn,
		placement.PolicyRandom, placement.PolicyRoundRobin)
	c.oneOf("/entry/order", e.Order, OrderFair, OrderArrival)
	c.oneOf("/entry/hedging", e.Hedging, On, Off)
	c.oneOf("/entry/ejection", e.Ejection, On, Off)
	c.between("/entry/lookahead", e.Lookahead, 0, maxLookahead)
}
