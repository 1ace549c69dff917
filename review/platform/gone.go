package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["gone"] = gone }

// gone: 10.5 s after the end of the traffic, a machine with a sidecar loses power for 7 s while its worker runs tasks of accepted jobs. All other
// machines are sound, and idle soon after. From finish_s after the traffic on, no job may have nothing running for 3 s.
func gone() {
	c := startCluster(3, 4, 8, oneRoute(3))
	var jobs []*orphanJob
	for n := range 24 {
		time.Sleep(30 * time.Millisecond)
		j := &orphanJob{id: newID(), first: c.entries[n%len(c.entries)]}
		step := phase{Count: 1, CPU: 3100, Memory: 64, Estimate: 7000}
		next := step
		next.After = []int{0}
		status, _ := c.request(http.MethodPost, j.id, j.first, 1500*time.Millisecond, jobBody("cpu=3100 ms=7000 job="+j.id, false, step, next))
		j.accepted, j.acceptedAt = status == http.StatusOK, now()
		jobs = append(jobs, j)
	}
	note("traffic has ended")
	ended := now()
	time.Sleep(10500 * time.Millisecond)
	if trouble {
		lost := c.sidecars[c.busiest()]
		note("%s loses power for 7 s", lost.name)
		lost.kill()
		go func() {
			time.Sleep(7 * time.Second)
			lost.start()
			note("%s is started again", lost.name)
		}()
	}
	time.Sleep(ended + finishTime - now())
	asked := now()
	c.askAll(jobs)
	time.Sleep(asked + 3100*time.Millisecond - now())
	until := now()
	c.askAll(jobs)
	var broken []string
	for _, j := range jobs {
		if !j.accepted || j.state == "completed" || j.state == "failed" {
			continue
		}
		idle, last := true, time.Duration(0)
		for _, s := range record.spansOf(j.id) {
			idle = idle && s.how != "" && s.to < asked
			last = max(last, s.to)
		}
		if idle {
			broken = append(broken, fmt.Sprintf("LOST: job %s, accepted at %.3f, is %q; it has nothing running from %.3f to %.3f, and %d runs are in progress in all",
				j.id, j.acceptedAt.Seconds(), j.state, last.Seconds(), until.Seconds(), record.inProgress()))
		}
	}
	verdict(broken)
}

// busiest returns the number of the worker with the most runs in progress.
func (c *cluster) busiest() int {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	counts, best := map[string]int{}, 0
	for _, spans := range record.spans {
		for _, s := range spans {
			if s.how == "" {
				counts[s.worker]++
			}
		}
	}
	for n, w := range c.workers {
		if counts[w.name] > counts[c.workers[best].name] {
			best = n
		}
	}
	return best
}
