package main

import (
	"fmt"
	"slices"
	"time"
)

// twice returns the breaks of the rule TWICE: a start after a run has ended done whose end was taken note of (ack_cursor has reached it
// and the lease did not lapse between the two), or two runs of a task at the same time.
func (l *ledger) twice(now time.Duration) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	byTask := map[string][]*startEvent{}
	for _, e := range l.starts {
		byTask[e.task] = append(byTask[e.task], e)
	}
	var breaks []string
	for _, starts := range byTask {
		slices.SortFunc(starts, func(a, b *startEvent) int { return int(a.at - b.at) })
		for i, later := range starts {
			for _, earlier := range starts[:i] {
				switch {
				case earlier.how == "done" && earlier.endedAt < later.at && earlier.notedAt > 0 && !earlier.lapsed:
					breaks = append(breaks, fmt.Sprintf("task %s: run %d at %s started at %.3f s, after run %d at %s had ended done at %.3f s (taken note of at %.3f s)",
						later.task, later.run, later.worker, later.at.Seconds(), earlier.run, earlier.worker, earlier.endedAt.Seconds(), earlier.notedAt.Seconds()))
				case earlier.endedAt == 0 || earlier.endedAt > later.at:
					until := "still runs"
					if earlier.endedAt > 0 {
						until = fmt.Sprintf("ends at %.3f s", earlier.endedAt.Seconds())
					}
					breaks = append(breaks, fmt.Sprintf("task %s: run %d at %s started at %.3f s, while run %d at %s, which %s, is at work",
						later.task, later.run, later.worker, later.at.Seconds(), earlier.run, earlier.worker, until))
				}
			}
		}
	}
	slices.Sort(breaks)
	return breaks
}
