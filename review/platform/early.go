package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["early"] = early }

// early: a worker fails part of its runs. Its sidecar is killed for 2.5 s while it runs tasks, and comes back just after all control VMs were
// killed, so that the entries learn the failed ends while they still wait for control's answer about the same runs. No task may run twice at
// a time.
func early() {
	c := startCluster(3, 4, 8, oneRoute(3))
	everyJob := func(string) bool { return true }
	for round := 0; round < 13 && len(record.twice(everyJob)) == 0; round++ {
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
	sidecar := c.sidecars[round%len(c.sidecars)]
	time.Sleep(1350 * time.Millisecond)
	note("%s is killed for 2.5 s", sidecar.name)
	sidecar.kill()
	time.Sleep(2400 * time.Millisecond)
	failing.setFailing(0)
	down := 1700*time.Millisecond + time.Duration(round%4)*40*time.Millisecond
	note("all control VMs are killed for %v", down)
	for _, p := range c.control {
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
	sidecar.start()
	note("%s is started again", sidecar.name)
	time.Sleep(down - 100*time.Millisecond)
	for _, p := range c.control {
		p.start()
	}
	note("all control VMs are started again")
}

// handInAndFollow hands in a job, and asks for its state until it has ended.
func (c *cluster) handInAndFollow(n int) {
	id := newID()
	body := jobBody("cpu=2500 ms=1800 job="+id, false, phase{Count: 4, CPU: 2500, Memory: 64, Estimate: 1800})
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
