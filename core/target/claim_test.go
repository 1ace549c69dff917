package target

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// place is a process at a target, as a claim names it.
type place struct {
	target      int
	incarnation string
}

// trial is one attempt that a holder has placed. Sent counts its messages.
type trial struct {
	place   place
	attempt uint32
	sent    int
}

// holding is what one holder of the claim knows of the task.
type holding struct {
	epoch   uint64
	next    uint32
	trial   *trial
	ended   Outcome
	unasked []place
}

// message is on its way from a holder to a target. It arrives once, late or never.
type message struct {
	from  *holding
	trial *trial
	to    place
	event Event
}

// claimed plays one never-repeated task against two targets: holders follow the protocol, each may go on after it was
// taken over from, and any message and answer may be late or lost.
type claimed struct {
	players  [2]*player
	named    []place
	holders  []*holding
	messages []message
}

func newClaimed(off safeguardsOff) *claimed {
	c := &claimed{holders: []*holding{{epoch: 1, next: 1}}}
	for i := range c.players {
		c.players[i] = newPlayer(roomy, off)
	}
	return c
}

var claimedJob = JobID{1}

func (c *claimed) at(i int) place {
	return place{i, c.players[i].incarnation()}
}

func (c *claimed) run(h *holding) {
	h.trial.sent++
	c.messages = append(c.messages, message{h, h.trial, h.trial.place, Run{
		Job: claimedJob, Incarnation: h.trial.place.incarnation, Epoch: h.epoch, FirstEpoch: 1, Deadline: time.Hour,
		Tasks: []Spec{{Index: 0, Attempt: h.trial.attempt}},
	}})
}

func (c *claimed) seal(h *holding, to place, all bool, attempt uint32) {
	c.messages = append(c.messages, message{h, h.trial, to, Seal{
		Job: claimedJob, Incarnation: to.incarnation, Epoch: h.epoch, FirstEpoch: 1, Indexes: []uint32{0},
		All: all, Attempt: attempt,
	}})
}

// act lets a holder do its next step, or the world something.
func (c *claimed) act(next action) {
	h := c.holders[next.Pick%len(c.holders)]
	p := c.players[next.Job%2]
	switch next.Kind {
	case "run", "copy":
		c.advance(h, next)
	case "seal":
		if h.trial != nil && h.ended == Unseen {
			c.seal(h, h.trial.place, false, h.trial.attempt)
		}
	case "seal all":
		c.holders = append(c.holders, &holding{
			epoch: uint64(len(c.holders) + 1), next: 1, unasked: append([]place(nil), c.named...),
		})
	case "status", "tick", "hold over":
		if len(c.messages) > 0 {
			c.deliver(next.Pick%len(c.messages), next.Flag)
		}
	case "finish":
		p.act(next)
	case "drain":
		p.step(Drain{Drained: next.Flag})
	case "restart":
		if next.Flag {
			p.restart()
		}
	}
}

// advance asks the places that a takeover has to ask, sends the present attempt again, or places the next one.
func (c *claimed) advance(h *holding, next action) {
	switch {
	case h.ended != Unseen:
	case len(h.unasked) > 0:
		c.seal(h, h.unasked[0], true, 0)
	case h.trial != nil:
		c.run(h)
	default:
		to := c.at(next.Job % 2)
		if h != c.holders[len(c.holders)-1] && !c.names(to) {
			return
		}
		c.named = append(c.named, to)
		h.trial = &trial{place: to, attempt: h.next}
		c.run(h)
	}
}

func (c *claimed) names(to place) bool {
	for _, named := range c.named {
		if named == to {
			return true
		}
	}
	return false
}

func (c *claimed) deliver(at int, answerLost bool) {
	m := c.messages[at]
	c.messages = append(c.messages[:at], c.messages[at+1:]...)
	p := c.players[m.to.target]
	p.waiter++
	p.waiting[p.waiter] = true
	switch event := m.event.(type) {
	case Run:
		event.Waiter = p.waiter
		p.step(event)
		p.step(HoldOver{Waiter: p.waiter})
	case Seal:
		event.Waiter = p.waiter
		p.step(event)
	}
	if !answerLost {
		m.from.learn(m, p.last.Outcomes[0])
	}
}

// learn is the protocol's rule for an answer.
func (h *holding) learn(m message, told TaskOutcome) {
	if seal, is := m.event.(Seal); is && seal.All {
		h.learnTakeover(m.to, told)
		return
	}
	if h.trial != m.trial || h.ended != Unseen {
		return
	}
	_, isRun := m.event.(Run)
	single := isRun && told.Cause == CauseIncarnation && m.trial.sent == 1
	switch {
	case told.Outcome == NotRun || single:
		h.trial = nil
		h.next = m.trial.attempt + 1
	case told.Outcome.Final():
		h.ended = told.Outcome
	}
}

func (h *holding) learnTakeover(from place, told TaskOutcome) {
	if len(h.unasked) == 0 || h.unasked[0] != from || h.ended != Unseen {
		return
	}
	switch {
	case told.Outcome == NotRun:
		h.unasked = h.unasked[1:]
		h.next = max(h.next, told.Attempt+1)
	case told.Outcome.Final():
		h.ended = told.Outcome
	}
}

// playClaim returns how often the task was started too often.
func playClaim(history []action, off safeguardsOff) error {
	c := newClaimed(off)
	for _, next := range history {
		c.act(next)
		starts := 0
		for _, p := range c.players {
			starts += p.accepted[attemptName{claimedJob, 0, 0}]
		}
		if starts > 1 {
			return fmt.Errorf("the task was started %d times under %d holders", starts, len(c.holders))
		}
	}
	return nil
}

func TestClaim_StartsAtMostOnceOverTakeoversAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := playClaim(histories.Draw(t, "history"), safeguardsOff{}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestClaim_FailsWithoutSafeguards(t *testing.T) {
	for name, off := range map[string]safeguardsOff{
		"fence": {fence: true}, "incarnation": {incarnation: true}, "refusals": {refusals: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 10 * examples {
				if err := playClaim(histories.Example(seed), off); err != nil {
					t.Logf("history %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no history breaks the rule")
		})
	}
}
