package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHistory_NoTwoRunsAtATimeAndEveryJobAnswered plays random faults. A job whose entry has ended is handed in again at
// another entry, as its caller would, resendAfter later.
func TestHistory_NoTwoRunsAtATimeAndEveryJobAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, problem := range playHistory(t, rapid.Uint64().Draw(t, "seed"), defaultLimits) {
			t.Error(problem)
		}
	})
}

// TestHistory_ShorterGrantAtTheEntryLetsRunsOverlap shows that the entry's wait is needed.
func TestHistory_ShorterGrantAtTheEntryLetsRunsOverlap(t *testing.T) {
	wrong := defaultLimits
	wrong.entry.Grant = 100 * time.Millisecond
	expectOverlap(t, wrong)
}

// TestHistory_LongerGrantAtTheSidecarLetsRunsOverlap shows that the sidecar's bound is needed.
func TestHistory_LongerGrantAtTheSidecarLetsRunsOverlap(t *testing.T) {
	wrong := defaultLimits
	wrong.sidecar.Grant = 4 * time.Second
	expectOverlap(t, wrong)
}

// safeguardHistories is how many histories may pass before a safeguard that is off must have shown.
const safeguardHistories = 200

func expectOverlap(t *testing.T, wrong limits) {
	t.Helper()
	for seed := range uint64(safeguardHistories) {
		for _, problem := range playHistory(t, seed, wrong) {
			if strings.Contains(problem, "starts on") {
				return
			}
		}
	}
	t.Errorf("no two runs overlapped in %d histories", safeguardHistories)
}

// handedIn says which entry process has a job; life is 0 when none took it.
type handedIn struct {
	entry int
	life  int
	at    time.Duration
}

// callerPatience is how long a caller waits for an answer.
const callerPatience = 2500 * time.Millisecond

// resendAfter is how long a caller waits before it sends a job again that got no answer.
const resendAfter = 1300 * time.Millisecond

// playHistory returns what broke a rule.
func playHistory(t rapid.TB, seed uint64, limits limits) []string {
	w := newWorld(t, seed, limits, 2, 3)
	w.late = 0.1 * w.random.Float64()
	const length = 12 * time.Second
	open := map[string]handedIn{}
	for n := range 120 {
		at := time.Second + time.Duration(w.random.Int64N(int64(length-5*time.Second)))
		w.after(at, func() { w.handIn(jobID(n), open) })
	}
	for range 6 {
		at := time.Second + time.Duration(w.random.Int64N(int64(length-4*time.Second)))
		w.after(at, w.trouble)
	}
	w.run(length)
	var problems []string
	for _, overlap := range w.overlaps {
		problems = append(problems, fmt.Sprintf("seed %d: %s", seed, overlap))
	}
	for job, at := range open {
		n := w.entries[at.entry]
		isDue := at.at+callerPatience+100*time.Millisecond < length
		if at.life != 0 && isDue && len(w.answers[job]) == 0 && n.alive && n.life == at.life {
			problems = append(problems, fmt.Sprintf("seed %d: job %s has no answer", seed, job))
		}
	}
	return problems
}

// handIn submits a job at an entry that lives, and again if that one dies before it has answered.
func (w *world) handIn(job string, open map[string]handedIn) {
	entry := w.random.IntN(len(w.entries))
	n := w.entries[entry]
	if !n.alive || w.now < n.frozenUntil {
		open[job] = handedIn{}
		return
	}
	open[job] = handedIn{entry: entry, life: n.life, at: w.now}
	life := n.life
	w.submit(entry, job, 1+w.random.IntN(4), 300*time.Millisecond, callerPatience)
	var watch func()
	watch = func() {
		if len(w.answers[job]) > 0 {
			return
		}
		if n.life == life && n.alive {
			w.after(10*time.Millisecond, watch)
			return
		}
		w.after(resendAfter, func() { w.handIn(job, open) })
	}
	w.after(10*time.Millisecond, watch)
}

// trouble does one random harm.
func (w *world) trouble() {
	entry, sidecar := w.random.IntN(len(w.entries)), w.random.IntN(len(w.sidecars))
	length := time.Duration(w.random.Int64N(int64(3 * time.Second)))
	switch w.random.IntN(6) {
	case 0:
		w.endEntry(entry, length)
	case 1:
		w.endSidecar(sidecar, length)
	case 2:
		w.workers[sidecar].crash(length)
	case 3:
		w.entries[entry].frozenUntil = w.now + length
	case 4:
		w.sidecars[sidecar].frozenUntil = w.now + length
	case 5:
		if l := w.linkOf(entry, sidecar); l != nil {
			w.cut(l, length)
		}
	}
}

// cut holds the messages of a link up. The entry gives the session up when its grant must have ended; the sidecar does
// when it sees fit, and hears of the entry's decision after the cut.
func (w *world) cut(l *link, length time.Duration) {
	l.cutTill = w.now + length
	w.cuts[[2]int{l.entry, l.sidecar}] = l.cutTill
	w.after(w.limits.entry.Grant, func() {
		if w.now < l.cutTill {
			w.endedAtEntry(l)
		}
	})
	w.after(length+w.delay(), func() {
		if !l.isOpen {
			w.endedAtSidecar(l)
		}
	})
}

func (w *world) endEntry(i int, length time.Duration) {
	n := w.entries[i]
	if !n.alive {
		return
	}
	n.alive = false
	for _, s := range w.sidecars {
		for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
			if l := s.sessions[id]; l.entry == i {
				w.after(w.delay(), func() { w.broken(l) })
			}
		}
	}
	w.after(length+10*time.Millisecond, func() { w.startEntry(i) })
}

func (w *world) endSidecar(i int, length time.Duration) {
	n := w.sidecars[i]
	if !n.alive {
		return
	}
	n.alive = false
	for _, id := range slices.Sorted(maps.Keys(n.sessions)) {
		l := n.sessions[id]
		w.after(w.delay(), func() { w.broken(l) })
	}
	w.after(length+10*time.Millisecond, func() { w.startSidecar(i) })
}
