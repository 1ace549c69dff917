package dispatch_test

import (
	"math"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// jobKind is one of the three kinds of jobs in the users' workload, with one task per slot.
type jobKind struct {
	queue string
	share float64
	tasks int
	run   time.Duration
}

var mix = []jobKind{
	{"short", 0.245, 8, 60 * time.Millisecond},
	{"long", 0.044, 4, 900 * time.Millisecond},
	{"plain", 0.711, 2, 200 * time.Millisecond},
}

// tally counts the jobs of one kind.
type tally struct {
	jobs, inTime, refused int
	wait                  time.Duration
}

// simulatePool runs jobs of the workload on workers of ten slots, at a given share of their capacity, and returns the
// counts by kind.
func simulatePool(t *testing.T, seed uint64, entries, workers int, load float64, length time.Duration) map[string]*tally {
	t.Helper()
	sim := newSimulation(t, seed, defaultLimits, entries, workers)
	sim.run(time.Second)
	var slotTime float64
	for _, k := range mix {
		slotTime += k.share * float64(k.tasks) * k.run.Seconds()
	}
	perSecond := load * 10 * float64(workers) / slotTime
	tallies := map[string]*tally{}
	for _, k := range mix {
		tallies[k.queue] = &tally{}
	}
	kinds := map[string]string{}
	objectives := map[string]time.Duration{}
	number := 0
	var arrive func()
	arrive = func() {
		number++
		k := sim.drawKind()
		kinds[jobID(number)] = k.queue
		tallies[k.queue].jobs++
		objectives[jobID(number)] = sim.submitKind(sim.arrivals.IntN(entries), jobID(number), k)
		sim.after(time.Duration(sim.arrivals.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	sim.run(time.Second + length)
	for job, answers := range sim.answers {
		counts := tallies[kinds[job]]
		trace := answers[0].Trace
		switch {
		case answers[0].Result == dispatch.Refused:
			counts.refused++
		case answers[0].Result == dispatch.Completed && trace.Took <= objectives[job]:
			counts.inTime++
		}
		counts.wait += trace.Waited
	}
	return tallies
}

func (sim *simulation) drawKind() jobKind {
	draw := sim.arrivals.Float64()
	for _, k := range mix {
		if draw -= k.share; draw < 0 {
			return k
		}
	}
	return mix[len(mix)-1]
}

// submitKind submits a job whose size, run time and estimate vary as in the users' workload, and returns its true
// objective.
func (sim *simulation) submitKind(entry int, id string, k jobKind) time.Duration {
	vary := func(spread float64) float64 { return math.Exp(spread * sim.arrivals.NormFloat64()) }
	run := time.Duration(float64(k.run) * vary(0.4))
	tasks := max(1, int(math.Round(float64(k.tasks)*vary(0.4))))
	sim.entries[entry].core.Submit(sim.now, dispatch.Submission{
		ID: id, Timeout: 3 * time.Second, Spec: run.String(),
		Queue: dispatch.Queue{Name: k.queue, Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond},
		Steps: []dispatch.Step{{
			Count: tasks, Needs: work.Needs{MilliCores: 3100, MemoryMB: 64},
			Expected: time.Duration(float64(run) * vary(0.4)),
		}},
	})
	sim.pumpEntry(entry)
	return run*8/5 + 60*time.Millisecond
}

// logTallies logs the results of each kind.
func logTallies(t *testing.T, tallies map[string]*tally) {
	t.Helper()
	for _, k := range mix {
		counts := tallies[k.queue]
		t.Logf("%s: %d jobs, %.3f in time, %.3f refused, mean wait %v", k.queue, counts.jobs,
			share(counts.inTime, counts.jobs), share(counts.refused, counts.jobs), counts.wait/time.Duration(counts.jobs))
	}
}

func share(part, whole int) float64 {
	return float64(part) / float64(whole)
}

// TestPool_BusyWorkersServeInTime runs a pool at two thirds of its capacity.
func TestPool_BusyWorkersServeInTime(t *testing.T) {
	tallies := simulatePool(t, 3, 4, 9, 0.65, 10*time.Second)
	logTallies(t, tallies)
	for queue, counts := range tallies {
		if share(counts.inTime, counts.jobs) < 0.9 {
			t.Errorf("%s: %.3f in time", queue, share(counts.inTime, counts.jobs))
		}
	}
}

// TestPool_OverloadedWorkersServeMostInTime runs a pool above its capacity: jobs are larger in the mean than in the
// median, so that the actual load is 1.2 times the nominal one. Accepted jobs must mostly end in time; the rest must be
// refused.
func TestPool_OverloadedWorkersServeMostInTime(t *testing.T) {
	tallies := simulatePool(t, 3, 4, 9, 1.1, 10*time.Second)
	logTallies(t, tallies)
	for queue, counts := range tallies {
		taken := counts.jobs - counts.refused
		if share(counts.inTime, taken) < 0.7 || share(counts.inTime, counts.jobs) < 0.5 {
			t.Errorf("%s: %d in time of %d taken and %d handed in", queue, counts.inTime, taken, counts.jobs)
		}
	}
}

// TestPool_ManyEntriesDoNotChooseAlike runs 13 entries with 72 workers near full capacity. If each entry compared more
// workers, all of them would find the same few with free capacity, and their tasks would wait behind each other.
func TestPool_ManyEntriesDoNotChooseAlike(t *testing.T) {
	tallies := simulatePool(t, 4, 13, 72, 0.78, 3*time.Second)
	logTallies(t, tallies)
	if counts := tallies["short"]; share(counts.inTime, counts.jobs) < 0.85 {
		t.Errorf("short: %.3f in time", share(counts.inTime, counts.jobs))
	}
}
