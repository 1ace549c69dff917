package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancelled"] = cancelled }

// cancelled: an entry freezes for 5 s while jobs are handed in at it. Their callers get no answer, leave at their deadlines, and cancel the
// jobs at another entry. Nothing of a job may start later than cancel_ms after the acknowledgement of its cancel.
func cancelled() {
	c := startCluster(3, 4, 8, oneRoute(3))
	type job struct {
		id    string
		acked time.Duration
	}
	var jobs []*job
	var mutex sync.Mutex
	frozen := c.entries[0]
	for round := range 10 {
		var open sync.WaitGroup
		note("round %d", round)
		for range 35 {
			j := &job{id: newID()}
			mutex.Lock()
			jobs = append(jobs, j)
			mutex.Unlock()
			open.Go(func() {
				body := jobBody("cpu=3100 ms=200 job="+j.id, false, phase{Count: 2, CPU: 3100, Memory: 64, Estimate: 200})
				if status, _ := c.request(http.MethodPost, j.id, frozen, 1500*time.Millisecond, body); status != 0 {
					return
				}
				for {
					status, _ := c.request(http.MethodDelete, j.id, c.entries[1], 1500*time.Millisecond, nil)
					if status/100 == 2 || status == http.StatusGone {
						j.acked = now()
						return
					}
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		if trouble {
			time.Sleep(time.Duration(1+round) * time.Millisecond)
			frozen.freeze(5 * time.Second)
		}
		open.Wait()
		time.Sleep(3500 * time.Millisecond)
	}
	var broken []string
	acked := 0
	for _, j := range jobs {
		if j.acked == 0 {
			continue
		}
		acked++
		for _, s := range record.spansOf(j.id) {
			if s.from > j.acked+cancelTime {
				broken = append(broken, fmt.Sprintf("UNASKED: %s starts at %.3f, but its cancel was acknowledged at %.3f", s.task, s.from.Seconds(), j.acked.Seconds()))
			}
		}
	}
	fmt.Println(len(jobs), "jobs,", acked, "cancels acknowledged")
	verdict(broken)
}
