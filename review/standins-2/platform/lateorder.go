package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["late-order"] = lateOrder; sizes["late-order"] = [3]int{3, 4, 11} }

const (
	// carriedOutAfter is when an order without an answer is carried out, crashAfter when its worker crashes and downBriefly for how long.
	carriedOutAfter = 2300 * time.Millisecond
	crashAfter      = 1500 * time.Millisecond
	downBriefly     = 400 * time.Millisecond
	// ordinaryJobs are handed in before, so that few orders get no answer.
	ordinaryJobs = 30
)

// lateOrder lets the first start of a task get no answer. It is carried out 2.3 s later, by a worker that has crashed since and has
// started again under its id. The task runs on another worker by then.
func lateOrder(c *cluster, trouble bool) int {
	// Ordinary jobs, whose orders are all answered.
	for range ordinaryJobs {
		small := jobBody("ms=50 cpu=1000", false, phase{Count: 1, CPU: 1000, MemMB: 64, EstMS: 50})
		if r := c.ask("POST", c.entries[1], newID(), small, 1500*time.Millisecond); r.status/100 != 2 {
			return couldNot
		}
	}
	time.Sleep(300 * time.Millisecond)
	id := newID()
	body := jobBody("ms=6000 cpu=3100", false, phase{Count: 1, CPU: 3100, MemMB: 64, EstMS: 6000})
	if trouble {
		var once sync.Once
		for _, w := range c.workers {
			w.delays = func(o *order) bool {
				isFirst := false
				if strings.HasPrefix(o.Task, id+".") {
					once.Do(func() { isFirst = true })
				}
				if !isFirst {
					return false
				}
				c.record.add("delayed", w.name, o.Task, o.Run, "")
				time.AfterFunc(carriedOutAfter, func() {
					w.mutex.Lock()
					l := w.life
					w.mutex.Unlock()
					if l != nil {
						answer := l.startRun(o)
						c.record.add("late", w.name, o.Task, o.Run, answer.reason)
					}
				})
				time.AfterFunc(crashAfter, func() {
					w.mutex.Lock()
					l := w.life
					w.mutex.Unlock()
					w.crash()
					time.Sleep(downBriefly)
					w.firstBeat = heartbeatMS * time.Millisecond
					w.startAs(l.id)
				})
				return true
			}
		}
	}
	if r := c.ask("POST", c.entries[0], id, body, 1500*time.Millisecond); r.status/100 != 2 {
		return couldNot
	}
	time.Sleep(10 * time.Second)
	type open struct {
		place string
		run   uint32
	}
	running := map[open]bool{}
	most, starts := 0, 0
	for _, e := range c.record.all() {
		if !strings.HasPrefix(e.name, id+".") {
			if e.kind == "down" {
				for key := range running {
					if key.place == e.place {
						delete(running, key)
					}
				}
			}
			continue
		}
		switch e.kind {
		case "start":
			starts++
			running[open{e.place, e.run}] = true
			most = max(most, len(running))
		case "end":
			delete(running, open{e.place, e.run})
		}
	}
	c.say("%d starts, at most %d runs of the task at the same time", starts, most)
	if most > 1 {
		return broken
	}
	if starts == 0 {
		return couldNot
	}
	return held
}
