// Package catalogue holds the operators' declarations: owners with their quotas, pools of workers, and entries with
// their class and limits.
package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"flamingohall.example/core/fault"
)

// Class says whether an entry's tasks may be started more than once.
type Class string

const (
	// Repeatable tasks have no lasting effects, so they may be retried and hedged.
	Repeatable Class = "repeatable"
	// NeverRepeated tasks start at most once.
	NeverRepeated Class = "never_repeated"
)

// Limits of a document.
const (
	// MaxDocumentBytes is the maximum size of the text of a catalogue.
	MaxDocumentBytes = 1 << 20
	// MaxTasksPerJob is the maximum number of tasks in a job.
	MaxTasksPerJob = 1400
	// MaxDeadlineMS is the maximum default deadline of an entry, in milliseconds.
	MaxDeadlineMS = 15 * 60 * 1000
	// MaxAttempts is the maximum number of starts of one task.
	MaxAttempts = 1000
)

// Document is one revision of the catalogue.
type Document struct {
	Owners  []Owner `json:"owners"`
	Entries []Entry `json:"entries"`
	// Pools lists the pools that entries may use. If it is empty, entries may use any pool name.
	Pools []Pool `json:"pools,omitempty"`
}

// Pool is a set of workers.
type Pool struct {
	Name string `json:"name"`
	// Sharing says how the pool's entries share its capacity when it is scarce. It defaults to SharingNone.
	Sharing Sharing `json:"sharing,omitempty"`
	// Reservations lets a worker of the pool keep capacity idle for a large task that waits there (see package reserve).
	Reservations bool `json:"reservations,omitempty"`
}

// Sharing says how entries share the capacity of a pool.
type Sharing string

const (
	// SharingNone means that each job is admitted by its own expected wait.
	SharingNone Sharing = "none"
	// SharingPriority means that all entries refuse about the same part of their jobs, those with lower priority a larger one.
	SharingPriority Sharing = "priority"
)

// Owner is a team with a share of the capacity and quotas.
type Owner struct {
	Name string `json:"name"`
	// Weight is the owner's relative share under contention, at least 1. It defaults to 1.
	Weight int `json:"weight"`
	// Running limits the owner's running tasks; 0 means no limit.
	Running int `json:"running,omitempty"`
	// StartsPerSecond limits the rate of accepted task starts; 0 means no limit.
	StartsPerSecond float64 `json:"starts_per_second,omitempty"`
}

// Entry is a type of task that callers may submit.
type Entry struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Class Class  `json:"class"`
	// Pool is the name of the pool whose workers run the entry's tasks.
	Pool string `json:"pool"`
	// Slots, Cores, MemoryMB and Accelerators are the declared resource requirements of one task. Slots defaults to 1.
	Slots        int     `json:"slots,omitempty"`
	Cores        float64 `json:"cores,omitempty"`
	MemoryMB     int     `json:"memory_mb,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
	// ExpectedRunMS is the declared run time of one task in milliseconds.
	ExpectedRunMS int `json:"expected_run_ms"`
	// DeadlineMS is the default deadline of a submission, in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
	// MaxTasks is the maximum number of tasks in a job. It defaults to MaxTasksPerJob.
	MaxTasks int `json:"max_tasks,omitempty"`
	// Attempts is the maximum number of starts of one repeatable task. It defaults to 3.
	Attempts  int       `json:"attempts,omitempty"`
	Objective Objective `json:"objective"`
	// Address selects the entry for HTTP requests; nil if callers can only select it by name.
	Address *Address `json:"address,omitempty"`
	// Priority orders entries; 0 is the highest priority.
	Priority int `json:"priority,omitempty"`
}

// Address selects HTTP requests by host and path.
type Address struct {
	// Host is compared case-insensitively and without the port.
	Host string `json:"host"`
	// Prefix is the path prefix. If several match, the longest one is used.
	Prefix string `json:"prefix"`
}

// Objective is the service level objective of an entry.
type Objective struct {
	// LatencyMS is the maximum response time of a good submission, in milliseconds.
	LatencyMS int `json:"latency_ms"`
	// Ratio is the required fraction of good submissions, between 0 and 1, both excluded.
	Ratio float64 `json:"ratio"`
	// Slack is added to LatencyMS, as a multiple of the time that the submission's work takes on idle workers.
	Slack float64 `json:"slack,omitempty"`
}

// Default values of optional fields.
const (
	defaultSlots    = 1
	defaultAttempts = 3
	defaultWeight   = 1
)

// Parse reads a document from JSON with comments, sets default values and checks it. Its errors are *fault.Error.
func Parse(text []byte) (Document, error) {
	var doc Document
	if len(text) > MaxDocumentBytes {
		return doc, fault.New(fault.TooLarge, "reduce the number of entries",
			"catalogue of %d bytes exceeds the limit of %d", len(text), MaxDocumentBytes)
	}
	standardJSON, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return doc, fault.New(fault.Malformed, "correct the JSON at the position in the message", "catalogue: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standardJSON))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&doc); err != nil {
		return doc, fault.New(fault.Malformed, "see docs/OPERATIONS.md for the fields", "catalogue: %v", err)
	}
	doc.fillDefaults()
	if problems := doc.check(); len(problems) > 0 {
		return doc, fault.New(fault.Invalid, "correct each of these problems and apply the catalogue again",
			"catalogue has %d problems: %s", len(problems), strings.Join(problems, "; "))
	}
	return doc, nil
}

// Entry returns the entry with the name.
func (d Document) Entry(name string) (Entry, bool) {
	for _, entry := range d.Entries {
		if entry.Name == name {
			return entry, true
		}
	}
	return Entry{}, false
}

// Pool returns the pool with the name.
func (d Document) Pool(name string) (Pool, bool) {
	for _, pool := range d.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// Owner returns the owner with the name.
func (d Document) Owner(name string) (Owner, bool) {
	for _, owner := range d.Owners {
		if owner.Name == name {
			return owner, true
		}
	}
	return Owner{}, false
}

func (d *Document) fillDefaults() {
	for i := range d.Owners {
		if d.Owners[i].Weight == 0 {
			d.Owners[i].Weight = defaultWeight
		}
	}
	for i := range d.Entries {
		d.Entries[i].fillDefaults()
	}
}

func (e *Entry) fillDefaults() {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	if e.MaxTasks == 0 {
		e.MaxTasks = MaxTasksPerJob
	}
	if e.Attempts == 0 {
		e.Attempts = defaultAttempts
	}
	if e.Class == NeverRepeated {
		e.Attempts = 1
	}
}

func (d Document) check() []string {
	var problems []string
	owners := map[string]bool{}
	for _, owner := range d.Owners {
		problems = append(problems, owner.check(owners)...)
		owners[owner.Name] = true
	}
	pools := map[string]bool{}
	for _, pool := range d.Pools {
		if pools[pool.Name] || pool.Name == "" {
			problems = append(problems, fmt.Sprintf("pool %q is declared twice or has no name", pool.Name))
		}
		if pool.Sharing != "" && pool.Sharing != SharingNone && pool.Sharing != SharingPriority {
			problems = append(problems, fmt.Sprintf("pool %q: sharing is %q; give %q or %q", pool.Name, pool.Sharing, SharingNone, SharingPriority))
		}
		pools[pool.Name] = true
	}
	entries := map[string]bool{}
	addresses := map[Address]string{}
	for _, entry := range d.Entries {
		if entries[entry.Name] {
			problems = append(problems, fmt.Sprintf("entry %q is declared twice", entry.Name))
		}
		entries[entry.Name] = true
		problems = append(problems, entry.check(owners)...)
		if len(d.Pools) > 0 && !pools[entry.Pool] {
			problems = append(problems, fmt.Sprintf("entry %q: pool %q is not declared", entry.Name, entry.Pool))
		}
		problems = append(problems, entry.checkAddress(addresses)...)
	}
	return problems
}

// checkAddress checks the entry's address and adds it to those of the earlier entries.
func (e Entry) checkAddress(taken map[Address]string) []string {
	if e.Address == nil {
		return nil
	}
	if e.Address.Host == "" || !strings.HasPrefix(e.Address.Prefix, "/") {
		return []string{fmt.Sprintf("entry %q: address must have a host and a prefix that begins with /", e.Name)}
	}
	address := Address{Host: strings.ToLower(e.Address.Host), Prefix: e.Address.Prefix}
	if other, found := taken[address]; found {
		return []string{fmt.Sprintf("entry %q: address %s%s is used by entry %q",
			e.Name, address.Host, address.Prefix, other)}
	}
	taken[address] = e.Name
	return nil
}

func (o Owner) check(earlier map[string]bool) []string {
	var problems []string
	if o.Name == "" {
		problems = append(problems, "an owner has no name")
	}
	if earlier[o.Name] {
		problems = append(problems, fmt.Sprintf("owner %q is declared twice", o.Name))
	}
	if o.Weight < 1 {
		problems = append(problems, fmt.Sprintf("owner %q: weight must be 1 or more", o.Name))
	}
	if o.Running < 0 || o.StartsPerSecond < 0 {
		problems = append(problems, fmt.Sprintf("owner %q: quotas can't be negative", o.Name))
	}
	return problems
}

func (e Entry) check(owners map[string]bool) []string {
	var problems []string
	fail := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("entry %q: ", e.Name)+fmt.Sprintf(format, args...))
	}
	if e.Name == "" {
		fail("name is missing")
	}
	if !owners[e.Owner] {
		fail("owner %q is not declared", e.Owner)
	}
	if e.Class != Repeatable && e.Class != NeverRepeated {
		fail("class must be %q or %q", Repeatable, NeverRepeated)
	}
	if e.Pool == "" {
		fail("pool is missing")
	}
	e.checkLimits(fail)
	return problems
}

// checkLimits reports numbers out of range through fail.
func (e Entry) checkLimits(fail func(format string, args ...any)) {
	if e.ExpectedRunMS < 1 {
		fail("expected_run_ms must be 1 or more")
	}
	if e.DeadlineMS < 1 || e.DeadlineMS > MaxDeadlineMS {
		fail("deadline_ms must be between 1 and %d", MaxDeadlineMS)
	}
	if e.MaxTasks < 1 || e.MaxTasks > MaxTasksPerJob {
		fail("max_tasks must be between 1 and %d", MaxTasksPerJob)
	}
	if e.Attempts < 1 || e.Attempts > MaxAttempts {
		fail("attempts must be between 1 and %d", MaxAttempts)
	}
	if e.Slots < 1 || e.Cores < 0 || e.MemoryMB < 0 || e.Accelerators < 0 {
		fail("cores, memory_mb and accelerators can't be negative, and slots must be 1 or more")
	}
	e.checkObjective(fail)
}

func (e Entry) checkObjective(fail func(format string, args ...any)) {
	if e.Priority < 0 || e.Objective.Slack < 0 {
		fail("priority and objective.slack can't be negative")
	}
	if e.Objective.LatencyMS < 1 || e.Objective.Ratio <= 0 || e.Objective.Ratio >= 1 {
		fail("objective must have a latency_ms of 1 or more and a ratio between 0 and 1")
	}
}
