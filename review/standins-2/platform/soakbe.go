package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["soakbe"] = soakBE; sizes["soakbe"] = [3]int{3, 4, 6} }

// soakBE is soak with jobs whose callers wait.
func soakBE(c *cluster, trouble bool) int {
	seconds, _ := strconv.Atoi(os.Getenv("SOAK_SECONDS"))
	if seconds == 0 {
		seconds = 60
	}
	late, _ = strconv.ParseFloat(os.Getenv("LATE"), 64)
	lost, _ = strconv.ParseFloat(os.Getenv("LOST"), 64)
	kinds := strings.Fields(os.Getenv("FAULTS"))
	var jobs []*soakJob
	var wait sync.WaitGroup
	stop := time.Now().Add(time.Duration(seconds) * time.Second)
	if trouble && len(kinds) > 0 {
		for range 2 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for time.Now().Before(stop) {
					time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
					c.disrupt(kinds[rand.IntN(len(kinds))])
				}
			}()
		}
	}
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(rand.ExpFloat64() / 10 * float64(time.Second)))
		j := newSoakJob()
		j.fail = 0
		ms := []int{100, 400, 1500, 4000}[rand.IntN(4)]
		for i := range j.phases {
			j.phases[i].EstMS = ms
		}
		j.body = jobBody("cpu=3100 ms="+strconv.Itoa(ms), true, j.phases...)
		jobs = append(jobs, j)
		wait.Add(1)
		go func() { defer wait.Done(); c.driveBE(j) }()
	}
	wait.Wait()
	for _, n := range c.all() {
		_ = n.start()
	}
	time.Sleep(6 * time.Second)
	for _, j := range jobs {
		j.accepted = 0
		if j.cancelled != 0 {
			j.sentStop = j.cancelled
		}
	}
	return c.judgeJobs(jobs, true)
}

func (c *cluster) driveBE(j *soakJob) {
	var stopped sync.Mutex
	isStopped := false
	if rand.IntN(3) == 0 {
		go func() {
			time.Sleep(time.Duration(50+rand.IntN(1500)) * time.Millisecond)
			for range 10 {
				r := c.ask("DELETE", c.anyEntry(), j.id, nil, 1500*time.Millisecond)
				if r.status/100 == 2 || r.status == 410 {
					stopped.Lock()
					isStopped = true
					j.cancelled = c.now()
					stopped.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	for range 4 {
		r := c.ask("POST", c.anyEntry(), j.id, j.body, 8*time.Second)
		if r.status != 0 && r.status != 502 && r.status != 504 {
			if r.status == 503 || r.status == 429 {
				j.rejected++
			}
			break
		}
		j.unclear = true
		time.Sleep(retransmitMS * time.Millisecond)
		stopped.Lock()
		end := isStopped
		stopped.Unlock()
		if end {
			return
		}
	}
}
