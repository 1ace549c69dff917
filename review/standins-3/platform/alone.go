package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// alone crashes two workers at the same moment. Each runs a long task of one queue that was started some seconds before, and one of another
// queue that is older. All tasks together take a small part of the workers. finish_s later each accepted job must have something running.
func alone(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, 3, 3, 15)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	client := newClient()
	defer client.CloseIdleConnections()
	var accepted []string
	submit := func(n int, queue *route) error {
		id := fmt.Sprintf("%016x", 0x5c0e7a21<<16+n)
		body := map[string]any{"spec": "120000 1000 batch", "phases": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 120000}}}
		if got := s.send(client, s.entries[n%3], http.MethodPost, queue, id, body, 1500*time.Millisecond); got.status != http.StatusOK {
			return fmt.Errorf("job %s was not accepted: %d %v", id, got.status, got.err)
		}
		accepted = append(accepted, id)
		time.Sleep(20 * time.Millisecond)
		return nil
	}
	// The jobs of one queue, until each worker has one, and 25 s later those of the other queue.
	for n := 0; n < 60 && !s.eachHas(func(string) bool { return true }); n++ {
		if err := submit(n, &s.routes[1]); err != nil {
			return nil, err
		}
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(25 * time.Second)
	older := len(accepted)
	for n := range 12 {
		if err := submit(100+n, &s.routes[0]); err != nil {
			return nil, err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	// Two workers with young tasks, those with the fewest.
	var victims []*worker
	counts := map[*worker]int{}
	young := map[string]bool{}
	for _, id := range accepted[older:] {
		young[id] = true
	}
	for _, w := range s.workers {
		w.mutex.Lock()
		count := 0
		for task := range w.running {
			if young[task[:strings.IndexByte(task, '.')]] {
				count++
			}
		}
		w.mutex.Unlock()
		if count > 0 {
			victims, counts[w] = append(victims, w), count
		}
	}
	if len(victims) < 2 {
		return nil, fmt.Errorf("no two workers have a young task each")
	}
	slices.SortStableFunc(victims, func(a, b *worker) int { return counts[a] - counts[b] })
	victims = victims[:2]
	if trouble {
		for n, w := range victims {
			w.crash()
			time.AfterFunc(4*time.Second, func() { _ = w.start(fmt.Sprintf("i-9c0d%04x", n)) })
		}
	}
	// The traffic has ended. Some jobs come before, to the workers that are back.
	time.Sleep(5500 * time.Millisecond)
	for n := range 24 {
		if s.eachHas(func(string) bool { return true }) {
			break
		}
		if err := submit(200+n, &s.routes[1]); err != nil {
			r.say("%v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.tell("%d jobs accepted; the traffic has ended", len(accepted))
	time.Sleep(14 * time.Second)
	return s.idleJobs(accepted, 1000*(len(accepted))), nil
}

// eachHas reports whether each worker that is up runs a task of the kind.
func (s *site) eachHas(is func(task string) bool) bool {
	for _, w := range s.workers {
		w.mutex.Lock()
		has := !w.up
		for task := range w.running {
			has = has || is(task)
		}
		w.mutex.Unlock()
		if !has {
			return false
		}
	}
	return true
}

// idleJobs asks for the accepted jobs and returns those that are not done and have nothing running for 3 s.
func (s *site) idleJobs(accepted []string, used int) []string {
	client := newClient()
	defer client.CloseIdleConnections()
	open := map[string]bool{}
	for _, id := range accepted {
		got := s.send(client, s.entries[0], http.MethodGet, &s.routes[0], id, nil, 1500*time.Millisecond)
		var state struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(got.body), &state)
		if got.status == http.StatusOK && (state.State == "queued" || state.State == "running") {
			open[id] = true
		}
	}
	began := time.Now()
	for ; time.Since(began) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
		for _, w := range s.workers {
			w.mutex.Lock()
			for task := range w.running {
				delete(open, task[:strings.IndexByte(task, '.')])
			}
			w.mutex.Unlock()
		}
	}
	var breaks []string
	for id := range open {
		breaks = append(breaks, fmt.Sprintf("job %s is not done 14 s after the end of the traffic, and has had nothing running for 4 s; of %d workers with %d, all tasks use at most %d", id, len(s.workers), workerCPU, used))
	}
	return breaks
}
