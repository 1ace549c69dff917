package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = soak }

type soakJob struct {
	id         string
	stored     bool
	phases     []phase
	fails      int
	statuses   []int
	accepted   time.Duration
	cancelled  time.Duration
	cancelSent bool
	shown      string
	shownAt    time.Duration
	gone       []string
	answer     string
}

func soak() {
	c := startCluster(3, 4, 6, oneRoute(3))
	length := envMS("LENGTH", 40000)
	rate := envInt("RATE", 25)
	storedShare := envInt("STORED", 80)
	var jobs []*soakJob
	var open sync.WaitGroup
	stop := now() + length
	done := make(chan struct{})
	var faults sync.WaitGroup
	for _, kind := range strings.Split(os.Getenv("FAULTS"), ",") {
		if kind != "" && trouble {
			faults.Go(func() { c.inject(kind, done) })
		}
	}
	for now() < stop {
		time.Sleep(time.Duration(rand.ExpFloat64() / float64(rate) * float64(time.Second)))
		j := &soakJob{id: newID(), stored: rand.IntN(100) < storedShare}
		ms, cpu := []int{30, 200, 900, 2000}[rand.IntN(4)], 1000
		steps, count := 1+rand.IntN(3), 1+rand.IntN(6)
		if rand.IntN(60) == 0 && j.stored {
			ms, cpu, steps, count = 20, 200, 1, 600+rand.IntN(800)
		}
		if !j.stored {
			ms, steps = []int{30, 200, 600}[rand.IntN(3)], 1
		}
		if rand.IntN(4) == 0 {
			j.fails = 1 + rand.IntN(2)
		}
		for s := range steps {
			p := phase{Count: count, CPU: cpu, Memory: 64, Estimate: ms}
			if s > 0 {
				p.After = []int{s - 1}
			}
			j.phases = append(j.phases, p)
		}
		jobs = append(jobs, j)
		body := jobBody(fmt.Sprintf("cpu=%d ms=%d fail=%d job=%s", cpu, ms, j.fails, j.id), !j.stored, j.phases...)
		open.Go(func() { c.play(j, body) })
	}
	close(done)
	faults.Wait()
	open.Wait()
	note("traffic has ended")
	for end := now() + finishTime + 4*time.Second; now() < end; time.Sleep(500 * time.Millisecond) {
		left := 0
		for _, j := range jobs {
			if j.stored && j.accepted > 0 && j.shown == "" {
				left++
				c.ask(j)
			}
		}
		if left == 0 {
			break
		}
	}
	c.judge(jobs)
}

func (c *cluster) anyEntry() *proc { return c.entries[rand.IntN(len(c.entries))] }

func (c *cluster) play(j *soakJob, body []byte) {
	for n := 0; n < 12; n++ {
		status, text := c.request(http.MethodPost, j.id, c.anyEntry(), 1500*time.Millisecond, body)
		j.statuses = append(j.statuses, status)
		if status/100 == 2 {
			j.accepted, j.answer = now(), stateIn(text)
			break
		}
		if status == 503 || status == 429 {
			time.Sleep(time.Second)
			if rand.IntN(2) == 0 {
				return
			}
			continue
		}
		time.Sleep(resendTime)
	}
	if j.accepted == 0 || !j.stored {
		return
	}
	if rand.IntN(6) == 0 {
		time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
		j.cancelSent = true
		for range 20 {
			status, _ := c.request(http.MethodDelete, j.id, c.anyEntry(), 1500*time.Millisecond, nil)
			if status/100 == 2 || status == 410 {
				j.cancelled = now()
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
		return
	}
	if rand.IntN(4) == 0 {
		time.Sleep(time.Duration(1000+rand.IntN(3000)) * time.Millisecond)
		c.request(http.MethodPost, j.id, c.anyEntry(), 1500*time.Millisecond, body)
	}
	for range 6 {
		time.Sleep(time.Duration(500+rand.IntN(1000)) * time.Millisecond)
		if c.ask(j); j.shown != "" {
			return
		}
	}
}

func (c *cluster) ask(j *soakJob) {
	entry := c.anyEntry()
	sent := now()
	status, text := c.request(http.MethodGet, j.id, entry, 1500*time.Millisecond, nil)
	if status == 410 && sent > j.accepted+3*time.Second && !j.cancelSent {
		j.gone = append(j.gone, fmt.Sprintf("%s at %.3f", entry.name, sent.Seconds()))
	}
	if s := stateIn(text); s == "completed" || s == "failed" || s == "cancelled" {
		j.shown, j.shownAt = s, now()
	}
}

func (c *cluster) inject(kind string, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(1000+rand.IntN(4000)) * time.Millisecond):
		}
		var p *proc
		what, class, _ := strings.Cut(kind, "-")
		switch class {
		case "control":
			p = c.control[rand.IntN(len(c.control))]
		case "leader":
			p = c.leader()
		case "entry":
			p = c.anyEntry()
		case "sidecar":
			p = c.sidecars[rand.IntN(len(c.sidecars))]
		}
		down := time.Duration(300+rand.IntN(3200)) * time.Millisecond
		switch what {
		case "kill":
			note("kill %s for %v", p.name, down)
			p.kill()
			time.Sleep(down)
			p.start()
		case "freeze":
			p.freeze(down)
		case "term":
			note("SIGTERM to %s", p.name)
			select {
			case <-p.signal(syscall.SIGTERM):
			case <-time.After(6 * time.Second):
				p.kill()
			}
			p.start()
		case "herd":
			note("herd kill of control for %v", down)
			for _, p := range c.control {
				p.signal(syscall.SIGKILL)
			}
			time.Sleep(down)
			for _, p := range c.control {
				p.start()
			}
		case "blink":
			for range 6 {
				w := c.workers[rand.IntN(len(c.workers))]
				short := time.Duration(5+rand.IntN(60)) * time.Millisecond
				note("crash of %s for %v", w.name, short)
				w.crash()
				time.Sleep(short)
				w.start("i-" + w.name)
				time.Sleep(150 * time.Millisecond)
			}
		case "crash":
			w := c.workers[rand.IntN(len(c.workers))]
			note("crash of %s for %v", w.name, down)
			w.crash()
			time.Sleep(down)
			w.start("i-" + w.name)
		}
		note("over: %s", kind)
	}
}

func (c *cluster) judge(jobs []*soakJob) {
	var broken []string
	stored := map[string]*soakJob{}
	counts := map[string]int{}
	for _, j := range jobs {
		if j.stored {
			stored[j.id] = j
		}
		runs := record.spansOf(j.id)
		rejectedAll := len(j.statuses) > 0 && !slices.ContainsFunc(j.statuses, func(s int) bool { return s != 503 && s != 429 })
		if rejectedAll && len(runs) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was rejected %v, but has %d runs", j.id, j.statuses, len(runs)))
		}
		for _, s := range runs {
			if j.cancelled > 0 && s.from > j.cancelled+cancelTime {
				broken = append(broken, fmt.Sprintf("UNASKED: %s starts at %.3f, cancel acked at %.3f", s.task, s.from.Seconds(), j.cancelled.Seconds()))
			}
		}
		done := map[string]time.Duration{}
		fails := map[string]int{}
		for _, s := range runs {
			if s.how == "done" {
				if at, known := done[s.task]; !known || s.to < at {
					done[s.task] = s.to
				}
			}
			if s.how == "failed" {
				fails[s.task]++
				if j.stored && fails[s.task] > 3 {
					broken = append(broken, "BUDGET: "+s.task)
				}
			}
		}
		total := 0
		for i, p := range j.phases {
			total += p.Count
			for _, s := range runs {
				if strings.HasPrefix(s.task, fmt.Sprintf("%s.0.%d.", j.id, i)) {
					for _, after := range p.After {
						for x := range j.phases[after].Count {
							if at, known := done[fmt.Sprintf("%s.0.%d.%d", j.id, after, x)]; !known || at > s.from {
								broken = append(broken, fmt.Sprintf("ORDER: %s starts at %.3f before step %d is done", s.task, s.from.Seconds(), after))
							}
						}
					}
				}
			}
		}
		completed := j.answer == "completed" || j.shown == "completed"
		if completed && len(done) < total {
			broken = append(broken, fmt.Sprintf("MIXED: %s is shown as completed, %d of %d tasks are done", j.id, len(done), total))
		}
		if !j.stored || j.accepted == 0 || j.cancelSent {
			counts["other "+j.answer+j.shown]++
			continue
		}
		counts[j.shown]++
		switch {
		case j.shown == "":
			broken = append(broken, fmt.Sprintf("LOST: %s never ends, %d runs, %d of %d tasks done", j.id, len(runs), len(done), total))
		case j.shown != "completed":
			broken = append(broken, fmt.Sprintf("LOST: %s is shown as %s", j.id, j.shown))
		}
		for _, g := range j.gone {
			broken = append(broken, fmt.Sprintf("LOST: %s is gone for %s, accepted at %.3f", j.id, g, j.accepted.Seconds()))
		}
	}
	fmt.Println(len(jobs), "jobs", counts)
	broken = append(broken, record.twice(func(task string) bool { id, _, _ := strings.Cut(task, "."); return stored[id] != nil })...)
	verdict(broken)
}
