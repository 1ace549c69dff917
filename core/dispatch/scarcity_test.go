package dispatch_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"flamingohall.example/core/bound"
	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/partition"
	"flamingohall.example/core/policy"
	"flamingohall.example/core/work"
)

// scarceKind is a kind of jobs in the loads of TestScarcity.
type scarceKind struct {
	queue    string
	priority int
	share    float64
	tasks    int
	run      time.Duration
	// worth is what a job counts in a window, so that each kind counts a third.
	worth float64
}

var scarceKinds = []scarceKind{
	{"short", 0, 0.244, 8, 60 * time.Millisecond, 4.85},
	{"plain", 1, 0.711, 2, 200 * time.Millisecond, 1.67},
	{"long", 2, 0.0445, 4, 900 * time.Millisecond, 26.7},
}

// scarceLoad is a load that exceeds the capacity of the workers for a while.
type scarceLoad struct {
	entries []float64 // the share of the arrivals at each entry
	workers int
	speeds  []float64
	// demand is the work that arrives, as a share of the workers' capacity, as a function of the time.
	demand func(now time.Duration) float64
	// longFactor multiplies the arrivals of long jobs.
	longFactor func(now time.Duration) float64
	length     time.Duration
	// tail is the share of jobs that take seven times as long as usual.
	tail float64
	// isQuick makes the simulation quick.
	quick bool
	// outage is the time before the start whose callers come back at the start.
	outage time.Duration
	// policy replaces the default one if it is set.
	policy *policy.Policy
	// recorded receives the jobs and workers of the run if it is set.
	recorded *recording
}

// scarceTally counts the jobs that arrived in one window.
type scarceTally struct {
	jobs, inTime, late, refused, other int
	worth, earned, worthInTime         float64
}

type scarceResult struct {
	windows     []scarceTally
	kinds       map[string]*scarceTally
	dataCentres []scarceTally
	// wide are the largest tenth of each kind's jobs, by the number of their tasks.
	wide map[string]*scarceTally
	// returned counts the callers of an outage, who are in none of the others.
	returned scarceTally
}

const scarceWindow = 500 * time.Millisecond

// simulateScarcity replays a load and counts its jobs by the time of their arrival, by kind and by entry.
func simulateScarcity(t *testing.T, seed uint64, load *scarceLoad) scarceResult {
	t.Helper()
	limits := defaultLimits
	if load.policy != nil {
		limits.entry.Policy, limits.sidecar.Policy = *load.policy, *load.policy
	}
	sim := newSimulation(t, seed, limits, len(load.entries), load.workers)
	sim.isQuick = load.quick
	var capacity float64
	var known []partition.Worker
	for i, w := range sim.workers {
		w.speed = load.speeds[i%len(load.speeds)]
		w.cores = 64000
		if i%3 == 2 {
			w.cores = 96000
		}
		capacity += w.speed * float64(w.cores) / 1000
		known = append(known, partition.Worker{ID: name(i), Kind: fmt.Sprint("rack", i/8)})
	}
	var parts []map[string]bool
	for i := range load.entries {
		parts = append(parts, partition.Choose(fmt.Sprint("entry", i), len(load.entries), known))
	}
	sim.isConnected = func(entry, sidecar int) bool { return parts[entry][name(sidecar)] }
	for _, entry := range sim.entries {
		entry.core.SetEntries(len(load.entries))
	}
	sim.run(time.Second)

	var coreSeconds float64
	for _, k := range scarceKinds {
		coreSeconds += k.share * float64(k.tasks) * 6.5 * k.run.Seconds()
	}
	type submitted struct {
		kind      scarceKind
		entry     int
		at        time.Duration
		objective time.Duration
		tasks     int
		// hasWaited is true for the callers of an outage.
		hasWaited bool
	}
	jobs := map[string]submitted{}
	var recorded []bound.Job
	began := sim.now
	submit := func(k scarceKind, waited time.Duration) {
		entry := sim.drawEntry(load.entries)
		id := jobID(len(jobs) + 1)
		objective, tasks := sim.submitScarce(entry, id, k, load, waited)
		jobs[id] = submitted{k, entry, sim.now - began, objective, tasks, waited > 0}
		recorded = append(recorded, sim.boundJob(id, objective))
	}
	for _, k := range scarceKinds {
		for range int(k.share * load.demand(0) * capacity / coreSeconds * load.outage.Seconds()) {
			submit(k, 1+time.Duration(sim.arrivals.Int64N(int64(load.outage))))
		}
		var arrive func()
		arrive = func() {
			if sim.now-began >= load.length {
				return
			}
			rate := k.share * load.demand(sim.now-began) * capacity / coreSeconds
			if k.queue == "long" && load.longFactor != nil {
				rate *= load.longFactor(sim.now - began)
			}
			sim.after(time.Duration(sim.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
				submit(k, 0)
				arrive()
			})
		}
		arrive()
	}
	sim.run(began + load.length + 2*time.Second)

	if load.recorded != nil {
		*load.recorded = recording{workers: sim.boundWorkers(), jobs: recorded}
	}
	result := scarceResult{
		windows: make([]scarceTally, load.length/scarceWindow+4), kinds: map[string]*scarceTally{},
		wide: map[string]*scarceTally{}, dataCentres: make([]scarceTally, 12),
	}
	for _, k := range scarceKinds {
		result.kinds[k.queue], result.wide[k.queue] = &scarceTally{}, &scarceTally{}
	}
	for id, job := range jobs {
		counted := []*scarceTally{
			&result.windows[job.at/scarceWindow], result.kinds[job.kind.queue], &result.dataCentres[dataCentreOf[min(job.entry, 11)]],
		}
		if job.hasWaited {
			counted = []*scarceTally{&result.returned}
		}
		if float64(job.tasks) >= wideFactor*float64(job.kind.tasks) {
			counted = append(counted, result.wide[job.kind.queue])
		}
		for _, counts := range counted {
			counts.jobs++
			counts.worth += job.kind.worth
			answers := sim.answers[id]
			switch {
			case len(answers) == 0:
				counts.other++
			case answers[0].Result == dispatch.Refused:
				counts.refused++
			case answers[0].Result == dispatch.Completed && answers[0].Trace.Took <= job.objective:
				counts.inTime++
				counts.earned += job.kind.worth
				counts.worthInTime += job.kind.worth
			case answers[0].Result == dispatch.Completed:
				counts.late++
				counts.earned += job.kind.worth / 5
			default:
				counts.other++
			}
		}
	}
	return result
}

// recording is what happened in a run, as far as callers and workers decide it.
type recording struct {
	workers []bound.Worker
	jobs    []bound.Job
}

func (sim *simulation) boundJob(id string, objective time.Duration) bound.Job {
	return bound.Job{ID: id, Arrived: sim.now, EndBy: sim.now + objective, Task: sim.lastTask, Count: sim.lastTasks}
}

func (sim *simulation) boundWorkers() []bound.Worker {
	var workers []bound.Worker
	for i, w := range sim.workers {
		workers = append(workers, bound.Worker{ID: name(i), MilliCores: w.cores, Speed: w.speed, Up: []bound.Period{{From: 0, Until: time.Hour}}})
	}
	return workers
}

// drawEntry returns an entry at random, by its share of the arrivals.
func (sim *simulation) drawEntry(shares []float64) int {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	draw := sim.arrivals.Float64() * total
	for i, s := range shares {
		if draw -= s; draw < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// submitScarce submits a job whose size, run time and estimate vary, and returns its true objective and number of tasks.
func (sim *simulation) submitScarce(entry int, id string, k scarceKind, load *scarceLoad, waited time.Duration) (objective time.Duration, tasks int) {
	vary := func(spread float64) float64 { return math.Exp(spread*sim.arrivals.NormFloat64() - spread*spread/2) }
	run := min(float64(k.run)*vary(0.4), 4*float64(k.run))
	tasks = min(4*k.tasks, max(1, int(math.Round(float64(k.tasks)*vary(0.4)))))
	cores := int64(min(6500*vary(0.2), 9900))
	expected := time.Duration(run * math.Exp(0.4*sim.arrivals.NormFloat64()))
	if sim.arrivals.Float64() < load.tail {
		run *= 7
	}
	sim.lastTask = bound.Task{MilliCores: cores, RunTime: time.Duration(run)}
	sim.lastTasks = tasks
	sim.entries[entry].core.Submit(sim.now, dispatch.Submission{
		ID: id, Timeout: 2500*time.Millisecond + time.Duration(run), Waited: waited, Spec: fmt.Sprintf("%v/%d", time.Duration(run), cores),
		Queue: dispatch.Queue{
			Name: k.queue, Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond, Priority: k.priority, IsShared: true,
		},
		Steps: []dispatch.Step{{
			Count: tasks, Needs: work.Needs{MilliCores: cores, MemoryMB: 64}, Expected: expected,
		}},
	})
	sim.pumpEntry(entry)
	return time.Duration(1.6*run) + 60*time.Millisecond, tasks
}

func (s *scarceTally) String() string {
	return fmt.Sprintf("%5d jobs, %.3f in time, %.3f late, %.3f refused, %.3f other, worth %.3f", s.jobs, share(s.inTime, s.jobs),
		share(s.late, s.jobs), share(s.refused, s.jobs), share(s.other, s.jobs), s.earned/s.worth)
}

// twelveEntries are the arrivals at entries of four data centres, whose callers are spread unevenly.
var (
	twelveEntries = []float64{50, 50, 50, 49, 48, 48, 48, 48, 125, 125, 88, 88}
	dataCentreOf  = []int{0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 3, 3}
)

// wideFactor is the number of tasks, relative to the mean, from which on a job belongs to the largest tenth of its kind.
const wideFactor = 1.5

// crest is a load that rises from three quarters of the capacity to well above it and falls again.
func crest(peak float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < time.Second || now > 4*time.Second {
			return 0.7
		}
		return 0.7 + (peak-0.7)*math.Sin(math.Pi*float64(now-time.Second)/float64(3*time.Second))
	}
}

// TestScarcity_CrestIsSharedByAllCallers covers a demand that rises well above the capacity and falls again, with workers of about
// equal speed and with a quarter of slow ones. Each entry accepted what seemed to fit, so that four to five jobs were late for each
// one refused and half of a window's work was late.
func TestScarcity_CrestIsSharedByAllCallers(t *testing.T) {
	for _, c := range []struct {
		name string
		load scarceLoad
	}{
		{"even workers", scarceLoad{workers: 68, speeds: []float64{0.8, 1.0, 1.25}, demand: crest(1.25)}},
		{"slow workers and long tasks", scarceLoad{workers: 70, speeds: []float64{0.55, 1.2, 1.2, 1.2}, demand: crest(1.2), tail: 0.03}},
		{"burst of long jobs", scarceLoad{
			workers: 68, speeds: []float64{0.8, 1.0, 1.25}, demand: func(time.Duration) float64 { return 0.8 },
			longFactor: func(now time.Duration) float64 {
				if now > time.Second && now < 4*time.Second {
					return 2.5
				}
				return 1
			},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.load.entries, c.load.length = twelveEntries, 5*time.Second
			result := simulateScarcity(t, 1, &c.load)
			result.check(t)
		})
	}
}

// check compares a result with what callers were promised.
func (r *scarceResult) check(t *testing.T) {
	t.Helper()
	late, refused := 0, 0
	for i := range r.windows {
		w := &r.windows[i]
		late, refused = late+w.late, refused+w.refused
		if w.jobs == 0 {
			continue
		}
		t.Logf("%v %v", time.Duration(i)*scarceWindow, w)
		if w.worthInTime/w.worth < 0.5 {
			t.Errorf("window at %v: %.2f of the work served in time, want half", time.Duration(i)*scarceWindow, w.worthInTime/w.worth)
		}
	}
	if late > refused {
		t.Errorf("%d late answers for %d refusals, want fewer", late, refused)
	}
	var kinds, dataCentres []float64
	for _, k := range scarceKinds {
		all, wide := r.kinds[k.queue], r.wide[k.queue]
		t.Logf("%s %v", k.queue, all)
		kinds = append(kinds, share(all.inTime, all.jobs))
		if 2*share(wide.inTime, wide.jobs) < share(all.inTime, all.jobs) {
			t.Errorf("%s: %.2f of the largest jobs in time, want half of the kind's %.2f", k.queue, share(wide.inTime, wide.jobs), share(all.inTime, all.jobs))
		}
	}
	for i := range r.dataCentres {
		t.Logf("data centre %d %v", i, &r.dataCentres[i])
		dataCentres = append(dataCentres, share(r.dataCentres[i].inTime, r.dataCentres[i].jobs))
	}
	if spread := slices.Max(kinds) - slices.Min(kinds); spread > 0.1 {
		t.Errorf("kinds in time differ by %.3f, want at most 0.1", spread)
	}
	if spread := slices.Max(dataCentres) - slices.Min(dataCentres); spread > 0.05 {
		t.Errorf("data centres in time differ by %.3f, want at most 0.05", spread)
	}
}
