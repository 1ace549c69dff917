package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["wrong-crash"] = wrongCrash; sizes["wrong-crash"] = [3]int{3, 4, 11} }

const (
	darkFor = 1600 * time.Millisecond
	downFor = 2 * time.Second
	// ranBeforeCrash is how long the tasks that were moved run before their worker crashes.
	ranBeforeCrash = 770 * time.Millisecond
)

// wrongCrash hands in a stored job, whose data is in the rack of the first workers, just after a worker has lost power, and lets another worker crash that runs it. Only one worker
// has crashed under any of its tasks, and none of them has failed.
func wrongCrash(c *cluster, trouble bool) int {
	id := newID()
	body := jobBody("ms=3000 cpu=3100", false, phase{Count: 6, CPU: 3100, MemMB: 64, EstMS: 3000, Rack: "r1-0"})
	begun := c.now()
	if trouble {
		go c.workers[0].goDark(darkFor)
		time.Sleep(100 * time.Millisecond)
	}
	if r := c.ask("POST", c.entries[0], id, body, 1500*time.Millisecond); r.status/100 != 2 {
		return couldNot
	}
	if trouble {
		// The tasks that wait for the first worker start elsewhere once the lease there is over.
		moved, place := c.awaitLateStart(id, begun+900*time.Millisecond, 3*time.Second)
		if moved == "" {
			c.say("no task was ordered at the worker without power")
			return couldNot
		}
		time.Sleep(ranBeforeCrash)
		for _, w := range c.workers {
			if w.name == place {
				c.say("%s crashes, which runs %s", place, moved)
				w.crash()
				time.AfterFunc(downFor, w.start)
			}
		}
	}
	state := ""
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); {
		time.Sleep(300 * time.Millisecond)
		state = c.ask("GET", c.entries[1], id, nil, 1500*time.Millisecond).state()
		if state == "completed" || state == "failed" {
			break
		}
	}
	crashes, failures := c.underCrashes(id)
	c.say("the job is shown as %q; failed runs: %d; most workers that have crashed under one task: %d", state, failures, crashes)
	if state == "failed" && failures == 0 && crashes < 2 {
		return broken
	}
	if state != "completed" {
		return couldNot
	}
	return held
}

// awaitLateStart returns the first task of a job whose first start comes later than a time, and its worker.
func (c *cluster) awaitLateStart(id string, after, timeout time.Duration) (task, place string) {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		seen := map[string]bool{}
		for _, e := range c.record.all() {
			if e.kind != "start" || !strings.HasPrefix(e.name, id+".") || seen[e.name] {
				continue
			}
			seen[e.name] = true
			if e.at > after {
				return e.name, e.place
			}
		}
	}
	return "", ""
}

// underCrashes returns the most workers that have crashed while they ran one task of a job, and the number of its failed runs.
func (c *cluster) underCrashes(id string) (most, failures int) {
	open, crashes := map[string]string{}, map[string]int{}
	for _, e := range c.record.all() {
		switch {
		case e.kind == "start" && strings.HasPrefix(e.name, id+"."):
			open[fmt.Sprint(e.place, e.name, e.run)] = e.name + " " + e.place
		case e.kind == "end" && strings.HasPrefix(e.name, id+"."):
			delete(open, fmt.Sprint(e.place, e.name, e.run))
			if e.detail == "failed" {
				failures++
			}
		case e.kind == "down":
			for key, run := range open {
				task, place, _ := strings.Cut(run, " ")
				if place == e.place {
					delete(open, key)
					crashes[task]++
					most = max(most, crashes[task])
				}
			}
		}
	}
	return most, failures
}
