package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["soak"] = soak; sizes["soak"] = [3]int{3, 4, 6} }

// soakJob is one stored job of the soak and what its clients saw.
type soakJob struct {
	id        string
	phases    []phase
	fail      int
	body      []byte
	mutex     sync.Mutex
	accepted  time.Duration
	cancelled time.Duration // acknowledgement of the cancel
	sentStop  time.Duration
	unclear   bool // a send without a clear answer
	rejected  int
	sends     int
	final     string
	finalAt   time.Duration
	gone      []time.Duration
}

func (c *cluster) now() time.Duration { return time.Since(c.record.begun) }

// soak hands in stored jobs under disruptions that are drawn at random, cancels some, sends some again, and judges what was seen. It isn't a
// case. FAULTS lists the kinds of disruption (see disrupt), SOAK_SECONDS is its length; LATE and LOST are the shares of late orders and lost
// answers; with WIDE, jobs have hundreds of small tasks.
func soak(c *cluster, trouble bool) int {
	seconds, _ := strconv.Atoi(os.Getenv("SOAK_SECONDS"))
	if seconds == 0 {
		seconds = 60
	}
	late, _ = strconv.ParseFloat(os.Getenv("LATE"), 64)
	lost, _ = strconv.ParseFloat(os.Getenv("LOST"), 64)
	kinds := strings.Fields(os.Getenv("FAULTS"))
	if len(kinds) == 0 {
		kinds = strings.Fields("killcore killentry killside freezecore freezeentry freezeside crash crashsame killallcore termentry termside")
	}
	var jobs []*soakJob
	var mutex sync.Mutex
	var wait sync.WaitGroup
	stop := time.Now().Add(time.Duration(seconds) * time.Second)
	if trouble {
		for range 2 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for time.Now().Before(stop) {
					time.Sleep(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
					c.disrupt(kinds[rand.IntN(len(kinds))])
				}
			}()
		}
	}
	rate := 12.0
	if os.Getenv("WIDE") != "" {
		rate = 1.5
	}
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		j := newSoakJob()
		mutex.Lock()
		jobs = append(jobs, j)
		mutex.Unlock()
		wait.Add(1)
		go func() { defer wait.Done(); c.drive(j) }()
	}
	wait.Wait()
	for _, n := range c.all() {
		_ = n.start()
	}
	time.Sleep(14 * time.Second)
	var ask sync.WaitGroup
	gate := make(chan struct{}, 20)
	for _, j := range jobs {
		if j.accepted == 0 || j.cancelled != 0 || j.sentStop != 0 || j.final != "" {
			continue
		}
		ask.Add(1)
		go func() {
			defer ask.Done()
			gate <- struct{}{}
			defer func() { <-gate }()
			for range 20 {
				r := c.ask("GET", c.entries[rand.IntN(len(c.entries))], j.id, nil, 2*time.Second)
				j.see(c, r)
				if j.final != "" {
					return
				}
				time.Sleep(400 * time.Millisecond)
			}
		}()
	}
	ask.Wait()
	return c.judge(jobs)
}

func newSoakJob() *soakJob {
	j := &soakJob{id: newID()}
	spec := "cpu=3100"
	steps := 1 + rand.IntN(3)
	for n := range steps {
		p := phase{Count: 1 + rand.IntN(5), CPU: 3100, MemMB: 64}
		ms := []int{40, 150, 400, 1200}[rand.IntN(4)]
		p.EstMS = ms
		if n > 0 && rand.IntN(4) > 0 {
			p.After = []int{rand.IntN(n)}
		}
		if rand.IntN(5) == 0 {
			p.Anti = 1 + rand.IntN(2)
			p.Count = min(p.Count, 4)
		}
		spec += fmt.Sprintf(" ms%d=%d", n, ms)
		j.phases = append(j.phases, p)
	}
	if rand.IntN(6) == 0 {
		j.fail = 1 + rand.IntN(2)
		spec += fmt.Sprintf(" fail=%d", j.fail)
	}
	if os.Getenv("WIDE") != "" {
		ms := 10 + rand.IntN(40)
		spec = fmt.Sprintf("cpu=200 ms=%d", ms)
		j.fail, j.phases = 0, []phase{{Count: 200 + rand.IntN(500), CPU: 200, MemMB: 4, EstMS: ms}, {Count: 200 + rand.IntN(500), CPU: 200, MemMB: 4, EstMS: ms, After: []int{0}}}
	}
	j.body = jobBody(spec, false, j.phases...)
	return j
}

func (c *cluster) anyEntry() *node { return c.entries[rand.IntN(len(c.entries))] }

// drive hands a job in until it has a clear answer, and asks for it.
func (c *cluster) drive(j *soakJob) {
	for range 12 {
		j.sends++
		r := c.ask("POST", c.anyEntry(), j.id, j.body, 1500*time.Millisecond)
		if r.status/100 == 2 {
			j.accepted = c.now()
			break
		}
		if r.status != 0 && r.status != 502 && r.status != 504 {
			j.rejected++
			return
		}
		j.unclear = true
		time.Sleep(retransmitMS * time.Millisecond)
	}
	if j.accepted == 0 {
		return
	}
	if rand.IntN(8) == 0 {
		go func() {
			time.Sleep(time.Duration(1000+rand.IntN(4000)) * time.Millisecond)
			c.ask("POST", c.anyEntry(), j.id, j.body, 1500*time.Millisecond)
		}()
	}
	if rand.IntN(5) == 0 {
		time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
		j.sentStop = c.now()
		for range 12 {
			r := c.ask("DELETE", c.anyEntry(), j.id, nil, 1500*time.Millisecond)
			if r.status/100 == 2 || r.status == 410 {
				j.cancelled = c.now()
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
		return
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); {
		time.Sleep(time.Duration(300+rand.IntN(700)) * time.Millisecond)
		if j.see(c, c.ask("GET", c.anyEntry(), j.id, nil, 1500*time.Millisecond)); j.final != "" {
			return
		}
	}
}

func (j *soakJob) see(c *cluster, r result) {
	if r.status == 410 {
		j.gone = append(j.gone, c.now())
	}
	if s := r.state(); s == "completed" || s == "failed" || s == "cancelled" {
		j.final, j.finalAt = s, c.now()
	}
}

func (c *cluster) disrupt(kind string) {
	pause := func() { time.Sleep(time.Duration(200+rand.IntN(1500)) * time.Millisecond) }
	hit := func(nodes []*node, how string) {
		n := nodes[rand.IntN(len(nodes))]
		switch how {
		case "kill":
			n.kill()
			pause()
			_ = n.start()
		case "term":
			c.record.add("fault", n.name, "", 0, "SIGTERM")
			select {
			case <-n.signal(15):
			case <-time.After(graceS * time.Second):
				n.kill()
			}
			_ = n.start()
		case "freeze":
			n.freeze(time.Duration(300+rand.IntN(6000)) * time.Millisecond)
		}
	}
	switch kind {
	case "killcore":
		hit(c.control, "kill")
	case "killentry":
		hit(c.entries, "kill")
	case "killside":
		hit(c.sidecars, "kill")
	case "freezecore":
		hit(c.control, "freeze")
	case "freezeentry":
		hit(c.entries, "freeze")
	case "freezeside":
		hit(c.sidecars, "freeze")
	case "termentry":
		hit(c.entries, "term")
	case "termside":
		hit(c.sidecars, "term")
	case "crash", "crashsame":
		w := c.workers[rand.IntN(len(c.workers))]
		w.mutex.Lock()
		l := w.life
		w.mutex.Unlock()
		if l == nil {
			return
		}
		c.record.add("fault", w.name, "", 0, kind)
		w.crash()
		time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
		if kind == "crashsame" {
			w.startAs(l.id)
		} else {
			w.start()
		}
	case "killallcore":
		c.record.add("fault", "core", "", 0, "all SIGKILL")
		for _, n := range c.control {
			<-n.signal(9)
		}
		pause()
		for _, n := range c.control {
			_ = n.start()
		}
	}
}

type span struct {
	event
	to    time.Duration
	how   string
	noted bool
}

const never = time.Duration(1 << 62)

// judge checks the record against the rules.
func (c *cluster) judge(jobs []*soakJob) int { return c.judgeJobs(jobs, false) }

func (c *cluster) judgeJobs(jobs []*soakJob, bestEffort bool) int {
	byID := map[string]*soakJob{}
	for _, j := range jobs {
		byID[j.id] = j
	}
	type key struct {
		place, task string
		run         uint32
	}
	open, ended := map[key]*span{}, map[key]*span{}
	spans := map[string][]*span{}
	faults := map[string][]time.Duration{}
	for _, e := range c.record.all() {
		k := key{e.place, e.name, e.run}
		switch e.kind {
		case "start":
			s := &span{event: e, to: never, how: "running"}
			open[k] = s
			spans[e.name] = append(spans[e.name], s)
		case "end":
			if s := open[k]; s != nil {
				s.to, s.how = e.at, e.detail
				ended[k] = s
				delete(open, k)
			}
		case "noted":
			if s := ended[k]; s != nil {
				s.noted = !strings.Contains(e.detail, "lapsed before")
			}
		case "down":
			for k, s := range open {
				if k.place == e.place {
					s.to, s.how = e.at, "crashed"
					delete(open, k)
				}
			}
		case "fault":
			faults[e.place] = append(faults[e.place], e.at)
		}
	}
	counts := map[string]int{}
	found := func(rule, what string, at time.Duration, detail string) {
		counts[rule]++
		if counts[rule] <= 4 {
			c.say("%s: %s at %.3f %s", rule, what, at.Seconds(), detail)
		}
	}
	inTouch := func(place string, at time.Duration) bool {
		for _, p := range []string{place, strings.Replace(place, "worker", "side", 1)} {
			for _, f := range faults[p] {
				if f > at-8*time.Second && f <= at {
					return false
				}
			}
		}
		return true
	}
	for task, list := range spans {
		parts := strings.Split(task, ".")
		j := byID[parts[0]]
		if j == nil {
			found("UNASKED", task, list[0].at, "nobody sent it")
			continue
		}
		step, _ := strconv.Atoi(parts[2])
		for n, s := range list {
			failed := 0
			for _, before := range list[:n] {
				if before.to > s.at {
					found("TWICE", task, s.at, "two runs at the same time")
				}
				if before.how == "done" && before.noted && before.to <= s.at && !bestEffort {
					found("TWICE", task, s.at, "after an end done that is taken note of")
				}
				if before.how == "failed" && before.noted {
					failed++
				}
			}
			if failed >= 2 {
				found("BUDGET", task, s.at, "")
			}
			for _, after := range j.phases[step].After {
				for index := range j.phases[after].Count {
					ok := false
					for _, other := range spans[fmt.Sprintf("%s.0.%d.%d", j.id, after, index)] {
						ok = ok || other.how == "done" && other.to <= s.at
					}
					if !ok {
						found("ORDER", task, s.at, "")
					}
				}
			}
			if limit := j.phases[step].Anti; limit > 0 {
				beside := 1
				for index := range j.phases[step].Count {
					for _, other := range spans[fmt.Sprintf("%s.0.%d.%d", j.id, step, index)] {
						if other != s && other.place == s.place && other.at <= s.at && other.to > s.at {
							beside++
						}
					}
				}
				if beside > limit {
					found("ROUTE", task, s.at, "anti_affinity")
				}
			}
			if j.cancelled != 0 && s.at > j.cancelled+cancelMS*time.Millisecond && inTouch(s.place, s.at) {
				found("UNASKED", task, s.at, fmt.Sprintf("cancelled at %.3f", j.cancelled.Seconds()))
			}
			if j.cancelled != 0 && min(s.to, c.now()) > j.cancelled+(cancelMS+stopTimeoutMS)*time.Millisecond && s.at < j.cancelled && inTouch(s.place, s.to) {
				found("UNASKED", task, s.at, fmt.Sprintf("runs on to %.3f, cancelled at %.3f", s.to.Seconds(), j.cancelled.Seconds()))
			}
			if j.accepted == 0 && j.rejected > 0 && !j.unclear {
				found("REFUSED", task, s.at, "")
			}
		}
	}
	finals := map[string]int{}
	for _, j := range jobs {
		all, failedTask := true, false
		for step, p := range j.phases {
			for index := range p.Count {
				ok, failures := false, 0
				for _, s := range spans[fmt.Sprintf("%s.0.%d.%d", j.id, step, index)] {
					ok = ok || s.how == "done" && (j.final == "" || s.to <= j.finalAt)
					if s.how == "failed" {
						failures++
					}
				}
				all = all && ok
				failedTask = failedTask || failures >= 2
			}
		}
		switch {
		case j.accepted == 0:
			finals["not accepted"]++
			continue
		case j.sentStop != 0:
			finals["cancelled"]++
			continue
		}
		finals[j.final]++
		switch j.final {
		case "completed":
			if !all {
				found("MIXED", j.id, j.finalAt, "completed before its tasks are done")
			}
		case "failed":
			if !failedTask {
				found("LOST", j.id, j.finalAt, "shown as failed without cause")
			}
		case "cancelled":
			found("LOST", j.id, j.finalAt, "shown as cancelled without cause")
		case "":
			found("LOST", j.id, c.now(), "not ended")
		}
		for _, at := range j.gone {
			if at > j.accepted+visibleMS*time.Millisecond {
				found("LOST", j.id, at, "410")
			}
		}
	}
	var keys []string
	for k := range counts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	c.say("%d jobs: %v; broken: %v %v", len(jobs), finals, keys, counts)
	if len(counts) > 0 {
		return broken
	}
	return held
}
