package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["gone"] = gone }

// gone: at the end of the traffic, a machine with a sidecar is lost while its worker runs tasks. All other machines are sound and idle soon
// after. The accepted jobs have to go on there.
func gone() {
	c := startCluster(3, 4, 8, oneRoute(3))
	var jobs []*orphanJob
	for n := range 40 {
		time.Sleep(50 * time.Millisecond)
		j := &orphanJob{id: newID(), first: c.entries[n%len(c.entries)]}
		body := jobBody("cpu=3100 ms=900 job="+j.id, false, phase{Count: 4, CPU: 3100, Memory: 64, Estimate: 900})
		status, _ := c.request(http.MethodPost, j.id, j.first, 1500*time.Millisecond, body)
		j.accepted, j.acceptedAt = status == http.StatusOK, now()
		jobs = append(jobs, j)
	}
	note("traffic has ended")
	ended := now()
	if trouble {
		note("sidecar-1 is killed, and its machine doesn't come back")
		c.sidecars[0].kill()
	}
	for now() < ended+finishTime {
		time.Sleep(time.Second)
		if c.askAll(jobs) == 0 {
			break
		}
	}
	// From here on, a job must not have nothing running for 3 s.
	asked := now()
	if c.askAll(jobs) > 0 {
		time.Sleep(3100 * time.Millisecond)
		c.askAll(jobs)
	}
	var broken []string
	for _, j := range jobs {
		if !j.accepted || j.state == "completed" {
			continue
		}
		runs, last := 0, time.Duration(0)
		for _, s := range record.spansOf(j.id) {
			if s.how == "" || s.to > asked {
				runs++
			}
			last = max(last, s.to)
		}
		if runs == 0 {
			broken = append(broken, fmt.Sprintf("LOST: job %s, accepted at %.3f, is %q at %.3f; it had nothing running from %.3f on, and seven workers are idle",
				j.id, j.acceptedAt.Seconds(), j.state, now().Seconds(), last.Seconds()))
		}
	}
	verdict(broken)
}
