package dispatch_test

import (
	"math"
	"testing"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/core/work"
)

// kind is one of the three kinds of jobs of the users' mix, at one task a slot.
type kind struct {
	queue string
	share float64
	tasks int
	run   time.Duration
}

var mix = []kind{
	{"short", 0.245, 8, 60 * time.Millisecond},
	{"long", 0.044, 4, 900 * time.Millisecond},
	{"plain", 0.711, 2, 200 * time.Millisecond},
}

// tally counts the jobs of one kind.
type tally struct {
	jobs, inTime, refused int
	wait                  time.Duration
}

// playPool plays jobs of the mix on workers of ten slots, at a part of their capacity, and tallies them by kind.
func playPool(t *testing.T, seed uint64, entries, workers int, load float64, length time.Duration) map[string]*tally {
	t.Helper()
	w := newWorld(t, seed, defaultLimits, entries, workers)
	w.run(time.Second)
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
		k := w.drawKind()
		kinds[jobID(number)] = k.queue
		tallies[k.queue].jobs++
		objectives[jobID(number)] = w.submitKind(w.arrivals.IntN(entries), jobID(number), k)
		w.after(time.Duration(w.arrivals.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	w.run(time.Second + length)
	for job, answers := range w.answers {
		one := tallies[kinds[job]]
		trace := answers[0].Trace
		switch {
		case answers[0].Result == dispatch.Refused:
			one.refused++
		case answers[0].Result == dispatch.Completed && trace.Took <= objectives[job]:
			one.inTime++
		}
		one.wait += trace.Waited
	}
	return tallies
}

func (w *world) drawKind() kind {
	draw := w.arrivals.Float64()
	for _, k := range mix {
		if draw -= k.share; draw < 0 {
			return k
		}
	}
	return mix[len(mix)-1]
}

// submitKind hands in a job whose size, run time and estimate vary as the users' do, and returns its true objective.
func (w *world) submitKind(entry int, id string, k kind) time.Duration {
	vary := func(spread float64) float64 { return math.Exp(spread * w.arrivals.NormFloat64()) }
	run := time.Duration(float64(k.run) * vary(0.4))
	tasks := max(1, int(math.Round(float64(k.tasks)*vary(0.4))))
	w.entries[entry].core.Submit(w.now, dispatch.Submission{
		ID: id, Timeout: 3 * time.Second, Spec: run.String(),
		Queue: dispatch.Queue{Name: k.queue, Pool: "p", Attempts: 3, Slack: 1.6, Target: 60 * time.Millisecond},
		Steps: []dispatch.Step{{
			Count: tasks, Needs: work.Needs{MilliCores: 3100, MemoryMB: 64},
			Expected: time.Duration(float64(run) * vary(0.4)),
		}},
	})
	w.pumpEntry(entry)
	return run*8/5 + 60*time.Millisecond
}

// logTallies writes what became of each kind.
func logTallies(t *testing.T, tallies map[string]*tally) {
	t.Helper()
	for _, k := range mix {
		one := tallies[k.queue]
		t.Logf("%s: %d jobs, %.3f in time, %.3f refused, mean wait %v", k.queue, one.jobs,
			share(one.inTime, one.jobs), share(one.refused, one.jobs), one.wait/time.Duration(one.jobs))
	}
}

func share(part, whole int) float64 {
	return float64(part) / float64(whole)
}

// TestPool_BusyWorkersServeInTime plays a pool at two thirds of its capacity.
func TestPool_BusyWorkersServeInTime(t *testing.T) {
	tallies := playPool(t, 3, 4, 9, 0.65, 10*time.Second)
	logTallies(t, tallies)
	for queue, one := range tallies {
		if share(one.inTime, one.jobs) < 0.9 {
			t.Errorf("%s: %.3f in time", queue, share(one.inTime, one.jobs))
		}
	}
}

// TestPool_OverloadedWorkersServeMostInTime plays a pool at more than its capacity, which is 1.2 times what it is said to
// be here, as jobs are larger in the mean than in the median: what is taken is in time, and the rest is refused.
func TestPool_OverloadedWorkersServeMostInTime(t *testing.T) {
	tallies := playPool(t, 3, 4, 9, 1.1, 10*time.Second)
	logTallies(t, tallies)
	for queue, one := range tallies {
		taken := one.jobs - one.refused
		if share(one.inTime, taken) < 0.7 || share(one.inTime, one.jobs) < 0.5 {
			t.Errorf("%s: %d in time of %d taken and %d handed in", queue, one.inTime, taken, one.jobs)
		}
	}
}

// TestPool_ManyEntriesDoNotChooseAlike plays 13 entries with 72 workers at nearly all of their capacity. An entry that
// compares more of them finds the same few with room as the others do, and its tasks wait behind theirs.
func TestPool_ManyEntriesDoNotChooseAlike(t *testing.T) {
	tallies := playPool(t, 4, 13, 72, 0.78, 3*time.Second)
	logTallies(t, tallies)
	if one := tallies["short"]; share(one.inTime, one.jobs) < 0.85 {
		t.Errorf("short: %.3f in time", share(one.inTime, one.jobs))
	}
}
