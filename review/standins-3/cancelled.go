package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cancelled cancels jobs that needn't be kept while they run. Some of their requests arrive a second time, seconds after they were answered.
// None of their tasks may start later than cancel_ms after the cancelling was acknowledged.
func cancelled(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, 3, 3, 8)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	client := newClient()
	acknowledged := map[string]time.Duration{}
	var mutex sync.Mutex
	var clients sync.WaitGroup
	answered := 0
	for n := range 40 {
		time.Sleep(100 * time.Millisecond)
		id := fmt.Sprintf("%016x", 0x5c0e7a21<<16+n)
		entry, other := s.entries[n%3], s.entries[(n+1)%3]
		body := map[string]any{"spec": "1000 500 check", "best_effort": true, "phases": []map[string]any{{"count": 2, "cpu": 500, "mem_mb": 32, "est_runtime_ms": 1000}}}
		clients.Add(1)
		go func() {
			defer clients.Done()
			var post sync.WaitGroup
			post.Go(func() {
				if s.send(client, entry, http.MethodPost, &s.routes[0], id, body, 4*time.Second).status == http.StatusOK {
					mutex.Lock()
					answered++
					mutex.Unlock()
				}
			})
			time.Sleep(200 * time.Millisecond)
			got := s.send(client, entry, http.MethodDelete, &s.routes[0], id, nil, time.Second)
			if got.status == http.StatusOK || got.status == http.StatusGone {
				mutex.Lock()
				acknowledged[id] = r.since()
				mutex.Unlock()
			}
			post.Wait()
			// Of every fourth job, the request arrives again.
			if trouble && n%4 == 0 {
				time.Sleep(4 * time.Second)
				s.send(client, other, http.MethodPost, &s.routes[0], id, body, 4*time.Second)
			}
		}()
	}
	clients.Wait()
	r.tell("%d cancels acknowledged, %d submissions answered 200", len(acknowledged), answered)
	var breaks []string
	s.ledger.mutex.Lock()
	defer s.ledger.mutex.Unlock()
	for _, e := range s.ledger.starts {
		id := e.task[:strings.IndexByte(e.task, '.')]
		if at, isCancelled := acknowledged[id]; isCancelled && e.at > at+3*time.Second {
			breaks = append(breaks, fmt.Sprintf("task %s: run %d at %s started at %.3f s, %.1f s after the acknowledgement of the cancelling", e.task, e.run, e.worker, e.at.Seconds(), (e.at-at).Seconds()))
		}
	}
	return breaks, nil
}
