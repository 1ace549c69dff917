package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// blocked takes down all processes of the core at the same moment, for 1.3 s, while jobs with short tasks arrive. Each worker has one long task beside them,
// which takes a small part of its capacity. The traffic ends; finish_s later each accepted job must be done, or have something running.
func blocked(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, 3, 3, 8)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	client := newClient()
	defer client.CloseIdleConnections()
	// One long task on each worker: anti_affinity.
	long := map[string]any{"spec": "100000 1000 batch", "phases": []map[string]any{{
		"count": len(s.workers), "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 100000, "anti_affinity": 1,
	}}}
	if got := s.send(client, s.entries[0], http.MethodPost, &s.routes[1], "00000000000000aa", long, 1500*time.Millisecond); got.status != http.StatusOK {
		return nil, fmt.Errorf("the long job was not accepted: %d %v", got.status, got.err)
	}
	time.Sleep(2 * time.Second)
	// Jobs of three steps of short tasks, one after the other.
	var mutex sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	traffic := func(first int, length time.Duration) {
		began := time.Now()
		for n := first; time.Since(began) < length; n++ {
			time.Sleep(15 * time.Millisecond)
			id := fmt.Sprintf("%016x", 0x5c0e7a21<<16+n)
			clients.Add(1)
			go func() {
				defer clients.Done()
				step := func(after []int) map[string]any {
					fields := map[string]any{"count": 3, "cpu": 500, "mem_mb": 32, "est_runtime_ms": 300}
					if after != nil {
						fields["after"] = after
					}
					return fields
				}
				body := map[string]any{"spec": "300 500 check", "phases": []map[string]any{step(nil), step([]int{0}), step([]int{1})}}
				if s.send(client, s.entries[n%len(s.entries)], http.MethodPost, &s.routes[0], id, body, 1500*time.Millisecond).status == http.StatusOK {
					mutex.Lock()
					accepted = append(accepted, id)
					mutex.Unlock()
				}
			}()
		}
	}
	go func() {
		time.Sleep(4 * time.Second)
		if !trouble {
			return
		}
		for _, m := range s.control {
			go func() {
				m.kill()
				m.settings["bootstrap"] = false
				time.Sleep(1300 * time.Millisecond)
				_ = m.start()
			}()
		}
	}()
	traffic(0, 12*time.Second)
	clients.Wait()
	r.tell("%d jobs accepted; the traffic has ended", len(accepted))
	time.Sleep(14 * time.Second)
	// A job that isn't done is asked for and watched for 4 s.
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
	idle := map[string]time.Duration{}
	for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(50 * time.Millisecond) {
		running := map[string]bool{}
		for _, w := range s.workers {
			w.mutex.Lock()
			for task := range w.running {
				running[task[:strings.IndexByte(task, '.')]] = true
			}
			w.mutex.Unlock()
		}
		for id := range open {
			if running[id] {
				delete(open, id)
				continue
			}
			idle[id] = time.Since(began)
		}
	}
	var breaks []string
	for id := range open {
		if idle[id] > 3*time.Second {
			breaks = append(breaks, fmt.Sprintf("job %s is not done 14 s after the end of the traffic, and has had nothing running for %.1f s; the workers use 1000 of 32000", id, idle[id].Seconds()))
		}
	}
	return breaks, nil
}
