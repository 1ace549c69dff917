package client

import (
	"context"
	"encoding/json"
	"net/http"

	"flamingohall.example/core/fault"
)

// Processes reads the metrics of processes at their internal addresses.
type Processes struct {
	urls []string
	http *http.Client
}

// Process is the metrics of one process at one time.
type Process struct {
	// Address is as it was given.
	Address string
	// Counters are the integer metrics by role, node id and name.
	Counters map[string]map[string]map[string]int64
	// HeapBytes is the memory that the Go runtime holds from the system, in bytes.
	HeapBytes int64
}

// NewProcesses returns a reader of the processes at addresses (host:port or URLs).
func NewProcesses(addresses []string) *Processes {
	processes := &Processes{http: &http.Client{Transport: newTransport()}}
	for _, address := range addresses {
		processes.urls = append(processes.urls, baseURL(address))
	}
	return processes
}

// Read returns the metrics of every process. All must answer.
func (p *Processes) Read(ctx context.Context) ([]Process, error) {
	reader := &Entries{http: p.http}
	list := make([]Process, 0, len(p.urls))
	for _, base := range p.urls {
		text, err := reader.send(ctx, http.MethodGet, base+"/debug/vars", nil)
		if err != nil {
			found := fault.Of(err)
			return nil, fault.New(found.Kind, "check that the process runs", "metrics of %s: %s", base, found.Message)
		}
		process, err := parseProcess(base, text)
		if err != nil {
			return nil, err
		}
		list = append(list, process)
	}
	return list, nil
}

// published is the part of a process's expvar page that is read.
type published struct {
	Roles    map[string]map[string]map[string]json.RawMessage `json:"flamingohall"`
	MemStats struct {
		Sys int64
	} `json:"memstats"`
}

func parseProcess(address string, text []byte) (Process, error) {
	var read published
	if err := json.Unmarshal(text, &read); err != nil {
		return Process{}, fault.New(fault.Internal, "check that the address is a process's internal address",
			"metrics of %s: %v", address, err)
	}
	process := Process{Address: address, HeapBytes: read.MemStats.Sys, Counters: map[string]map[string]map[string]int64{}}
	for role, byNode := range read.Roles {
		process.Counters[role] = map[string]map[string]int64{}
		for nodeID, values := range byNode {
			process.Counters[role][nodeID] = integers(values)
		}
	}
	return process, nil
}

// integers keeps the metrics that are whole numbers.
func integers(values map[string]json.RawMessage) map[string]int64 {
	kept := map[string]int64{}
	for name, text := range values {
		var value int64
		if json.Unmarshal(text, &value) == nil {
			kept[name] = value
		}
	}
	return kept
}
