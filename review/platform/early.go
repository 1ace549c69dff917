package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["early"] = early }

// early: a worker fails part of its runs. Its sidecar is killed for 2.5 s while it runs tasks, and comes back just after all control VMs were
// killed, so that the entries learn the failed ends while they still wait for control's answer about the same runs. A second sidecar is
// killed under the next runs of these tasks just before the entries' job leases end, and control comes back just after. No task may run twice
// at a time.
func early() {
	c := startCluster(3, 4, 8, oneRoute(3))
	everyJob := func(string) bool { return true }
	for round := 0; round < 8 && len(record.twice(everyJob)) == 0; round++ {
		note("round %d", round)
		var open sync.WaitGroup
		failing := c.workers[round%len(c.workers)]
		if trouble {
			failing.setFailing(0.45)
		}
		for n := range 20 {
			open.Go(func() { c.handInAndFollow(n) })
		}
		if trouble {
			c.earlyRound(round, failing)
		}
		open.Wait()
	}
	verdict(record.twice(everyJob))
}

func (c *cluster) earlyRound(round int, failing *worker) {
	first := c.sidecars[round%len(c.sidecars)]
	time.Sleep(2050 * time.Millisecond)
	note("%s is killed for 2.5 s", first.name)
	first.kill()
	time.Sleep(2400 * time.Millisecond)
	failing.setFailing(0)
	note("all control VMs are killed for 1.9 s")
	for _, p := range c.control {
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
	first.start()
	note("%s is started again", first.name)
	time.Sleep(1600 * time.Millisecond)
	second := c.sidecars[c.retrying(failing.name)]
	note("%s is killed for 2.5 s", second.name)
	second.kill()
	time.Sleep(200 * time.Millisecond)
	for _, p := range c.control {
		p.start()
	}
	note("all control VMs are started again")
	time.Sleep(2300 * time.Millisecond)
	second.start()
	note("%s is started again", second.name)
}

// handInAndFollow hands in a job, and asks for its state until it has ended.
func (c *cluster) handInAndFollow(n int) {
	id := newID()
	body := jobBody("cpu=2500 ms=2500 job="+id, false, phase{Count: 4, CPU: 2500, Memory: 64, Estimate: 2500})
	status, _ := c.request(http.MethodPost, id, c.entries[n%len(c.entries)], 1500*time.Millisecond, body)
	if status != http.StatusOK {
		return
	}
	for until := now() + 12*time.Second; now() < until; {
		time.Sleep(500 * time.Millisecond)
		_, text := c.request(http.MethodGet, id, c.entries[(n+1)%len(c.entries)], 1500*time.Millisecond, nil)
		if state := stateIn(text); state == "completed" || state == "failed" {
			return
		}
	}
}
