package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

var (
	repository string
	begun      = time.Now()
	record     = &ledger{spans: map[string][]*span{}}
	cleanups   []func()
	cleanMutex sync.Mutex
	trouble    = os.Getenv("TROUBLE") != "0"
)

// ledger holds what was sent, answered and run.
type ledger struct {
	mutex sync.Mutex
	lines []string
	spans map[string][]*span // by task
}

// span is one run of a task at a worker.
type span struct {
	task, worker, spec string
	run                int
	from, to           time.Duration
	how                string // "" while it runs
	noted              time.Duration
	counts             bool // its end was taken note of, and the lease had not lapsed before
}

func now() time.Duration { return time.Since(begun) }

func note(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.add(format, values...)
}

// add adds a line. The caller holds the mutex.
func (l *ledger) add(format string, values ...any) {
	l.lines = append(l.lines, fmt.Sprintf("%9.3f ", now().Seconds())+fmt.Sprintf(format, values...))
}

func (l *ledger) started(task string, run int, spec, worker string) *span {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := &span{task: task, run: run, spec: spec, worker: worker, from: now()}
	l.spans[task] = append(l.spans[task], s)
	l.add("%s starts %s run %d", worker, task, run)
	return s
}

func (s *span) finish(how string) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	s.to, s.how = now(), how
	record.add("%s ends %s run %d: %s", s.worker, s.task, s.run, how)
}

func (s *span) note(counts bool) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	s.noted, s.counts = now(), counts
}

func (l *ledger) failsSoFar(task string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, s := range l.spans[task] {
		if s.how == "failed" {
			count++
		}
	}
	return count
}

// inProgress returns the number of runs in progress.
func (l *ledger) inProgress() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, spans := range l.spans {
		for _, s := range spans {
			if s.how == "" {
				count++
			}
		}
	}
	return count
}

// spansOf returns copies of the runs of a job's tasks.
func (l *ledger) spansOf(job string) []span {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var all []span
	for task, spans := range l.spans {
		if strings.HasPrefix(task, job+".") {
			for _, s := range spans {
				all = append(all, *s)
			}
		}
	}
	slices.SortFunc(all, func(a, b span) int { return int(a.from - b.from) })
	return all
}

// twice returns the breaks of TWICE.
func (l *ledger) twice(stored func(task string) bool) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []string
	for task, spans := range l.spans {
		for i, a := range spans {
			for _, b := range spans[i+1:] {
				if a.how == "" || b.from < a.to {
					found = append(found, fmt.Sprintf("TWICE: %s run %d on %s (%.3f to %.3f) beside run %d on %s (from %.3f)",
						task, a.run, a.worker, a.from.Seconds(), a.to.Seconds(), b.run, b.worker, b.from.Seconds()))
				} else if stored(task) && a.how == "done" && a.counts {
					found = append(found, fmt.Sprintf("TWICE: %s run %d on %s at %.3f starts after run %d ended done at %.3f (noted at %.3f)",
						task, b.run, b.worker, b.from.Seconds(), a.run, a.to.Seconds(), a.noted.Seconds()))
				}
			}
		}
	}
	return found
}

func atEnd(f func()) {
	cleanMutex.Lock()
	defer cleanMutex.Unlock()
	cleanups = append(cleanups, f)
}

func finish(code int) {
	cleanMutex.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	path := os.Getenv("RECORD")
	if path == "" {
		path = filepath.Join(os.TempDir(), "record.txt")
	}
	if file, err := os.Create(path); err == nil {
		w := bufio.NewWriter(file)
		record.mutex.Lock()
		for _, line := range record.lines {
			fmt.Fprintln(w, line)
		}
		_ = w.Flush()
		_ = file.Close()
	}
	os.Exit(code)
}

func cannotRun(format string, values ...any) {
	note("could not run: "+format, values...)
	fmt.Printf("could not run: "+format+"\n", values...)
	finish(2)
}

func verdict(broken []string) {
	for _, text := range broken {
		note("BROKEN %s", text)
		fmt.Println("BROKEN", text)
	}
	if len(broken) > 0 {
		finish(1)
	}
	note("held")
	fmt.Println("held")
	finish(0)
}
