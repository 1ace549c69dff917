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

// Process holds the metrics of one process, as read at one time.
type Process struct {
	// Address is the base URL of the process.
	Address string
	// Counters holds the integer metrics by role, node id and name.
	Counters map[string]map[string]map[string]int64
	// RuntimeBytes is the memory that the Go runtime has obtained from the operating system, in bytes.
	RuntimeBytes int64
}

// NewProcesses returns a reader of the processes at addresses (host:port or URLs).
func NewProcesses(addresses []string) *Processes {
	processes := &Processes{http: &http.Client{Transport: newTransport()}}
	for _, address := range addresses {
		processes.urls = append(processes.urls, baseURL(address))
	}
	return processes
}

// Read returns the metrics of all processes. It fails if any of them doesn't answer.
func (p *Processes) Read(ctx context.Context) ([]Process, error) {
	reader := &Entries{http: p.http}
	list := make([]Process, 0, len(p.urls))
	for _, base := range p.urls {
		text, err := reader.send(ctx, http.MethodGet, base+"/debug/vars", nil)
		if err != nil {
			failure := fault.Of(err)
			return nil, fault.New(failure.Kind, "check that the process runs", "metrics of %s: %s", base, failure.Message)
		}
		process, err := parseProcess(base, text)
		if err != nil {
			return nil, err
		}
		list = append(list, process)
	}
	return list, nil
}

// expvarPage is the part of a process's expvar page that is used.
type expvarPage struct {
	Roles    map[string]map[string]map[string]json.RawMessage `json:"flamingohall"`
	MemStats struct {
		Sys int64
	} `json:"memstats"`
}

func parseProcess(address string, text []byte) (Process, error) {
	var vars expvarPage
	if err := json.Unmarshal(text, &vars); err != nil {
		return Process{}, fault.New(fault.Internal, "check that the address is a process's internal address",
			"metrics of %s: %v", address, err)
	}
	process := Process{Address: address, RuntimeBytes: vars.MemStats.Sys, Counters: map[string]map[string]map[string]int64{}}
	for role, byNode := range vars.Roles {
		process.Counters[role] = map[string]map[string]int64{}
		for nodeID, values := range byNode {
			process.Counters[role][nodeID] = integers(values)
		}
	}
	return process, nil
}

// integers returns the metrics that are integers.
func integers(values map[string]json.RawMessage) map[string]int64 {
	counters := map[string]int64{}
	for name, text := range values {
		var value int64
		if json.Unmarshal(text, &value) == nil {
			counters[name] = value
		}
	}
	return counters
}
