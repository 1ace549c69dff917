package target

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// process is one process of a target, as a claim names it.
type process struct {
	target      int
	incarnation string
}

// placement is one attempt that a holder has placed. sent counts its messages.
type placement struct {
	process process
	attempt uint32
	sent    int
}

// holder is the state of one holder of the claim.
type holder struct {
	epoch uint64
	// next is the number of the next attempt, placement the present one.
	next      uint32
	placement *placement
	ended     Outcome
	// unsealed holds the processes that a takeover has still to seal.
	unsealed []process
}

// message is in flight from a holder to a target. It arrives once, late or never.
type message struct {
	from      *holder
	placement *placement
	to        process
	event     Event
}

// claimSimulation runs one never-repeated task on two targets. Holders follow the protocol, a holder may continue after
// a takeover by the next one, and any message or answer may be late or lost.
type claimSimulation struct {
	simulators [2]*simulator
	// named holds the processes that the claim names.
	named    []process
	holders  []*holder
	messages []message
}

func newClaimSimulation(disabled disabledSafeguards) *claimSimulation {
	c := &claimSimulation{holders: []*holder{{epoch: 1, next: 1}}}
	for i := range c.simulators {
		c.simulators[i] = newSimulator(largeMemory, disabled)
	}
	return c
}

var claimJob = JobID{1}

func (c *claimSimulation) at(i int) process {
	return process{i, c.simulators[i].incarnation()}
}

func (c *claimSimulation) run(h *holder) {
	h.placement.sent++
	c.messages = append(c.messages, message{h, h.placement, h.placement.process, Run{
		Job: claimJob, Incarnation: h.placement.process.incarnation, Epoch: h.epoch, FirstEpoch: 1, Deadline: time.Hour,
		Tasks: []Spec{{Index: 0, Attempt: h.placement.attempt}},
	}})
}

func (c *claimSimulation) seal(h *holder, to process, all bool, attempt uint32) {
	c.messages = append(c.messages, message{h, h.placement, to, Seal{
		Job: claimJob, Incarnation: to.incarnation, Epoch: h.epoch, FirstEpoch: 1, Indexes: []uint32{0},
		All: all, Attempt: attempt,
	}})
}

// act carries out one action: the next step of a holder, or an event at a target. "seal all" adds a holder that takes
// over the claim; "status", "tick" and "hold over" deliver a message.
func (c *claimSimulation) act(next action) {
	h := c.holders[next.Pick%len(c.holders)]
	s := c.simulators[next.Job%2]
	switch next.Kind {
	case "run", "copy":
		c.advance(h, next)
	case "seal":
		if h.placement != nil && h.ended == Unseen {
			c.seal(h, h.placement.process, false, h.placement.attempt)
		}
	case "seal all":
		c.holders = append(c.holders, &holder{
			epoch: uint64(len(c.holders) + 1), next: 1, unsealed: append([]process(nil), c.named...),
		})
	case "status", "tick", "hold over":
		if len(c.messages) > 0 {
			c.deliver(next.Pick%len(c.messages), next.Flag)
		}
	case "finish":
		s.act(next)
	case "drain":
		s.step(Drain{Drained: next.Flag})
	case "restart":
		if next.Flag {
			s.restart()
		}
	}
}

// advance seals the next process that a takeover must seal, resends the present attempt, or places the next one.
func (c *claimSimulation) advance(h *holder, next action) {
	switch {
	case h.ended != Unseen:
	case len(h.unsealed) > 0:
		c.seal(h, h.unsealed[0], true, 0)
	case h.placement != nil:
		c.run(h)
	default:
		to := c.at(next.Job % 2)
		if h != c.holders[len(c.holders)-1] && !c.names(to) {
			return
		}
		c.named = append(c.named, to)
		h.placement = &placement{process: to, attempt: h.next}
		c.run(h)
	}
}

func (c *claimSimulation) names(to process) bool {
	for _, named := range c.named {
		if named == to {
			return true
		}
	}
	return false
}

func (c *claimSimulation) deliver(at int, answerLost bool) {
	m := c.messages[at]
	c.messages = append(c.messages[:at], c.messages[at+1:]...)
	s := c.simulators[m.to.target]
	s.waiter++
	s.waiting[s.waiter] = true
	switch event := m.event.(type) {
	case Run:
		event.Waiter = s.waiter
		s.step(event)
		s.step(HoldOver{Waiter: s.waiter})
	case Seal:
		event.Waiter = s.waiter
		s.step(event)
	}
	if !answerLost {
		m.from.learn(m, s.last.Outcomes[0])
	}
}

// learn applies an answer as the protocol requires.
func (h *holder) learn(m message, reported TaskOutcome) {
	if seal, ok := m.event.(Seal); ok && seal.All {
		h.learnTakeover(m.to, reported)
		return
	}
	if h.placement != m.placement || h.ended != Unseen {
		return
	}
	_, isRun := m.event.(Run)
	single := isRun && reported.Cause == CauseIncarnation && m.placement.sent == 1
	switch {
	case reported.Outcome == NotRun || single:
		h.placement = nil
		h.next = m.placement.attempt + 1
	case reported.Outcome.Final():
		h.ended = reported.Outcome
	}
}

func (h *holder) learnTakeover(from process, reported TaskOutcome) {
	if len(h.unsealed) == 0 || h.unsealed[0] != from || h.ended != Unseen {
		return
	}
	switch {
	case reported.Outcome == NotRun:
		h.unsealed = h.unsealed[1:]
		h.next = max(h.next, reported.Attempt+1)
	case reported.Outcome.Final():
		h.ended = reported.Outcome
	}
}

// playClaim returns an error if the task was started more than once.
func playClaim(history []action, disabled disabledSafeguards) error {
	c := newClaimSimulation(disabled)
	for _, next := range history {
		c.act(next)
		starts := 0
		for _, s := range c.simulators {
			starts += s.accepted[attemptName{claimJob, 0, 0}]
		}
		if starts > 1 {
			return fmt.Errorf("the task was started %d times under %d holders", starts, len(c.holders))
		}
	}
	return nil
}

func TestClaim_StartsAtMostOnceOverTakeoversAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := playClaim(histories.Draw(t, "history"), disabledSafeguards{}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestClaim_FailsWithoutSafeguards(t *testing.T) {
	for name, disabled := range map[string]disabledSafeguards{
		"fence": {fence: true}, "incarnation": {incarnation: true}, "refusals": {refusals: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 10 * historiesTried {
				if err := playClaim(histories.Example(seed), disabled); err != nil {
					t.Logf("history %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no history breaks the rule")
		})
	}
}
