package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["other-writer"] = otherWriter; sizes["other-writer"] = [3]int{3, 4, 11} }

// otherWriter lets a heartbeat from another writer arrive for each of the two workers of a rack, which names a service that the
// configuration doesn't have. The workers' own heartbeats go on. A stored job whose second step needs this rack has to be run.
func otherWriter(c *cluster, trouble bool) int {
	rack := c.workers[9:]
	label := rack[0].labels[1]
	id := newID()
	body := jobBody("ms=1500 cpu=3100", false,
		phase{Count: 2, CPU: 3100, MemMB: 64, EstMS: 1500, Label: label},
		phase{Count: 2, CPU: 3100, MemMB: 64, EstMS: 1500, Label: label, After: []int{0}})
	if r := c.ask("POST", c.entries[0], id, body, 1500*time.Millisecond); r.status/100 != 2 {
		return couldNot
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, w := range rack {
			w.mutex.Lock()
			l := w.life
			w.mutex.Unlock()
			text, _ := json.Marshal(map[string]any{
				"service": "zz-other", "address": fmt.Sprintf("%s:%d", w.ip, c.ports.worker), "zone": w.zone, "version": "v2", "slots": 8,
				"state": "ready", "cold_remaining_ms": 0, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0},
				"labels": w.labels, "clock_ms": l.clock(), "seq_no": time.Now().Unix(), "born": l.born,
			})
			url := fmt.Sprintf("http://%s:%d/-/Instances.Heartbeat/%s", w.ip, c.ports.control, l.id)
			c.record.add("sent", w.name, "", 0, "heartbeat of another writer "+string(text))
			request, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(text))
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return couldNot
			}
			_ = response.Body.Close()
			c.record.add("answered", w.name, "", 0, fmt.Sprint("heartbeat of another writer ", response.StatusCode))
		}
	}
	// finish_s after the end of the traffic, plus the 3 s without any run.
	state := ""
	for until := time.Now().Add(24 * time.Second); time.Now().Before(until) && state != "completed"; {
		time.Sleep(500 * time.Millisecond)
		state = c.ask("GET", c.entries[1], id, nil, 1500*time.Millisecond).state()
	}
	var last time.Duration
	for _, e := range c.record.all() {
		if (e.kind == "start" || e.kind == "end") && strings.HasPrefix(e.name, id+".") {
			last = e.at
		}
	}
	idle := c.now() - last
	c.say("the job is shown as %q; its last run began or ended %.1f s ago", state, idle.Seconds())
	switch {
	case state == "completed":
		return held
	case state == "running" || state == "queued":
		if idle > 17*time.Second {
			return broken
		}
	}
	return couldNot
}
