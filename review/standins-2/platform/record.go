package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// event is one line of the record.
type event struct {
	at     time.Duration
	kind   string
	place  string
	name   string // job or task
	run    uint32
	detail string
}

// recorder notes what was sent, answered and run, on one clock.
type recorder struct {
	mutex  sync.Mutex
	begun  time.Time
	events []event
}

func newRecorder() *recorder { return &recorder{begun: time.Now()} }

func (r *recorder) add(kind, place, name string, run uint32, detail string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at := time.Since(r.begun)
	r.events = append(r.events, event{at, kind, place, name, run, detail})
	return at
}

func (r *recorder) all() []event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]event{}, r.events...)
}

func (r *recorder) write(file string) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	defer out.Close()
	for _, e := range r.all() {
		fmt.Fprintf(out, "%9.3f %-10s %-26s %-24s", e.at.Seconds(), e.kind, e.place, e.name)
		if e.run != 0 {
			fmt.Fprintf(out, " run %d", e.run)
		}
		fmt.Fprintf(out, " %s\n", e.detail)
	}
	return nil
}
