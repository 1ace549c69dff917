package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["orphan"] = orphan }

// orphan: while jobs are handed in, all control VMs lose power for 5.8 s, and once more as they come back. Callers that got no answer, or 504,
// send their jobs again later, at another entry; those that are refused don't. Every job that is accepted has to be run.
func orphan() {
	c := startCluster(3, 4, 8, oneRoute(3))
	o := &orphans{cluster: c}
	for n := 0; n < 5 && !o.hasIdleJob(); n++ {
		o.round()
	}
	note("traffic has ended")
	for end := now() + finishTime + 4*time.Second; now() < end; time.Sleep(time.Second) {
		left := 0
		for _, j := range o.jobs {
			if j.accepted && j.state != "completed" {
				left++
				_, text := c.request(http.MethodGet, j.id, c.entries[left%len(c.entries)], 1500*time.Millisecond, nil)
				j.state = stateIn(text)
			}
		}
		if left == 0 {
			break
		}
	}
	var broken []string
	count := 0
	for _, j := range o.jobs {
		if j.accepted {
			count++
		}
		if j.accepted && j.state != "completed" {
			broken = append(broken, fmt.Sprintf("LOST: job %s, first sent to %s, was accepted at %.3f, is %q, and has %d runs; no other job is left",
				j.id, j.first.name, j.acceptedAt.Seconds(), j.state, len(record.spansOf(j.id))))
		}
	}
	fmt.Println(len(o.jobs), "jobs,", count, "accepted")
	verdict(broken)
}

type orphanJob struct {
	id         string
	first      *proc
	accepted   bool
	acceptedAt time.Duration
	state      string
}

type orphans struct {
	*cluster
	jobs     []*orphanJob
	answered atomic.Int32
}

const (
	// perRound jobs are handed in, four a millisecond. Power is lost a moment after the answer with the number beforeLoss.
	perRound   = 200
	beforeLoss = 40
	// resendAfter is when a caller that got no answer sends its job again. The pages set no time for stored jobs.
	resendAfter = 14 * time.Second
)

// hasIdleJob reports whether a job that was accepted over 3 s before has no run, while no other job is left.
func (o *orphans) hasIdleJob() bool {
	time.Sleep(time.Second)
	for _, j := range o.jobs {
		if j.accepted && now() > j.acceptedAt+3*time.Second && len(record.spansOf(j.id)) == 0 {
			return true
		}
	}
	return false
}

func (o *orphans) round() {
	var open sync.WaitGroup
	o.answered.Store(0)
	for n := range perRound {
		time.Sleep(250 * time.Microsecond)
		j := &orphanJob{id: newID(), first: o.entries[n%len(o.entries)]}
		o.jobs = append(o.jobs, j)
		open.Go(func() { o.handIn(j, n) })
	}
	open.Wait()
	time.Sleep(2500 * time.Millisecond)
}

func (o *orphans) handIn(j *orphanJob, entry int) {
	body := jobBody("cpu=3100 ms=60 job="+j.id, false, phase{Count: 1, CPU: 3100, Memory: 64, Estimate: 60})
	for begun := now(); now() < begun+20*time.Second; entry++ {
		status, _ := o.request(http.MethodPost, j.id, o.entries[entry%len(o.entries)], 1500*time.Millisecond, body)
		switch status {
		case http.StatusOK:
			j.accepted, j.acceptedAt = true, now()
			if trouble && o.answered.Add(1) == beforeLoss {
				time.Sleep(time.Millisecond)
				o.losePower()
			}
			return
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(resendAfter)
		default:
			return
		}
	}
}

// losePower kills all control VMs, and once more 0.1 s after they have come back.
func (o *orphans) losePower() {
	for range 2 {
		note("all control VMs lose power for 5.8 s")
		for _, p := range o.control {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(5800 * time.Millisecond)
		for _, p := range o.control {
			p.start()
		}
		note("all control VMs are started again")
		time.Sleep(100 * time.Millisecond)
	}
}
