package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	service = "huvo11a"
	host    = "nony24.example"
	prefix  = "/lohu930/"
)

// result is what a caller got; status 0 means no complete answer.
type result struct {
	status int
	body   string
}

func (r result) state() string {
	var parsed struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(r.body), &parsed)
	return parsed.State
}

func call(method, url, host string, body []byte, timeout time.Duration, header http.Header) result {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return result{0, err.Error()}
	}
	if host != "" {
		request.Host = host
	}
	for key, values := range header {
		request.Header[key] = values
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return result{0, err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return result{0, err.Error()}
	}
	return result{response.StatusCode, string(text)}
}

// ask sends one request of a client to an entry and records both.
func (c *cluster) ask(method string, entry *node, id string, body []byte, deadline time.Duration) result {
	c.record.add("sent", entry.name, id, 0, method)
	url := fmt.Sprintf("http://%s:%d%s%s", entry.ip, c.ports.front, prefix, id)
	header := http.Header{"Deadline-Ms": {fmt.Sprint(deadline.Milliseconds())}}
	r := call(method, url, host, body, deadline, header)
	c.record.add("answered", entry.name, id, 0, fmt.Sprintf("%s %d %s", method, r.status, r.body))
	return r
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// phase is a step of a job.
type phase struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"mem_mb"`
	EstMS      int    `json:"est_runtime_ms"`
	After      []int  `json:"after,omitempty"`
	Checkpoint bool   `json:"checkpointing,omitempty"`
	Anti       int    `json:"anti_affinity,omitempty"`
	Label      string `json:"constraints,omitempty"`
	Rack       string `json:"data_rack,omitempty"`
}

func jobBody(spec string, bestEffort bool, phases ...phase) []byte {
	values := map[string]any{"spec": spec, "phases": phases}
	if bestEffort {
		values["best_effort"] = true
	}
	text, _ := json.Marshal(values)
	return text
}
