package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["stuck"] = stuck }

// stuck: a worker fails part of its runs. Its sidecar is killed for 2.5 s while it runs tasks, and comes back just after all control VMs were
// killed; these are back within a second. Then a second sidecar is killed for 2.5 s under the next runs of the tasks that failed. Every
// accepted job has to end.
func stuck() {
	c := startCluster(3, 4, 8, oneRoute(3))
	var jobs []*orphanJob
	for round := range 2 {
		note("round %d", round)
		if trouble {
			c.workers[round].setFailing(0.45)
		}
		for n := range 20 {
			j := &orphanJob{id: newID(), first: c.entries[n%len(c.entries)]}
			body := jobBody("cpu=2500 ms=3000 job="+j.id, false, phase{Count: 4, CPU: 2500, Memory: 64, Estimate: 3000})
			status, _ := c.request(http.MethodPost, j.id, j.first, 1500*time.Millisecond, body)
			j.accepted, j.acceptedAt = status == http.StatusOK, now()
			jobs = append(jobs, j)
		}
		if trouble {
			c.stuckRound(round)
		}
		time.Sleep(12 * time.Second)
	}
	note("traffic has ended")
	for end := now() + finishTime + 4*time.Second; now() < end; time.Sleep(time.Second) {
		if c.askAll(jobs) == 0 {
			break
		}
	}
	var broken []string
	for _, j := range jobs {
		// A job that is shown as failed has used its attempts at the worker that fails.
		if !j.accepted || j.state == "completed" || j.state == "failed" {
			continue
		}
		idle, last := true, time.Duration(0)
		for _, s := range record.spansOf(j.id) {
			idle = idle && s.how != ""
			last = max(last, s.to)
		}
		if !idle || now() < last+3*time.Second {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: job %s of %s, accepted at %.3f, is %q at %.3f; its last run ended at %.3f, and all workers are idle",
			j.id, j.first.name, j.acceptedAt.Seconds(), j.state, now().Seconds(), last.Seconds()))
	}
	verdict(broken)
}

// askAll asks for the states of the accepted jobs that have not ended, and returns their number.
func (c *cluster) askAll(jobs []*orphanJob) int {
	left := 0
	for _, j := range jobs {
		if j.accepted && j.state != "completed" && j.state != "failed" {
			left++
			_, text := c.request(http.MethodGet, j.id, c.entries[left%len(c.entries)], 1500*time.Millisecond, nil)
			j.state = stateIn(text)
		}
	}
	return left
}

func (c *cluster) stuckRound(round int) {
	first := c.sidecars[round]
	time.Sleep(2550 * time.Millisecond)
	note("%s is killed for 2.5 s", first.name)
	first.kill()
	time.Sleep(2400 * time.Millisecond)
	c.workers[round].setFailing(0)
	note("all control VMs are killed for 0.9 s")
	for _, p := range c.control {
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
	first.start()
	note("%s is started again", first.name)
	time.Sleep(800 * time.Millisecond)
	for _, p := range c.control {
		p.start()
	}
	note("all control VMs are started again")
	time.Sleep(900 * time.Millisecond)
	second := c.sidecars[c.retrying(c.workers[round].name)]
	note("%s is killed for 2.5 s", second.name)
	second.kill()
	time.Sleep(2500 * time.Millisecond)
	second.start()
	note("%s is started again", second.name)
}

// retrying returns the number of the worker with the most tasks in progress that failed at the named worker.
func (c *cluster) retrying(failedAt string) int {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	failed := map[string]bool{}
	counts := map[string]int{}
	for task, spans := range record.spans {
		for _, s := range spans {
			if s.worker == failedAt && s.how == "failed" {
				failed[task] = true
			}
			if failed[task] && s.how == "" && s.worker != failedAt {
				counts[s.worker]++
			}
		}
	}
	best := 0
	for n, w := range c.workers {
		if counts[w.name] > counts[c.workers[best].name] {
			best = n
		}
	}
	return best
}
