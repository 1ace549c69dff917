package main

import (
	"strings"
	"time"
)

func init() { cases["lost-cancel"] = lostCancel; sizes["lost-cancel"] = [3]int{3, 4, 11} }

// lostCancel cancels a job, whose caller waits at one entry, at another entry that is just waking from a freeze. No task of the job may
// start later than cancel_ms after the acknowledgement.
func lostCancel(c *cluster, trouble bool) int {
	id := newID()
	var phases []phase
	for n := range 6 {
		p := phase{Count: 2, CPU: 3100, MemMB: 64, EstMS: 1200}
		if n > 0 {
			p.After = []int{n - 1}
		}
		phases = append(phases, p)
	}
	body := jobBody("ms=1200 cpu=3100", true, phases...)
	if trouble {
		go c.entries[1].freeze(3 * time.Second)
	}
	time.Sleep(1500 * time.Millisecond)
	answered := make(chan result, 1)
	go func() { answered <- c.ask("POST", c.entries[0], id, body, 9*time.Second) }()
	time.Sleep(1100 * time.Millisecond)
	cancel := c.ask("DELETE", c.entries[1], id, nil, 1500*time.Millisecond)
	acknowledged := c.now()
	if cancel.status/100 != 2 && cancel.status != 410 {
		c.say("the cancel was not acknowledged: %d %s", cancel.status, cancel.body)
		return couldNot
	}
	first := <-answered
	before, starts := 0, 0
	for _, e := range c.record.all() {
		if e.kind != "start" || !strings.HasPrefix(e.name, id+".") {
			continue
		}
		before++
		if e.at > acknowledged+cancelMS*time.Millisecond {
			starts++
		}
	}
	c.say("the cancel was answered %d, the job's request %d %s", cancel.status, first.status, first.body)
	c.say("%d tasks started, %d of them more than %d ms after the acknowledged cancel", before, starts, cancelMS)
	if before == 0 {
		return couldNot
	}
	if starts > 0 {
		return broken
	}
	return held
}
