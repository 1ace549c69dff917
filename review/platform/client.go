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

var clientHTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

type phase struct {
	Count    int   `json:"count"`
	CPU      int   `json:"cpu"`
	Memory   int   `json:"mem_mb"`
	Estimate int   `json:"est_runtime_ms"`
	After    []int `json:"after,omitempty"`
}

func jobBody(spec string, bestEffort bool, phases ...phase) []byte {
	fields := map[string]any{"spec": spec, "phases": phases}
	if bestEffort {
		fields["best_effort"] = true
	}
	text, _ := json.Marshal(fields)
	return text
}

// request sends one request and records it with its answer. The status is 0 if no complete answer arrived in time.
func (c *cluster) request(method, id string, entry *proc, wait time.Duration, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", entry.ip, c.frontPort(), prefix, id), bytes.NewReader(body))
	if err != nil {
		cannotRun("%v", err)
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	note("%s %s to %s", method, id, entry.name)
	response, err := clientHTTP.Do(r)
	if err != nil {
		note("%s %s at %s: no answer: %v", method, id, entry.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		note("%s %s at %s: broken answer", method, id, entry.name)
		return 0, ""
	}
	note("%s %s at %s: %d %s", method, id, entry.name, response.StatusCode, text)
	return response.StatusCode, string(text)
}

func stateIn(text string) string {
	var parsed struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &parsed)
	return parsed.State
}
