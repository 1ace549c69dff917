package main

import (
	"strings"
	"time"
)

func init() { cases["cancelled-copy"] = cancelledCopy }

// cancelledCopy hands in a job whose caller waits, cancels it while it runs, and lets a copy of the first request arrive some
// seconds after its answer. The job remains one job, and it is cancelled: no task of it may start later than cancel_ms after the
// acknowledgement.
func cancelledCopy(c *cluster, trouble bool) int {
	id := newID()
	body := jobBody("ms=900 cpu=3100", true, phase{Count: 4, CPU: 3100, MemMB: 64, EstMS: 900})
	answered := make(chan result, 1)
	go func() { answered <- c.ask("POST", c.entries[0], id, body, 1500*time.Millisecond) }()
	time.Sleep(300 * time.Millisecond)
	cancel := c.ask("DELETE", c.entries[0], id, nil, 1500*time.Millisecond)
	acknowledged := time.Since(c.record.begun)
	first := <-answered
	c.say("the cancel was answered %d, the job's request %d %s", cancel.status, first.status, first.body)
	if cancel.status/100 != 2 && cancel.status != 410 || first.status/100 != 2 {
		return couldNot
	}
	time.Sleep(4 * time.Second)
	if trouble {
		copied := c.ask("POST", c.entries[1], id, body, 1500*time.Millisecond)
		c.say("the copy was answered %d %s", copied.status, copied.body)
	}
	time.Sleep(2 * time.Second)
	starts, before := 0, 0
	for _, e := range c.record.all() {
		if e.kind != "start" || !strings.HasPrefix(e.name, id+".") {
			continue
		}
		before++
		if e.at > acknowledged+cancelMS*time.Millisecond {
			starts++
		}
	}
	c.say("%d tasks started, %d of them more than %d ms after the acknowledged cancel", before, starts, cancelMS)
	if before == 0 {
		return couldNot
	}
	if starts > 0 {
		return broken
	}
	return held
}
