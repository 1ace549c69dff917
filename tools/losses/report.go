package losses

import (
	"cmp"
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"flamingohall.example/core/bound"
	"flamingohall.example/core/fault"
)

// Report says how the jobs of a period were served.
type Report struct {
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	All   Tally     `json:"all"`
	// Windows are the parts of the period, by the arrival of the jobs.
	Windows []Tally `json:"windows"`
	Queues  []Tally `json:"queues"`
	Entries []Tally `json:"entries"`
	// Workers counts the jobs whose last run was on each worker.
	Workers []Tally `json:"workers"`
	// Causes holds why jobs were not served in time, those with the most work first.
	Causes []Cause `json:"causes"`
	// Gaps says what the logs don't tell.
	Gaps []string `json:"gaps"`
	// HasPlan is false if the logs don't tell the capacity of any worker; then Planned and Utilisation are 0 everywhere.
	HasPlan bool `json:"has_plan"`
}

// Tally counts jobs.
type Tally struct {
	Name    string `json:"name"`
	Asked   int    `json:"asked"`
	InTime  int    `json:"in_time"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	GivenUp int    `json:"given_up"`
	Failed  int    `json:"failed"`
	// Planned is the number of jobs that the plan serves in time.
	Planned int `json:"planned"`
	// CoreSeconds is the work of the completed jobs, and Utilisation its part of what the workers could do; for windows only.
	CoreSeconds float64 `json:"core_seconds"`
	Utilisation float64 `json:"utilisation"`
}

// Cause is a reason why jobs were not served in time.
type Cause struct {
	Name string `json:"name"`
	Jobs int    `json:"jobs"`
	// CoreSeconds is the work of these jobs.
	CoreSeconds float64 `json:"core_seconds"`
	// Share is the part of all jobs' work.
	Share float64 `json:"share"`
}

// Read reads the logs of any number of processes, in any order. Its errors are of type *fault.Error.
func Read(window time.Duration, logs ...io.Reader) (*Report, error) {
	if window <= 0 {
		return nil, fault.New(fault.Invalid, "give a window of 100ms or more", "window %v", window)
	}
	l, err := readLogs(logs...)
	if err != nil {
		return nil, err
	}
	return l.report(window), nil
}

func (l *log) report(window time.Duration) *Report {
	report := &Report{From: l.jobs[0].arrived, Until: l.until, Gaps: l.gaps()}
	for i := range l.jobs {
		if l.jobs[i].arrived.Before(report.From) {
			report.From = l.jobs[i].arrived
		}
	}
	report.From = report.From.Truncate(window)
	speeds := l.speeds()
	for i := range l.jobs {
		l.jobs[i].judge(cmp.Or(speeds[l.jobs[i].worker], 1))
	}
	workers := l.boundWorkers(speeds, report.From, report.Until)
	var planned map[string]bool
	if report.HasPlan = len(workers) > 0 && l.withoutStages == 0; report.HasPlan {
		planned = bound.Plan(workers, l.boundJobs(report.From, speeds)).InTime
	} else {
		report.Gaps = append(report.Gaps, "there is no plan to compare with: the logs of the sidecars from their start on are needed, by a build that writes the stages of jobs")
	}

	report.count(l.jobs, planned, window)
	for i := range report.Windows {
		w := &report.Windows[i]
		at, _ := time.Parse(windowLayout, w.Name)
		begin := at.Sub(report.From)
		if could := capacityIn(workers, begin, begin+window); could > 0 {
			w.Utilisation = w.CoreSeconds / could
		}
	}
	return report
}

// count fills the tallies and causes from the jobs, given which of them the plan serves.
func (r *Report) count(jobs []job, planned map[string]bool, window time.Duration) {
	windows, queues, entries, workers := tallies{}, tallies{}, tallies{}, tallies{}
	causes, totalWork := map[string]*Cause{}, 0.0
	for i := range jobs {
		j := &jobs[i]
		if j.outcome == Left {
			continue
		}
		counted := []*Tally{&r.All, windows.of(windowName(r.From, j.arrived, window)), queues.of(j.queue), entries.of(j.node)}
		if j.worker != "" {
			counted = append(counted, workers.of(j.worker))
		}
		for _, t := range counted {
			t.add(j, planned[j.id])
		}
		totalWork += j.coreSeconds()
		if j.cause != "" {
			if causes[j.cause] == nil {
				causes[j.cause] = &Cause{Name: j.cause}
			}
			causes[j.cause].Jobs++
			causes[j.cause].CoreSeconds += j.coreSeconds()
		}
	}
	r.All.Name = "all"
	r.Windows, r.Queues, r.Entries, r.Workers = windows.sorted(), queues.sorted(), entries.sorted(), workers.sorted()
	for _, c := range causes {
		if totalWork > 0 {
			c.Share = c.CoreSeconds / totalWork
		}
		r.Causes = append(r.Causes, *c)
	}
	slices.SortFunc(r.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.CoreSeconds, a.CoreSeconds), cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Name, b.Name))
	})
}

const windowLayout = "2006-01-02T15:04:05.000Z07:00"

func windowName(from, at time.Time, window time.Duration) string {
	return from.Add(at.Sub(from).Truncate(window)).UTC().Format(windowLayout)
}

func (t *Tally) add(j *job, isPlanned bool) {
	t.Asked++
	if isPlanned {
		t.Planned++
	}
	switch j.outcome {
	case InTime:
		t.InTime++
	case Late:
		t.Late++
	case Refused:
		t.Refused++
	case GivenUp:
		t.GivenUp++
	case Failed, Left:
		t.Failed++
	}
	if j.outcome.isCompleted() {
		t.CoreSeconds += j.coreSeconds()
	}
}

// tallies holds counts by name.
type tallies map[string]*Tally

func (t tallies) of(name string) *Tally {
	if t[name] == nil {
		t[name] = &Tally{Name: name}
	}
	return t[name]
}

func (t tallies) sorted() []Tally {
	var all []Tally
	for _, name := range slices.Sorted(maps.Keys(t)) {
		all = append(all, *t[name])
	}
	return all
}

// boundWorkers returns the workers whose capacity is known, with the times in which they took tasks and their speeds.
func (l *log) boundWorkers(speeds map[string]float64, from, until time.Time) []bound.Worker {
	var workers []bound.Worker
	for _, node := range slices.Sorted(maps.Keys(l.workers)) {
		w := l.workers[node]
		if w.milliCores == 0 {
			continue
		}
		planned := bound.Worker{ID: node, MilliCores: w.milliCores, Speed: cmp.Or(speeds[node], 1), Up: w.periods(from, until)}
		workers = append(workers, planned)
	}
	return workers
}

// periods returns the times in which the worker took tasks.
func (w *workerLog) periods(from, until time.Time) []bound.Period {
	var periods []bound.Period
	var upSince time.Time
	isUp := false
	end := func(at time.Time) {
		if isUp && at.After(upSince) {
			periods = append(periods, bound.Period{From: upSince.Sub(from), Until: at.Sub(from)})
		}
	}
	for _, c := range w.changes {
		if c.isUp == isUp {
			continue
		}
		end(c.at)
		isUp, upSince = c.isUp, c.at
	}
	// Jobs that were not served would have ended somewhat later than the last one that was.
	end(until.Add(time.Minute))
	return periods
}

// speeds returns the speed of each worker: the geometric mean of expected over measured run times of jobs that ended there.
func (l *log) speeds() map[string]float64 {
	logs, counts := map[string]float64{}, map[string]float64{}
	for i := range l.jobs {
		j := &l.jobs[i]
		if j.outcome.isCompleted() && j.run > 0 && j.expected > 0 && j.worker != "" {
			logs[j.worker] += math.Log(float64(j.expected) / float64(j.run))
			counts[j.worker]++
		}
	}
	speeds := map[string]float64{}
	for worker, sum := range logs {
		speeds[worker] = math.Exp(sum / counts[worker])
	}
	return speeds
}

// boundJobs returns the jobs for the plan. The run times of jobs that didn't complete are their estimates.
func (l *log) boundJobs(from time.Time, speeds map[string]float64) []bound.Job {
	jobs := make([]bound.Job, 0, len(l.jobs))
	for i := range l.jobs {
		j := &l.jobs[i]
		if j.outcome == Left {
			continue
		}
		length := j.expected
		if j.outcome.isCompleted() {
			length = time.Duration(float64(j.run) * cmp.Or(speeds[j.worker], 1))
		}
		arrived := j.arrived.Sub(from)
		jobs = append(jobs, bound.Job{
			ID: j.id, Arrived: arrived, EndBy: arrived + j.objective, Count: int(j.tasks), Task: bound.Task{MilliCores: j.milliCores, RunTime: length},
		})
	}
	return jobs
}

// capacityIn returns what the workers could do in a window, in core-seconds.
func capacityIn(workers []bound.Worker, from, until time.Duration) float64 {
	var total float64
	for _, w := range workers {
		for _, up := range w.Up {
			if length := min(up.Until, until) - max(up.From, from); length > 0 {
				total += float64(w.MilliCores) / 1000 * length.Seconds()
			}
		}
	}
	return total
}
