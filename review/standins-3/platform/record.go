package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run, in the order of the clock.
type record struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// since returns the time since the start of the case.
func (r *record) since() time.Duration { return time.Since(r.began) }

func (r *record) say(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// tell writes to the record and to the standard output.
func (r *record) tell(format string, args ...any) {
	r.say(format, args...)
	fmt.Printf(format+"\n", args...)
}
